//! An engine: the model of [`crate::model`] in real time, behind HTTP.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use actix_http::{Request, Response, body::BoxBody};
use bpaf::Bpaf;
use bytes::Bytes;
use cyclamengauge_daemon::{engines, http};
use cyclamengauge_schema::v1;
use serde_json::json;
use tokio::sync::{Notify, mpsc};

use crate::{
    model::{Engine, Job, JobId, Output, Spec},
    standins::{
        POISON, TIMED,
        chunks::Chunks,
        report::{self, Held, Identity},
        server,
    },
};

/// Tokens that may wait for the daemon to take them.
const TOKENS_AHEAD: usize = 1_024;

/// Time that a load of weights takes.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// Bytes of a prompt for each token.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Options of the engine stand-in
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(engine_options))]
pub struct EngineOptions {
    /// Its name
    #[bpaf(long, argument("NAME"))]
    pub name: String,
    /// Address to listen on
    #[bpaf(long, argument("IP:PORT"))]
    pub listen: String,
    /// Model that is loaded at the start
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub model: String,
    /// Version of that model
    #[bpaf(long, argument("VERSION"), fallback(String::new()))]
    pub model_version: String,
    /// Prompt tokens read in a second
    #[bpaf(long, argument("N"), fallback(50_000.0))]
    pub prefill: f64,
    /// KV memory in tokens
    #[bpaf(long, argument("N"), fallback(450_000))]
    pub memory: u64,
    /// One-way delay of the network, which each answer waits
    #[bpaf(long, argument("N"), fallback(0))]
    pub delay_us: u64,
    /// Whether orders with an old fencing number are refused
    #[bpaf(long, switch)]
    pub fencing: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Answers probes, yet produces no tokens.
    stalled: bool,
}

struct State {
    options: EngineOptions,
    identity: RefCell<Identity>,
    engine: RefCell<Engine>,
    held: RefCell<BTreeMap<String, Held>>,
    outputs: RefCell<HashMap<JobId, mpsc::Sender<u64>>>,
    names: RefCell<HashMap<String, JobId>>,
    last_job: RefCell<JobId>,
    fence: RefCell<u64>,
    faults: RefCell<Faults>,
    work: Notify,
}

/// Runs an engine until the process is ended.
pub fn run(options: &EngineOptions) -> ExitCode {
    let spec = Spec {
        prefill_tokens_per_s: options.prefill,
        memory_tokens: options.memory,
        ..Spec::default()
    };
    let identity = Identity {
        name: options.name.clone(),
        incarnation: fastrand::u64(1..u64::MAX / 2),
        model: options.model.clone(),
        version: options.model_version.clone(),
        draining: false,
        sequence: 0,
    };
    let state = Rc::new(State {
        options: options.clone(),
        identity: RefCell::new(identity),
        engine: RefCell::new(Engine::new(spec)),
        held: RefCell::new(BTreeMap::new()),
        outputs: RefCell::new(HashMap::new()),
        names: RefCell::new(HashMap::new()),
        last_job: RefCell::new(0),
        fence: RefCell::new(0),
        faults: RefCell::new(Faults::default()),
        work: Notify::new(),
    });
    let started = std::cell::Cell::new(false);
    let started = Rc::new(started);
    server::serve(&options.listen, move |request| {
        if !started.replace(true) {
            actix_rt::spawn(steps(Rc::clone(&state)));
        }
        handle(Rc::clone(&state), request)
    })
}

/// Runs the engine's steps one after the other.
async fn steps(state: Rc<State>) {
    loop {
        let stalled = state.faults.borrow().stalled;
        let step = match stalled {
            true => None,
            false => state.engine.borrow_mut().step(),
        };
        match step {
            None => {
                let pause = actix_rt::time::sleep(Duration::from_millis(50));
                tokio::select! {
                    () = state.work.notified() => {}
                    () = pause => {}
                }
            }
            Some(step) => {
                actix_rt::time::sleep(step.time).await;
                step.outputs.into_iter().for_each(|o| deliver(&state, o));
            }
        }
    }
}

fn deliver(state: &State, output: Output) {
    match output {
        Output::Crashed => std::process::abort(),
        Output::Token { job, position } => {
            let sender = state.outputs.borrow().get(&job).cloned();
            let gone = sender.is_some_and(|s| s.try_send(position).is_err());
            if gone {
                state.engine.borrow_mut().cancel(job);
            }
        }
        Output::Done { job } => {
            state.outputs.borrow_mut().remove(&job);
        }
    }
}

async fn handle(state: Rc<State>, mut request: Request) -> Response<BoxBody> {
    let delay = Duration::from_micros(state.options.delay_us);
    if !delay.is_zero() {
        actix_rt::time::sleep(delay * 2).await;
    }
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), &parts[..]) {
        ("GET", ["v1", "report"]) => http::json(200, report_text(&state)),
        ("POST", ["v1", "completions"]) => complete(&state, &mut request, false).await,
        ("POST", ["v1", "chat", "completions"]) => complete(&state, &mut request, true).await,
        ("POST", ["v1", "segments"]) => segment(&state, &request).await,
        ("DELETE", ["v1", "attempts", name]) => cancel(&state, name),
        ("POST", ["v1", "reservations"]) => reserve(&state, &mut request).await,
        ("POST", ["v1", "reservations", name, "renew"]) => renew(&state, name),
        ("DELETE", ["v1", "reservations", name]) => release(&state, name),
        ("POST", ["v1", "orders"]) => order(&state, &mut request).await,
        ("POST", ["faults", "stall"]) => set_stalled(&state, true),
        ("POST", ["faults", "none"]) => set_stalled(&state, false),
        _ => http::text(404, "not found\n"),
    }
}

async fn complete(state: &Rc<State>, request: &mut Request, chat: bool) -> Response<BoxBody> {
    if state.identity.borrow().draining {
        return http::text(503, "draining\n");
    }
    let attempt = server::header(request, engines::ATTEMPT_HEADER);
    let reservation = server::header(request, engines::RESERVATION_HEADER);
    let resume_from = server::number(request, engines::RESUME_FROM_HEADER);
    let prompt = server::number(request, engines::PROMPT_TOKENS_HEADER);
    let priority = server::number(request, engines::PRIORITY_HEADER) as u8;
    let body = server::body(request).await;
    let Some(content) = Content::read(&body) else {
        return http::text(400, "bad body\n");
    };
    let known = state
        .engine
        .borrow()
        .reservations()
        .contains_key(&reservation);
    if !reservation.is_empty() && !known {
        return http::text(409, "no such reservation\n");
    }
    let reserved = !reservation.is_empty();
    let output = content.max_tokens;
    let job = Job {
        prompt: if reserved { 1 } else { prompt.max(1) },
        output,
        resume_from,
        memory: if reserved { 0 } else { prompt + output },
        priority,
        prefixes: content.prefixes,
        poison: content.poison,
        ..Job::default()
    };
    let (id, receiver) = submit(state, &attempt, job);
    let (sender, chunks) = mpsc::channel(TOKENS_AHEAD);
    let guard = JobGuard {
        state: Rc::clone(state),
        id,
        name: attempt.clone(),
    };
    let answer = Answer {
        attempt,
        seed: content.seed,
        last: output.saturating_sub(1),
        first: resume_from,
        chat,
        timed: content.timed,
    };
    actix_rt::spawn(stream(Rc::clone(state), answer, receiver, sender));
    http::event_stream(Chunks::new(chunks, guard))
}

/// Cancels the job when its connection is closed.
struct JobGuard {
    state: Rc<State>,
    id: JobId,
    name: String,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        self.state.engine.borrow_mut().cancel(self.id);
        self.state.outputs.borrow_mut().remove(&self.id);
        self.state.names.borrow_mut().remove(&self.name);
    }
}

struct Answer {
    attempt: String,
    seed: u64,
    first: u64,
    last: u64,
    chat: bool,
    /// Whether the text is the time at which each token was made.
    timed: bool,
}

async fn stream(
    state: Rc<State>,
    answer: Answer,
    mut tokens: mpsc::Receiver<u64>,
    sender: mpsc::Sender<Bytes>,
) {
    let mut next = answer.first;
    while let Some(position) = tokens.recv().await {
        let chunk = chunk(&state, &answer, position);
        next = position + 1;
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
    if next > answer.last {
        let _ = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    }
}

fn chunk(state: &State, answer: &Answer, position: u64) -> Bytes {
    let text = match answer.timed {
        true => format!("{} ", unix_us()),
        false => token_text(answer.seed, position),
    };
    let last = position == answer.last;
    let finish_reason = last.then_some("length");
    let choice = match answer.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}),
        false => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    let mut event = json!({
        "attempt": answer.attempt, "position": position, "choices": [choice],
    });
    if last || position == answer.first {
        event["report"] = serde_json::from_slice(&report_text(state)).unwrap_or_default();
    }
    Bytes::from(format!("data: {event}\n\n"))
}

/// Microseconds since the Unix epoch.
pub(crate) fn unix_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| time.as_micros() as u64)
}

/// The text of a token: a function of the prompt and the position alone, so a
/// reader can tell whether a token belongs to its own prompt.
pub(crate) fn token_text(seed: u64, position: u64) -> String {
    let mixed =
        (seed ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    format!("{:06x} ", mixed >> 40)
}

/// What a body says, as far as the stand-in needs it.
struct Content {
    max_tokens: u64,
    seed: u64,
    prefixes: Vec<(u64, u64)>,
    poison: bool,
    timed: bool,
}

impl Content {
    fn read(body: &[u8]) -> Option<Self> {
        let value: serde_json::Value = serde_json::from_slice(body).ok()?;
        let prompt = match value.get("prompt") {
            Some(prompt) => prompt.to_string(),
            None => value.get("messages")?.to_string(),
        };
        Some(Self {
            max_tokens: value
                .get("max_tokens")
                .and_then(|n| n.as_u64())
                .unwrap_or(16),
            seed: prompt_seed(&prompt),
            prefixes: prefixes(prompt.as_bytes()),
            poison: prompt.contains(POISON),
            timed: prompt.contains(TIMED),
        })
    }
}

/// Digest of a prompt as JSON text.
pub(crate) fn prompt_seed(prompt: &str) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(prompt.as_bytes());
    first_word(&digest)
}

/// The leading parts in the lengths that the daemon looks up.
fn prefixes(prompt: &[u8]) -> Vec<(u64, u64)> {
    use sha2::Digest;
    let mut prefixes = Vec::new();
    let mut length = 1_024;
    loop {
        let end = (length as f64 * BYTES_PER_TOKEN) as usize;
        if end > prompt.len() {
            return prefixes;
        }
        let digest = sha2::Sha256::digest(&prompt[..end]);
        prefixes.push((first_word(&digest), length));
        length *= 2;
    }
}

fn first_word(digest: &[u8]) -> u64 {
    digest[..8]
        .iter()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

fn submit(state: &State, name: &str, job: Job) -> (JobId, mpsc::Receiver<u64>) {
    let id = {
        let mut last = state.last_job.borrow_mut();
        *last += 1;
        *last
    };
    let (sender, receiver) = mpsc::channel(TOKENS_AHEAD);
    state.outputs.borrow_mut().insert(id, sender);
    state.names.borrow_mut().insert(name.to_owned(), id);
    state.engine.borrow_mut().submit(Job { id, ..job });
    state.work.notify_one();
    (id, receiver)
}

async fn segment(state: &Rc<State>, request: &Request) -> Response<BoxBody> {
    let reservation = server::header(request, engines::RESERVATION_HEADER);
    if !state
        .engine
        .borrow()
        .reservations()
        .contains_key(&reservation)
    {
        return http::text(409, "no such reservation\n");
    }
    let name = format!("{reservation}/segment");
    let job = Job {
        prompt: server::number(request, engines::PROMPT_TOKENS_HEADER).max(1),
        priority: server::number(request, engines::PRIORITY_HEADER) as u8,
        ..Job::default()
    };
    let (id, mut receiver) = submit(state, &name, job);
    let _guard = JobGuard {
        state: Rc::clone(state),
        id,
        name,
    };
    while receiver.recv().await.is_some() {}
    http::text(200, "read\n")
}

fn cancel(state: &State, name: &str) -> Response<BoxBody> {
    let segment = format!("{name}/segment");
    for name in [name, segment.as_str()] {
        if let Some(id) = state.names.borrow_mut().remove(name) {
            state.engine.borrow_mut().cancel(id);
            state.outputs.borrow_mut().remove(&id);
        }
    }
    http::text(200, "cancelled\n")
}

async fn reserve(state: &State, request: &mut Request) -> Response<BoxBody> {
    let body = server::body(request).await;
    let Ok(wanted) = serde_json::from_slice::<v1::Reservation>(&body) else {
        return http::text(400, "bad body\n");
    };
    if state.identity.borrow().draining {
        return http::text(503, "draining\n");
    }
    if !state.engine.borrow_mut().reserve(&wanted.id, wanted.tokens) {
        return http::text(409, "too little memory\n");
    }
    let held = Held {
        owner: wanted.owner,
        ttl_ms: wanted.ttl_ms,
        renewed_at: std::time::Instant::now(),
    };
    state.held.borrow_mut().insert(wanted.id, held);
    http::text(200, "reserved\n")
}

fn renew(state: &State, name: &str) -> Response<BoxBody> {
    match state.held.borrow_mut().get_mut(name) {
        Some(held) => {
            held.renewed_at = std::time::Instant::now();
            http::text(200, "renewed\n")
        }
        None => http::text(404, "no such reservation\n"),
    }
}

fn release(state: &State, name: &str) -> Response<BoxBody> {
    state.held.borrow_mut().remove(name);
    state.work.notify_one();
    match state.engine.borrow_mut().release(name) {
        true => http::text(200, "released\n"),
        false => http::text(404, "no such reservation\n"),
    }
}

async fn order(state: &Rc<State>, request: &mut Request) -> Response<BoxBody> {
    let body = server::body(request).await;
    let Ok(order) = serde_json::from_slice::<v1::EngineOrder>(&body) else {
        return http::text(400, "bad body\n");
    };
    if state.options.fencing && order.fence < *state.fence.borrow() {
        return http::text(409, "old fencing number\n");
    }
    *state.fence.borrow_mut() = order.fence;
    match order.kind() {
        v1::OrderKind::Drain | v1::OrderKind::Standby => {
            state.identity.borrow_mut().draining = true
        }
        v1::OrderKind::Serve => state.identity.borrow_mut().draining = false,
        v1::OrderKind::LoadModel => {
            actix_rt::time::sleep(LOAD_TIME).await;
            let mut identity = state.identity.borrow_mut();
            identity.model = order.model;
            identity.version = order.version;
        }
        v1::OrderKind::Unspecified => return http::text(400, "no order\n"),
    }
    http::text(200, "done\n")
}

fn set_stalled(state: &State, stalled: bool) -> Response<BoxBody> {
    state.faults.borrow_mut().stalled = stalled;
    http::text(200, "set\n")
}

fn report_text(state: &State) -> Vec<u8> {
    let report = report::report(
        &mut state.identity.borrow_mut(),
        &mut state.engine.borrow_mut(),
        &state.held.borrow(),
    );
    serde_json::to_vec(&report).unwrap_or_default()
}
