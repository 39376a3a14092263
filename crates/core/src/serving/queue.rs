//! The queue of long prompts, shared by all instances.
//!
//! An engine prefills everything it was sent in one iteration, and an iteration is
//! the gap between two events of every stream decoding there. Long prompts are
//! therefore dispatched one at a time, which costs no throughput as long as the
//! engines have a backlog. Each instance sends its queued prompts to its peers, and
//! the prompt with the lowest rank among all instances is dispatched next.
//!
//! Prefill time grows with the square of the prompt length and the value of a
//! prompt does not, so shorter prompts go first while prompts queue up, the more so the
//! fewer engines there are. The longest prompts are dispatched when the queue is short.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{clock::Instant, ids::InstanceId};

/// Prefill time from which a prompt is queued. The prefill of a shorter prompt,
/// split over the fleet, fits into an iteration beside other prefills.
pub const MIN_QUEUED_PREFILL_TIME: Duration = Duration::from_millis(600);

/// Longest backlog of the chosen engines at which the next prompt is dispatched.
/// Above zero, so that the engines stay busy while load reports are in transit.
pub const MAX_DISPATCH_BACKLOG: Duration = Duration::from_millis(60);

/// Time between dispatch and first event besides the prefill: the rest of the
/// current iteration and the iteration that produces the event.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(250);

/// Share of the engines over which the rank assumes a prompt to be split, and the
/// largest such number; an engine accepts at most 16 helpers.
const ASSUMED_SPLIT_SHARE: f64 = 2.0 / 3.0;
const MAX_ASSUMED_SPLIT: f64 = 16.0;

/// Rank penalty in ms for each ms that all engines together need for the prefill. The
/// prefill of a long prompt delays the others less, the more engines there are.
const PREFILL_PENALTY_RATIO: f64 = 14.4;

/// Age up to which the queued prompts of a peer count, so that a silent peer does
/// not block the queue.
const PEER_PROMPTS_TTL: Duration = Duration::from_millis(600);

/// Share of the time of the engines without short streams that is available to
/// prefill the prompts queued now. The rest goes to decoding and to prompts that
/// arrive meanwhile.
const PREFILL_TIME_SHARE: f64 = 0.75;

/// Share of the time until the client gives up that a new prompt may spend in the queue.
/// The rest is for the prefill.
const QUEUE_WAIT_SHARE: f64 = 0.6;

/// How long a prompt may stay in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// A new prompt is refused once it can't be dispatched by this time: its client can
    /// return later.
    New(Instant),
    /// The rest of a stream that broke waits until this time, whatever the expected wait is:
    /// ending it earlier would help nobody.
    UnderWay(Instant),
}

impl Patience {
    /// Patience of a new prompt. Its client has waited since `arrived_at`, gives up after
    /// `client_timeout`, and needs the complete response by `deadline`.
    pub fn of_new(
        arrived_at: Instant,
        client_timeout: Duration,
        deadline: Instant,
        now: Instant,
    ) -> Self {
        let waited = now - arrived_at;
        let client_wait = client_timeout.mul_f64(QUEUE_WAIT_SHARE);
        let client_wait = client_wait.saturating_sub(waited);
        let left = (deadline - now).mul_f64(QUEUE_WAIT_SHARE);
        Self::New(now + client_wait.min(left))
    }

    /// Patience of the rest of a stream whose latest event came at `last_event_at`.
    pub fn of_stream_under_way(
        last_event_at: Instant,
        client_timeout: Duration,
        deadline: Instant,
    ) -> Self {
        Self::UnderWay(deadline.min(last_event_at + client_timeout))
    }

    /// Whether a prompt that expects a wait leaves the queue.
    pub fn is_exhausted(self, expected_wait: Duration, now: Instant) -> bool {
        match self {
            Self::New(latest) => now + expected_wait >= latest,
            Self::UnderWay(latest) => now >= latest,
        }
    }

    /// Time that is left at most.
    pub fn left(self, now: Instant) -> Duration {
        match self {
            Self::New(latest) | Self::UnderWay(latest) => latest - now,
        }
    }
}

/// Id of a queued prompt, unique in its queue and ascending in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryId(u64);

crate::data_types! {
    /// A queued prompt, as instances report it to each other.
    #[derive(Copy)]
    pub struct QueuedPrompt {
        /// Time until the objective for its first event, in ms; negative after the
        /// objective has passed.
        pub slack_ms: i64,
        /// Time to prefill it on one engine.
        pub prefill_time: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    objective_at: Instant,
    prefill_time: Duration,
}

/// Whether the prompt will miss its objective, and its slack plus penalty in ms.
/// The lowest rank is dispatched first.
type Rank = (bool, i64);

/// The long prompts queued at this instance, and those that peers report.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<EntryId, Entry>,
    last_id: u64,
    peers: HashMap<InstanceId, (Vec<QueuedPrompt>, Instant)>,
}

impl Queue {
    /// Adds a prompt whose first event is due at `objective_at`.
    pub fn enqueue(&mut self, objective_at: Instant, prefill_time: Duration) -> EntryId {
        self.last_id += 1;
        let id = EntryId(self.last_id);
        self.entries.insert(
            id,
            Entry {
                objective_at,
                prefill_time,
            },
        );
        id
    }

    /// Removes a prompt after its dispatch or when its request is abandoned.
    pub fn remove(&mut self, id: EntryId) {
        self.entries.remove(&id);
    }

    /// Replaces the queued prompts of a peer by its latest report. Returns whether a
    /// prompt of the peer has left the queue, so that another one may be next.
    pub fn update_peer(
        &mut self,
        peer: InstanceId,
        prompts: Vec<QueuedPrompt>,
        now: Instant,
    ) -> bool {
        let count = prompts.len();
        let previous = self.peers.insert(peer, (prompts, now));
        previous.is_some_and(|(prompts, _)| prompts.len() > count)
    }

    /// Whether no prompt is queued at this instance.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Prompts queued at this instance, to be sent to the peers.
    pub fn local_prompts(&self, now: Instant) -> Vec<QueuedPrompt> {
        self.entries
            .values()
            .map(|entry| entry.prompt(now))
            .collect()
    }

    /// Whether the prompt has the lowest rank among the prompts of all instances, for a
    /// service with `engines` engines.
    pub fn is_next(&self, id: EntryId, engines: usize, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&id) else {
            return false;
        };
        let rank = entry.prompt(now).rank(engines);
        let mut local = self.entries.iter();
        let is_first_locally =
            local.all(|(other, entry)| (entry.prompt(now).rank(engines), *other) >= (rank, id));
        is_first_locally
            && self
                .peer_prompts(now)
                .all(|other| other.rank(engines) >= rank)
    }

    /// Expected time until `available` of `engines` engines have prefilled the prompt
    /// and all prompts before it; zero for an unknown entry.
    pub fn expected_wait(
        &self,
        id: EntryId,
        engines: usize,
        available: usize,
        now: Instant,
    ) -> Duration {
        let Some(entry) = self.entries.get(&id) else {
            return Duration::ZERO;
        };
        let rank = entry.prompt(now).rank(engines);
        let local = self.entries.values().map(|entry| entry.prompt(now));
        let earlier = local.chain(self.peer_prompts(now));
        let earlier = earlier.filter(|other| other.rank(engines) < rank);
        let prefill_time =
            entry.prefill_time + earlier.map(|other| other.prefill_time).sum::<Duration>();
        prefill_time.div_f64((available as f64 * PREFILL_TIME_SHARE).max(1.0))
    }

    /// Prompts queued at peers, with their slack at `now`.
    fn peer_prompts(&self, now: Instant) -> impl Iterator<Item = QueuedPrompt> {
        self.peers.values().flat_map(move |(prompts, received_at)| {
            let age = now - *received_at;
            let prompts = prompts.iter().filter(move |_| age <= PEER_PROMPTS_TTL);
            prompts.map(move |prompt| QueuedPrompt {
                slack_ms: prompt.slack_ms - age.as_millis() as i64,
                prefill_time: prompt.prefill_time,
            })
        })
    }
}

impl Entry {
    fn prompt(&self, now: Instant) -> QueuedPrompt {
        // `Instant` subtraction saturates at zero, so one of the two is zero.
        let remaining_ms = (self.objective_at - now).as_millis() as i64;
        let overdue_ms = (now - self.objective_at).as_millis() as i64;
        QueuedPrompt {
            slack_ms: remaining_ms - overdue_ms,
            prefill_time: self.prefill_time,
        }
    }
}

impl QueuedPrompt {
    fn rank(&self, engines: usize) -> Rank {
        let engines = engines.max(1) as f64;
        let split = (engines * ASSUMED_SPLIT_SHARE).clamp(1.0, MAX_ASSUMED_SPLIT);
        let required = FIRST_EVENT_OVERHEAD + self.prefill_time.div_f64(split);
        let is_late = self.slack_ms < required.as_millis() as i64;
        let penalty = self.prefill_time.mul_f64(PREFILL_PENALTY_RATIO / engines);
        (is_late, self.slack_ms + penalty.as_millis() as i64)
    }
}
