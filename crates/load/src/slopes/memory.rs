//! Resident memory of what a daemon keeps.

use std::collections::HashMap;

use cyclamengauge_core::{
    admission,
    clock::Instant,
    ids::{AccountId, EngineId},
    recovery::quarantine::Quarantine,
    request::{Fingerprint, PrefixHash},
    routing,
};
use cyclamengauge_daemon::node::Directory;
use cyclamengauge_schema::v1;

use crate::{
    harness,
    model::Deployment,
    slopes::{Slope, decisions},
};

/// Bytes of a memory page.
const PAGE: f64 = 4_096.0;

/// Prefixes in the index.
const PREFIXES: [usize; 4] = [5_000, 10_000, 15_000, 20_000];

/// Contents under a verdict.
const VERDICTS: [usize; 4] = [1_000, 2_000, 3_000, 4_000];

pub(super) fn measure() -> Vec<Slope> {
    vec![
        targets(),
        accounts(),
        requests(),
        slope("prefix_bytes", "prefix in the index", &PREFIXES, |n| {
            let mut index = routing::PrefixIndex::new(n);
            (0..n as u64)
                .for_each(|i| index.record_stored(i as usize % 64, PrefixHash(i), Instant::ZERO));
            index
        }),
        slope("verdict_bytes", "quarantined content", &VERDICTS, |n| {
            let mut quarantine = Quarantine::default();
            for i in 0..n as u128 {
                quarantine.record_crash(Fingerprint(i.to_le_bytes()), true, Instant::ZERO);
            }
            quarantine
        }),
    ]
}

/// Facts, load, declaration and last report of an engine.
fn targets() -> Slope {
    slope(
        "target_bytes",
        "target in view",
        &[2_000, 4_000, 6_000, 8_000],
        |n| {
            let addresses: Vec<String> = (0..n)
                .map(|i| format!("10.0.{}.{}:9000", i / 250, i % 250))
                .collect();
            let declaration = harness::declaration(&addresses, "10.0.0.1:1", Deployment::Atlas);
            let reports: HashMap<String, v1::EngineReport> = declaration
                .engines
                .iter()
                .map(|engine| (engine.name.clone(), report(&engine.name)))
                .collect();
            let watched: Vec<EngineId> = declaration
                .engines
                .iter()
                .map(|e| EngineId::new(&e.name))
                .collect();
            let directory = Directory::new(&declaration, &watched);
            (decisions::dispatcher(n), declaration, reports, directory)
        },
    )
}

/// Limits, keys and declaration of an account.
fn accounts() -> Slope {
    slope(
        "account_bytes",
        "client account",
        &[2_000, 4_000, 6_000, 8_000],
        |n| {
            let mut declaration = harness::declaration(&[], "10.0.0.1:1", Deployment::Atlas);
            let one = declaration.accounts[0].clone();
            declaration.accounts = (0..n)
                .map(|i| v1::ClientAccount {
                    name: format!("account-{i}"),
                    ..one.clone()
                })
                .collect();
            let mut gate = admission::Controller::new(1);
            let limits = (0..n).map(|i| admission::AccountLimits {
                account: AccountId::new(format!("account-{i}")),
                weight: 1.0,
                requests_per_s: 1.0,
                prompt_tokens_per_s: 1.0,
                max_concurrent: 1,
            });
            gate.set_accounts(limits.collect());
            let directory = Directory::new(&declaration, &[]);
            (gate, declaration, directory)
        },
    )
}

/// A request in progress, without its body.
fn requests() -> Slope {
    slope(
        "request_bytes",
        "request in progress",
        &[5_000, 10_000, 15_000, 20_000],
        |n| {
            let mut dispatcher = decisions::dispatcher(20);
            for i in 0..n as u64 {
                dispatcher.submit_request(decisions::request(i), Instant::from_millis(1));
            }
            dispatcher
        },
    )
}

fn report(name: &str) -> v1::EngineReport {
    v1::EngineReport {
        engine: name.to_owned(),
        model: "model".to_owned(),
        version: "1".to_owned(),
        queued_prefill_tokens: vec![1; 8],
        ..v1::EngineReport::default()
    }
}

/// Builds one size after the other, keeping all, and takes what each adds.
fn slope<T>(name: &str, per: &str, sizes: &[usize], build: impl Fn(usize) -> T) -> Slope {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for size in sizes {
        let before = resident_bytes("self");
        kept.push(build(*size));
        points.push((*size as f64, resident_bytes("self") - before));
    }
    // Freed memory would be used again by the next measuring and hide its cost.
    std::mem::forget(kept);
    Slope::new(name, "bytes", per, points)
}

/// Resident bytes of a process, by its number or `self`.
pub(super) fn resident_bytes(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}
