//! HTTP connections to targets, to the store and to peers.
//!
//! A connection carries one request at a time and closes on drop, so that a target
//! detects that its response is no longer needed. What is read at once is limited, so that
//! a connection that always has data ready leaves the thread to others.

use std::{
    cell::{Cell, RefCell},
    future, io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context as TaskContext, Poll},
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::serving::framing::Framing;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
};

/// Largest buffer of a connection, which limits the response head and a single read, in
/// bytes.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Receive buffer of a connection, in bytes; the system holds up to twice as much. What has
/// arrived and is not read counts towards the memory of the machine, and without a size the
/// system's limits, several megabytes on most machines, would apply to each connection.
const RECEIVE_BUFFER_BYTES: u32 = 128 * 1024;

/// Bytes from which a connection reads no more before other tasks and connections had
/// their turn.
const MAX_TURN_BYTES: u64 = 32 * 1024;

/// An HTTP/1 connection and the task that drives it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    driver: actix_rt::task::JoinHandle<()>,
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// If the connection is refused or takes longer than `timeout`. No request has
    /// been sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> anyhow::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.with_context(|| format!("open a socket for {address}"))?;
        if let Err(err) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            // The connection works with the system's size, too.
            tracing::debug!(%address, %err, "connection: receive buffer of the connection to {address} not set: {err}");
        }
        let connecting = actix_rt::time::timeout(timeout, socket.connect(address)).await;
        let stream = connecting
            .with_context(|| format!("connect to {address}: not connected within {timeout:?}"))?
            .with_context(|| format!("connect to {address}"))?;
        stream
            .set_nodelay(true)
            .with_context(|| format!("set TCP_NODELAY on the connection to {address}"))?;
        let traffic = Rc::<Traffic>::default();
        let stream = CountedStream {
            stream,
            traffic: Rc::clone(&traffic),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .with_context(|| format!("HTTP handshake with {address}"))?;
        let driver_traffic = Rc::clone(&traffic);
        let driver = actix_rt::spawn(async move {
            let mut connection = pin!(connection);
            let driven = future::poll_fn(|cx| {
                driver_traffic.turn_bytes.set(0);
                connection.as_mut().poll(cx)
            });
            if let Err(err) = driven.await {
                tracing::debug!(%address, %err, "connection: connection to {address} failed: {err}");
            }
        });
        Ok(Self {
            sender,
            traffic,
            driver,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the response is malformed or exceeds a limit.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> anyhow::Result<Response<Incoming>> {
        self.traffic.framing.take();
        let interim_responses = Arc::clone(&self.traffic.interim_responses);
        interim_responses.store(0, Ordering::Relaxed);
        hyper::ext::on_informational(&mut request, move |_| {
            interim_responses.fetch_add(1, Ordering::Relaxed);
        });
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|err| match err.is_parse_too_large() {
            true => anyhow::Error::new(err).context(format!(
                "response head exceeds {MAX_READ_BUFFER_BYTES} bytes or 100 fields"
            )),
            false => err.into(),
        })?;
        self.traffic.framing.borrow_mut().begin_body();
        Ok(response)
    }

    /// Returns the next bytes of the body of the response; none at its end.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the body is malformed or has too much framing.
    pub async fn next_data(&self, body: &mut Incoming) -> anyhow::Result<Option<Bytes>> {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.context("read the response body")?.into_data() {
                let mut framing = self.traffic.framing.borrow_mut();
                framing.record_payload(data.len() as u64);
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Sends a request and waits for the complete response. Its body is read and dropped.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the response is malformed, incomplete or larger than
    /// `max_bytes`.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> anyhow::Result<Response<()>> {
        let response = self.send(request).await?;
        let (head, mut body) = response.into_parts();
        let mut length = 0;
        while let Some(data) = self.next_data(&mut body).await? {
            length += data.len();
            anyhow::ensure!(
                length <= max_bytes,
                "response body exceeds {max_bytes} bytes"
            );
        }
        Ok(Response::from_parts(head, ()))
    }

    /// Bytes that were handed to the network so far. A request of more bytes has not arrived
    /// whole.
    pub fn written_bytes(&self) -> u64 {
        self.traffic.written_bytes.get()
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.is_finished()
    }
}

/// Bytes of a connection.
#[derive(Default)]
struct Traffic {
    /// Bytes that were handed to the network.
    written_bytes: Cell<u64>,
    /// Bytes read in the current turn of the connection's task.
    turn_bytes: Cell<u64>,
    /// Bytes read for the current response.
    framing: RefCell<Framing>,
    /// Interim responses before the current response.
    interim_responses: Arc<AtomicU32>,
}

/// A stream that counts its bytes, and reads a limited number of them in a turn.
struct CountedStream {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl CountedStream {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = written {
            let count = self.traffic.written_bytes.get() + length as u64;
            self.traffic.written_bytes.set(count);
        }
        written
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let traffic = Rc::clone(&self.traffic);
        let mut framing = traffic.framing.borrow_mut();
        framing.set_interim_responses(traffic.interim_responses.load(Ordering::Relaxed));
        if let Err(err) = framing.check() {
            return Poll::Ready(Err(io::Error::other(err)));
        }
        if traffic.turn_bytes.get() >= MAX_TURN_BYTES {
            // The task is polled again after other tasks and connections. A plain wake-up
            // would poll it again before the runtime looks for events of other sockets.
            let _ = pin!(tokio::task::yield_now()).poll(cx);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let length = (buf.filled().len() - before) as u64;
        framing.record_received(length);
        traffic.turn_bytes.set(traffic.turn_bytes.get() + length);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
