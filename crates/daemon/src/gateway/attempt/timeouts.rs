//! Time limits for the response of a target.
//!
//! A busy engine may send nothing for a while, and a second prefill on another
//! engine costs the fleet more than a longer wait. An engine that stops sending is
//! therefore probed: it is alive if it has sent bytes to any instance since, or else
//! if it accepts a connection.

use std::{fmt, rc::Rc, time::Duration};

use cyclamengauge_core::{clock::Instant, serving::reachability::PathState};

use crate::gateway::{
    Gateway,
    attempt::{
        awaited::{Awaited, TargetAddress},
        client_request::ClientRequest,
        paths,
    },
};

/// Shortest time without an event of a stream after which its engine is probed.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Clients of a stream disconnect after a time without an event. According to the
/// platform's documentation, this is the longest of the first constant, the second
/// in latency objectives and the third in gap objectives.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_TIMEOUT_OBJECTIVES: u32 = 4;
const CLIENT_TIMEOUT_GAPS: u32 = 8;

/// Share of the client timeout after which an attempt ends if its engine accepts
/// connections but sends nothing. The rest is for the prefill on another engine.
const ACCEPTING_LIMIT_SHARE: f64 = 0.7;

/// Share of the client timeout after which an attempt ends even though its engine
/// responds to other requests.
const ACTIVE_LIMIT_SHARE: f64 = 0.95;

/// Time beyond the estimate of the first event until the engine is probed, and until
/// an attempt with a short or medium prompt ends.
const FIRST_EVENT_PROBE_MARGIN: Duration = Duration::from_millis(300);
const FIRST_EVENT_LIMIT_MARGIN: Duration = Duration::from_millis(1_200);

/// Shortest time for the response of a plain service before another attempt.
const MIN_PLAIN_LIMIT: Duration = Duration::from_millis(250);

/// Time for the response of a plain service before another attempt, in latency
/// objectives.
const PLAIN_LIMIT_OBJECTIVES: u32 = 2;

/// Interval between two checks whether the peer that makes an attempt is alive.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a probed target to accept a connection.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limits for a target that sends nothing, counted from the start of a wait.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Time until the first probe, and between two probes.
    probe_interval: Duration,
    /// Limit if the target accepts connections but sends nothing to any instance.
    accepting_limit: Duration,
    /// Limit if the target sends bytes for other requests.
    active_limit: Duration,
    /// Whether the wait ends when no target can be reached any more, or when the peer that
    /// makes the attempt falls silent: another attempt is allowed.
    can_end_early: bool,
    /// Whether the attempt is made for a peer. While this process stops, the peer can't hand
    /// the request over to it again, so the wait goes on.
    is_taken_over: bool,
}

/// What is known of an attempt when its time limits are set.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Estimated time to the first event.
    pub estimate: Duration,
    /// Whether the prompt is long.
    pub is_long: bool,
    /// Whether another attempt is allowed if this one fails after it may have executed the
    /// request.
    pub can_retry: bool,
    /// Whether the attempt is made for a peer.
    pub is_taken_over: bool,
}

/// Why a wait for a target ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// The deadline passed.
    DeadlineExceeded,
    /// The target sent nothing for this time and failed a probe or reached a limit.
    Silent(Duration),
    /// This instance reaches no target any more.
    CutOff,
}

impl fmt::Display for WaitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DeadlineExceeded => f.write_str("request deadline passed"),
            Self::CutOff => f.write_str("no target can be reached, and no data arrives"),
            Self::Silent(time) => {
                write!(f, "no data from the target within {} ms", time.as_millis())
            }
        }
    }
}

impl ResponseTimeouts {
    /// Limits for the first event of a stream.
    pub fn for_first_event(gateway: &Gateway, request: &ClientRequest, outlook: Outlook) -> Self {
        if !outlook.can_retry {
            return Self::until_deadline(gateway, request);
        }
        let estimate = outlook.estimate;
        let client_timeout = client_timeout(request);
        let limit = match outlook.is_long {
            true => client_timeout.mul_f64(ACCEPTING_LIMIT_SHARE),
            false => estimate + FIRST_EVENT_LIMIT_MARGIN,
        };
        Self {
            probe_interval: estimate * 2 + FIRST_EVENT_PROBE_MARGIN,
            accepting_limit: limit,
            active_limit: client_timeout.mul_f64(ACTIVE_LIMIT_SHARE).max(limit),
            can_end_early: true,
            is_taken_over: outlook.is_taken_over,
        }
    }

    /// Limits for the next event of a stream.
    pub fn for_next_event(gateway: &Gateway, request: &ClientRequest, outlook: Outlook) -> Self {
        if !outlook.can_retry {
            return Self::until_deadline(gateway, request);
        }
        let gap = request.stream.as_ref().map_or(Duration::ZERO, |s| s.gap);
        let client_timeout = client_timeout(request);
        Self {
            probe_interval: gap.max(MIN_PROBE_INTERVAL),
            accepting_limit: client_timeout.mul_f64(ACCEPTING_LIMIT_SHARE),
            active_limit: client_timeout.mul_f64(ACTIVE_LIMIT_SHARE),
            can_end_early: true,
            is_taken_over: outlook.is_taken_over,
        }
    }

    /// Limits for the response of a plain service. No probe, as a target that hangs
    /// may still accept connections.
    pub fn for_plain(gateway: &Gateway, request: &ClientRequest, outlook: Outlook) -> Self {
        if !outlook.can_retry {
            return Self::until_deadline(gateway, request);
        }
        let left = gateway.clock.until(request.deadline);
        let limit = (request.route.objective * PLAIN_LIMIT_OBJECTIVES).max(MIN_PLAIN_LIMIT);
        let limit = limit.min(left / 2);
        Self {
            probe_interval: limit,
            accepting_limit: limit,
            active_limit: limit,
            can_end_early: true,
            is_taken_over: outlook.is_taken_over,
        }
    }

    /// Limits for the response of a peer, which has its own limits for the target.
    pub fn for_peer(gateway: &Gateway, request: &ClientRequest, outlook: Outlook) -> Self {
        Self {
            can_end_early: outlook.can_retry,
            ..Self::until_deadline(gateway, request)
        }
    }

    /// Whether the wait may end before the deadline.
    pub fn can_end_early(&self) -> bool {
        self.can_end_early
    }

    fn until_deadline(gateway: &Gateway, request: &ClientRequest) -> Self {
        let left = gateway.clock.until(request.deadline);
        Self {
            probe_interval: left,
            accepting_limit: left,
            active_limit: left,
            can_end_early: false,
            is_taken_over: false,
        }
    }

    /// Waits for a future that completes on data from a target, or from the peer that passes
    /// its response on.
    ///
    /// # Errors
    ///
    /// If the deadline passes, the target fails a probe, a limit is reached, the peer falls
    /// silent, or no target can be reached any more.
    pub async fn wait<F: Future>(
        &self,
        gateway: &Rc<Gateway>,
        awaited: &Awaited,
        deadline: Instant,
        future: F,
    ) -> Result<F::Output, WaitError> {
        tokio::pin!(future);
        let since = gateway.clock.now();
        // A target that always has data ready would outlast any time limit.
        if since >= deadline {
            return Err(WaitError::DeadlineExceeded);
        }
        let service = &awaited.target.service;
        let ends_when_cut = self.can_end_early && awaited.peer.is_none();
        let probe_interval = match awaited.peer {
            Some(_) => PEER_CHECK_INTERVAL,
            None => self.probe_interval,
        };
        let mut probe_at = since + probe_interval;
        loop {
            let wait = gateway.clock.until(probe_at.min(deadline));
            let step = async {
                tokio::select! {
                    biased;
                    output = &mut future => Ok(output),
                    () = paths::wait_until_hanging(gateway, service), if ends_when_cut => {
                        Err(WaitError::CutOff)
                    }
                }
            };
            if let Ok(result) = actix_rt::time::timeout(wait, step).await {
                return result;
            }
            let now = gateway.clock.now();
            if now >= deadline {
                return Err(WaitError::DeadlineExceeded);
            }
            let waited = now - since;
            if let Some(peer) = awaited.peer {
                if self.can_end_early && !gateway.peers.borrow().is_heard(peer, now) {
                    return Err(WaitError::Silent(waited));
                }
                probe_at = now + probe_interval;
                continue;
            }
            if self.is_taken_over && gateway.is_shutting_down() {
                probe_at = now + probe_interval;
                continue;
            }
            let id = &awaited.target.target;
            let is_active = gateway.targets.borrow().has_received_since(id, since);
            let limit = if is_active {
                self.active_limit
            } else {
                self.accepting_limit
            };
            if waited >= limit
                || !(is_active || accepts_connections(gateway, &awaited.target).await)
            {
                return Err(WaitError::Silent(waited));
            }
            probe_at = (now + self.probe_interval).min(since + limit);
        }
    }
}

/// Time without an event after which the client of a stream disconnects.
pub fn client_timeout(request: &ClientRequest) -> Duration {
    let gap = request.stream.as_ref().map_or(Duration::ZERO, |s| s.gap);
    let objectives = request.route.objective * CLIENT_TIMEOUT_OBJECTIVES;
    objectives
        .max(gap * CLIENT_TIMEOUT_GAPS)
        .max(MIN_CLIENT_TIMEOUT)
}

/// Whether a target accepts connections, as far as this can be told: if open connections
/// outlive a cut of the path, new ones say nothing of the target.
async fn accepts_connections(gateway: &Rc<Gateway>, target: &TargetAddress) -> bool {
    let started_at = gateway.clock.now();
    let connected = paths::connect(gateway, target, PROBE_CONNECT_TIMEOUT).await;
    connected.is_ok() || gateway.own_link.explains(started_at) || {
        let reachability = gateway.reachability.borrow();
        reachability.state(&target.service) == PathState::CutOff
            && !reachability.hangs(&target.service)
    }
}
