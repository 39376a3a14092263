//! Clients, and checks of their responses and of the requests that targets received.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{Testbed, faults::STREAM_EVENT_COUNT, process};

/// Time limit of a client for a whole response. A paused daemon would keep a client
/// waiting until a later fault resumes or kills the daemon.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Retries per request in the retry budget of daemons with default settings.
const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Retries per window that the budget allows beyond the ratio, over all instances.
const RETRY_BUDGET_EXTRA: f64 = 100.0;

/// The routes of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Idempotent,
    NonIdempotent,
    ResumableStream,
    NonResumableStream,
}

impl Route {
    const ALL: [Self; 4] = [
        Self::Idempotent,
        Self::NonIdempotent,
        Self::ResumableStream,
        Self::NonResumableStream,
    ];

    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/read/",
            Self::NonIdempotent => "/once/",
            Self::ResumableStream => "/stream/",
            Self::NonResumableStream => "/fixed/",
        }
    }

    /// Whether targets may execute a request of this route at most once.
    fn is_at_most_once(self) -> bool {
        matches!(self, Self::NonIdempotent | Self::NonResumableStream)
    }
}

struct Response {
    status: u16,
    signature: String,
    body: Vec<u8>,
    /// Whether the body ended without a transport error.
    complete: bool,
}

/// A request and the status of its response.
pub struct RequestOutcome {
    id: String,
    route: Route,
    /// `None` if the connection failed before a response or the request timed out.
    status: Option<u16>,
}

/// Sends requests one after the other while `Testbed::clients_running` is set.
pub async fn run_client(testbed: Rc<Testbed>, client: usize) -> Vec<RequestOutcome> {
    // Even-numbered clients reuse their connections until the daemon closes them.
    let mut connections = Connections {
        reuse: client.is_multiple_of(2),
        ..Connections::default()
    };
    let mut outcomes = Vec::new();
    while testbed.clients_running.get() {
        let (route, address) = {
            let mut rng = testbed.rng.borrow_mut();
            let processes = testbed.processes.borrow();
            let route = Route::ALL[rng.usize(..Route::ALL.len())];
            (
                route,
                processes[rng.usize(..processes.len())].client_address,
            )
        };
        let id = format!("c{client}n{}", outcomes.len());
        let response = connections.send(address, route.path(), &id).await;
        if let Some(response) = &response {
            check_response(route, &id, response);
        }
        let status = response.map(|response| response.status);
        outcomes.push(RequestOutcome { id, route, status });
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

/// Whether the daemon at `address` serves an idempotent request.
pub async fn is_serving(address: SocketAddr) -> bool {
    probe(address, Route::Idempotent.path(), "probe").await == Some(200)
}

/// Sends one request over a new connection and returns the status of its response.
pub async fn probe(address: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let response = Connections::default().send(address, path, id).await;
    response.map(|response| response.status)
}

/// Checks the requests that targets received and executed against the responses that
/// clients received.
pub fn check_executions(testbed: &Testbed, outcomes: &[RequestOutcome]) {
    let mut executions: HashMap<String, usize> = HashMap::new();
    let mut attempts: HashMap<String, usize> = HashMap::new();
    for target in &testbed.targets {
        for received in target.received.borrow().iter() {
            let header = |name: &str| received.headers.get(name).map(String::as_str);
            assert_eq!(
                header("authorization"),
                None,
                "client credentials forwarded to target {}",
                target.id
            );
            assert_eq!(
                header(process::ACCOUNT_HEADER),
                Some("lab"),
                "wrong client account sent to target {}",
                target.id
            );
            assert_eq!(
                header(process::EXPECTED_TARGET_HEADER),
                Some(target.id.as_str()),
                "request names another target than its receiver"
            );
            let id = header(process::REQUEST_ID_HEADER).unwrap().to_owned();
            *attempts.entry(id.clone()).or_default() += 1;
            if received.ran {
                *executions.entry(id).or_default() += 1;
            }
        }
    }
    let served = outcomes.iter().filter(|o| o.status == Some(200));
    println!(
        "{} requests sent, {} answered with status 200",
        outcomes.len(),
        served.count()
    );
    check_retry_budget(outcomes.len(), &attempts);
    for outcome in outcomes.iter().filter(|o| o.route.is_at_most_once()) {
        let count = executions.get(&outcome.id).copied().unwrap_or(0);
        assert!(
            count <= 1,
            "{}: executed {count} times, expected at most once",
            outcome.id
        );
        if outcome.status == Some(503) {
            assert_eq!(
                count, 0,
                "{}: executed, but answered with status 503",
                outcome.id
            );
        }
    }
}

/// The connections of one client.
#[derive(Default)]
struct Connections {
    /// Whether connections are reused; otherwise each request opens one.
    reuse: bool,
    /// Idle connections by the address of the daemon.
    idle: HashMap<SocketAddr, SendRequest<Full<Bytes>>>,
}

impl Connections {
    /// Sends a request over an idle connection or a new one.
    ///
    /// Returns `None` if the connection fails before the response head, or if the
    /// response is not complete within `CLIENT_TIMEOUT`.
    async fn send(&mut self, address: SocketAddr, path: &str, id: &str) -> Option<Response> {
        let response = self.send_without_timeout(address, path, id);
        let response = actix_rt::time::timeout(CLIENT_TIMEOUT, response).await;
        response.ok().flatten()
    }

    async fn send_without_timeout(
        &mut self,
        address: SocketAddr,
        path: &str,
        id: &str,
    ) -> Option<Response> {
        let idle = self.idle.remove(&address).filter(SendRequest::is_ready);
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = Request::post(path)
            .header("Host", "h.example")
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", "3000")
            .header("Authorization", "Bearer key")
            .body(Full::new(Bytes::from(id.to_owned())));
        let head = sender.send_request(request.unwrap()).await.ok()?;
        let signature = head.headers().get(process::SIGNATURE_HEADER);
        let signature = signature.and_then(|value| value.to_str().ok());
        let mut response = Response {
            status: head.status().as_u16(),
            signature: signature.unwrap_or_default().to_owned(),
            body: Vec::new(),
            complete: true,
        };
        let mut body = head.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => response.body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    response.complete = false;
                    return Some(response);
                }
            }
        }
        if self.reuse {
            self.idle.insert(address, sender);
        }
        Some(response)
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    actix_rt::spawn(connection);
    Some(sender)
}

fn check_response(route: Route, id: &str, response: &Response) {
    // Every configuration of the run allows every request.
    let denied = matches!(response.status, 400..=407 | 409..=420);
    assert!(
        !denied,
        "{id}: valid request denied with status {}",
        response.status
    );
    if response.status != 200 {
        return;
    }
    assert_eq!(
        response.signature,
        format!("s.{id}"),
        "{id}: signature is missing or belongs to another response"
    );
    let body = String::from_utf8_lossy(&response.body);
    match route {
        Route::Idempotent | Route::NonIdempotent if response.complete => {
            assert_eq!(body, "whole answer", "{id}: wrong body");
        }
        Route::Idempotent | Route::NonIdempotent => {}
        Route::ResumableStream | Route::NonResumableStream => {
            check_events(id, &body, response.complete);
        }
    }
}

fn check_events(id: &str, body: &str, complete: bool) {
    let event_ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let event_ids: Vec<u64> = event_ids.filter_map(|id| id.parse().ok()).collect();
    let expected: Vec<u64> = (1..=event_ids.len() as u64).collect();
    assert_eq!(
        event_ids, expected,
        "{id}: events are missing, duplicated or out of order"
    );
    if complete {
        assert_eq!(
            event_ids.len() as u64,
            STREAM_EVENT_COUNT,
            "{id}: response ended without an error after a wrong number of events"
        );
    }
}

/// Checks that the attempts beyond the first of each request keep to the retry budget.
fn check_retry_budget(request_count: usize, attempts: &HashMap<String, usize>) {
    let retries: usize = attempts.values().map(|count| count - 1).sum();
    // The run is shorter than two windows of the budget.
    let allowed = RETRY_BUDGET_RATIO * request_count as f64 + 2.0 * RETRY_BUDGET_EXTRA;
    assert!(
        retries as f64 <= allowed,
        "{retries} retries of {request_count} requests, the budget allows {allowed}"
    );
}
