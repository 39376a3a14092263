//! Logs and metrics.
//!
//! Each log message starts with the fixed prefix of its subsystem, such as `route`,
//! `request`, `once`, `config`, `order`, `peer`, `platform`, `engine` or `shutdown`.
//! Lines about single requests are limited in rate; lines beyond the limit are
//! dropped and counted.

mod output;
pub mod process_events;
pub mod trace;
pub mod upkeep;

use std::{cell::RefCell, fmt, time::Duration};

use anyhow::Context;

use cyclamengauge_core::{
    dispatch::{Outcome, OutgoingAttempt},
    ids::{EngineId, RequestId},
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::EnvFilter;

pub use output::{LogWriter, dropped_lines};

/// Log filter if `RUST_LOG` is not set. It excludes the HTTP library's error for each
/// truncated response, which the daemon logs itself, together with the cause.
const DEFAULT_FILTER: &str = "info,actix_http=off";

/// Limit on the lines about single requests in one second.
const MAX_REQUEST_LINES_PER_S: u32 = 200;

/// Installs the log subscriber, which writes JSON lines to the standard output, and
/// the metrics recorder.
///
/// # Errors
///
/// If the standard output can't be set to non-blocking mode, or if another metrics
/// recorder is installed.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let output = LogWriter::new(std::io::stdout());
    let output = output.context("set the standard output to non-blocking mode")?;
    let filter = EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(output)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
    cyclamengauge_core::invariant::set_reporter(report_violation);
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| anyhow::anyhow!("install the metrics recorder: {err}"))?;
    Ok(handle)
}

/// Counts the placement of an attempt, and logs it if the rate limit allows.
pub fn log_placement(sending: &OutgoingAttempt) {
    let plan = &sending.plan;
    metrics::counter!("cyclamengauge_attempts_total", "choice" => plan.choice.to_string())
        .increment(1);
    match sending.failed_attempts {
        0 => metrics::histogram!("cyclamengauge_queue_seconds").record(sending.request_age),
        _ => metrics::counter!("cyclamengauge_retries_total").increment(1),
    }
    if !try_take_line() {
        return;
    }
    let engines: Vec<&str> = plan.segments.iter().map(|s| s.engine.as_str()).collect();
    tracing::info!(
        request = %sending.request,
        attempt = %sending.attempt,
        engines = engines.join(","),
        choice = %plan.choice,
        priority = %plan.priority,
        estimate_ms = plan.estimate.as_millis() as u64,
        cached_tokens = plan.cached.get(),
        runners_up = %RunnersUp(&plan.runners_up),
        "route: {} to {}, {}",
        sending.request,
        engines.join(","),
        plan.choice,
    );
}

/// Describes the placement of an attempt for the explanation of its request.
pub fn describe_placement(sending: &OutgoingAttempt) -> String {
    let plan = &sending.plan;
    let engines: Vec<&str> = plan.segments.iter().map(|s| s.engine.as_str()).collect();
    let mut text = format!(
        "{} to {}, {}, estimated {} ms",
        sending.attempt,
        engines.join(","),
        plan.choice,
        plan.estimate.as_millis()
    );
    if !plan.runners_up.is_empty() {
        text.push_str(&format!("; next {}", RunnersUp(&plan.runners_up)));
    }
    if sending.resume_from > 0 {
        text.push_str(&format!("; resumed at token {}", sending.resume_from));
    }
    text
}

/// Describes the outcome of a request for its explanation.
pub fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed => "completed with the whole response".to_owned(),
        Outcome::Abandoned => "abandoned, the client disconnected".to_owned(),
        Outcome::Refused(refusal) => {
            let (reason, ran) = (refusal.reason, refusal.ran);
            format!("refused, {reason}, ran: {ran}")
        }
    }
}

/// Counts the outcome of a request, and logs a refusal if the rate limit allows.
pub fn record_outcome(request: RequestId, outcome: &Outcome) {
    let label = match outcome {
        Outcome::Completed => "completed",
        Outcome::Abandoned => "abandoned",
        Outcome::Refused(refusal) => refusal.reason.name(),
    };
    metrics::counter!("cyclamengauge_requests_total", "outcome" => label).increment(1);
    let Outcome::Refused(refusal) = outcome else {
        return;
    };
    if try_take_line() {
        tracing::info!(
            %request,
            reason = %refusal.reason,
            ran = %refusal.ran,
            "request: {request} refused, {}",
            refusal.reason
        );
    }
}

/// Records the time to first token under the length class of the prompt.
pub fn record_first_token(prompt_tokens: u64, time: Duration) {
    let class = length_class(prompt_tokens);
    metrics::histogram!("cyclamengauge_ttft_seconds", "prompt" => class).record(time);
}

/// Name of the length class of a prompt, as a metrics label.
pub fn length_class(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..=8_000 => "up to 8k",
        8_001..=32_000 => "8k to 32k",
        32_001..=100_000 => "32k to 100k",
        100_001..=400_000 => "100k to 400k",
        _ => "over 400k",
    }
}

fn report_violation(name: &str, details: fmt::Arguments<'_>) {
    metrics::counter!("cyclamengauge_invariant_violations_total", "invariant" => name.to_owned())
        .increment(1);
    tracing::error!(invariant = name, "invariant: {name} violated, {details}");
}

struct RunnersUp<'a>(&'a [(EngineId, Duration)]);

impl fmt::Display for RunnersUp<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (engine, estimate)) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{engine} {} ms", estimate.as_millis())?;
        }
        Ok(())
    }
}

struct LineBudget {
    window_start: std::time::Instant,
    lines: u32,
}

thread_local! {
    static LINE_BUDGET: RefCell<Option<LineBudget>> = const { RefCell::new(None) };
}

/// Counts a line about a single request against the limit of this second, and returns
/// whether the line may be written.
pub fn try_take_line() -> bool {
    LINE_BUDGET.with_borrow_mut(|slot| {
        let now = std::time::Instant::now();
        let budget = slot.get_or_insert(LineBudget {
            window_start: now,
            lines: 0,
        });
        if now - budget.window_start >= Duration::from_secs(1) {
            budget.window_start = now;
            budget.lines = 0;
        }
        budget.lines += 1;
        let allowed = budget.lines <= MAX_REQUEST_LINES_PER_S;
        if !allowed {
            metrics::counter!("cyclamengauge_log_lines_dropped_total").increment(1);
        }
        allowed
    })
}
