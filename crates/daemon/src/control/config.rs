//! Reads the configuration from the table service, which is the truth.

use std::{rc::Rc, time::Duration};

use crate::{control, node::Node, operators};

/// Time between two reads while the table service answers.
const PERIOD: Duration = Duration::from_secs(4);

/// Time between two reads while there is no configuration yet.
const FIRST_PERIOD: Duration = Duration::from_millis(250);

/// Longest time between two reads in an outage.
const LONGEST_PERIOD: Duration = Duration::from_secs(60);

/// Reads the configuration again and again. In an outage the reads become
/// rarer; all pauses are drawn at random, so that instances do not read in step
/// when the service comes back.
pub(super) async fn refresh(node: Rc<Node>) {
    let mut period = FIRST_PERIOD;
    loop {
        let reachable = read_once(&node).await;
        node.store_reachable.set(reachable);
        period = match (reachable, node.current.borrow().version()) {
            (true, 0) => FIRST_PERIOD,
            (true, _) => PERIOD,
            (false, 0) => (period * 2).min(PERIOD),
            (false, _) => (period * 2).clamp(PERIOD, LONGEST_PERIOD),
        };
        actix_rt::time::sleep(control::pause(&node, period)).await;
    }
}

async fn read_once(node: &Rc<Node>) -> bool {
    let asked_at = node.clock.now();
    match node.platform.get(operators::CONFIGURATION).await {
        Err(err) => {
            tracing::warn!(%err, "platform: the configuration could not be read");
            false
        }
        Ok(row) => {
            let accepted: Option<cyclamengauge_schema::v1::Accepted> =
                serde_json::from_slice(&row.value).ok();
            if let Some(accepted) = accepted {
                let version = accepted.version;
                node.adopt(accepted);
                node.current.borrow_mut().record_verified(version, asked_at);
            }
            true
        }
    }
}
