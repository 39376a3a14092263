//! Large bodies that this instance receives or sends over its own link.

use std::{cell::Cell, time::Duration};

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use cyclamengauge_core::{clock::Instant, serving::reachability::own_link::OwnLink};
use http::Response;
use hyper::body::Incoming;

use crate::{gateway::upstream::Connection, node::Clock};

/// Largest body that is buffered in memory.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Use of the own link by large bodies.
#[derive(Debug)]
pub struct OwnLinkUse {
    clock: Clock,
    state: Cell<OwnLink>,
}

impl OwnLinkUse {
    /// A link without use so far.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Cell::default(),
        }
    }

    /// Records that bytes of a body were received or sent, `body_bytes` of it so far.
    pub fn record_bytes(&self, body_bytes: usize) {
        let mut state = self.state.get();
        state.record_bytes(body_bytes, self.clock.now());
        self.state.set(state);
    }

    /// Whether the own link may be the reason why a connection, begun at `started_at`, is
    /// not open yet.
    pub fn explains(&self, started_at: Instant) -> bool {
        self.state.get().explains(started_at, self.clock.now())
    }

    /// Reads the body of a response of `connection` into memory.
    ///
    /// # Errors
    ///
    /// If the body is incomplete or larger than `MAX_BODY_BYTES`.
    pub async fn collect(
        &self,
        connection: &Connection,
        response: Response<Incoming>,
    ) -> anyhow::Result<Response<Bytes>> {
        self.collect_while_moving(connection, response, Duration::MAX)
            .await
    }

    /// As [`Self::collect`], but fails only if no bytes arrive for `idle_timeout`.
    ///
    /// # Errors
    ///
    /// If no bytes arrive in time, or the body is incomplete or larger than
    /// `MAX_BODY_BYTES`.
    pub async fn collect_while_moving(
        &self,
        connection: &Connection,
        response: Response<Incoming>,
        idle_timeout: Duration,
    ) -> anyhow::Result<Response<Bytes>> {
        let (head, mut incoming) = response.into_parts();
        let mut body = BytesMut::new();
        loop {
            let next = connection.next_data(&mut incoming);
            let next = actix_rt::time::timeout(idle_timeout, next).await;
            let next = next.with_context(|| {
                let length = body.len();
                format!("read the response body: no bytes for {idle_timeout:?} after {length}")
            })?;
            let Some(data) = next? else { break };
            anyhow::ensure!(
                body.len() + data.len() <= MAX_BODY_BYTES,
                "read the response body: over the limit of {MAX_BODY_BYTES} bytes"
            );
            body.extend_from_slice(&data);
            self.record_bytes(body.len());
        }
        Ok(Response::from_parts(head, body.freeze()))
    }
}
