//! Fetches of the target list from a peer, for an instance that does not watch the
//! platform's tables or whose calls to the store fail.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request as ServerRequest, Response as ServerResponse, body::BoxBody};
use anyhow::Context;
use cyclamengauge_core::{
    clock::Instant,
    serving::{
        target_list::{ListChanges, ListVersion},
        watchers::WatchState,
    },
};
use cyclamengauge_schema::v1;
use prost::Message;

use crate::{
    gateway::{
        Gateway, TableWatch,
        gossip::{calls::PeerConnection, configuration},
        handover, request, watch,
    },
    http as server,
    telemetry::process_events,
};

/// Delay of a fetch from a peer in the same data centre. Several changes in a row are
/// fetched at once.
const LOCAL_FETCH_DELAY: Duration = Duration::from_millis(10);

/// Delay of a fetch from a peer in another data centre, and of an instance that watches
/// the table itself: a local peer or the store usually delivers the change first.
const LATE_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Path of this instance's target list, for peers. The query is the version that the
/// peer has.
const TARGETS_PATH: &str = "/targets";

/// The fetches that are scheduled or in progress. Of the target list there is at most one
/// from local and one from other peers, so that a slow peer elsewhere delays no local
/// fetch.
#[derive(Debug, Default)]
pub struct FetchesInProgress {
    local: Cell<bool>,
    remote: Cell<bool>,
    /// Of the configuration.
    pub(super) configuration: Cell<bool>,
}

/// A peer and its target list, from its gossip message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    /// Address at which it listens for its peers.
    pub(super) address: SocketAddr,
    /// Whether it runs in the data centre of this instance.
    pub(super) is_local: bool,
    pub(super) watch_state: WatchState,
    pub(super) list_version: ListVersion,
}

impl Peer {
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

/// Fetches a newer target list from a peer after a delay, unless it has arrived otherwise
/// by then or such a fetch is in progress.
pub(super) fn schedule_fetch(gateway: &Rc<Gateway>, peer: Peer) {
    if !peer.is_target_list_needed(gateway) || in_progress(gateway, peer).replace(true) {
        return;
    }
    let delay = peer.fetch_delay(gateway);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(delay).await;
        if peer.is_target_list_needed(&gateway) {
            match fetch_target_list(&gateway, peer.address).await {
                Ok(changes) => {
                    watch::apply_target_list(&gateway, changes, &peer.address.to_string());
                }
                Err(err) => {
                    let err = err.context("fetch target list");
                    process_events::log_peer_faulty(&peer.address.to_string(), &err);
                }
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

/// Fetches the changes of the target list after the version known here.
async fn fetch_target_list(gateway: &Rc<Gateway>, peer: SocketAddr) -> anyhow::Result<ListChanges> {
    let since = gateway.target_list.borrow().version();
    let mut connection = PeerConnection::open(gateway, peer).await?;
    let body = connection.get(&format!("{TARGETS_PATH}?{since}")).await?;
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

/// Handles a peer's fetch of the configuration or the target list, whose status is 404
/// while this instance has none, or a request that the peer hands over.
pub async fn handle_call(gateway: Rc<Gateway>, request: ServerRequest) -> ServerResponse<BoxBody> {
    match request.path() {
        handover::PATH => request::handle_peer(gateway, request).await,
        configuration::WHOLE_PATH => configuration::serve_whole(&gateway),
        configuration::PART_PATH => {
            let query = request.uri().query().unwrap_or_default();
            configuration::serve_part(gateway, query).await
        }
        TARGETS_PATH if gateway.target_list_loaded.get() => {
            let since = request.uri().query().and_then(|query| query.parse().ok());
            let since: Option<ListVersion> = since;
            let list = target_list(&gateway, since.unwrap_or_default());
            server::json(200, list.encode_to_vec())
        }
        _ => server::text(404, "not found\n"),
    }
}
