//! What a failed call says about the server that it was sent to.

use awc::error::{ConnectError, SendRequestError};

/// Whether the server can't have received any of a request that failed with `err`.
///
/// The HTTP client reports [`ConnectError::Disconnected`] if the connection ends before the
/// response: the server may then have executed the request.
pub fn is_unsent(err: &SendRequestError) -> bool {
    match err {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
