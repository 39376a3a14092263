//! An installation with an engine that sends what a test says.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cyclamengauge_load::{
    harness::{Caller, Ended, Fleet, FleetOptions},
    model::Deployment,
};
use cyclamengauge_schema::v1;

/// Time limit of the requests.
pub const DEADLINE: Duration = Duration::from_secs(8);

/// Most bytes that a faulty engine sends in an answer, so that the test ends.
const MAX_SENT_BYTES: usize = 128 * 1024 * 1024;

pub fn run<F: Future<Output = anyhow::Result<()>>>(test: F) {
    actix_rt::System::new().block_on(test).unwrap();
}

pub async fn fleet(engines: usize, daemons: usize) -> anyhow::Result<Fleet> {
    let options = FleetOptions {
        engines,
        daemons,
        deployment: Deployment::MoosachIsental,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauge-load"));
    let fleet = Fleet::start(program, options).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    Ok(fleet)
}

pub async fn ask(fleet: &Fleet, number: usize) -> Ended {
    let daemons: Vec<String> = fleet.daemons.iter().map(|d| d.address.clone()).collect();
    let text = format!("request {number} {}", "word ".repeat(100 + number));
    let caller = Caller::new();
    let answer = caller.complete(&daemons, number, &text, 5, DEADLINE).await;
    answer.ended
}

/// An engine or a target that reports `report` and answers all else with `start`, and then
/// with `repeated` until the connection is closed; without `repeated`, it falls silent. With an
/// empty `report`, it answers all requests so.
pub fn start_faulty(report: String, start: &str, repeated: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let start = start.to_owned();
    let block = repeated.repeat(64 * 1024 / repeated.len().max(1));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (report, start, block) = (report.clone(), start.clone(), block.clone());
            thread::spawn(move || answer(stream, &report, &start, &block));
        }
    });
    address
}

fn answer(mut stream: TcpStream, report: &str, start: &str, block: &str) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        let request = String::from_utf8_lossy(&buffer[..length]);
        let sent = if request.starts_with("GET /v1/report") && !report.is_empty() {
            let length = report.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all((head + report).as_bytes())
        } else if report.is_empty()
            || request.starts_with("POST /v1/completions")
            || request.contains(" /bytes")
        {
            let mut sent = stream.write_all(start.as_bytes());
            if block.is_empty() {
                continue;
            }
            for _ in 0..MAX_SENT_BYTES / block.len() {
                sent = sent.and_then(|()| stream.write_all(block.as_bytes()));
            }
            sent
        } else {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        };
        if sent.is_err() {
            return;
        }
    }
}

/// An engine that ends as it gets a completion: its connections break, and its listener is
/// closed `linger` later. Returns its address; `crashes` counts the engines that ended so.
pub fn start_dying(report: String, linger: Duration, crashes: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    listener.set_nonblocking(true).unwrap();
    let crashes = Arc::clone(crashes);
    thread::spawn(move || {
        let ended_at = Arc::<Mutex<Option<Instant>>>::default();
        let is_closed = || {
            ended_at
                .lock()
                .unwrap()
                .is_some_and(|at| at.elapsed() > linger)
        };
        while !is_closed() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            if ended_at.lock().unwrap().is_some() {
                // The connection breaks before its request is answered.
                drop(stream);
                continue;
            }
            stream.set_nonblocking(false).unwrap();
            let (report, crashes, ended_at) =
                (report.clone(), Arc::clone(&crashes), Arc::clone(&ended_at));
            thread::spawn(move || {
                // The connection is open until the engine counts as ended, so that no probe of
                // the broken connection gets a report.
                if report_until_completion(&mut stream, &report).is_some() {
                    ended_at.lock().unwrap().get_or_insert_with(Instant::now);
                    crashes.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    address
}

/// Answers all requests with `report` until a completion comes.
fn report_until_completion(stream: &mut TcpStream, report: &str) -> Option<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        if buffer[..length].starts_with(b"POST /v1/completions") {
            return Some(());
        }
        let length = report.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + report).as_bytes()).ok()?;
    }
}

/// A target that closes each connection once it has read a call; `calls` counts them.
pub fn start_closing(calls: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let calls = Arc::clone(calls);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let calls = Arc::clone(&calls);
            thread::spawn(move || {
                let mut buffer = [0; 64 * 1024];
                if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
                    calls.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    address
}

pub fn report(queued: &[u64], count: u32) -> String {
    report_of("faulty", queued, count)
}

pub fn report_of(engine: &str, queued: &[u64], count: u32) -> String {
    let report = v1::EngineReport {
        engine: engine.to_owned(),
        incarnation: 1,
        model: cyclamengauge_load::harness::MODEL.to_owned(),
        version: "1".to_owned(),
        queued_prefill_tokens: queued.to_vec(),
        running: count,
        waiting: count,
        reserved_tokens: u64::from(count),
        memory_tokens: 1_000_000,
        ..v1::EngineReport::default()
    };
    serde_json::to_string(&report).unwrap()
}

/// The declaration with a faulty engine, and with a service whose target has the same address.
pub fn faulty_declaration(fleet: &Fleet, address: &str) -> v1::Declaration {
    let mut declaration = fleet.declaration();
    let mut engine = declaration.engines[0].clone();
    engine.name = "faulty".to_owned();
    engine.address = address.to_owned();
    // Preferred for its speed.
    engine.prefill_tokens_per_s = u32::MAX;
    declaration.engines.push(engine);
    let mut service = declaration.services[0].clone();
    service.name = "faulty".to_owned();
    service.targets[0].address = address.to_owned();
    service.at_most_once.clear();
    declaration.services.push(service);
    declaration
}

/// Puts a declaration with a faulty engine in force, and waits until the engine is live.
pub async fn declare(fleet: &Fleet, declaration: v1::Declaration) -> anyhow::Result<()> {
    let version = fleet.put_in_force(declaration).await?;
    let in_force = async || Ok(fleet.status(0).await?.version >= version);
    fleet
        .until("the declaration of the engine", in_force)
        .await?;
    let is_live = async || {
        let status = fleet.status(0).await?;
        let mut engines = status.engines.iter();
        Ok(engines.any(|e| e.name == "faulty" && e.state == "live"))
    };
    fleet.until("the faulty engine", is_live).await
}
