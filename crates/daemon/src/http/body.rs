//! Bodies read whole, within bounds of size and time.

use std::{fmt, time::Duration};

use actix_http::{Payload, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// The connection broke.
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

/// Reads a request's body.
///
/// # Errors
///
/// If it is too large, too slow, or broken off.
pub async fn collect(
    payload: Payload,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    collect_response(payload, max_bytes, timeout).await
}

/// Reads a body from any stream of chunks.
///
/// # Errors
///
/// If it is too large, too slow, or broken off.
pub async fn collect_response<S>(
    stream: S,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let reading = read(stream, max_bytes);
    match actix_rt::time::timeout(timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn read<S>(mut stream: S, max_bytes: usize) -> Result<Bytes, BodyError>
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
