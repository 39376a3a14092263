//! Events of a target's stream. Only complete events are returned, as they arrive.

use std::{fmt, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use cyclamengauge_core::{clock::Instant, serving::targets::Outcome};
use http::{
    HeaderValue,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};

use crate::gateway::{
    Gateway,
    attempt::{
        body::Exchange,
        client_request::ClientRequest,
        guards::InFlightGuard,
        timeouts::{ResponseTimeouts, WaitError},
    },
    memory::{HeldBuffer, Holder, MemoryError, MemoryHold},
    response,
};

/// Maximum length of an event and the comments before it; also limits the buffer of a
/// stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Longest wait for memory. It is shorter than the time after which a silent engine is
/// given up.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(400);

/// Why a stream broke.
#[derive(Debug)]
pub enum StreamError {
    /// The connection broke or the response is malformed.
    Connection(anyhow::Error),
    /// The connection ended before the first event, without an end of the body.
    EndedBeforeFirstEvent,
    /// This process has no memory for the next event.
    OutOfMemory(MemoryError),
    /// The deadline passed, or the engine was silent for too long.
    Timeout(WaitError),
}

impl StreamError {
    /// Whether the engine may have crashed.
    pub fn is_possible_crash(&self) -> bool {
        !matches!(
            self,
            Self::OutOfMemory(_) | Self::Timeout(WaitError::DeadlineExceeded | WaitError::CutOff)
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
            Self::OutOfMemory(err) => err.fmt(f),
            Self::Timeout(late) => late.fmt(f),
        }
    }
}

impl std::error::Error for StreamError {}

/// Reads the events of one engine's response.
pub struct EventReader {
    gateway: Rc<Gateway>,
    exchange: Exchange,
    /// Counts the memory of `buffer` and `comments`.
    hold: MemoryHold,
    /// Received bytes that are not returned yet.
    buffer: HeldBuffer,
    /// How far `buffer` was searched for the end of an event.
    search: EventSearch,
    /// Comments before the next event. They are no progress of the response, so they are
    /// returned with the event.
    comments: HeldBuffer,
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
    pub fn new(gateway: &Rc<Gateway>, request: &ClientRequest, exchange: Exchange) -> Self {
        let hold = gateway.hold_memory(Holder::TargetResponse {
            may_have_run: true,
            is_repeatable: request.route.kind.is_repeatable(),
        });
        Self {
            gateway: Rc::clone(gateway),
            exchange,
            hold,
            buffer: HeldBuffer::default(),
            search: EventSearch::default(),
            comments: HeldBuffer::default(),
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
    /// If the stream breaks or ends within an event, if an event is longer than 1 MiB, or
    /// if there is no memory for it.
    pub async fn next(&mut self, after: Option<u64>) -> Result<Option<EventBatch>, StreamError> {
        loop {
            let complete = self.take_complete_events(after).await;
            if let Some(batch) = complete.map_err(StreamError::OutOfMemory)? {
                return Ok(Some(batch));
            }
            let held_bytes = self.buffer.as_slice().len() + self.comments.as_slice().len();
            if held_bytes > MAX_EVENT_BYTES {
                let err =
                    anyhow::anyhow!("event of {held_bytes} bytes or more, limit {MAX_EVENT_BYTES}");
                return Err(StreamError::Connection(err));
            }
            if self.body_ended {
                return self.take_rest();
            }
            let body = self.exchange.response.body_mut();
            let next = tokio::select! {
                biased;
                () = self.hold.ended() => {
                    let held_bytes = self.hold.held_bytes();
                    return Err(StreamError::OutOfMemory(MemoryError::Ended { held_bytes }));
                }
                next = self.exchange.connection.next_data(body) => next,
            };
            match next.map_err(StreamError::Connection)? {
                None => self.body_ended = true,
                Some(data) => {
                    self.exchange.in_flight.record_received();
                    let wait_until = self.memory_deadline();
                    self.buffer
                        .append(&self.hold, &data, MAX_EVENT_BYTES, wait_until)
                        .await
                        .map_err(StreamError::OutOfMemory)?;
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

    /// Returns the events that are complete; moves comments out of the buffer.
    async fn take_complete_events(
        &mut self,
        after: Option<u64>,
    ) -> Result<Option<EventBatch>, MemoryError> {
        let mut bytes = BytesMut::new();
        let mut last_event_id = None;
        let mut taken = 0;
        while let Some(end) = self.search.next_end(self.buffer.as_slice()) {
            let event = &self.buffer.as_slice()[taken..end];
            taken = end;
            if is_comment(event) {
                let wait_until = self.memory_deadline();
                self.comments
                    .append(&self.hold, event, MAX_EVENT_BYTES, wait_until)
                    .await?;
                continue;
            }
            let id = event_id(event);
            let already_forwarded = id.is_some() && id <= after;
            if !already_forwarded {
                bytes.extend_from_slice(self.comments.as_slice());
                let length = self.comments.as_slice().len();
                self.comments.remove_first(&self.hold, length);
                bytes.extend_from_slice(event);
                last_event_id = id.or(last_event_id);
            }
        }
        if taken > 0 {
            self.buffer.remove_first(&self.hold, taken);
            self.search.remove_first(taken);
        }
        let bytes = bytes.freeze();
        Ok((!bytes.is_empty()).then_some(EventBatch {
            bytes,
            last_event_id,
        }))
    }

    /// Returns the comments after the last event of a complete body.
    fn take_rest(&mut self) -> Result<Option<EventBatch>, StreamError> {
        let unfinished = self.buffer.as_slice().len();
        if unfinished > 0 {
            let err = anyhow::anyhow!("stream ended after {unfinished} bytes of an event");
            return Err(StreamError::Connection(err));
        }
        let bytes = Bytes::copy_from_slice(self.comments.as_slice());
        self.comments.remove_first(&self.hold, bytes.len());
        Ok((!bytes.is_empty()).then_some(EventBatch {
            bytes,
            last_event_id: None,
        }))
    }

    fn memory_deadline(&self) -> Instant {
        self.gateway.clock.now() + MAX_MEMORY_WAIT
    }
}

/// Search for the ends of events in a buffer that grows. Each byte is looked at once.
#[derive(Clone, Copy, Debug, Default)]
struct EventSearch {
    /// Start of the line that is being searched.
    line_start: usize,
    /// Index up to which the buffer was searched.
    searched: usize,
}

impl EventSearch {
    /// Returns the index after the next complete event: after its first empty line.
    fn next_end(&mut self, buffer: &[u8]) -> Option<usize> {
        while let Some(byte) = buffer.get(self.searched) {
            self.searched += 1;
            if *byte != b'\n' {
                continue;
            }
            let line = &buffer[self.line_start..self.searched - 1];
            self.line_start = self.searched;
            if line.is_empty() || line == b"\r" {
                return Some(self.searched);
            }
        }
        None
    }

    /// Records that the first `length` bytes were removed from the buffer.
    fn remove_first(&mut self, length: usize) {
        self.line_start -= length;
        self.searched -= length;
    }
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
