//! The decisions of late, kept so that an operator can ask about a request.

use std::collections::{HashMap, VecDeque};

use cyclamengauge_core::{clock::Instant, ids::RequestId};

/// Requests remembered.
const REQUESTS: usize = 5_000;

/// Decisions remembered for one request.
const LINES: usize = 16;

/// Lines about requests, the oldest requests forgotten first.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, ids::RequestId};
/// use cyclamengauge_daemon::node::Journal;
///
/// let mut journal = Journal::default();
/// journal.note(RequestId(7), Instant::from_millis(1_500), "to e3".to_owned());
/// assert_eq!(journal.lines(RequestId(7)), ["1.500 s: to e3"]);
/// assert!(journal.lines(RequestId(8)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Journal {
    lines: HashMap<RequestId, Vec<String>>,
    order: VecDeque<RequestId>,
}

impl Journal {
    /// The lines about a request, oldest first.
    pub fn lines(&self, request: RequestId) -> &[String] {
        self.lines.get(&request).map_or(&[], Vec::as_slice)
    }

    /// Adds a line about a request.
    pub fn note(&mut self, request: RequestId, now: Instant, line: String) {
        if !self.lines.contains_key(&request) {
            self.order.push_back(request);
            self.forget_oldest();
        }
        let lines = self.lines.entry(request).or_default();
        if lines.len() < LINES {
            lines.push(format!("{now}: {line}"));
        }
    }

    fn forget_oldest(&mut self) {
        if self.order.len() <= REQUESTS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.lines.remove(&oldest);
        }
    }
}
