//! The platform: table service, object store and list of instances.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use actix_http::{Request, Response, body::BoxBody};
use bpaf::Bpaf;
use bytes::Bytes;
use cyclamengauge_daemon::http;
use cyclamengauge_schema::v1;
use serde_json::json;

use crate::standins::server;

/// Time for which a lost reply keeps its caller waiting.
const LOST_TIME: Duration = Duration::from_secs(30);

/// Prefix of the rows with claims.
const CLAIMS: &str = "once-";

/// Options of the platform stand-in
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(platform_options))]
pub struct PlatformOptions {
    /// Address to listen on
    #[bpaf(long, argument("IP:PORT"))]
    pub listen: String,
}

#[derive(Default)]
struct State {
    rows: RefCell<BTreeMap<String, v1::Row>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// List of instances as it was written.
    instances: RefCell<Bytes>,
    reads: Cell<u64>,
    writes: Cell<u64>,
    down: Cell<bool>,
    /// Writes still to take effect without a reply.
    lose_replies: Cell<u64>,
    /// The same for claims of non-idempotent calls alone.
    lose_claim_replies: Cell<u64>,
    delay_ms: Cell<u64>,
}

/// Runs the platform until the process is ended.
pub fn run(options: &PlatformOptions) -> ExitCode {
    let state = Rc::new(State::default());
    server::serve(&options.listen, move |request| {
        handle(Rc::clone(&state), request)
    })
}

async fn handle(state: Rc<State>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if let ["faults", fault, value] = &parts[..] {
        return set_fault(&state, fault, value);
    }
    if let ("GET", ["counts"]) = (method.as_str(), &parts[..]) {
        let rows = state.rows.borrow();
        let claims = rows.keys().filter(|key| key.starts_with(CLAIMS)).count();
        let (reads, writes) = (state.reads.get(), state.writes.get());
        let counts = json!({"reads": reads, "writes": writes, "claims": claims});
        return http::json(200, counts.to_string());
    }
    if state.delay_ms.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(state.delay_ms.get())).await;
    }
    if state.down.get() {
        return http::text(503, "down\n");
    }
    match (method.as_str(), &parts[..]) {
        ("GET", ["v1", "rows", key]) => get_row(&state, key),
        ("PUT", ["v1", "rows", key]) => put_row(&state, key, &mut request).await,
        ("GET", ["v1", "objects", name]) => match state.objects.borrow().get(*name) {
            Some(object) => http::json(200, object.clone()),
            None => http::text(404, "not found\n"),
        },
        ("PUT", ["v1", "objects", name]) => {
            let body = server::body(&mut request).await;
            state.writes.set(state.writes.get() + 1);
            state.objects.borrow_mut().insert((*name).to_owned(), body);
            http::text(200, "written\n")
        }
        ("GET", ["v1", "instances"]) => match state.instances.borrow().clone() {
            unwritten if unwritten.is_empty() => http::json(200, "{}"),
            list => http::json(200, list),
        },
        ("PUT", ["v1", "instances"]) => {
            let body = server::body(&mut request).await;
            state.instances.replace(body);
            http::text(200, "written\n")
        }
        _ => http::text(404, "not found\n"),
    }
}

fn set_fault(state: &State, fault: &str, value: &str) -> Response<BoxBody> {
    let number = value.parse().unwrap_or(0);
    match fault {
        "down" => state.down.set(number > 0),
        "lose-replies" => state.lose_replies.set(number),
        "lose-claim-replies" => state.lose_claim_replies.set(number),
        "delay-ms" => state.delay_ms.set(number),
        _ => return http::text(404, "no such fault\n"),
    }
    http::text(200, "set\n")
}

fn get_row(state: &State, key: &str) -> Response<BoxBody> {
    state.reads.set(state.reads.get() + 1);
    match state.rows.borrow().get(key) {
        Some(row) => row_answer(200, row),
        None => http::text(404, "no such row\n"),
    }
}

async fn put_row(state: &State, key: &str, request: &mut Request) -> Response<BoxBody> {
    state.writes.set(state.writes.get() + 1);
    let if_version = server::number(request, "if-match");
    let value = server::body(request).await;
    let (status, row) = write(state, key, if_version, &value);
    let claim = key.starts_with(CLAIMS) && take_one(&state.lose_claim_replies);
    if status == 200 && (claim || take_one(&state.lose_replies)) {
        actix_rt::time::sleep(LOST_TIME).await;
    }
    row_answer(status, &row)
}

/// Uses up one of the faults still to come; false if there is none.
fn take_one(faults: &Cell<u64>) -> bool {
    let left = faults.get();
    faults.set(left.saturating_sub(1));
    left > 0
}

fn write(state: &State, key: &str, if_version: u64, value: &[u8]) -> (u16, v1::Row) {
    let mut rows = state.rows.borrow_mut();
    let version = rows.get(key).map_or(0, |row| row.version);
    if version != if_version {
        let row = rows.get(key).cloned().unwrap_or_default();
        return (412, row);
    }
    let row = v1::Row {
        key: key.to_owned(),
        version: version + 1,
        value: value.to_vec(),
    };
    rows.insert(key.to_owned(), row.clone());
    (200, row)
}

fn row_answer(status: u16, row: &v1::Row) -> Response<BoxBody> {
    http::json(status, serde_json::to_vec(row).unwrap_or_default())
}
