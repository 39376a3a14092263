//! Rows of another writer in the tables that daemon processes read: no process ends, and all
//! follow the tables, also after a restart and from the copies of their peers.

#[path = "../../../../platform/tests/gateway/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../../../../platform/tests/gateway/odd_rows.rs"]
#[allow(dead_code)]
mod odd_rows;
#[path = "../../../../platform/tests/gateway/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../../../../platform/tests/gateway/store.rs"]
#[allow(dead_code)]
mod store;
#[path = "../../../../platform/tests/gateway/target.rs"]
#[allow(dead_code)]
mod target;

use std::{path::Path, time::Duration};

use harness::{build_request, configuration, register, run_test};
use odd_rows::{odd_values, put_odd_rows, put_odd_targets, with_field};
use process::DaemonProcess;
use serde_json::json;
use store::{Store, StoreMode};
use target::{Behaviour, Target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

/// Longest time until a daemon follows a change.
const FOLLOW_LIMIT: Duration = Duration::from_secs(20);

async fn call(daemon: &DaemonProcess, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(daemon.client_address).await else {
        return String::new();
    };
    let request = build_request("GET", path, "", "");
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Waits until a daemon answers at `path` with `answer`.
async fn follow(daemons: &mut [DaemonProcess], path: &str, answer: &str, when: &str) {
    let started = Instant::now();
    for (number, daemon) in daemons.iter_mut().enumerate() {
        while !call(daemon, path).await.ends_with(answer) {
            assert!(!daemon.has_ended(), "daemon {number} ended {when}");
            let waited = started.elapsed();
            assert!(
                waited < FOLLOW_LIMIT,
                "daemon {number} does not follow {when}"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn configuration_at(version: u64) -> serde_json::Value {
    let mut configuration = configuration(version);
    configuration["routes"][0]["prefix"] = json!(format!("/v{version}/"));
    configuration
}

/// Guards against odd rows that end processes again and again, or after which they no longer
/// follow a table.
#[test]
fn odd_rows_end_no_process_and_hide_no_changes() {
    run_test(async {
        let directory = std::env::temp_dir().join(format!("odd-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, store_address) = Store::start();
        let first = Target::start("first", Behaviour::Response(200, "first")).await;
        register(&store, &first, "ready");
        store.put("op", "config", &configuration_at(1));
        let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
        let mut daemons: Vec<DaemonProcess> = (100..104)
            .map(|number| DaemonProcess::start(program, &directory, number, store_address))
            .collect();
        follow(&mut daemons, "/v1/", "first", "at the start").await;

        put_odd_targets(&store);
        put_odd_rows(&store);
        let mut version = 1;
        for (kind, value) in odd_values() {
            for field in ["version", "routes", "services", "limits", "tenants"] {
                let odd = with_field(&configuration(version + 1), field, &value);
                store.put_bytes("op", "config", &odd);
            }
            // An entry that was proper becomes odd, and another one comes.
            store.put_bytes("servers", "first", value.as_bytes());
            version += 2;
            let answer: &'static str = format!("answer {version}").leak();
            let behaviour = Behaviour::Response(200, answer);
            let next = Target::start(&format!("n{version}"), behaviour).await;
            register(&store, &next, "ready");
            store.put("op", "config", &configuration_at(version));
            let path = format!("/v{version}/");
            follow(&mut daemons, &path, answer, &format!("after {kind}")).await;
            store.put_bytes("servers", &next.id, value.as_bytes());
        }

        let last = Target::start("last", Behaviour::Response(200, "last")).await;
        register(&store, &last, "ready");
        let path = format!("/v{version}/");
        follow(&mut daemons, &path, "last", "before the restarts").await;
        for daemon in &mut daemons {
            daemon.restart();
        }
        follow(&mut daemons, &path, "last", "after a restart").await;

        store.set_mode(StoreMode::Refusing);
        let late = register_late(&store).await;
        store.set_mode(StoreMode::Serving);
        follow(&mut daemons, &path, "late", "after an outage").await;
        drop((late, first));
        drop(daemons);
        let _ = std::fs::remove_dir_all(&directory);
    });
}

async fn register_late(store: &Store) -> std::rc::Rc<Target> {
    let late = Target::start("late", Behaviour::Response(200, "late")).await;
    register(store, &late, "ready");
    store.remove("servers", "last");
    late
}
