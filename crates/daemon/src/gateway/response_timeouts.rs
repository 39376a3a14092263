//! How long a target may take, and what a silence of it means.
//!
//! A busy engine is silent too, and to read a prompt again elsewhere costs the
//! fleet more than to wait. An engine that falls silent is therefore asked for a
//! sign of life: something that it sent to any instance since, or else a
//! connection that it takes.

use std::{fmt, net::SocketAddr, time::Duration};

use cyclamengauge_core::{clock::Instant, ids::EngineId};

use crate::gateway::{Gateway, attempts::Attempts, exchange::ClientRequest, upstream::Connection};

/// Silence within a stream after which its engine is asked for a sign of life.
const LEAST_SILENCE: Duration = Duration::from_millis(500);

/// Silence within a stream after which callers leave: the longest of this, of
/// some latency objectives and of some gap objectives, from the platform's
/// documentation.
const LEAST_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALLER_OBJECTIVES: u32 = 4;
const CALLER_GAPS: u32 = 8;

/// Part of the callers' patience after which an engine that only takes
/// connections is given up; the rest is for the next engine to read.
const SILENT_SHARE: f64 = 0.7;

/// Part of the callers' patience after which an engine that answers others is
/// given up.
const BUSY_SHARE: f64 = 0.95;

/// Time that the first event of a short prompt has besides its estimate before
/// its engine is asked for a sign of life, and before it is given up.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(300);
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_200);

/// Shortest wait for a plain answer before another target is asked.
const LEAST_PLAIN_LIMIT: Duration = Duration::from_millis(250);

/// Wait for a plain answer before another target is asked, in latency objectives.
const PLAIN_OBJECTIVES: u32 = 2;

/// Time for an engine to show that it lives by taking a connection.
const LIFE_SIGN_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a target may be silent.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// After this, it is asked for a sign of life.
    silence: Duration,
    /// After this, it is given up if it only takes connections.
    limit: Duration,
    /// After this, it is given up in any case.
    busy_limit: Duration,
}

/// Why an answer is not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// The deadline passed.
    DeadlineExceeded,
    /// The target was silent for this long.
    Silent(Duration),
}

impl fmt::Display for WaitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DeadlineExceeded => f.write_str("the deadline passed"),
            Self::Silent(time) => write!(f, "nothing came in {} ms", time.as_millis()),
        }
    }
}

impl ResponseTimeouts {
    /// For the first event of a stream.
    pub fn for_first_event(job: &ClientRequest, attempts: &Attempts) -> Self {
        if !attempts.may_repeat(job) {
            return Self::until_deadline(job, attempts);
        }
        let expected = attempts.estimate;
        let caller = caller_patience(job);
        let limit = match attempts.long {
            true => caller.mul_f64(SILENT_SHARE),
            false => expected + FIRST_EVENT_LIMIT,
        };
        Self {
            silence: expected * 2 + FIRST_EVENT_SILENCE,
            limit,
            busy_limit: caller.mul_f64(BUSY_SHARE).max(limit),
        }
    }

    /// For the next event of a stream.
    pub fn for_next_event(job: &ClientRequest, attempts: &Attempts) -> Self {
        if !attempts.may_repeat(job) {
            return Self::until_deadline(job, attempts);
        }
        let gap = job.stream.as_ref().map_or(Duration::ZERO, |s| s.gap);
        let caller = caller_patience(job);
        Self {
            silence: gap.max(LEAST_SILENCE),
            limit: caller.mul_f64(SILENT_SHARE),
            busy_limit: caller.mul_f64(BUSY_SHARE),
        }
    }

    /// For a plain answer. A target that takes connections may yet be stuck.
    pub fn for_plain(job: &ClientRequest, attempts: &Attempts) -> Self {
        if !attempts.may_repeat(job) {
            return Self::until_deadline(job, attempts);
        }
        let left = attempts.gateway.clock.until(job.deadline);
        let limit = (job.route.objective * PLAIN_OBJECTIVES).max(LEAST_PLAIN_LIMIT);
        let limit = limit.min(left / 2);
        Self {
            silence: limit,
            limit,
            busy_limit: limit,
        }
    }

    fn until_deadline(job: &ClientRequest, attempts: &Attempts) -> Self {
        let left = attempts.gateway.clock.until(job.deadline);
        Self {
            silence: left,
            limit: left,
            busy_limit: left,
        }
    }

    /// Waits for something from a target.
    ///
    /// # Errors
    ///
    /// If it does not come in time.
    pub async fn wait<F: Future>(
        &self,
        gateway: &Gateway,
        target: (&EngineId, SocketAddr),
        deadline: Instant,
        future: F,
    ) -> Result<F::Output, WaitError> {
        tokio::pin!(future);
        let since = gateway.clock.now();
        let (id, address) = target;
        let mut look_at = since + self.silence;
        loop {
            let wait = gateway.clock.until(look_at.min(deadline));
            if let Ok(output) = actix_rt::time::timeout(wait, &mut future).await {
                return Ok(output);
            }
            let now = gateway.clock.now();
            if now >= deadline {
                return Err(WaitError::DeadlineExceeded);
            }
            let waited = now - since;
            let busy = gateway.targets.borrow().has_received_since(id, since);
            let limit = if busy { self.busy_limit } else { self.limit };
            if waited >= limit || !(busy || takes_connections(address).await) {
                return Err(WaitError::Silent(waited));
            }
            look_at = (now + self.silence).min(since + limit);
        }
    }
}

/// Silence after which the caller of a stream leaves.
pub fn caller_patience(job: &ClientRequest) -> Duration {
    let gap = job.stream.as_ref().map_or(Duration::ZERO, |s| s.gap);
    let objectives = job.route.objective * CALLER_OBJECTIVES;
    objectives.max(gap * CALLER_GAPS).max(LEAST_CALLER_PATIENCE)
}

async fn takes_connections(address: SocketAddr) -> bool {
    Connection::open(address, LIFE_SIGN_TIMEOUT).await.is_ok()
}
