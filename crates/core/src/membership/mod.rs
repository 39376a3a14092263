/*!
State of the targets: which of them may receive new requests.

[`Membership`] combines three sources that can disagree: the operators'
declaration, the platform's target list, which lags, and the results of this
instance's own connections. Any source can take a target out of service; only
a report from the target itself makes a dead target live again.
*/

use std::{collections::BTreeMap, time::Duration};

use crate::{check_invariant, clock::Instant, ids::EngineId};

/// Window in which [`STALLS_TO_EJECT`] stalls eject a target.
const STALL_WINDOW: Duration = Duration::from_secs(30);

/// Stalls within [`STALL_WINDOW`] that eject a target.
const STALLS_TO_EJECT: usize = 2;

/// Connection failures without a report in between after which a target is dead.
const DEAD_AFTER_FAILURES: u32 = 2;

/// Duration of a target's first ejection; each further ejection doubles it.
const INITIAL_EJECTION_TIME: Duration = Duration::from_secs(10);

/// Upper bound on the duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(300);

/// Age of the last report beyond which a target is dead, even if no connection
/// has failed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether a target may receive new requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target may receive new requests.
    Live,
    /// The target is shutting down or drained and finishes its requests.
    Leaving,
    /// The target sends reports, but its streams stalled.
    Ejected,
    /// The target sends no reports, or connections to it fail.
    Dead,
}

impl TargetState {
    /// Name of the state in metrics and in the status shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
            Self::Dead => "dead",
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    drained: bool,
    /// The platform's target list marks the target as leaving.
    listed_leaving: bool,
    /// The target's last report marks it as leaving.
    reports_leaving: bool,
    /// Last reported incarnation; a different one means a restart.
    incarnation: Option<u64>,
    reported_at: Option<Instant>,
    /// Connection failures since the last report.
    failures: u32,
    /// Recent stalls, without progress on the target since.
    stalls: Vec<Instant>,
    ejected_until: Option<Instant>,
    /// Ejections so far, for the back-off.
    ejections: u32,
}

/// Change of a target's state that a report reveals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The target runs on in the same incarnation.
    Unchanged,
    /// The first report of the target, or the first after its connections failed.
    Joined,
    /// The target restarted since its last report and lost its requests.
    Restarted,
}

/// State of all declared targets.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, ids::EngineId, membership};
///
/// let mut members = membership::Membership::new(0.2);
/// let engine = EngineId::new("e1");
/// members.declare(&engine, false);
/// assert_eq!(members.target_state(&engine, Instant::ZERO), membership::TargetState::Dead);
/// members.record_report(&engine, 7, false, Instant::ZERO);
/// assert_eq!(members.target_state(&engine, Instant::ZERO), membership::TargetState::Live);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    /// Share of the targets that may be ejected at the same time, 0 to 1.
    max_ejected_share: f64,
    members: BTreeMap<EngineId, Member>,
}

impl Membership {
    /// Creates a membership without targets. At most `max_ejected_share` of the
    /// targets, 0 to 1, are ejected at the same time.
    pub fn new(max_ejected_share: f64) -> Self {
        Self {
            max_ejected_share,
            members: BTreeMap::new(),
        }
    }

    /// Ids of all declared targets.
    pub fn ids(&self) -> impl Iterator<Item = &EngineId> {
        self.members.keys()
    }

    /// Incarnation in a target's last report.
    pub fn incarnation(&self, id: &EngineId) -> Option<u64> {
        self.members.get(id).and_then(|member| member.incarnation)
    }

    /// State of a target; an undeclared target is dead.
    pub fn target_state(&self, id: &EngineId, now: Instant) -> TargetState {
        let Some(member) = self.members.get(id) else {
            return TargetState::Dead;
        };
        let is_fresh = |at: Instant| now - at <= REPORT_TIMEOUT;
        let is_overdue = !member.reported_at.is_some_and(is_fresh);
        if is_overdue || member.failures >= DEAD_AFTER_FAILURES {
            return TargetState::Dead;
        }
        if member.drained || member.listed_leaving || member.reports_leaving {
            return TargetState::Leaving;
        }
        if member.ejected_until.is_some_and(|until| until > now) {
            return TargetState::Ejected;
        }
        TargetState::Live
    }

    /// Sets the share of targets that may be ejected at the same time, 0 to 1.
    pub fn set_max_ejected_share(&mut self, share: f64) {
        self.max_ejected_share = share;
    }

    /// Adds a declared target, or sets whether an existing target is drained.
    pub fn declare(&mut self, id: &EngineId, drained: bool) {
        self.members.entry(id.clone()).or_default().drained = drained;
    }

    /// Removes the targets that are no longer declared.
    pub fn retain_declared(&mut self, declared: impl Fn(&EngineId) -> bool) {
        self.members.retain(|id, _| declared(id));
    }

    /// Applies an entry of the platform's target list; ignored for an undeclared
    /// target.
    pub fn apply_list_entry(&mut self, id: &EngineId, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.listed_leaving = leaving;
        }
    }

    /// Records a report from the target, which resets its connection failures.
    pub fn record_report(
        &mut self,
        id: &EngineId,
        incarnation: u64,
        leaving: bool,
        now: Instant,
    ) -> ReportOutcome {
        let Some(member) = self.members.get_mut(id) else {
            return ReportOutcome::Unchanged;
        };
        let last_incarnation = member.incarnation.replace(incarnation);
        let was_dead = member.failures >= DEAD_AFTER_FAILURES || member.reported_at.is_none();
        member.reports_leaving = leaving;
        member.reported_at = Some(now);
        member.failures = 0;
        match last_incarnation {
            Some(last) if last != incarnation => ReportOutcome::Restarted,
            _ if was_dead => ReportOutcome::Joined,
            _ => ReportOutcome::Unchanged,
        }
    }

    /// Records a connection to the target that failed or broke.
    pub fn record_connection_failure(&mut self, id: &EngineId) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = member.failures.saturating_add(1);
        }
    }

    /// Marks a target as dead. Returns whether its failures were below the limit
    /// before.
    pub fn mark_dead(&mut self, id: &EngineId) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        let previous_failures = std::mem::replace(&mut member.failures, DEAD_AFTER_FAILURES);
        previous_failures < DEAD_AFTER_FAILURES
    }

    /// Records progress of a stream on the target, which clears its stalls.
    pub fn record_progress(&mut self, id: &EngineId) {
        if let Some(member) = self.members.get_mut(id) {
            member.stalls.clear();
        }
    }

    /// Records a stalled stream on the target. Returns whether the target is
    /// ejected for it.
    pub fn record_stall(&mut self, id: &EngineId, now: Instant) -> bool {
        let may_eject = self.ejected_count(now) < self.max_ejected();
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.stalls.retain(|at| now - *at <= STALL_WINDOW);
        member.stalls.push(now);
        if member.stalls.len() < STALLS_TO_EJECT || !may_eject {
            return false;
        }
        member.stalls.clear();
        let duration = INITIAL_EJECTION_TIME * 2_u32.saturating_pow(member.ejections.min(8));
        member.ejections += 1;
        member.ejected_until = Some(now + duration.min(MAX_EJECTION_TIME));
        check_invariant!(
            self.ejected_count(now) <= self.max_ejected(),
            "ejections-bounded",
            "{} of {} targets are ejected, at most {} are allowed",
            self.ejected_count(now),
            self.members.len(),
            self.max_ejected()
        );
        true
    }

    /// Number of targets that are ejected at `now`.
    pub fn ejected_count(&self, now: Instant) -> usize {
        let is_ejected = |member: &&Member| member.ejected_until.is_some_and(|until| until > now);
        self.members.values().filter(is_ejected).count()
    }

    /// Number of targets that may be ejected at the same time: the configured
    /// share, but at least one and never all of them.
    pub fn max_ejected(&self) -> usize {
        let count = self.members.len();
        let allowed = (count as f64 * self.max_ejected_share).floor() as usize;
        allowed.max(1).min(count.saturating_sub(1))
    }
}
