//! One non-idempotent call from its claim to its recorded answer.

use std::{fmt, time::Duration};

use cyclamengauge_schema::v1;

use crate::{check_invariant, clock::Instant, text::SmolStr};

/// Time after its first claim in which a call may still be sent.
const CLAIM_LEASE: Duration = Duration::from_secs(5);

/// Age up to which another's claim counts as in progress, not as lost.
const IN_PROGRESS_MS: u64 = 60_000;

/// Time in which the same body without a key counts as the same call.
const IMPLICIT_KEY_MS: u64 = 120_000;

/// Tries to learn the fate of a write whose reply was lost.
const READ_TRIES: u32 = 4;

/// Writes of a record before the answer is given without it.
const RECORD_TRIES: u32 = 2;

/// Who claims a call: an instance, its incarnation and a number there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOwner(SmolStr);

impl ClaimOwner {
    /// Creates an owner; no two calls have the same.
    pub fn new(instance: &str, incarnation: u64, call: u64) -> Self {
        Self(SmolStr::new(format!("{instance}/{incarnation:x}/{call}")))
    }

    /// The owner as written in a row.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for ClaimOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How the target's part of a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetOutcome {
    /// The target answered.
    Responded {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// Nothing was sent.
    NotSent,
    /// It was sent and no whole answer came.
    Unknown,
}

/// What happened to the call.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written {
        /// The row's new version.
        version: u64,
    },
    /// The write's condition did not hold; the row as it is.
    Conflict {
        /// The row's version.
        version: u64,
        /// Its content.
        row: v1::ClaimRow,
    },
    /// No reply came to the write: it may have taken effect.
    WriteLost,
    /// The row was read.
    Read {
        /// The row's version; 0 if there is none.
        version: u64,
        /// Its content.
        row: Option<v1::ClaimRow>,
    },
    /// The row could not be read.
    ReadFailed,
    /// The target's part ended.
    CallEnded(TargetOutcome),
}

/// What the call's owner must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the claim if the row has this version; 0 stands for absent.
    WriteClaim {
        /// Version that the row must have.
        if_version: u64,
        /// The claim.
        row: v1::ClaimRow,
    },
    /// Read the row.
    Read,
    /// Send the call to its target, once.
    SendCall,
    /// Write the record if the row has this version.
    WriteRecord {
        /// Version that the row must have.
        if_version: u64,
        /// The record.
        row: v1::ClaimRow,
    },
    /// Give the caller the answer; the call is over.
    Respond(Response),
}

/// What the caller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The target's answer, fresh or recorded.
    Target {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
        /// Whether it comes from the record of an earlier call.
        replayed: bool,
    },
    /// The key was used for another body.
    KeyReused,
    /// The same call is in progress elsewhere.
    InProgress,
    /// The call may have run; it will not be run again.
    Unknown,
    /// The call did not run, as its target could not be reached.
    TargetUnreachable,
    /// The call did not run, as it could not be claimed. If `abandon` is set,
    /// the claim may stand and is to be marked as not run.
    StoreUnreachable {
        /// Whether a claim of this owner may stand.
        claim_may_exist: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Claiming {
        if_version: u64,
    },
    Resolving {
        if_version: u64,
        tries: u32,
    },
    Running {
        version: u64,
    },
    Recording {
        version: u64,
        tries: u32,
        answer: Response,
        row: v1::ClaimRow,
    },
    Over,
}

/// A call under way.
///
/// Invariant: [`Step::SendCall`] is returned at most once, and only after this
/// owner's claim is known to stand.
#[derive(Clone, Debug)]
pub struct Call {
    owner: ClaimOwner,
    body_sha256: String,
    implicit_key: bool,
    began_at: Instant,
    claimed_unix_ms: u64,
    phase: Phase,
    ran: bool,
}

impl Call {
    /// Begins a call. `implicit_key` tells that the caller named no key and the
    /// body stands for it.
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
            began_at: now,
            claimed_unix_ms: unix_ms,
            phase: Phase::Over,
            ran: false,
        };
        let step = call.claim(0);
        (call, step)
    }

    /// Takes in what happened and returns what to do next.
    pub fn handle_event(&mut self, event: Event, unix_ms: u64, now: Instant) -> Step {
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        match phase {
            Phase::Claiming { if_version } => self.on_claim(if_version, event, unix_ms, now),
            Phase::Resolving { if_version, tries } => {
                self.on_resolve(if_version, tries, event, unix_ms, now)
            }
            Phase::Running { version } => self.on_ran(version, event),
            Phase::Recording {
                version,
                tries,
                answer,
                row,
            } => self.on_recorded(version, tries, answer, row, event),
            Phase::Over => Step::Respond(Response::Unknown),
        }
    }

    /// The row that marks an abandoned claim of this owner as not run.
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

    fn on_claim(&mut self, if_version: u64, event: Event, unix_ms: u64, now: Instant) -> Step {
        match event {
            Event::Written { version } => self.claimed(version, now),
            Event::Conflict { version, row } => self.standing(version, row, unix_ms, now),
            _ => {
                self.phase = Phase::Resolving {
                    if_version,
                    tries: 0,
                };
                Step::Read
            }
        }
    }

    fn on_resolve(
        &mut self,
        if_version: u64,
        tries: u32,
        event: Event,
        unix_ms: u64,
        now: Instant,
    ) -> Step {
        match event {
            // Our write may still be under way, so it is repeated, not presumed
            // lost; if both take effect, the second conflicts with our own row.
            Event::Read { version, row } if version == if_version || row.is_none() => {
                if self.lapsed(now) {
                    return Step::Respond(Response::StoreUnreachable {
                        claim_may_exist: true,
                    });
                }
                self.claim(version)
            }
            Event::Read {
                version,
                row: Some(row),
            } => self.standing(version, row, unix_ms, now),
            _ if tries + 1 < READ_TRIES && !self.lapsed(now) => {
                self.phase = Phase::Resolving {
                    if_version,
                    tries: tries + 1,
                };
                Step::Read
            }
            _ => Step::Respond(Response::StoreUnreachable {
                claim_may_exist: true,
            }),
        }
    }

    /// A row stands under the key: ours, if an earlier reply was lost, or
    /// another call's.
    fn standing(&mut self, version: u64, row: v1::ClaimRow, unix_ms: u64, now: Instant) -> Step {
        if row.owner == self.owner.as_str() && row.state() == v1::ClaimState::Claimed {
            return self.claimed(version, now);
        }
        let age_ms = unix_ms.saturating_sub(row.claimed_unix_ms);
        let stale = self.implicit_key && age_ms > IMPLICIT_KEY_MS;
        if row.state() == v1::ClaimState::NotRun || stale {
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
            v1::ClaimState::Claimed if age_ms < IN_PROGRESS_MS => Response::InProgress,
            _ => Response::Unknown,
        })
    }

    fn claimed(&mut self, version: u64, now: Instant) -> Step {
        if self.lapsed(now) {
            let row = self.row(v1::ClaimState::NotRun);
            let answer = Response::StoreUnreachable {
                claim_may_exist: true,
            };
            return self.record(version, row, answer);
        }
        check_invariant!(
            !self.ran,
            "call-runs-once",
            "{} would be sent a second time",
            self.owner
        );
        self.ran = true;
        self.phase = Phase::Running { version };
        Step::SendCall
    }

    fn on_ran(&mut self, version: u64, event: Event) -> Step {
        let Event::CallEnded(finished) = event else {
            self.phase = Phase::Running { version };
            return Step::Respond(Response::Unknown);
        };
        match finished {
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
                let answer = Response::Target {
                    status,
                    content_type,
                    body,
                    replayed: false,
                };
                self.record(version, row, answer)
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

    fn record(&mut self, version: u64, row: v1::ClaimRow, answer: Response) -> Step {
        self.phase = Phase::Recording {
            version,
            tries: 1,
            answer,
            row: row.clone(),
        };
        Step::WriteRecord {
            if_version: version,
            row,
        }
    }

    fn on_recorded(
        &mut self,
        version: u64,
        tries: u32,
        answer: Response,
        row: v1::ClaimRow,
        event: Event,
    ) -> Step {
        if event != Event::WriteLost || tries >= RECORD_TRIES {
            return Step::Respond(answer);
        }
        self.phase = Phase::Recording {
            version,
            tries: tries + 1,
            answer,
            row: row.clone(),
        };
        Step::WriteRecord {
            if_version: version,
            row,
        }
    }

    fn lapsed(&self, now: Instant) -> bool {
        now - self.began_at > CLAIM_LEASE
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
