//! What an engine has to do, corrected for the lag of its reports.

use std::{array, time::Duration};

use crate::{
    clock::Instant,
    ids::AttemptId,
    units::{Tokens, TokensPerSecond},
};

/// Number of priority levels that engines honour.
pub const PRIORITY_LEVELS: usize = 8;

/// Longest unread prompt of each level but the last, in tokens.
const LEVEL_LIMITS: [u64; PRIORITY_LEVELS - 1] =
    [8_000, 16_000, 32_000, 64_000, 100_000, 200_000, 400_000];

/// Urgency of a request on its engine; 0 is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Priority(pub u8);

impl Priority {
    /// The level for a prompt of which `unread` tokens are not cached.
    ///
    /// Shorter prompts go first, which gives the least waiting in total.
    ///
    /// # Example
    ///
    /// ```
    /// use cyclamengauge_core::{routing::Priority, units::Tokens};
    ///
    /// assert!(Priority::for_prefill(Tokens(1_000)) < Priority::for_prefill(Tokens(500_000)));
    /// ```
    pub fn for_prefill(prefill_tokens: Tokens) -> Self {
        let level = LEVEL_LIMITS
            .iter()
            .position(|limit| prefill_tokens.0 <= *limit);
        Self(level.unwrap_or(PRIORITY_LEVELS - 1) as u8)
    }

    /// Index of the level.
    pub fn index(self) -> usize {
        usize::from(self.0).min(PRIORITY_LEVELS - 1)
    }
}

impl std::fmt::Display for Priority {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "p{}", self.0)
    }
}

impl std::str::FromStr for Priority {
    type Err = crate::error::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let level = text.trim_start_matches('p').parse::<u8>();
        level.map(Self).map_err(|_| {
            crate::error::Error::new("parse priority", format!("`{text}` is not a level"))
        })
    }
}

crate::data_types! {
    /// Prompt tokens still to be read, by priority level.
    #[derive(Copy, Default)]
    pub struct Backlog {
        /// Tokens of each level, the most urgent first.
        pub levels: [f64; PRIORITY_LEVELS],
    }
}

impl Backlog {
    /// Creates a backlog from reported tokens; missing levels are empty.
    pub fn from_levels(tokens: &[u64]) -> Self {
        Self {
            levels: array::from_fn(|i| tokens.get(i).copied().unwrap_or(0) as f64),
        }
    }

    /// Tokens that go before a new request of `priority`.
    pub fn ahead_of(&self, priority: Priority) -> f64 {
        self.levels[..=priority.index()].iter().sum()
    }

    /// Tokens that a new request of `priority` overtakes.
    pub fn behind(&self, priority: Priority) -> f64 {
        self.levels[priority.index() + 1..].iter().sum()
    }

    /// All tokens.
    pub fn total(&self) -> f64 {
        self.levels.iter().sum()
    }

    /// Adds tokens of one level.
    pub fn add(&mut self, priority: Priority, tokens: f64) {
        self.levels[priority.index()] += tokens;
    }

    /// Takes away what another backlog holds, stopping at zero.
    pub fn subtract(&mut self, other: &Self) {
        for (level, taken) in self.levels.iter_mut().zip(other.levels) {
            *level = (*level - taken).max(0.0);
        }
    }

    /// Works off `budget` tokens, the most urgent first.
    pub fn work_off(&mut self, mut budget: f64) {
        for level in &mut self.levels {
            let done = level.min(budget);
            *level -= done;
            budget -= done;
        }
    }
}

/// A request of this instance on the engine.
#[derive(Clone, Debug)]
struct Own {
    attempt: AttemptId,
    priority: Priority,
    prefill_tokens: Tokens,
    memory: Tokens,
    sent_at: Instant,
    /// When its first token arrived; none while the prompt is being read.
    started_at: Option<Instant>,
    /// When it ended; kept until a report can have seen that.
    ended_at: Option<Instant>,
}

crate::data_types! {
    /// A load report in the terms of this module.
    #[derive(Default)]
    pub struct LoadReport {
        /// Prompt tokens still to be read.
        pub backlog: Backlog,
        /// Requests that hold a slot.
        pub running: u32,
        /// Requests that wait for a slot or memory.
        pub waiting: u32,
        /// KV memory in use.
        pub reserved: Tokens,
    }
}

/// An engine's load: its last report, plus what this instance knows better.
///
/// The report is `lag` old when it arrives. Own requests are known exactly, so
/// the report serves only for what others have sent: the own part that it must
/// have contained is taken out, and the rest is worked off at the engine's rate
/// as time passes.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: Vec<Own>,
    others: Backlog,
    others_at: Instant,
    others_running: u32,
    others_waiting: u32,
    others_reserved: Tokens,
    /// What peers say they have sent, and when they said it.
    peers: f64,
    peers_at: Instant,
}

impl Load {
    /// Requests of this instance in progress here.
    pub fn own_requests(&self) -> u32 {
        self.live().count() as u32
    }

    /// Requests here of all instances, as far as known.
    pub fn requests(&self) -> u32 {
        self.own_requests() + self.others_running + self.others_waiting
    }

    /// Requests of other instances here, by the last report.
    pub fn others_requests(&self) -> u32 {
        self.others_running + self.others_waiting
    }

    /// Own prompt tokens here that are still to be read.
    pub fn own_prefill_backlog(&self) -> Tokens {
        self.live()
            .filter(|own| own.started_at.is_none())
            .map(|own| own.prefill_tokens)
            .sum()
    }

    /// KV memory in use by all instances.
    pub fn reserved(&self) -> Tokens {
        let own: Tokens = self.live().map(|own| own.memory).sum();
        own + self.others_reserved
    }

    /// Prompt tokens to be read now, of all instances.
    pub fn backlog(&self, now: Instant, rate: TokensPerSecond) -> Backlog {
        let mut backlog = self.others;
        if self.peers > 0.0 && self.peers_at > self.others_at {
            let unseen = (self.peers - backlog.total()).max(0.0);
            backlog.add(Priority(0), unseen);
        }
        backlog.work_off((now - self.others_at).as_secs_f64() * rate.0);
        for own in self.live().filter(|own| own.started_at.is_none()) {
            backlog.add(own.priority, own.prefill_tokens.0 as f64);
        }
        backlog
    }

    /// Notes that an attempt of this instance was sent here.
    pub fn record_sent(
        &mut self,
        attempt: AttemptId,
        priority: Priority,
        prefill_tokens: Tokens,
        memory: Tokens,
        now: Instant,
    ) {
        self.own.push(Own {
            attempt,
            priority,
            prefill_tokens,
            memory,
            sent_at: now,
            started_at: None,
            ended_at: None,
        });
    }

    /// Notes the first token of an attempt.
    pub fn record_first_token(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(own) = self.find(attempt) {
            own.started_at.get_or_insert(now);
        }
    }

    /// Notes the end of an attempt.
    pub fn record_end(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(own) = self.find(attempt) {
            own.started_at.get_or_insert(now);
            own.ended_at.get_or_insert(now);
        }
    }

    /// Takes in a report that describes the engine as of `now - lag`.
    pub fn apply_report(&mut self, report: &LoadReport, lag: Duration, now: Instant) {
        let taken_at = Instant::from_start(now.since_start().saturating_sub(lag));
        self.own
            .retain(|own| own.ended_at.is_none_or(|ended| ended >= taken_at));
        let mut others = report.backlog;
        let mut seen = 0;
        let mut memory = Tokens(0);
        for own in self.own.iter().filter(|own| own.sent_at < taken_at) {
            seen += 1;
            memory += own.memory;
            if own.started_at.is_none_or(|started| started >= taken_at) {
                let mut mine = Backlog::default();
                mine.add(own.priority, own.prefill_tokens.0 as f64);
                others.subtract(&mine);
            }
        }
        let seen_running = seen.min(report.running);
        self.others = others;
        self.others_at = taken_at;
        self.others_running = report.running - seen_running;
        self.others_waiting = report.waiting.saturating_sub(seen - seen_running);
        self.others_reserved = report.reserved - memory;
    }

    /// Takes in what the peers say they have waiting here in total.
    pub fn apply_load_hint(&mut self, tokens: Tokens, now: Instant) {
        self.peers = tokens.0 as f64;
        self.peers_at = now;
    }

    /// Forgets all: the engine restarted.
    pub fn reset(&mut self, now: Instant) {
        *self = Self {
            others_at: now,
            ..Self::default()
        };
    }

    fn live(&self) -> impl Iterator<Item = &Own> {
        self.own.iter().filter(|own| own.ended_at.is_none())
    }

    fn find(&mut self, attempt: AttemptId) -> Option<&mut Own> {
        self.own.iter_mut().find(|own| own.attempt == attempt)
    }
}
