//! Calls of peers over TCP.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::gateway::{Gateway, upstream::Connection};

/// Time for connecting to a peer, for the head of its response, and without bytes of the
/// body. A response that arrives slowly is not given up.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a peer, for one call at a time.
pub(super) struct PeerConnection {
    peer: SocketAddr,
    connection: Connection,
    gateway: Rc<Gateway>,
}

impl PeerConnection {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// If the connection is refused or not open in time.
    pub(super) async fn open(gateway: &Rc<Gateway>, peer: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self {
            peer,
            connection: Connection::open(peer, IDLE_TIMEOUT).await?,
            gateway: Rc::clone(gateway),
        })
    }

    /// Returns the body of the response at `path`.
    ///
    /// # Errors
    ///
    /// If the response does not begin in time, stops arriving, or has an error status.
    pub(super) async fn get(&mut self, path: &str) -> anyhow::Result<Bytes> {
        let request = Request::get(path)
            .header(http::header::HOST, self.peer.to_string())
            .body(Full::new(Bytes::new()))
            .context("build the request")?;
        let response = actix_rt::time::timeout(IDLE_TIMEOUT, self.connection.send(request)).await;
        let response =
            response.with_context(|| format!("no response within {IDLE_TIMEOUT:?}"))??;
        let status = response.status();
        anyhow::ensure!(status.is_success(), "response status {status}");
        let own_link = &self.gateway.own_link;
        let response = own_link
            .collect_while_moving(&self.connection, response, IDLE_TIMEOUT)
            .await?;
        Ok(response.into_body())
    }
}
