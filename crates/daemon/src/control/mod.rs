/*!
Work that goes on beside the requests: reading the configuration and the
platform's list, holding leases, and giving orders to engines.
*/

mod config;
mod leases;
mod listing;

use std::rc::Rc;

use crate::{engines, node::Node, peers};

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
