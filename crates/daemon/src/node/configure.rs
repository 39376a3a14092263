//! Adoption of configurations and their application to the dispatcher.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    admission, dispatch, ids, intent, routing,
    serving::targets::TargetFacts,
    units::{Tokens, TokensPerSecond},
};
use cyclamengauge_schema::v1;

use crate::node::{Directory, Node};

/// Slots of a plain service's target. Declarations have no such field, so with one
/// slot each the choice depends on the calls in progress only.
const UNDECLARED_SLOTS: u32 = 1;

impl Node {
    /// Adopts a configuration if it is newer than the one in force.
    pub fn adopt_configuration(self: &Rc<Self>, accepted: v1::Accepted) -> intent::OfferOutcome {
        let adopted = self.current_configuration.borrow_mut().offer(accepted);
        self.handle_adoption(adopted);
        adopted
    }

    /// Adopts a peer's deltas. Deltas that can't be applied are dropped, since the
    /// next read of the table service returns the full configuration.
    pub fn adopt_deltas(self: &Rc<Self>, deltas: &[v1::Delta]) {
        let adopted = self.current_configuration.borrow_mut().offer_deltas(deltas);
        match adopted {
            Ok(adopted) => self.handle_adoption(adopted),
            Err(err) => {
                tracing::warn!(
                    %err,
                    "config: can't apply a peer's deltas; waiting for the table service"
                )
            }
        }
    }

    fn handle_adoption(self: &Rc<Self>, adopted: intent::OfferOutcome) {
        if adopted != intent::OfferOutcome::Newer {
            return;
        }
        let version = self.current_configuration.borrow().version();
        self.apply_configuration();
        tracing::info!(version, "config: version {version} applied");
        self.version_changed.notify_waiters();
    }

    /// Configures the dispatcher for the current number of instances.
    pub fn update_instance_count(&self) {
        let declaration = self.declaration();
        self.configure_dispatcher(&declaration);
    }

    fn apply_configuration(self: &Rc<Self>) {
        let declaration = self.declaration();
        let subset = self.choose_subset(&declaration);
        *self.directory.borrow_mut() = Directory::new(&declaration, &subset);
        self.configure_dispatcher(&declaration);
        self.declare_engines();
        self.update_service_targets(&declaration);
        self.timer_changed.notify_waiters();
    }

    /// Adds, updates and removes targets of plain services as declared.
    fn update_service_targets(&self, declaration: &v1::Declaration) {
        let now = self.clock.now();
        let declared_targets = declaration.services.iter().flat_map(|service| {
            let targets = service.targets.iter();
            targets.filter_map(|target| service_target_facts(service, target))
        });
        let declared_targets: Vec<TargetFacts> = declared_targets.collect();
        let mut targets = self.service_targets.borrow_mut();
        let known_ids = targets.iter().map(|target| target.facts.id.clone());
        let removed_ids =
            known_ids.filter(|id| declared_targets.iter().all(|facts| &facts.id != id));
        for id in removed_ids.collect::<Vec<_>>() {
            targets.schedule_removal(&id, Duration::ZERO, now);
        }
        targets.remove_expired(now);
        for facts in declared_targets {
            targets.upsert(facts, now);
        }
    }

    /// Chooses the engines that this instance monitors and routes to.
    fn choose_subset(&self, declaration: &v1::Declaration) -> Vec<ids::EngineId> {
        let engines = declaration
            .engines
            .iter()
            .map(|engine| routing::SubsetCandidate {
                id: ids::EngineId::new(&engine.name),
                model: ids::ModelId::new(&engine.model),
                data_centre: ids::DataCentreId::new(&engine.data_centre),
            });
        let engines: Vec<routing::SubsetCandidate> = engines.collect();
        let instance = ids::InstanceId::new(&self.settings.instance);
        let data_centre = ids::DataCentreId::new(&self.settings.data_centre);
        routing::choose_subset(&instance, &data_centre, &engines)
    }

    fn declaration(&self) -> v1::Declaration {
        let current_configuration = self.current_configuration.borrow();
        let accepted = current_configuration.accepted();
        accepted
            .and_then(|a| a.declaration.clone())
            .unwrap_or_default()
    }

    fn configure_dispatcher(&self, declaration: &v1::Declaration) {
        let policy = declaration.routing.unwrap_or_default();
        let limits = self.settings.caller_limits.unwrap_or_default();
        let settings = dispatch::Settings {
            fleet: routing::FleetSettings {
                policy: routing_policy(policy.kind()),
                short_weight: policy.short_weight,
                instances: self.instance_count(),
                instance_index: self.instance_index(),
                seed: self.incarnation,
            },
            max_in_flight: limits.max_in_flight as usize,
            stall_timeout: Duration::from_millis(u64::from(policy.stall_timeout_ms)),
            max_ejected_share: policy.max_ejected_share,
        };
        let accounts = declaration.accounts.iter().map(account_limits).collect();
        self.dispatcher.borrow_mut().configure(settings, accounts);
    }

    fn declare_engines(&self) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let directory = self.directory.borrow();
        for engine in directory.engines.values().map(|entry| &entry.declaration) {
            let standby = engine.role() == v1::EngineRole::Standby;
            let facts = self.engine_facts(engine);
            dispatcher.declare_engine(facts, engine.drain || standby, now);
        }
        dispatcher.retain_engines(|id| directory.engines.contains_key(id), now);
    }

    fn engine_facts(&self, engine: &v1::Engine) -> routing::EngineFacts {
        let distances = &self.settings.distances;
        let distance = distances
            .iter()
            .find(|d| d.data_centre == engine.data_centre);
        routing::EngineFacts {
            id: ids::EngineId::new(&engine.name),
            model: ids::ModelId::new(&engine.model),
            memory: Tokens(u64::from(engine.memory_tokens)),
            slots: engine.slots,
            prefill_rate: TokensPerSecond(f64::from(engine.prefill_tokens_per_s)),
            network_delay: Duration::from_micros(distance.map_or(0, |d| u64::from(d.one_way_us))),
        }
    }
}

fn routing_policy(kind: v1::PolicyKind) -> routing::Policy {
    match kind {
        v1::PolicyKind::RoundRobin => routing::Policy::RoundRobin,
        v1::PolicyKind::Random => routing::Policy::Random,
        v1::PolicyKind::LeastRequests => routing::Policy::LeastRequests,
        v1::PolicyKind::LeastTokens => routing::Policy::LeastTokens,
        v1::PolicyKind::LengthAware | v1::PolicyKind::Unspecified => routing::Policy::LengthAware,
    }
}

fn account_limits(account: &v1::ClientAccount) -> admission::AccountLimits {
    admission::AccountLimits {
        account: ids::AccountId::new(&account.name),
        weight: account.weight,
        requests_per_s: account.requests_per_s,
        prompt_tokens_per_s: account.prompt_tokens_per_s,
        max_concurrent: account.max_concurrent,
    }
}

/// Converts a plain service's target. The id includes the service's name, as target
/// names are unique only within a service.
fn service_target_facts(service: &v1::Service, target: &v1::ServiceTarget) -> Option<TargetFacts> {
    let (name, address) = (&target.name, &target.address);
    let Ok(parsed) = address.parse() else {
        // Unreachable for a checked declaration: its addresses are valid.
        tracing::error!(
            "config: target {name} of {}: `{address}` is not an IP address and port; target left out",
            service.name
        );
        return None;
    };
    Some(TargetFacts {
        id: ids::EngineId::new(format!("{}/{name}", service.name)),
        service: ids::ServiceId::new(&service.name),
        address: parsed,
        data_centre: ids::DataCentreId::new(&target.data_centre),
        slots: UNDECLARED_SLOTS,
        draining: target.drain,
        started_unix_ms: 0,
        cold_remaining: Duration::ZERO,
    })
}
