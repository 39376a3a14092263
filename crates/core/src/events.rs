//! The kinds of log lines: one name for each event, one name for each field.
//!
//! The daemon writes them, `cyclamengauge explain` reads them, and
//! `docs/OPERATIONS.md` lists them; tests keep the three in step.

/// A kind of log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Value of the field [`EVENT`].
    pub name: &'static str,
    /// Fields besides [`EVENT`] and [`MESSAGE`]; some may be absent.
    pub fields: &'static [&'static str],
    /// When it is written.
    pub when: &'static str,
}

/// Field with the name of the event.
pub const EVENT: &str = "event";

/// Field with the event in words.
pub const MESSAGE: &str = "message";

/// Field with the caller's id of a request.
pub const REQUEST: &str = "request";

/// Field with the time of a decision about a request, in ms since the Unix epoch.
/// The line itself may be written later.
pub const AT_UNIX_MS: &str = "at_unix_ms";

/// Field with a digest of path, account and body. Tries of one caller under
/// several ids have it in common.
pub const CONTENT: &str = "content";

/// Field with a target's id.
pub const TARGET: &str = "target";

/// Field of [`PLACEMENTS`]: pairs of a request's and a target's id, each
/// `REQUEST>TARGET`.
pub const PLACED: &str = "placed";

/// Name of the line that sums up placements.
pub const PLACEMENTS: &str = "placements";

/// Name of the last line of a request.
pub const ENDED: &str = "ended";

macro_rules! event_kinds {
    ($($name:literal [$($field:literal),*] $when:literal;)*) => {
        &[$(EventKind { name: $name, fields: &[$($field),*], when: $when },)*]
    };
}

/// Decisions about a request. They are kept until its end is known.
pub const REQUEST_EVENTS: &[EventKind] = event_kinds! {
    "received" [
        "request", "at_unix_ms", "route", "service", "account", "content", "prompt_tokens",
        "left_ms", "configuration_version", "configuration_age_ms"
    ] "a request's route and account are known and its body is whole";
    "queued" ["request", "at_unix_ms", "wait_ms", "latest_ms", "peers"]
        "a long prompt waits for its turn, `wait_ms` by the queue, `latest_ms` at most";
    "placed" [
        "request", "at_unix_ms", "target", "helpers", "estimate_ms", "wait_ms", "target_requests",
        "target_failing", "runners_up", "excluded", "list_age_ms", "peers", "news_age_ms"
    ] "a target was chosen, by a list and by peers' loads of these ages";
    "reserved" ["request", "at_unix_ms", "engines", "memory_tokens", "took_ms"]
        "memory was reserved on engines that help to read a prompt";
    "try-failed" ["request", "at_unix_ms", "target", "failure", "cause", "retries_left"]
        "a try failed: not sent, not run, answered with a failure, broke off, silent";
    "stream-broke" ["request", "at_unix_ms", "target", "last_event", "cause"]
        "a stream broke after its first event";
    "resumed" ["request", "at_unix_ms", "target", "last_event"]
        "another engine goes on with a stream";
    "ended" [
        "request", "at_unix_ms", "outcome", "status", "took_ms", "first_event_ms",
        "longest_gap_ms", "tries", "retry_after_ms", "left_out"
    ] "the request is over; `left_out` counts lines that were dropped";
};

/// What a process believes, and the stations of its life.
pub const PROCESS_EVENTS: &[EventKind] = event_kinds! {
    "start" ["instance", "incarnation", "listen"] "the process serves";
    "reload" ["cause"] "settings were read again; with `cause`, they stay as they were";
    "shutdown" ["in_progress"] "SIGTERM came, and at its end";
    "placements" ["placed"] "once a second: which request went to which target";
    "configuration" ["version", "replaced", "source"] "a configuration is in force";
    "configuration-faulty" ["source", "cause"] "a configuration can't be used";
    "target-listed" ["target", "service", "address", "draining", "source"]
        "the list has a new or changed entry";
    "target-unlisted" ["target", "linger_ms"] "the list has an entry no more";
    "target-entry-faulty" ["target", "cause"] "an entry of the list can't be read";
    "target-suspect" ["target", "cause", "out_ms"] "a target is left out for a while";
    "target-crashed" ["request", "target", "cause"]
        "a target that broke off takes no connections";
    "store-lost" ["table", "cause"] "a table of the store can't be followed";
    "store-back" ["table", "lost_ms"] "it can be followed again";
    "store-history-gone" ["table"] "a table is read anew";
    "peers" ["alive", "before"] "other instances are heard of, or no more";
    "peer-faulty" ["peer", "cause"] "a peer's message or answer can't be used";
    "announce-failed" ["cause"] "this instance's address is not in the store yet";
    "reservation-failed" ["reservation", "cause"] "an order about reserved memory failed";
    "request-faulty" ["request", "cause"] "part of a request can't be passed on";
};

/// The kind of that name.
pub fn kind(name: &str) -> Option<&'static EventKind> {
    let mut kinds = REQUEST_EVENTS.iter().chain(PROCESS_EVENTS);
    kinds.find(|kind| kind.name == name)
}

/// The kinds as rows of the operators' page.
pub fn page_rows(kinds: &[EventKind]) -> String {
    let rows = kinds.iter().map(|kind| {
        let fields = kind.fields.iter().map(|field| format!("`{field}`"));
        let fields: Vec<String> = fields.collect();
        format!(
            "| `{}` | {} | {} |\n",
            kind.name,
            kind.when,
            fields.join(", ")
        )
    });
    rows.collect()
}
