//! Completions, streamed or whole.

use std::{
    cell::RefCell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::{
    Request, Response,
    body::{BodySize, BoxBody, MessageBody},
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    dispatch::Outcome,
    ids::{ModelId, RequestId},
    request::{self, ExecutionState, Refusal, RefusalReason},
};
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    client_api::{self, completion_request, request_checks},
    http,
    node::{AccountEntry, Caller, Node, Piece, TextPiece, unix_ms},
    telemetry,
};

/// Pieces of an answer that may wait for the caller to take them.
const PIECES_AHEAD: usize = 64;

/// Header with the request's name, by which operators can ask about it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Usual size of an event.
const CHUNK_BYTES: usize = 256;

/// The two shapes in which completions are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// A prompt and its continuation.
    Text,
    /// Messages and the next one.
    Chat,
}

impl Shape {
    fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Tells the dispatcher if the caller's side is dropped before the end.
struct Guard {
    node: Rc<Node>,
    request: RequestId,
    ended: bool,
    _body: request_checks::HeldBody,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.request;
            self.node.callers.borrow_mut().remove(&request);
            self.node.decide(|d, now| d.caller_gone(request, now));
        }
    }
}

/// The receiving end of one answer.
struct Answer {
    guard: Guard,
    pieces: mpsc::Receiver<Piece>,
    end: Rc<RefCell<Option<Outcome>>>,
    shape: Shape,
    model: String,
    prompt_tokens: u64,
    arrived_at: Instant,
    id: String,
    created_s: u64,
}

/// A streamed answer as a body. It is dropped with the caller's connection, and
/// the answer's guard then tells the dispatcher.
struct AnswerBody {
    answer: Answer,
    first: Option<TextPiece>,
}

impl MessageBody for AnswerBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    /// Takes all pieces that are there, so that a burst is written at once.
    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let body = &mut *self;
        let mut text = Vec::with_capacity(CHUNK_BYTES);
        if let Some(first) = body.first.take() {
            body.answer.write(Piece::Text(first), &mut text);
        }
        while !body.answer.guard.ended {
            match body.answer.pieces.poll_recv(cx) {
                Poll::Ready(received) => {
                    let piece = body.answer.received(received);
                    body.answer.write(piece, &mut text);
                }
                Poll::Pending if text.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        let chunk = (!text.is_empty()).then(|| Ok(Bytes::from(text)));
        Poll::Ready(chunk)
    }
}

/// One event of a streamed answer.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice; 1],
}

#[derive(Serialize)]
struct ChunkChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Serialize)]
struct Delta {
    content: String,
}

/// Answers a request for a completion.
pub(crate) async fn handle(
    node: Rc<Node>,
    mut request: Request,
    shape: Shape,
) -> Response<BoxBody> {
    let (answer, event_stream) = match prepare(&node, &mut request, shape).await {
        Ok(prepared) => prepared,
        Err(refused) => return refused,
    };
    let name = answer.id.clone();
    let mut response = match event_stream {
        true => answer.stream().await,
        false => answer.whole().await,
    };
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn prepare(
    node: &Rc<Node>,
    request: &mut Request,
    shape: Shape,
) -> Result<(Answer, bool), Response<BoxBody>> {
    let account = request_checks::account(node, request)?;
    let deadline = request_checks::deadline(node, request, &account, 0)?;
    let arrived_at = node.clock.now();
    let body = request_checks::body(node, request).await?;
    let content = understand(node, &body.bytes).await?;
    check_model(node, &account, &content.model)?;
    if node.closing.get() {
        return Err(client_api::refuse(&Refusal {
            reason: RefusalReason::ShuttingDown,
            ran: ExecutionState::NotExecuted,
            retry_after: None,
        }));
    }
    let id = node.next_request();
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    let end = Rc::new(RefCell::new(None));
    let caller = Caller {
        pieces: sender,
        end: Rc::clone(&end),
        body: body.bytes.clone(),
        path: shape.path(),
    };
    node.callers.borrow_mut().insert(id, caller);
    let answer = Answer {
        guard: Guard {
            node: Rc::clone(node),
            request: id,
            ended: false,
            _body: body,
        },
        pieces: receiver,
        end,
        shape,
        model: content.model.clone(),
        prompt_tokens: content.prompt.get(),
        arrived_at,
        id: node.request_name(id),
        created_s: unix_ms() / 1_000,
    };
    let wanted = request::Request {
        id,
        account: account.id,
        model: ModelId::new(&content.model),
        prompt: content.prompt,
        max_output: content.max_output,
        prefixes: content.prefixes,
        fingerprint: content.fingerprint,
        deadline: arrived_at + deadline,
    };
    node.decide(|d, now| d.arrive(wanted, now));
    Ok((answer, content.stream))
}

async fn understand(
    node: &Node,
    body: &Bytes,
) -> Result<completion_request::Content, Response<BoxBody>> {
    let bytes_per_token = node.directory.borrow().routing.bytes_per_token;
    let key = node.fingerprint_key;
    let read = if body.len() < completion_request::LARGE_BODY {
        completion_request::read(body, bytes_per_token, &key)
    } else {
        let body = body.clone();
        let reading = move || completion_request::read(&body, bytes_per_token, &key);
        match actix_rt::task::spawn_blocking(reading).await {
            Ok(read) => read,
            Err(_) => Err("the body could not be read".to_owned()),
        }
    };
    read.map_err(|detail| {
        http::problem(
            400,
            "bad-request",
            &detail,
            ExecutionState::NotExecuted,
            None,
        )
    })
}

fn check_model(node: &Node, account: &AccountEntry, model: &str) -> Result<(), Response<BoxBody>> {
    let allowed = account.models.is_empty() || account.models.iter().any(|m| m == model);
    let current = node.current.borrow();
    let declared = current
        .accepted()
        .and_then(|accepted| accepted.declaration.as_ref())
        .is_some_and(|d| d.models.iter().any(|m| m.name == model));
    if allowed && declared {
        return Ok(());
    }
    let detail = "the model is not declared for this account";
    Err(http::problem(
        404,
        "unknown-model",
        detail,
        ExecutionState::NotExecuted,
        None,
    ))
}

impl Answer {
    /// Answers with one body once the whole text is there.
    async fn whole(mut self) -> Response<BoxBody> {
        let mut text = String::new();
        let mut finish_reason = None;
        let mut tokens = 0;
        loop {
            match self.next().await {
                Piece::Text(piece) => {
                    self.note_first(tokens);
                    tokens += 1;
                    text.push_str(&piece.text);
                    finish_reason = piece.finish_reason.or(finish_reason);
                }
                Piece::End(Outcome::Completed) => {
                    return self.whole_body(&text, finish_reason, tokens);
                }
                // Nothing was passed on, so no part of an answer is out.
                Piece::End(Outcome::Refused(refusal)) => {
                    let ran = match refusal.ran {
                        ExecutionState::Partial => ExecutionState::Unknown,
                        other => other,
                    };
                    return client_api::refuse(&Refusal { ran, ..refusal });
                }
                Piece::End(Outcome::Abandoned) => return abandoned(),
            }
        }
    }

    /// Streams the answer. The status waits for the first text, so a refusal
    /// before it is a true one.
    async fn stream(mut self) -> Response<BoxBody> {
        let first = match self.next().await {
            Piece::Text(piece) => piece,
            Piece::End(Outcome::Refused(refusal)) => return client_api::refuse(&refusal),
            Piece::End(Outcome::Abandoned) => return abandoned(),
            Piece::End(Outcome::Completed) => TextPiece {
                text: String::new(),
                finish_reason: Some("stop".to_owned()),
            },
        };
        self.note_first(0);
        http::event_stream(AnswerBody {
            answer: self,
            first: Some(first),
        })
    }

    async fn next(&mut self) -> Piece {
        let received = self.pieces.recv().await;
        self.received(received)
    }

    /// The piece that came, or the end if the channel is closed.
    fn received(&mut self, received: Option<Piece>) -> Piece {
        let piece = received.unwrap_or_else(|| {
            let end = self.end.borrow_mut().take();
            Piece::End(end.unwrap_or(Outcome::Abandoned))
        });
        if matches!(piece, Piece::End(_)) {
            self.guard.ended = true;
        }
        piece
    }

    fn note_first(&self, tokens: u64) {
        if tokens == 0 {
            let taken = self.guard.node.clock.now() - self.arrived_at;
            telemetry::record_first_token(self.prompt_tokens, taken);
        }
    }

    /// Appends the event for a piece.
    fn write(&self, piece: Piece, text: &mut Vec<u8>) {
        match piece {
            Piece::Text(piece) => event(&self.text_chunk(piece), text),
            Piece::End(Outcome::Completed) => text.extend_from_slice(b"data: [DONE]\n\n"),
            Piece::End(Outcome::Refused(refusal)) => error_event(&refusal, text),
            Piece::End(Outcome::Abandoned) => {
                let refusal = Refusal {
                    reason: RefusalReason::TargetsFailed,
                    ran: ExecutionState::Partial,
                    retry_after: None,
                };
                error_event(&refusal, text);
            }
        }
    }

    fn text_chunk(&self, piece: TextPiece) -> Chunk<'_> {
        let (text, delta) = match self.shape {
            Shape::Text => (Some(piece.text), None),
            Shape::Chat => {
                let content = piece.text;
                (None, Some(Delta { content }))
            }
        };
        Chunk {
            id: &self.id,
            object: match self.shape {
                Shape::Text => "text_completion",
                Shape::Chat => "chat.completion.chunk",
            },
            created: self.created_s,
            model: &self.model,
            choices: [ChunkChoice {
                index: 0,
                text,
                delta,
                finish_reason: piece.finish_reason,
            }],
        }
    }

    fn whole_body(&self, text: &str, finish: Option<String>, tokens: u64) -> Response<BoxBody> {
        let choice = match self.shape {
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            Shape::Chat => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
        };
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion",
        };
        let body = json!({
            "id": self.id, "object": object, "created": self.created_s,
            "model": self.model, "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens, "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            },
        });
        http::json(200, body.to_string())
    }
}

fn event(chunk: &Chunk<'_>, text: &mut Vec<u8>) {
    text.extend_from_slice(b"data: ");
    // Writing to memory cannot fail, and the types have no maps with odd keys.
    let _ = serde_json::to_writer(&mut *text, chunk);
    text.extend_from_slice(b"\n\n");
}

/// The end of a stream that broke; no `[DONE]` follows.
fn error_event(refusal: &Refusal, text: &mut Vec<u8>) {
    let error = json!({"error": {
        "type": format!("urn:cyclamengauge:problem:{}", refusal.reason),
        "message": client_api::detail(refusal.reason),
        "ran": refusal.ran.to_string(),
        "retry_after_s": refusal.retry_after.map(|time| time.as_secs()),
    }});
    text.extend_from_slice(format!("event: error\ndata: {error}\n\n").as_bytes());
}

fn abandoned() -> Response<BoxBody> {
    client_api::refuse(&Refusal {
        reason: RefusalReason::TargetsFailed,
        ran: ExecutionState::Unknown,
        retry_after: None,
    })
}
