//! Requests from arrival to response: admission, queueing, retries and resumption.

mod attempts;
mod placing;
mod prepare;
mod relay;
mod serve;

pub use serve::{handle, handle_peer};
