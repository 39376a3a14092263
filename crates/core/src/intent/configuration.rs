//! The newest configuration that an instance knows.

use std::{collections::VecDeque, time::Duration};

use cyclamengauge_schema::v1;

use crate::{check_invariant, clock::Instant, error::Error, intent::delta};

/// Time without proof of being current after which an instance says so.
const DOUBT_AFTER: Duration = Duration::from_secs(9);

/// Differences kept for peers that are behind.
const DELTAS: usize = 64;

/// What came of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and in force now.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older and was dropped.
    Older,
}

/// Whether an instance knows that its configuration is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The table service showed it within the last seconds.
    Verified,
    /// The last proof is this old; the configuration stays in force.
    Stale(Duration),
    /// There was no proof yet: it came from a peer.
    Unverified,
}

/// The configuration in force at an instance.
///
/// Invariant: the version never goes back, and of one version there is only
/// one plan.
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
    /// Differences that lead to it, oldest first, without a gap.
    deltas: VecDeque<v1::Delta>,
    proven_at: Option<Instant>,
}

impl CurrentConfiguration {
    /// The version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.version)
    }

    /// The configuration in force.
    pub fn accepted(&self) -> Option<&v1::Accepted> {
        self.accepted.as_deref()
    }

    /// Whether it is known to be current.
    pub fn freshness(&self, now: Instant) -> Freshness {
        match self.proven_at {
            None => Freshness::Unverified,
            Some(at) if now - at <= DOUBT_AFTER => Freshness::Verified,
            Some(at) => Freshness::Stale(now - at),
        }
    }

    /// Time since the last proof.
    pub fn time_since_verified(&self, now: Instant) -> Option<Duration> {
        self.proven_at.map(|at| now - at)
    }

    /// Adopts a configuration from the store or a peer if it is newer.
    pub fn offer(&mut self, offered: v1::Accepted) -> OfferOutcome {
        let version = self.version();
        if offered.version > version {
            self.remember_delta(&offered);
            self.accepted = Some(Box::new(offered));
            return OfferOutcome::Newer;
        }
        if offered.version < version {
            return OfferOutcome::Older;
        }
        if let Some(known) = &self.accepted {
            check_invariant!(
                known.plan_id == offered.plan_id,
                "one-plan-per-version",
                "version {version} is plan {} and plan {}",
                known.plan_id,
                offered.plan_id
            );
        }
        OfferOutcome::Same
    }

    /// Adopts a chain of differences from a peer, as far as it leads on from the
    /// version in force.
    ///
    /// # Errors
    ///
    /// If a difference does not fit; the whole configuration is then needed.
    pub fn offer_deltas(&mut self, deltas: &[v1::Delta]) -> Result<OfferOutcome, Error> {
        let mut adopted = OfferOutcome::Same;
        for delta in deltas {
            if delta.from_version < self.version() {
                continue;
            }
            let empty = v1::Accepted::default();
            let base = self.accepted.as_deref().unwrap_or(&empty);
            let next = delta::apply_delta(base, delta)?;
            adopted = self.offer(next);
        }
        Ok(adopted)
    }

    /// The differences that lead on from a version; none if one is missing.
    pub fn deltas_since(&self, version: u64) -> Option<Vec<v1::Delta>> {
        let start = self.deltas.iter().position(|d| d.from_version == version)?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }

    fn remember_delta(&mut self, next: &v1::Accepted) {
        let successor = next.version == self.version() + 1;
        match &self.accepted {
            Some(known) if successor => self.deltas.push_back(delta::compute_delta(known, next)),
            _ => self.deltas.clear(),
        }
        if self.deltas.len() > DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Notes that the table service showed this version as the newest.
    pub fn record_verified(&mut self, version: u64, now: Instant) {
        if version == self.version() {
            self.proven_at = Some(now);
        }
    }
}
