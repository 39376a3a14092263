/*!
What the daemon says to engines: attempts, reservations, probes and orders.

The headers and paths of the engines' protocol stand in
`docs/design/engine-protocol.md`.
*/

mod attempt;
mod events;
mod memory;
mod reports;

pub use attempt::{cancel_attempt, run_attempt};
pub use events::{Event, EventReader};
pub use memory::{release_reservation, renew_reservation, reserve_memory, sweep};
pub use reports::{observed_engines, order, poll_reports, probe, take_report};

/// Header that names an attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Header with the priority on the engine.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the time left for the answer.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the number of tokens that the caller has already.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";

/// Header with the prompt's length as the daemon estimates it.
pub const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";

/// Header with the reservation whose memory is to be used.
pub const RESERVATION_HEADER: &str = "x-reservation";
