/*!
A small installation on loopback: stand-ins and daemons, each a process.

[`Fleet`] starts the processes, puts a declaration in force and ends them all
when dropped. The demo and the tests over real sockets share it.
*/

mod client;
mod config;
mod fleet;
mod process;

pub use client::{Answer, Booking, Caller, Ended};
pub(crate) use config::bearer;
pub use config::{ACCOUNT_KEY, MODEL, OPERATOR_KEY, declaration, settings};
pub use fleet::{Fleet, FleetOptions, free_addresses};
pub use process::Process;
