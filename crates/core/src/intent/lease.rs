//! Which instance gives orders to a share of the engines.
//!
//! No two clocks are compared. A holder trusts its lease for less than the
//! time to live, counted on its own clock from before it sent the renewal. A
//! candidate takes over only after it has seen the same row for a whole time
//! to live on its own clock. The assumption is that clocks run at the same
//! rate within the margin; a pause of any length is allowed, as the holder
//! checks its clock before each order and orders are idempotent.

use std::time::Duration;

use cyclamengauge_schema::v1;

use crate::{clock::Instant, text::SmolStr};

/// Time for which a row that does not change protects its holder.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Part of the time to live that the holder leaves unused, against clocks that
/// run at different rates.
const MARGIN: Duration = Duration::from_secs(2);

/// Time between renewals.
const RENEW_PERIOD: Duration = Duration::from_secs(3);

/// What happened at the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// The row was read; version 0 stands for absent.
    Read {
        /// The row's version.
        version: u64,
        /// Its content.
        row: Option<v1::LeaseRow>,
    },
    /// The write took effect.
    Written {
        /// The row's new version.
        version: u64,
    },
    /// The write's condition did not hold.
    Conflict,
    /// No reply came.
    ReplyLost,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Read the row.
    Read,
    /// Write the row if it has this version.
    Write {
        /// Version that the row must have.
        if_version: u64,
        /// The new row.
        row: v1::LeaseRow,
    },
}

/// One lease as seen by one instance.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: SmolStr,
    seen_version: u64,
    seen_row: Option<v1::LeaseRow>,
    /// When the row was first seen with this version.
    seen_at: Option<Instant>,
    /// When the read or write in progress was sent.
    asked_at: Option<Instant>,
    /// When the write that last took effect was sent.
    held_from: Option<Instant>,
    next_at: Instant,
}

impl Lease {
    /// Creates the view of a lease for the instance incarnation `holder`.
    pub fn new(holder: &str) -> Self {
        Self {
            holder: SmolStr::new(holder),
            seen_version: 0,
            seen_row: None,
            seen_at: None,
            asked_at: None,
            held_from: None,
            next_at: Instant::ZERO,
        }
    }

    /// The fencing number under which orders may be given now; none if the
    /// lease is not held for certain.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let from = self.held_from?;
        let row = self.seen_row.as_ref()?;
        let safe = now - from < LEASE_TTL - MARGIN;
        (safe && row.holder == self.holder.as_str()).then_some(row.fence)
    }

    /// Says what is due by now.
    pub fn tick(&mut self, now: Instant) -> LeaseStep {
        let pending = self.asked_at.is_some_and(|at| now - at < LEASE_TTL);
        if pending || now < self.next_at {
            return LeaseStep::Wait;
        }
        self.next_at = now + RENEW_PERIOD;
        self.asked_at = Some(now);
        if self.held_from.is_some() {
            return self.write(now);
        }
        LeaseStep::Read
    }

    /// Takes in what happened.
    pub fn handle_event(&mut self, event: LeaseEvent, now: Instant) -> LeaseStep {
        let asked_at = self.asked_at.take();
        match event {
            LeaseEvent::Read { version, row } => self.read(version, row, now),
            LeaseEvent::Written { version } => {
                self.seen_version = version;
                self.seen_at = Some(now);
                self.held_from = asked_at;
                LeaseStep::Wait
            }
            LeaseEvent::Conflict | LeaseEvent::ReplyLost => {
                // The fate of the write is unknown, or another holds the lease;
                // either way the row tells.
                self.held_from = None;
                self.asked_at = Some(now);
                LeaseStep::Read
            }
        }
    }

    /// Gives the lease up, at a graceful shutdown.
    pub fn resign(&mut self) -> Option<LeaseStep> {
        self.held_from.take()?;
        let fence = self.seen_row.as_ref().map_or(0, |row| row.fence);
        Some(LeaseStep::Write {
            if_version: self.seen_version,
            row: v1::LeaseRow {
                holder: String::new(),
                fence,
                expires_unix_ms: 0,
            },
        })
    }

    fn read(&mut self, version: u64, row: Option<v1::LeaseRow>, now: Instant) -> LeaseStep {
        let changed = self.seen_at.is_none() || version != self.seen_version;
        if changed {
            self.seen_version = version;
            self.seen_at = Some(now);
            self.seen_row = row;
        }
        let holder = self.seen_row.as_ref().map_or("", |row| row.holder.as_str());
        let vacant = holder.is_empty();
        let expired = self.seen_at.is_some_and(|at| now - at >= LEASE_TTL);
        // A row of ours whose write we did not see succeed is taken anew, with
        // a higher fencing number.
        if vacant || expired || holder == self.holder.as_str() {
            self.asked_at = Some(now);
            return self.write(now);
        }
        LeaseStep::Wait
    }

    fn write(&mut self, now: Instant) -> LeaseStep {
        let known = self.seen_row.as_ref().map_or(0, |row| row.fence);
        let renewing = self.held_from.is_some();
        let fence = if renewing { known } else { known + 1 };
        let row = v1::LeaseRow {
            holder: self.holder.to_string(),
            fence,
            expires_unix_ms: 0,
        };
        self.seen_row = Some(row.clone());
        self.asked_at = Some(now);
        LeaseStep::Write {
            if_version: self.seen_version,
            row,
        }
    }
}
