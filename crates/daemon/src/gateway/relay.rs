//! Streams of events from an engine to a caller.
//!
//! Only whole events are passed on, as they arrive. A stream that breaks goes on
//! at another engine after the last event that was passed on, if its route
//! allows it; else the caller's connection is closed, so that what it has does
//! not look complete.

use std::fmt;

use bytes::{Bytes, BytesMut};
use cyclamengauge_core::serving::targets::Outcome;
use http::HeaderValue;
use http_body_util::BodyExt;

use crate::{
    gateway::{
        Gateway,
        attempts::{Attempts, InProgressGuard},
        exchange::{self, AttemptError, ClientRequest, Exchange, InFlightGuard},
        response_timeouts::{ResponseTimeouts, WaitError},
    },
    telemetry::trace::Step,
};

/// Longest event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream broke.
#[derive(Debug)]
pub enum Broken {
    /// The connection broke or the answer is malformed.
    Connection(anyhow::Error),
    /// Nothing came in time.
    Late(WaitError),
}

impl Broken {
    /// Whether the engine may have crashed.
    pub fn may_be_crash(&self) -> bool {
        !matches!(self, Self::Late(WaitError::DeadlineExceeded))
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(err) => write!(f, "{err:#}"),
            Self::Late(late) => late.fmt(f),
        }
    }
}

impl std::error::Error for Broken {}

/// The events of one engine's answer.
pub struct Events {
    exchange: Exchange,
    buffer: BytesMut,
    ended: bool,
}

/// One or more whole events.
pub struct Chunk {
    /// Their bytes.
    pub bytes: Bytes,
    /// Id of the last of them that has one.
    last_id: Option<u64>,
}

impl Events {
    /// Reads the events of an answer.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            buffer: BytesMut::new(),
            ended: false,
        }
    }

    /// Head of the answer.
    pub fn head(&self) -> http::response::Parts {
        let (mut parts, ()) = http::Response::new(()).into_parts();
        parts.status = self.exchange.response.status();
        parts.headers = self.exchange.response.headers().clone();
        parts
    }

    /// The next whole events; none at the end of the stream. Events up to
    /// `after` are left out.
    ///
    /// # Errors
    ///
    /// If the stream breaks or ends within an event.
    pub async fn next(&mut self, after: Option<u64>) -> Result<Option<Chunk>, Broken> {
        loop {
            if let Some(chunk) = self.take_whole(after) {
                return Ok(Some(chunk));
            }
            if self.ended {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                let err = anyhow::anyhow!("the stream ends within an event");
                return Err(Broken::Connection(err));
            }
            match self.exchange.response.body_mut().frame().await {
                None => self.ended = true,
                Some(Err(err)) => return Err(Broken::Connection(err.into())),
                Some(Ok(frame)) => {
                    self.exchange.in_flight.record_received();
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                    if self.buffer.len() > MAX_EVENT_BYTES {
                        let err =
                            anyhow::anyhow!("an event is longer than {MAX_EVENT_BYTES} bytes");
                        return Err(Broken::Connection(err));
                    }
                }
            }
        }
    }

    /// The next events, if they come in time.
    ///
    /// # Errors
    ///
    /// If the stream breaks, its engine shows no sign of life, or the deadline
    /// passes.
    pub async fn next_within(
        &mut self,
        gateway: &Gateway,
        job: &ClientRequest,
        patience: ResponseTimeouts,
        after: Option<u64>,
    ) -> Result<Option<Chunk>, Broken> {
        let flight = &self.exchange.in_flight;
        let (id, address) = (flight.target.clone(), flight.address);
        let reading = self.next(after);
        let waited = patience.wait(gateway, (&id, address), job.deadline, reading);
        waited.await.unwrap_or_else(|late| {
            if matches!(late, WaitError::Silent(_)) {
                self.judge(Outcome::Silent);
            }
            Err(Broken::Late(late))
        })
    }

    /// Sets how the engine is judged.
    pub fn judge(&mut self, outcome: Outcome) {
        self.exchange.in_flight.set_outcome(outcome);
    }

    /// The request at the engine.
    pub fn flight(&self) -> &InFlightGuard {
        &self.exchange.in_flight
    }

    fn take_whole(&mut self, after: Option<u64>) -> Option<Chunk> {
        let mut bytes = BytesMut::new();
        let mut last_id = None;
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            let id = event_id(&event);
            let known = id.is_some() && id <= after;
            if !known {
                bytes.extend_from_slice(&event);
                last_id = id.or(last_id);
            }
        }
        let bytes = bytes.freeze();
        (!bytes.is_empty()).then_some(Chunk { bytes, last_id })
    }
}

/// A stream on its way to a caller.
pub struct Relay {
    job: ClientRequest,
    tries: Attempts,
    events: Events,
    /// Id of the last event that was passed on; none if it had none.
    last_id: Option<u64>,
    /// Whether this engine has sent an event.
    started: bool,
    _in_progress: InProgressGuard,
}

impl Relay {
    /// Goes on with a stream of which `first` has been read.
    pub fn new(
        job: ClientRequest,
        tries: Attempts,
        events: Events,
        first: &Chunk,
        in_progress: InProgressGuard,
    ) -> Self {
        Self {
            job,
            tries,
            events,
            last_id: first.last_id,
            started: true,
            _in_progress: in_progress,
        }
    }

    /// The next events; none at the end.
    ///
    /// # Errors
    ///
    /// If the stream broke and can't go on elsewhere.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            match self.read().await {
                Ok(Some(chunk)) => {
                    self.started = true;
                    self.tries.record_event();
                    self.last_id = chunk.last_id;
                    return Ok(Some(chunk.bytes));
                }
                Ok(None) => {
                    self.events.judge(Outcome::Served);
                    self.tries.record_completion(&self.job);
                    return Ok(None);
                }
                Err(broken) => {
                    if let Err(broken) = self.go_on_elsewhere(broken).await {
                        self.tries.record_cut_off(&self.job);
                        return Err(broken);
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Chunk>, Broken> {
        let patience = match self.started {
            true => ResponseTimeouts::for_next_event(&self.job, &self.tries),
            false => ResponseTimeouts::for_first_event(&self.job, &self.tries),
        };
        self.events
            .next_within(&self.tries.gateway, &self.job, patience, self.last_id)
            .await
    }

    /// Asks another engine for the rest of the stream.
    async fn go_on_elsewhere(&mut self, broken: Broken) -> Result<(), Broken> {
        let target = self.events.exchange.in_flight.target.clone();
        self.job.trace.add(Step::StreamBroke {
            target: target.clone(),
            last_event: self.last_id,
            cause: broken.to_string(),
        });
        if broken.may_be_crash() {
            exchange::suspect_crash(&self.tries.gateway, &self.job, self.events.flight());
        }
        let Some(last_id) = self.last_id else {
            return Err(broken);
        };
        let after = HeaderValue::from(last_id);
        if self
            .tries
            .record_failure(&self.job, &target, AttemptError::Broken)
            .is_err()
        {
            return Err(broken);
        }
        let opened = self.tries.open_exchange(&self.job, Some(&after)).await;
        let Ok(exchange) = opened else {
            return Err(broken);
        };
        if !exchange.response.status().is_success() {
            return Err(broken);
        }
        self.job.trace.add(Step::Resumed {
            target: exchange.in_flight.target.clone(),
            last_event: last_id,
        });
        self.events = Events::new(exchange);
        self.started = false;
        Ok(())
    }
}

/// Index after the first whole event of a buffer.
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
