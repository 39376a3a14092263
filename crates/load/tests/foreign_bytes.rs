//! Bytes of engines and targets without an end, on the project's own interface.

#[allow(dead_code)]
mod faulty;

use std::{
    cell::Cell,
    path::Path,
    time::{Duration, Instant},
};

use cyclamengauge_load::{
    harness::{self, Ended, Fleet, Process},
    model::Deployment,
};
use faulty::{DEADLINE, ask, declare, faulty_declaration, fleet, report, run, start_faulty};
use futures_util::future;

/// Time in which a process answers its readiness check, and memory that it may take.
const CHECK_LIMIT: Duration = Duration::from_millis(500);
const MAX_MEMORY_KIB: u64 = 390 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_ERROR: &str = "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bytes without an end: what comes first, and what is repeated.
const ENDLESS: [(&str, &str, &str); 12] = [
    ("one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"),
    ("header lines", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"),
    ("empty lines before the head", "", "\r\n"),
    ("interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    (
        "interim heads with a field",
        "",
        "HTTP/1.1 100\r\na:\r\n\r\n",
    ),
    ("zeros before a chunk's size", CHUNKED, "0"),
    ("chunks of an error", CHUNKED_ERROR, "1\r\nx\r\n"),
    ("a line in chunks of one byte", CHUNKED, "1\r\nx\r\n"),
    ("a line", CHUNKED, "8\r\ndata: aa\r\n"),
    ("comments", CHUNKED, "5\r\n: a\n\n\r\n"),
    ("empty lines in chunks of one byte", CHUNKED, "1\r\n\n\r\n"),
    (
        "a body that ends with its connection",
        "HTTP/1.1 200 OK\r\n\r\n",
        "a",
    ),
];

fn memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = peak.unwrap().trim().trim_end_matches(" kB");
    number.parse().unwrap()
}

/// Asks a daemon whether it is ready until `is_over`; returns the longest time that it took.
async fn check_readiness(fleet: &Fleet, is_over: &Cell<bool>) -> Duration {
    let url = format!("http://{}/ready", fleet.daemons[0].address);
    let mut longest = Duration::ZERO;
    while !is_over.get() {
        let started = Instant::now();
        let sent = fleet.http.get(&url).send().await;
        assert!(sent.is_ok_and(|response| response.status().is_success()));
        longest = longest.max(started.elapsed());
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Guards against bytes of an engine or a target that hold the process or fill its memory.
#[test]
fn bytes_without_an_end_neither_hold_a_daemon_nor_fill_it() {
    for (kind, start, repeated) in ENDLESS {
        run(async {
            let mut fleet = fleet(1, 1).await?;
            let address = start_faulty(report(&[], 0), start, repeated);
            declare(&fleet, faulty_declaration(&fleet, &address)).await?;
            let is_over = Cell::new(false);
            let asking = async {
                let asked = future::join_all((0..4).map(|number| ask(&fleet, number)));
                let url = format!("http://{}/services/faulty/bytes", fleet.daemons[0].address);
                let request = fleet.http.get(url).timeout(DEADLINE * 2);
                let key = format!("Bearer {}-1", cyclamengauge_load::harness::ACCOUNT_KEY);
                let request = request.insert_header(("authorization", key));
                let request = request.insert_header(("x-deadline-ms", "4000"));
                let (ends, called) = future::join(asked, request.send()).await;
                is_over.set(true);
                (ends, called.map(|response| response.status().as_u16()).ok())
            };
            let checking = check_readiness(&fleet, &is_over);
            let ((ends, called), longest) = future::join(asking, checking).await;
            for end in ends {
                let is_ended = matches!(
                    end,
                    Ended::Whole | Ended::Refused { .. } | Ended::BrokenOff(_)
                );
                assert!(is_ended, "{kind}: {end:?}");
            }
            assert!(called.is_some(), "{kind}: no answer of the service");
            assert!(longest < CHECK_LIMIT, "{kind}: not ready for {longest:?}");
            let memory = memory_kib(fleet.daemons[0].id());
            assert!(memory < MAX_MEMORY_KIB, "{kind}: {memory} KiB");
            assert!(fleet.daemons[0].is_running(), "{kind}");
            assert_eq!(ask(&fleet, 9).await, Ended::Whole, "{kind}");
            Ok(())
        });
    }
}

/// Guards against reports of an engine without an end, as above: they are fetched without any
/// request, and again and again.
#[test]
fn reports_without_an_end_neither_hold_a_daemon_nor_fill_it() {
    for (kind, start, repeated) in ENDLESS {
        run(async {
            let mut fleet = fleet(1, 1).await?;
            let mut declaration = fleet.declaration();
            for number in 0..4 {
                let mut engine = declaration.engines[0].clone();
                engine.name = format!("faulty{number}");
                engine.address = start_faulty(String::new(), start, repeated);
                declaration.engines.push(engine);
            }
            fleet.put_in_force(declaration).await?;
            let is_over = Cell::new(false);
            let fetching = async {
                // Several probes of each engine.
                actix_rt::time::sleep(Duration::from_secs(3)).await;
                is_over.set(true);
            };
            let checking = check_readiness(&fleet, &is_over);
            let ((), longest) = future::join(fetching, checking).await;
            assert!(longest < CHECK_LIMIT, "{kind}: not ready for {longest:?}");
            let memory = memory_kib(fleet.daemons[0].id());
            assert!(memory < MAX_MEMORY_KIB, "{kind}: {memory} KiB");
            assert!(fleet.daemons[0].is_running(), "{kind}");
            assert_eq!(ask(&fleet, 9).await, Ended::Whole, "{kind}");
            Ok(())
        });
    }
}

/// Guards against responses of the platform without an end, as above: the daemon reads several
/// tables by itself. It is not ready then, and says so in time.
#[test]
fn responses_of_the_platform_without_an_end_neither_hold_a_daemon_nor_fill_it() {
    for (kind, start, repeated) in ENDLESS {
        run(async {
            let platform = start_faulty(String::new(), start, repeated);
            let ports = harness::free_addresses(3)?;
            let listen = [ports[0].clone(), ports[1].clone(), ports[2].clone()];
            let deployment = Deployment::MoosachIsental;
            let settings = harness::settings(0, &listen, &[], &platform, deployment);
            let directory = std::env::temp_dir().join(format!("platform-{}", std::process::id()));
            std::fs::create_dir_all(&directory)?;
            let path = directory.join("daemon.json");
            std::fs::write(&path, serde_json::to_string(&settings)?)?;
            let arguments = ["daemon", "--config", &path.display().to_string()].map(str::to_owned);
            let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauge-load"));
            let mut daemon = Process::start(program, &directory, "daemon", &ports[0], &arguments)?;
            let http = awc::Client::default();
            let url = format!("http://{}/ready", ports[0]);
            let started = Instant::now();
            while http.get(&url).send().await.is_err() {
                anyhow::ensure!(started.elapsed() < DEADLINE, "{kind}: not started");
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            let mut longest = Duration::ZERO;
            // Several calls to each table.
            let started = Instant::now();
            while started.elapsed() < Duration::from_secs(3) {
                let asked = Instant::now();
                let answered = http.get(&url).send().await;
                anyhow::ensure!(answered.is_ok(), "{kind}: no answer");
                longest = longest.max(asked.elapsed());
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            assert!(longest < CHECK_LIMIT, "{kind}: no answer for {longest:?}");
            let memory = memory_kib(daemon.id());
            assert!(memory < MAX_MEMORY_KIB, "{kind}: {memory} KiB");
            assert!(daemon.is_running(), "{kind}");
            daemon.kill();
            std::fs::remove_dir_all(&directory)?;
            Ok(())
        });
    }
}
