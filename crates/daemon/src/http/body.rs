//! Reading of complete bodies, with limits on size and time.

use std::{fmt, time::Duration};

use actix_http::{Request, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use crate::http::stream;

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
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
