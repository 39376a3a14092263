//! The stream of a client, as the server sees it.
//!
//! It hands the server one request at a time: a head when it is complete, a body as far as
//! a handler wants it, and the next head when the response to the last one was taken. So
//! that no connection holds the thread, each takes turns if it has more to read.

mod flow;
mod framing;
mod turns;

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

pub(super) use flow::Exchange;
use flow::Turn;
pub use flow::{CloseCause, Flow, WantedBody, flow};
pub use framing::{Framing, find_head_end};
pub use turns::Turns;

/// Bytes that are read ahead of what the server may have.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// Bytes of a body that the server gets in one turn.
const TURN_BYTES: usize = 32 * 1024;

/// Chunks that the server gets in one turn, and those of each body that need none. A chunk
/// costs the server an entry, however small it is.
const TURN_CHUNKS: usize = 128;
const FREE_CHUNKS: usize = 64;

/// Bytes that are read and dropped before a connection is closed. Closing it with unread
/// bytes would reset it, and the client could lose its response.
const MAX_DISCARDED_BYTES: usize = 128 * 1024;

/// Bytes of a body that nobody wants that are read and dropped, so that the connection can
/// carry another request.
const MAX_UNWANTED_BYTES: usize = 256 * 1024;

/// Response to a request head above the limit.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Stream of a client.
pub(super) struct ClientStream {
    stream: TcpStream,
    flow: Rc<Flow>,
    turns: Rc<Turns>,
    max_head_bytes: usize,
    /// Bytes that were received and not handed to the server.
    ahead: BytesMut,
    /// What the first byte of `ahead` belongs to, or the next byte that is received.
    framing: Framing,
    /// Bytes of `ahead` that belong to a complete head and the body behind it.
    deliverable: usize,
    /// Bytes of `ahead` that contain no end of a head.
    scanned: usize,
    /// Whether the server was handed a head in this turn.
    has_handed_head: bool,
    /// Bytes of the body that are left for this turn.
    turn_bytes: usize,
    /// Chunks of the body that are left for this turn.
    turn_chunks: usize,
    /// Bytes of the body that were handed on after the response.
    unwanted_bytes: usize,
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        flow: Rc<Flow>,
        turns: Rc<Turns>,
        max_head_bytes: usize,
    ) -> Self {
        Self {
            stream,
            flow,
            turns,
            max_head_bytes,
            ahead: BytesMut::new(),
            framing: Framing::Head,
            deliverable: 0,
            scanned: 0,
            has_handed_head: false,
            turn_bytes: 0,
            turn_chunks: 0,
            unwanted_bytes: 0,
        }
    }

    pub(super) fn flow(&self) -> &Rc<Flow> {
        &self.flow
    }

    /// Reads from the socket into `ahead` up to `limit` bytes; returns whether the client has
    /// closed its side.
    fn poll_fill(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<bool>> {
        let mut scratch = [MaybeUninit::<u8>::uninit(); READ_AHEAD_BYTES];
        let room = limit.saturating_sub(self.ahead.len()).min(READ_AHEAD_BYTES);
        if room == 0 {
            return Poll::Pending;
        }
        let mut buffer = ReadBuf::uninit(&mut scratch[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
        self.ahead.extend_from_slice(buffer.filled());
        self.note_ahead();
        Poll::Ready(Ok(buffer.filled().is_empty()))
    }

    /// Reads a little ahead while the server may have nothing, to learn whether the client
    /// has gone.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.flow.park_reader(cx);
        loop {
            let is_closed = ready!(self.poll_fill(cx, READ_AHEAD_BYTES))?;
            if is_closed {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Whether the connection may hand on more than it has in this turn; requests a turn if
    /// not.
    fn take_turn(&mut self, cx: &Context<'_>) -> bool {
        match self.flow.turn.get() {
            Turn::Granted => {
                self.flow.turn.set(Turn::None);
                true
            }
            Turn::Waiting => {
                self.flow.park_reader(cx);
                false
            }
            Turn::None => {
                self.flow.turn.set(Turn::Waiting);
                self.flow.park_reader(cx);
                self.turns.request(&self.flow);
                false
            }
        }
    }

    /// Hands on a request head when it is complete, with what has come of its body.
    fn poll_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            // Most requests arrive whole, and need no copy.
            let start = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            let received = &buf.filled()[start..];
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if !matches!(received[0], b'\r' | b'\n')
                && let Some(end) = find_head_end(received, 0)
            {
                let length = self.frame(received, end);
                let received = &buf.filled()[start..];
                self.ahead.extend_from_slice(&received[length..]);
                buf.set_filled(start + length);
                self.note_ahead();
                self.has_handed_head = true;
                return Poll::Ready(Ok(()));
            }
            self.ahead.extend_from_slice(received);
            buf.set_filled(start);
            self.scanned = 0;
        } else if self.scanned == 0 && !self.take_turn(cx) {
            return Poll::Pending;
        }
        loop {
            if self.scanned == 0 {
                // Empty lines before a request are ignored.
                let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
                let empty = self.ahead.iter().take_while(is_line_end).count();
                self.ahead.advance(empty);
            }
            if let Some(end) = find_head_end(&self.ahead, self.scanned.saturating_sub(2)) {
                let ahead = std::mem::take(&mut self.ahead);
                self.deliverable = self.frame(&ahead, end);
                self.ahead = ahead;
                self.scanned = 0;
                return self.deliver(buf);
            }
            self.scanned = self.ahead.len();
            if self.ahead.len() > self.max_head_bytes {
                return self.refuse_head();
            }
            if self.scanned > 0 {
                self.flow.begin_head();
            }
            let limit = self.max_head_bytes + READ_AHEAD_BYTES;
            let is_closed = ready!(self.poll_fill(cx, limit))?;
            if is_closed {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Notes the framing of a request whose head ends at `end`; returns the length of the
    /// head and of the part of its body that has come.
    fn frame(&mut self, received: &[u8], end: usize) -> usize {
        self.framing = Framing::after_head(&received[..end]);
        self.unwanted_bytes = 0;
        self.flow.end_head();
        self.turn_bytes = TURN_BYTES;
        self.turn_chunks = FREE_CHUNKS;
        end + self
            .framing
            .advance(&received[end..], &mut self.turn_chunks)
    }

    fn note_ahead(&self) {
        self.flow.has_ahead.set(!self.ahead.is_empty());
    }

    fn deliver(&mut self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let length = self.deliverable.min(buf.remaining());
        buf.put_slice(&self.ahead[..length]);
        self.drop_ahead(length);
        self.deliverable -= length;
        self.has_handed_head = self.deliverable == 0;
        Poll::Ready(Ok(()))
    }

    fn drop_ahead(&mut self, length: usize) {
        self.ahead.advance(length);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        self.note_ahead();
    }

    /// Hands on the body of the current request.
    fn poll_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let is_unwanted = !self.flow.has_exchange();
        if is_unwanted {
            self.flow.begin_head();
            if self.unwanted_bytes > MAX_UNWANTED_BYTES {
                // The server takes this for the end of the connection.
                return Poll::Ready(Ok(()));
            }
        }
        if self.turn_bytes == 0 || self.turn_chunks == 0 {
            if !self.take_turn(cx) {
                return Poll::Pending;
            }
            self.turn_bytes = TURN_BYTES;
            self.turn_chunks = TURN_CHUNKS;
        }
        let length = match (self.framing, self.ahead.is_empty()) {
            (Framing::Length(_), true) => {
                let start = buf.filled().len();
                let read = Pin::new(&mut self.stream).poll_read(cx, buf);
                self.end_turn_if_pending(cx, &read);
                ready!(read)?;
                let received = &buf.filled()[start..];
                let length = self.framing.advance(received, &mut self.turn_chunks);
                self.ahead.extend_from_slice(&received[length..]);
                buf.set_filled(start + length);
                length
            }
            (_, is_empty) => {
                if is_empty {
                    let read = self.poll_fill(cx, self.turn_bytes);
                    self.end_turn_if_pending(cx, &read);
                    if ready!(read)? {
                        return Poll::Ready(Ok(()));
                    }
                }
                let available = self.ahead.len().min(self.turn_bytes).min(buf.remaining());
                let available = &self.ahead[..available];
                let length = self.framing.advance(available, &mut self.turn_chunks);
                buf.put_slice(&self.ahead[..length]);
                self.drop_ahead(length);
                length
            }
        };
        self.turn_bytes = self.turn_bytes.saturating_sub(length);
        if is_unwanted {
            self.unwanted_bytes += length;
            if self.framing == Framing::Head {
                self.flow.end_head();
            }
        }
        self.note_ahead();
        Poll::Ready(Ok(()))
    }

    /// A client that has no more to read now gets its next turn when more has come.
    fn end_turn_if_pending<T>(&mut self, cx: &Context<'_>, read: &Poll<T>) {
        if read.is_pending() {
            self.flow.park_reader(cx);
            self.turn_bytes = TURN_BYTES;
        }
    }

    /// Answers a head above the limit, and ends the connection.
    fn refuse_head(&mut self) -> Poll<io::Result<()>> {
        let line_end = self.ahead.iter().position(|byte| *byte == b'\n');
        let line = &self.ahead[..line_end.unwrap_or(self.ahead.len())];
        if line.windows(8).any(|part| part == b" HTTP/1.") {
            // The socket takes it, as the client has read all responses before.
            let _ = self.stream.try_write(HEAD_TOO_LARGE);
        }
        self.ahead = BytesMut::new();
        self.discard();
        Poll::Ready(Ok(()))
    }

    /// Reads and drops what the client has sent.
    fn discard(&mut self) {
        let mut scratch = [0; READ_AHEAD_BYTES];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match self.stream.try_read(&mut scratch) {
                Ok(length) if length > 0 => discarded += length,
                _ => return,
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.flow.is_write_blocked() {
            this.flow.park_reader(cx);
            return Poll::Pending;
        }
        if this.deliverable > 0 {
            return this.deliver(buf);
        }
        if std::mem::take(&mut this.has_handed_head) {
            return this.poll_ahead(cx);
        }
        let has_exchange = this.flow.has_exchange();
        match this.framing {
            Framing::Head if !has_exchange => this.poll_head(cx, buf),
            Framing::Length(_) | Framing::Chunked(_)
                if !has_exchange || this.flow.is_body_wanted() =>
            {
                this.poll_body(cx, buf)
            }
            Framing::Head | Framing::Length(_) | Framing::Chunked(_) => this.poll_ahead(cx),
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        match &written {
            Poll::Ready(Ok(length)) => this.flow.record_write(*length, bytes.len() - length),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => this.flow.record_write(0, bytes.len()),
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.discard();
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
