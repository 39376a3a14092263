/*!
Client of the engines' protocol: attempts, reservations, probes and orders.

`docs/design/engine-protocol.md` specifies the headers and paths.
*/

mod attempt;
mod reports;
mod reservations;
mod response_events;

pub use attempt::{cancel_attempt, run_attempt};
pub use reports::{apply_report, observed_engines, poll_reports, probe, send_order};
pub use reservations::{release_orphans, release_reservation, renew_reservation, reserve_memory};
pub use response_events::{Event, EventReader};

/// Header with the attempt's name, unique over all instances and restarts.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Header with the request's priority on the engine.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the number of response tokens that the client has already received.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";

/// Header with the estimated length in tokens of the prompt, or of the segment to
/// prefill.
pub const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";

/// Header with the reservation whose memory the request uses.
pub const RESERVATION_HEADER: &str = "x-reservation";
