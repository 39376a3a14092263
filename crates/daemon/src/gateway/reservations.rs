//! Memory reserved on engines for a prompt that is larger than the room of the
//! engine that answers it.
//!
//! An order that is not answered may be carried out seconds later, when its
//! request is over. Leases are therefore so short that memory which nobody uses
//! is free again soon, and are renewed often while the request runs.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{
    serving::placement::{Helper, Placement},
    units::Tokens,
};
use cyclamengauge_platform::orders;
use futures_util::future;
use http::Request;
use http_body_util::Full;

use crate::{gateway::upstream::Connection, telemetry::process};

/// Lease of a reservation. Memory set aside in vain for up to 2 s is accepted on
/// the platform.
const LEASE: Duration = Duration::from_millis(1_900);

/// Time between two renewals: three of them may get lost.
const RENEWAL_PERIOD: Duration = Duration::from_millis(450);

/// Time for an engine to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Tries of a release; after them, the lease ends by itself.
const RELEASE_TRIES: u32 = 3;

/// One reservation on one engine.
#[derive(Clone, Debug)]
struct Held {
    id: String,
    address: SocketAddr,
    memory: Tokens,
}

/// The reservations of one try; dropped, they are released.
pub struct Reservations {
    held: Rc<Vec<Held>>,
    renewal: Option<actix_rt::task::JoinHandle<()>>,
}

impl Reservations {
    /// Reserves what a placement needs, under ids that begin with `name`.
    ///
    /// # Errors
    ///
    /// If an engine refuses or does not answer. What was reserved is released.
    pub async fn create(placement: &Placement, name: &str) -> anyhow::Result<Self> {
        let holders = placement.helpers.iter().enumerate();
        let holders = holders.filter(|(_, helper)| helper.memory > Tokens(0));
        let held = holders.map(|(index, helper)| Held {
            id: reservation_id(name, index),
            address: helper.address,
            memory: helper.memory,
        });
        let mut made = Self {
            held: Rc::new(held.collect()),
            renewal: None,
        };
        if made.held.is_empty() {
            return Ok(made);
        }
        future::try_join_all(made.held.iter().map(reserve)).await?;
        made.renewal = Some(actix_rt::spawn(renew(Rc::clone(&made.held))));
        Ok(made)
    }

    /// The reservation on an engine, if there is one.
    pub fn id_on(&self, helper: &Helper) -> Option<&str> {
        let mut held = self.held.iter();
        let found = held.find(|held| held.address == helper.address);
        found.map(|held| held.id.as_str())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for held in self.held.iter().cloned() {
            actix_rt::spawn(release(held));
        }
    }
}

fn reservation_id(name: &str, index: usize) -> String {
    format!("{name}-{index}")
}

async fn reserve(held: &Held) -> anyhow::Result<()> {
    let body = orders::reserve_body(&held.id, held.memory, LEASE);
    let status = order(held.address, body).await?;
    let (memory, address) = (held.memory, held.address);
    anyhow::ensure!(
        status == 200,
        "reserve {memory} at {address}: answered {status}"
    );
    Ok(())
}

async fn renew(held: Rc<Vec<Held>>) {
    loop {
        actix_rt::time::sleep(RENEWAL_PERIOD).await;
        for held in held.iter().cloned() {
            actix_rt::spawn(async move {
                if let Err(err) = reserve(&held).await {
                    process::reservation_failed(&held.id, &err.context("renew"));
                }
            });
        }
    }
}

async fn release(held: Held) {
    for _ in 0..RELEASE_TRIES {
        match order(held.address, orders::release_body(&held.id)).await {
            Ok(_) => return,
            Err(err) => {
                process::reservation_failed(&held.id, &err.context("release"));
                actix_rt::time::sleep(ORDER_TIMEOUT).await;
            }
        }
    }
}

/// Gives an order; returns the status of the answer.
async fn order(address: SocketAddr, body: Vec<u8>) -> anyhow::Result<u16> {
    let request = Request::post(orders::PATH)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build an order")?;
    let mut connection = Connection::open(address, ORDER_TIMEOUT).await?;
    let calling = connection.call(request);
    let answer = actix_rt::time::timeout(ORDER_TIMEOUT, calling).await;
    let answer = answer.with_context(|| format!("order to {address}: no answer"))?;
    Ok(answer
        .with_context(|| format!("order to {address}"))?
        .status()
        .as_u16())
}
