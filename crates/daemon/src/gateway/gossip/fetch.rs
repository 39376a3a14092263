//! What an instance fetches from a peer while the store turns it away: the
//! configuration and the list of targets.

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

/// Time for a peer to answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before a newer configuration is fetched from a peer: the store usually
/// delivers it first.
const FETCH_DELAY: Duration = Duration::from_millis(250);

/// Path at which an instance hands out its configuration.
const CONFIGURATION_PATH: &str = "/configuration";

/// Path at which an instance hands out its list of targets.
const TARGETS_PATH: &str = "/targets";

/// What a peer has that this instance may lack.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    configuration_version: u64,
    list_version: StoreVersion,
}

impl Wanted {
    /// What a datagram's sender has.
    pub(super) fn of(gossip: &v1::Gossip) -> Self {
        Self {
            configuration_version: gossip.configuration_version,
            list_version: StoreVersion(gossip.list_version),
        }
    }

    fn lacks_configuration(&self, gateway: &Gateway) -> bool {
        self.configuration_version > gateway.configuration_version()
    }

    /// The list comes from the store unless the store turns this instance away.
    fn lacks_list(&self, gateway: &Gateway) -> bool {
        let away = gateway.store_away.get() || gateway.list_failing.get();
        let cut_off = away || !gateway.listed.get();
        cut_off && self.list_version > gateway.list_version.get()
    }
}

/// Fetches what a peer has newer unless the store delivers it first.
pub(super) fn soon(gateway: &Rc<Gateway>, peer: SocketAddr, wanted: Wanted) {
    let lacking = wanted.lacks_configuration(gateway) || wanted.lacks_list(gateway);
    if !lacking || gateway.fetching.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(FETCH_DELAY).await;
        if wanted.lacks_configuration(&gateway) {
            match fetch(peer, CONFIGURATION_PATH).await {
                Ok(stored) => gateway.adopt(stored, &peer.to_string()),
                Err(err) => fetch_failed(peer, "the configuration", err),
            }
        }
        if wanted.lacks_list(&gateway) {
            match fetch_list(peer).await {
                Ok(rows) => watch::adopt_list(&gateway, &rows, &peer.to_string()),
                Err(err) => fetch_failed(peer, "the list of targets", err),
            }
        }
        gateway.fetching.set(false);
    });
}

fn fetch_failed(peer: SocketAddr, what: &str, err: anyhow::Error) {
    let err = err.context(format!("fetch {what}"));
    process_events::log_peer_faulty(&peer.to_string(), &err);
}

async fn fetch_list(peer: SocketAddr) -> anyhow::Result<store::Rows> {
    let body = fetch(peer, TARGETS_PATH).await?;
    let list = v1::TargetList::decode(body).context("decode the list")?;
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

fn target_list(gateway: &Gateway) -> v1::TargetList {
    let stored = gateway.stored_list.borrow();
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
    let fetching = actix_rt::time::timeout(FETCH_TIMEOUT, fetch_whole(peer, path));
    fetching.await.context("no answer")?
}

async fn fetch_whole(peer: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
    let mut connection = Connection::open(peer, FETCH_TIMEOUT).await?;
    let request = Request::get(path)
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .context("build the request")?;
    let answer = connection.call(request).await?;
    anyhow::ensure!(answer.status().is_success(), "answered {}", answer.status());
    Ok(answer.into_body())
}

/// Answers a peer that fetches the configuration or the list of targets.
pub async fn answer(gateway: Rc<Gateway>, request: ServerRequest) -> ServerResponse<BoxBody> {
    let stored = gateway.stored_configuration.borrow().clone();
    match request.path() {
        CONFIGURATION_PATH if !stored.is_empty() => server::json(200, stored),
        TARGETS_PATH if gateway.listed.get() => {
            server::json(200, target_list(&gateway).encode_to_vec())
        }
        _ => server::text(404, "not found\n"),
    }
}
