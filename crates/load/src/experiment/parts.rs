//! The engines of an experiment, the messages to and from them, and names.

use std::collections::HashMap;

use cyclamengauge_core::{
    admission,
    dispatch::Failure,
    ids::{AccountId, AttemptId, EngineId, ModelId},
    recovery::reservation::Reply,
    request::{Fingerprint, PrefixHash},
    routing::{self, Backlog, CacheEvent},
    units::Tokens,
};

use crate::model::{Engine, Job, Spec};

/// Instances that share the traffic.
pub(super) const INSTANCES: usize = 4;

/// Bits of a job's number that hold the attempt; the rest is the instance.
const ATTEMPT_BITS: u32 = 48;

/// A message to an engine.
#[derive(Clone, Debug)]
pub(super) enum ToEngine {
    Submit {
        instance: usize,
        job: Job,
    },
    Cancel {
        job: u64,
    },
    Reserve {
        instance: usize,
        attempt: AttemptId,
        memory: u64,
    },
    Release {
        instance: usize,
        attempt: AttemptId,
    },
    Report {
        instance: usize,
    },
}

/// A message to an instance.
#[derive(Clone, Debug)]
pub(super) enum ToInstance {
    First {
        attempt: AttemptId,
        /// Its position in the answer.
        first: u64,
    },
    Done {
        attempt: AttemptId,
    },
    SegmentDone {
        attempt: AttemptId,
    },
    Failed {
        attempt: AttemptId,
        failure: Failure,
    },
    Reserved {
        attempt: AttemptId,
        reply: Reply,
    },
    Released {
        attempt: AttemptId,
    },
    Dead,
    Report,
}

/// A report on its way.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) load: routing::LoadReport,
    pub(super) first_event: u64,
    pub(super) events: Vec<CacheEvent>,
}

pub(super) struct EngineState {
    pub(super) engine: Engine,
    pub(super) busy: bool,
    pub(super) alive: bool,
    pub(super) epoch: u64,
    /// Which instance sent each job, and the position of its first token.
    pub(super) owners: HashMap<u64, (usize, u64)>,
    /// Cache changes by number, for instances that lag behind each other.
    pub(super) changes: Vec<CacheEvent>,
    pub(super) sent_changes: Vec<usize>,
}

impl EngineState {
    pub(super) fn new(spec: Spec) -> Self {
        Self {
            engine: Engine::new(spec),
            busy: false,
            alive: true,
            epoch: 0,
            owners: HashMap::new(),
            changes: Vec::new(),
            sent_changes: vec![0; INSTANCES],
        }
    }

    pub(super) fn snapshot(&mut self, instance: usize) -> Snapshot {
        let (_, fresh) = self.engine.cache_mut().take_events();
        self.changes
            .extend(fresh.into_iter().map(|(hash, evicted)| match evicted {
                true => CacheEvent::Evicted(PrefixHash(hash)),
                false => CacheEvent::Stored(PrefixHash(hash)),
            }));
        let first = self.sent_changes[instance];
        self.sent_changes[instance] = self.changes.len();
        Snapshot {
            load: routing::LoadReport {
                backlog: Backlog::from_levels(&self.engine.unread()),
                running: self.engine.running() as u32,
                waiting: self.engine.waiting() as u32,
                reserved: Tokens(self.engine.reserved()),
            },
            first_event: first as u64,
            events: self.changes[first..].to_vec(),
        }
    }
}

pub(super) fn account(number: usize) -> admission::AccountLimits {
    admission::AccountLimits {
        account: account_id(number),
        weight: if number < 3 { 4.0 } else { 1.0 },
        requests_per_s: 1e9,
        prompt_tokens_per_s: 1e12,
        max_concurrent: 1_000_000,
    }
}

pub(super) fn account_id(number: usize) -> AccountId {
    AccountId::new(format!("account-{number}"))
}

pub(super) fn model_id() -> ModelId {
    ModelId::new("model")
}

pub(super) fn engine_id(index: usize) -> EngineId {
    EngineId::new(format!("e{index}"))
}

pub(super) fn engine_index(id: &EngineId) -> usize {
    id.as_str()[1..].parse().unwrap_or(0)
}

pub(super) fn job_of(instance: usize, attempt: AttemptId) -> u64 {
    (instance as u64) << ATTEMPT_BITS | attempt.0
}

pub(super) fn attempt_of(job: u64) -> AttemptId {
    AttemptId(job & ((1 << ATTEMPT_BITS) - 1))
}

pub(super) fn reservation_name(instance: usize, attempt: AttemptId) -> String {
    format!("{instance}-{}", attempt.0)
}

pub(super) fn fingerprint(number: usize) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&(number as u64).to_le_bytes());
    Fingerprint(bytes)
}
