//! What came of a run's requests.

use std::{collections::BTreeMap, time::Duration};

use cyclamengauge_core::request::Refusal;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::model;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Quantiles of times to first token, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
}

/// Counts and times of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    time: Duration,
    /// Times to first token by class, in microseconds.
    ttft_us: Vec<Histogram<u64>>,
    all_ttft_us: Histogram<u64>,
    /// Requests sent.
    pub offered: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Of these, in time.
    pub in_time: u64,
    /// Requests refused before anything ran.
    pub refused: u64,
    /// Requests that ran out of time or were given up.
    pub late: u64,
    /// Refusals by reason.
    pub reasons: BTreeMap<&'static str, u64>,
    /// Requests sent and refused by class.
    pub by_class: Vec<(u64, u64)>,
    useful_tokens: u64,
    wasted_tokens: u64,
    /// Reservations left on engines at the end.
    pub reservations_left: usize,
}

impl Figures {
    /// Creates empty figures for arrivals over `time`.
    pub fn new(time: Duration) -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the number of digits is valid");
        Self {
            time,
            ttft_us: model::CLASSES.iter().map(|_| histogram()).collect(),
            all_ttft_us: histogram(),
            offered: 0,
            completed: 0,
            in_time: 0,
            refused: 0,
            late: 0,
            reasons: BTreeMap::new(),
            by_class: vec![(0, 0); model::CLASSES.len()],
            useful_tokens: 0,
            wasted_tokens: 0,
            reservations_left: 0,
        }
    }

    /// Adds one request. A request that started and was then given up counts
    /// with its time to first token; one that never started has none.
    pub fn add(
        &mut self,
        prompt: u64,
        ttft: Option<Duration>,
        in_time: bool,
        completed: bool,
        refusal: Option<Refusal>,
    ) {
        self.offered += 1;
        self.completed += u64::from(completed);
        self.in_time += u64::from(in_time);
        if let Some(refusal) = refusal {
            *self.reasons.entry(refusal.reason.name()).or_default() += 1;
        }
        let unrun = refusal
            .is_some_and(|r| r.ran == cyclamengauge_core::request::ExecutionState::NotExecuted);
        let class = &mut self.by_class[model::class_of(prompt)];
        class.0 += 1;
        class.1 += u64::from(refusal.is_some());
        if unrun {
            self.refused += 1;
        } else if !in_time {
            self.late += 1;
        }
        if let Some(ttft) = ttft {
            let us = (ttft.as_micros() as u64).max(1);
            let _ = self.ttft_us[model::class_of(prompt)].record(us);
            let _ = self.all_ttft_us.record(us);
        }
    }

    /// Adds tokens that engines worked for nothing and for something.
    pub fn add_work(&mut self, useful: u64, wasted: u64) {
        self.useful_tokens += useful;
        self.wasted_tokens += wasted;
    }

    /// Requests completed in time, a second.
    pub fn goodput_per_s(&self) -> f64 {
        self.in_time as f64 / self.time.as_secs_f64()
    }

    /// Share of the engines' tokens that served requests which failed.
    pub fn wasted_share(&self) -> f64 {
        let total = self.useful_tokens + self.wasted_tokens;
        self.wasted_tokens as f64 / total.max(1) as f64
    }

    /// Quantiles of one class.
    pub fn class(&self, index: usize) -> Quantiles {
        quantiles(&self.ttft_us[index])
    }

    /// Quantiles of all requests.
    pub fn all(&self) -> Quantiles {
        quantiles(&self.all_ttft_us)
    }

    /// Quantiles by class name, and of all, as JSON.
    pub fn ttft_json(&self) -> Value {
        let mut object = serde_json::Map::new();
        for (i, (name, _)) in model::CLASSES.iter().enumerate() {
            object.insert((*name).to_owned(), quantiles_json(self.class(i)));
        }
        object.insert("all".to_owned(), quantiles_json(self.all()));
        Value::Object(object)
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

fn quantiles_json(quantiles: Quantiles) -> Value {
    json!({
        "p50": quantiles.p50_ms,
        "p95": quantiles.p95_ms,
        "p99": quantiles.p99_ms,
    })
}
