//! Loads of targets, and the merge of a peer's reports of its own loads.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Instant, ids::EngineId, units::Tokens};

/// Age after which a peer's loads are ignored: several gossip messages in a row
/// were lost.
const PEER_LOAD_TTL: Duration = Duration::from_millis(2_000);

crate::data_types! {
    /// Load of one target, from one instance or from all.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests in flight.
        pub requests: u32,
        /// Streams past their first event.
        pub decoding_streams: u32,
        /// Expected remaining prefill time of the prompts.
        pub backlog: Duration,
        /// Backlog that is assumed once first events are overdue.
        pub overdue_backlog: Duration,
        /// Time until the first of these events is overdue.
        pub overdue_in: Duration,
        /// KV memory of the requests.
        pub memory: Tokens,
        /// Shortest gap objective among the streams.
        pub strictest_gap: Option<Duration>,
        /// Sum of the streams' values; a very short stream has the value 1.
        pub value: f64,
    }
}

/// Loads that a peer reports for its own requests.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Number of the report; later reports of a process have higher ones.
    pub sequence: u64,
    /// Whether targets that are not in `loads` have no load. Otherwise they have the
    /// load of an earlier report.
    pub is_complete: bool,
    /// Loads by target; one without requests says that the target's last one ended.
    pub loads: HashMap<EngineId, Load>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    load: Load,
    /// Number of the report with this load.
    sequence: u64,
    reported_at: Instant,
}

/// Loads of a peer, merged from reports that may arrive in any order.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerLoads {
    /// Has an entry for each target with load, and for those that lost it since the
    /// latest complete report.
    loads: HashMap<EngineId, ReportedLoad>,
    /// Number of the latest complete report. No entry is older.
    complete_sequence: u64,
    /// Time of the peer's latest message.
    received_at: Instant,
}

impl PeerLoads {
    /// Merges a report with the earlier ones.
    pub(super) fn merge(&mut self, report: &LoadReport, now: Instant) {
        self.received_at = now;
        let sequence = report.sequence;
        if sequence < self.complete_sequence {
            return;
        }
        for (id, load) in &report.loads {
            let newest = self.loads.get(id).map_or(0, |known| known.sequence);
            if newest <= sequence {
                let reported = ReportedLoad {
                    load: *load,
                    sequence,
                    reported_at: now,
                };
                self.loads.insert(id.clone(), reported);
            }
        }
        if report.is_complete {
            self.loads.retain(|_, load| load.sequence >= sequence);
            self.complete_sequence = sequence;
        }
    }

    /// Whether the peer has sent a message within [`PEER_LOAD_TTL`].
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        now - self.received_at <= PEER_LOAD_TTL
    }

    /// Estimated load of the peer on a target.
    pub(super) fn load(&self, id: &EngineId, now: Instant) -> Option<Load> {
        let reported = self.loads.get(id)?;
        self.estimate(reported, now)
    }

    /// Estimated loads of the peer on all targets.
    pub(super) fn loads(&self, now: Instant) -> impl Iterator<Item = (&EngineId, Load)> {
        let loads = self.loads.iter();
        loads.filter_map(move |(id, reported)| Some((id, self.estimate(reported, now)?)))
    }

    /// Estimates the present load from a reported one; none if the peer has not
    /// sent a message for [`PEER_LOAD_TTL`].
    fn estimate(&self, reported: &ReportedLoad, now: Instant) -> Option<Load> {
        let load = reported.load;
        let age = now - reported.reported_at;
        let overdue_in = load.overdue_in.saturating_sub(age);
        let mut backlog = load.backlog.saturating_sub(age);
        if overdue_in.is_zero() {
            backlog = backlog.max(load.overdue_backlog);
        }
        self.is_recent(now).then_some(Load {
            backlog,
            overdue_in,
            ..load
        })
    }
}

impl Load {
    /// Adds the load of another request or instance.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.decoding_streams += other.decoding_streams;
        self.backlog += other.backlog;
        self.overdue_in = match (self.overdue_backlog, other.overdue_backlog) {
            (Duration::ZERO, _) => other.overdue_in,
            (_, Duration::ZERO) => self.overdue_in,
            _ => self.overdue_in.min(other.overdue_in),
        };
        self.overdue_backlog += other.overdue_backlog;
        self.memory += other.memory;
        self.value += other.value;
        self.strictest_gap = match (self.strictest_gap, other.strictest_gap) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}
