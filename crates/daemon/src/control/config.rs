//! Reads the configuration from the platform's table service, whose row is
//! authoritative.

use std::{rc::Rc, time::Duration};

use crate::{control, node::Node, operators};

/// Mean time between two reads while the table service responds.
const READ_INTERVAL: Duration = Duration::from_secs(4);

/// Mean time between two reads until the first configuration is read.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Longest mean time between two reads in an outage.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the configuration periodically until the daemon exits. The interval doubles
/// with each failed read up to a limit, and all intervals are randomised, so that the instances do
/// not read at the same moment when the service recovers.
pub(super) async fn refresh(node: Rc<Node>) {
    let mut interval = INITIAL_READ_INTERVAL;
    loop {
        let reachable = read_once(&node).await;
        node.store_reachable.set(reachable);
        interval = match (reachable, node.current_configuration.borrow().version()) {
            (true, 0) => INITIAL_READ_INTERVAL,
            (true, _) => READ_INTERVAL,
            (false, 0) => (interval * 2).min(READ_INTERVAL),
            (false, _) => (interval * 2).clamp(READ_INTERVAL, MAX_READ_INTERVAL),
        };
        actix_rt::time::sleep(control::jittered_interval(&node, interval)).await;
    }
}

/// Reads and adopts the configuration; returns whether the table service responded. A
/// row that cannot be parsed is ignored.
async fn read_once(node: &Rc<Node>) -> bool {
    let read_started_at = node.clock.now();
    match node.platform.get(operators::CONFIGURATION_KEY).await {
        Err(err) => {
            tracing::warn!(%err, "platform: reading the configuration failed; the one in force, if any, stays");
            false
        }
        Ok(row) => {
            let accepted: Option<cyclamengauge_schema::v1::Accepted> =
                serde_json::from_slice(&row.value).ok();
            if let Some(accepted) = accepted {
                let version = accepted.version;
                node.adopt_configuration(accepted);
                node.current_configuration
                    .borrow_mut()
                    .record_verified(version, read_started_at);
            }
            true
        }
    }
}
