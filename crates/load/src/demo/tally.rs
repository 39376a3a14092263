//! Counts of the demo and its table.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{
    harness::{Answer, Ended},
    model,
};

/// What came of the demo's requests.
pub struct Tally {
    /// Requests sent.
    pub requests: u64,
    /// Answered whole.
    pub completed: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Bookings that ran more than once.
    pub duplicates: u64,
    /// Answers with foreign or missing text.
    pub fragments: u64,
    /// Reservations on engines at the end.
    pub reservations_left: u64,
    /// Streams that ended without a word, or requests without an answer.
    pub cut_off: u64,
    /// Bookings sent and answered.
    pub bookings: u64,
    /// Promises broken, in words.
    pub broken: Vec<String>,
    sent_by_class: Vec<u64>,
    ttft_us: Vec<Histogram<u64>>,
    all_ttft_us: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).expect("the number of digits is valid");
        Self {
            requests: 0,
            completed: 0,
            refused: BTreeMap::new(),
            duplicates: 0,
            fragments: 0,
            reservations_left: 0,
            cut_off: 0,
            bookings: 0,
            broken: Vec::new(),
            sent_by_class: vec![0; model::CLASSES.len()],
            ttft_us: model::CLASSES.iter().map(|_| histogram()).collect(),
            all_ttft_us: histogram(),
        }
    }

    /// Adds a completion.
    pub fn add(&mut self, prompt: u64, answer: &Answer) {
        self.requests += 1;
        let class = model::class_of(prompt);
        self.sent_by_class[class] += 1;
        if let Some(ttft) = answer.ttft {
            let us = ttft.as_micros() as u64;
            let _ = self.ttft_us[class].record(us);
            let _ = self.all_ttft_us.record(us);
        }
        match &answer.ended {
            Ended::Whole => self.completed += 1,
            Ended::Refused { kind, ran } => {
                *self.refused.entry(kind.clone()).or_default() += 1;
                if !["no", "unknown", "partial"].contains(&ran.as_str()) {
                    self.broken
                        .push(format!("a refusal does not say what ran: {ran}"));
                }
            }
            Ended::BrokenOff(_) => {
                *self.refused.entry("broken-off".to_owned()).or_default() += 1;
            }
            Ended::CutOff | Ended::Silent => {
                self.cut_off += 1;
                self.broken
                    .push(format!("a request was cut off: {:?}", answer.ended));
            }
            Ended::Fragment(seen) => {
                self.fragments += 1;
                self.broken
                    .push(format!("a fragment was delivered: {seen}"));
            }
        }
    }

    /// The tally as JSON.
    pub fn json(&self) -> Value {
        json!({
            "ok": self.broken.is_empty(),
            "broken": self.broken,
            "requests": self.requests,
            "completed": self.completed,
            "refused": self.refused,
            "duplicates": self.duplicates,
            "fragments": self.fragments,
            "reservations_left": self.reservations_left,
            "cut_off": self.cut_off,
            "bookings": self.bookings,
            "ttft_ms": self.ttft(),
        })
    }

    /// The tally as a table.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<12} {:>9} {:>12} {:>12} {:>12}",
            "prompt", "requests", "TTFT p50 ms", "TTFT p95 ms", "TTFT p99 ms"
        )];
        let classes = model::CLASSES.iter().map(|(name, _)| *name);
        for ((name, sent), histogram) in classes.zip(&self.sent_by_class).zip(&self.ttft_us) {
            lines.push(row(name, *sent, histogram));
        }
        lines.push(row("all", self.requests, &self.all_ttft_us));
        lines.push(String::new());
        lines.push(format!(
            "completed            {:>6} of {}",
            self.completed, self.requests
        ));
        for (kind, count) in &self.refused {
            lines.push(format!("refused              {count:>6} {kind}"));
        }
        lines.push(format!("bookings             {:>6}", self.bookings));
        lines.push(format!("duplicates run       {:>6}", self.duplicates));
        lines.push(format!("fragments            {:>6}", self.fragments));
        lines.push(format!(
            "reservations left    {:>6}",
            self.reservations_left
        ));
        lines.push(format!("requests cut off     {:>6}", self.cut_off));
        lines.push(String::new());
        match self.broken.is_empty() {
            true => lines.push("every promise was kept".to_owned()),
            false => lines.extend(self.broken.iter().map(|b| format!("BROKEN: {b}"))),
        }
        lines.join("\n")
    }

    fn ttft(&self) -> Value {
        let mut object = serde_json::Map::new();
        for ((name, _), histogram) in model::CLASSES.iter().zip(&self.ttft_us) {
            object.insert((*name).to_owned(), quantiles(histogram));
        }
        object.insert("all".to_owned(), quantiles(&self.all_ttft_us));
        Value::Object(object)
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

fn row(name: &str, sent: u64, histogram: &Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    format!(
        "{name:<12} {sent:>9} {:>12.0} {:>12.0} {:>12.0}",
        at(0.5),
        at(0.95),
        at(0.99)
    )
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({"p50": at(0.5), "p95": at(0.95), "p99": at(0.99)})
}
