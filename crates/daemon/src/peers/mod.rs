/*!
Control messages between the instances.

Every second an instance exchanges its state with one peer, in turn. After a new
configuration it sends the change to several peers at once, as many as the fan-out
allows. Each message carries a MAC under a key that the instances share.
*/

mod exchange;
pub mod mac;
mod server;

pub use exchange::{MAX_LOAD_HINTS, run as run_exchange};
pub use mac::{sign_reply, sign_request, verify_reply, verify_request};
pub use server::{ExchangeService, serve};
