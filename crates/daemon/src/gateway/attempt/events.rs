//! Events of a target's stream. Only complete events are returned, as they arrive.

use std::{fmt, rc::Rc};

use bytes::{Bytes, BytesMut};
use cyclamengauge_core::serving::targets::Outcome;
use http::{
    HeaderValue,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::BodyExt;

use crate::gateway::{
    Gateway,
    attempt::{
        body::Exchange,
        client_request::ClientRequest,
        guards::InFlightGuard,
        timeouts::{ResponseTimeouts, WaitError},
    },
    response,
};

/// Maximum length of an event and the comments before it; also limits the buffer of a
/// stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream broke.
#[derive(Debug)]
pub enum StreamError {
    /// The connection broke or the response is malformed.
    Connection(anyhow::Error),
    /// The connection ended before the first event, without an end of the body.
    EndedBeforeFirstEvent,
    /// The deadline passed, or the engine was silent for too long.
    Timeout(WaitError),
}

impl StreamError {
    /// Whether the engine may have crashed.
    pub fn is_possible_crash(&self) -> bool {
        !matches!(
            self,
            Self::Timeout(WaitError::DeadlineExceeded | WaitError::CutOff)
        )
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(err) => write!(f, "{err:#}"),
            Self::EndedBeforeFirstEvent => {
                f.write_str("the connection ended before the first event of the stream")
            }
            Self::Timeout(late) => late.fmt(f),
        }
    }
}

impl std::error::Error for StreamError {}

/// Reads the events of one engine's response.
pub struct EventReader {
    exchange: Exchange,
    /// Received bytes that are not returned yet.
    buffer: BytesMut,
    /// Comments before the next event. They are no progress of the response, so they are
    /// returned with the event.
    comments: BytesMut,
    /// Whether the response body is complete.
    body_ended: bool,
}

/// One or more complete events.
pub struct EventBatch {
    /// The events as received.
    pub bytes: Bytes,
    /// Id of the last event with an id; none if no event has one.
    pub last_event_id: Option<u64>,
}

impl EventReader {
    /// Creates a reader of a response whose head has arrived.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            buffer: BytesMut::new(),
            comments: BytesMut::new(),
            body_ended: false,
        }
    }

    /// Returns the status and headers of the response.
    pub fn head(&self) -> http::response::Parts {
        let (mut parts, ()) = http::Response::new(()).into_parts();
        parts.status = self.exchange.response.status();
        parts.headers = self.exchange.response.headers().clone();
        parts
    }

    /// Type of the response.
    pub fn content_type(&self) -> Option<&HeaderValue> {
        self.exchange.response.headers().get(CONTENT_TYPE)
    }

    /// Whether the end of the body is marked by its framing. A body that ends with its
    /// connection may also have been cut off by a crash.
    pub fn has_marked_end(&self) -> bool {
        let map = self.exchange.response.headers();
        !map.contains_key(response::UNMARKED_END_HEADER)
            && (map.contains_key(TRANSFER_ENCODING) || map.contains_key(CONTENT_LENGTH))
    }

    /// Returns the next complete events, without those up to the id `after`; `None`
    /// at the end of the stream.
    ///
    /// # Errors
    ///
    /// If the stream breaks or ends within an event, or if an event is longer than
    /// 1 MiB.
    pub async fn next(&mut self, after: Option<u64>) -> Result<Option<EventBatch>, StreamError> {
        loop {
            if let Some(batch) = self.take_complete_events(after) {
                return Ok(Some(batch));
            }
            if self.body_ended {
                if self.buffer.is_empty() {
                    let bytes = self.comments.split().freeze();
                    let last_event_id = None;
                    let comments = EventBatch {
                        bytes,
                        last_event_id,
                    };
                    return Ok((!comments.bytes.is_empty()).then_some(comments));
                }
                let err =
                    anyhow::anyhow!("stream ended after {} bytes of an event", self.buffer.len());
                return Err(StreamError::Connection(err));
            }
            match self.exchange.response.body_mut().frame().await {
                None => self.body_ended = true,
                Some(Err(err)) => return Err(StreamError::Connection(err.into())),
                Some(Ok(frame)) => {
                    self.exchange.in_flight.record_received();
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                    if self.buffer.len() + self.comments.len() > MAX_EVENT_BYTES {
                        let err = anyhow::anyhow!("event exceeds {MAX_EVENT_BYTES} bytes");
                        return Err(StreamError::Connection(err));
                    }
                }
            }
        }
    }

    /// Returns the next complete events as [`Self::next`] does, within the time
    /// limits of `timeouts`.
    ///
    /// # Errors
    ///
    /// As for [`Self::next`], and if the engine does not respond in time or the
    /// deadline passes.
    pub async fn next_with_timeout(
        &mut self,
        gateway: &Rc<Gateway>,
        request: &ClientRequest,
        timeouts: ResponseTimeouts,
        after: Option<u64>,
    ) -> Result<Option<EventBatch>, StreamError> {
        let awaited = self.exchange.in_flight.awaited();
        let next_events = self.next(after);
        let result = timeouts.wait(gateway, &awaited, request.deadline, next_events);
        result.await.unwrap_or_else(|late| {
            if matches!(late, WaitError::Silent(_)) {
                self.set_outcome(Outcome::Silent);
            }
            Err(StreamError::Timeout(late))
        })
    }

    /// Sets the outcome that is recorded for the engine when the request ends.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.exchange.in_flight.set_outcome(outcome);
    }

    /// Returns the in-flight request at the engine.
    pub fn in_flight(&self) -> &InFlightGuard {
        &self.exchange.in_flight
    }

    fn take_complete_events(&mut self, after: Option<u64>) -> Option<EventBatch> {
        let mut bytes = BytesMut::new();
        let mut last_event_id = None;
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if is_comment(&event) {
                self.comments.extend_from_slice(&event);
                continue;
            }
            let id = event_id(&event);
            let already_forwarded = id.is_some() && id <= after;
            if !already_forwarded {
                bytes.extend_from_slice(&self.comments.split());
                bytes.extend_from_slice(&event);
                last_event_id = id.or(last_event_id);
            }
        }
        let bytes = bytes.freeze();
        (!bytes.is_empty()).then_some(EventBatch {
            bytes,
            last_event_id,
        })
    }
}

/// Returns the index after the first complete event in `buffer`: after its first
/// empty line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Whether a block of a stream has only comments and no event.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

/// Returns the id of an event; none if the event has no id or a non-numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
