//! Parses the server-sent events of an engine's response.

use bytes::BytesMut;
use serde::Deserialize;

/// Longest line of the event stream; a longer one is malformed.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Data of the event that ends a complete response.
const DONE_DATA: &str = "[DONE]";

/// One event of an engine's response.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// Tokens of the response.
    Tokens(Box<TokensEvent>),
    /// The response is complete.
    Done,
    /// An event that cannot be parsed, or a line over the size limit.
    Malformed,
}

/// Tokens of a response, with their position.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct TokensEvent {
    /// Name of the attempt to which the tokens belong.
    #[serde(default)]
    pub attempt: String,
    /// Position of the first token in the response.
    #[serde(default)]
    pub position: u64,
    /// Number of tokens; 1 if the event carries no count.
    #[serde(default = "default_token_count")]
    pub count: u64,
    /// Text of the tokens, as a completion or as a chat completion has it.
    pub choices: Vec<Choice>,
    /// The engine's load report, which some events carry.
    #[serde(default)]
    pub report: Option<cyclamengauge_schema::v1::EngineReport>,
}

/// One alternative of a response; engines send exactly one.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct Choice {
    /// Text of a completion.
    #[serde(default)]
    pub text: Option<String>,
    /// Text of a chat completion.
    #[serde(default)]
    pub delta: Option<Delta>,
    /// Reason why generation ended; on the last event only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Increment of a chat completion.
#[derive(Debug, Default, Deserialize, PartialEq)]
pub struct Delta {
    /// Text that the event adds; absent on events without text.
    #[serde(default)]
    pub content: Option<String>,
}

fn default_token_count() -> u64 {
    1
}

impl TokensEvent {
    /// Returns the text and, on the last event, the reason why generation ended.
    pub fn into_text_and_finish_reason(self) -> (String, Option<String>) {
        let Some(choice) = self.choices.into_iter().next() else {
            return (String::new(), None);
        };
        let delta = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(delta).unwrap_or_default();
        (text, choice.finish_reason)
    }
}

/// Incremental parser that splits a byte stream into events.
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
    /// Start of the buffer that is known to have no end of a line, in bytes.
    searched: usize,
}

impl EventReader {
    /// Appends received bytes, which may hold any part of an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event; none until more bytes arrive.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let mut unsearched = self.buffer[self.searched..].iter();
            let Some(length) = unsearched.position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                let oversized = self.buffer.len() > MAX_LINE_BYTES;
                return oversized.then_some(Event::Malformed);
            };
            let line = self.buffer.split_to(self.searched + length + 1);
            self.searched = 0;
            if let Some(event) = parse_line(&line) {
                return Some(event);
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Option<Event> {
    let line = std::str::from_utf8(line).ok()?.trim();
    let data = line.strip_prefix("data:")?.trim();
    if data == DONE_DATA {
        return Some(Event::Done);
    }
    let tokens = serde_json::from_str::<TokensEvent>(data);
    Some(tokens.map_or(Event::Malformed, |tokens| Event::Tokens(Box::new(tokens))))
}
