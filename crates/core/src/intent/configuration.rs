//! Newest accepted configuration that an instance has received.

use std::{collections::VecDeque, time::Duration};

use cyclamengauge_schema::v1;

use crate::{check_invariant, clock::Instant, error::Error, intent::delta};

/// Age of the last verification above which the configuration counts as stale.
const STALE_AFTER: Duration = Duration::from_secs(9);

/// Deltas kept for peers with an older version.
const MAX_DELTAS: usize = 64;

/// How an offered configuration compares with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered configuration is newer and is now in force.
    Newer,
    /// The offered configuration is already in force.
    Same,
    /// The offered configuration is older and was discarded.
    Older,
}

/// Whether the configuration in force is verified to be the newest one.
///
/// A verification is a read of the table service that returned the version in
/// force at that time. A stale or unverified configuration stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The last verification is at most 9 s old.
    Verified,
    /// The last verification is older; holds its age.
    Stale(Duration),
    /// There was no verification yet, for example because the configuration came
    /// from a peer.
    Unverified,
}

/// The configuration in force at an instance.
///
/// Invariants: the version never decreases, and a version belongs to exactly one
/// plan.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::intent;
/// use cyclamengauge_schema::v1;
///
/// let mut current = intent::CurrentConfiguration::default();
/// let newer = v1::Accepted { version: 2, ..Default::default() };
/// assert_eq!(current.offer(newer), intent::OfferOutcome::Newer);
/// let older = v1::Accepted { version: 1, ..Default::default() };
/// assert_eq!(current.offer(older), intent::OfferOutcome::Older);
/// assert_eq!(current.version(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CurrentConfiguration {
    accepted: Option<Box<v1::Accepted>>,
    /// Deltas between successive versions up to `accepted`, oldest first, without
    /// a gap.
    deltas: VecDeque<v1::Delta>,
    verified_at: Option<Instant>,
}

impl CurrentConfiguration {
    /// The version in force; 0 if there is no configuration.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.version)
    }

    /// The configuration in force.
    pub fn accepted(&self) -> Option<&v1::Accepted> {
        self.accepted.as_deref()
    }

    /// Whether the configuration in force was verified recently.
    pub fn freshness(&self, now: Instant) -> Freshness {
        match self.verified_at {
            None => Freshness::Unverified,
            Some(at) if now - at <= STALE_AFTER => Freshness::Verified,
            Some(at) => Freshness::Stale(now - at),
        }
    }

    /// Time since the last verification; `None` if there was none.
    pub fn time_since_verified(&self, now: Instant) -> Option<Duration> {
        self.verified_at.map(|at| now - at)
    }

    /// Adopts a configuration from the store or a peer if it is newer.
    pub fn offer(&mut self, offered: v1::Accepted) -> OfferOutcome {
        let version = self.version();
        if offered.version > version {
            self.record_delta(&offered);
            self.accepted = Some(Box::new(offered));
            return OfferOutcome::Newer;
        }
        if offered.version < version {
            return OfferOutcome::Older;
        }
        if let Some(in_force) = &self.accepted {
            check_invariant!(
                in_force.plan_id == offered.plan_id,
                "one-plan-per-version",
                "version {version} belongs to plan {}, but plan {} was offered with it",
                in_force.plan_id,
                offered.plan_id
            );
        }
        OfferOutcome::Same
    }

    /// Applies a peer's deltas, oldest first, to the configuration in force.
    ///
    /// Deltas from an older version are skipped.
    ///
    /// # Errors
    ///
    /// If a delta does not apply to the configuration in force; the caller then
    /// needs the whole configuration. Deltas before the failed one stay applied.
    pub fn offer_deltas(&mut self, deltas: &[v1::Delta]) -> Result<OfferOutcome, Error> {
        let mut outcome = OfferOutcome::Same;
        for delta in deltas {
            if delta.from_version < self.version() {
                continue;
            }
            let empty = v1::Accepted::default();
            let base = self.accepted.as_deref().unwrap_or(&empty);
            let next = delta::apply_delta(base, delta)?;
            outcome = self.offer(next);
        }
        Ok(outcome)
    }

    /// The deltas from `version` to the version in force; `None` if the delta from
    /// `version` is not kept.
    pub fn deltas_since(&self, version: u64) -> Option<Vec<v1::Delta>> {
        let start = self.deltas.iter().position(|d| d.from_version == version)?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }

    fn record_delta(&mut self, next: &v1::Accepted) {
        let is_successor = next.version == self.version() + 1;
        match &self.accepted {
            Some(in_force) if is_successor => {
                self.deltas.push_back(delta::compute_delta(in_force, next))
            }
            _ => self.deltas.clear(),
        }
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Records that the table service returned `version` as the newest at `now`.
    ///
    /// Ignored if another version is in force.
    pub fn record_verified(&mut self, version: u64, now: Instant) {
        if version == self.version() {
            self.verified_at = Some(now);
        }
    }
}
