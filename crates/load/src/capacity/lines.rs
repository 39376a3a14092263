//! The arithmetic: one line for each cost of each role.

use cyclamengauge_core::routing;
use cyclamengauge_daemon::peers;

use crate::{capacity::Size, slopes::Slopes};

/// Exchanges a second that an instance starts; it answers as many.
const EXCHANGES_PER_S: f64 = 1.0;

/// Engines of one model that an instance watches at most.
const WATCHED: f64 = routing::MAX_SUBSET_ENGINES as f64;

/// Models that one instance serves.
const MODELS_PER_DAEMON: f64 = 1.0;

/// Questions a second that an instance asks silent engines.
const POLLS_PER_S: f64 = 3.0;

/// Control processor time for a daemon, in per cent of a core.
const CORE_LIMIT_PERCENT: f64 = 4.6;

/// Control memory for a daemon.
const MEMORY_LIMIT_MB: f64 = 32.0;

/// Control traffic for a daemon, in bytes a second.
const TRAFFIC_LIMIT: f64 = 4_000.0;

/// Store writes a second that the platform carries, of several hundred.
const STORE_WRITES_LIMIT: f64 = 300.0;

/// Store reads a second that the platform carries.
const STORE_READS_LIMIT: f64 = 2_000.0;

/// Share of requests that are non-idempotent calls.
const ONCE_SHARE: f64 = 0.01;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Seconds in which a configuration must be in force everywhere.
const IN_FORCE_LIMIT_S: f64 = 9.0;

/// Instances replaced in a day, of all: 2,500 of 10,200 at the target.
const REPLACED_SHARE: f64 = 0.25;

/// Peers told at once about a new configuration.
const FANOUT: f64 = 4.0;

/// Time of one hop of a new configuration between regions, in seconds: a round
/// trip of 100 ms and as much again for connecting and waiting.
const HOP_S: f64 = 0.3;

/// Share of pushes that are lost.
const LOSS: f64 = 0.05;

/// Mean number of seconds for which a request is in progress.
const REQUEST_TIME_S: f64 = 5.0;

/// Mean prompt of the mix, in bytes, held while a request is in progress.
const BODY_BYTES: f64 = 50_000.0;

/// Share of requests above the memory of one engine.
const GROUP_SHARE: f64 = 0.007;

/// Seconds for which a group's memory is held.
const GROUP_TIME_S: f64 = 15.0;

/// Mean length of their prompts, in tokens.
const GROUP_TOKENS: f64 = 655_000.0;

/// KV memory of an engine, in tokens.
const ENGINE_TOKENS: f64 = 450_000.0;

/// Mean prompt of Moosach-Isental's mix, in tokens.
const PROMPT_TOKENS: f64 = 13_600.0;

/// Prompt tokens that an engine reads in a second.
const PREFILL_TOKENS_PER_S: f64 = 50_000.0;

/// Engines in a group.
const GROUP_SIZE: f64 = 4.0;

/// Seconds for which a daemon's view of another's choice is stale.
const STALE_S: f64 = 0.05;

/// Core at most for forwarding, in per cent: the process has one thread.
const FORWARD_LIMIT_PERCENT: f64 = 100.0;

/// One cost of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The role.
    pub role: &'static str,
    /// What is counted, with its unit.
    pub what: &'static str,
    /// How it is worked out, in words and numbers.
    pub how: String,
    /// The result.
    pub value: f64,
    /// The limit in the same unit; none if there is none.
    pub limit: Option<f64>,
    /// What carries it, or what would have to change.
    pub mechanism: &'static str,
}

impl Line {
    /// Result over limit.
    pub fn ratio(&self) -> Option<f64> {
        self.limit.map(|limit| self.value / limit)
    }
}

/// All costs at one size.
///
/// # Errors
///
/// If a slope is missing.
pub fn lines(size: &Size, slopes: &Slopes) -> anyhow::Result<Vec<Line>> {
    let mut all = Vec::new();
    router(size, slopes, &mut all)?;
    dissemination(size, slopes, &mut all)?;
    store(size, slopes, &mut all)?;
    data_plane(size, slopes, &mut all)?;
    Ok(all)
}

/// Engines that an average daemon watches.
fn watched(size: &Size) -> f64 {
    size.engines.min(WATCHED * MODELS_PER_DAEMON)
}

fn router(size: &Size, slopes: &Slopes, all: &mut Vec<Line>) -> anyhow::Result<()> {
    let target = slopes.get("target_bytes")?;
    let account = slopes.get("account_bytes")?;
    let prefix = slopes.get("prefix_bytes")?;
    let resident = slopes.get("idle_resident_mb")?;
    let prefixes = routing::PREFIX_INDEX_CAPACITY as f64;
    let kept =
        size.engines * target.slope + size.accounts * account.slope + prefixes * prefix.slope;
    all.push(Line {
        role: "router",
        what: "memory for control, MB",
        how: format!(
            "{:.0} MB empty + {:.0} declared engines x {:.0} bytes + {:.0} accounts x {:.0} bytes + {prefixes:.0} prefixes x {:.0} bytes",
            resident.base, size.engines, target.slope, size.accounts, account.slope, prefix.slope
        ),
        value: resident.base + kept / 1e6,
        limit: Some(MEMORY_LIMIT_MB),
        mechanism: "a bounded index of prefixes; each engine is counted as if it were watched",
    });
    let decision = slopes.get("decision_us")?;
    let dispatch = slopes.get("dispatch_us")?;
    let in_progress = size.requests_per_daemon() * REQUEST_TIME_S;
    let each = dispatch
        .at(in_progress)
        .max(decision.points.last().map_or(0.0, |p| p.1));
    all.push(Line {
        role: "router",
        what: "decisions, % of a core",
        how: format!(
            "{:.1} requests/s x {each:.1} us",
            size.requests_per_daemon()
        ),
        value: size.requests_per_daemon() * each / 1e4,
        limit: Some(CORE_LIMIT_PERCENT),
        mechanism: "32 candidates at most for each decision",
    });
    let idle = slopes.get("idle_core_percent")?;
    all.push(Line {
        role: "router",
        what: "watching engines and peers, % of a core",
        how: format!(
            "{:.2} + {:.0} engines x {:.4}",
            idle.base,
            watched(size),
            idle.slope
        ),
        value: idle.base + watched(size) * idle.slope,
        limit: Some(CORE_LIMIT_PERCENT),
        mechanism: "a subset of 32 engines for each model",
    });
    traffic(size, slopes, all)
}

/// All control traffic together, as the limit is for its sum.
fn traffic(size: &Size, slopes: &Slopes, all: &mut Vec<Line>) -> anyhow::Result<()> {
    let report = slopes.get("report_bytes")?;
    let polls = (watched(size) / 2.0).min(POLLS_PER_S);
    let asking = polls * report.base;
    all.push(Line {
        role: "router",
        what: "reports asked for while idle, bytes/s",
        how: format!("{polls} questions/s x {:.0} bytes", report.base),
        value: asking,
        limit: Some(TRAFFIC_LIMIT),
        mechanism: "three questions a second, to the engine silent for longest; busy engines send reports with their answers",
    });
    let bytes = slopes.get("exchange_bytes")?;
    let named = named(size);
    let rate = 2.0 * EXCHANGES_PER_S;
    let exchanging = rate * bytes.at(named);
    all.push(Line {
        role: "disseminator",
        what: "exchanges without news, bytes/s",
        how: format!(
            "{rate} exchanges/s x ({:.0} + {named:.0} x {:.1}) bytes",
            bytes.base, bytes.slope
        ),
        value: exchanging,
        limit: Some(TRAFFIC_LIMIT),
        mechanism: "one peer in turn every second, whatever their number",
    });
    all.push(Line {
        role: "router",
        what: "both together, bytes/s",
        how: format!("{asking:.0} + {exchanging:.0}"),
        value: asking + exchanging,
        limit: Some(TRAFFIC_LIMIT),
        mechanism: "as above; a daemon with traffic asks less than this",
    });
    Ok(())
}

/// Engines named in an exchange: those on which this instance's prompts wait,
/// each for the time to first token, up to the most that a message names.
fn named(size: &Size) -> f64 {
    (size.requests_per_daemon() * 0.3).min(peers::MAX_LOAD_HINTS as f64)
}

fn dissemination(size: &Size, slopes: &Slopes, all: &mut Vec<Line>) -> anyhow::Result<()> {
    let time = slopes.get("exchange_us")?;
    let named = named(size);
    let rate = 2.0 * EXCHANGES_PER_S;
    all.push(Line {
        role: "disseminator",
        what: "exchanges, % of a core",
        how: format!("{rate} exchanges/s x {:.0} us", time.at(named)),
        value: rate * time.at(named) / 1e4,
        limit: Some(CORE_LIMIT_PERCENT),
        mechanism: "as above",
    });
    let delta = slopes.get("delta_bytes")?;
    let each = delta.at(size.engines);
    let copies = 1.0 + FANOUT;
    all.push(Line {
        role: "disseminator",
        what: "new configurations, bytes/s",
        how: format!(
            "{:.0} changes/day x {each:.0} bytes x {copies} (received once, pushed to {FANOUT}) / {DAY_S} s",
            size.changes_per_day
        ),
        value: size.changes_per_day * each * copies / DAY_S,
        limit: Some(TRAFFIC_LIMIT),
        mechanism: "differences between versions; the whole only to a new instance",
    });
    let configuration = slopes.get("configuration_bytes")?;
    let whole = configuration.at(size.engines);
    let starts = REPLACED_SHARE * size.daemons;
    all.push(Line {
        role: "disseminator",
        what: "whole configurations for new instances, bytes/s",
        how: format!("{starts:.2} instances/day x {whole:.0} bytes / {DAY_S} s, over the fleet"),
        value: starts * whole / DAY_S,
        limit: Some(TRAFFIC_LIMIT),
        mechanism: "one read of the table, or one peer, for each start",
    });
    let rounds = size.daemons.ln() / (1.0 + FANOUT * (1.0 - LOSS)).ln();
    all.push(Line {
        role: "disseminator",
        what: "in force everywhere, s",
        how: format!(
            "ln {:.0} / ln(1 + {FANOUT} x {:.2}) = {rounds:.1} rounds x {HOP_S} s, and 3 exchanges of 1 s for stragglers",
            size.daemons,
            1.0 - LOSS
        ),
        value: rounds * HOP_S + 3.0,
        limit: Some(IN_FORCE_LIMIT_S),
        mechanism: "news is pushed to 4 peers at once; exchanges in turn reach the rest",
    });
    Ok(())
}

fn store(size: &Size, slopes: &Slopes, all: &mut Vec<Line>) -> anyhow::Result<()> {
    let calls = slopes.get("call_writes")?;
    let once_per_s = size.requests_per_s * ONCE_SHARE;
    all.push(Line {
        role: "keeper of claims",
        what: "store writes/s for at-most-once calls",
        how: format!(
            "{:.0} requests/s x {ONCE_SHARE} x {:.2} writes",
            size.requests_per_s, calls.slope
        ),
        value: once_per_s * calls.slope,
        limit: Some(STORE_WRITES_LIMIT),
        mechanism: "a conditional write and a record for each call; the target needs tickets, see docs/design/at-most-once.md",
    });
    let changes = slopes.get("change_writes")?;
    all.push(Line {
        role: "store",
        what: "store writes/s for changes",
        how: format!(
            "{:.0} changes/day x {:.2} writes / {DAY_S} s",
            size.changes_per_day, changes.slope
        ),
        value: size.changes_per_day * changes.slope / DAY_S,
        limit: Some(STORE_WRITES_LIMIT),
        mechanism: "one row for the configuration, one object for each plan",
    });
    let writes = slopes.get("idle_writes_per_s")?;
    all.push(Line {
        role: "holder of orders",
        what: "store writes/s for the lease",
        how: format!(
            "{:.2} writes/s, whatever the number of daemons",
            writes.at(1.0)
        ),
        value: writes.at(1.0),
        limit: Some(STORE_WRITES_LIMIT),
        mechanism: "one lease, renewed by its holder alone",
    });
    let reads = slopes.get("idle_reads_per_s")?;
    let unpaced = size.daemons * reads.slope;
    let paced = unpaced.min(reads_budget(size));
    all.push(Line {
        role: "store",
        what: "store reads/s while nothing changes",
        how: format!(
            "{:.0} daemons x {:.3} reads/s, paced to {:.0}",
            size.daemons, reads.slope, paced
        ),
        value: paced,
        limit: Some(STORE_READS_LIMIT),
        mechanism: "periods grow with the number of instances to keep a fixed budget",
    });
    Ok(())
}

/// Reads that pacing allows: 100 a second for the configuration, and the lease
/// read of each stand-by every three seconds, which is not paced.
fn reads_budget(size: &Size) -> f64 {
    100.0 + size.daemons / 3.0
}

fn data_plane(size: &Size, slopes: &Slopes, all: &mut Vec<Line>) -> anyhow::Result<()> {
    let forward = slopes.get("forward_us")?;
    let surge = size.after_losing_a_data_centre();
    let share = (size.requests_per_daemon() * forward.base
        + size.tokens_per_daemon() * forward.slope)
        / 1e4;
    all.push(Line {
        role: "data plane",
        what: "forwarding, % of a core",
        how: format!(
            "{:.1} requests/s x {:.0} us + {:.0} tokens/s x {:.1} us",
            size.requests_per_daemon(),
            forward.base,
            size.tokens_per_daemon(),
            forward.slope
        ),
        value: share,
        limit: Some(FORWARD_LIMIT_PERCENT),
        mechanism: "one thread; one event for each token",
    });
    all.push(Line {
        role: "data plane",
        what: "forwarding with a data centre lost, % of a core",
        how: format!("as above x {surge:.2}"),
        value: share * surge,
        limit: Some(FORWARD_LIMIT_PERCENT),
        mechanism: "as above",
    });
    let request = slopes.get("request_bytes")?;
    let in_progress = size.requests_per_daemon() * REQUEST_TIME_S * surge;
    all.push(Line {
        role: "data plane",
        what: "memory of requests, MB",
        how: format!(
            "{in_progress:.0} in progress x ({:.0} + {BODY_BYTES:.0} bytes)",
            request.slope
        ),
        value: in_progress * (request.slope + BODY_BYTES) / 1e6,
        limit: None,
        mechanism: "bounded by caller_limits.max_buffered_bytes",
    });
    all.push(Line {
        role: "data plane",
        what: "sockets",
        how: format!("2 x {in_progress:.0} in progress"),
        value: 2.0 * in_progress,
        limit: None,
        mechanism: "kept-alive connections on both sides; one request at a time on each",
    });
    groups(size, all);
    Ok(())
}

fn groups(size: &Size, all: &mut Vec<Line>) {
    let per_s = size.requests_per_s * GROUP_SHARE;
    let held = per_s * GROUP_TIME_S * GROUP_TOKENS;
    all.push(Line {
        role: "data plane",
        what: "KV memory held by groups, % of the fleet's",
        how: format!(
            "{per_s:.2} groups/s x {GROUP_TIME_S} s x {GROUP_TOKENS:.0} tokens / ({:.0} x {ENGINE_TOKENS:.0})",
            size.engines
        ),
        value: held / (size.engines * ENGINE_TOKENS) * 100.0,
        limit: Some(100.0),
        mechanism: "memory reserved engine by engine in one order; a refusal gives all back",
    });
    reading(size, all);
    // Two daemons conflict if both choose an engine within the stale time.
    let chosen = per_s * GROUP_SIZE * STALE_S / size.engines;
    let conflict = 1.0 - (1.0 - chosen.min(1.0)).powf(GROUP_SIZE);
    all.push(Line {
        role: "data plane",
        what: "reservations that conflict, %",
        how: format!(
            "1 - (1 - {per_s:.2} x {GROUP_SIZE} x {STALE_S} / {:.0}) ^ {GROUP_SIZE}",
            size.engines
        ),
        value: conflict * 100.0,
        limit: Some(10.0),
        mechanism: "choice among the emptiest at random; a conflict costs one more round",
    });
}

/// Reading the prompts, if the mix stayed as it is and nothing were cached.
fn reading(size: &Size, all: &mut Vec<Line>) {
    let wanted = size.requests_per_s * PROMPT_TOKENS;
    all.push(Line {
        role: "engines",
        what: "reading prompts, % of the fleet",
        how: format!(
            "{:.0} requests/s x {PROMPT_TOKENS:.0} tokens / ({:.0} engines x {PREFILL_TOKENS_PER_S:.0} tokens/s)",
            size.requests_per_s, size.engines
        ),
        value: wanted / (size.engines * PREFILL_TOKENS_PER_S) * 100.0,
        limit: Some(100.0),
        mechanism: "cached prefixes and the mix of lengths; no part of the daemon can carry it",
    });
}
