//! State machine of one non-idempotent call, from its claim to the recorded result.

use std::{fmt, time::Duration};

use cyclamengauge_schema::v1;

use crate::{check_invariant, clock::Instant, text::SmolStr};

/// Time after the start of a call in which it may be claimed and sent.
const CLAIM_LEASE: Duration = Duration::from_secs(5);

/// Age below which another owner's claim counts as in progress; from then on its
/// outcome counts as unknown.
const MAX_IN_PROGRESS_MS: u64 = 60_000;

/// Time in which calls without a key count as the same call if their bodies are
/// equal.
const IMPLICIT_KEY_TTL_MS: u64 = 120_000;

/// Reads of the row, in sequence, to find the result of a claim write whose reply
/// was lost.
const MAX_CLAIM_READS: u32 = 4;

/// Writes of a record, after which the response is sent without a stored record.
const MAX_RECORD_WRITES: u32 = 2;

/// Owner of a claim: the instance, its incarnation and the number of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOwner(SmolStr);

impl ClaimOwner {
    /// Creates an owner. `call` must be unique within the incarnation.
    pub fn new(instance: &str, incarnation: u64, call: u64) -> Self {
        Self(SmolStr::new(format!("{instance}/{incarnation:x}/{call}")))
    }

    /// The owner as it is stored in [`v1::ClaimRow`].
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for ClaimOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Result of sending a call to its target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetOutcome {
    /// The target sent a complete response.
    Responded {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// No target received the call.
    NotSent,
    /// The call may have been sent, and no complete response arrived.
    Unknown,
}

/// Result of the previous [`Step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written {
        /// New version of the row.
        version: u64,
    },
    /// The row did not have the version that the write required.
    Conflict {
        /// Current version of the row.
        version: u64,
        /// Current content of the row.
        row: v1::ClaimRow,
    },
    /// No reply to the write arrived; the write may have taken effect.
    WriteLost,
    /// The row was read.
    Read {
        /// Current version of the row; 0 if the row does not exist.
        version: u64,
        /// Current content of the row.
        row: Option<v1::ClaimRow>,
    },
    /// The row could not be read.
    ReadFailed,
    /// The call to the target has ended or could not be sent.
    CallEnded(TargetOutcome),
}

/// Next action of the instance that handles the call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the claim if the row has the given version.
    WriteClaim {
        /// Version that the row must have; 0 if the row must not exist.
        if_version: u64,
        /// Content of the row.
        row: v1::ClaimRow,
    },
    /// Read the row.
    Read,
    /// Send the call to its target, at most once.
    SendCall,
    /// Write the result of the call if the row has the given version.
    WriteRecord {
        /// Version that the row must have.
        if_version: u64,
        /// Content of the row.
        row: v1::ClaimRow,
    },
    /// Send the response to the client, which ends the call.
    Respond(Response),
}

/// Response to the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Response of the target to this call, or the recorded one of an earlier call.
    Target {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Body of the response.
        body: Vec<u8>,
        /// Whether the response was recorded by an earlier call.
        replayed: bool,
    },
    /// The key was used for a call with another body.
    KeyReused,
    /// Another owner is executing the same call.
    InProgress,
    /// The call may have been executed and will not be sent again.
    Unknown,
    /// The call was not executed, as no target could be reached.
    TargetUnreachable,
    /// The call was not executed, as it could not be claimed in time.
    StoreUnreachable {
        /// Whether the row may hold a claim of this owner. It is then to be
        /// overwritten with [`Call::not_executed_row`].
        claim_may_exist: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The claim is being written.
    Claiming {
        if_version: u64,
    },
    /// The reply to the claim was lost and the row is being read.
    Resolving {
        if_version: u64,
        failed_reads: u32,
    },
    /// The call is being sent.
    Running {
        version: u64,
    },
    /// The result is being written.
    Recording {
        version: u64,
        writes: u32,
        response: Response,
        row: v1::ClaimRow,
    },
    Ended,
}

/// A call in progress.
///
/// Invariant: [`Step::SendCall`] is returned at most once, and only after the
/// store has confirmed this owner's claim.
#[derive(Clone, Debug)]
pub struct Call {
    owner: ClaimOwner,
    body_sha256: String,
    implicit_key: bool,
    started_at: Instant,
    claimed_unix_ms: u64,
    phase: Phase,
    /// Whether [`Step::SendCall`] was returned.
    sent: bool,
}

impl Call {
    /// Starts a call. `body_sha256` identifies the body; with `implicit_key`, the
    /// client sent no key and the body serves as the key. `unix_ms` is the time of
    /// the claim, in milliseconds since the Unix epoch.
    pub fn begin(
        owner: ClaimOwner,
        body_sha256: String,
        implicit_key: bool,
        unix_ms: u64,
        now: Instant,
    ) -> (Self, Step) {
        let mut call = Self {
            owner,
            body_sha256,
            implicit_key,
            started_at: now,
            claimed_unix_ms: unix_ms,
            phase: Phase::Ended,
            sent: false,
        };
        let step = call.claim(0);
        (call, step)
    }

    /// Handles the result of the previous step and returns the next step.
    pub fn handle_event(&mut self, event: Event, unix_ms: u64, now: Instant) -> Step {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        match phase {
            Phase::Claiming { if_version } => {
                self.handle_claim_result(if_version, event, unix_ms, now)
            }
            Phase::Resolving {
                if_version,
                failed_reads,
            } => self.handle_row_read(if_version, failed_reads, event, unix_ms, now),
            Phase::Running { version } => self.handle_call_ended(version, event),
            Phase::Recording {
                version,
                writes,
                response,
                row,
            } => self.handle_record(version, writes, response, row, event),
            Phase::Ended => Step::Respond(Response::Unknown),
        }
    }

    /// Row that marks the claim of this owner as not executed.
    pub fn not_executed_row(&self) -> v1::ClaimRow {
        self.row(v1::ClaimState::NotRun)
    }

    fn claim(&mut self, if_version: u64) -> Step {
        self.phase = Phase::Claiming { if_version };
        Step::WriteClaim {
            if_version,
            row: self.row(v1::ClaimState::Claimed),
        }
    }

    fn handle_claim_result(
        &mut self,
        if_version: u64,
        event: Event,
        unix_ms: u64,
        now: Instant,
    ) -> Step {
        match event {
            Event::Written { version } => self.handle_claimed(version, now),
            Event::Conflict { version, row } => {
                self.handle_existing_row(version, row, unix_ms, now)
            }
            _ => {
                self.phase = Phase::Resolving {
                    if_version,
                    failed_reads: 0,
                };
                Step::Read
            }
        }
    }

    fn handle_row_read(
        &mut self,
        if_version: u64,
        failed_reads: u32,
        event: Event,
        unix_ms: u64,
        now: Instant,
    ) -> Step {
        match event {
            // The first claim write may still arrive, so it is repeated rather than
            // counted as lost. If both take effect, the second one conflicts with
            // this owner's own row.
            Event::Read { version, row } if version == if_version || row.is_none() => {
                if self.is_lease_expired(now) {
                    return Step::Respond(Response::StoreUnreachable {
                        claim_may_exist: true,
                    });
                }
                self.claim(version)
            }
            Event::Read {
                version,
                row: Some(row),
            } => self.handle_existing_row(version, row, unix_ms, now),
            _ if failed_reads + 1 < MAX_CLAIM_READS && !self.is_lease_expired(now) => {
                self.phase = Phase::Resolving {
                    if_version,
                    failed_reads: failed_reads + 1,
                };
                Step::Read
            }
            _ => Step::Respond(Response::StoreUnreachable {
                claim_may_exist: true,
            }),
        }
    }

    /// Handles a row that exists under the key: this owner's row, if an earlier
    /// reply was lost, or the row of another call.
    fn handle_existing_row(
        &mut self,
        version: u64,
        row: v1::ClaimRow,
        unix_ms: u64,
        now: Instant,
    ) -> Step {
        if row.owner == self.owner.as_str() && row.state() == v1::ClaimState::Claimed {
            return self.handle_claimed(version, now);
        }
        let age_ms = unix_ms.saturating_sub(row.claimed_unix_ms);
        let is_key_expired = self.implicit_key && age_ms > IMPLICIT_KEY_TTL_MS;
        if row.state() == v1::ClaimState::NotRun || is_key_expired {
            return self.claim(version);
        }
        if row.body_sha256 != self.body_sha256 {
            return Step::Respond(Response::KeyReused);
        }
        Step::Respond(match row.state() {
            v1::ClaimState::Answered => Response::Target {
                status: row.status as u16,
                content_type: row.content_type,
                body: row.answer,
                replayed: true,
            },
            v1::ClaimState::Claimed if age_ms < MAX_IN_PROGRESS_MS => Response::InProgress,
            _ => Response::Unknown,
        })
    }

    fn handle_claimed(&mut self, version: u64, now: Instant) -> Step {
        if self.is_lease_expired(now) {
            let row = self.row(v1::ClaimState::NotRun);
            let response = Response::StoreUnreachable {
                claim_may_exist: true,
            };
            return self.record(version, row, response);
        }
        check_invariant!(
            !self.sent,
            "call-runs-once",
            "call of owner {} is to be sent a second time",
            self.owner
        );
        self.sent = true;
        self.phase = Phase::Running { version };
        Step::SendCall
    }

    fn handle_call_ended(&mut self, version: u64, event: Event) -> Step {
        let Event::CallEnded(outcome) = event else {
            self.phase = Phase::Running { version };
            return Step::Respond(Response::Unknown);
        };
        match outcome {
            TargetOutcome::Responded {
                status,
                content_type,
                body,
            } => {
                let row = v1::ClaimRow {
                    status: u32::from(status),
                    content_type: content_type.clone(),
                    answer: body.clone(),
                    ..self.row(v1::ClaimState::Answered)
                };
                let response = Response::Target {
                    status,
                    content_type,
                    body,
                    replayed: false,
                };
                self.record(version, row, response)
            }
            TargetOutcome::NotSent => {
                let row = self.row(v1::ClaimState::NotRun);
                self.record(version, row, Response::TargetUnreachable)
            }
            TargetOutcome::Unknown => {
                let row = self.row(v1::ClaimState::Unknown);
                self.record(version, row, Response::Unknown)
            }
        }
    }

    fn record(&mut self, version: u64, row: v1::ClaimRow, response: Response) -> Step {
        self.phase = Phase::Recording {
            version,
            writes: 1,
            response,
            row: row.clone(),
        };
        Step::WriteRecord {
            if_version: version,
            row,
        }
    }

    fn handle_record(
        &mut self,
        version: u64,
        writes: u32,
        response: Response,
        row: v1::ClaimRow,
        event: Event,
    ) -> Step {
        if event != Event::WriteLost || writes >= MAX_RECORD_WRITES {
            return Step::Respond(response);
        }
        self.phase = Phase::Recording {
            version,
            writes: writes + 1,
            response,
            row: row.clone(),
        };
        Step::WriteRecord {
            if_version: version,
            row,
        }
    }

    fn is_lease_expired(&self, now: Instant) -> bool {
        now - self.started_at > CLAIM_LEASE
    }

    fn row(&self, state: v1::ClaimState) -> v1::ClaimRow {
        v1::ClaimRow {
            owner: self.owner.as_str().to_owned(),
            body_sha256: self.body_sha256.clone(),
            state: state.into(),
            claimed_unix_ms: self.claimed_unix_ms,
            ..v1::ClaimRow::default()
        }
    }
}
