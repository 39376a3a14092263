//! A daemon process on a small machine beside a target that sends bytes without an end, as fast
//! as they are read: the process stays within its memory and answers others in time.

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

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use cyclamengauge_platform::headers;
use harness::{build_request, configuration, register_at, run_test, send_request, status_code};
use process::DaemonProcess;
use serde_json::json;
use store::Store;

/// Memory of the smallest machines of the users, in MB.
const MEMORY_MB: u64 = 112;

/// Time in which the platform's readiness check wants an answer.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Requests that get the faulty answer at the same time.
const REQUESTS: usize = 4;

/// Bytes that a target sends in an answer at most, so that the test ends.
const MAX_SENT_BYTES: usize = 512 * 1024 * 1024;

/// Starts a target that answers each request with `start`, and then `repeated` until the
/// connection is closed.
fn start_target(start: String, repeated: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let block = repeated.repeat((64 * 1024 / repeated.len()).max(1));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (start, block) = (start.clone(), block.clone());
            thread::spawn(move || answer(stream, &start, &block));
        }
    });
    address
}

fn answer(mut stream: TcpStream, start: &str, block: &str) {
    let mut buffer = [0; 16 * 1024];
    let Ok(length @ 1..) = stream.read(&mut buffer) else {
        return;
    };
    let request = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
    let id = request
        .split(&format!("{}: ", process::REQUEST_ID_HEADER))
        .nth(1);
    let id = id.and_then(|rest| rest.lines().next()).unwrap_or_default();
    let mut sent = stream.write_all(start.replace("{id}", id).as_bytes());
    for _ in 0..MAX_SENT_BYTES / block.len() {
        sent = sent.and_then(|()| stream.write_all(block.as_bytes()));
    }
}

fn head(status: u16, content_type: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{}: {{id}}\r\n{}: s.{{id}}\r\nContent-Type: {content_type}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        process::REQUEST_ID_HEADER,
        process::SIGNATURE_HEADER
    )
}

fn peak_memory_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap() * 1024
}

async fn is_ready(address: SocketAddr) -> bool {
    let path = headers::READINESS_PATH;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    TcpStream::connect(address).is_ok()
        && status_code(&send_request(address, &request).await) == 200
}

/// Asks whether the daemon is ready; returns the time until the answer.
async fn time_readiness(address: SocketAddr) -> Duration {
    let started = Instant::now();
    is_ready(address).await;
    started.elapsed()
}

/// Asks whether the daemon is ready until `is_over`; returns the longest time that it took.
async fn check_readiness(address: SocketAddr, is_over: Rc<Cell<bool>>) -> Duration {
    let mut longest = Duration::ZERO;
    while !is_over.get() {
        let started = Instant::now();
        assert!(is_ready(address).await);
        longest = longest.max(started.elapsed());
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    longest
}

/// Sends requests on `path` to a daemon before one target, which answers without an end.
fn check(number: u8, path: &str, start: String, repeated: &str) {
    run_test(async {
        let directory = std::env::temp_dir().join(format!("bytes-{number}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, store_address) = Store::start();
        let address = start_target(start, repeated);
        register_at(&store, "faulty", address, "ready");
        let mut configuration = configuration(1);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(8_000);
        }
        store.put("op", "config", &configuration);
        let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\n");
        let mut daemon =
            DaemonProcess::start_limited("dc", program, &directory, number, store_address, &limits);
        let started = Instant::now();
        while !is_ready(daemon.readiness_address).await {
            assert!(started.elapsed() < Duration::from_secs(20), "not ready");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let is_over = Rc::<Cell<bool>>::default();
        let checking = check_readiness(daemon.readiness_address, Rc::clone(&is_over));
        let checking = actix_rt::spawn(checking);
        let request = build_request("POST", path, "", "p").replace("Ms: 3000", "Ms: 8000");
        let sending: Vec<_> = (0..REQUESTS)
            .map(|_| {
                let (address, request) = (daemon.client_address, request.clone());
                actix_rt::spawn(async move { send_request(address, &request).await })
            })
            .collect();
        let mut responses = Vec::new();
        for sent in sending {
            responses.push(sent.await.unwrap());
        }
        is_over.set(true);
        let longest = checking.await.unwrap();
        let peak = peak_memory_bytes(daemon.id().unwrap());
        assert!(!daemon.has_ended(), "the process ended by itself");
        assert!(peak < MEMORY_MB * 1_000_000, "{peak} bytes of memory");
        assert!(longest < CHECK_LIMIT, "not ready for {longest:?}");
        for response in responses {
            let is_whole = response.ends_with("0\r\n\r\n");
            assert!(!is_whole && !response.is_empty(), "{response:.200}");
        }
        daemon.kill();
        let _ = std::fs::remove_dir_all(&directory);
    });
}

/// Starts a daemon whose store answers each call with `start`, and then `repeated` without an
/// end.
fn check_store(number: u8, start: &str, repeated: &str) {
    run_test(async {
        let directory = std::env::temp_dir().join(format!("store-{number}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let store_address = start_target(start.to_owned(), repeated);
        let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\n");
        let mut daemon =
            DaemonProcess::start_limited("dc", program, &directory, number, store_address, &limits);
        let address = daemon.readiness_address;
        let started = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(started.elapsed() < Duration::from_secs(20), "not started");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let mut longest = Duration::ZERO;
        // Several calls to each table.
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(6) && !daemon.has_ended() {
            longest = longest.max(time_readiness(address).await);
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(!daemon.has_ended(), "the process ended by itself");
        let peak = peak_memory_bytes(daemon.id().unwrap());
        assert!(peak < MEMORY_MB * 1_000_000, "{peak} bytes of memory");
        assert!(longest < CHECK_LIMIT, "no answer for {longest:?}");
        daemon.kill();
        let _ = std::fs::remove_dir_all(&directory);
    });
}

/// Guards against an error answer without an end that takes a daemon over its memory, so that
/// all requests in progress lose their answers (review case 1).
#[test]
fn an_error_body_without_an_end_stays_within_memory() {
    let chunk = format!("{:0>1024x}\r\nx\r\n", 1);
    check(150, "/once/", head(500, "text/plain"), &chunk);
}

/// As above, for an answer that is not an error, and for a stream.
#[test]
fn a_body_in_chunks_of_one_byte_stays_within_memory() {
    let chunk = format!("{:0>1024x}\r\nx\r\n", 1);
    check(151, "/read/", head(200, "text/plain"), &chunk);
    check(152, "/fixed/", head(200, "text/event-stream"), &chunk);
    check(153, "/read/", head(503, "text/plain"), "1\r\nx\r\n");
}

/// Guards against interim heads without an end that hold the process, so that no other request
/// and no readiness check gets an answer (review case 2).
#[test]
fn interim_heads_without_an_end_leave_a_daemon_answering() {
    check(154, "/once/", String::new(), "HTTP/1.1 100\r\na:\r\n\r\n");
}

/// As above, for zeros before the size of a chunk.
#[test]
fn zeros_before_a_chunks_size_leave_a_daemon_answering() {
    check(
        155,
        "/once/",
        head(200, "text/plain"),
        &"0".repeat(64 * 1024),
    );
    check(
        156,
        "/stream/",
        head(200, "text/event-stream"),
        &"0".repeat(64 * 1024),
    );
}

const STORE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                          Transfer-Encoding: chunked\r\n\r\n";

/// Guards against responses of the store without an end that take a daemon over its memory:
/// it reads several tables at the same time.
#[test]
fn responses_of_the_store_without_an_end_stay_within_memory() {
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    check_store(157, STORE_HEAD, &chunk);
    check_store(158, STORE_HEAD, "1\r\nx\r\n");
}

/// Guards against interim heads of the store without an end that hold the process.
#[test]
fn interim_heads_of_the_store_leave_a_daemon_answering() {
    check_store(159, "", "HTTP/1.1 100\r\na:\r\n\r\n");
}
