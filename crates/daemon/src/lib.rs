/*!
The daemon of cyclamengauge.

A daemon is a load balancer between clients and targets. It serves clients over
HTTP, routes each request with [`cyclamengauge_core`], and exchanges state with
the other instances through the platform's table service and directly.

All tasks run on one thread and share a [`node::Node`], or a
[`gateway::Gateway`] on the users' platform.

- [`client_api`]: completions and calls to plain services for clients;
- [`engines`]: attempts, reservations, reports and orders;
- [`operators`]: plans, confirmations, status and metrics;
- [`peers`]: control messages between the instances;
- [`control`]: configuration, leases and the platform's list of instances;
- [`gateway`]: the daemon on the users' platform;
- [`http`]: the HTTP server that all interfaces use;
- [`platform`]: clients of the table service and the object store;
- [`settings`]: the settings file;
- [`telemetry`]: logs and metrics.
*/

pub mod client_api;
pub mod control;
pub mod engines;
pub mod gateway;
pub mod http;
pub mod node;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod settings;
pub mod telemetry;

mod run;

pub use run::{Options, run};
