/*!
Background loops of the daemon: reading the configuration and the platform's list of
instances, holding the lease for orders, and sending orders to engines.
*/

mod config;
mod discovery;
mod orders;

use std::{rc::Rc, time::Duration};

use crate::{engines, node::Node, peers};

/// Limit on the periodic reads of one kind per second that all instances together send
/// to the platform.
const MAX_READS_PER_S: f64 = 100.0;

/// Spawns the control loops of a daemon; the exchange with peers only if it has peers.
pub fn start(node: &Rc<Node>) {
    actix_rt::spawn(Rc::clone(node).run_timers());
    actix_rt::spawn(config::refresh(Rc::clone(node)));
    actix_rt::spawn(discovery::refresh(Rc::clone(node)));
    actix_rt::spawn(engines::poll_reports(Rc::clone(node)));
    actix_rt::spawn(orders::run(Rc::clone(node)));
    if !node.settings.peers.is_empty() {
        actix_rt::spawn(peers::run_exchange(Rc::clone(node)));
    }
}

/// Returns the time to the next periodic read: `interval` times a random factor from 0.5
/// to 1.5. The interval is longer where the reads of all instances would otherwise exceed
/// `MAX_READS_PER_S`.
fn jittered_interval(node: &Node, interval: Duration) -> Duration {
    let min_interval = Duration::from_secs_f64(f64::from(node.instance_count()) / MAX_READS_PER_S);
    interval.max(min_interval).mul_f64(0.5 + fastrand::f64())
}
