//! Case 6: clients read their answers slowly while the daemon is stopped as planned.

mod common;

use std::{
    env, fs,
    io::{BufReader, Read, Write},
    net::SocketAddrV4,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use common::{
    daemon::{self, Daemon, Folder},
    engine::Engine,
    http, sockets,
    store::Store,
};

/// Size of each answer, equal to the limit of the configuration on request bodies.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Rate at which each client reads. An answer takes 5.2 s.
const BYTES_PER_S: f64 = 800_000.0;

const CLIENTS: usize = 6;

/// Time limit of the clients and of the routes.
const TIME_LIMIT_MS: u64 = 15_000;

/// Time from the requests to SIGTERM.
const SIGTERM_AFTER: Duration = Duration::from_millis(500);

/// Time from SIGTERM to SIGKILL, as in the sheet.
const GRACE: Duration = Duration::from_secs(8);

/// Share of the grace time after which requests that an engine still works on don't count.
const COUNTED_SHARE: f64 = 5.0 / 6.0;

const MACHINE: &str = "\
[limits]
cpu_share = 0.29
cores = 1
memory_mb = 387
max_fds = 8192
link_mbps = 48.0
[bounds]
contact_ms = 4000
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 258
";

/// What a client got.
struct Answer {
    request: String,
    status: String,
    /// Length that the answer's head names; none without a head.
    length: Option<usize>,
    read_bytes: usize,
    ended_at: Instant,
}

impl Answer {
    /// Whether the body is complete, also that of an error.
    fn is_complete(&self) -> bool {
        self.length == Some(self.read_bytes)
    }
}

fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record_path = env::args().nth(1).expect("path of the record");
    let folder = Folder::create("review-6");
    let store = Store::start();
    let engines = ["i-1", "i-2"].map(|id| Engine::start(id, ANSWER_BYTES));
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("market-app", "mill-b"));
    }
    store.put("op", "config", &configuration());
    let mut daemon = Daemon::start(&folder.0, 1, "harbor-a", store.address, MACHINE);
    if !daemon.wait_until_ready() {
        eprintln!("the daemon did not become ready");
        return ExitCode::from(2);
    }
    let started_at = Instant::now();
    let clients = (0..CLIENTS).map(|number| {
        let front = daemon.front;
        thread::spawn(move || read_slowly(front, number))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(SIGTERM_AFTER);
    let stopped_at = Instant::now();
    let mut process_ended_at = None;
    if has_trouble {
        daemon::send_signal(&daemon.child, daemon::SIGTERM);
        while process_ended_at.is_none() && stopped_at.elapsed() < GRACE {
            if let Ok(Some(_)) = daemon.child.try_wait() {
                process_ended_at = Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(5));
        }
        // As the platform does at the end of the grace time.
        let _ = daemon.child.kill();
    }
    let answers: Vec<Answer> = clients
        .into_iter()
        .map(|client| client.join().expect("client"))
        .collect();
    let runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    let mut lost = 0;
    let mut record = format!(
        "TROUBLE={}: {CLIENTS} requests, answers of {ANSWER_BYTES} bytes, read at {BYTES_PER_S} bytes/s\n",
        u8::from(has_trouble)
    );
    let seconds = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64();
    if has_trouble {
        record += &format!(
            "{:.3} s SIGTERM, grace time {GRACE:?}\n",
            seconds(stopped_at)
        );
    }
    if let Some(at) = process_ended_at {
        record += &format!(
            "{:.3} s the daemon's process has ended by itself\n",
            seconds(at)
        );
    }
    for answer in &answers {
        let run = runs.iter().find(|run| run.request == answer.request);
        let engine = run.map_or("no engine has run it".to_owned(), |run| {
            format!(
                "got by an engine at {:.3} s, answered whole at {:.3} s",
                seconds(run.received_at),
                seconds(run.answered_at)
            )
        });
        let time_limit = Duration::from_millis(TIME_LIMIT_MS);
        // The engine was not at work any more in the last sixth of the grace time.
        let is_counted = run
            .is_some_and(|run| run.answered_at < stopped_at + GRACE.mul_f64(COUNTED_SHARE))
            && answer.ended_at < started_at + time_limit;
        let is_lost = is_counted && !answer.is_complete();
        lost += usize::from(is_lost);
        record += &format!(
            "{} {}; client: `{}`, {} of {ANSWER_BYTES} bytes, ended at {:.3} s: {}\n",
            answer.request,
            engine,
            answer.status,
            answer.read_bytes,
            seconds(answer.ended_at),
            if is_lost { "LOST" } else { "held" }
        );
    }
    let whole = answers.iter().filter(|answer| answer.is_complete()).count();
    record += &format!("{whole} answers whole, {lost} lost\n");
    print!("{record}");
    if let Err(err) = fs::write(&record_path, record) {
        eprintln!("write the record to {record_path}: {err}");
        return ExitCode::from(2);
    }
    match lost {
        // Without an answer to every request, nothing is shown.
        0 if runs.len() < CLIENTS => ExitCode::from(2),
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":{TIME_LIMIT_MS},"target_latency_ms":300,"priority":1,"service":"market-app","max_attempts":1,"public":true}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"market-app"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}}}}"#,
        route("reserve", "non_idempotent"),
        route("lookup", "idempotent")
    )
}

/// Sends a request and reads its answer at a limited rate.
fn read_slowly(front: SocketAddrV4, number: usize) -> Answer {
    let request = format!("{:016x}", 0x6_0000 + number);
    let (method, route) = match number % 2 {
        0 => ("POST", "reserve"),
        _ => ("GET", "lookup"),
    };
    let mut answer = Answer {
        request: request.clone(),
        status: String::new(),
        length: None,
        read_bytes: 0,
        ended_at: Instant::now(),
    };
    let read = || -> std::io::Result<()> {
        let mut stream = sockets::connect_as_slow_reader(front, 16 * 1024)?;
        let body = match method {
            "POST" => "content-length: 2\r\n\r\n{}",
            _ => "\r\n",
        };
        write!(
            stream,
            "{method} /{route}/{number} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {request}\r\nx-deadline-ms: {TIME_LIMIT_MS}\r\n{body}"
        )?;
        let started_at = Instant::now();
        let mut reader = BufReader::with_capacity(4 * 1024, stream);
        let Some(head) = http::read_head(&mut reader)? else {
            return Ok(());
        };
        answer.length = head
            .get("content-length")
            .and_then(|length| length.parse().ok());
        answer.status = head.first_line;
        let mut part = [0; 4 * 1024];
        while Some(answer.read_bytes) != answer.length {
            let length = reader.read(&mut part)?;
            if length == 0 {
                break;
            }
            answer.read_bytes += length;
            let due = Duration::from_secs_f64(answer.read_bytes as f64 / BYTES_PER_S);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        Ok(())
    };
    if let Err(err) = { read }() {
        answer.status = format!("{} ({err})", answer.status);
    }
    answer.ended_at = Instant::now();
    answer
}
