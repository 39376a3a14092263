//! Catalogue of the log events and their fields.
//!
//! The daemon writes the events, `cyclamengauge explain` reads them, and
//! `docs/OPERATIONS.md` lists them. The test `log_lines` of the daemon compares
//! this catalogue with the written lines and with the page.

/// A kind of log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Value of the field [`EVENT_FIELD`].
    pub name: &'static str,
    /// Fields besides [`EVENT_FIELD`] and [`MESSAGE_FIELD`]. A line may lack those
    /// that have no value.
    pub fields: &'static [&'static str],
    /// What the line reports, as shown on the operators' page.
    pub description: &'static str,
}

/// Field with the name of the event.
pub const EVENT_FIELD: &str = "event";

/// Field with the human-readable message.
pub const MESSAGE_FIELD: &str = "message";

/// Field with the request id that the client sent.
pub const REQUEST_FIELD: &str = "request";

/// Field with the time of a decision about a request, in ms since the Unix epoch.
/// The line may be written later than that.
pub const AT_UNIX_MS_FIELD: &str = "at_unix_ms";

/// Field with a digest of path, account and body. Requests that a client resends
/// under other ids have the same digest.
pub const CONTENT_FIELD: &str = "content";

/// Field with the id of a target.
pub const TARGET_FIELD: &str = "target";

/// Field of [`PLACEMENTS_EVENT`] with space-separated pairs of a request id and a
/// target id, each `REQUEST>TARGET`.
pub const PLACED_FIELD: &str = "placed";

/// Event that lists the targets of recent requests.
pub const PLACEMENTS_EVENT: &str = "placements";

/// Last event of a request.
pub const ENDED_EVENT: &str = "ended";

macro_rules! event_kinds {
    ($($name:literal [$($field:literal),*] $description:literal;)*) => {
        &[$(EventKind { name: $name, fields: &[$($field),*], description: $description },)*]
    };
}

/// Events of one request. The daemon buffers them until the request ends.
pub const REQUEST_EVENTS: &[EventKind] = event_kinds! {
    "received" [
        "request", "at_unix_ms", "route", "service", "account", "content", "shared_parts",
        "prompt_tokens",
        "left_ms", "configuration_version", "configuration_age_ms"
    ] "route and account are resolved and the body is complete";
    "queued" ["request", "at_unix_ms", "wait_ms", "latest_ms", "peers"]
        "a long prompt is queued; `wait_ms` is the expected wait, `latest_ms` the longest";
    "placed" [
        "request", "at_unix_ms", "target", "helpers", "estimate_ms", "wait_ms", "target_requests",
        "target_failing", "runners_up", "excluded", "at_limit", "list_age_ms", "peers", "news_age_ms"
    ] "a target was chosen; the ages are those of the target list and of the peers' loads";
    "at-limit" ["request", "at_unix_ms", "targets", "wait_ms"]
        "no target was chosen, as the limits that these targets named are reached for `wait_ms`";
    "handed-over" ["request", "at_unix_ms", "peer"]
        "the request was handed over to a peer, as the instance reaches no target";
    "taken-over" [
        "request", "at_unix_ms", "sender", "service", "left_ms", "configuration_version"
    ] "a peer that reaches no target has handed the request over";
    "reserved" ["request", "at_unix_ms", "engines", "memory_tokens", "took_ms"]
        "memory was reserved on the helper engines of a split prompt";
    "try-failed" ["request", "at_unix_ms", "target", "failure", "cause", "retries_left"]
        "an attempt failed: not sent, not executed, error response, connection lost, no response";
    "stream-broke" ["request", "at_unix_ms", "target", "last_event", "cause"]
        "a stream was interrupted after its first event";
    "resumed" ["request", "at_unix_ms", "target", "last_event"]
        "a stream continues on another engine";
    "ended" [
        "request", "at_unix_ms", "outcome", "status", "took_ms", "first_event_ms",
        "longest_gap_ms", "tries", "retry_after_ms", "left_out"
    ] "the request ended; `left_out` is the number of its lines that were dropped";
};

/// Events of the process: its lifecycle, configuration, targets, store and peers.
pub const PROCESS_EVENTS: &[EventKind] = event_kinds! {
    "start" ["instance", "incarnation", "listen"] "the process accepts requests";
    "reload" ["cause"] "the settings were reloaded; with `cause`, the reload failed and the old ones stay";
    "shutdown" ["in_progress"] "shutdown began on SIGTERM, or is complete";
    "placements" ["placed"] "the target of each request, once a second";
    "configuration" ["version", "replaced", "source"] "a configuration took effect";
    "configuration-faulty" ["source", "cause"] "a configuration was rejected";
    "target-listed" ["target", "service", "address", "draining", "source"]
        "the target list has a new or changed entry";
    "target-unlisted" ["target", "linger_ms"] "an entry was removed from the target list";
    "target-entry-faulty" ["target", "cause"] "an entry of the target list is invalid";
    "rows-unreadable" ["table", "rows"] "rows of a table are left out, as their keys can't be read";
    "target-suspect" ["target", "cause", "out_ms"] "a target is excluded for `out_ms`";
    "path" [
        "service", "state", "before", "failing_ms", "failed_targets", "handed_over", "refused"
    ] "whether this instance reaches the targets of a service; `cut-off`: only its peers do; `unreachable`: nobody does";
    "target-crashed" ["request", "shared_parts", "target", "cause"]
        "the connection to a target was lost and a new one can't be opened";
    "crash-ruled-out" ["request", "target"]
        "the connection to a target was lost, but other targets can't be reached either or peers hear it";
    "target-limit" ["target", "limit_per_s", "before_per_s", "source"]
        "a target takes this many requests per second from all instances; without `limit_per_s` it has withdrawn its limit";
    "target-limit-faulty" ["target", "cause"] "the limit in a response of a target is invalid and ignored";
    "target-leaving" ["target", "source"]
        "a target said in an answer to `source` that it leaves; its process gets no new requests";
    "target-paused" ["target", "out_ms"]
        "a target refused a request and wants none of this instance for `out_ms`";
    "target-notice-faulty" ["target", "cause"]
        "what a response says of its target is invalid, and ignored or bounded";
    "evacuation" ["data_centre", "state", "source"]
        "operators have evacuated a data centre, whose targets get no new requests, or taken it back";
    "evacuation-faulty" ["key", "cause"]
        "an evacuation row can't be read, or its data centre has no targets";
    "target-pace" ["target", "slowdown", "before", "uncertainty", "knee"]
        "the time that a target takes, over that of the others of its service, has changed by a third; `knee` is the number of concurrent requests from which it slows down";
    "part-refused" ["part", "source"]
        "prompts with this part are refused, as it crashes engines; `source` reported the latest crash";
    "part-allowed" ["part", "source"]
        "prompts with this part are no longer refused: one was served, as `source` reported, or the crashes are too old";
    "refused-parts-failed" ["step", "cause"]
        "the store's rows of refused parts could not be read, decoded or written";
    "store-lost" ["table", "cause"] "updates of a table of the store can't be read";
    "store-back" ["table", "lost_ms", "failed_calls", "latest_call_ms"]
        "updates of the table can be read again; the latest of its failed calls took `latest_call_ms`";
    "store-history-gone" ["table"] "a table is read in full, as the store no longer has its recent changes";
    "store-restored" ["era", "before"]
        "the store has come back from an older copy; what was written after the copy is lost";
    "watch" ["state", "before"]
        "whether the instance watches the store's tables or fetches changes from its peers";
    "peers" ["alive", "before"] "the number of live peers changed";
    "peer-faulty" ["peer", "cause"] "a message or response of a peer is invalid";
    "announce-failed" ["cause"] "the instance could not write its address to the store, or read its peers'";
    "reservation-failed" ["reservation", "cause"] "renewing or releasing reserved memory failed";
    "connections-closed" ["cause", "count", "account", "address"]
        "connections were closed or refused since the last such line, one of them of this account and address: `slow-request`, `slow-reader`, `too-many`";
    "memory-short" ["held_bytes", "limit_bytes", "requested_bytes", "ended"]
        "the memory for clients and targets is used up; `ended` client bodies and responses give way, at most one line a second";
    "request-faulty" ["request", "cause"] "part of a request can't be forwarded";
};

/// Returns the event kind called `name`.
pub fn find_kind(name: &str) -> Option<&'static EventKind> {
    let mut kinds = REQUEST_EVENTS.iter().chain(PROCESS_EVENTS);
    kinds.find(|kind| kind.name == name)
}

/// Formats `kinds` as rows of the Markdown table on the operators' page.
pub fn markdown_rows(kinds: &[EventKind]) -> String {
    let rows = kinds.iter().map(|kind| {
        let fields = kind.fields.iter().map(|field| format!("`{field}`"));
        let fields: Vec<String> = fields.collect();
        format!(
            "| `{}` | {} | {} |\n",
            kind.name,
            kind.description,
            fields.join(", ")
        )
    });
    rows.collect()
}
