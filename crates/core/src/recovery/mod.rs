/*!
What happens when things fail: retries, crashing requests, reservations.
*/

pub mod budget;
pub mod quarantine;
pub mod reservation;
