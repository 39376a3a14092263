//! Clients that misbehave, each in a way of its own, from threads of their own.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Pause before a client whose connection was closed comes back.
const RETURN_DELAY: Duration = Duration::from_millis(100);

/// Length of a body of legal size.
pub const BODY_BYTES: usize = 4_000_000;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body in one piece, but for its last byte.
    Body,
    /// A body in chunks of so many bytes, without the last chunk.
    Chunks(usize),
    /// A body in pieces of 100 bytes, one every 20 ms.
    SmallPieces,
    /// A body far above the limit.
    BodyOverLimit,
    /// So many empty header fields.
    Fields(usize),
    /// A request head that grows by one field every 20 ms.
    SlowHead,
    /// Half of a request head.
    HalfHead,
    /// So many requests at once, whose responses are never read.
    SentAhead(usize),
    /// Nothing.
    Silence,
}

/// Names of the shapes, with the number of their pieces where they have one.
pub const SHAPES: [(&str, Shape); 9] = [
    ("body", Shape::Body),
    ("chunks", Shape::Chunks(1)),
    ("small-pieces", Shape::SmallPieces),
    ("over-limit", Shape::BodyOverLimit),
    ("fields", Shape::Fields(2_400)),
    ("slow-head", Shape::SlowHead),
    ("half-head", Shape::HalfHead),
    ("sent-ahead", Shape::SentAhead(20_000)),
    ("silence", Shape::Silence),
];

impl FromStr for Shape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = SHAPES.iter().find(|(name, _)| *name == text);
        found
            .map(|(_, shape)| *shape)
            .ok_or_else(|| format!("no shape `{text}`"))
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_like = |(_, shape): &&(&str, Self)| {
            std::mem::discriminant(shape) == std::mem::discriminant(self)
        };
        f.write_str(SHAPES.iter().find(is_like).map_or("", |(name, _)| name))
    }
}

/// Where a crowd sends its requests, and as whom.
#[derive(Clone, Debug)]
pub struct Door {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of the requests.
    pub path: String,
    /// Value of the header `Host`.
    pub host: String,
    /// Other header lines, each with its line end.
    pub header_lines: String,
    /// Address of the clients; chosen by the system if none.
    pub from: Option<IpAddr>,
}

/// Clients that misbehave until they are dropped.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    /// Connections that the server has refused or closed.
    closed: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients.
    pub fn start(shape: Shape, count: usize, door: Door) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let closed = Arc::new(AtomicUsize::new(0));
        let (state, count_closed) = (Arc::clone(&is_over), Arc::clone(&closed));
        let door = Arc::new(door);
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                for _ in 0..count {
                    let (door, closed) = (Arc::clone(&door), Arc::clone(&count_closed));
                    actix_rt::spawn(async move { repeat(shape, &door, &closed).await });
                }
                while !state.load(Ordering::Relaxed) {
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            });
        });
        Self {
            is_over,
            closed,
            thread: Some(thread),
        }
    }

    /// Number of connections that the server has refused or closed.
    pub fn closed_connections(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn repeat(shape: Shape, door: &Door, closed: &AtomicUsize) {
    loop {
        // The connection may be refused or closed at any time.
        let _ = misbehave(shape, door).await;
        closed.fetch_add(1, Ordering::Relaxed);
        actix_rt::time::sleep(RETURN_DELAY).await;
    }
}

async fn misbehave(shape: Shape, door: &Door) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    if let Some(from) = door.from {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    if matches!(shape, Shape::SentAhead(_)) {
        socket.set_recv_buffer_size(2_048)?;
    }
    let mut stream = socket.connect(door.address).await?;
    let (path, host, lines) = (&door.path, &door.host, &door.header_lines);
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\n{lines}");
    match shape {
        Shape::Body | Shape::BodyOverLimit => {
            let length = match shape {
                Shape::Body => BODY_BYTES,
                _ => 100 * BODY_BYTES,
            };
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'a'; BODY_BYTES - 1]).await?;
        }
        Shape::SmallPieces => {
            let head = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            loop {
                stream.write_all(&[b'a'; 100]).await?;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Shape::Chunks(chunk_bytes) => {
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
            let count = (BODY_BYTES / chunk_bytes).min(400_000);
            stream.write_all(chunk.repeat(count).as_bytes()).await?;
        }
        Shape::Fields(count) => {
            let fields: String = (0..count).map(|number| format!("x{number}:\r\n")).collect();
            let head = format!("{head}{fields}Content-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
        }
        Shape::SlowHead => {
            stream.write_all(head.as_bytes()).await?;
            loop {
                stream.write_all(b"x: y\r\n").await?;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Shape::HalfHead => stream.write_all(head.as_bytes()).await?,
        Shape::SentAhead(count) => {
            let request = format!("{}Content-Length: 0\r\n\r\n", head.replace("POST", "GET"));
            stream.write_all(request.repeat(count).as_bytes()).await?;
            std::future::pending::<()>().await;
        }
        Shape::Silence => {}
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
