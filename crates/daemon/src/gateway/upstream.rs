//! HTTP connections to targets, to the store and to peers.
//!
//! A connection carries one request at a time and closes on drop, so that a target
//! detects that its response is no longer needed.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest response body that is buffered in memory.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP/1 connection and the task that drives it.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
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
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .with_context(|| format!("HTTP handshake with {address}"))?;
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%address, %err, "connection: connection to {address} failed: {err}");
            }
        });
        Ok(Self { sender, driver })
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

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.is_finished()
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
