//! One attempt of a request at one target: connection, exchange, time limits and events.

mod awaited;
mod body;
mod check;
mod client_request;
mod crash;
mod error;
mod events;
mod exchange;
mod guards;
pub mod paths;
mod reservations;
mod timeouts;

pub use body::{Exchange, collect_response};
pub use check::check;
pub use client_request::ClientRequest;
pub use crash::suspect_crash;
pub use error::{AttemptError, log_failure};
pub use events::{EventBatch, EventReader, StreamError};
pub use exchange::send;
pub use guards::{InFlightGuard, InProgressGuard, QueueEntry, TakenOverGuard};
pub use reservations::Reservations;
pub use timeouts::{Outlook, ResponseTimeouts, client_timeout};
