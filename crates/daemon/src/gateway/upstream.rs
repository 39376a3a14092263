//! HTTP connections to targets, to the store and to peers.
//!
//! A connection carries one request at a time and closes on drop, so that a target
//! detects that its response is no longer needed.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context as TaskContext, Poll},
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest response body that is buffered in memory.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP/1 connection and the task that drives it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Bytes that were handed to the network.
    written_bytes: Rc<Cell<u64>>,
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
        let connecting = actix_rt::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connecting
            .with_context(|| format!("connect to {address}: not connected within {timeout:?}"))?
            .with_context(|| format!("connect to {address}"))?;
        stream
            .set_nodelay(true)
            .with_context(|| format!("set TCP_NODELAY on the connection to {address}"))?;
        let written_bytes = Rc::<Cell<u64>>::default();
        let stream = CountedStream {
            stream,
            written_bytes: Rc::clone(&written_bytes),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .with_context(|| format!("HTTP handshake with {address}"))?;
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%address, %err, "connection: connection to {address} failed: {err}");
            }
        });
        Ok(Self {
            sender,
            written_bytes,
            driver,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If the connection breaks or the response is malformed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the response is malformed, incomplete or too
    /// large.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> anyhow::Result<Response<Bytes>> {
        let response = self.send(request).await?;
        collect(response).await
    }

    /// Bytes that were handed to the network so far. A request of more bytes has not arrived
    /// whole.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.is_finished()
    }
}

/// A stream that counts the bytes written to it.
struct CountedStream {
    stream: TcpStream,
    written_bytes: Rc<Cell<u64>>,
}

impl CountedStream {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = written {
            let count = self.written_bytes.get() + length as u64;
            self.written_bytes.set(count);
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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

/// Reads the body of a response into memory.
///
/// # Errors
///
/// If the body is incomplete or larger than `MAX_BUFFERED_BYTES`.
pub async fn collect(response: Response<Incoming>) -> anyhow::Result<Response<Bytes>> {
    let (head, body) = response.into_parts();
    let limited = http_body_util::Limited::new(body, MAX_BUFFERED_BYTES);
    let collected = limited.collect().await;
    let body = collected
        .map_err(|err| anyhow::anyhow!(err).context("read the response body"))?
        .to_bytes();
    Ok(Response::from_parts(head, body))
}
