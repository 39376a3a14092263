/*!
Failure handling: retry budget, quarantine of crashing content, reservations.
*/

pub mod local_retry_budget;
pub mod quarantine;
pub mod reservation;
