//! Reads the platform's list of live and leaving instances, to take leaving engines out
//! of placement.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::ids::EngineId;
use cyclamengauge_schema::v1;

use crate::{control, node::Node};

/// Mean time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list periodically until the daemon exits. A failed read is skipped: the
/// last list stays in use. The first failure after a success is logged, and entries that can't
/// be read when they change.
pub(super) async fn refresh(node: Rc<Node>) {
    let mut is_failing = false;
    let mut unreadable = Vec::new();
    loop {
        match node.platform.list_instances().await {
            Ok(list) => {
                apply(&node, &list.entries);
                is_failing = false;
                if unreadable != list.unreadable {
                    unreadable = list.unreadable;
                    log_unreadable(&unreadable);
                }
            }
            Err(err) => {
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(%err, "platform: reading the instances failed; the last list stays");
                }
            }
        }
        actix_rt::time::sleep(control::jittered_interval(&node, READ_INTERVAL)).await;
    }
}

fn log_unreadable(entries: &[(usize, String)]) {
    for (index, err) in entries {
        tracing::warn!(index, %err, "platform: entry {index} of the instance list left out");
    }
}

fn apply(node: &Node, entries: &[v1::ListedInstance]) {
    let now = node.clock.now();
    let mut dispatcher = node.dispatcher.borrow_mut();
    for entry in entries {
        let leaving = entry.state() == v1::ListedState::Leaving;
        dispatcher.handle_list_entry(&EngineId::new(&entry.name), leaving, now);
    }
}
