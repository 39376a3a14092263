//! Server-sent events from an engine's answer.

use bytes::BytesMut;
use serde::Deserialize;

/// Longest event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Terminator of a whole answer.
const DONE: &str = "[DONE]";

/// One event of an answer.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// Tokens.
    Tokens(Box<TokensEvent>),
    /// The answer is whole.
    Done,
    /// Something that no engine should send.
    Malformed,
}

/// Tokens of an answer.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct TokensEvent {
    /// Attempt to which they belong.
    #[serde(default)]
    pub attempt: String,
    /// Position of the first of them in the answer.
    #[serde(default)]
    pub position: u64,
    /// Their number.
    #[serde(default = "one")]
    pub count: u64,
    /// Their text, in one of the two usual shapes.
    pub choices: Vec<Choice>,
    /// The engine's load, on some events.
    #[serde(default)]
    pub report: Option<cyclamengauge_schema::v1::EngineReport>,
}

/// One alternative of an answer; engines send just one.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct Choice {
    /// Text, in answers to prompts.
    #[serde(default)]
    pub text: Option<String>,
    /// Text, in answers to messages.
    #[serde(default)]
    pub delta: Option<Delta>,
    /// Why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text in answers to messages.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

fn one() -> u64 {
    1
}

impl TokensEvent {
    /// The text and, on the last event, why the answer ended.
    pub fn into_text(self) -> (String, Option<String>) {
        let Some(choice) = self.choices.into_iter().next() else {
            return (String::new(), None);
        };
        let delta = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(delta).unwrap_or_default();
        (text, choice.finish_reason)
    }
}

/// Splits a stream of bytes into events.
///
/// # Example
///
/// ```
/// use cyclamengauge_daemon::engines::{Event, EventReader};
///
/// let mut reader = EventReader::default();
/// reader.push(b"data: [DO");
/// assert!(reader.next_event().is_none());
/// reader.push(b"NE]\n\n");
/// assert_eq!(reader.next_event(), Some(Event::Done));
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
                let oversized = self.buffer.len() > MAX_EVENT_BYTES;
                return oversized.then_some(Event::Malformed);
            };
            let line = self.buffer.split_to(end + 1);
            if let Some(event) = parse_line(&line) {
                return Some(event);
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Option<Event> {
    let line = std::str::from_utf8(line).ok()?.trim();
    let data = line.strip_prefix("data:")?.trim();
    if data == DONE {
        return Some(Event::Done);
    }
    let parsed = serde_json::from_str::<TokensEvent>(data);
    Some(parsed.map_or(Event::Malformed, |event| Event::Tokens(Box::new(event))))
}
