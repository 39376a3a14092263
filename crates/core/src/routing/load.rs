//! Load of an engine: its last report, corrected for the lag of reports.

use std::{array, time::Duration};

use crate::{
    clock::Instant,
    ids::AttemptId,
    units::{Tokens, TokensPerSecond},
};

/// Number of priority levels of the engines.
pub const PRIORITY_LEVELS: usize = 8;

/// Largest number of prefill tokens in each level except the last.
const MAX_LEVEL_PREFILL_TOKENS: [u64; PRIORITY_LEVELS - 1] =
    [8_000, 16_000, 32_000, 64_000, 100_000, 200_000, 400_000];

/// Priority level of a request on an engine; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Priority(pub u8);

impl Priority {
    /// Level of a prompt with `prefill_tokens` tokens that are not cached.
    ///
    /// Shorter prompts have more urgent levels, which minimises the total wait.
    ///
    /// # Example
    ///
    /// ```
    /// use cyclamengauge_core::{routing::Priority, units::Tokens};
    ///
    /// assert!(Priority::for_prefill(Tokens(1_000)) < Priority::for_prefill(Tokens(500_000)));
    /// ```
    pub fn for_prefill(prefill_tokens: Tokens) -> Self {
        let level = MAX_LEVEL_PREFILL_TOKENS
            .iter()
            .position(|limit| prefill_tokens.0 <= *limit);
        Self(level.unwrap_or(PRIORITY_LEVELS - 1) as u8)
    }

    /// Index of the level in a [`Backlog`]; levels above the last count as the last.
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
            crate::error::Error::new(
                "parse priority",
                format!("`{text}` is not a priority level, such as `p3`"),
            )
        })
    }
}

crate::data_types! {
    /// Queued prefill tokens by priority level.
    #[derive(Copy, Default)]
    pub struct Backlog {
        /// Tokens of each level, most urgent level first.
        pub levels: [f64; PRIORITY_LEVELS],
    }
}

impl Backlog {
    /// Creates a backlog from the reported tokens of each level; missing levels are empty.
    pub fn from_levels(tokens: &[u64]) -> Self {
        Self {
            levels: array::from_fn(|i| tokens.get(i).copied().unwrap_or(0) as f64),
        }
    }

    /// Tokens that the engine prefills before a new request of `priority`.
    pub fn ahead_of(&self, priority: Priority) -> f64 {
        self.levels[..=priority.index()].iter().sum()
    }

    /// Tokens that the engine prefills after a new request of `priority`.
    pub fn behind(&self, priority: Priority) -> f64 {
        self.levels[priority.index() + 1..].iter().sum()
    }

    /// Sum of all levels.
    pub fn total(&self) -> f64 {
        self.levels.iter().sum()
    }

    /// Adds tokens to the level of `priority`.
    pub fn add(&mut self, priority: Priority, tokens: f64) {
        self.levels[priority.index()] += tokens;
    }

    /// Subtracts another backlog level by level. No level falls below zero.
    pub fn subtract(&mut self, other: &Self) {
        for (level, other) in self.levels.iter_mut().zip(other.levels) {
            *level = (*level - other).max(0.0);
        }
    }

    /// Removes up to `budget` tokens, the most urgent first.
    pub fn consume(&mut self, mut budget: f64) {
        for level in &mut self.levels {
            let consumed = level.min(budget);
            *level -= consumed;
            budget -= consumed;
        }
    }
}

/// An attempt that this instance sent to the engine.
#[derive(Clone, Debug)]
struct OwnAttempt {
    attempt: AttemptId,
    priority: Priority,
    prefill_tokens: Tokens,
    memory: Tokens,
    sent_at: Instant,
    /// Arrival of the first token; `None` during prefill.
    first_token_at: Option<Instant>,
    /// End of the attempt. The attempt is kept until a report that was taken after its end
    /// arrives.
    ended_at: Option<Instant>,
}

crate::data_types! {
    /// Load of an engine as the engine reports it.
    #[derive(Default)]
    pub struct LoadReport {
        /// Queued prefill tokens.
        pub backlog: Backlog,
        /// Number of requests that occupy a slot.
        pub running: u32,
        /// Number of requests that wait for a slot or memory.
        pub waiting: u32,
        /// Reserved KV memory.
        pub reserved: Tokens,
    }
}

/// Load of an engine, from its last report and the requests of this instance.
///
/// A report is `lag` old when it arrives. The requests of this instance are tracked
/// exactly, so the report is used only for the load from peers: the share of this
/// instance that it must contain is subtracted, and the rest decreases with time at the
/// engine's prefill rate.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own_attempts: Vec<OwnAttempt>,
    peer_backlog: Backlog,
    /// Time at which the last report was taken: its arrival minus the lag.
    report_taken_at: Instant,
    peer_running: u32,
    peer_waiting: u32,
    peer_reserved: Tokens,
    /// Queued prefill tokens of all peers, from their load hints.
    hinted_tokens: f64,
    hinted_at: Instant,
}

impl Load {
    /// Number of requests of this instance in progress on the engine.
    pub fn own_requests(&self) -> u32 {
        self.attempts_in_progress().count() as u32
    }

    /// Number of requests of all instances, those of peers as of the last report.
    pub fn requests(&self) -> u32 {
        self.own_requests().saturating_add(self.peer_requests())
    }

    /// Number of requests of peers as of the last report.
    pub fn peer_requests(&self) -> u32 {
        self.peer_running.saturating_add(self.peer_waiting)
    }

    /// Prefill tokens of this instance's requests that have no first token yet.
    pub fn own_prefill_backlog(&self) -> Tokens {
        self.attempts_in_progress()
            .filter(|own| own.first_token_at.is_none())
            .map(|own| own.prefill_tokens)
            .sum()
    }

    /// KV memory reserved for the requests of all instances.
    pub fn reserved(&self) -> Tokens {
        let own_memory: Tokens = self.attempts_in_progress().map(|own| own.memory).sum();
        own_memory + self.peer_reserved
    }

    /// Estimated queued prefill tokens of all instances at `now`.
    pub fn backlog(&self, now: Instant, prefill_rate: TokensPerSecond) -> Backlog {
        let mut backlog = self.peer_backlog;
        if self.hinted_tokens > 0.0 && self.hinted_at > self.report_taken_at {
            let unreported = (self.hinted_tokens - backlog.total()).max(0.0);
            backlog.add(Priority(0), unreported);
        }
        backlog.consume((now - self.report_taken_at).as_secs_f64() * prefill_rate.0);
        for own in self
            .attempts_in_progress()
            .filter(|own| own.first_token_at.is_none())
        {
            backlog.add(own.priority, own.prefill_tokens.0 as f64);
        }
        backlog
    }

    /// Records that this instance sent an attempt to the engine.
    pub fn record_sent(
        &mut self,
        attempt: AttemptId,
        priority: Priority,
        prefill_tokens: Tokens,
        memory: Tokens,
        now: Instant,
    ) {
        self.own_attempts.push(OwnAttempt {
            attempt,
            priority,
            prefill_tokens,
            memory,
            sent_at: now,
            first_token_at: None,
            ended_at: None,
        });
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(own) = self.own_attempt_mut(attempt) {
            own.first_token_at.get_or_insert(now);
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(own) = self.own_attempt_mut(attempt) {
            own.first_token_at.get_or_insert(now);
            own.ended_at.get_or_insert(now);
        }
    }

    /// Applies a report that was taken at `now - lag`.
    pub fn apply_report(&mut self, report: &LoadReport, lag: Duration, now: Instant) {
        let taken_at = Instant::from_start(now.since_start().saturating_sub(lag));
        self.own_attempts
            .retain(|own| own.ended_at.is_none_or(|ended_at| ended_at >= taken_at));
        let mut peer_backlog = report.backlog;
        let mut reported_own = 0;
        let mut own_memory = Tokens(0);
        for own in self
            .own_attempts
            .iter()
            .filter(|own| own.sent_at < taken_at)
        {
            reported_own += 1;
            own_memory += own.memory;
            if own
                .first_token_at
                .is_none_or(|first_token_at| first_token_at >= taken_at)
            {
                let mut own_backlog = Backlog::default();
                own_backlog.add(own.priority, own.prefill_tokens.0 as f64);
                peer_backlog.subtract(&own_backlog);
            }
        }
        let reported_own_running = reported_own.min(report.running);
        self.peer_backlog = peer_backlog;
        self.report_taken_at = taken_at;
        self.peer_running = report.running - reported_own_running;
        self.peer_waiting = report
            .waiting
            .saturating_sub(reported_own - reported_own_running);
        self.peer_reserved = report.reserved - own_memory;
    }

    /// Sets the number of prefill tokens that all peers together report as queued here.
    pub fn apply_load_hint(&mut self, tokens: Tokens, now: Instant) {
        self.hinted_tokens = tokens.0 as f64;
        self.hinted_at = now;
    }

    /// Clears the load after a restart of the engine.
    pub fn reset(&mut self, now: Instant) {
        *self = Self {
            report_taken_at: now,
            ..Self::default()
        };
    }

    fn attempts_in_progress(&self) -> impl Iterator<Item = &OwnAttempt> {
        self.own_attempts
            .iter()
            .filter(|own| own.ended_at.is_none())
    }

    fn own_attempt_mut(&mut self, attempt: AttemptId) -> Option<&mut OwnAttempt> {
        self.own_attempts
            .iter_mut()
            .find(|own| own.attempt == attempt)
    }
}
