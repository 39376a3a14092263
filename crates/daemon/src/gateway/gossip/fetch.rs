//! Fetches of the configuration and the target list from a peer, for an instance
//! whose calls to the store fail.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Request as ServerRequest, Response as ServerResponse, body::BoxBody};
use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_platform::store::{self, StoreVersion};
use cyclamengauge_schema::v1;
use http::Request;
use http_body_util::Full;
use prost::Message;

use crate::{
    gateway::{Gateway, upstream::Connection, watch},
    http as server,
    telemetry::process_events,
};

/// Time for a fetch, and within it for connecting to the peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before a newer version is fetched from a peer: the store usually delivers
/// it first.
const FETCH_DELAY: Duration = Duration::from_millis(250);

/// Path of this instance's configuration, for peers.
const CONFIGURATION_PATH: &str = "/configuration";

/// Path of this instance's target list, for peers.
const TARGETS_PATH: &str = "/targets";

/// Versions that a peer has, from its gossip message.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerVersions {
    configuration_version: u64,
    list_version: StoreVersion,
}

impl PeerVersions {
    /// Returns the versions of the sender of a gossip message.
    pub(super) fn of(gossip: &v1::Gossip) -> Self {
        Self {
            configuration_version: gossip.configuration_version,
            list_version: StoreVersion(gossip.list_version),
        }
    }

    fn has_newer_configuration(&self, gateway: &Gateway) -> bool {
        self.configuration_version > gateway.configuration_version()
    }

    /// Whether the target list should be fetched from the peer: the peer has a newer
    /// one, and this instance can't get it from the store.
    fn is_target_list_needed(&self, gateway: &Gateway) -> bool {
        let watch_failing =
            gateway.configuration_watch_failing.get() || gateway.target_list_watch_failing.get();
        let store_unavailable = watch_failing || !gateway.target_list_loaded.get();
        store_unavailable && self.list_version > gateway.list_version.get()
    }
}

/// Fetches a newer configuration or target list from a peer after [`FETCH_DELAY`],
/// unless the store has delivered it by then or another fetch is in progress.
pub(super) fn schedule_fetch(gateway: &Rc<Gateway>, peer: SocketAddr, peer_versions: PeerVersions) {
    let fetch_needed = peer_versions.has_newer_configuration(gateway)
        || peer_versions.is_target_list_needed(gateway);
    if !fetch_needed || gateway.peer_fetch_in_progress.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(FETCH_DELAY).await;
        if peer_versions.has_newer_configuration(&gateway) {
            match fetch(peer, CONFIGURATION_PATH).await {
                Ok(stored) => gateway.apply_configuration(stored, &peer.to_string()),
                Err(err) => log_fetch_failure(peer, "configuration", err),
            }
        }
        if peer_versions.is_target_list_needed(&gateway) {
            match fetch_target_list(peer).await {
                Ok(rows) => watch::replace_target_list(&gateway, &rows, &peer.to_string()),
                Err(err) => log_fetch_failure(peer, "target list", err),
            }
        }
        gateway.peer_fetch_in_progress.set(false);
    });
}

fn log_fetch_failure(peer: SocketAddr, resource: &str, err: anyhow::Error) {
    let err = err.context(format!("fetch {resource}"));
    process_events::log_peer_faulty(&peer.to_string(), &err);
}

async fn fetch_target_list(peer: SocketAddr) -> anyhow::Result<store::Rows> {
    let body = fetch(peer, TARGETS_PATH).await?;
    let list = v1::TargetList::decode(body).context("decode the response")?;
    let rows = list.targets.into_iter().map(|target| store::Row {
        key: target.key,
        value: Some(target.entry),
    });
    Ok(store::Rows {
        rows: rows.collect(),
        version: StoreVersion(list.version),
        has_more: false,
    })
}

/// Returns this instance's target list, for a peer.
fn target_list(gateway: &Gateway) -> v1::TargetList {
    let stored = gateway.stored_target_list.borrow();
    let targets = stored.iter().map(|(key, entry)| v1::ListedTarget {
        key: key.clone(),
        entry: entry.clone(),
    });
    v1::TargetList {
        version: gateway.list_version.get().0,
        targets: targets.collect(),
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

/// Handles a peer's fetch of the configuration or the target list. The status is
/// 404 while this instance has none.
pub async fn handle_fetch(gateway: Rc<Gateway>, request: ServerRequest) -> ServerResponse<BoxBody> {
    let stored = gateway.stored_configuration.borrow().clone();
    match request.path() {
        CONFIGURATION_PATH if !stored.is_empty() => server::json(200, stored),
        TARGETS_PATH if gateway.target_list_loaded.get() => {
            server::json(200, target_list(&gateway).encode_to_vec())
        }
        _ => server::text(404, "not found\n"),
    }
}
