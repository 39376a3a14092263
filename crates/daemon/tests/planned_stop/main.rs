//! A planned stop of a daemon: SIGTERM, and SIGKILL after the grace time. Requests arrive at
//! each tenth of it, on open and on new connections, also those that are handed over.

#[path = "../../../../platform/tests/gateway/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../../../../platform/tests/gateway/link.rs"]
#[allow(dead_code)]
mod link;
#[path = "../../../../platform/tests/gateway/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../../../../platform/tests/gateway/store.rs"]
#[allow(dead_code)]
mod store;
#[path = "../../../../platform/tests/gateway/target.rs"]
#[allow(dead_code)]
mod target;

use std::{
    cell::Cell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use harness::{build_request, configuration, register, run_test, status_code};
use link::{Link, LinkState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use process::DaemonProcess;
use serde_json::json;
use store::Store;
use target::{Behaviour, ReceivedRequest, Target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(5);

/// Time in which a connection may be closed after a request that was not read, as the users'
/// pages say.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Routes of each kind; the requests to the second and the fourth may run once.
const ROUTES: [&str; 4] = ["read", "once", "stream", "fixed"];

/// Interval between two events of a stream. Shorter ones are more than the targets, which
/// share a thread, can write beside load.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Events of the streams that end in time, and of those that outlast the stop.
const EVENTS: [(&str, u64); 3] = [("quick", 2), ("half", 36), ("long", 240)];

/// Times of the other answers.
const TIMES_MS: [(&str, u64); 3] = [("quick", 100), ("half", 1_800), ("long", 12_000)];

fn behaviour(request: &ReceivedRequest) -> Behaviour {
    let path = request.request_line.split(' ').nth(1).unwrap();
    let (route, length) = path.trim_matches('/').split_once('/').unwrap();
    let index = EVENTS.iter().position(|(name, _)| *name == length);
    let index = index.unwrap();
    match route {
        "stream" | "fixed" => Behaviour::StreamEvery(EVENT_INTERVAL, EVENTS[index].1),
        _ => Behaviour::After(Duration::from_millis(TIMES_MS[index].1), "answer"),
    }
}

struct Setup {
    targets: Vec<Rc<Target>>,
    daemons: Vec<DaemonProcess>,
    links: Vec<Rc<Link>>,
    directory: PathBuf,
}

impl Setup {
    /// Starts two daemons before four targets, the first one behind links.
    async fn start(name: &str, first_address: u8) -> Self {
        Self::start_with_grace(name, first_address, GRACE).await
    }

    async fn start_with_grace(name: &str, first_address: u8, grace: Duration) -> Self {
        let directory = std::env::temp_dir().join(format!("stop-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, store_address) = Store::start();
        let (mut targets, mut links) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let target = Target::start(&format!("t{number}"), Behaviour::Hang).await;
            target.set_script(Some(Box::new(behaviour)));
            register(&store, &target, "ready");
            links.push(Link::start(target.address));
            targets.push(target);
        }
        let mut configuration = configuration(1);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(15_000);
        }
        store.put("op", "config", &configuration);
        let ids = targets.iter().map(|target| target.id.clone());
        let addresses = links.iter().map(|link| link.address);
        let view: HashMap<String, SocketAddr> = ids.zip(addresses).collect();
        let stores = [store.start_view(view), store_address];
        let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
        let bounds = format!("[bounds]\ngrace_s = {}\n", grace.as_secs());
        let daemons = stores.iter().zip(first_address..);
        let daemons = daemons.map(|(store, number)| {
            DaemonProcess::start_limited("dc", program, &directory, number, *store, &bounds)
        });
        let setup = Self {
            daemons: daemons.collect(),
            targets,
            links,
            directory,
        };
        for daemon in &setup.daemons {
            setup.serve(daemon.client_address).await;
        }
        setup
    }

    /// Cuts the first daemon from the targets, and waits until it hands requests over.
    async fn cut_first(&self) {
        actix_rt::time::sleep(Duration::from_millis(900)).await;
        for link in &self.links {
            link.set_state(LinkState::Reset);
        }
        self.serve(self.daemons[0].client_address).await;
    }

    async fn serve(&self, address: SocketAddr) {
        let started = Instant::now();
        let request = build_request("GET", "/read/quick", "", "");
        loop {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                let _ = stream.write_all(request.as_bytes()).await;
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response).await;
                if response.starts_with(b"HTTP/1.1 200") {
                    return;
                }
            }
            assert!(started.elapsed() < Duration::from_secs(30), "not served");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn signal(&self, daemon: usize, signal: Signal) {
        let id = self.daemons[daemon].id().unwrap();
        // The process may have ended.
        let _ = kill(Pid::from_raw(id as i32), signal);
    }

    /// Ids of the requests that a target has run.
    fn ran(&self) -> HashSet<String> {
        let received = self.targets.iter().flat_map(|target| {
            let received = target.received.borrow();
            let ran = received.iter().filter(|request| request.ran);
            let ids = ran.map(|request| request.headers[process::REQUEST_ID_HEADER].clone());
            ids.collect::<Vec<_>>()
        });
        received.collect()
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// What came of a request.
struct Ended {
    id: String,
    path: String,
    /// Times from the SIGTERM to its sending and to its end.
    sent_at: Duration,
    ended_at: Duration,
    response: String,
}

impl Ended {
    fn is_stream(&self) -> bool {
        self.path.starts_with("/stream/") || self.path.starts_with("/fixed/")
    }

    fn is_whole(&self) -> bool {
        match self.is_stream() {
            true => {
                let length = self.path.rsplit('/').next();
                let events = EVENTS
                    .iter()
                    .find(|(name, _)| Some(*name) == length)
                    .unwrap()
                    .1;
                let last = format!("id: {events}\ndata: e{events}\n\n");
                self.response.contains(&last) && self.response.ends_with("0\r\n\r\n")
            }
            false => self.response.ends_with("\r\n\r\nanswer"),
        }
    }

    /// Why the caller was let down; none if it was not.
    fn fault(&self, has_run: bool) -> Option<String> {
        let is_late = self.ended_at >= GRACE.mul_f64(5.0 / 6.0);
        if self.response.is_empty() {
            let unread = self.ended_at.saturating_sub(self.sent_at) <= LOSS_SLACK;
            return match (has_run, unread) {
                (true, _) => Some("ran, and got no answer".to_owned()),
                (false, false) => Some("was read, and got no answer".to_owned()),
                (false, true) => None,
            };
        }
        match status_code(&self.response) {
            200 if self.is_whole() => None,
            200 if !self.is_stream() => Some("part of an answer".to_owned()),
            200 if self.response.ends_with("0\r\n\r\n") => Some("looks complete".to_owned()),
            200 if is_late && self.path.ends_with("/long") => None,
            200 => Some("a stream was cut early".to_owned()),
            408 | 503 if has_run => Some("ran, and was refused as not run".to_owned()),
            408 | 503 => None,
            502 | 504 if is_late => None,
            502 | 504 if self.path.ends_with("/long") => None,
            status => Some(format!("status {status} although there was time")),
        }
    }
}

async fn send(mut stream: TcpStream, path: String, id: String, started: Instant) -> Ended {
    let request = build_request("POST", &path, "", "p")
        .replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"))
        .replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 15000");
    let sent_at = started.elapsed();
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = actix_rt::time::timeout(GRACE * 2, read).await;
    Ended {
        id,
        path,
        sent_at,
        ended_at: started.elapsed(),
        response: String::from_utf8_lossy(&response).into_owned(),
    }
}

/// Sends requests of all kinds to the first daemon at each tenth of the grace time of a stop
/// of daemon `stopped`, and checks what came of them.
async fn check_stop(setup: &mut Setup, called: usize, stopped: usize) {
    let address = setup.daemons[called].client_address;
    let mut kinds = Vec::new();
    for route in ROUTES {
        for (length, _) in EVENTS {
            kinds.push(format!("/{route}/{length}"));
        }
    }
    // Connections that are open when the stop begins.
    let mut open = Vec::new();
    for _ in 0..kinds.len() * 11 {
        open.push(TcpStream::connect(address).await.unwrap());
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    let mut sending = Vec::new();
    let number = Cell::new(0);
    let mut spawn = |stream: TcpStream, path: &str| {
        number.set(number.get() + 1);
        let id = format!("r{}", number.get());
        sending.push(actix_rt::spawn(send(stream, path.to_owned(), id, started)));
    };
    for tenth in 0..=10 {
        let due = started + GRACE.mul_f64(f64::from(tenth) / 10.0);
        tokio::time::sleep_until(due).await;
        for path in &kinds {
            spawn(open.pop().unwrap(), path);
            if let Ok(stream) = TcpStream::connect(address).await {
                spawn(stream, path);
            }
        }
        if tenth == 0 {
            // Requests in progress when the stop begins.
            actix_rt::time::sleep(Duration::from_millis(30)).await;
            setup.signal(stopped, Signal::SIGTERM);
        }
    }
    assert!(
        setup.daemons[stopped].has_ended(),
        "SIGKILL would have ended it"
    );
    let mut ends = Vec::new();
    for sent in sending {
        ends.push(sent.await.unwrap());
    }
    let ran = setup.ran();
    let mut faults = Vec::new();
    for end in &ends {
        if let Some(fault) = end.fault(ran.contains(&end.id)) {
            let (sent_at, ended_at) = (end.sent_at, end.ended_at);
            let start: String = end.response.chars().take(40).collect();
            faults.push(format!(
                "{} at {sent_at:?} to {ended_at:?}: {fault}: {start:?}",
                end.path
            ));
        }
    }
    let count = |path: &str, status: u16| {
        let of_path = ends.iter().filter(|end| end.path.contains(path));
        let answered = of_path.filter(|end| !end.response.is_empty());
        answered
            .filter(|end| status_code(&end.response) == status)
            .count()
    };
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    for route in ROUTES {
        assert!(
            count(&format!("/{route}/quick"), 200) >= 2,
            "{route} is not served at first"
        );
    }
    assert!(count("/", 503) > 0, "nothing was refused");
    assert!(count("/once/long", 502) > 0, "none outlasted the stop");
}

/// Guards against requests that are taken and passed on in a planned stop, and are cut at its
/// end without an answer, or are refused although they ran.
#[test]
fn requests_at_each_tenth_of_the_grace_time_are_answered_or_refused() {
    run_test(async {
        let mut setup = Setup::start("own", 230).await;
        check_stop(&mut setup, 1, 1).await;
    });
}

/// As above, for requests that the stopped daemon hands over to a peer.
#[test]
fn requests_that_a_stopped_daemon_hands_over_are_answered_or_refused() {
    run_test(async {
        let mut setup = Setup::start("origin", 234).await;
        setup.cut_first().await;
        check_stop(&mut setup, 0, 0).await;
    });
}

/// As above, for requests that the stopped daemon makes for a peer. The peer's callers are
/// refused while no other instance reaches the targets.
#[test]
fn requests_that_a_stopped_daemon_has_taken_over_are_answered_or_refused() {
    run_test(async {
        let mut setup = Setup::start("peer", 238).await;
        setup.cut_first().await;
        check_stop(&mut setup, 0, 1).await;
    });
}

/// Guards against a body that arrives while the process stops, and is passed on so late that
/// its response is cut; and against a request that is passed on in the last moments of an
/// idle process.
#[test]
fn a_body_that_arrives_late_in_a_stop_is_refused() {
    run_test(async {
        let setup = Setup::start("body", 242).await;
        let mut stream = TcpStream::connect(setup.daemons[1].client_address)
            .await
            .unwrap();
        let request = build_request("POST", "/once/half", "", "late");
        let (early, late) = request.split_at(request.len() - 2);
        stream.write_all(early.as_bytes()).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        setup.signal(1, Signal::SIGTERM);
        actix_rt::time::sleep(GRACE.mul_f64(0.5)).await;
        stream.write_all(late.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response);
        assert_eq!(status_code(&response), 503, "{response}");
        let is_passed_on = setup.targets.iter().any(|target| {
            let received = target.received.borrow();
            received.iter().any(|request| request.body == "late")
        });
        assert!(!is_passed_on, "the request was passed on too late");
    });
}

/// Guards against a process that ends while it takes a request: its only client sends one
/// after the other until the process is gone.
#[test]
fn requests_until_the_end_of_an_idle_process_are_answered_or_refused() {
    run_test(async {
        // Longer than it takes the load balancer to notice, so that requests are still taken
        // when the process ends.
        let grace = Duration::from_secs(20);
        for round in 0..3 {
            let mut setup = Setup::start_with_grace("end", 246, grace).await;
            let address = setup.daemons[1].client_address;
            let started = Instant::now();
            setup.signal(1, Signal::SIGTERM);
            let mut ends = Vec::new();
            while !setup.daemons[1].has_ended() {
                if let Ok(stream) = TcpStream::connect(address).await {
                    let id = format!("c{round}-{}", ends.len());
                    ends.push(send(stream, "/once/quick".to_owned(), id, started).await);
                }
                actix_rt::time::sleep(Duration::from_millis(20 + 10 * round)).await;
            }
            let ran = setup.ran();
            for end in ends {
                let fault = end.fault(ran.contains(&end.id));
                let at = end.sent_at;
                assert!(fault.is_none(), "{fault:?} at {at:?}: {}", end.response);
            }
        }
    });
}
