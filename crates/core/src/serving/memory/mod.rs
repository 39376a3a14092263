//! Budget of memory that one process holds for clients and targets.
//!
//! Each request body and each response that is held in memory has a holder, which grows
//! before its buffers do. Sizes are those of the buffers, whatever they contain; a holder
//! also counts a fixed overhead for its connection.
//!
//! Client bodies can fill the budget only in part, so that requests under way always find
//! room for their responses. When room is short, holders that can give way are ended:
//!
//! 1. client bodies that stall: of the account, or without one of the address, that holds
//!    the most; then the largest and the longest without progress;
//! 2. client bodies, in the same order;
//! 3. responses of requests that may be repeated or that have not run.
//!
//! The response of a request that may have run and can't be repeated is never ended for
//! another holder.

mod holder;

use std::{collections::BTreeMap, fmt, time::Duration};

pub use holder::{ClientGroup, Holder, Rank};

use crate::clock::Instant;

/// Time without progress after which a client body stalls.
const STALL_TIME: Duration = Duration::from_secs(2);

/// Bytes per megabyte of the settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// Memory of a machine whose settings don't name it, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Memory for code, configuration, gossip and the allocator's free lists, in bytes.
const FIXED_RESERVE_BYTES: u64 = 32 * BYTES_PER_MB;

/// Share of the memory beyond the fixed reserve that the budget covers. The rest is for
/// streams under way, socket buffers and fragmentation.
const BUDGET_SHARE: f64 = 0.5;

/// Smallest budget, in bytes.
const MIN_BUDGET_BYTES: u64 = 8 * BYTES_PER_MB;

/// Share of the budget that client bodies can fill.
const CLIENT_BODY_SHARE: f64 = 0.6;

/// Share of the budget that all holders can fill but for responses of requests that may
/// have run and can't be repeated.
const REPEATABLE_SHARE: f64 = 0.85;

/// Share of the budget that is freed at once when holders are ended, so that the next ones
/// find room without another search.
const FREED_SHARE: f64 = 0.03;

/// Share of the budget that a single response can hold.
const RESPONSE_SHARE: f64 = 0.25;

/// Largest response that is held in memory on any machine, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Share of the memory beyond the fixed reserve that bodies of the store and of peers can fill
/// while they are received.
const INTERNAL_BODY_SHARE: f64 = 0.125;

/// Bounds of that memory, in bytes. The least one has room for a configuration of thousands of
/// routes.
const MIN_INTERNAL_BODY_BYTES: u64 = 4 * 1024 * 1024;
const MAX_INTERNAL_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Number of a holder, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Why a holder can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryError {
    /// The budget has no room.
    Full {
        /// Bytes that the holder asked for.
        requested_bytes: u64,
        /// Bytes that all holders hold.
        held_bytes: u64,
        /// Bytes that holders of this kind can fill.
        limit_bytes: u64,
    },
    /// The holder was ended to make room for others.
    Ended {
        /// Bytes that it held.
        held_bytes: u64,
    },
}

impl fmt::Display for MemoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full {
                requested_bytes,
                held_bytes,
                limit_bytes,
            } => write!(
                f,
                "memory budget: no room for {requested_bytes} bytes, {held_bytes} of \
                 {limit_bytes} bytes are held"
            ),
            Self::Ended { held_bytes } => write!(
                f,
                "memory budget: ended to make room for others, {held_bytes} bytes were held"
            ),
        }
    }
}

impl std::error::Error for MemoryError {}

/// Decision on the growth of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The bytes are counted; the holder may allocate them.
    Granted,
    /// There is no room now. The holders in the list are to be ended; when they have let go,
    /// the holder can ask again.
    Short {
        /// Holders that are newly ended.
        ended: Vec<HolderId>,
        /// The limit that is reached.
        error: MemoryError,
    },
}

#[derive(Clone, Debug)]
struct Held {
    holder: Holder,
    /// Bytes including the holder's overhead.
    bytes: u64,
    progress_at: Instant,
    is_ended: bool,
}

/// Memory that one process holds for clients and targets.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    capacity_bytes: u64,
    /// Sum of the bytes of `holders`.
    held_bytes: u64,
    holders: BTreeMap<HolderId, Held>,
    last_id: u64,
}

/// Bytes that bodies of the store and of peers may fill together on a machine with `memory_mb`
/// MB, beside the budget for clients and targets.
pub fn internal_body_capacity_bytes(memory_mb: Option<u64>) -> u64 {
    let share = (free_bytes(memory_mb) as f64 * INTERNAL_BODY_SHARE) as u64;
    share.clamp(MIN_INTERNAL_BODY_BYTES, MAX_INTERNAL_BODY_BYTES)
}

fn free_bytes(memory_mb: Option<u64>) -> u64 {
    let memory_bytes = memory_mb
        .unwrap_or(DEFAULT_MEMORY_MB)
        .saturating_mul(BYTES_PER_MB);
    memory_bytes.saturating_sub(FIXED_RESERVE_BYTES)
}

impl MemoryBudget {
    /// Creates the budget of a machine with `memory_mb` MB.
    pub fn for_machine(memory_mb: Option<u64>) -> Self {
        Self::with_capacity((free_bytes(memory_mb) as f64 * BUDGET_SHARE) as u64)
    }

    /// Creates a budget of `capacity_bytes`, or of the least budget if that is more.
    pub fn with_capacity(capacity_bytes: u64) -> Self {
        Self {
            capacity_bytes: capacity_bytes.max(MIN_BUDGET_BYTES),
            held_bytes: 0,
            holders: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Bytes that all holders together can hold.
    pub fn capacity_bytes(&self) -> u64 {
        self.capacity_bytes
    }

    /// Bytes that all holders hold.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Number of holders.
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Largest response that may be held in memory.
    pub fn max_response_bytes(&self) -> usize {
        MAX_RESPONSE_BYTES.min(self.share(RESPONSE_SHARE)) as usize
    }

    /// Adds a holder, which holds its overhead at once.
    pub fn begin(&mut self, holder: Holder, now: Instant) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        let bytes = holder.overhead_bytes();
        self.held_bytes += bytes;
        let held = Held {
            holder,
            bytes,
            progress_at: now,
            is_ended: false,
        };
        self.holders.insert(id, held);
        id
    }

    /// Removes a holder; returns whether others have more room now.
    pub fn end(&mut self, id: HolderId) -> bool {
        let Some(held) = self.holders.remove(&id) else {
            return false;
        };
        self.held_bytes -= held.bytes;
        held.bytes > 0
    }

    /// Replaces what is known of a holder, such as that its request may have run since.
    pub fn update(&mut self, id: HolderId, holder: Holder) {
        if let Some(held) = self.holders.get_mut(&id) {
            held.holder = holder;
        }
    }

    /// Records that a holder gets on: bytes arrived that count, or were taken.
    pub fn record_progress(&mut self, id: HolderId, now: Instant) {
        if let Some(held) = self.holders.get_mut(&id) {
            held.progress_at = now;
        }
    }

    /// Counts `bytes` more for a holder if there is room; if not, decides which holders are
    /// ended.
    pub fn grow(&mut self, id: HolderId, bytes: u64, now: Instant) -> Growth {
        let Some(held) = self.holders.get_mut(&id) else {
            return Growth::Short {
                ended: Vec::new(),
                error: MemoryError::Ended { held_bytes: 0 },
            };
        };
        if held.is_ended {
            return Growth::Short {
                ended: Vec::new(),
                error: MemoryError::Ended {
                    held_bytes: held.bytes,
                },
            };
        }
        let rank = held.holder.rank(false);
        let limit_bytes = match rank {
            Rank::StalledClientBody | Rank::ClientBody => self.share(CLIENT_BODY_SHARE),
            Rank::Repeatable => self.share(REPEATABLE_SHARE),
            Rank::MayHaveRun => self.capacity_bytes,
        };
        let total_bytes = self.held_bytes.saturating_add(bytes);
        if total_bytes <= limit_bytes {
            if let Some(held) = self.holders.get_mut(&id) {
                held.bytes += bytes;
                self.held_bytes = total_bytes;
            }
            return Growth::Granted;
        }
        let error = MemoryError::Full {
            requested_bytes: bytes,
            held_bytes: self.held_bytes,
            limit_bytes,
        };
        let needed_bytes = total_bytes - limit_bytes;
        let ended = self.end_below(rank, id, needed_bytes, now);
        Growth::Short { ended, error }
    }

    /// Counts `bytes` less for a holder.
    pub fn shrink(&mut self, id: HolderId, bytes: u64) {
        if let Some(held) = self.holders.get_mut(&id) {
            let freed_bytes = bytes.min(held.bytes);
            held.bytes -= freed_bytes;
            self.held_bytes -= freed_bytes;
        }
    }

    /// Bytes that a holder holds; 0 if there is no such holder.
    pub fn bytes_of(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |held| held.bytes)
    }

    /// Ends holders of a rank below `rank` until `needed_bytes` are on their way to be free
    /// for `asking`.
    fn end_below(
        &mut self,
        rank: Rank,
        asking: HolderId,
        needed_bytes: u64,
        now: Instant,
    ) -> Vec<HolderId> {
        let ending = self.holders.values().filter(|held| held.is_ended);
        let ending_bytes: u64 = ending.map(|held| held.bytes).sum();
        if ending_bytes >= needed_bytes {
            return Vec::new();
        }
        let mut missing_bytes = (needed_bytes - ending_bytes).max(self.share(FREED_SHARE));
        let rank_of = |held: &Held| held.holder.rank(now - held.progress_at >= STALL_TIME);
        let candidates = self.holders.iter();
        let candidates = candidates
            .filter(|(id, held)| **id != asking && !held.is_ended && rank_of(held) < rank);
        let mut candidates: Vec<(HolderId, &Held)> =
            candidates.map(|(id, held)| (*id, held)).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let mut group_bytes: BTreeMap<ClientGroup, u64> = BTreeMap::new();
        for held in self.holders.values() {
            if let Some(group) = held.holder.client_group() {
                *group_bytes.entry(group).or_default() += held.bytes;
            }
        }
        let group_bytes_of = |held: &Held| {
            let group = held.holder.client_group();
            group.map_or(0, |group| group_bytes[&group])
        };
        candidates.sort_by_key(|(id, held)| {
            let most_first = std::cmp::Reverse((group_bytes_of(held), held.bytes));
            (rank_of(held), most_first, held.progress_at, *id)
        });
        let mut ended = Vec::new();
        for (id, held) in candidates {
            ended.push(id);
            missing_bytes = missing_bytes.saturating_sub(held.bytes);
            if missing_bytes == 0 {
                break;
            }
        }
        for id in &ended {
            if let Some(held) = self.holders.get_mut(id) {
                held.is_ended = true;
            }
        }
        ended
    }

    fn share(&self, share: f64) -> u64 {
        (self.capacity_bytes as f64 * share) as u64
    }
}
