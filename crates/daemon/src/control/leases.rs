//! Holds the lease on giving orders, and gives them while it is held.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::intent::{self, Lease, LeaseEvent, LeaseStep, OrderLimits};
use cyclamengauge_schema::v1;

use crate::{engines, node::Node, platform::Put};

/// Row of the lease on giving orders to engines.
const ROW: &str = "lease-orders";

/// Time between two looks at the lease and the engines.
const PERIOD: Duration = Duration::from_millis(500);

/// Loads of weights at a time, as the weight store is limited in rate.
const MAX_LOADS: usize = 2;

/// Takes part in the lease for the life of the daemon.
pub(super) async fn run(node: Rc<Node>) {
    let mut lease = Lease::new(&node.holder_name());
    loop {
        let jittered = PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0);
        actix_rt::time::sleep(jittered).await;
        if node.closing.get() {
            if let Some(step) = lease.resign() {
                drive(&node, &mut lease, step).await;
            }
            return;
        }
        let step = lease.tick(node.clock.now());
        drive(&node, &mut lease, step).await;
        if lease.fence(node.clock.now()).is_some() {
            give_orders(&node, &lease).await;
        }
    }
}

async fn drive(node: &Node, lease: &mut Lease, mut step: LeaseStep) {
    loop {
        let event = match step {
            LeaseStep::Wait => return,
            LeaseStep::Read => read(node).await,
            LeaseStep::Write { if_version, row } => write(node, if_version, &row).await,
        };
        let lost = event == LeaseEvent::ReplyLost;
        step = lease.handle_event(event, node.clock.now());
        if lost {
            return;
        }
    }
}

async fn read(node: &Node) -> LeaseEvent {
    match node.platform.get(ROW).await {
        Ok(row) => LeaseEvent::Read {
            version: row.version,
            row: serde_json::from_slice(&row.value).ok(),
        },
        Err(_) => LeaseEvent::ReplyLost,
    }
}

async fn write(node: &Node, if_version: u64, row: &v1::LeaseRow) -> LeaseEvent {
    let value = serde_json::to_vec(row).unwrap_or_default();
    match node.platform.put(ROW, if_version, value).await {
        Ok(Put::Written(version)) => LeaseEvent::Written { version },
        Ok(Put::Conflict(_)) => LeaseEvent::Conflict,
        Err(_) => LeaseEvent::ReplyLost,
    }
}

/// Compares what is with what should be, and orders the difference. The fence
/// is asked anew before each order, as a pause may lie between two.
async fn give_orders(node: &Node, lease: &Lease) {
    let desired = {
        let current = node.current.borrow();
        current.accepted().and_then(|a| a.declaration.clone())
    };
    let Some(desired) = desired else {
        return;
    };
    let observed = engines::observed(node);
    let limits = OrderLimits {
        max_model_loads: MAX_LOADS,
        running_model_loads: 0,
    };
    for (engine, mut order) in intent::next_orders(&desired, &observed, limits) {
        let Some(fence) = lease.fence(node.clock.now()) else {
            return;
        };
        order.fence = fence;
        order.holder = node.holder_name();
        let kind = order.kind().as_str_name();
        let accepted = engines::order(node, &engine, &order).await;
        tracing::info!(%engine, kind, fence, accepted, "order: {kind} to {engine} under fence {fence}");
    }
}
