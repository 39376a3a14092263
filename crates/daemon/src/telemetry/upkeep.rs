//! Work of the metrics that does not depend on their being fetched.

use std::time::{Duration, Instant};

use metrics_exporter_prometheus::PrometheusHandle;

/// Interval at which the samples of histograms are drained. Until then each one takes
/// memory.
pub const DRAIN_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the thread is checked for long turns.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks after which the longest turn is forgotten; it is kept for once to twice this
/// number of checks.
const CHECKS_PER_WINDOW: u32 = 300;

/// Drains the samples of the histograms at this interval.
pub async fn drain_histograms(recorder: PrometheusHandle, interval: Duration) {
    loop {
        actix_rt::time::sleep(interval).await;
        recorder.run_upkeep();
    }
}

/// Measures how late this task is woken: how long other work, or another process, held the
/// thread.
pub async fn watch_turns() {
    let mut longest_turn = LongestTurn::default();
    loop {
        let due_at = Instant::now() + TURN_CHECK_INTERVAL;
        actix_rt::time::sleep(TURN_CHECK_INTERVAL).await;
        let turn = Instant::now().saturating_duration_since(due_at);
        let longest = longest_turn.record(turn);
        metrics::gauge!("cyclamengauge_longest_turn_seconds").set(longest.as_secs_f64());
    }
}

/// Longest turn of the current window and of the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestTurn {
    current: Duration,
    previous: Duration,
    checks: u32,
}

impl LongestTurn {
    /// Records a turn; returns the longest one of both windows.
    pub fn record(&mut self, turn: Duration) -> Duration {
        if self.checks == CHECKS_PER_WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.checks = 0;
        }
        self.checks += 1;
        self.current = self.current.max(turn);
        self.current.max(self.previous)
    }
}
