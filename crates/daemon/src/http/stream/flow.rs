//! What the server may read from a connection, and how its client gets on.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use actix_http::{
    Request, Response,
    body::{BodySize, BoxBody, MessageBody},
};
use bytes::Bytes;
use cyclamengauge_core::ids::AccountId;

/// Rate below which a client that reads is given up, in bytes per second.
const MIN_READ_RATE_PER_S: f64 = 512.0;

/// Whether a connection may read more than it has in one go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Turn {
    /// No turn was requested.
    #[default]
    None,
    /// The connection waits for its turn.
    Waiting,
    /// The connection has a turn.
    Granted,
}

/// Bytes that a client has not read yet.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    since: Instant,
    /// Time at which the client last read something.
    progress_at: Instant,
    /// Bytes that it has read since.
    taken_bytes: u64,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseCause {
    /// The head of a request, or the rest of one that was refused, did not arrive in time.
    SlowRequest,
    /// The client does not read its responses, or too slowly.
    SlowReader,
    /// There are too many connections.
    TooMany,
}

impl CloseCause {
    /// Stable name, used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SlowRequest => "slow-request",
            Self::SlowReader => "slow-reader",
            Self::TooMany => "too-many",
        }
    }
}

/// Flow control of one connection, shared by the stream, the server and the handlers.
#[derive(Debug)]
pub struct Flow {
    client: SocketAddr,
    /// Account of the latest request.
    account: RefCell<Option<AccountId>>,
    /// Requests that the server has begun and not answered to their end.
    exchanges: Cell<u32>,
    /// Whether a handler waits for more of the body.
    is_body_wanted: Cell<bool>,
    /// Whether bytes were received that the server was not handed yet.
    pub(super) has_ahead: Cell<bool>,
    pub(super) turn: Cell<Turn>,
    /// Wakes the task that reads, while it waits for something other than the socket.
    reader: RefCell<Option<Waker>>,
    /// Time since which a head, or a body that nobody wants, is incomplete.
    head_since: Cell<Option<Instant>>,
    blocked: Cell<Option<Blocked>>,
    /// Bytes of responses that the client has not taken.
    unwritten_bytes: Cell<usize>,
}

impl Flow {
    /// Creates the state of a new connection.
    pub fn new(client: SocketAddr) -> Self {
        Self {
            client,
            exchanges: Cell::new(0),
            is_body_wanted: Cell::new(false),
            has_ahead: Cell::new(false),
            account: RefCell::default(),
            turn: Cell::default(),
            reader: RefCell::default(),
            head_since: Cell::new(None),
            blocked: Cell::new(None),
            unwritten_bytes: Cell::new(0),
        }
    }

    /// Address of the client.
    pub fn client(&self) -> SocketAddr {
        self.client
    }

    /// Account of the latest request; none before the first one, or without an account.
    pub fn account(&self) -> Option<AccountId> {
        self.account.borrow().clone()
    }

    /// Notes the account of the current request.
    pub fn set_account(&self, account: Option<&AccountId>) {
        let mut before = self.account.borrow_mut();
        if before.as_ref() != account {
            *before = account.cloned();
        }
    }

    /// Lets the server read the body of the current request until the guard is dropped.
    pub fn want_body(self: &Rc<Self>) -> WantedBody {
        self.is_body_wanted.set(true);
        self.resume_reader();
        WantedBody {
            flow: Rc::clone(self),
        }
    }

    /// Whether no request is in progress and the client reads what it is sent.
    pub fn is_idle(&self) -> bool {
        self.exchanges.get() == 0 && self.unwritten_bytes.get() == 0
    }

    /// Reason to close the connection, if its client is too slow.
    pub fn fault(
        &self,
        head_timeout: Duration,
        idle_timeout: Duration,
        now: Instant,
    ) -> Option<CloseCause> {
        let head_since = self.head_since.get();
        if head_since.is_some_and(|since| now.saturating_duration_since(since) > head_timeout) {
            return Some(CloseCause::SlowRequest);
        }
        let blocked = self.blocked.get()?;
        let stalled = now.saturating_duration_since(blocked.progress_at);
        let behind = now.saturating_duration_since(blocked.since);
        let is_slow = behind > idle_timeout
            && (blocked.taken_bytes as f64) < MIN_READ_RATE_PER_S * behind.as_secs_f64();
        (stalled > idle_timeout || is_slow).then_some(CloseCause::SlowReader)
    }

    pub(super) fn has_exchange(&self) -> bool {
        self.exchanges.get() > 0
    }

    pub(super) fn is_body_wanted(&self) -> bool {
        self.is_body_wanted.get()
    }

    pub(super) fn is_write_blocked(&self) -> bool {
        self.unwritten_bytes.get() > 0
    }

    /// Registers the reading task, which waits for a change of this state.
    pub(super) fn park_reader(&self, cx: &Context<'_>) {
        let mut reader = self.reader.borrow_mut();
        if reader
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(cx.waker()))
        {
            *reader = Some(cx.waker().clone());
        }
    }

    pub(super) fn grant_turn(&self) {
        self.turn.set(Turn::Granted);
        self.wake_reader();
    }

    pub(super) fn begin_head(&self) {
        if self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    pub(super) fn end_head(&self) {
        self.head_since.set(None);
    }

    /// Records that `written_bytes` were taken and `unwritten_bytes` are left.
    pub(super) fn record_write(&self, written_bytes: usize, unwritten_bytes: usize) {
        self.unwritten_bytes.set(unwritten_bytes);
        match (self.blocked.get(), unwritten_bytes) {
            (None, 0) => {}
            (Some(_), 0) => {
                self.blocked.set(None);
                self.wake_reader();
            }
            (before, _) => {
                let now = Instant::now();
                let mut blocked = before.unwrap_or(Blocked {
                    since: now,
                    progress_at: now,
                    taken_bytes: 0,
                });
                if written_bytes > 0 {
                    blocked.progress_at = now;
                    blocked.taken_bytes += written_bytes as u64;
                }
                self.blocked.set(Some(blocked));
            }
        }
    }

    /// Wakes the reading task if it has something to hand on. Otherwise the socket wakes it.
    fn resume_reader(&self) {
        if self.has_ahead.get() {
            self.wake_reader();
        }
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// The flow of the connection that a request arrived on.
pub fn flow(request: &Request) -> Option<&Rc<Flow>> {
    request.conn_data::<Rc<Flow>>()
}

/// Lets the server read a body until it is dropped.
pub struct WantedBody {
    flow: Rc<Flow>,
}

impl Drop for WantedBody {
    fn drop(&mut self) {
        self.flow.is_body_wanted.set(false);
    }
}

/// A request and its response. The next request is read when it is dropped.
pub(in crate::http) struct Exchange {
    flow: Rc<Flow>,
}

impl Exchange {
    pub(in crate::http) fn begin(flow: Rc<Flow>) -> Self {
        flow.exchanges.set(flow.exchanges.get() + 1);
        Self { flow }
    }

    /// Ends the exchange with the last byte of the response.
    pub(in crate::http) fn end_with(self, response: Response<BoxBody>) -> Response<BoxBody> {
        match response.body().size() {
            BodySize::Stream => response.map_body(|_, body| {
                BoxBody::new(ExchangeBody {
                    body,
                    _exchange: self,
                })
            }),
            BodySize::None | BodySize::Sized(_) => response,
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let flow = &self.flow;
        flow.exchanges.set(flow.exchanges.get().saturating_sub(1));
        flow.resume_reader();
    }
}

/// A streamed body that ends its exchange.
struct ExchangeBody {
    body: BoxBody,
    _exchange: Exchange,
}

impl MessageBody for ExchangeBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
