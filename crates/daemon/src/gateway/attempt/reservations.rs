//! Memory reservations on helper engines, for a prompt that is larger than the
//! free memory of its lead engine.
//!
//! An order without a response may be executed seconds later, after its request
//! has ended. Leases are therefore short, so that unused memory soon becomes free
//! again, and are renewed often while the request runs.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{
    ids::EngineId,
    serving::placement::{Helper, Placement},
    units::Tokens,
};
use cyclamengauge_platform::orders;
use futures_util::future;
use http::Request;
use http_body_util::Full;

use crate::{
    gateway::{Gateway, target_limits, target_notices, upstream::Connection},
    telemetry::process_events,
};

/// Lease duration of a reservation. The platform accepts reserved memory that
/// stays unused for up to 2 s.
const LEASE_DURATION: Duration = Duration::from_millis(1_900);

/// Interval between two renewals: three renewals in a row may be lost before the
/// lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// Time for connecting to an engine, and time for its response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response to an order; proper ones are a few dozen bytes.
const MAX_ORDER_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum number of release orders; after them, the lease expires.
const MAX_RELEASE_ORDERS: u32 = 3;

/// A reservation on one engine.
#[derive(Clone, Debug)]
struct Reservation {
    id: String,
    target: EngineId,
    address: SocketAddr,
    memory: Tokens,
}

/// The reservations of one attempt. They are renewed until the value is dropped,
/// and then released.
pub struct Reservations {
    gateway: Rc<Gateway>,
    entries: Rc<Vec<Reservation>>,
    renewal_task: Option<actix_rt::task::JoinHandle<()>>,
}

impl Reservations {
    /// Reserves the memory that a placement needs on its helpers. `id_prefix` must
    /// be unique to the attempt.
    ///
    /// # Errors
    ///
    /// If an engine refuses or does not respond. Memory already reserved is
    /// released.
    pub async fn create(
        gateway: &Rc<Gateway>,
        placement: &Placement,
        id_prefix: &str,
    ) -> anyhow::Result<Self> {
        let helpers = placement.helpers.iter().enumerate();
        let helpers = helpers.filter(|(_, helper)| helper.memory > Tokens(0));
        let entries = helpers.map(|(index, helper)| Reservation {
            id: reservation_id(id_prefix, index),
            target: helper.target.clone(),
            address: helper.address,
            memory: helper.memory,
        });
        let mut reservations = Self {
            gateway: Rc::clone(gateway),
            entries: Rc::new(entries.collect()),
            renewal_task: None,
        };
        if reservations.entries.is_empty() {
            return Ok(reservations);
        }
        let reserving = reservations.entries.iter();
        future::try_join_all(reserving.map(|entry| reserve(gateway, entry))).await?;
        reservations.renewal_task = Some(actix_rt::spawn(renew_periodically(
            Rc::clone(gateway),
            Rc::clone(&reservations.entries),
        )));
        Ok(reservations)
    }

    /// The reservations of an attempt that a peer makes: it makes them too.
    pub fn none(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            entries: Rc::default(),
            renewal_task: None,
        }
    }

    /// Returns the id of the reservation on a helper engine; `None` if there is no
    /// reservation.
    pub fn id_on(&self, helper: &Helper) -> Option<&str> {
        let mut entries = self.entries.iter();
        let found = entries.find(|reservation| reservation.address == helper.address);
        found.map(|reservation| reservation.id.as_str())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal_task) = self.renewal_task.take() {
            renewal_task.abort();
        }
        for reservation in self.entries.iter().cloned() {
            actix_rt::spawn(release(Rc::clone(&self.gateway), reservation));
        }
    }
}

fn reservation_id(prefix: &str, index: usize) -> String {
    format!("{prefix}-{index}")
}

/// Makes or renews a reservation; the order is the same for both.
async fn reserve(gateway: &Gateway, reservation: &Reservation) -> anyhow::Result<()> {
    let body = orders::reserve_body(&reservation.id, reservation.memory, LEASE_DURATION);
    let status = send_order(gateway, reservation, body).await?;
    let (memory, address) = (reservation.memory, reservation.address);
    anyhow::ensure!(
        status == 200,
        "reserve {memory} on engine {address}: response status {status}"
    );
    Ok(())
}

async fn renew_periodically(gateway: Rc<Gateway>, entries: Rc<Vec<Reservation>>) {
    loop {
        actix_rt::time::sleep(RENEWAL_INTERVAL).await;
        for reservation in entries.iter().cloned() {
            let gateway = Rc::clone(&gateway);
            actix_rt::spawn(async move {
                if let Err(err) = reserve(&gateway, &reservation).await {
                    process_events::log_reservation_failed(&reservation.id, &err.context("renew"));
                }
            });
        }
    }
}

/// Sends release orders until the engine responds, with any status.
async fn release(gateway: Rc<Gateway>, reservation: Reservation) {
    for _ in 0..MAX_RELEASE_ORDERS {
        let body = orders::release_body(&reservation.id);
        match send_order(&gateway, &reservation, body).await {
            Ok(_) => return,
            Err(err) => {
                process_events::log_reservation_failed(&reservation.id, &err.context("release"));
                actix_rt::time::sleep(ORDER_TIMEOUT).await;
            }
        }
    }
}

/// Sends an order to an engine; returns the status of the response.
async fn send_order(
    gateway: &Gateway,
    reservation: &Reservation,
    body: Vec<u8>,
) -> anyhow::Result<u16> {
    let address = reservation.address;
    let request = Request::post(orders::PATH)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build order request")?;
    let process = gateway.targets.borrow().process(&reservation.target);
    let mut connection = Connection::open(address, ORDER_TIMEOUT).await?;
    let call = connection.call(request, MAX_ORDER_RESPONSE_BYTES);
    let response = actix_rt::time::timeout(ORDER_TIMEOUT, call).await;
    let response = response.with_context(|| {
        format!("send order to engine {address}: no response within {ORDER_TIMEOUT:?}")
    })?;
    let response = response.with_context(|| format!("send order to engine {address}"))?;
    target_limits::record_order_response(gateway, &reservation.target, &response);
    if let Some(process) = process {
        target_notices::record_response(gateway, &process, &response);
    }
    Ok(response.status().as_u16())
}
