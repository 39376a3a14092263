//! Writing logs must not block the daemon.

use std::io::{Read, Write};

use cyclamengauge_daemon::telemetry::{LogWriter, dropped_lines};
use tracing_subscriber::fmt::MakeWriter;

#[test]
fn writes_to_a_full_pipe_drop_lines_without_blocking() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let log_writer = LogWriter::new(writer).unwrap();
    let line = [b'x'; 999];
    // 5 MB, more than a pipe buffers.
    for _ in 0..5_000 {
        let mut line_writer = log_writer.make_writer();
        line_writer.write_all(&line).unwrap();
        line_writer.write_all(b"\n").unwrap();
    }
    assert!(dropped_lines() > 0, "expected dropped lines, got 0");
    drop(log_writer);
    let mut received = Vec::new();
    reader.read_to_end(&mut received).unwrap();
    assert!(
        !received.is_empty() && received.len() < 5_000_000,
        "expected a part of the 5,000,000 bytes, got {}",
        received.len()
    );
}
