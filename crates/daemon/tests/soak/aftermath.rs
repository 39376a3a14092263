//! What must hold once the faults are over: nothing is left open, and changes come
//! into force everywhere. The bounds only end a test that would never end.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;

use crate::{RECOVERY, Soak, callers, faults, harness};

/// Requests in a row, spread over the daemons, that must not reach a target that is
/// leaving.
const QUIET_PROBES: usize = 30;

/// Checks leaks, a change of the configuration, and a target that leaves.
pub async fn check(soak: &Soak, version: u64) {
    let addresses: Vec<SocketAddr> = soak
        .processes
        .borrow()
        .iter()
        .map(|p| p.client_address)
        .collect();
    until(soak, "targets have open connections", || async {
        soak.targets
            .iter()
            .all(|target| target.open_connections.get() == 0)
    })
    .await;
    let mut configuration = harness::configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let mut added = routes.remove(0);
    added["prefix"] = json!("/later/");
    routes.push(added);
    soak.store.put("op", "config", &configuration);
    for address in &addresses {
        until(soak, "the last configuration is not in force", || async {
            let added = callers::probe(*address, "/later/", "probe").await;
            let removed = callers::probe(*address, "/read/", "probe").await;
            (added, removed) == (Some(200), Some(404))
        })
        .await;
    }
    let leaving = &soak.targets[0];
    let proxy = soak.target_proxies[0].address;
    harness::register_at(&soak.store, &leaving.id, proxy, "draining");
    until(soak, "a target that is leaving gets requests", || async {
        let before = leaving.request_count();
        for number in 0..QUIET_PROBES {
            let address = addresses[number % addresses.len()];
            callers::probe(address, "/later/", "probe").await;
        }
        leaving.request_count() == before
    })
    .await;
}

async fn until<F: Future<Output = bool>>(soak: &Soak, what: &str, reached: impl Fn() -> F) {
    let started = std::time::Instant::now();
    while !reached().await {
        assert!(started.elapsed() < RECOVERY, "{what}");
        // One that was told to stop ends some seconds later.
        faults::revive(soak);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
