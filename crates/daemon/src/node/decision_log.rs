//! Recent routing decisions by request, for `GET /v1/explain/`.

use std::collections::{HashMap, VecDeque};

use cyclamengauge_core::{clock::Instant, ids::RequestId};

/// Requests whose decisions are kept.
const MAX_REQUESTS: usize = 5_000;

/// Decisions kept per request; later ones are dropped.
const MAX_LINES_PER_REQUEST: usize = 16;

/// Decisions by request. The requests recorded first are evicted first.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, ids::RequestId};
/// use cyclamengauge_daemon::node::DecisionLog;
///
/// let mut decision_log = DecisionLog::default();
/// decision_log.record(RequestId(7), Instant::from_millis(1_500), "to e3".to_owned());
/// assert_eq!(decision_log.lines(RequestId(7)), ["1.500 s: to e3"]);
/// assert!(decision_log.lines(RequestId(8)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    lines: HashMap<RequestId, Vec<String>>,
    insertion_order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// The decisions on a request with their times, oldest first; empty if the
    /// request is unknown.
    pub fn lines(&self, request: RequestId) -> &[String] {
        self.lines.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Appends a decision on a request.
    pub fn record(&mut self, request: RequestId, now: Instant, line: String) {
        if !self.lines.contains_key(&request) {
            self.insertion_order.push_back(request);
            self.evict_oldest();
        }
        let lines = self.lines.entry(request).or_default();
        if lines.len() < MAX_LINES_PER_REQUEST {
            lines.push(format!("{now}: {line}"));
        }
    }

    fn evict_oldest(&mut self) {
        if self.insertion_order.len() <= MAX_REQUESTS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.lines.remove(&oldest);
        }
    }
}
