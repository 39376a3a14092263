//! Random operators, outages, lost replies, pauses, restarts and delayed orders
//! against the machines that share the configuration and give orders.
//!
//! A longer run: `CYCLAMENGAUGE_CASES=20000 cargo test -p cyclamengauge-core
//! --release --test intent_machine`. A failure prints the shortest steps found.

mod common;

use std::collections::BTreeMap;

use common::ms;
use cyclamengauge_core::{
    ids::EngineId,
    intent::{
        self, Confirmation, ConfirmationEvent, ConfirmationOutcome, ConfirmationStep,
        CurrentConfiguration, Lease, LeaseEvent, LeaseStep, ObservedEngine, ObservedFleet,
        OrderLimits,
    },
};
use cyclamengauge_schema::v1;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const INSTANCES: usize = 3;
const ENGINES: usize = 4;
const FLOOR: u32 = 2;

/// What may happen next. Numbers choose instances, operators and faults.
#[derive(Clone, Debug)]
enum Transition {
    /// An operator plans and starts to confirm at an instance.
    Confirm { instance: usize, variant: u8 },
    /// A confirmation goes one step on; the write or its reply may be lost.
    Advance { at: usize, fault: u8 },
    /// Two instances exchange.
    Exchange { from: usize, to: usize },
    /// An instance reads the table.
    Refresh { instance: usize },
    /// An instance looks at its lease; the write or its reply may be lost.
    Lease { instance: usize, fault: u8 },
    /// An instance gives orders, some of which are delayed.
    Orders { instance: usize, delayed: bool },
    /// A delayed order arrives.
    Deliver { at: usize },
    /// An instance is replaced.
    Restart { instance: usize },
    /// Time passes.
    Pass { time_ms: u64 },
    /// The store goes down or comes back.
    Outage { down: bool },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let instance = 0..INSTANCES;
        prop_oneof![
            2 => (instance.clone(), 0..6_u8)
                .prop_map(|(instance, variant)| Transition::Confirm { instance, variant }),
            8 => (0..8_usize, 0..4_u8).prop_map(|(at, fault)| Transition::Advance { at, fault }),
            4 => (instance.clone(), instance.clone())
                .prop_map(|(from, to)| Transition::Exchange { from, to }),
            3 => instance.clone().prop_map(|instance| Transition::Refresh { instance }),
            6 => (instance.clone(), 0..4_u8)
                .prop_map(|(instance, fault)| Transition::Lease { instance, fault }),
            6 => (instance.clone(), any::<bool>())
                .prop_map(|(instance, delayed)| Transition::Orders { instance, delayed }),
            4 => (0..8_usize).prop_map(|at| Transition::Deliver { at }),
            1 => instance.prop_map(|instance| Transition::Restart { instance }),
            6 => (1..15_000_u64).prop_map(|time_ms| Transition::Pass { time_ms }),
            1 => any::<bool>().prop_map(|down| Transition::Outage { down }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct Instance {
    current: CurrentConfiguration,
    lease: Lease,
    incarnation: u64,
}

struct Engine {
    seen: ObservedEngine,
    /// Whether orders with an old fencing number are refused.
    fencing: bool,
    fence: u64,
}

struct System {
    now_ms: u64,
    down: bool,
    table: (u64, Option<v1::Accepted>),
    lease_row: (u64, Option<v1::LeaseRow>),
    instances: Vec<Instance>,
    confirmations: Vec<(Confirmation, ConfirmationStep, u64)>,
    engines: BTreeMap<EngineId, Engine>,
    delayed: Vec<(EngineId, v1::EngineOrder)>,
    /// The plan of each accepted version.
    accepted: BTreeMap<u64, String>,
    restarts: u64,
}

fn declaration(variant: u8) -> v1::Declaration {
    let engines = (0..ENGINES).map(|i| v1::Engine {
        name: format!("e{i}"),
        model: "m".to_owned(),
        role: v1::EngineRole::Serving.into(),
        // Two of four at most, so that the floor can hold.
        drain: usize::from(variant % 3) == i + 1,
        ..v1::Engine::default()
    });
    v1::Declaration {
        models: vec![v1::Model {
            name: "m".to_owned(),
            version: (variant / 3).to_string(),
            min_engines: FLOOR,
            ..v1::Model::default()
        }],
        engines: engines.collect(),
        ..v1::Declaration::default()
    }
}

impl System {
    fn new() -> Self {
        let engine = |i| Engine {
            seen: ObservedEngine {
                model: "m".into(),
                version: "0".into(),
                ..ObservedEngine::default()
            },
            fencing: i % 2 == 0,
            fence: 0,
        };
        Self {
            now_ms: 0,
            down: false,
            table: (0, None),
            lease_row: (0, None),
            instances: (0..INSTANCES).map(|i| Instance::new(i, 0)).collect(),
            confirmations: Vec::new(),
            engines: (0..ENGINES)
                .map(|i| (EngineId::new(format!("e{i}")), engine(i)))
                .collect(),
            delayed: Vec::new(),
            accepted: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn observed(&self) -> ObservedFleet {
        let engines = self.engines.iter();
        ObservedFleet {
            engines: engines
                .map(|(id, e)| (id.clone(), e.seen.clone()))
                .collect(),
        }
    }

    fn confirm(&mut self, instance: usize, variant: u8) {
        if self.confirmations.len() >= 8 {
            return;
        }
        let base = self.instances[instance].current.accepted().cloned();
        let operator = format!("operator-{instance}");
        let plan = intent::plan(
            base.as_ref(),
            &declaration(variant),
            &self.observed(),
            &operator,
        );
        let (machine, step) = Confirmation::begin(plan, &operator, self.now_ms);
        self.confirmations.push((machine, step, 0));
    }

    fn advance(&mut self, at: usize, fault: u8) {
        if self.confirmations.is_empty() {
            return;
        }
        let at = at % self.confirmations.len();
        let step = self.confirmations[at].1.clone();
        let event = match step {
            ConfirmationStep::Done(verdict) => {
                self.confirmations.swap_remove(at);
                self.note(verdict);
                return;
            }
            ConfirmationStep::Read if self.down => ConfirmationEvent::ReadFailed,
            ConfirmationStep::Read => {
                self.confirmations[at].2 = self.table.0;
                ConfirmationEvent::Read(self.table.1.clone().map(Box::new))
            }
            ConfirmationStep::Write(row) => self.write(*row, self.confirmations[at].2, fault),
        };
        let next = self.confirmations[at].0.handle_event(event);
        self.confirmations[at].1 = next;
    }

    fn write(&mut self, row: v1::Accepted, if_version: u64, fault: u8) -> ConfirmationEvent {
        if self.down || fault == 1 {
            return ConfirmationEvent::WriteReplyLost;
        }
        if self.table.0 != if_version {
            return ConfirmationEvent::Conflict;
        }
        let known = self.accepted.insert(row.version, row.plan_id.clone());
        assert!(
            known.is_none(),
            "version {} has two successors",
            row.version
        );
        self.table = (if_version + 1, Some(row));
        match fault {
            2 => ConfirmationEvent::WriteReplyLost,
            _ => ConfirmationEvent::Written,
        }
    }

    fn note(&self, verdict: ConfirmationOutcome) {
        if let ConfirmationOutcome::Accepted(row) = verdict {
            let entry = row.history.last().unwrap();
            assert_eq!(self.accepted.get(&entry.version), Some(&entry.plan_id));
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let behind = self.instances[to].current.version();
        if let Some(deltas) = self.instances[from].current.deltas_since(behind) {
            let fits = self.instances[to].current.offer_deltas(&deltas);
            assert!(fits.is_ok(), "{fits:?}");
            let known = self.instances[from].current.accepted().unwrap();
            let learnt = self.instances[to].current.accepted().unwrap();
            assert_eq!(known.declaration, learnt.declaration);
            return;
        }
        if let Some(accepted) = self.instances[from].current.accepted().cloned() {
            self.offer(to, accepted);
        }
    }

    fn offer(&mut self, instance: usize, accepted: v1::Accepted) {
        let current = &mut self.instances[instance].current;
        let before = current.version();
        current.offer(accepted);
        assert!(current.version() >= before, "a version went back");
        let now = current.accepted().unwrap();
        assert_eq!(self.accepted.get(&now.version), Some(&now.plan_id));
    }

    fn refresh(&mut self, instance: usize) {
        if !self.down
            && let Some(accepted) = self.table.1.clone()
        {
            self.offer(instance, accepted);
        }
    }

    fn lease(&mut self, instance: usize, fault: u8) {
        let now = ms(self.now_ms);
        let mut step = self.instances[instance].lease.tick(now);
        loop {
            let event = match &step {
                LeaseStep::Wait => break,
                _ if self.down || fault == 1 => LeaseEvent::ReplyLost,
                LeaseStep::Read => LeaseEvent::Read {
                    version: self.lease_row.0,
                    row: self.lease_row.1.clone(),
                },
                LeaseStep::Write { if_version, row } if *if_version == self.lease_row.0 => {
                    self.lease_row = (if_version + 1, Some(row.clone()));
                    match fault {
                        2 => LeaseEvent::ReplyLost,
                        _ => LeaseEvent::Written {
                            version: if_version + 1,
                        },
                    }
                }
                LeaseStep::Write { .. } => LeaseEvent::Conflict,
            };
            let lost = event == LeaseEvent::ReplyLost;
            step = self.instances[instance].lease.handle_event(event, now);
            if lost {
                break;
            }
        }
    }

    fn orders(&mut self, instance: usize, delayed: bool) {
        let now = ms(self.now_ms);
        let holders = self
            .instances
            .iter()
            .filter(|i| i.lease.fence(now).is_some());
        assert!(holders.count() <= 1, "two instances hold the lease");
        let Some(fence) = self.instances[instance].lease.fence(now) else {
            return;
        };
        let current = self.instances[instance].current.accepted();
        let Some(desired) = current.and_then(|a| a.declaration.clone()) else {
            return;
        };
        let limits = OrderLimits {
            max_model_loads: 1,
            running_model_loads: 0,
        };
        for (id, mut order) in intent::next_orders(&desired, &self.observed(), limits) {
            order.fence = fence;
            match delayed {
                true => self.delayed.push((id, order)),
                false => self.obey(&id, &order),
            }
        }
        self.delayed.truncate(16);
    }

    fn obey(&mut self, id: &EngineId, order: &v1::EngineOrder) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if engine.fencing && order.fence < engine.fence {
            return;
        }
        engine.fence = order.fence;
        match order.kind() {
            v1::OrderKind::Drain => engine.seen.draining = true,
            v1::OrderKind::Serve => engine.seen.draining = false,
            _ => engine.seen.version = order.version.as_str().into(),
        }
    }

    fn deliver(&mut self, at: usize) {
        if !self.delayed.is_empty() {
            let (id, order) = self.delayed.swap_remove(at % self.delayed.len());
            self.obey(&id, &order);
        }
    }

    fn restart(&mut self, instance: usize) {
        self.restarts += 1;
        self.instances[instance] = Instance::new(instance, self.restarts);
    }

    /// Faults stop: the newest accepted intent must be reached within a minute.
    fn settle(&mut self) {
        self.down = false;
        while !self.delayed.is_empty() {
            self.deliver(0);
        }
        while !self.confirmations.is_empty() {
            self.advance(0, 0);
        }
        for _ in 0..60 {
            self.now_ms += 1_000;
            for instance in 0..INSTANCES {
                self.refresh(instance);
                self.lease(instance, 0);
                self.orders(instance, false);
            }
        }
        let Some(accepted) = self.table.1.clone() else {
            return;
        };
        let versions = self.instances.iter().map(|i| i.current.version());
        assert!(
            versions.into_iter().all(|v| v == accepted.version),
            "not in force everywhere"
        );
        let desired = accepted.declaration.unwrap();
        let limits = OrderLimits {
            max_model_loads: 1,
            running_model_loads: 0,
        };
        let left = intent::next_orders(&desired, &self.observed(), limits);
        assert!(
            left.is_empty(),
            "the fleet is not as the operator asked: {left:?}"
        );
        let serving = self.engines.values().filter(|e| !e.seen.draining).count();
        assert!(serving as u32 >= FLOOR, "{serving} engines serve");
    }
}

impl Instance {
    fn new(number: usize, incarnation: u64) -> Self {
        Self {
            current: CurrentConfiguration::default(),
            lease: Lease::new(&format!("i{number}/{incarnation}")),
            incarnation,
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test((): &()) -> System {
        System::new()
    }

    fn apply(mut system: System, (): &(), transition: Transition) -> System {
        match transition {
            Transition::Confirm { instance, variant } => system.confirm(instance, variant),
            Transition::Advance { at, fault } => system.advance(at, fault),
            Transition::Exchange { from, to } => system.exchange(from, to),
            Transition::Refresh { instance } => system.refresh(instance),
            Transition::Lease { instance, fault } => system.lease(instance, fault),
            Transition::Orders { instance, delayed } => system.orders(instance, delayed),
            Transition::Deliver { at } => system.deliver(at),
            Transition::Restart { instance } => system.restart(instance),
            Transition::Pass { time_ms } => system.now_ms += time_ms,
            Transition::Outage { down } => system.down = down,
        }
        system
    }

    fn check_invariants(system: &System, (): &()) {
        let newest = system.table.1.as_ref().map_or(0, |a| a.version);
        for instance in &system.instances {
            assert!(
                instance.current.version() <= newest,
                "{}",
                instance.incarnation
            );
        }
    }

    fn teardown(mut system: System, (): ()) {
        system.settle();
    }
}

fn config() -> Config {
    let cases = std::env::var("CYCLAMENGAUGE_CASES").ok();
    Config {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(300),
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn accepted_intents_are_reached_and_never_revert(sequential 1..120 => Machine);
}
