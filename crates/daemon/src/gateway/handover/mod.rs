//! Requests that an instance hands over to a peer, as it reaches no target of their
//! service.
//!
//! A peer makes one attempt for each request that it takes, and passes the target's response
//! on, or says what came of the attempt. The instance that the client called keeps the
//! request: it counts the attempts, draws on the retry budget and resumes streams. A
//! message is signed with the key that the instances share, names its recipient and is
//! taken once.

mod codec;
mod outcome;
mod replies;
mod send;
mod take;

pub use codec::{Origin, Resumed, TakenRequest};
pub use replies::{error_response, mark_answered};
pub use send::{Failure, send};
pub use take::take;

/// Path at which an instance takes requests of its peers.
pub const PATH: &str = "/requests";
