//! Costs of running daemons, taken from the operating system's accounts.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use futures_util::future;

use crate::{
    harness::{Caller, Fleet, FleetOptions, Process},
    model::Deployment,
    slopes::{Slope, memory},
};

/// Processor ticks a second in the accounts.
const TICKS_PER_S: f64 = 100.0;

/// Requests sent at each length of answers.
const REQUESTS: usize = 400;

/// Requests at a time.
const CONCURRENT: usize = 200;

/// Lengths of answers.
const ANSWERS: [u64; 4] = [8, 64, 160, 256];

/// Non-idempotent calls made at each step.
const CALLS: [usize; 4] = [20, 40, 80, 160];

/// Daemons that idle together.
const DAEMONS: [usize; 4] = [1, 2, 3, 4];

/// Engines watched while idle.
const ENGINES: [usize; 4] = [2, 6, 12, 20];

/// Time for which idle daemons are observed.
const IDLE: Duration = Duration::from_secs(8);

/// Configuration changes made at each step.
const CHANGES: [usize; 4] = [1, 2, 4, 6];

pub(super) async fn measure(program: &Path) -> anyhow::Result<Vec<Slope>> {
    let mut slopes = vec![forwarding(program).await?];
    let (writes, reads) = calls_and_changes(program).await?;
    slopes.extend([writes, reads]);
    slopes.extend(idle(program).await?);
    Ok(slopes)
}

async fn start(program: &Path, engines: usize, daemons: usize) -> anyhow::Result<Fleet> {
    let options = FleetOptions {
        engines,
        daemons,
        deployment: Deployment::MoosachIsental,
    };
    let fleet = Fleet::start(program, options).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    Ok(fleet)
}

/// Processor time of one daemon for a forwarded request, by answer length: the
/// base is the request's, the slope the token's.
async fn forwarding(program: &Path) -> anyhow::Result<Slope> {
    let fleet = start(program, 8, 1).await?;
    let caller = Caller::new();
    let daemon = vec![fleet.daemons[0].address.clone()];
    let mut points = Vec::new();
    for tokens in ANSWERS {
        let before = processor_s(&fleet.daemons[0]);
        for batch in 0..REQUESTS / CONCURRENT {
            let sending = (0..CONCURRENT).map(|i| {
                let text = format!("request {batch} {i} {tokens} {}", "word ".repeat(800));
                let (caller, daemon) = (caller.clone(), daemon.clone());
                async move {
                    caller
                        .complete(&daemon, i, &text, tokens, Duration::from_secs(60))
                        .await
                }
            });
            future::join_all(sending).await;
        }
        let used = processor_s(&fleet.daemons[0]) - before;
        points.push((tokens as f64, used * 1e6 / REQUESTS as f64));
    }
    Ok(Slope::new(
        "forward_us",
        "us",
        "token of the answer",
        points,
    ))
}

/// Store writes for non-idempotent calls, and store reads for changes.
async fn calls_and_changes(program: &Path) -> anyhow::Result<(Slope, Slope)> {
    let fleet = start(program, 2, 2).await?;
    let caller = Caller::new();
    let mut writes = Vec::new();
    for calls in CALLS {
        let before = counts(&fleet).await?;
        for i in 0..calls {
            let key = format!("{calls}-{i}");
            caller
                .book(&fleet.daemons[i % 2].address, i, Some(&key), &key)
                .await;
        }
        let after = counts(&fleet).await?;
        writes.push((calls as f64, after.1 - before.1));
    }
    let mut changed = Vec::new();
    let mut weight = 0.5;
    for changes in CHANGES {
        let before = counts(&fleet).await?;
        for _ in 0..changes {
            weight += 0.01;
            let mut declaration = fleet.declaration();
            if let Some(routing) = &mut declaration.routing {
                routing.short_weight = weight;
            }
            let version = fleet.put_in_force(declaration).await?;
            fleet.await_version(version).await?;
        }
        let after = counts(&fleet).await?;
        changed.push((changes as f64, after.1 - before.1));
    }
    Ok((
        Slope::new("call_writes", "writes", "non-idempotent call", writes),
        Slope::new("change_writes", "writes", "configuration change", changed),
    ))
}

/// Costs of daemons that serve nobody.
async fn idle(program: &Path) -> anyhow::Result<Vec<Slope>> {
    let mut reads = Vec::new();
    let mut writes = Vec::new();
    for daemons in DAEMONS {
        let fleet = start(program, 2, daemons).await?;
        let before = counts(&fleet).await?;
        let started = Instant::now();
        actix_rt::time::sleep(IDLE).await;
        let after = counts(&fleet).await?;
        let time = started.elapsed().as_secs_f64();
        reads.push((daemons as f64, (after.0 - before.0) / time));
        writes.push((daemons as f64, (after.1 - before.1) / time));
    }
    let mut processor = Vec::new();
    let mut resident = Vec::new();
    for engines in ENGINES {
        let fleet = start(program, engines, 2).await?;
        let before = processor_s(&fleet.daemons[0]);
        let started = Instant::now();
        actix_rt::time::sleep(IDLE).await;
        let used = processor_s(&fleet.daemons[0]) - before;
        let share = used / started.elapsed().as_secs_f64();
        processor.push((engines as f64, share * 100.0));
        resident.push((engines as f64, resident_mb(&fleet.daemons[0])));
    }
    Ok(vec![
        Slope::new("idle_reads_per_s", "reads/s", "idle daemon", reads),
        Slope::new("idle_writes_per_s", "writes/s", "idle daemon", writes),
        Slope::new(
            "idle_core_percent",
            "% of a core",
            "engine watched",
            processor,
        ),
        Slope::new("idle_resident_mb", "MB", "engine watched", resident),
    ])
}

/// Reads and writes that the table service and the object store have seen.
async fn counts(fleet: &Fleet) -> anyhow::Result<(f64, f64)> {
    let (reads, writes) = fleet.store_counts().await?;
    Ok((reads as f64, writes as f64))
}

/// Processor time that a process has used.
fn processor_s(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.id());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Resident memory of a process.
fn resident_mb(process: &Process) -> f64 {
    memory::resident_bytes(&process.id().to_string()) / 1e6
}
