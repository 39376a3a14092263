//! Watches of the configuration and the target list in the platform's store, and
//! registration of this instance's peer address there.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::EngineId,
    serving::{
        store_calls::{self, FeedCall, StoreCalls, WatchLimits},
        target_list::{ListChanges, ListVersion},
        targets::evacuation::EvacuationChange,
        watchers::WatchState,
    },
};
use cyclamengauge_platform::{discovery, store};

use crate::{
    gateway::{Gateway, TableWatch, store::StoreClient},
    telemetry::process_events,
};

/// Delay after a change of the target list, so that further changes arrive in one
/// response. It is far below the time for which a leaving target still serves.
const TARGET_LIST_BATCH_DELAY: Duration = Duration::from_millis(250);

/// Interval between two checks whether this instance must watch the tables.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks whether the store responds again.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a store failure within which running targets write their entries
/// again: the time in the platform's documentation and a margin.
const ENTRY_RECOVERY_TIME: Duration = Duration::from_millis(2_200);

/// Time beyond the lifetime of an entry in which its removal by the store is known here.
const ENTRY_EXPIRY_MARGIN: Duration = Duration::from_millis(1_000);

/// Longest delay after a restoration of the store before an instance writes its rows again.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Value of the log field `source` for data from the store.
const STORE_SOURCE: &str = "the store";

/// Reads and watches the configuration until the process ends.
pub async fn watch_configuration(gateway: Rc<Gateway>) {
    watch_table(gateway, store::Table::Operators).await;
}

/// Reads and watches the target list until the process ends.
pub async fn watch_targets(gateway: Rc<Gateway>) {
    watch_table(gateway, store::Table::Targets).await;
}

/// Writes this instance's peer address to the store, then reads those of the other
/// instances; again whenever the store has come back from an older copy. Failed calls are
/// retried.
pub async fn keep_announced(gateway: Rc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut calls = StoreCalls::default();
    loop {
        while let Err(err) = announce(&gateway, &mut client).await {
            process_events::log_announce_failed(&err);
            back_off(&gateway, &mut calls).await;
        }
        let announced_in = client.era().unwrap_or_default();
        find_peers(&gateway, &mut client, &mut calls).await;
        wait_for_later_era(&gateway, announced_in).await;
    }
}

/// Waits until the store is in a later era than `era`, and then for a random time, so that
/// not all instances write their rows at the same moment.
pub async fn wait_for_later_era(gateway: &Gateway, era: store::StoreEra) {
    loop {
        let changed = gateway.store_era_changed.notified();
        if gateway.store_era.get() > Some(era) {
            break;
        }
        changed.await;
    }
    let draw = gateway.rng.borrow_mut().f64();
    actix_rt::time::sleep(MAX_REWRITE_DELAY.mul_f64(draw)).await;
}

/// Reads the peer addresses of the other instances.
async fn find_peers(gateway: &Gateway, client: &mut StoreClient, calls: &mut StoreCalls) {
    let mut rows_read = None;
    loop {
        let table = store::Table::Instances;
        match client
            .read_page(table, &mut rows_read, store_calls::RESPONSE_TIMEOUT)
            .await
        {
            Ok(has_more) => {
                if let Some(rows) = &rows_read {
                    add_peers(gateway, rows);
                }
                if !has_more {
                    let now = gateway.clock.now();
                    gateway.gossip_schedule.borrow_mut().record_new_peers(now);
                    gateway.gossip_scheduled.notify_one();
                    return;
                }
            }
            Err(err) => {
                process_events::log_announce_failed(&err.context("read peer addresses"));
                back_off(gateway, calls).await;
            }
        }
    }
}

async fn announce(gateway: &Gateway, client: &mut StoreClient) -> anyhow::Result<()> {
    let (instance, address) = {
        let settings = gateway.settings.borrow();
        (settings.instance.clone(), settings.peer_listen)
    };
    let (key, value) = discovery::instance_row(&instance, address);
    let body = store::put_body(store::Table::Instances, &key, &value);
    client
        .run_transaction(body, store_calls::RESPONSE_TIMEOUT)
        .await
}

fn add_peers(gateway: &Gateway, rows: &store::Rows) {
    let now = gateway.clock.now();
    let own_address = gateway.settings.borrow().peer_listen;
    for row in &rows.rows {
        let Some(value) = &row.value else { continue };
        match discovery::decode_instance(&row.key, value) {
            Ok((_, address)) if address != own_address => {
                gateway.peers.borrow_mut().add_address(address, now);
            }
            Ok(_) => {}
            Err(err) => process_events::log_peer_faulty(&row.key, &err),
        }
    }
}

/// Reads a table in full, then watches its changes while this instance is one of the
/// watchers. Failed calls are retried.
async fn watch_table(gateway: Rc<Gateway>, table: store::Table) {
    let mut client = StoreClient::new(&gateway);
    let mut calls = StoreCalls::default();
    let mut since = None;
    let mut rows_read = None;
    loop {
        if table == store::Table::Targets {
            wait_for_store(&gateway).await;
        }
        let mut feed = calls.feed_call(watch_limits(&gateway));
        if since.is_some() && wait_for_turn(&gateway, table).await {
            // Peers rely on the watch once a call has succeeded.
            feed = FeedCall::without_wait();
        }
        let started_at = gateway.clock.now();
        let updates =
            fetch_updates(&gateway, &mut client, table, since, feed, &mut rows_read).await;
        if let Some(era) = client.era() {
            gateway.record_store_era(era);
        }
        match updates {
            Ok(version) => {
                if let Some(outage) = calls.record_success() {
                    process_events::log_store_back(&table, &outage, gateway.clock.now());
                }
                since = version;
                set_state(&gateway, table, TableWatch::Active);
                let now = Some(gateway.clock.now());
                gateway.last_store_success_at.set(now);
                if table == store::Table::Targets {
                    gateway.last_target_list_success_at.set(now);
                }
            }
            Err(err) => {
                let now = gateway.clock.now();
                let outage = calls.record_failure(started_at, now);
                if outage.failed_calls == 1 {
                    process_events::log_store_lost(&table, &err);
                }
                gateway.last_store_failure_at.set(Some(now));
                set_state(&gateway, table, TableWatch::Failing);
                back_off(&gateway, &mut calls).await;
            }
        }
    }
}

fn set_state(gateway: &Gateway, table: store::Table, state: TableWatch) {
    let watch = match table {
        store::Table::Targets => &gateway.target_list_watch,
        store::Table::Operators
        | store::Table::Instances
        | store::Table::RefusedParts
        | store::Table::Keys => &gateway.configuration_watch,
    };
    let before = watch_state(gateway);
    watch.set(state);
    let now = watch_state(gateway);
    if now != before {
        process_events::log_watch(now, before);
        gateway.report_progress();
    }
}

/// Waits while peers watch the tables for this instance. Returns whether it has waited.
async fn wait_for_turn(gateway: &Gateway, table: store::Table) -> bool {
    let mut has_waited = false;
    while !must_watch(gateway) {
        if !std::mem::replace(&mut has_waited, true) {
            set_state(gateway, table, TableWatch::Paused);
        }
        actix_rt::time::sleep(TURN_POLL_INTERVAL).await;
    }
    has_waited
}

fn must_watch(gateway: &Gateway) -> bool {
    let settings = gateway.settings.borrow();
    let watchers = gateway.watchers.borrow();
    watchers.must_watch(
        &settings.instance,
        &settings.data_centre,
        gateway.clock.now(),
    )
}

/// Whether this instance watches the tables, as it reports it to its peers.
pub fn watch_state(gateway: &Gateway) -> WatchState {
    match (
        gateway.configuration_watch.get(),
        gateway.target_list_watch.get(),
    ) {
        (TableWatch::Failing, _) | (_, TableWatch::Failing) => WatchState::Failing,
        (TableWatch::Active, TableWatch::Active) => WatchState::Watching,
        (TableWatch::Paused, _) | (_, TableWatch::Paused) => WatchState::Fetching,
    }
}

/// Waits while the configuration's watch fails: during an outage, calls from one
/// task are enough. Does not wait before the target list is loaded, as the instance
/// can't serve without it.
async fn wait_for_store(gateway: &Gateway) {
    while gateway.configuration_watch.get() == TableWatch::Failing
        && gateway.target_list_loaded.get()
    {
        actix_rt::time::sleep(OUTAGE_POLL_INTERVAL).await;
    }
}

fn watch_limits(gateway: &Gateway) -> WatchLimits {
    let bounds = gateway.settings.borrow().bounds;
    WatchLimits {
        reconnect: bounds.reconnect_limit,
        apply: bounds.configuration_apply_limit,
    }
}

/// Waits as long as `feed` says for the changes of a table after `since`, or, without
/// `since`, reads the table's next page. Returns the version up to which the table is
/// now applied; `None` if there are more pages, or if the table must be read in full
/// again.
async fn fetch_updates(
    gateway: &Gateway,
    client: &mut StoreClient,
    table: store::Table,
    since: Option<store::StoreVersion>,
    feed: FeedCall,
    rows_read: &mut Option<store::Rows>,
) -> anyhow::Result<Option<store::StoreVersion>> {
    let Some(since) = since else {
        if client
            .read_page(table, rows_read, store_calls::RESPONSE_TIMEOUT)
            .await?
        {
            return Ok(None);
        }
        let Some(rows) = rows_read.take() else {
            return Ok(None);
        };
        let version = rows.version;
        apply_rows(gateway, table, rows, true);
        return Ok(Some(version));
    };
    // Changes that a peer has passed on need not be read again.
    let list_version = gateway.target_list.borrow().version();
    let list_version = store::StoreVersion {
        era: store::StoreEra(list_version.era),
        number: list_version.number,
    };
    let since = match table {
        store::Table::Targets => since.max(list_version),
        store::Table::Operators
        | store::Table::Instances
        | store::Table::RefusedParts
        | store::Table::Keys => since,
    };
    let changes = client.wait_for_changes(table, since, feed).await?;
    let Some(rows) = changes else {
        process_events::log_store_history_gone(&table);
        return Ok(None);
    };
    let version = rows.version.max(since);
    let has_changes = !rows.rows.is_empty();
    if has_changes {
        apply_rows(gateway, table, rows, false);
    }
    match table {
        store::Table::Targets if has_changes => {
            actix_rt::time::sleep(TARGET_LIST_BATCH_DELAY).await;
        }
        store::Table::Operators if has_changes => gateway.wait_for_configuration_room().await,
        _ => {}
    }
    Ok(Some(version))
}

fn apply_rows(gateway: &Gateway, table: store::Table, rows: store::Rows, is_complete: bool) {
    match table {
        store::Table::Operators => {
            apply_evacuation_rows(gateway, &rows, is_complete);
            for row in rows.rows {
                apply_configuration_row(gateway, row);
            }
        }
        store::Table::Targets => {
            let entries = rows.rows.into_iter().map(|row| (row.key, row.value));
            let changes = ListChanges {
                version: ListVersion {
                    era: rows.version.era.0,
                    number: rows.version.number,
                },
                is_complete,
                entries: entries.collect(),
            };
            apply_target_list(gateway, changes, STORE_SOURCE);
        }
        store::Table::Instances | store::Table::RefusedParts | store::Table::Keys => {}
    }
}

fn apply_evacuation_rows(gateway: &Gateway, rows: &store::Rows, is_complete: bool) {
    let mut changes = Vec::new();
    for row in &rows.rows {
        match store::decode_evacuation(&row.key, row.value.as_deref()) {
            Ok(Some(data_centre)) => changes.push(EvacuationChange {
                data_centre,
                is_evacuated: row.value.is_some(),
            }),
            Ok(None) => {}
            Err(err) => process_events::log_evacuation_faulty(&row.key, &err),
        }
    }
    let version = ListVersion {
        era: rows.version.era.0,
        number: rows.version.number,
    };
    let now = gateway.clock.now();
    let mut targets = gateway.targets.borrow_mut();
    let changes = targets
        .evacuations
        .apply(version, is_complete, &changes, now);
    drop(targets);
    report_evacuations(gateway, &changes, STORE_SOURCE);
}

/// Logs evacuations that have begun or ended, and tells the peers at once. `source` is where
/// this instance learned of them.
pub fn report_evacuations(gateway: &Gateway, changes: &[EvacuationChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    let has_targets = gateway.target_list_loaded.get();
    let now = gateway.clock.now();
    gateway
        .targets
        .borrow_mut()
        .record_evacuation_changes(changes, now);
    for change in changes {
        let data_centre = &change.data_centre;
        process_events::log_evacuation(data_centre, change.is_evacuated, source);
        let targets = gateway.targets.borrow();
        let mut facts = targets.iter().map(|target| &target.facts);
        if has_targets && !facts.any(|facts| &facts.data_centre == data_centre) {
            let err = anyhow::anyhow!("no target is listed in the data centre");
            process_events::log_evacuation_faulty(data_centre.as_str(), &err);
        }
    }
    gateway.report_placement();
}

fn apply_configuration_row(gateway: &Gateway, row: store::Row) {
    if row.key != store::CONFIGURATION_KEY {
        return;
    }
    if let Some(value) = row.value {
        gateway.record_configuration_bytes(value.len());
        gateway.apply_configuration(value.into(), STORE_SOURCE);
    }
}

/// Applies a complete target list or its changes, from the store or from a peer.
pub fn apply_target_list(gateway: &Gateway, changes: ListChanges, source: &str) {
    let known = gateway.target_list.borrow().version();
    let is_restored = gateway.target_list_loaded.get() && changes.version.era > known.era;
    let changed = gateway.target_list.borrow_mut().apply(changes);
    for (key, value) in &changed {
        apply_target_entry(gateway, key, value.as_deref(), is_restored, source);
    }
    gateway.target_list_loaded.set(true);
    if !changed.is_empty() {
        gateway.report_progress();
    }
}

/// Applies an entry, or its removal. `is_restored` says whether the store has restored the
/// list from an older copy since the previous one.
fn apply_target_entry(
    gateway: &Gateway,
    key: &str,
    value: Option<&[u8]>,
    is_restored: bool,
    source: &str,
) {
    let now = gateway.clock.now();
    let id = EngineId::new(key);
    let Some(value) = value else {
        remove_target(gateway, &id);
        return;
    };
    match discovery::decode_target(key, value) {
        Ok(facts) => {
            let mut targets = gateway.targets.borrow_mut();
            let previous = targets.get(&id).map(|target| &target.facts);
            if previous != Some(&facts) {
                process_events::log_target_listed(&facts, source);
            }
            match is_restored {
                true => {
                    let entry_lifetime = gateway.settings.borrow().entry_lifetime;
                    let entry_lifetime = entry_lifetime + ENTRY_EXPIRY_MARGIN;
                    if let Some(excluded_for) = targets.upsert_restored(facts, entry_lifetime, now)
                    {
                        let cause = "listed in an older copy only";
                        process_events::log_target_suspect(&id, cause, excluded_for);
                    }
                }
                false => targets.upsert(facts, now),
            }
        }
        Err(err) => {
            process_events::log_target_entry_faulty(key, &err);
            remove_target(gateway, &id);
        }
    }
}

/// Removes a target without an entry. Entries also expire during a store outage;
/// therefore a target without an entry shortly after a store failure stays usable
/// until running targets have written their entries again.
fn remove_target(gateway: &Gateway, id: &EngineId) {
    let now = gateway.clock.now();
    let last_failure_at = gateway.last_store_failure_at.get();
    let linger = last_failure_at.map_or(Duration::ZERO, |at| (at + ENTRY_RECOVERY_TIME) - now);
    let mut targets = gateway.targets.borrow_mut();
    if targets.get(id).is_some() {
        process_events::log_target_unlisted(id, linger);
        targets.schedule_removal(id, linger, now);
    }
}

pub async fn back_off(gateway: &Gateway, calls: &mut StoreCalls) {
    let draw = gateway.rng.borrow_mut().f64();
    actix_rt::time::sleep(calls.take_retry_delay(draw)).await;
}
