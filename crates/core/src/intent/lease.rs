//! Lease that allows one instance at a time to send orders to engines.
//!
//! Clocks of different instances are never compared. A holder counts its lease on
//! its own clock, from before it sent the last successful write, and uses it for
//! less than the time to live. A candidate takes over only after it has seen the
//! same row for the whole time to live on its own clock. Clocks are assumed to run
//! at the same rate within the margin. A pause of any length is safe, because the
//! holder checks its clock before each order and orders are idempotent.

use std::time::Duration;

use cyclamengauge_schema::v1;

use crate::{clock::Instant, text::SmolStr};

/// Time for which an unchanged row protects its holder from a takeover.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Last part of the time to live, which the holder does not use because clocks may
/// run at different rates.
const CLOCK_RATE_MARGIN: Duration = Duration::from_secs(2);

/// Time between renewals, and between reads by a candidate.
const RENEW_PERIOD: Duration = Duration::from_secs(3);

/// Result of a read or write of the lease row in the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// The row was read.
    Read {
        /// The row's version; 0 if the table has no row.
        version: u64,
        /// The row's content.
        row: Option<v1::LeaseRow>,
    },
    /// The write took effect.
    Written {
        /// The row's new version.
        version: u64,
    },
    /// The write's condition did not hold.
    Conflict,
    /// The read or write got no reply; a write may have taken effect.
    ReplyLost,
}

/// Next operation for the driver of a [`Lease`].
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Do nothing until the next tick.
    Wait,
    /// Read the row.
    Read,
    /// Write the row on condition that it has version `if_version`.
    Write {
        /// The version that the row must have; 0 if there must be no row.
        if_version: u64,
        /// The new row.
        row: v1::LeaseRow,
    },
}

/// State of one lease at one instance, holder or candidate.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: SmolStr,
    seen_version: u64,
    seen_row: Option<v1::LeaseRow>,
    /// When this instance first saw the row with `seen_version`.
    seen_at: Option<Instant>,
    /// When the read or write in progress was sent.
    sent_at: Option<Instant>,
    /// When the last successful write was sent; `None` if the lease is not held.
    renewed_at: Option<Instant>,
    next_operation_at: Instant,
}

impl Lease {
    /// Creates the lease state of the instance incarnation `holder`, which does not
    /// hold the lease yet.
    pub fn new(holder: &str) -> Self {
        Self {
            holder: SmolStr::new(holder),
            seen_version: 0,
            seen_row: None,
            seen_at: None,
            sent_at: None,
            renewed_at: None,
            next_operation_at: Instant::ZERO,
        }
    }

    /// The fencing number for orders sent at `now`; `None` if another instance may
    /// hold the lease.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let renewed_at = self.renewed_at?;
        let row = self.seen_row.as_ref()?;
        let is_valid = now - renewed_at < LEASE_TTL - CLOCK_RATE_MARGIN;
        (is_valid && row.holder == self.holder.as_str()).then_some(row.fence)
    }

    /// Returns the operation that is due at `now`.
    ///
    /// Without a result, an earlier operation counts as failed after the time to
    /// live.
    pub fn tick(&mut self, now: Instant) -> LeaseStep {
        let is_pending = self.sent_at.is_some_and(|at| now - at < LEASE_TTL);
        if is_pending || now < self.next_operation_at {
            return LeaseStep::Wait;
        }
        self.next_operation_at = now + RENEW_PERIOD;
        self.sent_at = Some(now);
        if self.renewed_at.is_some() {
            return self.write_step(now);
        }
        LeaseStep::Read
    }

    /// Handles the result of an operation and returns the next operation.
    pub fn handle_event(&mut self, event: LeaseEvent, now: Instant) -> LeaseStep {
        let sent_at = self.sent_at.take();
        match event {
            LeaseEvent::Read { version, row } => self.handle_row(version, row, now),
            LeaseEvent::Written { version } => {
                self.seen_version = version;
                self.seen_at = Some(now);
                self.renewed_at = sent_at;
                LeaseStep::Wait
            }
            LeaseEvent::Conflict | LeaseEvent::ReplyLost => {
                // The write may have taken effect, or another instance may hold
                // the lease; a read of the row shows which.
                self.renewed_at = None;
                self.sent_at = Some(now);
                LeaseStep::Read
            }
        }
    }

    /// Gives up the lease at a graceful shutdown.
    ///
    /// Returns the write that clears the holder, or `None` if the lease is not
    /// held.
    pub fn resign(&mut self) -> Option<LeaseStep> {
        self.renewed_at.take()?;
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

    fn handle_row(&mut self, version: u64, row: Option<v1::LeaseRow>, now: Instant) -> LeaseStep {
        let is_changed = self.seen_at.is_none() || version != self.seen_version;
        if is_changed {
            self.seen_version = version;
            self.seen_at = Some(now);
            self.seen_row = row;
        }
        let holder = self.seen_row.as_ref().map_or("", |row| row.holder.as_str());
        let is_vacant = holder.is_empty();
        let is_expired = self.seen_at.is_some_and(|at| now - at >= LEASE_TTL);
        // The row may name this instance although the write got no reply. The
        // lease is then acquired again with a higher fencing number.
        if is_vacant || is_expired || holder == self.holder.as_str() {
            self.sent_at = Some(now);
            return self.write_step(now);
        }
        LeaseStep::Wait
    }

    fn write_step(&mut self, now: Instant) -> LeaseStep {
        let last_fence = self.seen_row.as_ref().map_or(0, |row| row.fence);
        let is_renewal = self.renewed_at.is_some();
        let fence = if is_renewal {
            last_fence
        } else {
            last_fence + 1
        };
        let row = v1::LeaseRow {
            holder: self.holder.to_string(),
            fence,
            expires_unix_ms: 0,
        };
        self.seen_row = Some(row.clone());
        self.sent_at = Some(now);
        LeaseStep::Write {
            if_version: self.seen_version,
            row,
        }
    }
}
