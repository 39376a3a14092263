//! Reading of complete bodies, with limits on size and time.

use std::{fmt, time::Duration};

use actix_http::{Request, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use crate::http::stream;

/// Bytes of a body from which others have their turn, also if more are ready.
const MAX_TURN_BYTES: usize = 32 * 1024;

/// Size of the framing and handling of a chunk, in bytes of payload.
const CHUNK_COST_BYTES: usize = 64;

/// What was read of a body in the current turn of its task.
#[derive(Debug, Default)]
pub struct BodyTurn {
    cost_bytes: usize,
}

impl BodyTurn {
    /// Records a chunk; lets other tasks and connections have their turn when many were read.
    pub async fn record(&mut self, chunk: &Bytes) {
        self.cost_bytes += chunk.len() + CHUNK_COST_BYTES;
        if self.cost_bytes >= MAX_TURN_BYTES {
            self.cost_bytes = 0;
            tokio::task::yield_now().await;
        }
    }
}

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive completely within the timeout.
    TooSlow,
    /// The connection broke before the end of the body, or its framing is malformed.
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is too large",
            Self::TooSlow => "the body arrives too slowly",
            Self::Broken => "the connection broke",
        })
    }
}

impl std::error::Error for BodyError {}

/// Reads the complete body of a request.
///
/// # Errors
///
/// If the body exceeds `max_bytes`, takes longer than `timeout`, or breaks off.
pub async fn collect(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let _wanted = stream::flow(request).map(|flow| flow.want_body());
    collect_response(request.take_payload(), max_bytes, timeout).await
}

/// Reads a complete body, such as that of a target's response, from a stream of
/// chunks.
///
/// # Errors
///
/// If the body exceeds `max_bytes`, takes longer than `timeout`, or breaks off.
pub async fn collect_response<S>(
    stream: S,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let body = read_chunks(stream, max_bytes);
    match actix_rt::time::timeout(timeout, body).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn read_chunks<S>(mut stream: S, max_bytes: usize) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    let mut turn = BodyTurn::default();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        turn.record(&chunk).await;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
