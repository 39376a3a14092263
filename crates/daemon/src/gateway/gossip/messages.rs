//! The datagram between instances, from and to the core's types.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::EngineId,
    request::Fingerprint,
    serving::{queue::QueuedPrompt, targets::Load},
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_schema::v1;

use crate::gateway::Gateway;

/// Age up to which crashes are told.
const CRASH_NEWS_TIME: Duration = Duration::from_secs(60);

/// All that this instance has in progress and believes.
pub(super) fn gossip(gateway: &Gateway, sequence: u64, now: Instant) -> v1::Gossip {
    let settings = gateway.settings.borrow();
    let targets = gateway.targets.borrow();
    let loads = targets.own_loads(now);
    let loads = loads.iter().map(|(id, load)| {
        let last_received_at = targets.get(id).and_then(|target| target.last_received_at());
        encode_load(id, load, last_received_at.map(|at| now - at))
    });
    let loads: Vec<v1::TargetLoad> = loads.collect();
    let waiting = gateway.queue.borrow().local_prompts(now);
    let leaving = targets.leaving(now);
    let crashes = gateway.crashes.borrow().recent(CRASH_NEWS_TIME, now);
    v1::Gossip {
        instance: settings.instance.to_string(),
        incarnation: gateway.incarnation,
        sequence,
        peer_address: settings.peer_listen.to_string(),
        configuration_version: gateway.configuration_version(),
        loads,
        crashes: crashes.into_iter().map(encode_crashes).collect(),
        waiting: waiting.iter().map(encode_waiting).collect(),
        leaving: leaving.iter().map(encode_leaving).collect(),
        list_version: gateway.list_version.get().0,
    }
}

fn encode_load(id: &EngineId, load: &Load, heard: Option<Duration>) -> v1::TargetLoad {
    v1::TargetLoad {
        target: id.to_string(),
        requests: load.requests,
        writers: load.decoding_streams,
        backlog_ms: load.backlog.as_millis() as u32,
        memory_tokens: load.memory.get(),
        strictest_gap_ms: load.strictest_gap.map_or(0, |gap| gap.as_millis() as u32),
        value: load.value as f32,
        heard_ms: heard.map(|age| age.as_millis() as u32),
    }
}

/// A peer's load on a target.
pub(super) fn decode_load(load: &v1::TargetLoad) -> (EngineId, Load) {
    let gap = Duration::from_millis(u64::from(load.strictest_gap_ms));
    let decoded = Load {
        requests: load.requests,
        decoding_streams: load.writers,
        backlog: Duration::from_millis(u64::from(load.backlog_ms)),
        memory: Tokens(load.memory_tokens),
        strictest_gap: (!gap.is_zero()).then_some(gap),
        value: f64::from(load.value),
    };
    (EngineId::new(&load.target), decoded)
}

fn encode_leaving((id, rest): &(EngineId, Duration)) -> v1::LeavingTarget {
    v1::LeavingTarget {
        target: id.to_string(),
        rest_ms: rest.as_millis() as u64,
    }
}

fn encode_waiting(waiting: &QueuedPrompt) -> v1::WaitingPrompt {
    v1::WaitingPrompt {
        slack_ms: waiting.slack_ms,
        work_ms: waiting.prefill_time.as_millis() as u64,
    }
}

/// A long prompt that waits at a peer.
pub(super) fn decode_waiting(waiting: &v1::WaitingPrompt) -> QueuedPrompt {
    QueuedPrompt {
        slack_ms: waiting.slack_ms,
        prefill_time: Duration::from_millis(waiting.work_ms),
    }
}

fn encode_crashes((content, crashes): (Fingerprint, Vec<SmolStr>)) -> v1::ContentCrashes {
    v1::ContentCrashes {
        fingerprint: content.0.to_vec(),
        crashes: crashes.iter().map(SmolStr::to_string).collect(),
    }
}
