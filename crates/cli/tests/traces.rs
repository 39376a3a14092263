//! A request's trace from the logs of several daemons.

use cyclamengauge_cli::traces::{self, Line};

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

fn lines() -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for (file, text) in [("a", LOG_A), ("b.log", LOG_B)] {
        lines.extend(text.lines().filter_map(|line| Line::parse(file, line)));
    }
    lines.sort_by_key(|line| line.at_unix_ms);
    lines
}

#[test]
fn a_failed_request_is_told_with_its_surroundings() {
    insta::assert_snapshot!(traces::explain(&lines(), "r1").unwrap());
}

#[test]
fn a_request_whose_process_was_killed_is_told_from_the_placements() {
    insta::assert_snapshot!(traces::explain(&lines(), "r7").unwrap());
}

#[test]
fn an_unknown_request_has_no_trace() {
    assert_eq!(traces::explain(&lines(), "r9"), None);
}

#[test]
fn sources_are_files_or_the_word_before_a_line() {
    let of_b = lines().into_iter().find(|line| line.source != "a").unwrap();
    assert_eq!(of_b.source, "b");
}
