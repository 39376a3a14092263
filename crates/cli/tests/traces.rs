//! Traces of requests from the logs of several daemons.

use cyclamengauge_cli::traces::{self, LogLine};

const LOG_A: &str = r#"
{"timestamp":"2026-12-04T05:00:00.100000Z","level":"INFO","fields":{"event":"start","instance":"a","incarnation":1,"listen":"127.0.0.1:80","message":"start"}}
{"timestamp":"2026-12-04T05:00:09.000000Z","level":"INFO","fields":{"event":"target-suspect","target":"t1","cause":"silent","out_ms":800,"message":"m"}}
{"timestamp":"2026-12-04T05:00:10.900000Z","level":"INFO","fields":{"event":"received","request":"r1","at_unix_ms":1796360410000,"route":"read","service":"s","content":"0f","left_ms":900,"message":"m"}}
{"timestamp":"2026-12-04T05:00:10.900000Z","level":"INFO","fields":{"event":"placed","request":"r1","at_unix_ms":1796360410010,"target":"t1","message":"m"}}
{"timestamp":"2026-12-04T05:00:10.900000Z","level":"INFO","fields":{"event":"ended","request":"r1","at_unix_ms":1796360410900,"outcome":"timed-out","status":504,"message":"m"}}
{"timestamp":"2026-12-04T05:00:11.000000Z","level":"INFO","fields":{"event":"placements","placed":"r1>t1 r7>t2","message":"m"}}
{"timestamp":"2026-12-04T05:00:12.000000Z","level":"INFO","fields":{"event":"start","instance":"a","incarnation":2,"listen":"127.0.0.1:80","message":"start"}}
not JSON
"#;

const LOG_B: &str = r#"
  12.5 b {"timestamp":"2026-12-04T05:00:11.500000Z","level":"INFO","fields":{"event":"received","request":"r2","at_unix_ms":1796360411500,"route":"read","content":"0f","message":"m"}}
  12.5 b {"timestamp":"2026-12-04T05:00:11.500000Z","level":"INFO","fields":{"event":"target-listed","target":"t1","service":"s","address":"10.0.0.1:80","draining":true,"source":"the store","message":"m"}}
"#;

fn log_lines() -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = Vec::new();
    for (file, text) in [("a", LOG_A), ("b.log", LOG_B)] {
        lines.extend(text.lines().filter_map(|line| LogLine::parse(file, line)));
    }
    lines.sort_by_key(|line| line.at_unix_ms);
    lines
}

#[test]
fn trace_of_a_failed_request_includes_events_of_its_targets_and_process() {
    insta::assert_snapshot!(traces::explain(&log_lines(), "r1").unwrap());
}

#[test]
fn trace_of_a_request_in_a_killed_process_comes_from_placements() {
    insta::assert_snapshot!(traces::explain(&log_lines(), "r7").unwrap());
}

#[test]
fn unknown_request_has_no_trace() {
    assert_eq!(traces::explain(&log_lines(), "r9"), None);
}

#[test]
fn source_is_the_file_name_or_the_word_before_the_json() {
    let prefixed = log_lines()
        .into_iter()
        .find(|line| line.source != "a")
        .unwrap();
    assert_eq!(prefixed.source, "b");
}

#[test]
fn trace_of_a_request_refused_at_a_limit_names_the_limit_and_its_source() {
    let log = r#"
{"timestamp":"2026-12-04T05:00:09.000000Z","level":"INFO","fields":{"event":"target-limit","target":"t1","limit_per_s":1.5,"source":"b","message":"m"}}
{"timestamp":"2026-12-04T05:00:10.000000Z","level":"INFO","fields":{"event":"at-limit","request":"r1","at_unix_ms":1796360410000,"targets":"t1 1.5 requests/s","wait_ms":300,"message":"m"}}
{"timestamp":"2026-12-04T05:00:10.000000Z","level":"INFO","fields":{"event":"ended","request":"r1","at_unix_ms":1796360410001,"outcome":"targets-at-limit","status":503,"retry_after_ms":300,"message":"m"}}
"#;
    let lines: Vec<LogLine> = log
        .lines()
        .filter_map(|line| LogLine::parse("a", line))
        .collect();
    let trace = traces::explain(&lines, "r1").unwrap();
    for expected in [
        "at-limit targets=`t1 1.5 requests/s` wait_ms=300",
        "outcome=`targets-at-limit`",
        "target-limit limit_per_s=1.5 source=`b` target=`t1`",
    ] {
        assert!(trace.contains(expected), "`{expected}` is not in {trace}");
    }
}
