//! Callers, and what they and the targets must see.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{Soak, faults::EVENTS, process};

/// Time after which a caller leaves; daemons may be paused.
const PATIENCE: Duration = Duration::from_secs(4);

/// The retry budget that daemons without other settings keep to.
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 100.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Read,
    Once,
    Stream,
    Fixed,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Read, Self::Once, Self::Stream, Self::Fixed];

    fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Fixed => "/fixed/",
        }
    }

    fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Fixed)
    }
}

struct Answer {
    status: u16,
    signature: String,
    body: Vec<u8>,
    /// Whether the answer looks complete.
    whole: bool,
}

/// A request and the status of its answer.
pub struct Asked {
    id: String,
    kind: Kind,
    status: Option<u16>,
}

/// Asks one request after the other until the soak ends.
pub async fn call(soak: Rc<Soak>, caller: usize) -> Vec<Asked> {
    // Every other caller keeps its connections until their process is gone.
    let mut connections = Connections {
        keep: caller.is_multiple_of(2),
        ..Connections::default()
    };
    let mut asked = Vec::new();
    while soak.running.get() {
        let (kind, address) = {
            let mut rng = soak.rng.borrow_mut();
            let processes = soak.processes.borrow();
            let kind = Kind::ALL[rng.usize(..Kind::ALL.len())];
            (kind, processes[rng.usize(..processes.len())].client_address)
        };
        let id = format!("c{caller}n{}", asked.len());
        let answer = connections.ask(address, kind.path(), &id).await;
        if let Some(answer) = &answer {
            check_answer(kind, &id, answer);
        }
        let status = answer.map(|answer| answer.status);
        asked.push(Asked { id, kind, status });
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    asked
}

/// Whether a daemon serves a read.
pub async fn is_served(address: SocketAddr) -> bool {
    probe(address, Kind::Read.path(), "probe").await == Some(200)
}

/// Status of the answer to a request of such an id.
pub async fn probe(address: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let answer = Connections::default().ask(address, path, id).await;
    answer.map(|answer| answer.status)
}

/// Checks what ran against what callers were told.
pub fn check_runs(soak: &Soak, asked: &[Asked]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    for target in &soak.targets {
        for received in target.received.borrow().iter() {
            let header = |name: &str| received.headers.get(name).map(String::as_str);
            assert_eq!(header("authorization"), None);
            assert_eq!(header(process::ACCOUNT_HEADER), Some("lab"));
            assert_eq!(
                header(process::EXPECTED_TARGET_HEADER),
                Some(target.id.as_str())
            );
            let id = header(process::REQUEST_ID_HEADER).unwrap().to_owned();
            *arrivals.entry(id.clone()).or_default() += 1;
            if received.ran {
                *runs.entry(id).or_default() += 1;
            }
        }
    }
    let served = asked.iter().filter(|asked| asked.status == Some(200));
    println!("{} asked, {} served", asked.len(), served.count());
    check_retries(asked.len(), &arrivals);
    for asked in asked.iter().filter(|asked| asked.kind.runs_once()) {
        let ran = runs.get(&asked.id).copied().unwrap_or(0);
        assert!(ran <= 1, "{} ran {ran} times", asked.id);
        if asked.status == Some(503) {
            assert_eq!(ran, 0, "{} was refused and ran", asked.id);
        }
    }
}

/// A caller's connections, by daemon.
#[derive(Default)]
struct Connections {
    /// Whether they are used again.
    keep: bool,
    kept: HashMap<SocketAddr, SendRequest<Full<Bytes>>>,
}

impl Connections {
    /// Asks over a kept connection, or over one of its own; none without a head.
    async fn ask(&mut self, address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
        let asking = self.ask_patiently(address, path, id);
        let asked = actix_rt::time::timeout(PATIENCE, asking).await;
        asked.ok().flatten()
    }

    async fn ask_patiently(&mut self, address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
        let kept = self.kept.remove(&address).filter(SendRequest::is_ready);
        let mut sender = match kept {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = Request::post(path)
            .header("Host", "h.example")
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", "3000")
            .header("Authorization", "Bearer key")
            .body(Full::new(Bytes::from(id.to_owned())));
        let response = sender.send_request(request.unwrap()).await.ok()?;
        let signature = response.headers().get(process::SIGNATURE_HEADER);
        let signature = signature.and_then(|value| value.to_str().ok());
        let mut answer = Answer {
            status: response.status().as_u16(),
            signature: signature.unwrap_or_default().to_owned(),
            body: Vec::new(),
            whole: true,
        };
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => answer.body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    answer.whole = false;
                    return Some(answer);
                }
            }
        }
        if self.keep {
            self.kept.insert(address, sender);
        }
        Some(answer)
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    actix_rt::spawn(connection);
    Some(sender)
}

fn check_answer(kind: Kind, id: &str, answer: &Answer) {
    // Every configuration allows every request.
    let denied = matches!(answer.status, 400..=407 | 409..=420);
    assert!(!denied, "{id} is denied with {}", answer.status);
    if answer.status != 200 {
        return;
    }
    assert_eq!(answer.signature, format!("s.{id}"), "{id}: not its answer");
    let body = String::from_utf8_lossy(&answer.body);
    match kind {
        Kind::Read | Kind::Once if answer.whole => assert_eq!(body, "whole answer", "{id}"),
        Kind::Read | Kind::Once => {}
        Kind::Stream | Kind::Fixed => check_events(id, &body, answer.whole),
    }
}

fn check_events(id: &str, body: &str, whole: bool) {
    let numbers = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers: Vec<u64> = numbers.filter_map(|number| number.parse().ok()).collect();
    let expected: Vec<u64> = (1..=numbers.len() as u64).collect();
    assert_eq!(numbers, expected, "{id}: events are missing or doubled");
    if whole {
        assert_eq!(numbers.len() as u64, EVENTS, "{id}: looks complete");
    }
}

/// Arrivals beyond the first of each request keep to the budget.
fn check_retries(asked: usize, arrivals: &HashMap<String, usize>) {
    let repeats: usize = arrivals.values().map(|count| count - 1).sum();
    // The run lasts for less than two windows.
    let allowed = RETRY_RATIO * asked as f64 + 2.0 * RETRY_EXTRA;
    assert!(
        repeats as f64 <= allowed,
        "{repeats} repeats, {allowed} allowed"
    );
}
