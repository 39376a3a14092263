//! Callers that check what they are given.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::json;

use crate::{
    harness::config,
    standins::{prompt_seed, token_text},
};

/// Time beyond its deadline for which a caller waits for the last word.
const PATIENCE: Duration = Duration::from_secs(5);

/// Tries to find an instance that takes a request, as the balancer does.
const BALANCER_TRIES: usize = 4;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer, and the right one.
    Whole,
    /// A refusal: the problem's kind and what ran.
    Refused {
        /// Kind of the problem.
        kind: String,
        /// What ran, as the caller was told.
        ran: String,
    },
    /// A stream that ended in an explicit error.
    BrokenOff(String),
    /// A stream that ended without a word.
    CutOff,
    /// Text that does not belong to this prompt, or a part taken for the whole.
    Fragment(String),
    /// No answer within the deadline and the patience.
    Silent,
}

/// A request's end with its time to first token.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its end.
    pub ended: Ended,
    /// Time to first token, if one came.
    pub ttft: Option<Duration>,
}

/// The answer to a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The answer.
    pub body: String,
    /// Whether it was recorded earlier.
    pub replayed: bool,
}

/// Sends requests to daemons and checks the answers.
#[derive(Clone)]
pub struct Caller {
    http: awc::Client,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        let connector = awc::Connector::new()
            .limit(4_096)
            .timeout(Duration::from_secs(2));
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        Self { http }
    }

    /// Asks for a completion of `text`, streamed, at the first of the daemons
    /// that takes it.
    pub async fn complete(
        &self,
        daemons: &[String],
        account: usize,
        text: &str,
        output: u64,
        deadline: Duration,
    ) -> Answer {
        let started = Instant::now();
        let asking = async {
            for daemon in daemons.iter().take(BALANCER_TRIES) {
                let answer = self
                    .complete_at(daemon, account, text, output, deadline, started)
                    .await;
                if !elsewhere(&answer.ended) {
                    return answer;
                }
            }
            Answer {
                ended: Ended::Refused {
                    kind: "no-instance".to_owned(),
                    ran: "no".to_owned(),
                },
                ttft: None,
            }
        };
        let answered = actix_rt::time::timeout(deadline + PATIENCE, asking).await;
        answered.unwrap_or(Answer {
            ended: Ended::Silent,
            ttft: None,
        })
    }

    /// Books at one daemon.
    pub async fn book(
        &self,
        daemon: &str,
        account: usize,
        key: Option<&str>,
        body: &str,
    ) -> Booking {
        let url = format!("http://{daemon}/services/bookings/bookings");
        let mut request = self
            .http
            .post(url)
            .timeout(Duration::from_secs(20))
            .insert_header(("authorization", config::bearer(account)));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        let silent = Booking {
            status: 0,
            body: String::new(),
            replayed: false,
        };
        let Ok(mut response) = request.send_body(body.to_owned()).await else {
            return silent;
        };
        let replayed = response.headers().contains_key("idempotent-replayed");
        let status = response.status().as_u16();
        match response.body().await {
            Ok(body) => Booking {
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
                replayed,
            },
            Err(_) => silent,
        }
    }

    async fn complete_at(
        &self,
        daemon: &str,
        account: usize,
        text: &str,
        output: u64,
        deadline: Duration,
        started: Instant,
    ) -> Answer {
        let body = json!({
            "model": config::MODEL, "prompt": text, "max_tokens": output, "stream": true,
        });
        let request = self
            .http
            .post(format!("http://{daemon}/v1/completions"))
            .insert_header(("authorization", config::bearer(account)))
            .insert_header(("x-deadline-ms", deadline.as_millis().to_string()));
        let mut response = match request.send_body(body.to_string()).await {
            Ok(response) => response,
            Err(awc::error::SendRequestError::Connect(_)) => return refused("connect", "no"),
            Err(err) => return plain(Ended::BrokenOff(format!("no answer: {err}"))),
        };
        if response.status().as_u16() != 200 {
            let body = response.body().await.unwrap_or_default();
            return problem(&body);
        }
        let mut checker = Checker::new(text, output);
        let mut ttft = None;
        while let Some(Ok(bytes)) = response.next().await {
            checker.push(&bytes);
            if ttft.is_none() && checker.tokens > 0 {
                ttft = Some(started.elapsed());
            }
            if let Some(ended) = checker.ended.clone() {
                return Answer { ended, ttft };
            }
        }
        Answer {
            ended: Ended::CutOff,
            ttft,
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

/// Compares an answer with the only one that is right.
struct Checker {
    seed: u64,
    output: u64,
    tokens: u64,
    text: String,
    buffer: String,
    error: bool,
    ended: Option<Ended>,
}

impl Checker {
    fn new(prompt: &str, output: u64) -> Self {
        Self {
            seed: prompt_seed(&json!(prompt).to_string()),
            output,
            tokens: 0,
            text: String::new(),
            buffer: String::new(),
            error: false,
            ended: None,
        }
    }

    fn push(&mut self, bytes: &Bytes) {
        self.buffer.push_str(&String::from_utf8_lossy(bytes));
        while let Some(end) = self.buffer.find('\n') {
            let line: String = self.buffer.drain(..=end).collect();
            self.line(line.trim());
        }
    }

    fn line(&mut self, line: &str) {
        if line == "event: error" {
            self.error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if self.error {
            self.ended = Some(Ended::BrokenOff(data.to_owned()));
        } else if data == "[DONE]" {
            self.ended = Some(self.judge());
        } else {
            self.token(data);
        }
    }

    fn token(&mut self, data: &str) {
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        self.text.push_str(text);
        let expected = token_text(self.seed, self.tokens);
        self.tokens += 1;
        if text != expected {
            let seen = format!("token {} is `{text}`, not `{expected}`", self.tokens);
            self.ended = Some(Ended::Fragment(seen));
        }
    }

    fn judge(&self) -> Ended {
        match self.tokens == self.output {
            true => Ended::Whole,
            false => Ended::Fragment(format!("{} of {} tokens", self.tokens, self.output)),
        }
    }
}

/// Whether the platform's balancer would have picked another instance.
fn elsewhere(ended: &Ended) -> bool {
    match ended {
        Ended::Refused { kind, .. } => kind == "connect" || kind == "shutting-down",
        _ => false,
    }
}

fn problem(body: &[u8]) -> Answer {
    let problem: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = problem["title"].as_str().unwrap_or("no problem document");
    let ran = problem["ran"].as_str().unwrap_or("not said");
    refused(kind, ran)
}

fn refused(kind: &str, ran: &str) -> Answer {
    plain(Ended::Refused {
        kind: kind.to_owned(),
        ran: ran.to_owned(),
    })
}

fn plain(ended: Ended) -> Answer {
    Answer { ended, ttft: None }
}
