//! Reads the configuration from the platform's table service, whose row is
//! authoritative.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use cyclamengauge_core::intent;
use cyclamengauge_schema::v1;

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

/// Parses the row of the configuration; none if it does not exist.
///
/// # Errors
///
/// If the row is no configuration, or its declaration has a fault that the check of a plan
/// would have found.
fn parse(row: &v1::Row) -> anyhow::Result<Option<v1::Accepted>> {
    if row.version == 0 {
        return Ok(None);
    }
    let accepted: v1::Accepted =
        serde_json::from_slice(&row.value).context("parse the configuration")?;
    let declaration = accepted.declaration.as_ref();
    let declaration = declaration.context("read the configuration: it has no declaration")?;
    if let Some(fault) = intent::check(declaration).first() {
        anyhow::bail!("check the configuration: {fault}");
    }
    Ok(Some(accepted))
}

/// Reads and adopts the configuration; returns whether the table service responded. A
/// row that holds no valid configuration is ignored.
async fn read_once(node: &Rc<Node>) -> bool {
    let read_started_at = node.clock.now();
    match node.platform.get(operators::CONFIGURATION_KEY).await {
        Err(err) => {
            tracing::warn!(%err, "platform: reading the configuration failed; the one in force, if any, stays");
            false
        }
        Ok(row) => {
            match parse(&row) {
                Ok(None) => {}
                Ok(Some(accepted)) => {
                    let version = accepted.version;
                    node.adopt_configuration(accepted);
                    node.current_configuration
                        .borrow_mut()
                        .record_verified(version, read_started_at);
                }
                Err(err) => {
                    tracing::warn!(
                        row_version = row.version,
                        "platform: row {} left out, the configuration in force, if any, stays: {err:#}",
                        row.key
                    )
                }
            }
            true
        }
    }
}
