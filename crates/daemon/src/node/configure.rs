//! Puts a configuration in force.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    admission, dispatch, ids, intent, routing,
    serving::targets::TargetFacts,
    units::{Tokens, TokensPerSecond},
};
use cyclamengauge_schema::v1;

use crate::node::{Directory, Node};

/// Calls that a plain service's target runs at a time, as declarations don't say:
/// only the calls in progress count.
const UNKNOWN_SLOTS: u32 = 1;

impl Node {
    /// Adopts a configuration if it is newer than the one in force.
    pub fn adopt(self: &Rc<Self>, accepted: v1::Accepted) -> intent::OfferOutcome {
        let adopted = self.current.borrow_mut().offer(accepted);
        self.adopted(adopted);
        adopted
    }

    /// Adopts differences from a peer. Those that do not fit are dropped; the
    /// table service has the whole.
    pub fn adopt_deltas(self: &Rc<Self>, deltas: &[v1::Delta]) {
        let adopted = self.current.borrow_mut().offer_deltas(deltas);
        match adopted {
            Ok(adopted) => self.adopted(adopted),
            Err(err) => tracing::warn!(%err, "config: differences from a peer do not fit"),
        }
    }

    fn adopted(self: &Rc<Self>, adopted: intent::OfferOutcome) {
        if adopted != intent::OfferOutcome::Newer {
            return;
        }
        let version = self.current.borrow().version();
        self.put_in_force();
        tracing::info!(version, "config: version {version} is in force");
        self.version_changed.notify_waiters();
    }

    /// Applies the number of instances that share the traffic.
    pub fn instances_changed(&self) {
        let declaration = self.declaration();
        self.configure_dispatcher(&declaration);
    }

    fn put_in_force(self: &Rc<Self>) {
        let declaration = self.declaration();
        let watched = self.watched(&declaration);
        *self.directory.borrow_mut() = Directory::new(&declaration, &watched);
        self.configure_dispatcher(&declaration);
        self.declare_engines();
        self.list_service_targets(&declaration);
        self.timer_changed.notify_waiters();
    }

    /// Takes over which targets the plain services have.
    fn list_service_targets(&self, declaration: &v1::Declaration) {
        let now = self.clock.now();
        let declared = declaration.services.iter().flat_map(|service| {
            let targets = service.targets.iter();
            targets.filter_map(|target| target_facts(service, target))
        });
        let declared: Vec<TargetFacts> = declared.collect();
        let mut targets = self.service_targets.borrow_mut();
        let known = targets.iter().map(|target| target.facts.id.clone());
        let gone = known.filter(|id| declared.iter().all(|facts| &facts.id != id));
        for id in gone.collect::<Vec<_>>() {
            targets.schedule_removal(&id, Duration::ZERO, now);
        }
        targets.remove_expired(now);
        for facts in declared {
            targets.upsert(facts, now);
        }
    }

    /// The engines that this instance watches and routes to.
    fn watched(&self, declaration: &v1::Declaration) -> Vec<ids::EngineId> {
        let engines = declaration.engines.iter().map(|engine| routing::Watchable {
            id: ids::EngineId::new(&engine.name),
            model: ids::ModelId::new(&engine.model),
            data_centre: ids::DataCentreId::new(&engine.data_centre),
        });
        let engines: Vec<routing::Watchable> = engines.collect();
        let instance = ids::InstanceId::new(&self.settings.instance);
        let data_centre = ids::DataCentreId::new(&self.settings.data_centre);
        routing::subset(&instance, &data_centre, &engines)
    }

    fn declaration(&self) -> v1::Declaration {
        let current = self.current.borrow();
        let accepted = current.accepted();
        accepted
            .and_then(|a| a.declaration.clone())
            .unwrap_or_default()
    }

    fn configure_dispatcher(&self, declaration: &v1::Declaration) {
        let policy = declaration.routing.unwrap_or_default();
        let limits = self.settings.caller_limits.unwrap_or_default();
        let settings = dispatch::Settings {
            fleet: routing::FleetSettings {
                policy: policy_of(policy.kind()),
                short_weight: policy.short_weight,
                instances: self.instances(),
                index: self.index(),
                seed: self.incarnation,
            },
            max_in_flight: limits.max_in_flight as usize,
            stall_timeout: Duration::from_millis(u64::from(policy.stall_timeout_ms)),
            max_ejected_share: policy.max_ejected_share,
        };
        let accounts = declaration.accounts.iter().map(limits_of).collect();
        self.dispatcher.borrow_mut().configure(settings, accounts);
    }

    fn declare_engines(&self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let directory = self.directory.borrow();
        for engine in directory.engines.values().map(|entry| &entry.declared) {
            let standby = engine.role() == v1::EngineRole::Standby;
            let facts = self.facts(engine);
            dispatcher.declare_engine(facts, engine.drain || standby, now);
        }
        dispatcher.keep_engines(|id| directory.engines.contains_key(id), now);
    }

    fn facts(&self, engine: &v1::Engine) -> routing::EngineFacts {
        let distances = &self.settings.distances;
        let distance = distances
            .iter()
            .find(|d| d.data_centre == engine.data_centre);
        routing::EngineFacts {
            id: ids::EngineId::new(&engine.name),
            model: ids::ModelId::new(&engine.model),
            memory: Tokens(u64::from(engine.memory_tokens)),
            slots: engine.slots,
            prefill: TokensPerSecond(f64::from(engine.prefill_tokens_per_s)),
            distance: Duration::from_micros(distance.map_or(0, |d| u64::from(d.one_way_us))),
        }
    }
}

fn policy_of(kind: v1::PolicyKind) -> routing::Policy {
    match kind {
        v1::PolicyKind::RoundRobin => routing::Policy::RoundRobin,
        v1::PolicyKind::Random => routing::Policy::Random,
        v1::PolicyKind::LeastRequests => routing::Policy::LeastRequests,
        v1::PolicyKind::LeastTokens => routing::Policy::LeastTokens,
        v1::PolicyKind::LengthAware | v1::PolicyKind::Unspecified => routing::Policy::LengthAware,
    }
}

fn limits_of(account: &v1::ClientAccount) -> admission::AccountLimits {
    admission::AccountLimits {
        account: ids::AccountId::new(&account.name),
        weight: account.weight,
        requests_per_s: account.requests_per_s,
        prompt_tokens_per_s: account.prompt_tokens_per_s,
        max_concurrent: account.max_concurrent,
    }
}

/// A plain service's target for the core. Its name is unique within its service.
fn target_facts(service: &v1::Service, target: &v1::ServiceTarget) -> Option<TargetFacts> {
    let (name, address) = (&target.name, &target.address);
    let Ok(parsed) = address.parse() else {
        // Accepted declarations hold addresses only.
        tracing::error!(
            "config: target {name} of {}: `{address}` is no address",
            service.name
        );
        return None;
    };
    Some(TargetFacts {
        id: ids::EngineId::new(format!("{}/{name}", service.name)),
        service: ids::ServiceId::new(&service.name),
        address: parsed,
        data_centre: ids::DataCentreId::new(&target.data_centre),
        slots: UNKNOWN_SLOTS,
        draining: target.drain,
        started_unix_ms: 0,
    })
}
