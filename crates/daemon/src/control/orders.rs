//! Acquires the lease for sending orders to engines, and sends orders while this
//! instance holds the lease.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::intent::{self, Lease, LeaseEvent, LeaseStep, OrderLimits};
use cyclamengauge_schema::v1;

use crate::{engines, node::Node, platform::PutOutcome};

/// Key of the table row that holds the lease.
const LEASE_KEY: &str = "lease-orders";

/// Mean time between two checks of the lease and of the engines' states.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Engines that may load weights at the same time, as the weight store's rate is
/// limited.
const MAX_CONCURRENT_LOADS: usize = 2;

/// Acquires or renews the lease and sends orders until the daemon shuts down, then
/// releases the lease if it is held.
pub(super) async fn run(node: Rc<Node>) {
    let mut lease = Lease::new(&node.holder_name());
    loop {
        let interval = CHECK_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0);
        actix_rt::time::sleep(interval).await;
        if node.shutting_down.get() {
            if let Some(step) = lease.resign() {
                run_steps(&node, &mut lease, step).await;
            }
            return;
        }
        let step = lease.tick(node.clock.now());
        run_steps(&node, &mut lease, step).await;
        if lease.fence(node.clock.now()).is_some() {
            send_orders(&node, &lease).await;
        }
    }
}

/// Carries out the lease's steps until none is due or a call to the table service
/// fails.
async fn run_steps(node: &Node, lease: &mut Lease, mut step: LeaseStep) {
    loop {
        let event = match step {
            LeaseStep::Wait => return,
            LeaseStep::Read => read_lease(node).await,
            LeaseStep::Write { if_version, row } => write_lease(node, if_version, &row).await,
        };
        let call_failed = event == LeaseEvent::ReplyLost;
        step = lease.handle_event(event, node.clock.now());
        if call_failed {
            return;
        }
    }
}

async fn read_lease(node: &Node) -> LeaseEvent {
    match node.platform.get(LEASE_KEY).await {
        Ok(row) => LeaseEvent::Read {
            version: row.version,
            row: serde_json::from_slice(&row.value).ok(),
        },
        Err(_) => LeaseEvent::ReplyLost,
    }
}

async fn write_lease(node: &Node, if_version: u64, row: &v1::LeaseRow) -> LeaseEvent {
    let value = serde_json::to_vec(row).unwrap_or_default();
    match node.platform.put(LEASE_KEY, if_version, value).await {
        Ok(PutOutcome::Written(version)) => LeaseEvent::Written { version },
        Ok(PutOutcome::Conflict(_)) => LeaseEvent::Conflict,
        Err(_) => LeaseEvent::ReplyLost,
    }
}

/// Compares the engines' reported states with the declaration and sends an order for
/// each difference. The fence is read again before each order, as the lease may expire
/// while an order is being sent.
async fn send_orders(node: &Node, lease: &Lease) {
    let desired = {
        let current = node.current_configuration.borrow();
        current.accepted().and_then(|a| a.declaration.clone())
    };
    let Some(desired) = desired else {
        return;
    };
    let observed = engines::observed_engines(node);
    let limits = OrderLimits {
        max_model_loads: MAX_CONCURRENT_LOADS,
        running_model_loads: 0,
    };
    for (engine, mut order) in intent::next_orders(&desired, &observed, limits) {
        let Some(fence) = lease.fence(node.clock.now()) else {
            return;
        };
        order.fence = fence;
        order.holder = node.holder_name();
        let kind = order.kind().as_str_name();
        let accepted = engines::send_order(node, &engine, &order).await;
        tracing::info!(%engine, kind, fence, accepted, "order: sent {kind} to {engine} with fence {fence}, accepted: {accepted}");
    }
}
