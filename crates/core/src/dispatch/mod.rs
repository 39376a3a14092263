/*!
Runs each completion request from admission to its outcome.

[`Dispatcher`] is a state machine without I/O: each method takes an event with
its time and returns the [`Action`]s that its owner must carry out. The daemon
drives it with sockets and a clock, the experiments with an engine model and
virtual time.
*/

mod arrivals;
mod dispatcher;
mod failures;
mod groups;
mod request_state;
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
    /// An attempt to send to its engines.
    pub struct OutgoingAttempt {
        /// Request that the attempt belongs to.
        pub request: RequestId,
        /// Identifies the attempt in later events and actions.
        pub attempt: AttemptId,
        /// Engines that run the attempt, and the tokens for each.
        pub plan: Plan,
        /// Number of response tokens already delivered to the client; the attempt
        /// starts with the next one.
        pub resume_from: u64,
        /// Time by which the response must be complete.
        pub deadline: Instant,
        /// Number of earlier attempts of the request that failed.
        pub failed_attempts: u32,
        /// Time since the request was submitted.
        pub request_age: Duration,
    }

    /// Final result of a request.
    pub enum Outcome {
        /// The complete response was delivered.
        Completed,
        /// The request was refused, before or after attempts.
        Refused(Refusal),
        /// The client disconnected before the response was complete.
        Abandoned,
    }

    /// An operation that the dispatcher's owner must carry out.
    pub enum Action {
        /// Send an attempt to its engines.
        Send(OutgoingAttempt),
        /// Cancel an attempt on its engines.
        Cancel {
            /// Attempt to cancel.
            attempt: AttemptId,
            /// Engines that run it.
            engines: Vec<EngineId>,
        },
        /// Reserve KV memory on one engine of a group. The result is reported with
        /// [`Dispatcher::handle_reservation_reply`].
        Reserve {
            /// Attempt that owns the reservation.
            attempt: AttemptId,
            /// Engine that holds the memory.
            engine: EngineId,
            /// Amount of KV memory.
            memory: Tokens,
        },
        /// Extend the expiry of a reservation.
        Renew {
            /// Attempt that owns the reservation.
            attempt: AttemptId,
            /// Engine that holds the memory.
            engine: EngineId,
        },
        /// Release a reservation. The acknowledgement is reported with
        /// [`Dispatcher::handle_release`].
        Release {
            /// Attempt that owns the reservation.
            attempt: AttemptId,
            /// Engine that holds the memory.
            engine: EngineId,
        },
        /// Probe an engine immediately. The result is reported with
        /// [`Dispatcher::handle_probe_result`].
        Probe(EngineId),
        /// Report the outcome of a request to the client.
        Finish {
            /// Request that has ended.
            request: RequestId,
            /// Final result.
            outcome: Outcome,
        },
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection to the engine failed, so the engine has not received the
    /// request.
    NotSent,
    /// The engine refused the request without executing it.
    Rejected,
    /// The connection broke after the request was sent.
    Broken,
    /// The stream made no progress within the stall timeout.
    Stalled,
    /// The position of the received tokens was not the next one of the response.
    OutOfSequence,
}

/// Whether received tokens are to be sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Send the tokens to the client.
    Deliver,
    /// Discard the tokens: the attempt has ended, or they are out of sequence.
    Drop,
}

/// Result of a probe of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The engine responded.
    Alive {
        /// Process run of the engine; differs after each restart.
        incarnation: u64,
    },
    /// The engine refused the connection: its process has ended.
    Dead,
    /// The engine did not respond in time, or its response can't be read. It may be slow.
    Silent,
}

/// Events that the dispatcher schedules on its timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The deadline of a request passes.
    Deadline(RequestId),
    /// The stall timeout of an attempt may have passed.
    Stall(AttemptId),
    /// A waiting request is to be planned again.
    Replan(RequestId),
    /// Isolated engines and queued suspects are to be checked.
    Isolation,
    /// See [`HOUSEKEEPING_PERIOD`].
    Housekeeping,
}

/// Period of the updates of engine availability and of the renewals of
/// reservations.
pub(crate) const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);
