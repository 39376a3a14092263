//! Receives exchanges. The RPC server runs beside the node's own parts and
//! hands each message to them through a channel.

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

/// Exchanges that may wait to be answered.
const BACKLOG: usize = 64;

type Pending = (v1::ExchangeRequest, oneshot::Sender<v1::ExchangeReply>);

/// Where the RPC server leaves messages.
#[derive(Clone)]
pub struct Inbox {
    key: [u8; 32],
    sender: mpsc::Sender<Pending>,
}

#[tonic::async_trait]
impl Peer for Inbox {
    async fn exchange(
        &self,
        request: Request<v1::ExchangeRequest>,
    ) -> Result<Response<v1::ExchangeReply>, Status> {
        let message = request.into_inner();
        if !mac::verify_request(&message, &self.key) {
            return Err(Status::unauthenticated("the message's MAC is wrong"));
        }
        let (sender, receiver) = oneshot::channel();
        self.sender
            .try_send((message, sender))
            .map_err(|_| Status::resource_exhausted("too many exchanges"))?;
        let reply = receiver.await;
        reply
            .map(Response::new)
            .map_err(|_| Status::unavailable("the instance is shutting down"))
    }
}

/// Serves exchanges until the future is dropped.
///
/// # Errors
///
/// If the listener cannot be used.
pub async fn serve(node: Rc<Node>, listener: net::TcpListener) -> anyhow::Result<()> {
    let key = node.peer_key;
    let (sender, mut receiver) = mpsc::channel::<Pending>(BACKLOG);
    actix_rt::spawn(async move {
        while let Some((message, answer)) = receiver.recv().await {
            let mut reply = exchange::answer(&node, message);
            mac::sign_reply(&mut reply, &key);
            let _ = answer.send(reply);
        }
    });
    listener
        .set_nonblocking(true)
        .context("make the peer listener non-blocking")?;
    let listener = tokio::net::TcpListener::from_std(listener).context("register the listener")?;
    tonic::transport::Server::builder()
        .add_service(PeerServer::new(Inbox { key, sender }))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
        .context("serve peers")
}
