//! Limits on the bytes of a response that are not its payload: interim responses, and the
//! framing of the body, such as chunk sizes, chunk extensions and trailers.
//!
//! An engine can send such bytes without end. They cost processor time, and nothing that a
//! client waits for arrives.

use std::fmt;

/// Most interim responses before the response.
pub const MAX_INTERIM_RESPONSES: u32 = 32;

/// Most bytes from the request to the response head, in bytes. It includes what the
/// connection reads ahead of the body before the head is taken.
pub const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Bytes of a body that may arrive ahead of its payload, in bytes: what the connection
/// buffers, and a trailer.
pub const FRAMING_ALLOWANCE_BYTES: u64 = 160 * 1024;

/// Most bytes of framing for each byte of payload, beyond the allowance. Chunks of one byte
/// have five.
pub const MAX_FRAMING_RATIO: u64 = 8;

/// A limit that a response exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// Too many interim responses.
    Interim {
        /// Interim responses so far.
        count: u32,
    },
    /// Too many bytes before the end of the response head.
    Head {
        /// Bytes so far.
        bytes: u64,
    },
    /// Too many bytes of the body that are not payload.
    Body {
        /// Bytes of framing so far.
        framing_bytes: u64,
        /// Bytes of payload so far.
        payload_bytes: u64,
    },
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Interim { count } => write!(
                f,
                "response head: {count} interim responses, limit {MAX_INTERIM_RESPONSES}"
            ),
            Self::Head { bytes } => {
                write!(f, "response head: {bytes} bytes, limit {MAX_HEAD_BYTES}")
            }
            Self::Body {
                framing_bytes,
                payload_bytes,
            } => write!(
                f,
                "response body: {framing_bytes} bytes of framing for {payload_bytes} bytes of \
                 payload, limit {FRAMING_ALLOWANCE_BYTES} bytes and {MAX_FRAMING_RATIO} for \
                 each byte of payload"
            ),
        }
    }
}

impl std::error::Error for FramingError {}

/// Bytes that arrived on a connection for one response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Framing {
    /// Whether the response head has arrived.
    is_in_body: bool,
    head_bytes: u64,
    interim_responses: u32,
    body_bytes: u64,
    payload_bytes: u64,
}

impl Framing {
    /// Begins with the body, as the response head has arrived.
    pub fn begin_body(&mut self) {
        self.is_in_body = true;
    }

    /// Counts bytes that arrived on the connection.
    pub fn record_received(&mut self, bytes: u64) {
        match self.is_in_body {
            true => self.body_bytes += bytes,
            false => self.head_bytes += bytes,
        }
    }

    /// Sets the number of interim responses so far.
    pub fn set_interim_responses(&mut self, count: u32) {
        self.interim_responses = count;
    }

    /// Counts payload that was taken from the body.
    pub fn record_payload(&mut self, bytes: u64) {
        self.payload_bytes += bytes;
    }

    /// Checks the limits.
    ///
    /// # Errors
    ///
    /// If the response exceeds one.
    pub fn check(&self) -> Result<(), FramingError> {
        if self.interim_responses > MAX_INTERIM_RESPONSES {
            let count = self.interim_responses;
            return Err(FramingError::Interim { count });
        }
        if self.head_bytes > MAX_HEAD_BYTES {
            let bytes = self.head_bytes;
            return Err(FramingError::Head { bytes });
        }
        let framing_bytes = self.body_bytes.saturating_sub(self.payload_bytes);
        let allowed_bytes = self.payload_bytes.saturating_mul(MAX_FRAMING_RATIO);
        if framing_bytes > allowed_bytes.saturating_add(FRAMING_ALLOWANCE_BYTES) {
            return Err(FramingError::Body {
                framing_bytes,
                payload_bytes: self.payload_bytes,
            });
        }
        Ok(())
    }
}
