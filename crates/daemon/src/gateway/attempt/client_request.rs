//! A client's request, as every attempt needs it.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, PromptPartId, ServiceId},
    request::Fingerprint,
    serving::{
        placement,
        routes::{Rank, Route},
    },
    text::SmolStr,
};
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::{gateway::memory::MemoryHold, telemetry::trace::Trace};

/// A client's request with its route, complete body and deadline.
pub struct ClientRequest {
    /// Request id that the client chose; empty if there is none.
    pub id: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory of the body; none for a small one.
    pub _body_memory: Option<MemoryHold>,
    /// Route that matches the host and path.
    pub route: Rc<Route>,
    /// Service whose targets get the request.
    pub service: ServiceId,
    /// Account of the client; none on a public route.
    pub account: Option<AccountId>,
    /// Rank among the requests to the same targets.
    pub rank: Rank,
    /// Digest of path and query, account and body.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other prompts may share, in order.
    pub shared_parts: Vec<PromptPartId>,
    /// Time of arrival at this instance.
    pub arrived_at: Instant,
    /// Time by which the client must have the complete response.
    pub deadline: Instant,
    /// Id of the event after which the client resumes a stream.
    pub last_event_id: Option<HeaderValue>,
    /// Prompt length and objectives of a stream; none for other requests.
    pub stream: Option<placement::Stream>,
    /// Whether a target, or a peer that it was handed over to, may run or have run it.
    pub may_run: Rc<Cell<bool>>,
    /// Trace events of the request.
    pub trace: Rc<Trace>,
}
