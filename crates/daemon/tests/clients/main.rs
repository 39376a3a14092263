//! Clients that misbehave, beside ordinary callers. The daemon is a process of its own, on
//! a machine with little memory. It must not end, must stay within that memory, and must
//! serve the ordinary callers; a request that it refuses must not reach a target.
//!
//! The load is bounded and stays on loopback addresses.

#[path = "../../../../platform/tests/gateway/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../../../../platform/tests/gateway/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../../../../platform/tests/gateway/store.rs"]
#[allow(dead_code)]
mod store;
#[path = "../../../../platform/tests/gateway/target.rs"]
#[allow(dead_code)]
mod target;

#[path = "../../../load/src/hostile/crowd.rs"]
#[allow(dead_code)]
mod crowd;

use std::{
    cell::Cell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    rc::Rc,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crowd::{BODY_BYTES, Crowd, Shape};
use cyclamengauge_platform::headers;
use harness::{build_request, configuration, register, run_test, status_code};
use process::DaemonProcess;
use serde_json::json;
use store::Store;
use target::{Behaviour, Target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Number of ordinary callers.
const CALLERS: usize = 24;

/// Requests of each ordinary caller, and the pause between two of them.
const CALLS: usize = 20;
const CALM_CALLS: usize = 5;
const CALL_PAUSE: Duration = Duration::from_millis(200);

/// Time after which an ordinary caller gives up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which the load balancer expects an answer from a ready instance.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Share of the ordinary callers' requests that may not be served in time, beyond the share
/// in calm.
const MAX_LOST_SHARE: f64 = 0.05;

/// Probes without an answer in a row after which the load balancer takes an instance out.
const MAX_LATE_PROBES: u32 = 2;

/// The crowds of one test are enough load at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// Path of a route, and one without a route.
const ROUTE: &str = "/read/crowd";
const NO_ROUTE: &str = "/none/crowd";

/// Address of the clients that misbehave.
const CROWD_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 200));

/// A machine, and the number of clients that misbehave.
#[derive(Clone, Copy, Debug)]
struct Machine {
    memory_mb: u64,
    max_fds: u64,
    crowd: usize,
}

const LARGE: Machine = Machine {
    memory_mb: 390,
    max_fds: 6_150,
    crowd: 300,
};

const SMALL: Machine = Machine {
    memory_mb: 112,
    max_fds: 2_870,
    crowd: 75,
};

/// A daemon process with its store and target.
struct Setup {
    _store: Rc<Store>,
    target: Rc<Target>,
    daemon: DaemonProcess,
    directory: PathBuf,
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn start(machine: Machine, name: &str) -> Setup {
    let (store, store_address) = Store::start();
    let target = Target::start("t0", Behaviour::Response(200, "ok")).await;
    register(&store, &target, "ready");
    let mut configuration = configuration(1);
    configuration["limits"]["max_body_bytes"] = json!(4_194_304);
    store.put("op", "config", &configuration);
    let directory = format!("clients-{}-{name}", std::process::id());
    let directory = std::env::temp_dir().join(directory);
    std::fs::create_dir_all(&directory).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
    let limits = format!(
        "[limits]\nmemory_mb = {}\nmax_fds = {}\n",
        machine.memory_mb, machine.max_fds
    );
    let daemon =
        DaemonProcess::start_limited("dc", program, &directory, 90, store_address, &limits);
    for _ in 0..500 {
        if is_ready(daemon.readiness_address).await {
            return Setup {
                _store: store,
                target,
                daemon,
                directory,
            };
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon is not ready");
}

async fn is_ready(address: SocketAddr) -> bool {
    let path = headers::READINESS_PATH;
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let response = call(address, request.as_bytes());
    let response = actix_rt::time::timeout(READINESS_TIMEOUT, response).await;
    matches!(response, Ok(Some(response)) if status_code(&response) == 200)
}

/// Sends a request on a connection of its own; none without a whole response.
async fn call(address: SocketAddr, request: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let response = String::from_utf8_lossy(&response).into_owned();
    response.contains("\r\n\r\n").then_some(response)
}

/// Plays the ordinary callers; returns the share of their requests that were served in time.
async fn play_callers(address: SocketAddr, calls: usize) -> f64 {
    let served = Rc::new(Cell::new(0_usize));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let served = Rc::clone(&served);
            actix_rt::spawn(async move {
                for _ in 0..calls {
                    let request = build_request("POST", "/read/calm", "", "body");
                    let response = call(address, request.as_bytes());
                    let response = actix_rt::time::timeout(CALL_TIMEOUT, response).await;
                    if matches!(response, Ok(Some(response)) if status_code(&response) == 200) {
                        served.set(served.get() + 1);
                    }
                    actix_rt::time::sleep(CALL_PAUSE).await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
    served.get() as f64 / (CALLERS * calls) as f64
}

/// Largest resident memory of a process so far, in bytes.
fn peak_memory_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.unwrap().parse::<u64>().unwrap() * 1_024
}

/// Plays crowds beside ordinary callers and checks what must hold.
fn check(name: &str, machine: Machine, crowds: &[(Shape, Door)]) {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    run_test(async {
        let mut setup = start(machine, name).await;
        let calm_share = play_callers(setup.daemon.client_address, CALM_CALLS).await;
        let process = setup.daemon.id().unwrap();
        let readiness_address = setup.daemon.readiness_address;
        let crowds: Vec<Crowd> = crowds
            .iter()
            .map(|(shape, door)| {
                let count = machine.crowd / crowds.len();
                Crowd::start(*shape, count, door.of(&setup.daemon))
            })
            .collect();
        let late_probes = Rc::new(Cell::new(0));
        let most_late = Rc::clone(&late_probes);
        let probes = actix_rt::spawn(async move {
            let mut late = 0;
            loop {
                late = match is_ready(readiness_address).await {
                    true => 0,
                    false => late + 1,
                };
                most_late.set(late.max(most_late.get()));
                actix_rt::time::sleep(Duration::from_millis(250)).await;
            }
        });
        let served_share = play_callers(setup.daemon.client_address, CALLS).await;
        probes.abort();
        let peak_bytes = peak_memory_bytes(process);
        drop(crowds);
        assert!(!setup.daemon.has_ended(), "the daemon has ended");
        let limit_bytes = machine.memory_mb * 1_000_000;
        println!(
            "{name}: peak {:.1} MB, served {served_share:.3}, in calm {calm_share:.3}, \
             late probes in a row {}",
            peak_bytes as f64 / 1e6,
            late_probes.get()
        );
        assert!(
            peak_bytes < limit_bytes,
            "{peak_bytes} bytes of {limit_bytes}"
        );
        assert!(
            served_share >= calm_share - MAX_LOST_SHARE,
            "{served_share} of the ordinary callers' requests were served, {calm_share} in calm"
        );
        assert!(
            late_probes.get() < MAX_LATE_PROBES,
            "the load balancer would take the instance out"
        );
        let received = setup.target.received.borrow();
        let incomplete = received.iter().filter(|request| {
            request.request_line.starts_with("POST") && request.request_line.contains("crowd")
        });
        assert_eq!(incomplete.count(), 0, "refused requests reached a target");
    });
}

/// Where a crowd comes in.
#[derive(Clone, Copy, Debug)]
enum Door {
    Route,
    NoRoute,
    Readiness,
    Peers,
    Metrics,
}

impl Door {
    fn of(self, daemon: &DaemonProcess) -> crowd::Door {
        let (address, path) = match self {
            Self::Route => (daemon.client_address, ROUTE),
            Self::NoRoute => (daemon.client_address, NO_ROUTE),
            Self::Readiness => (daemon.readiness_address, headers::READINESS_PATH),
            Self::Peers => (daemon.peer_address, "/requests"),
            Self::Metrics => (daemon.metrics_address, "/metrics"),
        };
        let header_lines = "X-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n\
                            Authorization: Bearer key\r\n";
        crowd::Door {
            address,
            path: path.to_owned(),
            host: "h.example".to_owned(),
            header_lines: header_lines.to_owned(),
            from: Some(CROWD_ADDRESS),
        }
    }
}

/// Pattern: bodies of legal size that stop one byte before their end.
#[test]
fn bodies_that_stop_short_stay_within_memory() {
    check("body-large", LARGE, &[(Shape::Body, Door::Route)]);
    check("body-small", SMALL, &[(Shape::Body, Door::Route)]);
}

/// Pattern: bodies in chunks of one byte. Each chunk costs more to hold than it carries.
#[test]
fn chunks_of_one_byte_stay_within_memory() {
    check("chunks-large", LARGE, &[(Shape::Chunks(1), Door::Route)]);
    check("chunks-small", SMALL, &[(Shape::Chunks(1), Door::Route)]);
}

/// Pattern: requests that are sent ahead on one connection, and responses that nobody reads.
#[test]
fn requests_sent_ahead_do_not_starve_others() {
    check(
        "ahead-large",
        LARGE,
        &[(Shape::SentAhead(20_000), Door::Route)],
    );
    check(
        "ahead-small",
        SMALL,
        &[(Shape::SentAhead(20_000), Door::NoRoute)],
    );
}

/// Pattern: very many short fields, heads that never end, and connections without a request.
#[test]
fn heads_without_end_do_not_starve_others() {
    check("fields", SMALL, &[(Shape::Fields(2_400), Door::Route)]);
    check("slow-heads", SMALL, &[(Shape::SlowHead, Door::Route)]);
    let mixed = [
        (Shape::HalfHead, Door::Route),
        (Shape::Silence, Door::Route),
        (Shape::Fields(100_000), Door::NoRoute),
    ];
    check("heads-mixed", SMALL, &mixed);
}

/// Pattern: three shapes at once, on a large and on a small machine.
#[test]
fn mixed_crowds_stay_within_memory() {
    let mixed = [
        (Shape::Body, Door::Route),
        (Shape::Chunks(1), Door::Route),
        (Shape::SentAhead(20_000), Door::Route),
    ];
    check("mixed-large", LARGE, &mixed);
    check("mixed-small", SMALL, &mixed);
    let slow = [
        (Shape::SmallPieces, Door::Route),
        (Shape::BodyOverLimit, Door::Route),
        (Shape::Chunks(1), Door::NoRoute),
    ];
    check("slow-small", SMALL, &slow);
}

/// Pattern: the same at the paths that are not meant for clients.
#[test]
fn other_doors_stay_within_memory() {
    for door in [Door::NoRoute, Door::Readiness, Door::Peers, Door::Metrics] {
        let mixed = [
            (Shape::Body, door),
            (Shape::Chunks(1), door),
            (Shape::SentAhead(20_000), door),
        ];
        check(&format!("{door:?}"), SMALL, &mixed);
    }
}

/// A single request within the limits is served at every size, also beside a crowd whose
/// bodies stall: its body arrives at a fair pace.
#[test]
fn a_body_that_arrives_is_served_beside_bodies_that_stall() {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    for machine in [LARGE, SMALL] {
        run_test(async {
            let setup = start(machine, "sizes").await;
            let address = setup.daemon.client_address;
            for size in [1, 8_000, 16_384, 16_385, 100_000, 1_000_000, 4_194_304] {
                serve_body(address, size, "calm").await;
            }
            let door = Door::Route.of(&setup.daemon);
            let crowd = Crowd::start(Shape::Body, machine.crowd, door);
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            for size in [8_000, 100_000, 1_000_000] {
                serve_body(address, size, "beside a crowd").await;
            }
            drop(crowd);
        });
    }
}

/// Sends a body until it is served; a refusal is true and may be followed at most twice.
async fn serve_body(address: SocketAddr, size: usize, when: &str) {
    let body = "a".repeat(size);
    let request = build_request("POST", "/read/sized", "", &body);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let response = call(address, request.as_bytes()).await;
        let status = response.as_deref().map(status_code);
        if status == Some(200) {
            return;
        }
        statuses.push(status);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
    }
    panic!("a body of {size} bytes, {when}: {statuses:?}");
}

/// A body above the limit is refused before it is read.
#[test]
fn a_body_above_the_limit_is_refused_at_once() {
    run_test(async {
        let setup = start(SMALL, "limit").await;
        let head = "POST /read/large HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n\
                    Authorization: Bearer key\r\nConnection: close\r\n";
        let request = format!("{head}Content-Length: {}\r\n\r\n", 2 * BODY_BYTES);
        let response = call(setup.daemon.client_address, request.as_bytes()).await;
        assert_eq!(response.as_deref().map(status_code), Some(413));
        assert_eq!(setup.target.request_count(), 0);
    });
}
