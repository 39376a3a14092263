//! Bodies that are fed through a channel.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// A body whose chunks arrive through a channel. What it `holds` is dropped
/// with it, also when the peer closes the connection.
pub(super) struct Chunks {
    receiver: mpsc::Receiver<Bytes>,
    _holds: Box<dyn std::any::Any>,
}

impl Chunks {
    /// Creates a body from the receiving end of its chunks.
    pub(super) fn new(receiver: mpsc::Receiver<Bytes>, holds: impl std::any::Any) -> Self {
        Self {
            receiver,
            _holds: Box::new(holds),
        }
    }
}

impl MessageBody for Chunks {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.receiver.poll_recv(cx).map(|chunk| chunk.map(Ok))
    }
}
