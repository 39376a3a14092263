//! Checks after the faults are cleared: no connection leaks, and every daemon applies
//! changes of the configuration and of the target list.
//!
//! `RECOVERY_TIMEOUT` only stops a run that would not end; it is not a requirement on
//! the time of recovery.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;

use crate::{RECOVERY_TIMEOUT, Testbed, clients, faults, harness};

/// Consecutive requests, spread over the daemons, none of which may reach a draining
/// target.
const DRAIN_PROBE_COUNT: usize = 30;

/// Checks that no connection to a target leaks, that a configuration of version
/// `version` takes effect, and that a draining target gets no requests.
pub async fn check(testbed: &Testbed, version: u64) {
    let addresses: Vec<SocketAddr> = testbed
        .processes
        .borrow()
        .iter()
        .map(|p| p.client_address)
        .collect();
    wait_until(testbed, "targets have open connections", || async {
        testbed
            .targets
            .iter()
            .all(|target| target.open_connections.get() == 0)
    })
    .await;
    let mut configuration = harness::configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let mut added = routes.remove(0);
    added["prefix"] = json!("/later/");
    routes.push(added);
    testbed.store.put("op", "config", &configuration);
    for address in &addresses {
        wait_until(testbed, "last configuration is not in effect", || async {
            let added = clients::probe(*address, "/later/", "probe").await;
            let removed = clients::probe(*address, "/read/", "probe").await;
            (added, removed) == (Some(200), Some(404))
        })
        .await;
    }
    let draining = &testbed.targets[0];
    let proxy = testbed.target_proxies[0].address;
    harness::register_at(&testbed.store, &draining.id, proxy, "draining");
    wait_until(testbed, "draining target gets requests", || async {
        let before = draining.request_count();
        for i in 0..DRAIN_PROBE_COUNT {
            let address = addresses[i % addresses.len()];
            clients::probe(address, "/later/", "probe").await;
        }
        draining.request_count() == before
    })
    .await;
}

/// Waits until `condition` holds; panics with `failure` after `RECOVERY_TIMEOUT`.
async fn wait_until<F: Future<Output = bool>>(
    testbed: &Testbed,
    failure: &str,
    condition: impl Fn() -> F,
) {
    let started = std::time::Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < RECOVERY_TIMEOUT,
            "still after {RECOVERY_TIMEOUT:?}: {failure}"
        );
        // A daemon ends up to some seconds after SIGTERM.
        faults::restart_ended_daemons(testbed);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
