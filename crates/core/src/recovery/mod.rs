/*!
What happens when things fail: retries, crashing requests, reservations.
*/

pub mod local_retry_budget;
pub mod quarantine;
pub mod reservation;
