//! Text output of plans, fleet status, history and request explanations.

use std::fmt::Write;

use cyclamengauge_schema::v1;

/// Renders a plan: its changes, the orders to engines in sequence, and the risks.
pub fn plan(plan: &v1::Plan) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "plan {} from version {}", plan.id, plan.base_version);
    write_section(&mut text, "changes", plan.changes.iter().cloned());
    let steps = plan.steps.iter().map(|step| {
        format!(
            "{}. {} on {} for model {}; {} engines left, minimum {}",
            step.number,
            order_name(step.order()),
            step.engine,
            step.model,
            step.engines_left,
            step.engines_floor
        )
    });
    write_section(&mut text, "orders to engines", steps);
    write_section(&mut text, "risks", plan.risks.iter().cloned());
    let _ = write!(
        text,
        "to accept this plan: cyclamengauge confirm {}",
        plan.id
    );
    text
}

/// Renders a table of instance addresses, each with the status of the instance or the
/// error of the request, and a table of the engines in the first status.
pub fn status(results: &[(String, Result<v1::FleetStatus, String>)]) -> String {
    let mut text = format!(
        "{:<22} {:<10} {:>7} {:<6} {:<6} {:>12} {:>10}\n",
        "address", "instance", "version", "ready", "store", "verified ago", "violations"
    );
    for (address, status) in results {
        match status {
            Ok(status) => {
                let _ = writeln!(
                    text,
                    "{:<22} {:<10} {:>7} {:<6} {:<6} {:>12} {:>10}",
                    address,
                    status.instance,
                    status.version,
                    yes_no(status.ready),
                    if status.store_reachable { "up" } else { "down" },
                    status
                        .confirmed_ago_ms
                        .map_or("never".to_owned(), |ms| format!("{ms} ms")),
                    status.invariant_violations,
                );
            }
            Err(err) => {
                let _ = writeln!(text, "{address:<22} {err}");
            }
        }
    }
    let first_status = results.iter().find_map(|(_, status)| status.as_ref().ok());
    if let Some(status) = first_status {
        text.push_str(&engine_table(&status.engines));
    }
    text.trim_end().to_owned()
}

/// Renders the accepted plans, the newest last.
pub fn history(accepted: &v1::Accepted) -> String {
    let mut text = format!(
        "{:>7} {:<18} {:<16} {:>14}\n",
        "version", "plan", "operator", "unix ms"
    );
    for entry in &accepted.history {
        let _ = writeln!(
            text,
            "{:>7} {:<18} {:<16} {:>14}",
            entry.version, entry.plan_id, entry.operator, entry.accepted_unix_ms
        );
    }
    text.trim_end().to_owned()
}

/// Renders the decisions of an instance about a request.
pub fn explanation(explanation: &v1::Explanation) -> String {
    let (request, instance) = (&explanation.request, &explanation.instance);
    let mut text = format!("{request} at {instance}, times since the start of the request");
    for line in &explanation.lines {
        let _ = write!(text, "\n  {line}");
    }
    text
}

fn engine_table(engines: &[v1::EngineStatus]) -> String {
    let mut text = format!(
        "\n{:<14} {:<8} {:<16} {:>9} {:>15}\n",
        "engine", "state", "model", "in flight", "reserved tokens"
    );
    for engine in engines {
        let _ = writeln!(
            text,
            "{:<14} {:<8} {:<16} {:>9} {:>15}",
            engine.name, engine.state, engine.model, engine.in_flight, engine.reserved_tokens
        );
    }
    text
}

fn write_section(text: &mut String, title: &str, lines: impl Iterator<Item = String>) {
    let lines: Vec<String> = lines.collect();
    if lines.is_empty() {
        let _ = writeln!(text, "{title}: none");
        return;
    }
    let _ = writeln!(text, "{title}:");
    for line in lines {
        let _ = writeln!(text, "  {line}");
    }
}

fn order_name(order: v1::OrderKind) -> &'static str {
    match order {
        v1::OrderKind::LoadModel => "load",
        v1::OrderKind::Drain => "drain",
        v1::OrderKind::Serve => "serve",
        v1::OrderKind::Standby => "stand by",
        v1::OrderKind::Unspecified => "nothing",
    }
}

fn yes_no(value: bool) -> &'static str {
    match value {
        true => "yes",
        false => "no",
    }
}
