//! Limits that targets name, kept by several instances that tell each other their
//! requests. Each target answers after a fixed time and names the limit that it has then.

use std::{collections::BTreeMap, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, InstanceId, ServiceId},
    serving::targets::limits::{LimitReport, LimitStatement, TargetLimits},
    units::RequestsPerSecond,
};

use crate::fleet::ms;

/// Window in which the requests to a target count.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first answer with a limit from which requests count.
const CONTACT_TIME_MS: u64 = 3_000;

/// Time from a request to the head of its response.
const RESPONSE_TIME_MS: u64 = 120;

/// Interval between two complete reports of an instance.
const REPORT_INTERVAL_MS: u64 = 400;

/// Share of the limit that instances with enough clients must use.
const MIN_USED_SHARE: f64 = 0.8;

fn target() -> EngineId {
    EngineId::new("t")
}

fn limit(per_s: f64) -> LimitStatement {
    LimitStatement::Limited(RequestsPerSecond(per_s))
}

/// A message with reports in transit.
#[derive(Clone)]
struct Message {
    arrives_at_ms: u64,
    from: usize,
    to: usize,
    sequence: u64,
    reports: Vec<LimitReport>,
}

/// Properties of one instance's network and clients.
#[derive(Clone, Copy)]
struct Member {
    /// Time from which it runs.
    from_ms: u64,
    /// Time at which it ends.
    until_ms: u64,
    /// Client requests per second that could be sent to the target.
    requests_per_s: f64,
    /// Delay of the messages to it.
    delay_ms: u64,
    /// Interval in which it neither gets nor sends messages.
    cut_ms: (u64, u64),
}

impl Member {
    fn new(requests_per_s: f64) -> Self {
        Self {
            from_ms: 0,
            until_ms: u64::MAX,
            requests_per_s,
            delay_ms: 5,
            cut_ms: (0, 0),
        }
    }

    fn runs(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }

    fn is_cut(&self, at_ms: u64) -> bool {
        (self.cut_ms.0..self.cut_ms.1).contains(&at_ms)
    }
}

/// What happened in a simulation.
struct Outcome {
    /// Times of the requests to the target.
    sent_ms: Vec<u64>,
    /// Time of the first answer with a limit.
    named_ms: Option<u64>,
}

impl Outcome {
    /// Asserts that no window has more requests than the users allow with `per_s`, from
    /// [`CONTACT_TIME_MS`] after the first naming, for windows within `from_ms..until_ms`.
    fn assert_within_limit(&self, per_s: f64, from_ms: u64, until_ms: u64) {
        let named_ms = self.named_ms.expect("the target names its limit");
        let from_ms = from_ms.max(named_ms + CONTACT_TIME_MS);
        let allowed = (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize;
        let window_ms = WINDOW.as_millis() as u64;
        for start in from_ms..until_ms.saturating_sub(window_ms) {
            let count = self.count(start, start + window_ms);
            assert!(
                count <= allowed,
                "{count} requests in 4 s from {start} ms, limit {per_s}/s, allowed {allowed}"
            );
        }
    }

    fn assert_used(&self, per_s: f64, from_ms: u64, until_ms: u64) {
        let count = self.count(from_ms, until_ms) as f64;
        let expected = MIN_USED_SHARE * per_s * (until_ms - from_ms) as f64 / 1e3;
        assert!(
            count >= expected,
            "{count} requests from {from_ms} to {until_ms} ms, limit {per_s}/s"
        );
    }

    fn count(&self, from_ms: u64, until_ms: u64) -> usize {
        let position = |at| self.sent_ms.partition_point(|sent| *sent < at);
        position(until_ms) - position(from_ms)
    }
}

/// Simulates `members` for `duration_ms` with a target that names the limit `named`
/// returns for a time. A share `loss` of the messages is lost.
fn simulate(
    members: &[Member],
    duration_ms: u64,
    loss: f64,
    seed: u64,
    named: impl Fn(u64) -> LimitStatement,
) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut states: Vec<TargetLimits> = members.iter().map(|_| TargetLimits::default()).collect();
    let mut heard: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut messages: Vec<Message> = Vec::new();
    let mut answers: Vec<(u64, usize, u64)> = Vec::new();
    let mut sequence = 0;
    let mut outcome = Outcome {
        sent_ms: Vec::new(),
        named_ms: None,
    };
    for at_ms in 0..duration_ms {
        let now = ms(at_ms);
        let (arrived, in_transit) = messages
            .into_iter()
            .partition(|message| message.arrives_at_ms <= at_ms);
        messages = in_transit;
        let arrived: Vec<Message> = arrived;
        for message in arrived {
            heard.insert((message.to, message.from), at_ms);
            let peer = InstanceId::new(format!("i{}", message.from));
            states[message.to].merge_reports(&peer, message.sequence, &message.reports, now);
        }
        for (index, member) in members.iter().enumerate() {
            if !member.runs(at_ms) {
                continue;
            }
            let state = &mut states[index];
            for (due_ms, owner, sent_ms) in &answers {
                if (*due_ms, *owner) == (at_ms, index) {
                    let statement = named(at_ms);
                    if statement != LimitStatement::Unlimited {
                        outcome.named_ms.get_or_insert(at_ms);
                    }
                    state.record_answer(&target(), statement, ms(*sent_ms), now);
                }
            }
            let is_due = (at_ms + index as u64 * 37).is_multiple_of(REPORT_INTERVAL_MS);
            if is_due {
                let ages = (0..members.len()).filter_map(|peer| heard.get(&(index, peer)));
                let ages: Vec<u64> = ages.map(|heard_ms| at_ms - heard_ms).collect();
                let count = |range: std::ops::Range<u64>| {
                    ages.iter().filter(|age| range.contains(age)).count() as u32
                };
                state.set_peers(count(0..1_201), count(1_201..6_001));
            }
            let arrives = rng.f64() < member.requests_per_s / 1e3;
            if arrives && state.wait(&target(), now).is_zero() {
                state.record_request(&target(), now);
                outcome.sent_ms.push(at_ms);
                answers.push((at_ms + RESPONSE_TIME_MS, index, at_ms));
            }
            let reports = match is_due {
                true => state.reports(now),
                false => state.take_changed_reports(now),
            };
            if (reports.is_empty() && !is_due) || member.is_cut(at_ms) {
                continue;
            }
            sequence += 1;
            for (to, recipient) in members.iter().enumerate() {
                let is_lost = rng.f64() < loss || recipient.is_cut(at_ms);
                if to != index && recipient.runs(at_ms) && !is_lost {
                    messages.push(Message {
                        arrives_at_ms: at_ms + recipient.delay_ms,
                        from: index,
                        to,
                        sequence,
                        reports: reports.clone(),
                    });
                }
            }
        }
        answers.retain(|(due_ms, ..)| *due_ms > at_ms);
    }
    outcome
}

/// Guards against instances that each use the whole limit, with clients spread evenly or
/// mostly at one instance, and against a limit that is left unused.
#[test]
fn instances_keep_to_a_limit_together_and_use_it() {
    for (seed, per_s) in [0.3_f64, 0.5, 1.1, 1.6, 5.0, 20.0].into_iter().enumerate() {
        for skewed in [false, true] {
            let mut members = vec![Member::new(per_s.max(1.0) * 2.0); 4];
            if skewed {
                members = vec![Member::new(per_s * 0.1); 4];
                members[0] = Member::new(per_s.max(1.0) * 8.0);
            }
            let outcome = simulate(&members, 30_000, 0.05, seed as u64, |_| limit(per_s));
            outcome.assert_within_limit(per_s, 0, 30_000);
            outcome.assert_used(per_s, 5_000, 30_000);
        }
    }
}

/// Guards against an excess that grows with the number of instances and clients.
#[test]
fn a_hundred_instances_keep_to_a_limit() {
    for (seed, per_s) in [1.0, 10.0].into_iter().enumerate() {
        let members = vec![Member::new(2.0); 118];
        let outcome = simulate(&members, 12_000, 0.02, seed as u64, |_| limit(per_s));
        outcome.assert_within_limit(per_s, 0, 12_000);
        outcome.assert_used(per_s, 4_000, 12_000);
    }
}

/// Guards against requests beyond the limit when an instance ends, and another one starts
/// that does not know the limit yet; what the one that ended used is free for the others.
#[test]
fn a_limit_holds_while_an_instance_leaves_and_another_starts() {
    for seed in 0..5 {
        let mut members = vec![Member::new(4.0); 4];
        members[0].until_ms = 10_000;
        members[3].from_ms = 15_000;
        let outcome = simulate(&members, 40_000, 0.02, seed, |_| limit(2.0));
        outcome.assert_within_limit(2.0, 0, 40_000);
        outcome.assert_used(2.0, 18_000, 40_000);
    }
}

/// Guards against requests beyond the limit by an instance that hears of the others'
/// requests late, or not for some seconds.
#[test]
fn a_limit_holds_when_an_instance_hears_late_or_nothing() {
    for seed in 0..5 {
        let mut members = vec![Member::new(20.0); 4];
        members[1].delay_ms = 900;
        let outcome = simulate(&members, 20_000, 0.02, seed, |_| limit(8.0));
        outcome.assert_within_limit(8.0, 0, 20_000);

        let mut members = vec![Member::new(20.0); 4];
        members[1].cut_ms = (8_000, 14_000);
        let outcome = simulate(&members, 25_000, 0.02, seed, |_| limit(8.0));
        outcome.assert_within_limit(8.0, 0, 25_000);
    }
}

/// Guards against an old limit that stays in force after the target has named another
/// one, and against one answer without a limit that withdraws it.
#[test]
fn a_limit_is_raised_lowered_and_withdrawn() {
    for seed in 0..5 {
        let members = vec![Member::new(10.0); 4];
        let named = |at_ms: u64| match at_ms {
            0..15_000 => limit(2.0),
            15_000..30_000 => limit(8.0),
            30_000..45_000 => limit(1.0),
            _ => LimitStatement::Unlimited,
        };
        let outcome = simulate(&members, 60_000, 0.02, seed, named);
        outcome.assert_within_limit(2.0, 0, 15_000);
        outcome.assert_within_limit(8.0, 0, 30_000);
        outcome.assert_used(8.0, 17_000, 30_000);
        outcome.assert_within_limit(1.0, 33_000, 45_000);
        // Four times 10 requests per second without a limit.
        outcome.assert_used(40.0, 50_000, 60_000);
    }
}

/// Guards against answers that overtake each other: one that was sent before the limit
/// was named does not withdraw it, and one without a limit alone does not either.
#[test]
fn a_limit_is_withdrawn_by_two_later_answers_without_one() {
    let mut limits = TargetLimits::default();
    let answer = |limits: &mut TargetLimits, statement, sent_ms, at_ms| {
        limits.record_answer(&target(), statement, ms(sent_ms), ms(at_ms));
        limits.limit(&target()).is_some()
    };
    assert!(answer(&mut limits, limit(2.0), 0, 100));
    for at_ms in 101..120 {
        assert!(answer(&mut limits, LimitStatement::Unlimited, 50, at_ms));
    }
    assert!(answer(&mut limits, LimitStatement::Unlimited, 130, 200));
    assert!(answer(&mut limits, LimitStatement::Unlimited, 140, 210));
    assert!(answer(&mut limits, limit(2.0), 150, 220));
    assert!(answer(&mut limits, LimitStatement::Unlimited, 230, 300));
    assert!(!answer(&mut limits, LimitStatement::Unlimited, 310, 400));
}

/// Guards against a withdrawn limit that comes back with the report of a peer that was
/// away, or at an instance that starts after the withdrawal.
#[test]
fn a_withdrawn_limit_does_not_come_back_with_an_old_report() {
    let mut limits = TargetLimits::default();
    limits.record_answer(&target(), limit(2.0), ms(0), ms(5_000));
    let old = limits.reports(ms(5_000));
    for (sent_ms, at_ms) in [(6_000, 6_100), (6_200, 6_300)] {
        limits.record_answer(&target(), LimitStatement::Unlimited, ms(sent_ms), ms(at_ms));
    }
    let mut late = old.clone();
    late[0].named_age = Some(Duration::from_secs(15));
    limits.merge_reports(&InstanceId::new("b"), 1, &late, ms(20_000));
    assert_eq!(limits.limit(&target()), None);

    // All ages are longer than the time since the start of this instance.
    let mut started = TargetLimits::default();
    let reports = limits.reports(ms(20_000));
    started.merge_reports(&InstanceId::new("a"), 1, &reports, ms(300));
    assert_eq!(started.limit(&target()), None);
    started.merge_reports(&InstanceId::new("b"), 1, &late, ms(310));
    assert_eq!(started.limit(&target()), None);
}

/// Guards against requests of a peer that no longer count when its process is replaced.
#[test]
fn requests_of_a_replaced_process_count_until_they_have_decayed() {
    let mut peer = TargetLimits::default();
    let mut limits = TargetLimits::default();
    peer.record_answer(&target(), limit(2.0), ms(0), ms(0));
    for _ in 0..4 {
        peer.record_request(&target(), ms(10));
    }
    limits.merge_reports(&InstanceId::new("a"), 7, &peer.reports(ms(10)), ms(10));
    let before = limits.wait(&target(), ms(20));
    assert!(before > Duration::ZERO);
    limits.record_peer_restart(&InstanceId::new("a"), ms(20));
    assert_eq!(limits.wait(&target(), ms(20)), before);
    // The new process numbers its reports from the start.
    let restarted = [LimitReport {
        sent_count: 3.0,
        ..peer.reports(ms(10))[0].clone()
    }];
    limits.merge_reports(&InstanceId::new("a"), 1, &restarted, ms(30));
    assert!(limits.wait(&target(), ms(30)) > before);
}

/// Guards against clients that are all told to return at the time at which the limit
/// allows a single request.
#[test]
fn refused_clients_return_at_the_rate_of_the_limit() {
    let mut limits = TargetLimits::default();
    limits.record_answer(&target(), limit(2.0), ms(0), ms(0));
    limits.set_peers(3, 0);
    let service = ServiceId::new("s");
    let mut delays = Vec::new();
    for _ in 0..5 {
        let now = Instant::ZERO;
        let wait = Duration::from_millis(300);
        delays.push(limits.take_retry_delay(&service, &[target()], wait, now));
    }
    assert_eq!(delays[0], Duration::from_millis(300));
    for pair in delays.windows(2) {
        // A quarter of the limit of 2 requests per second is this instance's part.
        assert_eq!(pair[1] - pair[0], Duration::from_secs(2));
    }
}

/// Guards against a limit that seems to be named again and again, as instances pass on
/// each other's reports.
#[test]
fn only_the_instance_that_got_an_answer_tells_its_age() {
    let mut first = TargetLimits::default();
    let mut second = TargetLimits::default();
    first.record_answer(&target(), limit(2.0), ms(0), ms(100));
    second.merge_reports(&InstanceId::new("a"), 1, &first.reports(ms(100)), ms(105));
    assert_eq!(second.limit(&target()), Some(RequestsPerSecond(2.0)));
    assert_eq!(second.reports(ms(200))[0].named_age, None);
    let age = Some(Duration::from_millis(100));
    assert_eq!(first.reports(ms(200))[0].named_age, age);
}

/// Guards against a report with an impossible count that stops the instance, or keeps a
/// target from getting requests for good.
#[test]
fn impossible_counts_in_reports_are_bounded() {
    for sent_count in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        let mut peer = TargetLimits::default();
        let mut limits = TargetLimits::default();
        peer.record_answer(&target(), limit(2.0), ms(0), ms(0));
        let report = LimitReport {
            sent_count,
            ..peer.reports(ms(10))[0].clone()
        };
        limits.merge_reports(&InstanceId::new("a"), 1, &[report], ms(10));
        assert!(limits.wait(&target(), ms(10)) <= Duration::from_secs(15));
    }
}
