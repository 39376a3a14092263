//! Log lines and metrics of decisions.
//!
//! Each part has a fixed prefix: `route`, `request`, `once`, `config`, `order`,
//! `peer`, `platform`, `engine`, `shutdown`. Lines about single requests are
//! bounded in rate; what is left out is counted.

mod output;
pub mod process;
pub mod trace;

use std::{cell::RefCell, fmt, time::Duration};

use anyhow::Context;

use cyclamengauge_core::{
    dispatch::{Outcome, OutgoingAttempt},
    ids::{EngineId, RequestId},
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::EnvFilter;

pub use output::{Output, dropped as dropped_lines};

/// What is written unless `RUST_LOG` says otherwise. The HTTP library reports each
/// answer that was cut off, which our own lines tell with its cause.
const DEFAULT_FILTER: &str = "info,actix_http=off";

/// Lines about single requests in one second.
const LINES_PER_S: u32 = 200;

/// Installs logs to standard output and the metrics recorder.
///
/// # Errors
///
/// If another recorder is installed already.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let output = Output::new(std::io::stdout());
    let output = output.context("make the standard output non-blocking")?;
    let filter = EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(output)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
    cyclamengauge_core::invariant::set_reporter(violated);
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| anyhow::anyhow!("install the metrics recorder: {err}"))?;
    Ok(handle)
}

/// Logs the placement of an attempt.
pub fn routed(sending: &OutgoingAttempt) {
    let plan = &sending.plan;
    metrics::counter!("cyclamengauge_attempts_total", "choice" => plan.choice.to_string())
        .increment(1);
    match sending.failed_attempts {
        0 => metrics::histogram!("cyclamengauge_queue_seconds").record(sending.request_age),
        _ => metrics::counter!("cyclamengauge_retries_total").increment(1),
    }
    if !line_allowed() {
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

/// The placement of an attempt in words.
pub fn placement(sending: &OutgoingAttempt) -> String {
    let plan = &sending.plan;
    let engines: Vec<&str> = plan.segments.iter().map(|s| s.engine.as_str()).collect();
    let mut words = format!(
        "{} to {}, {}, estimated {} ms",
        sending.attempt,
        engines.join(","),
        plan.choice,
        plan.estimate.as_millis()
    );
    if !plan.runners_up.is_empty() {
        words.push_str(&format!("; next {}", RunnersUp(&plan.runners_up)));
    }
    if sending.resume_from > 0 {
        words.push_str(&format!("; resumed at token {}", sending.resume_from));
    }
    words
}

/// The end of a request in words.
pub fn end(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed => "answered whole".to_owned(),
        Outcome::Abandoned => "the caller went away".to_owned(),
        Outcome::Refused(refusal) => {
            let (reason, ran) = (refusal.reason, refusal.ran);
            format!("refused, {reason}, ran: {ran}")
        }
    }
}

/// Counts the end of a request, and logs it unless it went well.
pub fn finished(request: RequestId, outcome: &Outcome) {
    let label = match outcome {
        Outcome::Completed => "completed",
        Outcome::Abandoned => "abandoned",
        Outcome::Refused(refusal) => refusal.reason.name(),
    };
    metrics::counter!("cyclamengauge_requests_total", "outcome" => label).increment(1);
    let Outcome::Refused(refusal) = outcome else {
        return;
    };
    if line_allowed() {
        tracing::info!(
            %request,
            reason = %refusal.reason,
            ran = %refusal.ran,
            "request: {request} refused, {}",
            refusal.reason
        );
    }
}

/// Records a time to first token by the prompt's length class.
pub fn first_token(prompt_tokens: u64, time: Duration) {
    let class = length_class(prompt_tokens);
    metrics::histogram!("cyclamengauge_ttft_seconds", "prompt" => class).record(time);
}

/// Name of the class of prompt lengths.
pub fn length_class(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..=8_000 => "up to 8k",
        8_001..=32_000 => "8k to 32k",
        32_001..=100_000 => "32k to 100k",
        100_001..=400_000 => "100k to 400k",
        _ => "over 400k",
    }
}

fn violated(name: &str, seen: fmt::Arguments<'_>) {
    metrics::counter!("cyclamengauge_invariant_violations_total", "invariant" => name.to_owned())
        .increment(1);
    tracing::error!(invariant = name, "invariant: {name} violated, {seen}");
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
    second: std::time::Instant,
    lines: u32,
}

thread_local! {
    static BUDGET: RefCell<Option<LineBudget>> = const { RefCell::new(None) };
}

/// Whether one more line about a single request may be written in this second.
pub fn line_allowed() -> bool {
    BUDGET.with_borrow_mut(|slot| {
        let now = std::time::Instant::now();
        let budget = slot.get_or_insert(LineBudget {
            second: now,
            lines: 0,
        });
        if now - budget.second >= Duration::from_secs(1) {
            budget.second = now;
            budget.lines = 0;
        }
        budget.lines += 1;
        let allowed = budget.lines <= LINES_PER_S;
        if !allowed {
            metrics::counter!("cyclamengauge_log_lines_dropped_total").increment(1);
        }
        allowed
    })
}
