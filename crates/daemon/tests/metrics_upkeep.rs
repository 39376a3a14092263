//! Memory of metrics that nobody fetches, and the longest turn.

use std::{fs, time::Duration};

use cyclamengauge_daemon::telemetry::upkeep::{self, LongestTurn};

/// Interval at which the test drains the samples.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Samples that are recorded at once, and how often.
const SAMPLES_PER_ROUND: usize = 40_000;
const ROUNDS: usize = 20;

/// Resident memory of this process, in pages.
fn resident_pages() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse().unwrap()
}

fn record_round() {
    for sample in 0..SAMPLES_PER_ROUND {
        metrics::histogram!("test_seconds").record(sample as f64 / 1e3);
    }
}

/// Pattern: a deployment that never fetches the metrics.
#[test]
fn samples_that_nobody_fetches_are_drained() {
    actix_rt::System::new().block_on(async {
        let recorder = metrics_exporter_prometheus::PrometheusBuilder::new()
            .install_recorder()
            .unwrap();
        let start = resident_pages();
        for _ in 0..ROUNDS {
            record_round();
        }
        let undrained = resident_pages() - start;
        actix_rt::spawn(upkeep::drain_histograms(recorder, DRAIN_INTERVAL));
        let before = resident_pages();
        for _ in 0..ROUNDS {
            record_round();
            actix_rt::time::sleep(5 * DRAIN_INTERVAL).await;
        }
        let drained = resident_pages().saturating_sub(before);
        assert!(
            drained < undrained / 4,
            "{drained} pages more with draining, {undrained} without"
        );
    });
}

#[test]
fn the_longest_turn_is_kept_for_a_while() {
    let (short, long) = (Duration::from_millis(1), Duration::from_millis(900));
    let mut longest_turn = LongestTurn::default();
    assert_eq!(longest_turn.record(short), short);
    assert_eq!(longest_turn.record(long), long);
    let checks = (0..10_000).take_while(|_| longest_turn.record(short) == long);
    let checks = checks.count();
    assert!((300..=600).contains(&checks), "{checks} checks");
}
