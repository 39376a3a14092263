//! What clients are told: the heads of targets' responses, and error responses of the
//! instance.

mod error;
mod heads;

pub use error::{GatewayError, error_response};
pub use heads::{
    UNMARKED_END_HEADER, close_if_shutting_down, from_target, is_hop_by_hop, with_head,
};
