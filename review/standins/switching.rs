//! An engine in trouble answers a few requests with status 101, for which no client asked.

mod common;

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    Answer, BROKEN, Channel, Daemon, HELD, Record, Store, folders, has_trouble, listen, lock,
    read_request, request_head, serve, sound_answer,
};

const CLIENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(100);
const CLIENT_LIMIT_MS: u64 = 1_500;
const TRAFFIC: Duration = Duration::from_secs(15);

/// One in so many answers of the faulty engine is wrong: 2 in 100.
const WRONG_IN: u64 = 50;
const FAULTY_ENGINE: &str = "i-2";

#[derive(Default)]
struct State {
    answers: AtomicU64,
    wrong: Mutex<Vec<String>>,
    /// Client attempts: id, path, duration in ms and the answer.
    attempts: Mutex<Vec<(String, &'static str, u64, Answer)>>,
}

fn start_engine(name: &'static str, state: &Arc<State>, record: &Record) -> SocketAddr {
    let listener = listen(Ipv4Addr::LOCALHOST);
    let address = listener.local_addr().unwrap();
    let (state, record) = (Arc::clone(state), record.clone());
    serve(listener, move |stream| {
        let _ = answer(name, &state, &record, stream);
    });
    address
}

fn answer(name: &str, state: &State, record: &Record, stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader)? {
        let id = request.header("x-request-id").to_owned();
        record.line(&format!("{name} runs {id}"));
        thread::sleep(Duration::from_millis(15));
        if name == FAULTY_ENGINE && has_trouble() {
            let number = state.answers.fetch_add(1, Ordering::SeqCst);
            if number % WRONG_IN == WRONG_IN - 1 {
                record.line(&format!("{name} answers {id} with status 101"));
                lock(&state.wrong).push(id.clone());
                let head =
                    format!("HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: {id}\r\n\r\n");
                stream.write_all(head.as_bytes())?;
                continue;
            }
        }
        stream.write_all(sound_answer(200, &id, name, "", "done").as_bytes())?;
    }
    Ok(())
}

fn main() {
    let (case, temporary) = folders();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::new();
    let door = store.door();
    store.put("op", "config", &common::config(1));
    let state = Arc::new(State::default());
    for name in ["i-0", "i-1", FAULTY_ENGINE] {
        let address = start_engine(name, &state, &record);
        store.put(
            "servers",
            name,
            &common::entry("desk", address, 6, "ready", 1),
        );
    }
    let mut daemon = Daemon::start(&temporary, 1, "casa-a", door.address);
    daemon.wait_until_ready();
    record.line(&format!(
        "{} is ready, process {}",
        daemon.name,
        daemon.id()
    ));
    let start = Instant::now();
    let address = daemon.clients;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (state, record) = (Arc::clone(&state), record.clone());
            thread::spawn(move || run_client(client, address, start, &state, &record))
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    daemon.kill();

    if has_trouble() && lock(&state.wrong).is_empty() {
        common::could_not_run("the engine gave no faulty answer");
    }
    let attempts = lock(&state.attempts);
    let unasked = attempts
        .iter()
        .filter(|(_, _, _, answer)| answer.status() == 101);
    let unasked: Vec<_> = unasked.collect();
    let repeatable = unasked
        .iter()
        .filter(|(_, path, ..)| path.starts_with("/status/"));
    record.line(&format!(
        "{} requests; {} answers with status 101 by {FAULTY_ENGINE}; {} clients got status 101, \
         for which they had not asked, and no final answer within their time limit, {} of them \
         for a request that may be repeated",
        attempts.len(),
        lock(&state.wrong).len(),
        unasked.len(),
        repeatable.count()
    ));
    println!(
        "clients with status 101 and no final answer: {}",
        unasked.len()
    );
    common::exit(if unasked.is_empty() { HELD } else { BROKEN });
}

fn run_client(client: u64, address: SocketAddr, start: Instant, state: &State, record: &Record) {
    let mut channel = None;
    let mut number = 0;
    while start.elapsed() < TRAFFIC {
        number += 1;
        let id = format!("{client:08x}{number:08x}");
        if channel.is_none() {
            channel = Channel::open(address).ok();
        }
        let Some(open) = &mut channel else {
            thread::sleep(PAUSE);
            continue;
        };
        let (method, path) = match client % 2 {
            0 => ("GET", "/status/a"),
            _ => ("POST", "/book/a"),
        };
        let body: &[u8] = if method == "GET" { b"" } else { b"drums: 3" };
        let head = request_head(method, path, &id, CLIENT_LIMIT_MS, "", body.len());
        let sent_at = record.now_ms();
        record.line(&format!("{id} {path}: sent"));
        let answer = open.call(&head, body, Duration::from_millis(CLIENT_LIMIT_MS));
        let took = record.now_ms() - sent_at;
        record.line(&format!("{id} {path}: {}, {took} ms", answer.short()));
        if !matches!(answer, Answer::Whole { .. }) {
            channel = None;
        }
        lock(&state.attempts).push((id, path, took, answer));
        thread::sleep(PAUSE);
    }
}
