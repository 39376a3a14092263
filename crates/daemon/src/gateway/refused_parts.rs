//! Rows in the platform's store of the prompt parts that are refused, so that they
//! survive the loss of all instances.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::PromptPartId,
    serving::{
        prompt_parts::{CRASH_RETENTION, RefusalChanges},
        store_calls::{self, StoreCalls},
    },
};
use cyclamengauge_platform::{discovery, store};

use crate::{
    gateway::{Gateway, store::StoreClient, watch},
    node,
    telemetry::process_events,
};

/// Number of calls after which a row that can't be written is given up: the peers know of
/// the part, and write the row, too, if they saw a crash.
const MAX_WRITE_CALLS: u32 = 20;

/// Reads the refused parts at the start of the process, and writes them again whenever the
/// store has come back from an older copy.
pub async fn keep_stored(gateway: Rc<Gateway>) {
    let (mut era, _) = load(&gateway).await;
    loop {
        watch::wait_for_later_era(&gateway, era).await;
        let stored;
        (era, stored) = load(&gateway).await;
        let refusals = gateway.prompt_parts.borrow().refusals();
        for (part, refused_at) in refusals {
            if !stored.contains(&part) {
                let age = gateway.clock.now() - refused_at;
                let refused_at_unix_ms = node::unix_ms().saturating_sub(age.as_millis() as u64);
                write_row(&gateway, part, refused_at_unix_ms);
            }
        }
    }
}

/// Reads the rows and refuses their parts. Returns the era of the store and the parts that
/// its rows refuse. Failed calls are retried.
async fn load(gateway: &Rc<Gateway>) -> (store::StoreEra, BTreeSet<PromptPartId>) {
    let mut client = StoreClient::new(gateway);
    let mut calls = StoreCalls::default();
    let mut rows_read = None;
    loop {
        let page = client.read_page(
            store::Table::RefusedParts,
            &mut rows_read,
            store_calls::RESPONSE_TIMEOUT,
        );
        match page.await {
            Ok(true) => {}
            Ok(false) => break,
            Err(err) => {
                process_events::log_refused_parts_failed("read", &err);
                watch::back_off(gateway, &mut calls).await;
            }
        }
    }
    let mut stored = BTreeSet::new();
    for row in rows_read.into_iter().flat_map(|rows| rows.rows) {
        let Some(value) = row.value else { continue };
        match discovery::decode_refused_part(&row.key, &value) {
            Ok((_, 0)) => {}
            // The store has lost that the part is allowed again.
            Ok((part, _)) if gateway.prompt_parts.borrow().is_cleared(&part) => {
                write_row(gateway, part, 0);
            }
            Ok((part, refused_at_unix_ms)) => {
                restore(gateway, part.clone(), refused_at_unix_ms);
                stored.insert(part);
            }
            Err(err) => process_events::log_refused_parts_failed("decode", &err),
        }
    }
    (client.era().unwrap_or_default(), stored)
}

fn restore(gateway: &Gateway, part: PromptPartId, refused_at_unix_ms: u64) {
    let age = Duration::from_millis(node::unix_ms().saturating_sub(refused_at_unix_ms));
    let remaining = CRASH_RETENTION.saturating_sub(age);
    if remaining.is_zero() {
        return;
    }
    let mut prompt_parts = gateway.prompt_parts.borrow_mut();
    if prompt_parts
        .find_refused(std::slice::from_ref(&part))
        .is_some()
    {
        return;
    }
    process_events::log_part_refused(&part, "the store");
    let until = gateway.clock.now() + remaining;
    prompt_parts.restore(part, until);
}

/// Logs which parts are refused or allowed from now on, and writes their rows if this
/// instance has seen the crash or the completion. `source` reported it.
pub fn record_changes(gateway: &Rc<Gateway>, changes: RefusalChanges, source: &str) {
    let own = gateway.settings.borrow().instance.to_string();
    for part in changes.refused {
        process_events::log_part_refused(&part, source);
        if gateway.prompt_parts.borrow().has_crashed_here(&part) {
            write_row(gateway, part, node::unix_ms());
        }
    }
    for part in changes.allowed {
        process_events::log_part_allowed(&part, source);
        if source == own {
            write_row(gateway, part, 0);
        }
    }
}

fn write_row(gateway: &Rc<Gateway>, part: PromptPartId, refused_at_unix_ms: u64) {
    let gateway = Rc::clone(gateway);
    let (key, value) = discovery::refused_part_row(&part, refused_at_unix_ms);
    actix_rt::spawn(async move {
        let mut client = StoreClient::new(&gateway);
        let mut calls = StoreCalls::default();
        for _ in 0..MAX_WRITE_CALLS {
            let body = store::put_body(store::Table::RefusedParts, &key, &value);
            let written = client.run_transaction(body, store_calls::RESPONSE_TIMEOUT);
            let Err(err) = written.await else { return };
            process_events::log_refused_parts_failed("write", &err);
            watch::back_off(&gateway, &mut calls).await;
        }
    });
}
