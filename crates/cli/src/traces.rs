//! Reconstructs the trace of a request from daemon logs.

use std::{collections::BTreeSet, path::Path};

use anyhow::Context;
use cyclamengauge_core::events;
use serde_json::{Map, Value};

/// Time before the first and after the last log line of a request within which the
/// trace includes events of its targets and of its process.
const CONTEXT_MS: u64 = 3_000;

/// Process events that the trace of a request includes.
const PROCESS_EVENTS: [&str; 7] = [
    "start",
    "shutdown",
    "configuration",
    "target-limit",
    "store-lost",
    "store-back",
    "peers",
];

/// Log line of a daemon.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Name of the daemon: the word before the JSON object, or else the file name.
    pub source: String,
    /// Time of the event in ms since the Unix epoch. A daemon may write the line
    /// later.
    pub at_unix_ms: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a log line. Returns `None` if the line has no event of a daemon.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let line: Value = serde_json::from_str(&text[start..]).ok()?;
        let fields = line.get("fields")?.as_object()?.clone();
        events::find_kind(fields.get(events::EVENT_FIELD)?.as_str()?)?;
        let written_at = line.get("timestamp").and_then(Value::as_str);
        let decided_at_unix_ms = fields.get(events::AT_UNIX_MS_FIELD).and_then(Value::as_u64);
        // Log collectors prefix each line with the name of the process that wrote it.
        let process_name = text[..start].split_whitespace().last();
        let source = process_name.unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            at_unix_ms: decided_at_unix_ms.or_else(|| parse_unix_ms(written_at?))?,
            fields,
        })
    }

    fn string_field(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn event(&self) -> &str {
        self.string_field(events::EVENT_FIELD)
    }

    fn is_about(&self, request: &str) -> bool {
        self.string_field(events::REQUEST_FIELD) == request
    }

    /// Returns the request's target from the list of placements that daemons log
    /// each second.
    fn placement_target(&self, request: &str) -> Option<&str> {
        let pairs = self.string_field(events::PLACED_FIELD).split(' ');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('>'));
        pairs
            .find(|(id, _)| *id == request)
            .map(|(_, target)| target)
    }

    /// Formats the time, the source, the event and its fields.
    fn render(&self) -> String {
        let skipped = [
            events::EVENT_FIELD,
            events::MESSAGE_FIELD,
            events::REQUEST_FIELD,
            events::AT_UNIX_MS_FIELD,
        ];
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !skipped.contains(&name.as_str()));
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}=`{text}`"),
            other => format!("{name}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        format!(
            "{} {} {} {}",
            format_time(self.at_unix_ms),
            self.source,
            self.event(),
            fields.join(" ")
        )
    }
}

/// Reads the events of several log files, sorted by time. Skips lines without an
/// event.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn read_logs(files: &[impl AsRef<Path>]) -> anyhow::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        let file = file.as_ref();
        let text =
            std::fs::read(file).with_context(|| format!("read log file {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        let name = file.display().to_string();
        lines.extend(text.lines().filter_map(|line| LogLine::parse(&name, line)));
    }
    lines.sort_by_key(|line| line.at_unix_ms);
    Ok(lines)
}

/// Formats the trace of a request: its log lines, the other requests with the same
/// content, and the events of its targets and its process around that time. Returns
/// `None` if no line has the request's id.
pub fn explain(lines: &[LogLine], request: &str) -> Option<String> {
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(request)).collect();
    let Some(first) = request_lines.first() else {
        return explain_from_placements(lines, request);
    };
    let mut trace = format!("request {request}\n");
    for line in &request_lines {
        trace.push_str(&format!("  {}\n", line.render()));
    }
    let related = related_requests(lines, &request_lines, request);
    if !related.is_empty() {
        let related = related.into_iter().collect::<Vec<_>>().join(", ");
        trace.push_str(&format!(
            "other requests with the same content: {related}\n"
        ));
    }
    let targets: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.string_field(events::TARGET_FIELD))
        .collect();
    let last = request_lines.last().unwrap_or(first);
    let span = first.at_unix_ms.saturating_sub(CONTEXT_MS)..=last.at_unix_ms + CONTEXT_MS;
    let context = lines.iter().filter(|line| {
        let about_target = !line.string_field(events::TARGET_FIELD).is_empty()
            && targets.contains(line.string_field(events::TARGET_FIELD))
            && !is_request_event(line);
        let about_process = line.source == first.source && PROCESS_EVENTS.contains(&line.event());
        span.contains(&line.at_unix_ms) && (about_target || about_process)
    });
    let context: Vec<String> = context
        .map(|line| format!("  {}\n", line.render()))
        .collect();
    if !context.is_empty() {
        trace.push_str("events of its targets and its process at that time\n");
        trace.push_str(&context.concat());
    }
    Some(trace)
}

/// Formats the placements of a request without log lines of its own: the request was
/// served in time, or its process was killed before the lines were written.
fn explain_from_placements(lines: &[LogLine], request: &str) -> Option<String> {
    let placements = lines
        .iter()
        .filter_map(|line| Some((line, line.placement_target(request)?)));
    let placements: Vec<(&LogLine, &str)> = placements.collect();
    let (last, _) = placements.last()?;
    let mut trace = format!("request {request}, no log lines of its own\n");
    for (line, target) in &placements {
        let unix_s = line.at_unix_ms as f64 / 1e3;
        let source = &line.source;
        trace.push_str(&format!(
            "  {unix_s:.3} {source} sent to {target} within the preceding second\n"
        ));
    }
    let restart = lines.iter().find(|line| {
        line.source == last.source && line.event() == "start" && line.at_unix_ms > last.at_unix_ms
    });
    match restart {
        Some(restart) => trace.push_str(&format!(
            "the request was served in time, or was in progress when its process was killed:\n  {}\n",
            restart.render()
        )),
        None => trace.push_str("the request was served in time\n"),
    }
    Some(trace)
}

/// Returns the ids of the other requests with the content of `request`.
fn related_requests<'a>(
    lines: &'a [LogLine],
    request_lines: &[&LogLine],
    request: &str,
) -> BTreeSet<&'a str> {
    let contents = request_lines
        .iter()
        .map(|line| line.string_field(events::CONTENT_FIELD));
    let contents: BTreeSet<&str> = contents.filter(|content| !content.is_empty()).collect();
    let related = lines
        .iter()
        .filter(|line| contents.contains(line.string_field(events::CONTENT_FIELD)));
    let ids = related.map(|line| line.string_field(events::REQUEST_FIELD));
    ids.filter(|id| *id != request).collect()
}

fn is_request_event(line: &LogLine) -> bool {
    let kinds = events::REQUEST_EVENTS.iter();
    kinds.into_iter().any(|kind| kind.name == line.event())
}

fn format_time(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok();
    let time = time.and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    time.map_or_else(|| format!("{unix_ms} ms"), |time| format!("{time:.3}"))
}

/// Parses a time like `2026-12-04T05:28:09.123456Z` into ms since the Unix epoch.
fn parse_unix_ms(text: &str) -> Option<u64> {
    let time = text.parse::<jiff::Timestamp>().ok()?;
    u64::try_from(time.as_millisecond()).ok()
}
