//! Single connections to targets, to the store and to peers.
//!
//! A connection carries one request at a time and ends when it is dropped, which
//! is how a target learns that an answer is no longer wanted.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest answer that is held in memory.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// An open connection.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: actix_rt::task::JoinHandle<()>,
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// If the connection is refused or not there in time. Nothing has been sent
    /// then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> anyhow::Result<Self> {
        let connecting = actix_rt::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connecting
            .with_context(|| format!("connect to {address}: no answer in {timeout:?}"))?
            .with_context(|| format!("connect to {address}"))?;
        stream
            .set_nodelay(true)
            .with_context(|| format!("set TCP_NODELAY towards {address}"))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .with_context(|| format!("start HTTP towards {address}"))?;
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%address, %err, "connection: {address} ended: {err}");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks or the answer is malformed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the answer is malformed, incomplete or too
    /// large.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> anyhow::Result<Response<Bytes>> {
        let response = self.send(request).await?;
        whole(response).await
    }

    /// Whether another request may be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads the rest of an answer.
///
/// # Errors
///
/// If it is incomplete or too large.
pub async fn whole(response: Response<Incoming>) -> anyhow::Result<Response<Bytes>> {
    let (head, body) = response.into_parts();
    let limited = http_body_util::Limited::new(body, MAX_HELD_BYTES);
    let collected = limited.collect().await;
    let body = collected
        .map_err(|err| anyhow::anyhow!(err).context("read the answer's body"))?
        .to_bytes();
    Ok(Response::from_parts(head, body))
}
