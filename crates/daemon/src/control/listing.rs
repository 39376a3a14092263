//! Reads the platform's list of live and leaving instances.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::ids::EngineId;
use cyclamengauge_schema::v1;

use crate::{control, node::Node};

/// Time between two reads of the list.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the list for the life of the daemon.
pub(super) async fn refresh(node: Rc<Node>) {
    loop {
        if let Ok(list) = node.platform.list_instances().await {
            apply(&node, &list);
        }
        actix_rt::time::sleep(control::pause(&node, PERIOD)).await;
    }
}

fn apply(node: &Node, list: &v1::InstanceList) {
    let now = node.clock.now();
    let mut dispatcher = node.dispatcher.borrow_mut();
    for entry in &list.instances {
        let leaving = entry.state() == v1::ListedState::Leaving;
        dispatcher.listed(&EngineId::new(&entry.name), leaving, now);
    }
}
