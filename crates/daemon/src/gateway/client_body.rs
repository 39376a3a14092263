//! Bodies of requests, as far as there is memory for them.
//!
//! A small body needs no room. For a larger one of known length, room is found before it is
//! read; until then, its connection is not read either. A body in chunks finds room as it
//! grows.

use std::{rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request};
use bytes::{Bytes, BytesMut};
use cyclamengauge_core::{clock::Instant, ids::AccountId};
use futures_util::StreamExt;

use crate::{
    gateway::{
        Gateway,
        memory::{Holder, MemoryError, MemoryHold},
        response::GatewayError,
    },
    http as server,
};

/// Size up to which a body needs no room, in bytes. The number of connections bounds the
/// memory of these bodies.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Bytes that count as progress. A body that takes longer than the stall time for them gives
/// way first when memory is short.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Longest wait for room. Bodies that stall have given way by then.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest retry delay of a request without room for its body, and the duration over which
/// the delays are spread, so that the clients do not return all at once.
const MIN_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
const MEMORY_RETRY_SPREAD: Duration = Duration::from_millis(1_500);

/// A body with its memory.
pub struct ReceivedBody {
    /// Complete body.
    pub body: Bytes,
    /// Memory of the body; none for a small one.
    pub memory: Option<MemoryHold>,
}

/// A body that is being read.
struct Reader<'a> {
    gateway: &'a Rc<Gateway>,
    account: Option<&'a AccountId>,
    address: Option<std::net::SocketAddr>,
    body: BytesMut,
    memory: Option<MemoryHold>,
    /// Bytes that arrived since progress was last recorded.
    unrecorded_bytes: usize,
    max_bytes: usize,
    latest: Instant,
}

/// Reads the body of a request from a client or a peer until `latest`.
///
/// # Errors
///
/// If the body is larger than `max_bytes`, too slow or incomplete, or if there is no memory
/// for it.
pub async fn receive(
    gateway: &Rc<Gateway>,
    request: &mut Request,
    account: Option<&AccountId>,
    max_bytes: usize,
    latest: Instant,
) -> Result<ReceivedBody, GatewayError> {
    let length = request.headers().get("content-length");
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > max_bytes) {
        return Err(GatewayError::BodyTooLarge);
    }
    let mut reader = Reader {
        gateway,
        account,
        address: request.peer_addr(),
        body: BytesMut::new(),
        memory: None,
        unrecorded_bytes: 0,
        max_bytes,
        latest,
    };
    let left = gateway.clock.until(latest);
    let received = actix_rt::time::timeout(left, reader.read(request, length)).await;
    received.unwrap_or(Err(GatewayError::BodyTooSlow))?;
    if let Some(memory) = &reader.memory {
        // Targets get it from here on, and it can't give way to others.
        memory.update(Holder::TargetResponse {
            may_have_run: true,
            is_repeatable: false,
        });
    }
    Ok(ReceivedBody {
        body: reader.body.freeze(),
        memory: reader.memory,
    })
}

impl Reader<'_> {
    async fn read(
        &mut self,
        request: &mut Request,
        length: Option<usize>,
    ) -> Result<(), GatewayError> {
        let flow = server::stream::flow(request).map(Rc::clone);
        let mut payload = request.take_payload();
        if let Some(length) = length {
            self.make_room(length).await?;
        }
        loop {
            let chunk = {
                let _wanted = flow.as_ref().map(server::stream::Flow::want_body);
                match &self.memory {
                    Some(memory) => tokio::select! {
                        biased;
                        chunk = payload.next() => chunk,
                        () = memory.ended() => return Err(GatewayError::BodyTooSlow),
                    },
                    None => payload.next().await,
                }
            };
            let Some(chunk) = chunk else {
                return Ok(());
            };
            let chunk = chunk.map_err(|_| GatewayError::BadRequest)?;
            let size = self.body.len() + chunk.len();
            if size > self.max_bytes {
                return Err(GatewayError::BodyTooLarge);
            }
            if size > self.body.capacity() {
                let doubled = (2 * size).max(UNCOUNTED_BYTES / 4).min(self.max_bytes);
                self.make_room(doubled).await?;
            }
            self.body.extend_from_slice(&chunk);
            self.record_progress(chunk.len());
        }
    }

    /// Finds room for a body of `size` bytes.
    async fn make_room(&mut self, size: usize) -> Result<(), GatewayError> {
        if size > UNCOUNTED_BYTES {
            let memory = self.memory.get_or_insert_with(|| {
                self.gateway.hold_memory(Holder::ClientBody {
                    account: self.account.cloned(),
                    address: self.address,
                })
            });
            let added = size - self.body.capacity().min(size);
            let now = self.gateway.clock.now();
            let latest = self.latest.min(now + MAX_ROOM_WAIT);
            match memory.grow(added, latest).await {
                Ok(()) => memory.record_progress(),
                Err(MemoryError::Ended { .. }) => return Err(GatewayError::BodyTooSlow),
                Err(MemoryError::Full { .. }) => return Err(self.memory_short()),
            }
        }
        // `reserve` could double a buffer beyond what is counted.
        let mut body = BytesMut::with_capacity(size);
        body.extend_from_slice(&self.body);
        self.body = body;
        Ok(())
    }

    fn memory_short(&self) -> GatewayError {
        let draw = self.gateway.rng.borrow_mut().f64();
        GatewayError::MemoryShort(MIN_MEMORY_RETRY_AFTER + MEMORY_RETRY_SPREAD.mul_f64(draw))
    }

    fn record_progress(&mut self, bytes: usize) {
        let Some(memory) = &self.memory else {
            return;
        };
        self.unrecorded_bytes += bytes;
        if self.unrecorded_bytes >= PROGRESS_BYTES {
            self.unrecorded_bytes = 0;
            memory.record_progress();
        }
    }
}
