//! Completions, streamed or in one response body.

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
    node::{AccountEntry, Node, PendingRequest, ResponseEvent, TextChunk, unix_ms},
    telemetry,
};

/// Number of events of a response that are buffered for a slow client.
const EVENT_CHANNEL_CAPACITY: usize = 64;

/// Response header with the request's name, under which operators can look the request
/// up.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Initial capacity of the buffer for server-sent events; a typical event fits.
const SSE_BUFFER_BYTES: usize = 256;

/// An OpenAI-compatible endpoint for completions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// Continuation of a prompt.
    Completions,
    /// Next message of a conversation.
    ChatCompletions,
}

impl Endpoint {
    fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::ChatCompletions => "/v1/chat/completions",
        }
    }
}

/// Cancels the request in the dispatcher if it is dropped before the response has ended,
/// as when the client disconnects.
struct DisconnectGuard {
    node: Rc<Node>,
    request: RequestId,
    ended: bool,
    /// Counts towards the limit on buffered bodies until the response has ended.
    _body: request_checks::BufferedBody,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.request;
            self.node.pending_requests.borrow_mut().remove(&request);
            self.node.update_dispatcher(|dispatcher, now| {
                dispatcher.handle_client_disconnect(request, now)
            });
        }
    }
}

/// Response to a submitted request whose events are still being received.
struct PendingResponse {
    guard: DisconnectGuard,
    events: mpsc::Receiver<ResponseEvent>,
    /// Outcome of the request. Set before `events` closes, even if the channel is too full for
    /// the end event.
    outcome: Rc<RefCell<Option<Outcome>>>,
    endpoint: Endpoint,
    model: String,
    prompt_tokens: u64,
    arrived_at: Instant,
    /// Name of the request, the `id` in response bodies.
    request_name: String,
    created_s: u64,
}

/// Body of a streamed response. It is dropped with the client's connection, and the
/// response's guard then cancels the request.
struct StreamBody {
    response: PendingResponse,
    first_chunk: Option<TextChunk>,
}

impl MessageBody for StreamBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    /// Takes all events received so far, to write a burst of them in one HTTP chunk.
    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let body = &mut *self;
        let mut buffer = Vec::with_capacity(SSE_BUFFER_BYTES);
        if let Some(first_chunk) = body.first_chunk.take() {
            body.response
                .write_sse_event(ResponseEvent::Text(first_chunk), &mut buffer);
        }
        while !body.response.guard.ended {
            match body.response.events.poll_recv(cx) {
                Poll::Ready(received) => {
                    let event = body.response.event_or_end(received);
                    body.response.write_sse_event(event, &mut buffer);
                }
                Poll::Pending if buffer.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        let chunk = (!buffer.is_empty()).then(|| Ok(Bytes::from(buffer)));
        Poll::Ready(chunk)
    }
}

/// Data of one event of a streamed response.
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

/// Handles a request for a completion.
pub(crate) async fn handle(
    node: Rc<Node>,
    mut request: Request,
    endpoint: Endpoint,
) -> Response<BoxBody> {
    let (pending, is_streamed) = match submit(&node, &mut request, endpoint).await {
        Ok(submitted) => submitted,
        Err(error_response) => return error_response,
    };
    let request_name = pending.request_name.clone();
    let mut response = match is_streamed {
        true => pending.respond_streamed().await,
        false => pending.respond_complete().await,
    };
    if let Ok(value) = HeaderValue::from_str(&request_name) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Checks a request and submits it to the dispatcher. Returns the pending response and
/// whether the client wants it streamed.
///
/// # Errors
///
/// The error response, if a check fails or the instance shuts down.
async fn submit(
    node: &Rc<Node>,
    request: &mut Request,
    endpoint: Endpoint,
) -> Result<(PendingResponse, bool), Response<BoxBody>> {
    let account = request_checks::authenticate(node, request)?;
    let time_limit = request_checks::time_limit(node, request, &account, 0)?;
    let arrived_at = node.clock.now();
    let body = request_checks::read_body(node, request).await?;
    let completion = parse_body(node, &body.bytes).await?;
    check_model(node, &account, &completion.model)?;
    if node.shutting_down.get() {
        return Err(client_api::refusal_response(&Refusal {
            reason: RefusalReason::ShuttingDown,
            ran: ExecutionState::NotExecuted,
            retry_after: None,
        }));
    }
    let id = node.next_request_id();
    let (event_sender, event_receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let outcome = Rc::new(RefCell::new(None));
    let pending_request = PendingRequest {
        events: event_sender,
        end: Rc::clone(&outcome),
        body: body.bytes.clone(),
        path: endpoint.path(),
    };
    node.pending_requests
        .borrow_mut()
        .insert(id, pending_request);
    let pending = PendingResponse {
        guard: DisconnectGuard {
            node: Rc::clone(node),
            request: id,
            ended: false,
            _body: body,
        },
        events: event_receiver,
        outcome,
        endpoint,
        model: completion.model.clone(),
        prompt_tokens: completion.prompt.get(),
        arrived_at,
        request_name: node.request_name(id),
        created_s: unix_ms() / 1_000,
    };
    let submitted = request::Request {
        id,
        account: account.id,
        model: ModelId::new(&completion.model),
        prompt: completion.prompt,
        max_output: completion.max_output,
        prefixes: completion.prefixes,
        fingerprint: completion.fingerprint,
        deadline: arrived_at + time_limit,
    };
    node.update_dispatcher(|dispatcher, now| dispatcher.submit_request(submitted, now));
    Ok((pending, completion.stream))
}

/// Parses the body, on a blocking thread if it is large.
async fn parse_body(
    node: &Node,
    body: &Bytes,
) -> Result<completion_request::CompletionRequest, Response<BoxBody>> {
    let bytes_per_token = node.directory.borrow().routing.bytes_per_token;
    let key = node.fingerprint_key;
    let parsed = if body.len() < completion_request::BLOCKING_PARSE_MIN_BYTES {
        completion_request::parse(body, bytes_per_token, &key)
    } else {
        let body = body.clone();
        let parse = move || completion_request::parse(&body, bytes_per_token, &key);
        match actix_rt::task::spawn_blocking(parse).await {
            Ok(parsed) => parsed,
            Err(_) => Err("the body could not be read".to_owned()),
        }
    };
    parsed.map_err(|detail| {
        http::problem(
            400,
            "bad-request",
            &detail,
            ExecutionState::NotExecuted,
            None,
        )
    })
}

/// Checks that the model is declared and that the account may use it.
fn check_model(node: &Node, account: &AccountEntry, model: &str) -> Result<(), Response<BoxBody>> {
    let allowed = account.models.is_empty() || account.models.iter().any(|m| m == model);
    let current = node.current_configuration.borrow();
    let declared = current
        .accepted()
        .and_then(|accepted| accepted.declaration.as_ref())
        .is_some_and(|declaration| declaration.models.iter().any(|m| m.name == model));
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

impl PendingResponse {
    /// Waits for the end and creates a response with the complete text.
    async fn respond_complete(mut self) -> Response<BoxBody> {
        let mut text = String::new();
        let mut finish_reason = None;
        let mut tokens = 0;
        loop {
            match self.next_event().await {
                ResponseEvent::Text(chunk) => {
                    self.record_time_to_first_token(tokens);
                    tokens += 1;
                    text.push_str(&chunk.text);
                    finish_reason = chunk.finish_reason.or(finish_reason);
                }
                ResponseEvent::End(Outcome::Completed) => {
                    return self.complete_body(&text, finish_reason, tokens);
                }
                // No text has been sent to the client, so the response is not partial.
                ResponseEvent::End(Outcome::Refused(refusal)) => {
                    let ran = match refusal.ran {
                        ExecutionState::Partial => ExecutionState::Unknown,
                        other => other,
                    };
                    return client_api::refusal_response(&Refusal { ran, ..refusal });
                }
                ResponseEvent::End(Outcome::Abandoned) => return abandoned_response(),
            }
        }
    }

    /// Creates a streamed response. Waits for the first event, so that a refusal before it
    /// gets an error status.
    async fn respond_streamed(mut self) -> Response<BoxBody> {
        let first_chunk = match self.next_event().await {
            ResponseEvent::Text(chunk) => chunk,
            ResponseEvent::End(Outcome::Refused(refusal)) => {
                return client_api::refusal_response(&refusal);
            }
            ResponseEvent::End(Outcome::Abandoned) => return abandoned_response(),
            ResponseEvent::End(Outcome::Completed) => TextChunk {
                text: String::new(),
                finish_reason: Some("stop".to_owned()),
            },
        };
        self.record_time_to_first_token(0);
        http::event_stream(StreamBody {
            response: self,
            first_chunk: Some(first_chunk),
        })
    }

    async fn next_event(&mut self) -> ResponseEvent {
        let received = self.events.recv().await;
        self.event_or_end(received)
    }

    /// Returns the received event, or the end with the outcome if the channel is closed.
    /// Disarms the guard at the end.
    fn event_or_end(&mut self, received: Option<ResponseEvent>) -> ResponseEvent {
        let event = received.unwrap_or_else(|| {
            let outcome = self.outcome.borrow_mut().take();
            ResponseEvent::End(outcome.unwrap_or(Outcome::Abandoned))
        });
        if matches!(event, ResponseEvent::End(_)) {
            self.guard.ended = true;
        }
        event
    }

    /// Records the time to first token if no token precedes the current one.
    fn record_time_to_first_token(&self, preceding_tokens: u64) {
        if preceding_tokens == 0 {
            let elapsed = self.guard.node.clock.now() - self.arrived_at;
            telemetry::record_first_token(self.prompt_tokens, elapsed);
        }
    }

    /// Appends the server-sent event for an event of the response.
    fn write_sse_event(&self, event: ResponseEvent, buffer: &mut Vec<u8>) {
        match event {
            ResponseEvent::Text(chunk) => write_chunk(&self.completion_chunk(chunk), buffer),
            ResponseEvent::End(Outcome::Completed) => buffer.extend_from_slice(b"data: [DONE]\n\n"),
            ResponseEvent::End(Outcome::Refused(refusal)) => write_error_event(&refusal, buffer),
            ResponseEvent::End(Outcome::Abandoned) => {
                let refusal = Refusal {
                    reason: RefusalReason::TargetsFailed,
                    ran: ExecutionState::Partial,
                    retry_after: None,
                };
                write_error_event(&refusal, buffer);
            }
        }
    }

    fn completion_chunk(&self, chunk: TextChunk) -> Chunk<'_> {
        let (text, delta) = match self.endpoint {
            Endpoint::Completions => (Some(chunk.text), None),
            Endpoint::ChatCompletions => {
                let content = chunk.text;
                (None, Some(Delta { content }))
            }
        };
        Chunk {
            id: &self.request_name,
            object: match self.endpoint {
                Endpoint::Completions => "text_completion",
                Endpoint::ChatCompletions => "chat.completion.chunk",
            },
            created: self.created_s,
            model: &self.model,
            choices: [ChunkChoice {
                index: 0,
                text,
                delta,
                finish_reason: chunk.finish_reason,
            }],
        }
    }

    fn complete_body(
        &self,
        text: &str,
        finish_reason: Option<String>,
        tokens: u64,
    ) -> Response<BoxBody> {
        let choice = match self.endpoint {
            Endpoint::Completions => {
                json!({"index": 0, "text": text, "finish_reason": finish_reason})
            }
            Endpoint::ChatCompletions => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
        };
        let object = match self.endpoint {
            Endpoint::Completions => "text_completion",
            Endpoint::ChatCompletions => "chat.completion",
        };
        let body = json!({
            "id": self.request_name, "object": object, "created": self.created_s,
            "model": self.model, "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens, "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            },
        });
        http::json(200, body.to_string())
    }
}

fn write_chunk(chunk: &Chunk<'_>, buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(b"data: ");
    // Serialization cannot fail: the output is in memory, and `Chunk` contains no maps with
    // non-string keys.
    let _ = serde_json::to_writer(&mut *buffer, chunk);
    buffer.extend_from_slice(b"\n\n");
}

/// Appends the last event of a stream that broke off; no `[DONE]` follows.
fn write_error_event(refusal: &Refusal, buffer: &mut Vec<u8>) {
    let error = json!({"error": {
        "type": format!("urn:cyclamengauge:problem:{}", refusal.reason),
        "message": client_api::refusal_detail(refusal.reason),
        "ran": refusal.ran.to_string(),
        "retry_after_s": refusal.retry_after.map(|time| time.as_secs()),
    }});
    buffer.extend_from_slice(format!("event: error\ndata: {error}\n\n").as_bytes());
}

fn abandoned_response() -> Response<BoxBody> {
    client_api::refusal_response(&Refusal {
        reason: RefusalReason::TargetsFailed,
        ran: ExecutionState::Unknown,
        retry_after: None,
    })
}
