//! Stand-ins for the platform's store, an engine and clients, over real sockets.
//!
//! They use the standard library only, and a thread for each connection.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod sockets;
pub mod store;
