//! Exchanges with the other instances: who is told what, and when.

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

/// Time between two exchanges without news.
const PERIOD: Duration = Duration::from_secs(1);

/// Peers told at once about a new configuration.
const FANOUT: usize = 4;

/// Time for a peer to answer.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Verdicts in one message.
const MAX_VERDICTS: usize = 64;

/// Engines in one message's load hints.
pub const MAX_HINTS: usize = 8;

/// Exchanges with peers for the life of the daemon.
pub async fn run(node: Rc<Node>) {
    let mut channels: HashMap<String, PeerClient<Channel>> = HashMap::new();
    let mut turn = fastrand::usize(..);
    loop {
        let news = node.version_changed.notified();
        let pause = PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0);
        let told = tokio::select! {
            () = news => FANOUT,
            () = actix_rt::time::sleep(pause) => 1,
        };
        for _ in 0..told.min(node.settings.peers.len()) {
            turn = turn.wrapping_add(1);
            let peer = &node.settings.peers[turn % node.settings.peers.len()];
            let Some(client) = channel(&mut channels, peer) else {
                continue;
            };
            actix_rt::spawn(one(Rc::clone(&node), client, peer.instance.clone()));
        }
    }
}

/// Takes in a peer's message and answers with what it lacks.
pub fn answer(node: &Rc<Node>, message: v1::ExchangeRequest) -> v1::ExchangeReply {
    let behind = message.version;
    learn(
        node,
        &message.instance,
        News {
            version: message.version,
            accepted: message.accepted,
            deltas: message.deltas,
            verdicts: message.verdicts,
            loads: message.loads,
            leaving: message.leaving,
        },
    );
    let (accepted, deltas) = news_for(node, behind);
    v1::ExchangeReply {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        version: node.current_configuration.borrow().version(),
        accepted,
        deltas,
        verdicts: verdicts(node),
        loads: loads(node),
        mac: Vec::new(),
        sent_unix_ms: unix_ms(),
    }
}

/// What a message tells.
struct News {
    version: u64,
    accepted: Option<v1::Accepted>,
    deltas: Vec<v1::Delta>,
    verdicts: Vec<v1::Verdict>,
    loads: Vec<v1::LoadHint>,
    leaving: bool,
}

fn channel(
    channels: &mut HashMap<String, PeerClient<Channel>>,
    peer: &v1::PeerAddress,
) -> Option<PeerClient<Channel>> {
    if let Some(client) = channels.get(&peer.instance) {
        return Some(client.clone());
    }
    let endpoint = Endpoint::from_shared(format!("http://{}", peer.address)).ok()?;
    let channel = endpoint
        .connect_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .connect_lazy();
    let client = PeerClient::new(channel);
    channels.insert(peer.instance.clone(), client.clone());
    Some(client)
}

/// Exchanges with one peer. A peer that turns out to be behind, of which nothing
/// was known before, is sent the news at once.
async fn one(node: Rc<Node>, mut client: PeerClient<Channel>, peer: String) {
    let Some(version) = exchange(&node, &mut client, &peer).await else {
        return;
    };
    if version < node.current_configuration.borrow().version() {
        exchange(&node, &mut client, &peer).await;
    }
}

/// Sends one message; returns the version that the peer has, if it answers.
async fn exchange(node: &Rc<Node>, client: &mut PeerClient<Channel>, peer: &str) -> Option<u64> {
    let mut message = request(node, peer);
    mac::sign_request(&mut message, &node.peer_key);
    metrics::counter!("cyclamengauge_peer_exchanges_total").increment(1);
    let reply = match client.exchange(message).await {
        Ok(reply) => reply.into_inner(),
        Err(status) => {
            tracing::debug!(%peer, %status, "peer: {peer} does not answer");
            metrics::counter!("cyclamengauge_peer_failures_total").increment(1);
            return None;
        }
    };
    if !mac::verify_reply(&reply, &node.peer_key) {
        tracing::warn!(%peer, "peer: the reply of {peer} has a wrong MAC");
        return None;
    }
    let version = reply.version;
    let news = News {
        version,
        accepted: reply.accepted,
        deltas: reply.deltas,
        verdicts: reply.verdicts,
        loads: reply.loads,
        leaving: false,
    };
    learn(node, peer, news);
    Some(version)
}

fn request(node: &Node, peer: &str) -> v1::ExchangeRequest {
    // A configuration is sent only to a peer known to be behind.
    let known = node.peers.borrow().get(peer).map(|view| view.version);
    let (accepted, deltas) = match known {
        Some(version) => news_for(node, version),
        None => (None, Vec::new()),
    };
    v1::ExchangeRequest {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        data_centre: node.settings.data_centre.clone(),
        version: node.current_configuration.borrow().version(),
        accepted,
        deltas,
        verdicts: verdicts(node),
        loads: loads(node),
        leaving: node.shutting_down.get(),
        mac: Vec::new(),
        sent_unix_ms: 0,
    }
}

/// What leads a peer from its version to ours: differences if they are known,
/// else the whole configuration.
fn news_for(node: &Node, version: u64) -> (Option<v1::Accepted>, Vec<v1::Delta>) {
    let current_configuration = node.current_configuration.borrow();
    let Some(accepted) = current_configuration
        .accepted()
        .filter(|a| a.version > version)
    else {
        return (None, Vec::new());
    };
    match current_configuration.deltas_since(version) {
        Some(deltas) => (None, deltas),
        None => (Some(accepted.clone()), Vec::new()),
    }
}

fn verdicts(node: &Node) -> Vec<v1::Verdict> {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    let notices = dispatcher.quarantine().notices(MAX_VERDICTS, now);
    let verdict = |notice: quarantine::Notice| v1::Verdict {
        fingerprint: notice.fingerprint.0.to_vec(),
        quarantined: notice.quarantined,
        crashes: notice.crashes,
        rest_ms: notice.rest.as_millis() as u64,
    };
    notices.into_iter().map(verdict).collect()
}

/// The engines on which most of this instance's prompt tokens wait.
fn loads(node: &Node) -> Vec<v1::LoadHint> {
    let dispatcher = node.dispatcher.borrow();
    let engines = dispatcher.fleet().engines().iter();
    let mut hints: Vec<v1::LoadHint> = engines
        .map(|engine| v1::LoadHint {
            engine: engine.facts.id.to_string(),
            prefill_tokens: engine.load.own_unread().get(),
        })
        .filter(|hint| hint.prefill_tokens > 0)
        .collect();
    hints.sort_by_key(|hint| std::cmp::Reverse(hint.prefill_tokens));
    hints.truncate(MAX_HINTS);
    hints
}

fn learn(node: &Rc<Node>, peer: &str, news: News) {
    learn_view(node, peer, &news);
    let now = node.clock.now();
    if let Some(accepted) = news.accepted {
        node.adopt_configuration(accepted);
    }
    node.adopt_deltas(&news.deltas);
    let mut dispatcher = node.dispatcher.borrow_mut();
    for verdict in news.verdicts {
        let Ok(fingerprint) = verdict.fingerprint.try_into() else {
            continue;
        };
        let notice = quarantine::Notice {
            fingerprint: Fingerprint(fingerprint),
            quarantined: verdict.quarantined,
            crashes: verdict.crashes,
            rest: Duration::from_millis(verdict.rest_ms),
        };
        dispatcher.learn_verdict(&notice, now);
    }
    for (engine, tokens) in unread_of_peers(node) {
        dispatcher.hinted(&engine, tokens, now);
    }
}

fn learn_view(node: &Rc<Node>, peer: &str, news: &News) {
    let mut peers = node.peers.borrow_mut();
    let view = peers.entry(peer.to_owned()).or_default();
    let left = view.leaving != news.leaving;
    view.version = view.version.max(news.version);
    view.seen_at = Some(node.clock.now());
    view.leaving = news.leaving;
    view.loads = news
        .loads
        .iter()
        .map(|hint| (EngineId::new(&hint.engine), Tokens(hint.prefill_tokens)))
        .collect();
    drop(peers);
    if left {
        node.update_instance_count();
    }
}

fn unread_of_peers(node: &Node) -> HashMap<EngineId, Tokens> {
    let mut sums: HashMap<EngineId, Tokens> = HashMap::new();
    for view in node.peers.borrow().values() {
        for (engine, tokens) in &view.loads {
            *sums.entry(engine.clone()).or_default() += *tokens;
        }
    }
    sums
}
