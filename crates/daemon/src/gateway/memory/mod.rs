//! Memory that this process holds for clients and targets.
//!
//! The budget decides who gets memory; this module wakes those that wait for room, and those
//! that are ended to make room.

mod buffer;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    serving::memory::{Growth, HolderId, MemoryBudget},
};
use tokio::sync::Notify;

pub use buffer::{HeldBody, HeldBuffer};
pub use cyclamengauge_core::serving::memory::{Holder, MemoryError};

use crate::{gateway::Gateway, telemetry::process_events};

/// Interval at which a holder that waits for room asks again: other holders may have stalled
/// since.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest interval between two log lines about used up memory.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Budget of a process, with those that wait for it.
pub struct Memory {
    budget: RefCell<MemoryBudget>,
    /// Notified once when its holder is ended.
    end_signals: RefCell<BTreeMap<HolderId, Rc<EndSignal>>>,
    /// Notified when there may be room, one waiter at a time.
    room_for_bodies: Notify,
    room_for_responses: Notify,
    logged_at: Cell<Option<Instant>>,
    /// Holders that were ended since the latest log line.
    ended_since_logged: Cell<u64>,
}

#[derive(Default)]
struct EndSignal {
    is_ended: Cell<bool>,
    notify: Notify,
}

/// Memory of one holder, released on drop.
pub struct MemoryHold {
    gateway: Rc<Gateway>,
    id: HolderId,
    /// Whether it was begun for the body of a client's request.
    is_client_body: bool,
    end_signal: Rc<EndSignal>,
}

impl Memory {
    /// Creates the memory of a process on a machine with `memory_mb` MB.
    pub fn new(memory_mb: Option<u64>) -> Self {
        Self {
            budget: RefCell::new(MemoryBudget::for_machine(memory_mb)),
            end_signals: RefCell::default(),
            room_for_bodies: Notify::new(),
            room_for_responses: Notify::new(),
            logged_at: Cell::default(),
            ended_since_logged: Cell::default(),
        }
    }

    /// Bytes that all holders hold.
    pub fn held_bytes(&self) -> u64 {
        self.budget.borrow().held_bytes()
    }

    /// Bytes that all holders together can hold.
    pub fn capacity_bytes(&self) -> u64 {
        self.budget.borrow().capacity_bytes()
    }

    /// Largest response that may be held in memory.
    pub fn max_response_bytes(&self) -> usize {
        self.budget.borrow().max_response_bytes()
    }

    /// Wakes the first holder of each kind that waits for room.
    fn notify_room(&self) {
        self.room_for_bodies.notify_one();
        self.room_for_responses.notify_one();
    }

    /// Tells the holders that they are ended, and logs the shortage.
    fn end(&self, ended: &[HolderId], error: MemoryError, now: Instant) {
        for id in ended {
            if let Some(signal) = self.end_signals.borrow().get(id) {
                signal.is_ended.set(true);
                signal.notify.notify_waiters();
            }
        }
        let ended = ended.len() as u64;
        metrics::counter!("cyclamengauge_memory_ended_total").increment(ended);
        let ended = self.ended_since_logged.get() + ended;
        self.ended_since_logged.set(ended);
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        self.ended_since_logged.set(0);
        process_events::log_memory_short(error, ended);
    }
}

impl Gateway {
    /// Begins to hold memory. The holder's overhead is counted at once.
    pub fn hold_memory(self: &Rc<Self>, holder: Holder) -> MemoryHold {
        let now = self.clock.now();
        let is_client_body = matches!(holder, Holder::ClientBody { .. });
        let id = self.memory.budget.borrow_mut().begin(holder, now);
        let end_signal = Rc::<EndSignal>::default();
        let mut end_signals = self.memory.end_signals.borrow_mut();
        end_signals.insert(id, Rc::clone(&end_signal));
        MemoryHold {
            gateway: Rc::clone(self),
            id,
            is_client_body,
            end_signal,
        }
    }
}

impl MemoryHold {
    /// Counts `bytes` more, before they are allocated.
    ///
    /// # Errors
    ///
    /// If there is no room now, or the holder was ended.
    pub fn try_grow(&self, bytes: usize) -> Result<(), MemoryError> {
        let memory = &self.gateway.memory;
        let now = self.gateway.clock.now();
        let growth = memory.budget.borrow_mut().grow(self.id, bytes as u64, now);
        match growth {
            Growth::Granted => Ok(()),
            Growth::Short { ended, error } => {
                if matches!(error, MemoryError::Full { .. }) {
                    memory.end(&ended, error, now);
                }
                Err(error)
            }
        }
    }

    /// Counts `bytes` more, and waits for room until `deadline`.
    ///
    /// # Errors
    ///
    /// If there is no room by the deadline, or the holder is ended.
    pub async fn grow(&self, bytes: usize, deadline: Instant) -> Result<(), MemoryError> {
        let memory = &self.gateway.memory;
        let room = match self.is_client_body {
            true => &memory.room_for_bodies,
            false => &memory.room_for_responses,
        };
        let mut has_waited = false;
        loop {
            let error = match self.try_grow(bytes) {
                Ok(()) => {
                    if has_waited {
                        // There may be room for the next one, too.
                        room.notify_one();
                    }
                    return Ok(());
                }
                Err(error @ MemoryError::Ended { .. }) => return Err(error),
                Err(error @ MemoryError::Full { .. }) => error,
            };
            let left = self.gateway.clock.until(deadline);
            if left.is_zero() {
                return Err(error);
            }
            tokio::select! {
                () = room.notified() => {}
                () = self.ended() => {}
                () = actix_rt::time::sleep(left.min(RETRY_INTERVAL)) => {}
            }
            has_waited = true;
        }
    }

    /// Counts `bytes` less, after they were freed.
    pub fn shrink(&self, bytes: usize) {
        let memory = &self.gateway.memory;
        memory.budget.borrow_mut().shrink(self.id, bytes as u64);
        memory.notify_room();
    }

    /// Replaces what the memory is held for, such as once the request may have run.
    pub fn update(&self, holder: Holder) {
        let mut budget = self.gateway.memory.budget.borrow_mut();
        budget.update(self.id, holder);
    }

    /// Records that bytes arrived that count, or that the client took some.
    pub fn record_progress(&self) {
        let now = self.gateway.clock.now();
        let mut budget = self.gateway.memory.budget.borrow_mut();
        budget.record_progress(self.id, now);
    }

    /// Bytes that are counted for this holder, including its overhead.
    pub fn held_bytes(&self) -> u64 {
        self.gateway.memory.budget.borrow().bytes_of(self.id)
    }

    /// Whether the holder must give way.
    pub fn is_ended(&self) -> bool {
        self.end_signal.is_ended.get()
    }

    /// Waits until the holder must give way to others.
    pub async fn ended(&self) {
        let notified = self.end_signal.notify.notified();
        if !self.is_ended() {
            notified.await;
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let memory = &self.gateway.memory;
        memory.end_signals.borrow_mut().remove(&self.id);
        let has_freed = memory.budget.borrow_mut().end(self.id);
        if has_freed {
            memory.notify_room();
        }
    }
}
