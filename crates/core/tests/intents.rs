//! Tests of declaration checks, plans, confirmations, configuration versions, deltas,
//! leases and orders.

mod common;

use std::time::Duration;

use common::ms;
use cyclamengauge_core::{
    ids::EngineId,
    intent::{
        self, Confirmation, ConfirmationEvent, ConfirmationOutcome, ConfirmationStep,
        CurrentConfiguration, Freshness, LEASE_TTL, Lease, LeaseEvent, LeaseStep, ObservedEngine,
        ObservedFleet, OfferOutcome, OrderLimits,
    },
};
use cyclamengauge_schema::v1;

fn engine(number: usize) -> v1::Engine {
    v1::Engine {
        name: format!("e{number}"),
        address: format!("10.0.0.{number}:9000"),
        data_centre: "dc1".to_owned(),
        model: "rounds".to_owned(),
        accelerators: 8,
        memory_tokens: 450_000,
        slots: 64,
        prefill_tokens_per_s: 50_000,
        role: v1::EngineRole::Serving.into(),
        ..v1::Engine::default()
    }
}

fn declaration(engines: usize, min_engines: u32) -> v1::Declaration {
    v1::Declaration {
        models: vec![v1::Model {
            name: "rounds".to_owned(),
            version: "1".to_owned(),
            min_engines,
            ..v1::Model::default()
        }],
        engines: (1..=engines).map(engine).collect(),
        routing: Some(v1::RoutingPolicy {
            bytes_per_token: 4.0,
            max_ejected_share: 0.2,
            stall_timeout_ms: 3_000,
            ..v1::RoutingPolicy::default()
        }),
        ..v1::Declaration::default()
    }
}

fn observed_fleet(declaration: &v1::Declaration) -> ObservedFleet {
    let engines = declaration.engines.iter().map(|engine| {
        let state = ObservedEngine {
            model: "rounds".into(),
            version: "1".into(),
            ..ObservedEngine::default()
        };
        (EngineId::new(&engine.name), state)
    });
    ObservedFleet {
        engines: engines.collect(),
    }
}

fn accepted(version: u64, plan_id: &str) -> v1::Accepted {
    v1::Accepted {
        version,
        plan_id: plan_id.to_owned(),
        operator: "anna".to_owned(),
        history: vec![v1::HistoryEntry {
            version,
            plan_id: plan_id.to_owned(),
            ..v1::HistoryEntry::default()
        }],
        ..v1::Accepted::default()
    }
}

#[test]
fn check_reports_every_fault_with_path_given_value_and_allowed_values() {
    let mut faulty = declaration(2, 3);
    faulty.engines[1].name = "e1".to_owned();
    faulty.engines[1].address = "somewhere".to_owned();
    faulty.engines[1].slots = 0;
    faulty.engines[0].model = "ronuds".to_owned();
    faulty.accounts.push(v1::ClientAccount {
        name: "desk".to_owned(),
        key_sha256: vec!["short".to_owned()],
        ..v1::ClientAccount::default()
    });
    let faults = intent::check(&faulty);
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    engines[1].name: given e1, allowed a name not used before
    engines[0].model: given `ronuds`, allowed a declared model
    engines[1].address: given `somewhere`, allowed an IP number and port, as 10.0.0.1:8000
    engines[1].slots: given 0, allowed 1 or more requests
    accounts[0].weight: given 0, allowed above 0
    accounts[0].requests_per_s: given 0, allowed above 0 requests/s
    accounts[0].prompt_tokens_per_s: given 0, allowed above 0 tokens/s
    accounts[0].max_concurrent: given 0, allowed 1 or more requests
    accounts[0].key_sha256[0]: given `short`, allowed 64 hex digits
    models[0].min_engines: given 1 engines, allowed 3 or more engines that serve `rounds`
    ");
}

#[test]
fn declaration_that_drains_a_model_below_min_engines_is_faulty() {
    let mut desired = declaration(3, 3);
    desired.engines[0].drain = true;
    let faults = intent::check(&desired);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].path, "models[0].min_engines");
}

#[test]
fn plan_lists_changed_fields_and_drain_orders() {
    let base = declaration(4, 2);
    let mut desired = base.clone();
    desired.engines[0].drain = true;
    desired.engines.remove(3);
    desired.models[0].min_engines = 1;
    let mut base_accepted = accepted(7, "p7");
    base_accepted.declaration = Some(base.clone());
    let plan = intent::plan(
        Some(&base_accepted),
        &desired,
        &observed_fleet(&base),
        "anna",
    );
    assert_eq!(plan.base_version, 7);
    insta::assert_snapshot!(plan.changes.join("\n"), @r"
    ~ model rounds: min_engines 2 -> 1
    ~ engine e1: drain unset -> true
    - engine e4
    ");
    let steps: Vec<String> = plan
        .steps
        .iter()
        .map(|s| {
            format!(
                "{} {} {} left {}",
                s.number,
                s.order().as_str_name(),
                s.engine,
                s.engines_left
            )
        })
        .collect();
    assert_eq!(steps, ["1 ORDER_KIND_DRAIN e1 left 2"]);
}

#[test]
fn plan_id_depends_on_base_version_fleet_and_declaration() {
    let desired = declaration(2, 1);
    let fleet = observed_fleet(&desired);
    let id = |base: Option<&v1::Accepted>, fleet: &ObservedFleet, desired: &v1::Declaration| {
        intent::plan(base, desired, fleet, "anna").id
    };
    let first = id(None, &fleet, &desired);
    assert_eq!(first, id(None, &fleet, &desired));
    assert_ne!(first, id(Some(&accepted(1, "p")), &fleet, &desired));
    assert_ne!(first, id(None, &ObservedFleet::default(), &desired));
    assert_ne!(first, id(None, &fleet, &declaration(1, 1)));
}

fn begin_confirmation(base_version: u64, plan_id: &str) -> Confirmation {
    let plan = v1::Plan {
        id: plan_id.to_owned(),
        base_version,
        declaration: Some(declaration(1, 0)),
        ..v1::Plan::default()
    };
    Confirmation::begin(plan, "bert", 5).0
}

#[test]
fn write_that_took_effect_without_a_reply_is_reported_as_accepted() {
    let mut confirmation = begin_confirmation(1, "mine");
    let ConfirmationStep::Write(row) =
        confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(1, "p1")))))
    else {
        panic!("expected a write of a plan whose base version is current");
    };
    assert_eq!(
        confirmation.handle_event(ConfirmationEvent::WriteReplyLost),
        ConfirmationStep::Read
    );
    let step = confirmation.handle_event(ConfirmationEvent::Read(Some(row)));
    assert!(
        matches!(
            step,
            ConfirmationStep::Done(ConfirmationOutcome::Accepted(_))
        ),
        "expected acceptance, got {step:?}"
    );
}

#[test]
fn write_that_had_no_effect_and_no_reply_is_repeated() {
    let mut confirmation = begin_confirmation(1, "mine");
    let current = || ConfirmationEvent::Read(Some(Box::new(accepted(1, "p1"))));
    assert!(matches!(
        confirmation.handle_event(current()),
        ConfirmationStep::Write(_)
    ));
    confirmation.handle_event(ConfirmationEvent::WriteReplyLost);
    assert!(matches!(
        confirmation.handle_event(current()),
        ConfirmationStep::Write(_)
    ));
}

#[test]
fn conflicting_confirmation_is_refused_with_operator_and_accepted_plan() {
    let mut confirmation = begin_confirmation(1, "mine");
    confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(1, "p1")))));
    assert_eq!(
        confirmation.handle_event(ConfirmationEvent::Conflict),
        ConfirmationStep::Read
    );
    let step = confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(
        2, "theirs",
    )))));
    let ConfirmationStep::Done(ConfirmationOutcome::Refused(detail)) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert!(
        detail.contains("anna") && detail.contains("theirs"),
        "expected the operator and plan of the accepted version, got: {detail}"
    );
}

#[test]
fn outcome_is_unknown_if_the_store_does_not_respond_after_a_write() {
    let mut confirmation = begin_confirmation(0, "mine");
    confirmation.handle_event(ConfirmationEvent::Read(None));
    let mut step = confirmation.handle_event(ConfirmationEvent::WriteReplyLost);
    while step == ConfirmationStep::Read {
        step = confirmation.handle_event(ConfirmationEvent::ReadFailed);
    }
    assert_eq!(step, ConfirmationStep::Done(ConfirmationOutcome::Unknown));
}

#[test]
fn confirmation_is_refused_without_a_write_if_the_first_reads_fail() {
    let mut confirmation = begin_confirmation(0, "mine");
    let mut step = ConfirmationStep::Read;
    while step == ConfirmationStep::Read {
        step = confirmation.handle_event(ConfirmationEvent::ReadFailed);
    }
    assert!(
        matches!(
            step,
            ConfirmationStep::Done(ConfirmationOutcome::Refused(_))
        ),
        "expected a refusal, got {step:?}"
    );
}

#[test]
fn plan_in_the_history_of_a_later_version_is_reported_as_accepted() {
    let mut confirmation = begin_confirmation(1, "mine");
    let mut row = accepted(3, "later");
    row.history.push(v1::HistoryEntry {
        version: 2,
        plan_id: "mine".to_owned(),
        ..v1::HistoryEntry::default()
    });
    let step = confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(row))));
    assert!(
        matches!(
            step,
            ConfirmationStep::Done(ConfirmationOutcome::Accepted(_))
        ),
        "expected acceptance, got {step:?}"
    );
}

#[test]
fn older_configuration_is_discarded_and_old_verification_is_stale() {
    let mut current = CurrentConfiguration::default();
    assert_eq!(current.offer(accepted(3, "p3")), OfferOutcome::Newer);
    assert_eq!(current.freshness(ms(1)), Freshness::Unverified);
    assert_eq!(current.offer(accepted(2, "p2")), OfferOutcome::Older);
    assert_eq!(current.version(), 3);
    current.record_verified(3, ms(1_000));
    assert_eq!(current.freshness(ms(2_000)), Freshness::Verified);
    let later = ms(61_000);
    assert_eq!(
        current.freshness(later),
        Freshness::Stale(Duration::from_secs(60))
    );
}

/// In-memory table service with a single lease row.
#[derive(Default)]
struct LeaseTable {
    version: u64,
    row: Option<v1::LeaseRow>,
}

impl LeaseTable {
    /// Returns the result of a step; `None` if the step is to wait.
    fn execute(&mut self, step: &LeaseStep) -> Option<LeaseEvent> {
        match step {
            LeaseStep::Wait => None,
            LeaseStep::Read => Some(LeaseEvent::Read {
                version: self.version,
                row: self.row.clone(),
            }),
            LeaseStep::Write { if_version, row } if *if_version == self.version => {
                self.version += 1;
                self.row = Some(row.clone());
                Some(LeaseEvent::Written {
                    version: self.version,
                })
            }
            LeaseStep::Write { .. } => Some(LeaseEvent::Conflict),
        }
    }

    /// Ticks the lease and executes its steps until it waits.
    fn tick(&mut self, lease: &mut Lease, now_ms: u64) {
        let mut step = lease.tick(ms(now_ms));
        while let Some(event) = self.execute(&step) {
            step = lease.handle_event(event, ms(now_ms));
        }
    }
}

#[test]
fn vacant_lease_is_acquired_and_kept_by_renewals() {
    let (mut table, mut lease) = (LeaseTable::default(), Lease::new("a"));
    for second in 0..100 {
        table.tick(&mut lease, second * 1_000);
        assert_eq!(
            lease.fence(ms(second * 1_000)),
            Some(1),
            "expected fence 1 at second {second}"
        );
    }
}

#[test]
fn lease_of_a_paused_holder_expires_before_another_instance_acquires_it() {
    let mut table = LeaseTable::default();
    let (mut paused, mut other) = (Lease::new("a"), Lease::new("b"));
    table.tick(&mut paused, 0);
    table.tick(&mut other, 10);
    let mut acquired = None;
    for now_ms in (0..40_000).step_by(500) {
        table.tick(&mut other, now_ms);
        let (old, new) = (paused.fence(ms(now_ms)), other.fence(ms(now_ms)));
        assert!(
            old.is_none() || new.is_none(),
            "expected one holder at {now_ms} ms, got fences {old:?} and {new:?}"
        );
        acquired = acquired.or(new.map(|fence| (now_ms, fence)));
    }
    let (acquired_at_ms, fence) = acquired.expect("the other instance acquires the lease");
    assert_eq!(fence, 2);
    assert!(Duration::from_millis(acquired_at_ms) <= LEASE_TTL + Duration::from_secs(4));
    // The paused holder resumes and reads that another instance holds the lease.
    table.tick(&mut paused, 40_000);
    assert_eq!(paused.fence(ms(40_000)), None);
}

#[test]
fn resigned_lease_can_be_acquired_before_its_time_to_live_ends() {
    let mut table = LeaseTable::default();
    let (mut first, mut second) = (Lease::new("a"), Lease::new("b"));
    table.tick(&mut first, 0);
    let step = first.resign().unwrap();
    table.execute(&step);
    table.tick(&mut second, 3_000);
    assert_eq!(second.fence(ms(3_000)), Some(2));
    assert_eq!(first.fence(ms(3_000)), None);
}

#[test]
fn rollout_keeps_min_engines_serving_and_respects_max_model_loads() {
    let mut desired = declaration(6, 4);
    desired.models[0].version = "2".to_owned();
    let mut fleet = observed_fleet(&desired);
    let limits = OrderLimits {
        max_model_loads: 1,
        running_model_loads: 0,
    };
    let mut round = 0;
    loop {
        let orders = intent::next_orders(&desired, &fleet, limits);
        if orders.is_empty() {
            break;
        }
        let loads = orders
            .iter()
            .filter(|(_, o)| o.kind() == v1::OrderKind::LoadModel)
            .count();
        assert!(loads <= 1, "expected at most 1 load order, got {loads}");
        for (id, order) in orders {
            let engine = fleet.engines.get_mut(&id).unwrap();
            match order.kind() {
                v1::OrderKind::Drain => engine.draining = true,
                v1::OrderKind::Serve => engine.draining = false,
                _ => engine.version = order.version.as_str().into(),
            }
        }
        let serving = fleet.engines.values().filter(|e| !e.draining).count();
        assert!(
            serving >= 4,
            "expected at least 4 serving engines, got {serving}"
        );
        round += 1;
        assert!(round < 100, "expected the rollout to end within 100 rounds");
    }
    assert!(
        fleet
            .engines
            .values()
            .all(|e| e.version == "2" && !e.draining)
    );
}

#[test]
fn engine_with_requests_in_progress_gets_no_load_order() {
    let mut desired = declaration(2, 0);
    desired.models[0].version = "2".to_owned();
    let mut fleet = observed_fleet(&desired);
    for engine in fleet.engines.values_mut() {
        engine.draining = true;
        engine.running = 3;
    }
    let limits = OrderLimits {
        max_model_loads: 2,
        running_model_loads: 0,
    };
    assert!(intent::next_orders(&desired, &fleet, limits).is_empty());
}

fn successor(old: &v1::Accepted, declaration: v1::Declaration) -> v1::Accepted {
    v1::Accepted {
        declaration: Some(intent::canonicalize(declaration)),
        ..accepted(old.version + 1, &format!("p{}", old.version + 1))
    }
}

#[test]
fn applied_deltas_give_the_same_configuration_as_the_sender() {
    let mut first = accepted(1, "p1");
    first.declaration = Some(intent::canonicalize(declaration(40, 2)));
    let mut changed = declaration(41, 3);
    changed.engines[5].drain = true;
    changed.engines.remove(20);
    let second = successor(&first, changed);
    let third = successor(&second, declaration(3, 1));

    let mut ahead = CurrentConfiguration::default();
    for accepted in [&first, &second, &third] {
        ahead.offer(accepted.clone());
    }
    let mut behind = CurrentConfiguration::default();
    behind.offer(first);
    let deltas = ahead.deltas_since(1).unwrap();
    assert_eq!(behind.offer_deltas(&deltas), Ok(OfferOutcome::Newer));
    let (received, sent) = (behind.accepted().unwrap(), ahead.accepted().unwrap());
    assert_eq!((received.version, &received.plan_id), (3, &sent.plan_id));
    assert_eq!(received.declaration, sent.declaration);
    assert_eq!(received.history.len(), 3);
    assert!(
        ahead.deltas_since(0).is_none(),
        "expected no deltas from a version that is not kept"
    );
}

#[test]
fn delta_with_another_base_is_rejected_and_changes_nothing() {
    let mut first = accepted(1, "p1");
    first.declaration = Some(intent::canonicalize(declaration(4, 2)));
    let second = successor(&first, declaration(5, 2));
    let delta = intent::compute_delta(&first, &second);
    let mut receiver = CurrentConfiguration::default();
    let mut other = accepted(1, "p1");
    other.declaration = Some(intent::canonicalize(declaration(3, 2)));
    receiver.offer(other);
    assert!(receiver.offer_deltas(std::slice::from_ref(&delta)).is_err());
    assert_eq!(receiver.version(), 1);
    let mut empty = CurrentConfiguration::default();
    assert!(empty.offer_deltas(&[delta]).is_err());
    assert_eq!(empty.version(), 0);
}
