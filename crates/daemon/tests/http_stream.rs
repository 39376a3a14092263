//! The HTTP/1 server over sockets: requests in any pieces, and clients that misbehave.

use std::{
    cell::Cell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use actix_http::{Request, Response, body::BoxBody};
use cyclamengauge_daemon::http::{self, ConnectionLimits, Connections};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longest wait for a response or a state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Size of the response to `/large`.
const LARGE_BYTES: usize = 32 << 20;

struct Server {
    address: SocketAddr,
    connections: Connections,
    requests: Rc<Cell<usize>>,
}

fn start(limits: ConnectionLimits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server {
        address: listener.local_addr().unwrap(),
        connections: Connections::with_limits(limits),
        requests: Rc::default(),
    };
    let (connections, requests) = (server.connections.clone(), Rc::clone(&server.requests));
    actix_rt::spawn(http::serve_tracked(listener, connections, move |request| {
        requests.set(requests.get() + 1);
        handle(request)
    }));
    server
}

/// Answers `/unread/` at once, and other paths with the body.
async fn handle(mut request: Request) -> Response<BoxBody> {
    match request.path() {
        "/unread/" => http::text(404, "none"),
        "/large/" => http::text(200, vec![b'a'; LARGE_BYTES]),
        _ => match http::collect(&mut request, 1 << 20, TIMEOUT).await {
            Ok(body) => http::text(200, body),
            Err(err) => http::text(400, err.to_string()),
        },
    }
}

fn run_test<F: Future<Output = ()>>(test: F) {
    actix_rt::System::new().block_on(test);
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = actix_rt::time::timeout(TIMEOUT, read).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started = tokio::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "condition does not hold");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Bodies and statuses of responses in order.
fn answers(responses: &str) -> Vec<(u16, String)> {
    let parts = responses.split("HTTP/1.1 ").skip(1);
    let answers = parts.map(|part| {
        let status = part[..3].parse().unwrap();
        let (_, body) = part.split_once("\r\n\r\n").unwrap();
        (status, body.to_owned())
    });
    answers.collect()
}

const REQUESTS: &str = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n\
    \r\nPOST /b/ HTTP/1.1\r\nhost: h\r\ncontent-length: 6\r\n\r\none\n\r\n\
    POST /c/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
    3;x=y\r\ntwo\r\nA\r\n\r\n\r\n0\r\n\r\n.\r\n0\r\n\r\n\
    POST /unread/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n\r\n\n\r\n0\r\n\r\n\
    GET /d/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

fn expected_answers() -> Vec<(u16, String)> {
    let answers = [
        (200, ""),
        (200, "one\n\r\n"),
        (200, "two\r\n\r\n0\r\n\r\n."),
        (404, "none"),
        (200, ""),
    ];
    answers
        .map(|(status, body)| (status, body.to_owned()))
        .into()
}

/// The bounds between requests are found wherever the network cuts the bytes.
#[test]
fn requests_in_any_pieces_are_answered_in_order() {
    run_test(async {
        let server = start(ConnectionLimits::default());
        let bytes = REQUESTS.as_bytes();
        for cut in 1..bytes.len() {
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            stream.write_all(&bytes[..cut]).await.unwrap();
            actix_rt::time::sleep(Duration::from_millis(1)).await;
            stream.write_all(&bytes[cut..]).await.unwrap();
            let responses = read_to_end(&mut stream).await;
            assert_eq!(answers(&responses), expected_answers(), "cut at {cut}");
        }
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for byte in bytes {
            stream.write_all(&[*byte]).await.unwrap();
            actix_rt::task::yield_now().await;
        }
        let responses = read_to_end(&mut stream).await;
        assert_eq!(answers(&responses), expected_answers(), "byte by byte");
    });
}

/// Pattern: very many requests at once on one connection. Each is answered in its turn.
#[test]
fn requests_sent_ahead_are_all_answered_if_the_answers_are_read() {
    run_test(async {
        let server = start(ConnectionLimits::default());
        let stream = TcpStream::connect(server.address).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();
        let count = 2_000;
        actix_rt::spawn(async move {
            let request = "POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny";
            writer
                .write_all(request.repeat(count).as_bytes())
                .await
                .unwrap();
            let last = "GET /x/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            writer.write_all(last.as_bytes()).await.unwrap();
            std::future::pending::<()>().await;
        });
        let mut responses = Vec::new();
        let read = reader.read_to_end(&mut responses);
        actix_rt::time::timeout(TIMEOUT, read)
            .await
            .unwrap()
            .unwrap();
        let responses = String::from_utf8(responses).unwrap();
        assert_eq!(responses.matches("HTTP/1.1 200").count(), count + 1);
    });
}

/// Pattern: requests sent ahead whose answers are not read. The server takes no more on than
/// the socket's buffers hold answers, and closes the connection in the end.
#[test]
fn requests_are_not_taken_on_while_answers_are_unread() {
    run_test(async {
        let server = start(ConnectionLimits {
            idle_timeout: Duration::from_millis(500),
            ..ConnectionLimits::default()
        });
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        let request = "GET /large/ HTTP/1.1\r\nHost: h\r\n\r\n".repeat(100);
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_until(|| server.requests.get() == 1).await;
        wait_until(|| server.connections.count() == 0).await;
        assert_eq!(server.requests.get(), 1);
    });
}

/// Pattern: a client that reads, but slowly. It is served to the end.
#[test]
fn a_client_that_reads_at_a_fair_pace_keeps_its_connection() {
    run_test(async {
        let server = start(ConnectionLimits {
            idle_timeout: Duration::from_millis(500),
            ..ConnectionLimits::default()
        });
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        let request = "GET /large/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let (mut read_bytes, mut buffer) = (0, vec![0; 1 << 20]);
        loop {
            let length = stream.read(&mut buffer).await.unwrap();
            if length == 0 {
                break;
            }
            read_bytes += length;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(read_bytes > LARGE_BYTES, "{read_bytes} bytes");
    });
}

/// Pattern: heads that stop half-way, on a new connection and on one in use.
#[test]
fn a_head_that_stops_half_way_ends_its_connection() {
    run_test(async {
        let server = start(ConnectionLimits {
            head_timeout: Duration::from_millis(300),
            ..ConnectionLimits::default()
        });
        for start in ["", "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"] {
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            let request = format!("{start}GET /a/ HTTP/1.1\r\nHost: h\r\nX-");
            stream.write_all(request.as_bytes()).await.unwrap();
            read_to_end(&mut stream).await;
            wait_until(|| server.connections.count() == 0).await;
        }
    });
}

/// Pattern: heads made of very many fields, within and above the limit.
#[test]
fn heads_above_the_limit_are_refused() {
    run_test(async {
        let server = start(ConnectionLimits::default());
        let head = |fields: usize| {
            let fields: String = (0..fields).map(|n| format!("x{n}:\r\n")).collect();
            format!("GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{fields}\r\n")
        };
        for (fields, status) in [(80, 200), (2_400, 431), (30_000, 431)] {
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            let _ = stream.write_all(head(fields).as_bytes()).await;
            let responses = read_to_end(&mut stream).await;
            assert_eq!(answers(&responses)[0].0, status, "{fields} fields");
        }
    });
}

/// Pattern: a crowd that opens connections and says nothing. New ones are still served.
#[test]
fn idle_connections_give_way_to_new_ones() {
    run_test(async {
        let server = start(ConnectionLimits {
            max_connections: 8,
            ..ConnectionLimits::default()
        });
        let mut crowd = Vec::new();
        for _ in 0..40 {
            crowd.push(TcpStream::connect(server.address).await.unwrap());
        }
        for _ in 0..10 {
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            let request = "GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.unwrap();
            let responses = read_to_end(&mut stream).await;
            assert_eq!(answers(&responses)[0].0, 200);
        }
        wait_until(|| server.connections.count() <= 8).await;
    });
}

/// Pattern: a body without end after a refusal. It is not read for ever.
#[test]
fn a_refused_body_without_end_is_given_up() {
    run_test(async {
        let server = start(ConnectionLimits::default());
        let stream = TcpStream::connect(server.address).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();
        let head = "POST /unread/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes()).await.unwrap();
        let mut response = [0; 12];
        reader.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"HTTP/1.1 404");
        let writing = async {
            while writer.write_all(b"4\r\naaaa\r\n").await.is_ok() {
                actix_rt::task::yield_now().await;
            }
        };
        actix_rt::time::timeout(TIMEOUT, writing).await.unwrap();
        wait_until(|| server.connections.count() == 0).await;
    });
}
