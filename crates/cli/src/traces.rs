//! The trace of a request, from the logs of the daemons.

use std::{collections::BTreeSet, path::Path};

use anyhow::Context;
use cyclamengauge_core::events;
use serde_json::{Map, Value};

/// Time before and after a request's lines in which lines about its targets and
/// about its process may explain it.
const CONTEXT_MS: u64 = 3_000;

/// Lines about the process itself that may explain a request.
const PROCESS_CONTEXT: [&str; 6] = [
    "start",
    "shutdown",
    "configuration",
    "store-lost",
    "store-back",
    "peers",
];

/// A line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the file, or what stands before the line's JSON.
    pub source: String,
    /// When it was decided, in ms since the Unix epoch.
    pub at_unix_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; none if it is no event of a daemon.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let line: Value = serde_json::from_str(&text[start..]).ok()?;
        let fields = line.get("fields")?.as_object()?.clone();
        events::find_kind(fields.get(events::EVENT_FIELD)?.as_str()?)?;
        let written = line.get("timestamp").and_then(Value::as_str);
        let decided = fields.get(events::AT_UNIX_MS_FIELD).and_then(Value::as_u64);
        // Collectors of logs write the name of the process before its lines.
        let before = text[..start].split_whitespace().last();
        let source = before.unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            at_unix_ms: decided.or_else(|| unix_ms(written?))?,
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn event(&self) -> &str {
        self.text(events::EVENT_FIELD)
    }

    fn is_of(&self, request: &str) -> bool {
        self.text(events::REQUEST_FIELD) == request
    }

    /// Where the summary of a second says that the request went.
    fn placed(&self, request: &str) -> Option<&str> {
        let pairs = self.text(events::PLACED_FIELD).split(' ');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('>'));
        pairs
            .find(|(id, _)| *id == request)
            .map(|(_, target)| target)
    }

    /// Time, source, and the event with its fields.
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
            time(self.at_unix_ms),
            self.source,
            self.event(),
            fields.join(" ")
        )
    }
}

/// Reads the lines of files, in the order of their decisions.
///
/// # Errors
///
/// If a file can't be read.
pub fn read(files: &[impl AsRef<Path>]) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        let file = file.as_ref();
        let text = std::fs::read(file).with_context(|| format!("read {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        let name = file.display().to_string();
        lines.extend(text.lines().filter_map(|line| Line::parse(&name, line)));
    }
    lines.sort_by_key(|line| line.at_unix_ms);
    Ok(lines)
}

/// The trace of a request: its own lines, the other tries of the same content, and
/// what happened to its targets and its process at that time. None if no line
/// names the request.
pub fn explain(lines: &[Line], request: &str) -> Option<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let Some(first) = own.first() else {
        return explain_placement(lines, request);
    };
    let mut trace = format!("request {request}\n");
    for line in &own {
        trace.push_str(&format!("  {}\n", line.render()));
    }
    let tries = other_tries(lines, &own, request);
    if !tries.is_empty() {
        let tries = tries.into_iter().collect::<Vec<_>>().join(", ");
        trace.push_str(&format!("other tries of the same content: {tries}\n"));
    }
    let targets: BTreeSet<&str> = own
        .iter()
        .map(|line| line.text(events::TARGET_FIELD))
        .collect();
    let last = own.last().unwrap_or(first);
    let span = first.at_unix_ms.saturating_sub(CONTEXT_MS)..=last.at_unix_ms + CONTEXT_MS;
    let around = lines.iter().filter(|line| {
        let about_target = !line.text(events::TARGET_FIELD).is_empty()
            && targets.contains(line.text(events::TARGET_FIELD))
            && !is_request_event(line);
        let about_process = line.source == first.source && PROCESS_CONTEXT.contains(&line.event());
        span.contains(&line.at_unix_ms) && (about_target || about_process)
    });
    let around: Vec<String> = around
        .map(|line| format!("  {}\n", line.render()))
        .collect();
    if !around.is_empty() {
        trace.push_str("meanwhile, to its targets and its process\n");
        trace.push_str(&around.concat());
    }
    Some(trace)
}

/// A request without lines of its own went well, or its process was killed.
fn explain_placement(lines: &[Line], request: &str) -> Option<String> {
    let placed = lines
        .iter()
        .filter_map(|line| Some((line, line.placed(request)?)));
    let placed: Vec<(&Line, &str)> = placed.collect();
    let (last, _) = placed.last()?;
    let mut trace = format!("request {request}, without lines of its own\n");
    for (line, target) in &placed {
        let second = line.at_unix_ms as f64 / 1e3;
        let source = &line.source;
        trace.push_str(&format!(
            "  {second:.3} {source} sent to {target} in the second before\n"
        ));
    }
    let restart = lines.iter().find(|line| {
        line.source == last.source && line.event() == "start" && line.at_unix_ms > last.at_unix_ms
    });
    match restart {
        Some(restart) => trace.push_str(&format!(
            "it was served in time, or in progress when its process was killed:\n  {}\n",
            restart.render()
        )),
        None => trace.push_str("it was served in time\n"),
    }
    Some(trace)
}

fn other_tries<'a>(lines: &'a [Line], own: &[&Line], request: &str) -> BTreeSet<&'a str> {
    let contents = own.iter().map(|line| line.text(events::CONTENT_FIELD));
    let contents: BTreeSet<&str> = contents.filter(|content| !content.is_empty()).collect();
    let others = lines
        .iter()
        .filter(|line| contents.contains(line.text(events::CONTENT_FIELD)));
    let ids = others.map(|line| line.text(events::REQUEST_FIELD));
    ids.filter(|id| *id != request).collect()
}

fn is_request_event(line: &Line) -> bool {
    let kinds = events::REQUEST_EVENTS.iter();
    kinds.into_iter().any(|kind| kind.name == line.event())
}

fn time(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok();
    let time = time.and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    time.map_or_else(|| format!("{unix_ms} ms"), |time| format!("{time:.3}"))
}

/// Milliseconds since the Unix epoch of a time like `2026-12-04T05:28:09.123456Z`.
fn unix_ms(text: &str) -> Option<u64> {
    let time = text.parse::<jiff::Timestamp>().ok()?;
    u64::try_from(time.as_millisecond()).ok()
}
