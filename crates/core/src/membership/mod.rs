/*!
Which targets may receive new work.

[`Membership`] joins three sources that disagree at times: the operators'
declaration, the platform's list, which lags, and what this instance sees on
its own connections. The quickest bad news wins; good news must come from the
target itself.
*/

use std::{collections::BTreeMap, time::Duration};

use crate::{check_invariant, clock::Instant, ids::EngineId};

/// Time in which a target that stalls twice is ejected.
const STALL_WINDOW: Duration = Duration::from_secs(30);

/// Stalls within the window that eject a target.
const STALLS_TO_EJECT: usize = 2;

/// Failed connections in a row that make a target count as dead.
const FAILURES_TO_DIE: u32 = 2;

/// First ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(10);

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(300);

/// Time after which a target without a report gets nothing new, even if no
/// probe has failed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether a target may receive new work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It may.
    Live,
    /// It is leaving or drained: it finishes what it has.
    Leaving,
    /// It answers probes, yet stalls requests.
    Ejected,
    /// It does not answer.
    Dead,
}

impl TargetState {
    /// Name used in logs and by the operators' tool.
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
    /// The platform's list names it as leaving.
    listed_leaving: bool,
    /// Its own report says that it is leaving.
    reports_leaving: bool,
    /// Changes when the target restarts.
    incarnation: Option<u64>,
    reported_at: Option<Instant>,
    failures: u32,
    stalls: Vec<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
}

/// What a report from a target shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It goes on as before.
    Unchanged,
    /// It was not known or had been dead.
    Joined,
    /// It restarted since the last report: what it held is gone.
    Restarted,
}

/// The standing of all targets.
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
    /// Share of the targets that may be ejected at once, 0 to 1.
    max_ejected_share: f64,
    members: BTreeMap<EngineId, Member>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(max_ejected_share: f64) -> Self {
        Self {
            max_ejected_share,
            members: BTreeMap::new(),
        }
    }

    /// Names of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &EngineId> {
        self.members.keys()
    }

    /// The incarnation that a target reported last.
    pub fn incarnation(&self, id: &EngineId) -> Option<u64> {
        self.members.get(id).and_then(|member| member.incarnation)
    }

    /// The standing of one target.
    pub fn target_state(&self, id: &EngineId, now: Instant) -> TargetState {
        let Some(member) = self.members.get(id) else {
            return TargetState::Dead;
        };
        let fresh = |at: Instant| now - at <= REPORT_TIMEOUT;
        let silent = !member.reported_at.is_some_and(fresh);
        if silent || member.failures >= FAILURES_TO_DIE {
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

    /// Sets the share of targets that may be ejected at once.
    pub fn set_max_ejected_share(&mut self, share: f64) {
        self.max_ejected_share = share;
    }

    /// Adds a target by declaration, or changes whether it is drained.
    pub fn declare(&mut self, id: &EngineId, drained: bool) {
        self.members.entry(id.clone()).or_default().drained = drained;
    }

    /// Removes targets that are declared no more.
    pub fn retain_declared(&mut self, declared: impl Fn(&EngineId) -> bool) {
        self.members.retain(|id, _| declared(id));
    }

    /// Takes in one entry of the platform's list.
    pub fn apply_list_entry(&mut self, id: &EngineId, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.listed_leaving = leaving;
        }
    }

    /// Takes in a report from the target itself.
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
        let before = member.incarnation.replace(incarnation);
        let was_dead = member.failures >= FAILURES_TO_DIE || member.reported_at.is_none();
        member.reports_leaving = leaving;
        member.reported_at = Some(now);
        member.failures = 0;
        match before {
            Some(known) if known != incarnation => ReportOutcome::Restarted,
            _ if was_dead => ReportOutcome::Joined,
            _ => ReportOutcome::Unchanged,
        }
    }

    /// Notes that a connection to the target failed or broke.
    pub fn record_connection_failure(&mut self, id: &EngineId) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = member.failures.saturating_add(1);
        }
    }

    /// Notes that the target is known to be dead; false if it was before.
    pub fn mark_dead(&mut self, id: &EngineId) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        let before = std::mem::replace(&mut member.failures, FAILURES_TO_DIE);
        before < FAILURES_TO_DIE
    }

    /// Notes that a stream on the target made progress.
    pub fn record_progress(&mut self, id: &EngineId) {
        if let Some(member) = self.members.get_mut(id) {
            member.stalls.clear();
        }
    }

    /// Notes that a stream on the target stalled; true if that ejects it.
    pub fn record_stall(&mut self, id: &EngineId, now: Instant) -> bool {
        let may_eject = self.ejected_count(now) < self.most_ejected();
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.stalls.retain(|at| now - *at <= STALL_WINDOW);
        member.stalls.push(now);
        if member.stalls.len() < STALLS_TO_EJECT || !may_eject {
            return false;
        }
        member.stalls.clear();
        let time = FIRST_EJECTION * 2_u32.saturating_pow(member.ejections.min(8));
        member.ejections += 1;
        member.ejected_until = Some(now + time.min(LONGEST_EJECTION));
        check_invariant!(
            self.ejected_count(now) <= self.most_ejected(),
            "ejections-bounded",
            "{} of {} targets are ejected",
            self.ejected_count(now),
            self.members.len()
        );
        true
    }

    /// Number of targets ejected now.
    pub fn ejected_count(&self, now: Instant) -> usize {
        let ejected = |member: &&Member| member.ejected_until.is_some_and(|until| until > now);
        self.members.values().filter(ejected).count()
    }

    /// Most targets that may be ejected at once: the share of them, but one in
    /// any fleet of at least two.
    pub fn most_ejected(&self) -> usize {
        let count = self.members.len();
        let share = (count as f64 * self.max_ejected_share).floor() as usize;
        share.max(1).min(count.saturating_sub(1))
    }
}
