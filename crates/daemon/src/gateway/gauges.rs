//! Metrics that show a state, taken when they are asked for.

use std::collections::BTreeMap;

use cyclamengauge_core::{clock::Instant, ids::ServiceId, serving::targets::Target};

use crate::{gateway::Gateway, telemetry};

/// Standing of a target, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Usable,
    Suspect,
    Leaving,
    Draining,
}

impl Standing {
    const ALL: [Self; 4] = [Self::Usable, Self::Suspect, Self::Leaving, Self::Draining];

    fn of(target: &Target, now: Instant) -> Self {
        match target {
            target if target.facts.draining => Self::Draining,
            target if target.is_leaving(now) => Self::Leaving,
            target if target.is_suspect(now) => Self::Suspect,
            _ => Self::Usable,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
        }
    }
}

/// Sets the metrics that show a state.
pub fn observe(gateway: &Gateway) {
    let now = gateway.clock.now();
    let lost = telemetry::dropped_lines() as f64;
    metrics::gauge!("cyclamengauge_log_lines_lost").set(lost);
    metrics::gauge!("cyclamengauge_peers").set(f64::from(gateway.instance_count() - 1));
    metrics::gauge!("cyclamengauge_requests_in_progress")
        .set(gateway.requests_in_progress.get() as f64);
    let version = gateway.configuration_version() as f64;
    metrics::gauge!("cyclamengauge_configuration_version").set(version);
    let in_force = now - gateway.configuration_applied_at.get();
    metrics::gauge!("cyclamengauge_configuration_age_seconds").set(in_force.as_secs_f64());
    let answered = [
        ("any", gateway.store_answered_at.get()),
        ("targets", gateway.list_answered_at.get()),
    ];
    for (table, at) in answered {
        // An age of the whole uptime until the store has answered once.
        let age = now - at.unwrap_or(Instant::ZERO);
        metrics::gauge!("cyclamengauge_store_age_seconds", "table" => table).set(age.as_secs_f64());
    }
    observe_services(gateway, now);
}

fn observe_services(gateway: &Gateway, now: Instant) {
    let Some(table) = gateway.route_table() else {
        return;
    };
    let mut counts: BTreeMap<(&ServiceId, Standing), u32> = BTreeMap::new();
    let targets = gateway.targets.borrow();
    for target in targets.iter() {
        let standing = Standing::of(target, now);
        *counts.entry((&target.facts.service, standing)).or_default() += 1;
    }
    for service in table.services() {
        let name = service.id.to_string();
        for standing in Standing::ALL {
            let count = counts.get(&(&service.id, standing)).copied();
            let labels = [
                ("service", name.clone()),
                ("state", standing.name().to_owned()),
            ];
            metrics::gauge!("cyclamengauge_targets", &labels)
                .set(f64::from(count.unwrap_or_default()));
        }
        let left = gateway.retries_left(&service.id) as f64;
        metrics::gauge!("cyclamengauge_retries_left", "service" => name).set(left);
    }
}
