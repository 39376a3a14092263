//! Declarations, plans, confirmations, versions and leases.

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

fn declaration(engines: usize, floor: u32) -> v1::Declaration {
    v1::Declaration {
        models: vec![v1::Model {
            name: "rounds".to_owned(),
            version: "1".to_owned(),
            min_engines: floor,
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

fn observed(declaration: &v1::Declaration) -> ObservedFleet {
    let engines = declaration.engines.iter().map(|engine| {
        let seen = ObservedEngine {
            model: "rounds".into(),
            version: "1".into(),
            ..ObservedEngine::default()
        };
        (EngineId::new(&engine.name), seen)
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
fn every_fault_is_reported_with_path_value_and_limits() {
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
fn drain_below_the_floor_is_a_fault() {
    let mut wanted = declaration(3, 3);
    wanted.engines[0].drain = true;
    let faults = intent::check(&wanted);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].path, "models[0].min_engines");
}

#[test]
fn plan_names_changes_orders_and_risks() {
    let base = declaration(4, 2);
    let mut wanted = base.clone();
    wanted.engines[0].drain = true;
    wanted.engines.remove(3);
    wanted.models[0].min_engines = 1;
    let mut base_accepted = accepted(7, "p7");
    base_accepted.declaration = Some(base.clone());
    let plan = intent::plan(Some(&base_accepted), &wanted, &observed(&base), "anna");
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
fn plan_id_depends_on_base_fleet_and_declaration() {
    let wanted = declaration(2, 1);
    let fleet = observed(&wanted);
    let id = |base: Option<&v1::Accepted>, fleet: &ObservedFleet, wanted: &v1::Declaration| {
        intent::plan(base, wanted, fleet, "anna").id
    };
    let first = id(None, &fleet, &wanted);
    assert_eq!(first, id(None, &fleet, &wanted));
    assert_ne!(first, id(Some(&accepted(1, "p")), &fleet, &wanted));
    assert_ne!(first, id(None, &ObservedFleet::default(), &wanted));
    assert_ne!(first, id(None, &fleet, &declaration(1, 1)));
}

fn begin(base_version: u64, id: &str) -> Confirmation {
    let plan = v1::Plan {
        id: id.to_owned(),
        base_version,
        declaration: Some(declaration(1, 0)),
        ..v1::Plan::default()
    };
    Confirmation::begin(plan, "bert", 5).0
}

#[test]
fn lost_reply_of_a_write_that_took_effect_is_accepted() {
    let mut confirmation = begin(1, "mine");
    let ConfirmationStep::Write(row) =
        confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(1, "p1")))))
    else {
        panic!("a current plan is written");
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
        "{step:?}"
    );
}

#[test]
fn lost_reply_of_a_write_that_took_no_effect_is_repeated() {
    let mut confirmation = begin(1, "mine");
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
fn loser_of_a_race_learns_by_whom_and_what() {
    let mut confirmation = begin(1, "mine");
    confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(1, "p1")))));
    assert_eq!(
        confirmation.handle_event(ConfirmationEvent::Conflict),
        ConfirmationStep::Read
    );
    let step = confirmation.handle_event(ConfirmationEvent::Read(Some(Box::new(accepted(
        2, "theirs",
    )))));
    let ConfirmationStep::Done(ConfirmationOutcome::Refused(why)) = step else {
        panic!("unexpected {step:?}");
    };
    assert!(why.contains("anna") && why.contains("theirs"), "{why}");
}

#[test]
fn outcome_is_unknown_if_the_store_falls_silent_after_a_write() {
    let mut confirmation = begin(0, "mine");
    confirmation.handle_event(ConfirmationEvent::Read(None));
    let mut step = confirmation.handle_event(ConfirmationEvent::WriteReplyLost);
    while step == ConfirmationStep::Read {
        step = confirmation.handle_event(ConfirmationEvent::ReadFailed);
    }
    assert_eq!(step, ConfirmationStep::Done(ConfirmationOutcome::Unknown));
}

#[test]
fn nothing_is_written_if_the_store_is_silent_from_the_start() {
    let mut confirmation = begin(0, "mine");
    let mut step = ConfirmationStep::Read;
    while step == ConfirmationStep::Read {
        step = confirmation.handle_event(ConfirmationEvent::ReadFailed);
    }
    assert!(
        matches!(
            step,
            ConfirmationStep::Done(ConfirmationOutcome::Refused(_))
        ),
        "{step:?}"
    );
}

#[test]
fn plan_accepted_earlier_is_accepted_again_after_later_changes() {
    let mut confirmation = begin(1, "mine");
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
        "{step:?}"
    );
}

#[test]
fn version_never_goes_back_and_doubt_is_shown() {
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

/// A table with one lease row.
#[derive(Default)]
struct Row {
    version: u64,
    row: Option<v1::LeaseRow>,
}

impl Row {
    fn answer(&mut self, step: &LeaseStep) -> Option<LeaseEvent> {
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

    fn drive(&mut self, lease: &mut Lease, now: u64) {
        let mut step = lease.tick(ms(now));
        while let Some(event) = self.answer(&step) {
            step = lease.handle_event(event, ms(now));
        }
    }
}

#[test]
fn vacant_lease_is_taken_and_kept_by_renewal() {
    let (mut row, mut lease) = (Row::default(), Lease::new("a"));
    for second in 0..100 {
        row.drive(&mut lease, second * 1_000);
        assert_eq!(lease.fence(ms(second * 1_000)), Some(1), "second {second}");
    }
}

#[test]
fn paused_holder_loses_the_lease_before_another_gets_it() {
    let mut row = Row::default();
    let (mut paused, mut other) = (Lease::new("a"), Lease::new("b"));
    row.drive(&mut paused, 0);
    row.drive(&mut other, 10);
    let mut taken_at = None;
    for now in (0..40_000).step_by(500) {
        row.drive(&mut other, now);
        let (old, new) = (paused.fence(ms(now)), other.fence(ms(now)));
        assert!(old.is_none() || new.is_none(), "two holders at {now} ms");
        taken_at = taken_at.or(new.map(|fence| (now, fence)));
    }
    let (at, fence) = taken_at.expect("the lease is taken over");
    assert_eq!(fence, 2);
    assert!(Duration::from_millis(at) <= LEASE_TTL + Duration::from_secs(4));
    // The paused holder wakes up and finds out.
    row.drive(&mut paused, 40_000);
    assert_eq!(paused.fence(ms(40_000)), None);
}

#[test]
fn resigned_lease_is_free_at_once() {
    let mut row = Row::default();
    let (mut first, mut second) = (Lease::new("a"), Lease::new("b"));
    row.drive(&mut first, 0);
    let step = first.resign().unwrap();
    row.answer(&step);
    row.drive(&mut second, 3_000);
    assert_eq!(second.fence(ms(3_000)), Some(2));
    assert_eq!(first.fence(ms(3_000)), None);
}

#[test]
fn orders_keep_the_floor_and_the_rate_of_the_weight_store() {
    let mut wanted = declaration(6, 4);
    wanted.models[0].version = "2".to_owned();
    let mut fleet = observed(&wanted);
    let limits = OrderLimits {
        max_model_loads: 1,
        running_model_loads: 0,
    };
    let mut rounds = 0;
    loop {
        let orders = intent::next_orders(&wanted, &fleet, limits);
        if orders.is_empty() {
            break;
        }
        let loads = orders
            .iter()
            .filter(|(_, o)| o.kind() == v1::OrderKind::LoadModel)
            .count();
        assert!(loads <= 1);
        for (id, order) in orders {
            let engine = fleet.engines.get_mut(&id).unwrap();
            match order.kind() {
                v1::OrderKind::Drain => engine.draining = true,
                v1::OrderKind::Serve => engine.draining = false,
                _ => engine.version = order.version.as_str().into(),
            }
        }
        let serving = fleet.engines.values().filter(|e| !e.draining).count();
        assert!(serving >= 4, "{serving} engines serve");
        rounds += 1;
        assert!(rounds < 100, "the rollout does not end");
    }
    assert!(
        fleet
            .engines
            .values()
            .all(|e| e.version == "2" && !e.draining)
    );
}

#[test]
fn engine_with_work_is_not_loaded_before_it_is_empty() {
    let mut wanted = declaration(2, 0);
    wanted.models[0].version = "2".to_owned();
    let mut fleet = observed(&wanted);
    for engine in fleet.engines.values_mut() {
        engine.draining = true;
        engine.running = 3;
    }
    let limits = OrderLimits {
        max_model_loads: 2,
        running_model_loads: 0,
    };
    assert!(intent::next_orders(&wanted, &fleet, limits).is_empty());
}

fn successor(old: &v1::Accepted, declaration: v1::Declaration) -> v1::Accepted {
    v1::Accepted {
        declaration: Some(intent::canonicalize(declaration)),
        ..accepted(old.version + 1, &format!("p{}", old.version + 1))
    }
}

#[test]
fn differences_lead_to_the_same_configuration() {
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
    let (have, want) = (behind.accepted().unwrap(), ahead.accepted().unwrap());
    assert_eq!((have.version, &have.plan_id), (3, &want.plan_id));
    assert_eq!(have.declaration, want.declaration);
    assert_eq!(have.history.len(), 3);
    assert!(
        ahead.deltas_since(0).is_none(),
        "a newcomer needs the whole"
    );
}

#[test]
fn difference_from_another_base_is_refused_and_changes_nothing() {
    let mut first = accepted(1, "p1");
    first.declaration = Some(intent::canonicalize(declaration(4, 2)));
    let second = successor(&first, declaration(5, 2));
    let delta = intent::compute_delta(&first, &second);
    let mut stray = CurrentConfiguration::default();
    let mut other = accepted(1, "p1");
    other.declaration = Some(intent::canonicalize(declaration(3, 2)));
    stray.offer(other);
    assert!(stray.offer_deltas(std::slice::from_ref(&delta)).is_err());
    assert_eq!(stray.version(), 1);
    let mut empty = CurrentConfiguration::default();
    assert!(empty.offer_deltas(&[delta]).is_err());
    assert_eq!(empty.version(), 0);
}
