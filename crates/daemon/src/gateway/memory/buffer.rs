//! Buffers whose capacity is counted in the memory budget.

use std::{
    fmt, io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use cyclamengauge_core::{clock::Instant, serving::memory::MemoryError};

use crate::gateway::memory::MemoryHold;

/// Smallest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY_BYTES: usize = 2 * 1024;

/// Largest capacity that an emptied buffer keeps, in bytes.
const MAX_IDLE_CAPACITY_BYTES: usize = 16 * 1024;

/// Largest part of a body that is handed to the client's connection at once, in bytes. The
/// connection copies it.
const MAX_PART_BYTES: usize = 32 * 1024;

/// A buffer that copies what it takes. The hold that counts it is an argument, as several
/// buffers may share one.
#[derive(Debug, Default)]
pub struct HeldBuffer {
    /// The bytes; their capacity is counted.
    bytes: Vec<u8>,
}

impl HeldBuffer {
    /// The bytes in the buffer.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a copy of `data`; waits for memory until `deadline`. The buffer does not grow
    /// beyond `max_bytes` unless `data` needs it.
    ///
    /// # Errors
    ///
    /// If there is no memory by then, or the holder must give way.
    pub async fn append(
        &mut self,
        hold: &MemoryHold,
        data: &[u8],
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<(), MemoryError> {
        let needed = self.bytes.len() + data.len();
        let before = self.bytes.capacity();
        if needed > before {
            let doubled = (before * 2).max(MIN_CAPACITY_BYTES).min(max_bytes);
            let capacity = needed.max(doubled);
            // Both buffers exist while the bytes are copied.
            hold.grow(capacity, deadline).await?;
            let mut bytes = Vec::with_capacity(capacity);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
            hold.shrink(before);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Removes the first `length` bytes.
    pub fn remove_first(&mut self, hold: &MemoryHold, length: usize) {
        self.bytes.drain(..length);
        let capacity = self.bytes.capacity();
        if self.bytes.is_empty() && capacity > MAX_IDLE_CAPACITY_BYTES {
            self.bytes = Vec::new();
            hold.shrink(capacity);
        }
    }

    /// Returns the bytes, with the hold that counts them.
    pub fn into_body(self, hold: MemoryHold) -> HeldBody {
        HeldBody {
            bytes: Bytes::from(self.bytes),
            hold: Rc::new(hold),
        }
    }
}

/// A complete body, counted in the memory budget until it is dropped. Clones share it.
#[derive(Clone)]
pub struct HeldBody {
    bytes: Bytes,
    hold: Rc<MemoryHold>,
}

impl HeldBody {
    /// The hold that counts the body.
    pub fn hold(&self) -> &MemoryHold {
        &self.hold
    }
}

impl fmt::Debug for HeldBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HeldBody({} bytes)", self.bytes.len())
    }
}

impl MessageBody for HeldBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        if self.hold.is_ended() {
            let held_bytes = self.hold.held_bytes();
            let err = io::Error::other(MemoryError::Ended { held_bytes });
            return Poll::Ready(Some(Err(err)));
        }
        let length = self.bytes.len().min(MAX_PART_BYTES);
        let part = self.bytes.split_to(length);
        self.hold.record_progress();
        Poll::Ready(Some(Ok(part)))
    }
}
