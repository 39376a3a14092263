//! Requests whose content crashes engines, and the other requests on those engines.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{
    dispatcher, engine_id, finished_requests, lead_engine, ms, only_refusal, report_all, request,
    run_timers, sent_attempts,
};
use cyclamengauge_core::{
    dispatch::{Action, Dispatcher, Failure, Outcome, OutgoingAttempt, ProbeResult},
    ids::{EngineId, RequestId},
    recovery::quarantine::{MAX_CRASHES_PER_CONTENT, PeerVerdict, QUARANTINE_TIME},
    request::{ExecutionState, Fingerprint, RefusalReason},
    routing::LoadReport,
};

const ENGINES: usize = 8;
/// Number of the request that crashes its engines.
const CRASHING_REQUEST: u64 = 999;

fn crashing_fingerprint() -> Fingerprint {
    request(CRASHING_REQUEST, 1).fingerprint
}

/// A dispatcher with engines in virtual time. Engines that receive the crashing
/// content crash and restart. Records the crashed engines and the outcomes.
struct Cluster {
    dispatcher: Dispatcher,
    running_attempts: Vec<OutgoingAttempt>,
    crashing_requests: BTreeSet<RequestId>,
    crashed_engines: Vec<EngineId>,
    outcomes: Vec<(RequestId, Outcome)>,
    incarnations: Vec<u64>,
    /// Engines that stay dead and fail a probe on each advance.
    dead_engines: BTreeSet<usize>,
    now_ms: u64,
}

impl Cluster {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(ENGINES),
            running_attempts: Vec::new(),
            crashing_requests: BTreeSet::new(),
            crashed_engines: Vec::new(),
            outcomes: Vec::new(),
            incarnations: vec![1; ENGINES],
            dead_engines: BTreeSet::new(),
            now_ms: 1,
        }
    }

    fn submit(&mut self, number: u64, is_crashing: bool) {
        let mut new_request = request(number, 2_000);
        new_request.deadline = ms(self.now_ms + 600_000);
        if is_crashing {
            new_request.fingerprint = crashing_fingerprint();
            self.crashing_requests.insert(new_request.id);
        }
        let actions = self.dispatcher.submit_request(new_request, ms(self.now_ms));
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        self.running_attempts.extend(sent_attempts(&actions));
        self.outcomes.extend(finished_requests(&actions));
        for action in actions {
            if let Action::Probe(engine) = action {
                let probe_actions = self.dispatcher.handle_probe_result(
                    &engine,
                    ProbeResult::Dead,
                    ms(self.now_ms),
                    ms(self.now_ms),
                );
                self.apply(probe_actions);
            }
        }
    }

    /// Crashes one engine that runs the crashing content; its next report has a new
    /// incarnation. Returns false if there is none.
    fn crash_one_engine(&mut self) -> bool {
        let crashing_attempt = self
            .running_attempts
            .iter()
            .find(|s| self.crashing_requests.contains(&s.request));
        let Some(engine) = crashing_attempt.map(lead_engine) else {
            return false;
        };
        self.crashed_engines.push(engine.clone());
        let affected: Vec<OutgoingAttempt> = self
            .running_attempts
            .iter()
            .filter(|s| lead_engine(s) == engine)
            .cloned()
            .collect();
        self.running_attempts.retain(|s| lead_engine(s) != engine);
        for sent in affected {
            let actions =
                self.dispatcher
                    .handle_failure(sent.attempt, Failure::Broken, ms(self.now_ms));
            self.apply(actions);
        }
        let number: usize = engine.as_str()[1..].parse().unwrap();
        self.incarnations[number] += 1;
        true
    }

    /// Advances the clock, delivers a report or failed probe of each engine and runs
    /// the due timers.
    fn advance(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
        for number in 0..ENGINES {
            if self.dead_engines.contains(&number) {
                let dead_engine = engine_id(number);
                let actions = self.dispatcher.handle_probe_result(
                    &dead_engine,
                    ProbeResult::Dead,
                    ms(self.now_ms),
                    ms(self.now_ms),
                );
                self.apply(actions);
                continue;
            }
            let incarnation = self.incarnations[number];
            let idle = LoadReport::default();
            let actions = self.dispatcher.handle_report(
                &engine_id(number),
                incarnation,
                false,
                &idle,
                ms(self.now_ms),
            );
            self.apply(actions);
        }
        let actions = run_timers(&mut self.dispatcher, ms(self.now_ms));
        self.apply(actions);
    }

    fn complete_harmless_requests(&mut self) {
        let (crashing, harmless): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running_attempts)
            .into_iter()
            .partition(|s| self.crashing_requests.contains(&s.request));
        self.running_attempts = crashing;
        for sent in harmless {
            let actions = self
                .dispatcher
                .handle_completion(sent.attempt, ms(self.now_ms));
            self.apply(actions);
        }
    }

    /// Runs 40 s of virtual time, in which engines crash and harmless requests
    /// complete.
    fn run_for_40_s(&mut self) {
        for _ in 0..400 {
            self.advance(100);
            self.crash_one_engine();
            self.complete_harmless_requests();
        }
    }
}

#[test]
fn crashing_content_crashes_two_engines_and_other_requests_complete() {
    let mut cluster = Cluster::new();
    for number in 0..40 {
        cluster.submit(number, false);
    }
    cluster.submit(CRASHING_REQUEST, true);
    assert!(cluster.crash_one_engine());
    cluster.run_for_40_s();
    assert_eq!(
        cluster.crashed_engines.len() as u32,
        MAX_CRASHES_PER_CONTENT
    );
    let completed = cluster
        .outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Completed)
        .count();
    assert_eq!(completed, 40);
    let outcome = cluster
        .outcomes
        .iter()
        .find(|(id, _)| *id == RequestId(CRASHING_REQUEST));
    let Some((_, Outcome::Refused(refusal))) = outcome else {
        panic!("expected a refusal of the crashing request, got {outcome:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert_eq!(refusal.ran, ExecutionState::Unknown);
}

#[test]
fn each_copy_of_a_crashing_request_crashes_at_most_one_more_engine() {
    for copies in 2..5 {
        let mut cluster = Cluster::new();
        for number in 0..copies {
            cluster.submit(1_000 + number, true);
        }
        cluster.run_for_40_s();
        // One engine for each copy, one for the isolated run, and one more because
        // that many crashes count as a mass failure.
        let bound = MAX_CRASHES_PER_CONTENT as usize + copies as usize;
        assert!(
            cluster.crashed_engines.len() <= bound,
            "expected at most {bound} crashed engines for {copies} copies, got {:?}",
            cluster.crashed_engines
        );
        assert_eq!(cluster.dispatcher.in_flight(), 0);
    }
}

#[test]
fn quarantined_content_is_refused_under_a_new_id_until_the_verdict_expires() {
    let mut cluster = Cluster::new();
    cluster.submit(CRASHING_REQUEST, true);
    cluster.run_for_40_s();
    let crashes = cluster.crashed_engines.len();
    cluster.submit(2_000, true);
    let (_, outcome) = cluster.outcomes.last().unwrap().clone();
    let Outcome::Refused(refusal) = outcome else {
        panic!("expected a refusal, got {outcome:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::Quarantined, ExecutionState::NotExecuted)
    );
    assert!(refusal.retry_after.unwrap() > Duration::from_secs(60));
    assert_eq!(cluster.crashed_engines.len(), crashes);
    cluster.now_ms += QUARANTINE_TIME.as_millis() as u64 + 1;
    cluster.advance(100);
    cluster.submit(2_001, true);
    assert_eq!(
        cluster.running_attempts.len(),
        1,
        "expected the content to be admitted after the verdict expired"
    );
}

#[test]
fn quarantine_received_from_a_peer_refuses_the_content() {
    let mut cluster = Cluster::new();
    cluster.submit(CRASHING_REQUEST, true);
    cluster.run_for_40_s();
    let notices = cluster
        .dispatcher
        .quarantine()
        .quarantined_verdicts(10, ms(cluster.now_ms));
    assert_eq!(notices.len(), 1);
    let mut peer = dispatcher(ENGINES);
    peer.handle_peer_verdict(&notices[0], ms(5));
    let mut resent = request(7, 2_000);
    resent.fingerprint = crashing_fingerprint();
    let refusal = only_refusal(&peer.submit_request(resent, ms(6)));
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::Quarantined, ExecutionState::NotExecuted)
    );
}

#[test]
fn suspect_runs_alone_on_its_engine() {
    let mut cluster = Cluster::new();
    for number in 0..16 {
        cluster.submit(number, false);
    }
    cluster.submit(CRASHING_REQUEST, true);
    cluster.crash_one_engine();
    cluster.complete_harmless_requests();
    cluster.advance(100);
    let isolated: Vec<&OutgoingAttempt> = cluster
        .running_attempts
        .iter()
        .filter(|s| s.plan.choice.to_string() == "isolated")
        .collect();
    assert!(!isolated.is_empty());
    let engines: BTreeSet<EngineId> = isolated.iter().map(|s| lead_engine(s)).collect();
    assert_eq!(
        engines.len(),
        isolated.len(),
        "expected one engine per isolated suspect"
    );
    let isolated_engine = engines.into_iter().next().unwrap();
    for number in 100..160 {
        cluster.submit(number, false);
    }
    let on_isolated_engine = cluster
        .running_attempts
        .iter()
        .filter(|s| lead_engine(s) == isolated_engine)
        .count();
    assert_eq!(
        on_isolated_engine, 1,
        "expected only the suspect on its isolated engine"
    );
}

#[test]
fn mass_failure_quarantines_no_content() {
    let mut cluster = Cluster::new();
    for number in 0..80 {
        cluster.submit(number, false);
    }
    for engine in 0..5 {
        let id = engine_id(engine);
        let affected: Vec<OutgoingAttempt> = cluster
            .running_attempts
            .iter()
            .filter(|s| lead_engine(s) == id)
            .cloned()
            .collect();
        cluster.running_attempts.retain(|s| lead_engine(s) != id);
        for sent in affected {
            let actions = cluster.dispatcher.handle_failure(
                sent.attempt,
                Failure::Broken,
                ms(cluster.now_ms),
            );
            cluster.apply(actions);
        }
        cluster.incarnations[engine] += 1;
    }
    for _ in 0..200 {
        cluster.advance(100);
        cluster.complete_harmless_requests();
    }
    let completed = cluster
        .outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Completed)
        .count();
    assert_eq!(
        completed, 80,
        "expected 80 completed requests, got {:?}",
        cluster.outcomes
    );
    let now = ms(cluster.now_ms);
    assert!(
        cluster
            .dispatcher
            .quarantine()
            .quarantined_verdicts(10, now)
            .is_empty()
    );
}

#[test]
fn weaker_verdict_from_a_peer_does_not_weaken_a_quarantine() {
    let mut cluster = Cluster::new();
    cluster.submit(CRASHING_REQUEST, true);
    cluster.run_for_40_s();
    let weaker_notice = PeerVerdict {
        fingerprint: crashing_fingerprint(),
        quarantined: false,
        crashes: 1,
        remaining: Duration::from_secs(1),
    };
    cluster
        .dispatcher
        .handle_peer_verdict(&weaker_notice, ms(cluster.now_ms));
    let mut resent = request(7, 2_000);
    resent.fingerprint = crashing_fingerprint();
    let refusal = only_refusal(
        &cluster
            .dispatcher
            .submit_request(resent, ms(cluster.now_ms)),
    );
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    report_all(&mut cluster.dispatcher, 0, ms(cluster.now_ms));
}

#[test]
fn suspects_of_two_instances_never_share_an_engine() {
    let settings = |index| cyclamengauge_core::dispatch::Settings {
        fleet: cyclamengauge_core::routing::FleetSettings {
            instances: 2,
            instance_index: index,
            seed: u64::from(index),
            ..Default::default()
        },
        ..Default::default()
    };
    let mut engines = BTreeSet::new();
    for index in 0..2 {
        let mut dispatcher = common::dispatcher_with_settings(ENGINES, settings(index));
        let sent_before_crash: Vec<OutgoingAttempt> = (0..40)
            .flat_map(|i| sent_attempts(&dispatcher.submit_request(request(i, 2_000), ms(1))))
            .collect();
        let crashed_engine = engine_id(0);
        let affected = sent_before_crash
            .iter()
            .filter(|s| lead_engine(s) == crashed_engine);
        for sent in affected {
            dispatcher.handle_failure(sent.attempt, Failure::Broken, ms(2));
        }
        // Only one of the instances has detected the crash of another engine.
        if index == 0 {
            dispatcher.handle_probe_result(&engine_id(5), ProbeResult::Dead, ms(2), ms(2));
        }
        let actions =
            dispatcher.handle_probe_result(&crashed_engine, ProbeResult::Dead, ms(2), ms(2));
        let timer_actions = run_timers(&mut dispatcher, ms(2_000));
        let isolated = sent_attempts(&actions)
            .into_iter()
            .chain(sent_attempts(&timer_actions));
        for sent in isolated.filter(|s| s.plan.choice.to_string() == "isolated") {
            assert!(engines.insert((lead_engine(&sent), index)));
        }
    }
    let engine_ids: BTreeSet<&EngineId> = engines.iter().map(|(id, _)| id).collect();
    let instances: BTreeSet<u32> = engines.iter().map(|(_, index)| *index).collect();
    assert_eq!(
        instances.len(),
        2,
        "expected isolated suspects of both instances, got {engines:?}"
    );
    assert_eq!(
        engine_ids.len(),
        engines.len(),
        "expected distinct engines, got {engines:?}"
    );
}

#[test]
fn repeatedly_failed_probes_do_not_count_as_a_mass_failure() {
    let mut cluster = Cluster::new();
    cluster.dead_engines = BTreeSet::from([5, 6, 7]);
    for _ in 0..60 {
        cluster.advance(100);
    }
    cluster.submit(CRASHING_REQUEST, true);
    cluster.run_for_40_s();
    assert_eq!(
        cluster.crashed_engines.len() as u32,
        MAX_CRASHES_PER_CONTENT
    );
}
