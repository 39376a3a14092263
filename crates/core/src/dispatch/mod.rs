/*!
Carries each completion from admission to its end.

[`Dispatcher`] is a state machine without I/O: it is told what happened and at
what time, and returns [`Action`]s for its owner to carry out. The daemon drives
it with sockets and a clock, the experiments with an engine model and virtual
time.
*/

mod arrivals;
mod dispatcher;
mod failures;
mod flight;
mod groups;
mod suspects;

use std::time::Duration;

pub use dispatcher::{Dispatcher, Settings};

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId, RequestId},
    request::Refusal,
    routing::Plan,
    units::Tokens,
};

crate::data_types! {
    /// An attempt that is to be sent to its engines.
    pub struct OutgoingAttempt {
        /// The request.
        pub request: RequestId,
        /// The attempt; events about it carry this number.
        pub attempt: AttemptId,
        /// Where it runs.
        pub plan: Plan,
        /// Tokens of the answer that the caller has already.
        pub resume_from: u64,
        /// When the answer must be complete.
        pub deadline: Instant,
        /// Attempts of the request that failed before.
        pub failed_attempts: u32,
        /// Time since the request arrived.
        pub request_age: Duration,
    }

    /// How a request ended.
    pub enum Outcome {
        /// The whole answer was delivered.
        Completed,
        /// It was refused or given up.
        Refused(Refusal),
        /// The caller went away.
        Abandoned,
    }

    /// What the dispatcher's owner must do.
    pub enum Action {
        /// Send an attempt to its engines.
        Send(OutgoingAttempt),
        /// Cancel an attempt on its engines.
        Cancel {
            /// The attempt.
            attempt: AttemptId,
            /// Where it runs.
            engines: Vec<EngineId>,
        },
        /// Reserve memory for an attempt.
        Reserve {
            /// The attempt.
            attempt: AttemptId,
            /// The engine to ask.
            engine: EngineId,
            /// KV memory.
            memory: Tokens,
        },
        /// Push a reservation's expiry forward.
        Renew {
            /// The attempt that owns it.
            attempt: AttemptId,
            /// The engine.
            engine: EngineId,
        },
        /// Give reserved memory back.
        Release {
            /// The attempt that owns it.
            attempt: AttemptId,
            /// The engine.
            engine: EngineId,
        },
        /// Ask an engine now whether it is alive.
        Probe(EngineId),
        /// Tell the caller the end.
        Finish {
            /// The request.
            request: RequestId,
            /// Its end.
            outcome: Outcome,
        },
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine could not be connected to; it has seen nothing.
    NotSent,
    /// The engine refused the request before running it.
    Rejected,
    /// The connection broke after the request was sent.
    Broken,
    /// The stream made no progress for too long.
    Stalled,
    /// The answer's tokens were not in sequence.
    OutOfSequence,
}

/// What to do with tokens that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Pass them on to the caller.
    Deliver,
    /// Drop them: the attempt is over or the tokens are not the next ones.
    Drop,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The engine answers; the number changes when it restarts.
    Alive {
        /// Its incarnation.
        incarnation: u64,
    },
    /// It does not answer.
    Dead,
}

/// Points in time to which the dispatcher subscribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Deadline(RequestId),
    Stall(AttemptId),
    Retry(RequestId),
    Isolation,
    Housekeeping,
}

/// Time between two runs of housekeeping.
pub(crate) const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);
