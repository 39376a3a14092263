//! Checks after the faults are cleared: limits of targets are kept, no connection leaks,
//! every daemon applies changes of the configuration and of the target list, and the store
//! has every daemon's address.
//!
//! `RECOVERY_TIMEOUT` only stops a run that would not end; it is not a requirement on
//! the time of recovery.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;

use crate::{RECOVERY_TIMEOUT, Testbed, clients, faults, harness, link::LinkState};

/// Consecutive requests, spread over the daemons, none of which may reach a draining
/// target.
const DRAIN_PROBE_COUNT: usize = 30;

/// Time after a target has named a limit from which its requests count.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Window in which the requests to a limited target count.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Limits that two targets name.
const LIMITS_PER_S: [u32; 2] = [1, 6];

/// Requests to the cut daemon and to another one.
const CUT_PROBE_COUNT: usize = 20;

/// Changes of the target list that a restored store has lost.
const LOST_CHANGES: u32 = 50;

/// Checks, while clients send requests, that limited targets get no more requests than
/// their limits allow, and that limits are no longer kept once they are withdrawn.
pub async fn check_limits(testbed: &Testbed) {
    for (target, limit) in testbed.targets.iter().zip(LIMITS_PER_S) {
        target.limit_per_s.set(Some(limit));
    }
    for target in &testbed.targets[..LIMITS_PER_S.len()] {
        let before = target.request_count();
        wait_until(testbed, "limited target gets no requests", || async {
            target.request_count() > before
        })
        .await;
    }
    actix_rt::time::sleep(CONTACT_TIME).await;
    let since = tokio::time::Instant::now();
    actix_rt::time::sleep(LIMIT_WINDOW + Duration::from_secs(1)).await;
    for (target, limit) in testbed.targets.iter().zip(LIMITS_PER_S) {
        let allowed = 1.5 * f64::from(limit) * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let most = target.most_arrivals(LIMIT_WINDOW, since);
        assert!(
            most as f64 <= allowed,
            "{}: {most} requests in {LIMIT_WINDOW:?}, limit {limit} per second",
            target.id
        );
        target.limit_per_s.set(None);
    }
    for target in &testbed.targets[..LIMITS_PER_S.len()] {
        wait_until(testbed, "withdrawn limit is kept", || async {
            let before = target.request_count();
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            target.request_count() - before > 2 * LIMITS_PER_S[1] as usize
        })
        .await;
    }
}

/// Checks, in each way of cutting the first daemon from all targets, that it serves its
/// callers at least two thirds as often as the other daemons do.
pub async fn check_cuts(testbed: &Testbed) {
    if testbed.links.is_empty() {
        return;
    }
    let addresses = || {
        let processes = testbed.processes.borrow();
        let addresses = processes.iter().map(|process| process.client_address);
        addresses.collect::<Vec<SocketAddr>>()
    };
    for state in faults::CUTS {
        faults::cut(testbed, 0, state);
        actix_rt::time::sleep(CONTACT_TIME).await;
        let mut served = [0; 2];
        for number in 0..CUT_PROBE_COUNT {
            for (count, daemon) in [(0, 0), (1, 1)] {
                let id = format!("cut{number}");
                let status = clients::probe(addresses()[daemon], "/read/", &id).await;
                served[count] += usize::from(status == Some(200));
            }
        }
        assert!(
            3 * served[0] >= 2 * served[1],
            "{state:?}: the cut daemon served {} of {CUT_PROBE_COUNT}, another one {}",
            served[0],
            served[1]
        );
        faults::cut(testbed, 0, LinkState::Open);
    }
}

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
    for daemon in 0..addresses.len() {
        let key = format!("d{daemon}");
        wait_until(
            testbed,
            "row with a daemon's address is missing",
            || async { testbed.store.has_row("cyclamengauge-instances", &key) },
        )
        .await;
    }
    lose_changes(testbed).await;
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

/// Lets the store come back without the changes of the target list that the daemons have
/// just read.
async fn lose_changes(testbed: &Testbed) {
    let copy = testbed.store.copy();
    for change in 0..LOST_CHANGES {
        let invalid = json!({ "change": change });
        testbed.store.put("servers", "invalid", &invalid);
    }
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    testbed.store.restore(&copy);
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
