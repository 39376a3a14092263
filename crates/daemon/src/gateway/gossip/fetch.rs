//! Fetches of the configuration and the target list from a peer, for an instance that
//! does not watch the platform's tables or whose calls to the store fail.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request as ServerRequest, Response as ServerResponse, body::BoxBody};
use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    serving::{
        target_list::{ListChanges, ListVersion},
        watchers::WatchState,
    },
};
use cyclamengauge_schema::v1;
use http::Request;
use http_body_util::Full;
use prost::Message;

use crate::{
    gateway::{Gateway, TableWatch, handover, request, upstream::Connection, watch},
    http as server,
    telemetry::process_events,
};

/// Time for a fetch, and within it for connecting to the peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay of a fetch from a peer in the same data centre. Several changes in a row are
/// fetched at once.
const LOCAL_FETCH_DELAY: Duration = Duration::from_millis(10);

/// Delay of a fetch from a peer in another data centre, and of an instance that watches
/// the table itself: a local peer or the store usually delivers the change first.
const LATE_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Path of this instance's configuration, for peers.
const CONFIGURATION_PATH: &str = "/configuration";

/// Path of this instance's target list, for peers. The query is the version that the
/// peer has.
const TARGETS_PATH: &str = "/targets";

/// The fetches that are scheduled or in progress. There is at most one from local and
/// one from other peers, so that a slow peer elsewhere delays no local fetch.
#[derive(Debug, Default)]
pub struct FetchesInProgress {
    local: Cell<bool>,
    remote: Cell<bool>,
}

/// A peer and the versions that it has, from its gossip message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    /// Address at which it listens for its peers.
    pub(super) address: SocketAddr,
    /// Whether it runs in the data centre of this instance.
    pub(super) is_local: bool,
    pub(super) watch_state: WatchState,
    pub(super) configuration_version: u64,
    pub(super) list_version: ListVersion,
}

impl Peer {
    fn has_newer_configuration(&self, gateway: &Gateway) -> bool {
        self.configuration_version > gateway.configuration_version()
    }

    /// Whether the target list should be fetched from the peer: the peer has a newer
    /// one, and this instance does not get it from the store.
    fn is_target_list_needed(&self, gateway: &Gateway) -> bool {
        let store_unavailable = gateway.configuration_watch.get() == TableWatch::Failing
            || gateway.target_list_watch.get() == TableWatch::Failing
            || !gateway.target_list_loaded.get();
        let relies_on_peer = gateway.target_list_watch.get() == TableWatch::Paused
            && self.watch_state == WatchState::Watching;
        (store_unavailable || relies_on_peer)
            && self.list_version > gateway.target_list.borrow().version()
    }

    fn fetch_delay(&self, gateway: &Gateway) -> Duration {
        let watches_itself = gateway.configuration_watch.get() == TableWatch::Active;
        match self.is_local && !watches_itself {
            true => LOCAL_FETCH_DELAY,
            false => LATE_FETCH_DELAY,
        }
    }
}

/// Fetches a newer configuration or target list from a peer after a delay, unless it
/// has arrived otherwise by then or such a fetch is in progress.
pub(super) fn schedule_fetch(gateway: &Rc<Gateway>, peer: Peer) {
    let fetch_needed = peer.has_newer_configuration(gateway) || peer.is_target_list_needed(gateway);
    if !fetch_needed || in_progress(gateway, peer).replace(true) {
        return;
    }
    let delay = peer.fetch_delay(gateway);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(delay).await;
        let source = peer.address.to_string();
        if peer.has_newer_configuration(&gateway) {
            match fetch(peer.address, CONFIGURATION_PATH).await {
                Ok(stored) => gateway.apply_configuration(stored, &source),
                Err(err) => log_fetch_failure(peer.address, "configuration", err),
            }
        }
        if peer.is_target_list_needed(&gateway) {
            match fetch_target_list(&gateway, peer.address).await {
                Ok(changes) => watch::apply_target_list(&gateway, changes, &source),
                Err(err) => log_fetch_failure(peer.address, "target list", err),
            }
        }
        in_progress(&gateway, peer).set(false);
    });
}

fn in_progress(gateway: &Gateway, peer: Peer) -> &Cell<bool> {
    match peer.is_local {
        true => &gateway.peer_fetches.local,
        false => &gateway.peer_fetches.remote,
    }
}

fn log_fetch_failure(peer: SocketAddr, resource: &str, err: anyhow::Error) {
    let err = err.context(format!("fetch {resource}"));
    process_events::log_peer_faulty(&peer.to_string(), &err);
}

/// Fetches the changes of the target list after the version known here.
async fn fetch_target_list(gateway: &Gateway, peer: SocketAddr) -> anyhow::Result<ListChanges> {
    let since = gateway.target_list.borrow().version();
    let body = fetch(peer, &format!("{TARGETS_PATH}?{since}")).await?;
    let list = v1::TargetList::decode(body).context("decode the response")?;
    if let Some(age_ms) = list.store_failure_age_ms {
        // Targets that the list lacks may be missing only because of this failure.
        let age = Duration::from_millis(age_ms);
        let at = Instant::from_start(gateway.clock.now().since_start().saturating_sub(age));
        let last = &gateway.last_store_failure_at;
        last.set(last.get().max(Some(at)));
    }
    let entries = list.targets.into_iter();
    Ok(ListChanges {
        version: ListVersion {
            era: list.era,
            number: list.version,
        },
        is_complete: !list.changes_only,
        entries: entries.map(|target| (target.key, target.entry)).collect(),
    })
}

/// Returns the changes of this instance's target list after `since`, for a peer.
fn target_list(gateway: &Gateway, since: ListVersion) -> v1::TargetList {
    let changes = gateway.target_list.borrow().changes_since(since);
    let entries = changes.entries.into_iter();
    let now = gateway.clock.now();
    let last_failure_at = gateway.last_store_failure_at.get();
    v1::TargetList {
        version: changes.version.number,
        era: changes.version.era,
        targets: entries
            .map(|(key, entry)| v1::ListedTarget { key, entry })
            .collect(),
        changes_only: !changes.is_complete,
        store_failure_age_ms: last_failure_at.map(|at| (now - at).as_millis() as u64),
    }
}

async fn fetch(peer: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
    let response = actix_rt::time::timeout(FETCH_TIMEOUT, call_peer(peer, path));
    response
        .await
        .with_context(|| format!("no response within {FETCH_TIMEOUT:?}"))?
}

async fn call_peer(peer: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
    let mut connection = Connection::open(peer, FETCH_TIMEOUT).await?;
    let request = Request::get(path)
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .context("build the request")?;
    let response = connection.call(request).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "response status {}",
        response.status()
    );
    Ok(response.into_body())
}

/// Handles a peer's fetch of the configuration or the target list, whose status is 404
/// while this instance has none, or a request that the peer hands over.
pub async fn handle_call(gateway: Rc<Gateway>, request: ServerRequest) -> ServerResponse<BoxBody> {
    let stored = gateway.stored_configuration.borrow().clone();
    match request.path() {
        handover::PATH => request::handle_peer(gateway, request).await,
        CONFIGURATION_PATH if !stored.is_empty() => server::json(200, stored),
        TARGETS_PATH if gateway.target_list_loaded.get() => {
            let since = request.uri().query().and_then(|query| query.parse().ok());
            let since: Option<ListVersion> = since;
            let list = target_list(&gateway, since.unwrap_or_default());
            server::json(200, list.encode_to_vec())
        }
        _ => server::text(404, "not found\n"),
    }
}
