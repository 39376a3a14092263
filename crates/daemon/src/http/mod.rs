/*!
The HTTP/1 server for clients, operators, peers and the mocks.

A server accepts the connections of one listener on the current thread. A request
head that arrives too slowly is rejected. If the client closes its connection, the
handler of its request is dropped.
*/

mod body;
mod connections;
mod response;

use std::{convert::Infallible, future::Future, net, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory, fn_service};
use anyhow::Context;

pub use body::{BodyError, collect, collect_response};
pub use connections::{BusyGuard, Connections};
pub use response::{event_stream, json, problem, readiness, text};

/// Time limit for the arrival of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the connections of `listener` with `handler` until the future is dropped.
///
/// # Errors
///
/// If the listener can't be registered with the runtime.
pub async fn serve<F, R>(listener: net::TcpListener, handler: F) -> anyhow::Result<()>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    serve_tracked(listener, Connections::default(), handler).await
}

/// Serves like [`serve`], and registers the open connections in `connections`.
///
/// # Errors
///
/// If the listener can't be registered with the runtime.
pub async fn serve_tracked<F, R>(
    listener: net::TcpListener,
    connections: Connections,
    handler: F,
) -> anyhow::Result<()>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    listener
        .set_nonblocking(true)
        .context("set the listener to non-blocking mode")?;
    let listener = actix_rt::net::TcpListener::from_std(listener)
        .context("register the listener with the runtime")?;
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request: Request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        }))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| anyhow::anyhow!("start the HTTP service"))?;
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let _ = stream.set_nodelay(true);
                let guard = connections.insert(client);
                let connection = service.call(stream);
                let task = actix_rt::spawn(async move {
                    let _ = connection.await;
                    drop(guard);
                });
                connections.set_task(client, task.abort_handle());
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
