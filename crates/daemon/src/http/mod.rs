/*!
The HTTP/1 server for clients, operators, peers and the mocks.

A server accepts the connections of one listener on the current thread. A request
head that arrives too slowly is rejected. If the client closes its connection, the
handler of its request is dropped.

- [`stream`] hands the server one request at a time of each connection;
- [`Connections`] bounds their number and closes those of slow clients.
*/

mod body;
mod connections;
mod response;
mod send_error;
pub mod stream;

use std::{convert::Infallible, future::Future, net, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use anyhow::Context;

pub use body::{BodyError, BodyTurn, collect, collect_response};
pub use connections::{BusyGuard, ConnectionLimits, Connections};
pub use response::{event_stream, json, problem, readiness, text};
pub use send_error::is_unsent;
use stream::{ClientStream, Exchange, Turns};

/// Time limit for the arrival of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between two searches for connections of slow clients, and between two reports of
/// those that were closed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A task that ends when this is dropped.
struct BackgroundTask(JoinHandle<()>);

impl Drop for BackgroundTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

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
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(Rc::clone(stream.flow()));
        })
        .h1(fn_service(move |request: Request| {
            let flow = stream::flow(&request).map(Rc::clone);
            let exchange = flow.map(Exchange::begin);
            let response = handler(request);
            async move {
                let response = response.await;
                Ok::<_, Infallible>(match exchange {
                    Some(exchange) => exchange.end_with(response),
                    None => response,
                })
            }
        }));
    let service = factory
        .new_service(())
        .await
        .map_err(|()| anyhow::anyhow!("start the HTTP service"))?;
    let turns = Rc::<Turns>::default();
    let state = Rc::clone(&turns);
    let _giving_turns = BackgroundTask(actix_rt::spawn(async move { state.give().await }));
    let _checking = BackgroundTask(actix_rt::spawn(check_regularly(connections.clone())));
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                if !connections.has_room() {
                    // The search takes all connections into account.
                    actix_rt::task::yield_now().await;
                    if !connections.make_room(client) {
                        continue;
                    }
                }
                let _ = stream.set_nodelay(true);
                let (guard, flow) = connections.insert(client);
                let max_head_bytes = connections.limits().max_head_bytes;
                let stream = ClientStream::new(stream, flow, Rc::clone(&turns), max_head_bytes);
                let connection = service.call((stream, Some(client)));
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

/// Closes the connections of slow clients until the future is dropped.
async fn check_regularly(connections: Connections) {
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        connections.close_slow();
        connections.report_closed();
    }
}
