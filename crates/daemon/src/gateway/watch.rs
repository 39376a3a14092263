//! The configuration and the list of targets, followed in the platform's store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::ids::EngineId;
use cyclamengauge_platform::{discovery, store as calls};

use crate::{
    gateway::{Gateway, store::Store},
    telemetry::process_events,
};

/// Shortest time for which the store holds a feed open.
const LEAST_FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond the wait of a feed for the store's answer.
const FEED_SLACK: Duration = Duration::from_millis(700);

/// Time to connect anew and read after a feed was found to be silent.
const FEED_REPAIR: Duration = Duration::from_millis(800);

/// Pause after a change of the list of targets, so that the next ones come
/// together: far below the time for which a leaving target goes on serving.
const LIST_PAUSE: Duration = Duration::from_millis(250);

/// Time between two looks whether the store answers again.
const OUTAGE_POLL: Duration = Duration::from_millis(50);

/// Time for the store to answer any other call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after a call that failed, and its bound as it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after a failure of the store in which entries of living targets come
/// back, from the platform's documentation, with some slack.
const ENTRIES_RETURN: Duration = Duration::from_millis(2_200);

/// The store as a source, in log lines.
const STORE: &str = "the store";

/// Follows the configuration for the life of the daemon.
pub async fn follow_configuration(gateway: Rc<Gateway>) {
    follow(gateway, calls::Table::Operators).await;
}

/// Follows the list of targets for the life of the daemon.
pub async fn follow_targets(gateway: Rc<Gateway>) {
    follow(gateway, calls::Table::Targets).await;
}

/// Writes where this instance is, and reads where the others are.
pub async fn join(gateway: Rc<Gateway>) {
    let mut store = Store::new(gateway.settings.borrow().store_address);
    let mut pause = FIRST_PAUSE;
    while let Err(err) = announce(&gateway, &mut store).await {
        process_events::log_announce_failed(&err);
        wait(&gateway, &mut pause).await;
    }
    let mut known = None;
    loop {
        let table = calls::Table::Instances;
        match store.read_page(table, &mut known, CALL_TIMEOUT).await {
            Ok(more) => {
                if let Some(rows) = &known {
                    meet(&gateway, rows);
                }
                if !more {
                    return;
                }
            }
            Err(err) => {
                process_events::log_announce_failed(&err.context("read the instances"));
                wait(&gateway, &mut pause).await;
            }
        }
    }
}

async fn announce(gateway: &Gateway, store: &mut Store) -> anyhow::Result<()> {
    let (instance, address) = {
        let settings = gateway.settings.borrow();
        (settings.instance.clone(), settings.peer_listen)
    };
    let (key, value) = discovery::instance_row(&instance, address);
    let body = calls::put_body(calls::Table::Instances, &key, &value);
    store.change(body, CALL_TIMEOUT).await
}

fn meet(gateway: &Gateway, rows: &calls::Rows) {
    let now = gateway.clock.now();
    let own = gateway.settings.borrow().peer_listen;
    for row in &rows.rows {
        let Some(value) = &row.value else { continue };
        match discovery::decode_instance(&row.key, value) {
            Ok((_, address)) if address != own => {
                gateway.peers.borrow_mut().add_address(address, now);
            }
            Ok(_) => {}
            Err(err) => process_events::log_peer_faulty(&row.key, &err),
        }
    }
}

async fn follow(gateway: Rc<Gateway>, table: calls::Table) {
    let mut store = Store::new(gateway.settings.borrow().store_address);
    let mut pause = FIRST_PAUSE;
    let mut since = None;
    let mut known = None;
    let mut lost_at = None;
    loop {
        if table == calls::Table::Targets {
            await_store(&gateway).await;
        }
        match step(&gateway, &mut store, table, since, &mut known).await {
            Ok(next) => {
                if let Some(at) = lost_at.take() {
                    process_events::log_store_back(&table, gateway.clock.now() - at);
                }
                since = next;
                match table {
                    calls::Table::Targets => {
                        gateway.list_failing.set(false);
                        gateway.list_answered_at.set(Some(gateway.clock.now()));
                    }
                    _ => gateway.store_away.set(false),
                }
                pause = FIRST_PAUSE;
                gateway.store_answered_at.set(Some(gateway.clock.now()));
            }
            Err(err) => {
                if lost_at.is_none() {
                    lost_at = Some(gateway.clock.now());
                    process_events::log_store_lost(&table, &err);
                }
                gateway.store_failed_at.set(Some(gateway.clock.now()));
                match table {
                    calls::Table::Targets => gateway.list_failing.set(true),
                    _ => gateway.store_away.set(true),
                }
                wait(&gateway, &mut pause).await;
            }
        }
    }
}

/// Waits while the configuration can't be followed: one task that calls a store
/// which is away is enough. Until the list is known, each call counts.
async fn await_store(gateway: &Gateway) {
    while gateway.store_away.get() && gateway.listed.get() {
        actix_rt::time::sleep(OUTAGE_POLL).await;
    }
}

/// How long the store may hold a feed open. A connection that went silent, which
/// counts as a disruption, must be found and replaced by the time at which a
/// change after the disruption must be in force.
fn feed_wait(gateway: &Gateway) -> Duration {
    let bounds = gateway.settings.borrow().bounds;
    let by = bounds.reconnect_limit + bounds.configuration_apply_limit;
    by.saturating_sub(FEED_SLACK + FEED_REPAIR)
        .max(LEAST_FEED_WAIT)
}

/// Reads a page of the table or waits for its changes; returns up to where it is
/// known.
async fn step(
    gateway: &Gateway,
    store: &mut Store,
    table: calls::Table,
    since: Option<calls::StoreVersion>,
    known: &mut Option<calls::Rows>,
) -> anyhow::Result<Option<calls::StoreVersion>> {
    let Some(since) = since else {
        if store.read_page(table, known, CALL_TIMEOUT).await? {
            return Ok(None);
        }
        let Some(rows) = known.take() else {
            return Ok(None);
        };
        match table {
            calls::Table::Targets => adopt_list(gateway, &rows, STORE),
            _ => apply(gateway, table, &rows, STORE),
        }
        return Ok(Some(rows.version));
    };
    let fed = store
        .feed(table, since, feed_wait(gateway), FEED_SLACK)
        .await?;
    let Some(rows) = fed else {
        process_events::log_store_history_gone(&table);
        return Ok(None);
    };
    apply(gateway, table, &rows, STORE);
    if table == calls::Table::Targets {
        gateway.list_version.set(rows.version.max(since));
        if !rows.rows.is_empty() {
            actix_rt::time::sleep(LIST_PAUSE).await;
        }
    }
    Ok(Some(rows.version.max(since)))
}

/// Replaces the list of targets by a whole one.
pub fn adopt_list(gateway: &Gateway, rows: &calls::Rows, source: &str) {
    unlist_missing(gateway, rows);
    apply(gateway, calls::Table::Targets, rows, source);
    gateway.list_version.set(rows.version);
    gateway.listed.set(true);
}

fn apply(gateway: &Gateway, table: calls::Table, rows: &calls::Rows, source: &str) {
    for row in &rows.rows {
        match table {
            calls::Table::Operators => apply_configuration(gateway, row, source),
            calls::Table::Targets => apply_target(gateway, row, source),
            calls::Table::Instances => {}
        }
    }
}

fn apply_configuration(gateway: &Gateway, row: &calls::Row, source: &str) {
    if row.key != calls::CONFIGURATION_KEY {
        return;
    }
    if let Some(value) = &row.value {
        gateway.adopt(Bytes::from(value.clone()), source);
    }
}

fn apply_target(gateway: &Gateway, row: &calls::Row, source: &str) {
    let now = gateway.clock.now();
    let id = EngineId::new(&row.key);
    let Some(value) = &row.value else {
        unlist(gateway, &id);
        return;
    };
    let mut stored = gateway.stored_list.borrow_mut();
    stored.insert(row.key.clone(), value.clone());
    drop(stored);
    match discovery::decode_target(&row.key, value) {
        Ok(facts) => {
            let mut targets = gateway.targets.borrow_mut();
            let known = targets.get(&id).map(|target| &target.facts);
            if known != Some(&facts) {
                process_events::log_target_listed(&facts, source);
            }
            targets.upsert(facts, now);
        }
        Err(err) => {
            process_events::log_target_entry_faulty(&row.key, &err);
            unlist(gateway, &id);
        }
    }
}

fn unlist_missing(gateway: &Gateway, rows: &calls::Rows) {
    let listed = |id: &EngineId| rows.rows.iter().any(|row| row.key == id.as_str());
    let missing: Vec<EngineId> = {
        let targets = gateway.targets.borrow();
        let ids = targets.iter().map(|target| target.facts.id.clone());
        ids.filter(|id| !listed(id)).collect()
    };
    for id in missing {
        unlist(gateway, &id);
    }
}

/// Takes a target from the list. Entries also lapse while the store is away, so
/// one that is missing just after that has time to come back.
fn unlist(gateway: &Gateway, id: &EngineId) {
    gateway.stored_list.borrow_mut().remove(id.as_str());
    let now = gateway.clock.now();
    let failed_at = gateway.store_failed_at.get();
    let linger = failed_at.map_or(Duration::ZERO, |at| (at + ENTRIES_RETURN) - now);
    let mut targets = gateway.targets.borrow_mut();
    if targets.get(id).is_some() {
        process_events::log_target_unlisted(id, linger);
        targets.schedule_removal(id, linger, now);
    }
}

/// Sleeps for a pause with some randomness, and doubles it.
async fn wait(gateway: &Gateway, pause: &mut Duration) {
    let factor = 0.75 + 0.5 * gateway.rng.borrow_mut().f64();
    actix_rt::time::sleep(pause.mul_f64(factor)).await;
    *pause = (*pause * 2).min(LONGEST_PAUSE);
}
