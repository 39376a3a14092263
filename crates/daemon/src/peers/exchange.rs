//! Periodic exchange of configuration, quarantine verdicts and load hints with the
//! other instances.

use std::{collections::HashMap, rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::EngineId, recovery::quarantine, request::Fingerprint, units::Tokens,
};
use cyclamengauge_schema::v1::{self, peer_client::PeerClient};
use tonic::transport::{Channel, Endpoint};

use crate::{
    node::{Node, unix_ms},
    peers::mac,
};

/// Mean time between two exchanges while the configuration does not change.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Peers to which a new configuration is sent at once.
const CONFIGURATION_FANOUT: usize = 4;

/// Time limit of connecting to a peer, and of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Most quarantine verdicts in one message.
const MAX_VERDICTS: usize = 64;

/// Most load hints in one message, one for each engine.
pub const MAX_LOAD_HINTS: usize = 8;

/// Exchanges messages with the peers in turn until the daemon exits. Intervals are
/// randomised by up to a quarter, and a new configuration is sent to several peers at once.
pub async fn run(node: Rc<Node>) {
    let mut clients: HashMap<String, PeerClient<Channel>> = HashMap::new();
    let mut peer_index = fastrand::usize(..);
    loop {
        let version_changed = node.version_changed.notified();
        let interval = EXCHANGE_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0);
        let peer_count = tokio::select! {
            () = version_changed => CONFIGURATION_FANOUT,
            () = actix_rt::time::sleep(interval) => 1,
        };
        for _ in 0..peer_count.min(node.settings.peers.len()) {
            peer_index = peer_index.wrapping_add(1);
            let peer = &node.settings.peers[peer_index % node.settings.peers.len()];
            let Some(client) = peer_client(&mut clients, peer) else {
                continue;
            };
            actix_rt::spawn(exchange_with_peer(
                Rc::clone(&node),
                client,
                peer.instance.clone(),
            ));
        }
    }
}

/// Applies a peer's message and builds the unsigned reply, with the configuration
/// changes that the peer lacks.
pub fn handle_request(node: &Rc<Node>, message: v1::ExchangeRequest) -> v1::ExchangeReply {
    let peer_version = message.version;
    apply_update(
        node,
        &message.instance,
        PeerUpdate {
            version: message.version,
            accepted: message.accepted,
            deltas: message.deltas,
            verdicts: message.verdicts,
            loads: message.loads,
            leaving: message.leaving,
        },
    );
    let (accepted, deltas) = changes_since(node, peer_version);
    v1::ExchangeReply {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        version: node.current_configuration.borrow().version(),
        accepted,
        deltas,
        verdicts: quarantine_verdicts(node),
        loads: load_hints(node),
        mac: Vec::new(),
        sent_unix_ms: unix_ms(),
    }
}

/// State of a peer and changes to apply, from a request or a reply.
struct PeerUpdate {
    version: u64,
    accepted: Option<v1::Accepted>,
    deltas: Vec<v1::Delta>,
    verdicts: Vec<v1::Verdict>,
    loads: Vec<v1::LoadHint>,
    leaving: bool,
}

fn peer_client(
    clients: &mut HashMap<String, PeerClient<Channel>>,
    peer: &v1::PeerAddress,
) -> Option<PeerClient<Channel>> {
    if let Some(client) = clients.get(&peer.instance) {
        return Some(client.clone());
    }
    let endpoint = Endpoint::from_shared(format!("http://{}", peer.address)).ok()?;
    let channel = endpoint
        .connect_timeout(EXCHANGE_TIMEOUT)
        .timeout(EXCHANGE_TIMEOUT)
        .connect_lazy();
    let client = PeerClient::new(channel);
    clients.insert(peer.instance.clone(), client.clone());
    Some(client)
}

/// Exchanges messages with one peer. The first request to a peer of unknown version
/// carries no configuration, so a second one follows if the reply shows an older version.
async fn exchange_with_peer(node: Rc<Node>, mut client: PeerClient<Channel>, peer: String) {
    let Some(version) = exchange(&node, &mut client, &peer).await else {
        return;
    };
    if version < node.current_configuration.borrow().version() {
        exchange(&node, &mut client, &peer).await;
    }
}

/// Sends one request and applies the reply; returns the peer's configuration
/// version, or none without a valid reply.
async fn exchange(node: &Rc<Node>, client: &mut PeerClient<Channel>, peer: &str) -> Option<u64> {
    let mut message = build_request(node, peer);
    mac::sign_request(&mut message, &node.peer_key);
    metrics::counter!("cyclamengauge_peer_exchanges_total").increment(1);
    let reply = match client.exchange(message).await {
        Ok(reply) => reply.into_inner(),
        Err(status) => {
            tracing::debug!(%peer, %status, "peer: exchange with {peer} failed: {status}");
            metrics::counter!("cyclamengauge_peer_failures_total").increment(1);
            return None;
        }
    };
    if !mac::verify_reply(&reply, &node.peer_key) {
        tracing::warn!(%peer, "peer: reply of {peer} ignored: its MAC is wrong or its send time too far off");
        return None;
    }
    let version = reply.version;
    let update = PeerUpdate {
        version,
        accepted: reply.accepted,
        deltas: reply.deltas,
        verdicts: reply.verdicts,
        loads: reply.loads,
        leaving: false,
    };
    apply_update(node, peer, update);
    Some(version)
}

fn build_request(node: &Node, peer: &str) -> v1::ExchangeRequest {
    // Configuration changes are sent only to a peer that is known to have an older
    // version.
    let peer_version = node.peers.borrow().get(peer).map(|view| view.version);
    let (accepted, deltas) = match peer_version {
        Some(version) => changes_since(node, version),
        None => (None, Vec::new()),
    };
    v1::ExchangeRequest {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        data_centre: node.settings.data_centre.clone(),
        version: node.current_configuration.borrow().version(),
        accepted,
        deltas,
        verdicts: quarantine_verdicts(node),
        loads: load_hints(node),
        leaving: node.shutting_down.get(),
        mac: Vec::new(),
        sent_unix_ms: 0,
    }
}

/// Returns what a peer at `version` needs to reach the version of this instance: the
/// deltas if this instance still has them, else the complete configuration.
fn changes_since(node: &Node, version: u64) -> (Option<v1::Accepted>, Vec<v1::Delta>) {
    let current = node.current_configuration.borrow();
    let Some(accepted) = current.accepted().filter(|a| a.version > version) else {
        return (None, Vec::new());
    };
    match current.deltas_since(version) {
        Some(deltas) => (None, deltas),
        None => (Some(accepted.clone()), Vec::new()),
    }
}

fn quarantine_verdicts(node: &Node) -> Vec<v1::Verdict> {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    let notices = dispatcher
        .quarantine()
        .quarantined_verdicts(MAX_VERDICTS, now);
    let verdict = |notice: quarantine::PeerVerdict| v1::Verdict {
        fingerprint: notice.fingerprint.0.to_vec(),
        quarantined: notice.quarantined,
        crashes: notice.crashes,
        rest_ms: notice.remaining.as_millis() as u64,
    };
    notices.into_iter().map(verdict).collect()
}

/// Returns the prompt tokens that this instance has queued for prefill, for the
/// engines with the most of them.
fn load_hints(node: &Node) -> Vec<v1::LoadHint> {
    let dispatcher = node.dispatcher.borrow();
    let engines = dispatcher.fleet().engines().iter();
    let mut hints: Vec<v1::LoadHint> = engines
        .map(|engine| v1::LoadHint {
            engine: engine.facts.id.to_string(),
            prefill_tokens: engine.load.own_prefill_backlog().get(),
        })
        .filter(|hint| hint.prefill_tokens > 0)
        .collect();
    hints.sort_by_key(|hint| std::cmp::Reverse(hint.prefill_tokens));
    hints.truncate(MAX_LOAD_HINTS);
    hints
}

fn apply_update(node: &Rc<Node>, peer: &str, update: PeerUpdate) {
    update_view(node, peer, &update);
    let now = node.clock.now();
    if let Some(accepted) = update.accepted {
        node.adopt_configuration(accepted);
    }
    node.adopt_deltas(&update.deltas);
    let mut dispatcher = node.dispatcher.borrow_mut();
    for verdict in update.verdicts {
        let Ok(fingerprint) = verdict.fingerprint.try_into() else {
            continue;
        };
        let notice = quarantine::PeerVerdict {
            fingerprint: Fingerprint(fingerprint),
            quarantined: verdict.quarantined,
            crashes: verdict.crashes,
            remaining: Duration::from_millis(verdict.rest_ms),
        };
        dispatcher.handle_peer_verdict(&notice, now);
    }
    for (engine, tokens) in peer_prefill_tokens(node) {
        dispatcher.handle_load_hint(&engine, tokens, now);
    }
}

/// Records the peer's version, state and load hints. A change of `leaving` changes the
/// number of instances that share the traffic.
fn update_view(node: &Rc<Node>, peer: &str, update: &PeerUpdate) {
    let mut peers = node.peers.borrow_mut();
    let view = peers.entry(peer.to_owned()).or_default();
    let leaving_changed = view.leaving != update.leaving;
    view.version = view.version.max(update.version);
    view.seen_at = Some(node.clock.now());
    view.leaving = update.leaving;
    view.loads = update
        .loads
        .iter()
        .map(|hint| (EngineId::new(&hint.engine), Tokens(hint.prefill_tokens)))
        .collect();
    drop(peers);
    if leaving_changed {
        node.update_instance_count();
    }
}

/// Sums the queued prefill tokens in the last load hints of all peers, by engine.
fn peer_prefill_tokens(node: &Node) -> HashMap<EngineId, Tokens> {
    let mut tokens_by_engine: HashMap<EngineId, Tokens> = HashMap::new();
    for view in node.peers.borrow().values() {
        for (engine, tokens) in &view.loads {
            *tokens_by_engine.entry(engine.clone()).or_default() += *tokens;
        }
    }
    tokens_by_engine
}
