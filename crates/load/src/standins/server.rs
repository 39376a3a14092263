//! What all stand-ins share: a listener, and answers.

use std::{future::Future, net, process::ExitCode, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::Bytes;
use cyclamengauge_daemon::http;

/// Largest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Time in which a body must have arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves until the process is ended.
pub(super) fn serve<F, R>(listen: &str, handler: F) -> ExitCode
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = match net::TcpListener::bind(listen) {
        Ok(listener) => listener,
        Err(err) => {
            eprintln!("stand-in: listen on {listen}: {err}");
            return ExitCode::FAILURE;
        }
    };
    match actix_rt::System::new().block_on(http::serve(listener, handler)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("stand-in: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a whole body; an unreadable one counts as empty.
pub(super) async fn body(request: &mut Request) -> Bytes {
    let read = http::collect(request, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    read.unwrap_or_default()
}

/// A header's text, or nothing.
pub(super) fn header(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// A header's number, or 0.
pub(super) fn number(request: &Request, name: &str) -> u64 {
    header(request, name).parse().unwrap_or(0)
}
