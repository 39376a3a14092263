//! Transfers of the configuration between instances: this instance fetches a newer one in
//! parts from any peer that has it, and passes its own on.

use std::{rc::Rc, time::Duration};

use actix_http::{Response as ServerResponse, body::BoxBody};
use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::serving::configuration_spread::{
    offers::Answer,
    sources::{Choice, Source},
    transfer::{Arrived, Continued, Fetch, PartRequest},
};
use cyclamengauge_schema::v1;
use prost::Message;

use crate::{
    gateway::{Gateway, TableWatch, gossip::calls::PeerConnection},
    http as server,
    telemetry::process_events,
};

/// Path of this instance's whole configuration, for peers of older builds.
pub(super) const WHOLE_PATH: &str = "/configuration";

/// Path of the parts of a transfer, for peers. The query names what the peer has.
pub(super) const PART_PATH: &str = "/configuration/part";

/// Number of versions that a request for a part may name.
const MAX_KNOWN_VERSIONS: usize = 32;

/// Records the version that a peer reports, and fetches it unless it has arrived otherwise
/// by then.
pub(super) fn record_source(gateway: &Rc<Gateway>, source: Source) {
    let now = gateway.clock.now();
    let own_version = gateway.configuration_version();
    let mut sources = gateway.configuration_sources.borrow_mut();
    let is_newer = sources.record(source, own_version, now);
    drop(sources);
    if is_newer && !gateway.peer_fetches.configuration.replace(true) {
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            fetch_newer(&gateway).await;
            gateway.peer_fetches.configuration.set(false);
        });
    }
}

/// Fetches configurations until no peer has a newer one.
async fn fetch_newer(gateway: &Rc<Gateway>) {
    let mut fetch = Fetch::default();
    loop {
        gateway.wait_for_configuration_room().await;
        match choose(gateway) {
            Choice::UpToDate => return,
            Choice::Wait(wait) => actix_rt::time::sleep(wait).await,
            Choice::Fetch(source) => {
                let fetched = match source.serves_parts {
                    true => fetch_parts(gateway, &source, &mut fetch).await,
                    false => fetch_whole(gateway, &source).await,
                };
                if let Err(err) = fetched {
                    let err = err.context("fetch configuration");
                    process_events::log_peer_faulty(&source.address.to_string(), &err);
                    let now = gateway.clock.now();
                    let mut sources = gateway.configuration_sources.borrow_mut();
                    sources.record_failure(&source.instance, now);
                }
            }
        }
    }
}

fn choose(gateway: &Gateway) -> Choice {
    let watches_itself = gateway.configuration_watch.get() == TableWatch::Active;
    let own_version = gateway.configuration_version();
    let now = gateway.clock.now();
    let mut rng = gateway.rng.borrow_mut();
    let mut sources = gateway.configuration_sources.borrow_mut();
    sources.choose(own_version, watches_itself, &mut rng, now)
}

/// Fetches parts from a source until the transfer is complete or the source has no room.
/// A transfer that is not complete is continued by the next source.
async fn fetch_parts(
    gateway: &Rc<Gateway>,
    source: &Source,
    fetch: &mut Fetch,
) -> anyhow::Result<()> {
    let mut connection = PeerConnection::open(gateway, source.address).await?;
    loop {
        let request = fetch.request(&gateway.configuration_versions.borrow());
        let body = connection.get(&encode_path(&request)).await?;
        let part = v1::ConfigurationPart::decode(body).context("decode the response")?;
        if let Some(retry_after_ms) = part.retry_after_ms {
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            let now = gateway.clock.now();
            let mut sources = gateway.configuration_sources.borrow_mut();
            sources.record_busy(&source.instance, retry_after, now);
            return Ok(());
        }
        gateway.record_configuration_bytes(part.content.len());
        let arrived = fetch.accept(part, &gateway.configuration_versions.borrow())?;
        if let Some(arrived) = arrived {
            apply(gateway, arrived, source);
        }
        if !fetch.is_in_progress() {
            return Ok(());
        }
        gateway.wait_for_configuration_room().await;
    }
}

fn apply(gateway: &Gateway, arrived: Arrived, source: &Source) {
    let kind = match arrived.base_version {
        0 => "whole",
        _ => "change",
    };
    let bytes = arrived.transferred.len() as u64;
    metrics::counter!("cyclamengauge_configuration_transferred_bytes_total", "kind" => kind)
        .increment(bytes);
    gateway.configuration_offers.borrow_mut().keep(&arrived);
    gateway.apply_configuration(arrived.encoded, &source.address.to_string());
}

/// Fetches the whole configuration from a peer of an older build.
async fn fetch_whole(gateway: &Rc<Gateway>, source: &Source) -> anyhow::Result<()> {
    let mut connection = PeerConnection::open(gateway, source.address).await?;
    let stored = connection.get(WHOLE_PATH).await?;
    gateway.record_configuration_bytes(stored.len());
    gateway.apply_configuration(stored[..].into(), &source.address.to_string());
    Ok(())
}

/// Path and query of a request: the known versions, and the position in a transfer.
fn encode_path(request: &PartRequest) -> String {
    let versions = request.known_versions.iter().map(u64::to_string);
    let versions = versions.collect::<Vec<_>>().join(".");
    let continued = request.continued.map(|at| {
        let Continued {
            version,
            base_version,
            id,
            offset,
        } = at;
        format!("&continued={version}.{base_version}.{id}.{offset}")
    });
    let continued = continued.unwrap_or_default();
    format!("{PART_PATH}?known={versions}{continued}")
}

/// Decodes the query of a request. What can't be read is left out: a whole configuration
/// then answers the request.
fn decode_query(query: &str) -> PartRequest {
    let field = |name: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let values = fields.find(|(key, _)| *key == name).map(|(_, value)| value);
        let numbers = values.unwrap_or_default().split('.');
        let numbers = numbers
            .filter_map(|number| number.parse().ok())
            .take(MAX_KNOWN_VERSIONS);
        numbers.collect::<Vec<u64>>()
    };
    let continued = match field("continued")[..] {
        [version, base_version, id, offset] => {
            usize::try_from(offset).ok().map(|offset| Continued {
                version,
                base_version,
                id,
                offset,
            })
        }
        _ => None,
    };
    PartRequest {
        known_versions: field("known"),
        continued,
    }
}

/// Answers a peer's request for a part; the status is 404 if there is no newer version.
pub(super) async fn serve_part(gateway: Rc<Gateway>, query: &str) -> ServerResponse<BoxBody> {
    let request = decode_query(query);
    let now = gateway.clock.now();
    let answer = {
        let versions = gateway.configuration_versions.borrow();
        let mut offers = gateway.configuration_offers.borrow_mut();
        offers.answer(&request, &versions, now)
    };
    let count = |result: &'static str| {
        metrics::counter!("cyclamengauge_configuration_parts_total", "result" => result)
            .increment(1);
    };
    match answer {
        Answer::Part { part, wait } => {
            count("sent");
            actix_rt::time::sleep(wait).await;
            server::json(200, part.encode_to_vec())
        }
        Answer::Busy(retry_after) => {
            count("busy");
            let busy = v1::ConfigurationPart {
                retry_after_ms: Some(retry_after.as_millis() as u32),
                ..v1::ConfigurationPart::default()
            };
            server::json(200, busy.encode_to_vec())
        }
        Answer::Nothing => server::text(404, "not found\n"),
    }
}

/// Passes the whole configuration on to a peer of an older build; the status is 404 while
/// there is none.
pub(super) fn serve_whole(gateway: &Gateway) -> ServerResponse<BoxBody> {
    let versions = gateway.configuration_versions.borrow();
    let Some(stored) = versions.get(versions.current()) else {
        return server::text(404, "not found\n");
    };
    let now = gateway.clock.now();
    gateway
        .configuration_offers
        .borrow_mut()
        .record_whole(stored.len(), now);
    gateway.own_link.record_bytes(stored.len());
    server::json(200, Bytes::copy_from_slice(stored))
}
