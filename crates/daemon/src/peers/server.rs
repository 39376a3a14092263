//! RPC server for the exchanges of peers. The server passes each message through a
//! channel to a task on the node's thread, as a `Node` cannot be shared between threads.

use std::{net, rc::Rc};

use anyhow::Context;
use cyclamengauge_schema::v1::{
    self,
    peer_server::{Peer, PeerServer},
};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::{
    node::Node,
    peers::{exchange, mac},
};

/// Requests that may be queued; the server refuses further ones.
const MAX_PENDING_REQUESTS: usize = 64;

type PendingRequest = (v1::ExchangeRequest, oneshot::Sender<v1::ExchangeReply>);

/// RPC service that verifies requests and queues them for the node.
#[derive(Clone)]
pub struct ExchangeService {
    key: [u8; 32],
    sender: mpsc::Sender<PendingRequest>,
}

#[tonic::async_trait]
impl Peer for ExchangeService {
    async fn exchange(
        &self,
        request: Request<v1::ExchangeRequest>,
    ) -> Result<Response<v1::ExchangeReply>, Status> {
        let message = request.into_inner();
        if !mac::verify_request(&message, &self.key) {
            return Err(Status::unauthenticated("the message's MAC is wrong"));
        }
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.sender
            .try_send((message, reply_sender))
            .map_err(|_| Status::resource_exhausted("too many exchanges"))?;
        let reply = reply_receiver.await;
        reply
            .map(Response::new)
            .map_err(|_| Status::unavailable("the instance is shutting down"))
    }
}

/// Serves exchanges until the future is dropped.
///
/// # Errors
///
/// If the listener cannot be registered with the runtime, or the server fails.
pub async fn serve(node: Rc<Node>, listener: net::TcpListener) -> anyhow::Result<()> {
    let key = node.peer_key;
    let (sender, mut receiver) = mpsc::channel::<PendingRequest>(MAX_PENDING_REQUESTS);
    actix_rt::spawn(async move {
        while let Some((message, reply_sender)) = receiver.recv().await {
            let mut reply = exchange::handle_request(&node, message);
            mac::sign_reply(&mut reply, &key);
            let _ = reply_sender.send(reply);
        }
    });
    listener
        .set_nonblocking(true)
        .context("make the peer listener non-blocking")?;
    let listener = tokio::net::TcpListener::from_std(listener)
        .context("register the peer listener with the runtime")?;
    tonic::transport::Server::builder()
        .add_service(PeerServer::new(ExchangeService { key, sender }))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
        .context("serve exchanges with peers")
}
