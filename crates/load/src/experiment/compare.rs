//! All policies under all conditions, as a table or JSON.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bpaf::Bpaf;
use cyclamengauge_core::routing::Policy;
use serde_json::{Value, json};

use crate::{
    experiment::{Conditions, Figures, run},
    model::{self, Deployment},
};

/// Engines in the fleet.
const ENGINES: usize = 20;

/// Length of the arrivals.
const TIME: Duration = Duration::from_secs(300);

/// Loads at which nothing fails.
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 2.0];

/// Load at which engines are lost.
const LOSS_LOAD: f64 = 0.8;

/// Engines lost: one, and a third.
const LOSSES: [usize; 2] = [1, 7];

/// Policies side by side.
const POLICIES: [Policy; 5] = [
    Policy::LengthAware,
    Policy::RoundRobin,
    Policy::Random,
    Policy::LeastRequests,
    Policy::LeastTokens,
];

/// Options of `compare`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(compare_options))]
pub struct CompareOptions {
    /// Seed of arrivals and choices
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// Only this policy; may be repeated
    #[bpaf(long, argument("NAME"))]
    pub policy: Vec<Policy>,
    /// Only this deployment; may be repeated
    #[bpaf(long, argument("NAME"))]
    pub deployment: Vec<Deployment>,
    /// Only this load, as a share of capacity; may be repeated
    #[bpaf(long, argument("SHARE"))]
    pub load: Vec<f64>,
    /// Only with so many of the twenty engines lost; may be repeated
    #[bpaf(long, argument("COUNT"))]
    pub engines_lost: Vec<usize>,
}

/// Runs the comparison and returns its printed form.
pub fn compare(options: &CompareOptions) -> String {
    let cases = cases(options);
    let results = run_all(&cases);
    let rows: Vec<Row> = cases.iter().zip(results).map(row).collect();
    match options.json {
        true => as_json(options.seed, &rows).to_string(),
        false => as_table(&rows),
    }
}

struct Row {
    conditions: Conditions,
    figures: Figures,
    short_slowdown: f64,
}

fn cases(options: &CompareOptions) -> Vec<Conditions> {
    let policies = chosen(&options.policy, &POLICIES);
    let deployments = chosen(&options.deployment, &Deployment::ALL);
    let mut cases = Vec::new();
    for deployment in deployments {
        for (load, engines_lost) in grid(options) {
            for policy in &policies {
                cases.push(Conditions {
                    policy: *policy,
                    deployment,
                    load,
                    engines: ENGINES,
                    engines_lost,
                    time: TIME,
                    seed: options.seed,
                    without_long: false,
                });
            }
        }
    }
    cases
}

fn chosen<T: Copy>(asked: &[T], all: &[T]) -> Vec<T> {
    match asked.is_empty() {
        true => all.to_vec(),
        false => asked.to_vec(),
    }
}

/// Pairs of load and engines lost. Asking for both gives every pair of them.
fn grid(options: &CompareOptions) -> Vec<(f64, usize)> {
    let usual_loads = LOADS.iter().map(|load| (*load, 0));
    let usual_losses = LOSSES.iter().map(|lost| (LOSS_LOAD, *lost));
    match (&options.load[..], &options.engines_lost[..]) {
        ([], []) => usual_loads.chain(usual_losses).collect(),
        (loads, []) => loads.iter().map(|load| (*load, 0)).collect(),
        ([], lost) => lost
            .iter()
            .flat_map(|lost| match lost {
                0 => LOADS.iter().map(|load| (*load, 0)).collect(),
                _ => vec![(LOSS_LOAD, *lost)],
            })
            .collect(),
        (loads, lost) => loads
            .iter()
            .flat_map(|load| lost.iter().map(|lost| (*load, *lost)))
            .collect(),
    }
}

/// Runs each case, and its twin without the long prompts, on all processors.
fn run_all(cases: &[Conditions]) -> Vec<(Figures, Figures)> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    let workers = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(i) else {
                        return;
                    };
                    let twin = Conditions {
                        without_long: true,
                        ..*case
                    };
                    let result = (run(case), run(&twin));
                    done.lock().expect("no worker panics").insert(i, result);
                }
            });
        }
    });
    let done = done.into_inner().expect("no worker panics");
    done.into_values().collect()
}

fn row((conditions, (figures, twin)): (&Conditions, (Figures, Figures))) -> Row {
    let alone = twin.class(0).p95_ms;
    let short_slowdown = figures.class(0).p95_ms / alone.max(0.001);
    Row {
        conditions: *conditions,
        figures,
        short_slowdown,
    }
}

fn as_json(seed: u64, rows: &[Row]) -> Value {
    let runs: Vec<Value> = rows
        .iter()
        .map(|row| {
            json!({
                "policy": row.conditions.policy.name(),
                "deployment": row.conditions.deployment.name(),
                "load": row.conditions.load,
                "engines_lost": row.conditions.engines_lost,
                "ttft_ms": row.figures.ttft_json(),
                "short_slowdown": row.short_slowdown,
                "goodput_per_s": row.figures.goodput_per_s(),
                "offered": row.figures.offered,
                "completed": row.figures.completed,
                "refused": row.figures.refused,
                "late": row.figures.late,
                "reasons": row.figures.reasons,
                "refused_by_class": refused_by_class(&row.figures),
                "reservations_left": row.figures.reservations_left,
                "wasted_token_share": row.figures.wasted_share(),
            })
        })
        .collect();
    json!({"seed": seed, "runs": runs})
}

/// Refused of sent, by class.
fn refused_by_class(figures: &Figures) -> Value {
    let names = model::CLASSES.iter().map(|(name, _)| (*name).to_owned());
    let shares = figures
        .by_class
        .iter()
        .map(|(sent, refused)| json!({"sent": sent, "refused": refused}));
    Value::Object(names.zip(shares).collect())
}

fn as_table(rows: &[Row]) -> String {
    let mut lines = vec![format!(
        "{:<16} {:>4} {:>4} {:<15} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>8} {:>7} {:>6} {:>6}",
        "deployment",
        "load",
        "lost",
        "policy",
        "p95 1-8k",
        "8k-32k",
        "32k-100k",
        "100-400k",
        "400k-1M",
        "all p95",
        "slowd.",
        "goodput",
        "refused",
        "late",
        "waste"
    )];
    for row in rows {
        let p95 = |class| row.figures.class(class).p95_ms;
        lines.push(format!(
            "{:<16} {:>4} {:>4} {:<15} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>7.2} {:>8.1} {:>7} {:>6} {:>6.3}",
            row.conditions.deployment.name(),
            row.conditions.load,
            row.conditions.engines_lost,
            row.conditions.policy.name(),
            p95(0),
            p95(1),
            p95(2),
            p95(3),
            p95(4),
            row.figures.all().p95_ms,
            row.short_slowdown,
            row.figures.goodput_per_s(),
            row.figures.refused,
            row.figures.late,
            row.figures.wasted_share(),
        ));
    }
    lines.push(format!(
        "times to first token in ms; short: up to {} tokens; long, taken out for the slowdown: over {}",
        model::CLASSES[0].1,
        model::CLASSES[2].1
    ));
    lines.join("\n")
}
