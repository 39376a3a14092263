//! Requests that peers hand over to this instance, as they reach no target themselves.

use std::collections::{BTreeSet, HashMap};

use crate::ids::InstanceId;

/// Largest number of requests of peers in progress at an instance. It leaves the memory
/// and the processor time of a small machine to the instance's own callers.
pub const MAX_TAKEN_OVER: usize = 256;

/// Number of requests in progress from which peers are told to go elsewhere. The rest is
/// for requests that are on their way.
const ANNOUNCED_LIMIT: usize = MAX_TAKEN_OVER * 3 / 4;

/// Numbers of a sender that are remembered; older ones count as repeated.
const MAX_NUMBERS: usize = 4_096;

/// Why a request of a peer is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too many requests of peers are in progress.
    Full,
    /// The request was taken before: the message is a copy.
    Repeated,
}

/// Requests of one process of a peer.
#[derive(Clone, Debug, Default)]
struct Sender {
    incarnation: u64,
    /// The latest numbers.
    numbers: BTreeSet<u64>,
}

/// The requests that this instance takes from its peers.
#[derive(Clone, Debug, Default)]
pub struct TakenOver {
    senders: HashMap<InstanceId, Sender>,
    in_progress: usize,
}

impl TakenOver {
    /// Whether peers may hand over further requests.
    pub fn has_room(&self) -> bool {
        self.in_progress < ANNOUNCED_LIMIT
    }

    /// Takes the request with a number from a process of a peer.
    ///
    /// # Errors
    ///
    /// If too many requests are in progress, or the request was taken before.
    pub fn begin(
        &mut self,
        peer: &InstanceId,
        incarnation: u64,
        number: u64,
    ) -> Result<(), Rejection> {
        if self.in_progress >= MAX_TAKEN_OVER {
            return Err(Rejection::Full);
        }
        let sender = self.senders.entry(peer.clone()).or_default();
        if incarnation > sender.incarnation {
            *sender = Sender {
                incarnation,
                ..Sender::default()
            };
        }
        let is_outdated = incarnation < sender.incarnation;
        let oldest = sender.numbers.first().copied();
        let is_forgotten = sender.numbers.len() >= MAX_NUMBERS && oldest > Some(number);
        if is_outdated || is_forgotten || !sender.numbers.insert(number) {
            return Err(Rejection::Repeated);
        }
        if sender.numbers.len() > MAX_NUMBERS {
            sender.numbers.pop_first();
        }
        self.in_progress += 1;
        Ok(())
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}

impl Rejection {
    /// Stable name, for metrics and errors.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Repeated => "repeated",
        }
    }
}
