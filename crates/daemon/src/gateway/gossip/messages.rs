//! Encoding and decoding of gossip messages.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, PromptPartId, ServiceId},
    request::Fingerprint,
    serving::{
        dissemination::DueMessage,
        pace::PaceReport,
        prompt_parts::{EngineCrash, PartReport},
        queue::QueuedPrompt,
        reachability::{PathReport, PeerReport},
        target_list::ListVersion,
        targets::{
            self, Load, LoadReport, Targets,
            evacuation::{EvacuationReport, MAX_EVACUATED},
            limits::LimitReport,
        },
        watchers::WatchState,
    },
    text::SmolStr,
    units::{MegabitsPerSecond, RequestsPerSecond, Tokens},
};
use cyclamengauge_schema::v1;

use crate::gateway::{self, Gateway, watch};

/// Maximum age of the latest crash of a content in gossip messages.
const MAX_REPORTED_CRASH_AGE: Duration = Duration::from_secs(60);

/// Maximum age of the latest crash or completion of a prompt part in messages with
/// changes, so that peers learn of it before the next complete state.
const MAX_REPORTED_PART_AGE: Duration = Duration::from_millis(200);

/// Builds a gossip message with this instance's loads, queued long prompts,
/// leaving targets, recent crashes and versions. A message with changes has only the
/// loads that changed since the last one.
pub(super) fn build_message(
    gateway: &Gateway,
    message: DueMessage,
    sequence: u64,
    now: Instant,
) -> v1::Gossip {
    let settings = gateway.settings.borrow();
    let (loads, target_limits, paces) = match message {
        DueMessage::Changes => {
            let mut targets = gateway.targets.borrow_mut();
            let limits = targets.limits.take_changed_reports(now);
            let paces = targets.pace.take_changed_reports(now);
            (targets.take_changed_loads(now), limits, paces)
        }
        DueMessage::CompleteState => {
            let mut targets = gateway.targets.borrow_mut();
            let paces = targets.pace.reports(now);
            (targets.own_loads(now), targets.limits.reports(now), paces)
        }
    };
    let has_news = gateway.reachability.borrow_mut().take_news();
    let paths = match has_news || message == DueMessage::CompleteState {
        true => gateway.reachability.borrow().reports(now),
        false => Vec::new(),
    };
    let targets = gateway.targets.borrow();
    let loads = loads.iter().map(|(id, load)| {
        let last_received_at = targets.get(id).and_then(|target| target.last_received_at());
        encode_load(id, load, last_received_at.map(|at| now - at))
    });
    let loads: Vec<v1::TargetLoad> = loads.collect();
    let queued_prompts = gateway.queue.borrow().local_prompts(now);
    let leaving = encode_leaving(&targets, now);
    let evacuations = targets.evacuations.report().cloned();
    let knows_evacuations = evacuations.is_some();
    let evacuations = evacuations.unwrap_or_default();
    let crashes = gateway.crashes.borrow().recent(MAX_REPORTED_CRASH_AGE, now);
    let list_version = gateway.target_list.borrow().version();
    let prompt_parts = gateway.prompt_parts.borrow();
    let parts = match message {
        DueMessage::Changes => prompt_parts.recent_reports(MAX_REPORTED_PART_AGE, now),
        DueMessage::CompleteState => prompt_parts.reports(now),
    };
    v1::Gossip {
        instance: settings.instance.to_string(),
        incarnation: gateway.incarnation,
        sequence,
        peer_address: settings.peer_listen.to_string(),
        configuration_version: gateway.configuration_version(),
        loads,
        crashes: crashes.into_iter().map(encode_crashes).collect(),
        waiting: queued_prompts.iter().map(encode_queued_prompt).collect(),
        leaving,
        list_version: list_version.number,
        list_era: list_version.era,
        changes_only: message == DueMessage::Changes,
        data_centre: settings.data_centre.to_string(),
        forward: false,
        watch_state: encode_watch_state(watch::watch_state(gateway)).into(),
        store_success_age_ms: gateway
            .last_store_success_at
            .get()
            .map(|at| (now - at).as_millis() as u32),
        part_crashes: parts.iter().map(|part| encode_part(part, now)).collect(),
        target_limits: target_limits.iter().map(encode_target_limit).collect(),
        paths: paths.iter().map(encode_path).collect(),
        requests_in_progress: gateway.requests_in_progress.get() as u32,
        takes_requests: gateway.takes_requests(),
        evacuated_data_centres: evacuations
            .evacuated
            .iter()
            .map(DataCentreId::to_string)
            .collect(),
        evacuation_version: evacuations.version.number,
        evacuation_era: evacuations.version.era,
        knows_evacuations,
        link_mbps: gateway::link(&settings).map(MegabitsPerSecond::rounded),
        serves_configuration_parts: true,
        target_paces: paces.iter().map(encode_pace).collect(),
    }
}

/// Decodes the evacuated data centres that a peer knows; none if it knows nothing of them.
pub(super) fn decode_evacuations(gossip: &v1::Gossip) -> Option<EvacuationReport> {
    let evacuated = gossip.evacuated_data_centres.iter().take(MAX_EVACUATED);
    gossip.knows_evacuations.then(|| EvacuationReport {
        version: ListVersion {
            era: gossip.evacuation_era,
            number: gossip.evacuation_version,
        },
        evacuated: evacuated.map(DataCentreId::new).collect(),
    })
}

/// Encodes this instance's load on a target. `last_received_age` is the time since
/// the latest bytes from the target.
fn encode_load(id: &EngineId, load: &Load, last_received_age: Option<Duration>) -> v1::TargetLoad {
    v1::TargetLoad {
        target: id.to_string(),
        requests: load.requests,
        writers: load.decoding_streams,
        backlog_ms: load.backlog.as_millis() as u32,
        overdue_backlog_ms: load.overdue_backlog.as_millis() as u32,
        overdue_in_ms: load.overdue_in.as_millis() as u32,
        memory_tokens: load.memory.get(),
        strictest_gap_ms: load.strictest_gap.map_or(0, |gap| gap.as_millis() as u32),
        value: load.value as f32,
        heard_ms: last_received_age.map(|age| age.as_millis() as u32),
    }
}

/// Decodes the loads in a peer's message.
pub(super) fn decode_load_report(gossip: &v1::Gossip) -> LoadReport {
    LoadReport {
        sequence: gossip.sequence,
        is_complete: !gossip.changes_only,
        loads: gossip.loads.iter().map(decode_load).collect(),
    }
}

/// Decodes a peer's load on a target.
fn decode_load(load: &v1::TargetLoad) -> (EngineId, Load) {
    let gap = Duration::from_millis(u64::from(load.strictest_gap_ms));
    let decoded = Load {
        requests: load.requests,
        decoding_streams: load.writers,
        backlog: Duration::from_millis(u64::from(load.backlog_ms)),
        overdue_backlog: Duration::from_millis(u64::from(load.overdue_backlog_ms)),
        overdue_in: Duration::from_millis(u64::from(load.overdue_in_ms)),
        memory: Tokens(load.memory_tokens),
        strictest_gap: (!gap.is_zero()).then_some(gap),
        value: f64::from(load.value),
    };
    (EngineId::new(&load.target), decoded)
}

/// Decodes the version of a peer's target list.
pub(super) fn decode_list_version(gossip: &v1::Gossip) -> ListVersion {
    ListVersion {
        era: gossip.list_era,
        number: gossip.list_version,
    }
}

fn encode_watch_state(state: WatchState) -> v1::WatchState {
    match state {
        WatchState::Watching => v1::WatchState::Watching,
        WatchState::Fetching => v1::WatchState::Fetching,
        WatchState::Failing => v1::WatchState::Failing,
    }
}

/// Decodes a peer's watch state. One that is missing or unknown counts as failing, so
/// that no instance relies on the peer.
pub(super) fn decode_watch_state(gossip: &v1::Gossip) -> WatchState {
    match gossip.watch_state() {
        v1::WatchState::Watching => WatchState::Watching,
        v1::WatchState::Fetching => WatchState::Fetching,
        v1::WatchState::Failing | v1::WatchState::Unspecified => WatchState::Failing,
    }
}

/// Encodes the targets that are excluded as they are leaving, and those that said so.
fn encode_leaving(targets: &Targets, now: Instant) -> Vec<v1::LeavingTarget> {
    let mut leaving: BTreeMap<EngineId, v1::LeavingTarget> = BTreeMap::new();
    for (id, remaining) in targets.leaving(now) {
        let target = v1::LeavingTarget {
            target: id.to_string(),
            rest_ms: remaining.as_millis() as u64,
            leaving_process_started_unix_ms: None,
        };
        leaving.insert(id, target);
    }
    for process in targets.leaving_processes(now) {
        let target = v1::LeavingTarget {
            target: process.target.to_string(),
            rest_ms: targets::LEAVING_BACKOFF.as_millis() as u64,
            leaving_process_started_unix_ms: Some(process.started_unix_ms),
        };
        leaving.insert(process.target, target);
    }
    leaving.into_values().collect()
}

fn encode_queued_prompt(prompt: &QueuedPrompt) -> v1::WaitingPrompt {
    v1::WaitingPrompt {
        slack_ms: prompt.slack_ms,
        work_ms: prompt.prefill_time.as_millis() as u64,
    }
}

/// Decodes a long prompt that is queued at a peer.
pub(super) fn decode_queued_prompt(prompt: &v1::WaitingPrompt) -> QueuedPrompt {
    QueuedPrompt {
        slack_ms: prompt.slack_ms,
        prefill_time: Duration::from_millis(prompt.work_ms),
    }
}

fn encode_target_limit(report: &LimitReport) -> v1::TargetLimit {
    let millis = |age: Duration| age.as_millis() as u64;
    v1::TargetLimit {
        target: report.target.to_string(),
        limit_per_s: report.limit.get(),
        named_age_ms: report.named_age.map(millis),
        doubted_age_ms: report.doubted_age.map(millis),
        withdrawn_age_ms: report.withdrawn_age.map(millis),
        sent_count: report.sent_count,
    }
}

/// Decodes what a peer knows of a target's limit, and its requests to the target.
pub(super) fn decode_target_limit(limit: &v1::TargetLimit) -> LimitReport {
    LimitReport {
        target: EngineId::new(&limit.target),
        limit: RequestsPerSecond(limit.limit_per_s),
        named_age: limit.named_age_ms.map(Duration::from_millis),
        doubted_age: limit.doubted_age_ms.map(Duration::from_millis),
        withdrawn_age: limit.withdrawn_age_ms.map(Duration::from_millis),
        sent_count: limit.sent_count,
    }
}

fn encode_pace(report: &PaceReport) -> v1::TargetPace {
    v1::TargetPace {
        target: report.target.to_string(),
        slowdown_percent: (report.slowdown * 100.0).round() as u32,
        weight_tenths: (report.weight * 10.0).ceil() as u32,
        age_ms: report.age.as_millis() as u32,
        knee_tenths: report.knee.map_or(0, |knee| (knee * 10.0).ceil() as u32),
    }
}

/// Decodes a peer's estimate of a target's speed.
pub(super) fn decode_pace(pace: &v1::TargetPace) -> PaceReport {
    PaceReport {
        target: EngineId::new(&pace.target),
        slowdown: f64::from(pace.slowdown_percent) / 100.0,
        weight: f64::from(pace.weight_tenths) / 10.0,
        knee: (pace.knee_tenths > 0).then(|| f64::from(pace.knee_tenths) / 10.0),
        age: Duration::from_millis(u64::from(pace.age_ms)),
    }
}

fn encode_path(path: &PathReport) -> v1::ServicePath {
    v1::ServicePath {
        service: path.service.to_string(),
        open: path.is_open,
        connected_age_ms: path.connected_age.map(|age| age.as_millis() as u64),
    }
}

/// Decodes what a peer that listens at `address` reports of itself and its paths.
pub(super) fn decode_peer_report(gossip: &v1::Gossip, address: SocketAddr) -> PeerReport {
    let paths = gossip.paths.iter().map(|path| PathReport {
        service: ServiceId::new(&path.service),
        is_open: path.open,
        connected_age: path.connected_age_ms.map(Duration::from_millis),
    });
    PeerReport {
        instance: InstanceId::new(&gossip.instance),
        address,
        incarnation: gossip.incarnation,
        data_centre: DataCentreId::new(&gossip.data_centre),
        requests_in_progress: gossip.requests_in_progress,
        takes_requests: gossip.takes_requests,
        paths: paths.collect(),
    }
}

fn encode_part(report: &PartReport, now: Instant) -> v1::PartCrashes {
    let age_ms = |at: Instant| (now - at).as_millis() as u64;
    let crashes = report.crashes.iter().map(|crash| v1::EngineCrash {
        engine: crash.engine.to_string(),
        age_ms: age_ms(crash.at),
    });
    v1::PartCrashes {
        part: report.part.to_string(),
        position: report.position,
        crashes: crashes.collect(),
        completion_age_ms: report.completed_at.map(age_ms),
        has_other_completed: report.has_other_completed,
    }
}

/// Decodes what a peer knows of a part of prompts.
pub(super) fn decode_part(part: &v1::PartCrashes, now: Instant) -> PartReport {
    let at = |age_ms| {
        let age = Duration::from_millis(age_ms);
        Instant::from_start(now.since_start().saturating_sub(age))
    };
    let crashes = part.crashes.iter().map(|crash| EngineCrash {
        engine: EngineId::new(&crash.engine),
        at: at(crash.age_ms),
    });
    PartReport {
        part: PromptPartId::new(&part.part),
        position: part.position,
        crashes: crashes.collect(),
        completed_at: part.completion_age_ms.map(at),
        has_other_completed: part.has_other_completed,
    }
}

fn encode_crashes((content, crash_ids): (Fingerprint, Vec<SmolStr>)) -> v1::ContentCrashes {
    v1::ContentCrashes {
        fingerprint: content.0.to_vec(),
        crashes: crash_ids.iter().map(SmolStr::to_string).collect(),
    }
}
