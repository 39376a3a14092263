/*!
Control messages between the instances.

Every second an instance exchanges what it knows with one peer in turn;
after a new configuration it tells all it can reach within one fan-out at once.
A message carries a MAC under a key that the instances share.
*/

mod exchange;
mod mac;
mod server;

pub use exchange::{MAX_LOAD_HINTS, run as run_exchange};
pub use mac::{sign_reply, sign_request, verify_reply, verify_request};
pub use server::{Inbox, serve};
