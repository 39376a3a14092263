//! Large bodies that this instance receives from the store and from peers, or sends to peers,
//! over its own link.

use std::{cell::Cell, time::Duration};

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use cyclamengauge_core::{
    clock::Instant,
    serving::{memory, reachability::own_link::OwnLink},
};
use http::Response;
use hyper::body::Incoming;

use crate::{gateway::upstream::Connection, node::Clock};

/// Use of the own link by large bodies.
#[derive(Debug)]
pub struct OwnLinkUse {
    clock: Clock,
    state: Cell<OwnLink>,
    /// Bytes that all bodies together may have in memory while they are received.
    capacity_bytes: usize,
    /// Bytes that they have. At most `capacity_bytes`.
    held_bytes: Cell<usize>,
}

impl OwnLinkUse {
    /// The link of a machine with `memory_mb` MB, without use so far.
    pub fn new(clock: Clock, memory_mb: Option<u64>) -> Self {
        Self {
            clock,
            state: Cell::default(),
            capacity_bytes: memory::internal_body_capacity_bytes(memory_mb) as usize,
            held_bytes: Cell::default(),
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
    /// If the body is incomplete, or there is no room for it beside other bodies.
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
    /// If no bytes arrive in time, the body is incomplete, or there is no room for it beside
    /// other bodies.
    pub async fn collect_while_moving(
        &self,
        connection: &Connection,
        response: Response<Incoming>,
        idle_timeout: Duration,
    ) -> anyhow::Result<Response<Bytes>> {
        let (head, mut incoming) = response.into_parts();
        let mut body = BytesMut::new();
        let mut room = Room {
            own_link: self,
            bytes: 0,
        };
        loop {
            let next = connection.next_data(&mut incoming);
            let next = actix_rt::time::timeout(idle_timeout, next).await;
            let next = next.with_context(|| {
                let length = body.len();
                format!("read the response body: no bytes for {idle_timeout:?} after {length}")
            })?;
            let Some(data) = next? else { break };
            room.grow(data.len()).context("read the response body")?;
            body.extend_from_slice(&data);
            self.record_bytes(body.len());
        }
        Ok(Response::from_parts(head, body.freeze()))
    }
}

/// Room of one body, given back on drop.
struct Room<'a> {
    own_link: &'a OwnLinkUse,
    bytes: usize,
}

impl Room<'_> {
    fn grow(&mut self, bytes: usize) -> anyhow::Result<()> {
        let (held, capacity) = (self.own_link.held_bytes.get(), self.own_link.capacity_bytes);
        anyhow::ensure!(
            held + bytes <= capacity,
            "{} bytes received, {held} by all such bodies, over their limit of {capacity} bytes",
            self.bytes
        );
        self.own_link.held_bytes.set(held + bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        let held = self.own_link.held_bytes.get();
        self.own_link.held_bytes.set(held - self.bytes);
    }
}
