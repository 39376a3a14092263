/*!
Work that goes on beside the requests: reading the configuration and the
platform's list, holding leases, and giving orders to engines.
*/

mod config;
mod leases;
mod listing;

use std::{rc::Rc, time::Duration};

use crate::{engines, node::Node, peers};

/// Reads a second of each kind that all instances together make of the platform
/// while nothing changes.
const READ_BUDGET_PER_S: f64 = 100.0;

/// Starts all control loops of a daemon.
pub fn start(node: &Rc<Node>) {
    actix_rt::spawn(Rc::clone(node).run_timers());
    actix_rt::spawn(config::refresh(Rc::clone(node)));
    actix_rt::spawn(listing::refresh(Rc::clone(node)));
    actix_rt::spawn(engines::poll_reports(Rc::clone(node)));
    actix_rt::spawn(leases::run(Rc::clone(node)));
    if !node.settings.peers.is_empty() {
        actix_rt::spawn(peers::run_exchange(Rc::clone(node)));
    }
}

/// Pause before the next periodic read. It is drawn at random around `period`,
/// and made longer where so many instances share the platform that their reads
/// would exceed the budget.
fn pause(node: &Node, period: Duration) -> Duration {
    let fair = Duration::from_secs_f64(f64::from(node.instance_count()) / READ_BUDGET_PER_S);
    period.max(fair).mul_f64(0.5 + fastrand::f64())
}
