//! Requests that are handed over to a peer: who may send them, and what becomes of them if
//! the peer is killed or stops.

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

use std::{collections::HashMap, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use cyclamengauge_schema::v1;
use harness::{build_request, configuration, register, run_test, status_code, wait_until};
use hmac::{Hmac, Mac};
use link::{Link, LinkState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use process::DaemonProcess;
use prost::Message;
use sha2::Sha256;
use store::Store;
use target::{Behaviour, Target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const ANSWER: Behaviour = Behaviour::Response(200, "ok");

fn message(recipient: &str, number: u64) -> v1::HandedOverRequest {
    v1::HandedOverRequest {
        sender: "b".to_owned(),
        sender_incarnation: 7,
        number,
        recipient: recipient.to_owned(),
        recipient_incarnation: 1,
        request: "r1".to_owned(),
        method: "GET".to_owned(),
        uri: "/once/".to_owned(),
        headers: vec![v1::Header {
            name: process::REQUEST_ID_HEADER.to_owned(),
            value: b"r1".to_vec(),
        }],
        route: "once".to_owned(),
        route_kind: v1::RouteKind::NonIdempotent.into(),
        objective_ms: 150,
        service: "app".to_owned(),
        account: Some("lab".to_owned()),
        fingerprint: vec![0; 16],
        time_left_ms: 2_000,
        ..v1::HandedOverRequest::default()
    }
}

fn sign(message: &mut v1::HandedOverRequest, key: &[u8]) {
    message.mac = Vec::new();
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap();
    mac.update(&message.encode_to_vec());
    message.mac = mac.finalize().into_bytes().to_vec();
}

/// Sends a body to the peers' path of a daemon and returns the response.
async fn send_to_peer_path(address: SocketAddr, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /requests HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against anybody but an instance that sends requests on the peers' path, claims
/// another account there, or sends a copy of an instance's message.
#[test]
fn only_signed_messages_for_this_process_are_taken_and_only_once() {
    run_test(async {
        let (store, store_address) = Store::start();
        let target = Target::start("t0", ANSWER).await;
        register(&store, &target, "ready");
        store.put("op", "config", &configuration(1));
        let daemon = harness::start_daemon("a", store_address, &[]).await;
        let table = "cyclamengauge-keys";
        wait_until(|| daemon.gateway.is_ready() && store.has_row(table, "peer-key")).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let key = store.value(table, "peer-key").unwrap();
        let address = daemon.gateway.settings.borrow().peer_listen;
        let send = |message: v1::HandedOverRequest| async move {
            send_to_peer_path(address, &message.encode_to_vec()).await
        };

        let unsigned = message("a", 1);
        let mut wrong_key = message("a", 1);
        sign(&mut wrong_key, &[7; 32]);
        let mut other_account = message("a", 1);
        sign(&mut other_account, &key);
        other_account.account = Some("other".to_owned());
        let mut other_recipient = message("b", 1);
        sign(&mut other_recipient, &key);
        let mut other_process = message("a", 1);
        other_process.recipient_incarnation = 2;
        sign(&mut other_process, &key);
        for rejected in [
            unsigned,
            wrong_key,
            other_account,
            other_recipient,
            other_process,
        ] {
            assert_eq!(status_code(&send(rejected).await), 403);
        }
        assert_eq!(
            status_code(&send_to_peer_path(address, b"\xff\xffgarbage").await),
            403
        );
        assert_eq!(target.request_count(), 0);

        let mut signed = message("a", 1);
        sign(&mut signed, &key);
        let response = send(signed.clone()).await;
        assert_eq!(status_code(&response), 200, "{response}");
        let copy = send(signed).await;
        assert_eq!(status_code(&copy), 403, "a copy is taken");
        // The sender must not report that the request has not run.
        assert!(copy.contains("cyclamengauge-outcome: broken"), "{copy}");
        assert_eq!(target.request_count(), 1);
        let account = target.received.borrow()[0]
            .headers
            .get(process::ACCOUNT_HEADER)
            .cloned();
        assert_eq!(account.as_deref(), Some("lab"));
    });
}

/// Two daemons as processes, of which the first one reaches no target.
struct Processes {
    targets: Vec<Rc<Target>>,
    daemons: Vec<DaemonProcess>,
    _links: Vec<Rc<Link>>,
    directory: std::path::PathBuf,
}

impl Processes {
    async fn start(name: &str, first_address: u8, behaviour: Behaviour) -> Self {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, store_address) = Store::start();
        let (mut targets, mut links) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let target = Target::start(&format!("t{number}"), ANSWER).await;
            register(&store, &target, "ready");
            links.push(Link::start(target.address));
            targets.push(target);
        }
        store.put("op", "config", &configuration(1));
        let addresses: HashMap<String, SocketAddr> = targets
            .iter()
            .zip(&links)
            .map(|(target, link)| (target.id.clone(), link.address))
            .collect();
        let stores = [store.start_view(addresses), store_address];
        let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
        let daemons = stores.iter().zip(first_address..);
        let daemons: Vec<DaemonProcess> = daemons
            .map(|(store, number)| DaemonProcess::start(program, &directory, number, *store))
            .collect();
        for daemon in &daemons {
            while send(daemon, "/read/")
                .await
                .is_none_or(|status| status != 200)
            {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(900)).await;
        links
            .iter()
            .for_each(|link| link.set_state(LinkState::Reset));
        while send(&daemons[0], "/read/").await != Some(200) {}
        for target in &targets {
            target.received.borrow_mut().clear();
            let behaviour = behaviour.clone();
            target.set_script(Some(Box::new(move |_| behaviour.clone())));
        }
        Self {
            targets,
            daemons,
            _links: links,
            directory,
        }
    }

    fn received(&self) -> usize {
        self.targets
            .iter()
            .map(|target| target.request_count())
            .sum()
    }

    fn answer(&self) {
        self.targets
            .iter()
            .for_each(|target| target.set_script(None));
    }

    fn signal(&self, daemon: usize, signal: Signal) {
        let id = self.daemons[daemon].id().unwrap();
        kill(Pid::from_raw(id as i32), signal).unwrap();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        // A stopped process does not end otherwise.
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends a request and returns the status of the response; none without a response.
async fn send(daemon: &DaemonProcess, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(daemon.client_address).await.ok()?;
    let request = build_request("GET", path, "", "");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let response = String::from_utf8_lossy(&response);
    (!response.is_empty()).then(|| status_code(&response))
}

/// Guards against a request that may run once and is reported as not run, or sent again,
/// as the peer that had sent it to a target was killed.
#[test]
fn a_request_at_a_killed_peer_may_have_run_and_is_not_sent_again() {
    run_test(async {
        let mut processes = Processes::start("handover-kill", 210, Behaviour::Hang).await;
        let address = processes.daemons[0].client_address;
        let request = actix_rt::spawn(async move {
            harness::send_request(address, &build_request("GET", "/once/", "", "")).await
        });
        wait_until(|| processes.received() == 1).await;
        processes.daemons[1].kill();
        let response = request.await.unwrap();
        assert_eq!(status_code(&response), 502, "{response}");
        assert!(response.contains("\"ran\":\"unknown\""), "{response}");
        assert_eq!(processes.received(), 1);
    });
}

/// Guards against a caller that waits for its deadline at a peer that is stopped, although
/// the request may be made again.
#[test]
fn a_repeatable_request_leaves_a_peer_that_falls_silent() {
    run_test(async {
        let processes = Processes::start("handover-stop", 220, Behaviour::Hang).await;
        let address = processes.daemons[0].client_address;
        processes.signal(1, Signal::SIGSTOP);
        let started = std::time::Instant::now();
        let response =
            harness::send_request(address, &build_request("GET", "/read/", "", "")).await;
        let took = started.elapsed();
        // The deadline is 3 s away; no other peer is left.
        assert!(took < Duration::from_millis(2_500), "{took:?}: {response}");
        assert!(matches!(status_code(&response), 502 | 503), "{response}");
        processes.signal(1, Signal::SIGCONT);
        processes.answer();
        let started = std::time::Instant::now();
        while send(&processes.daemons[0], "/read/").await != Some(200) {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "not served again"
            );
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    });
}
