//! Memory reserved on several engines together.
//!
//! A group is reserved one engine at a time, in the order of the engines'
//! names. A refusal releases what the group holds at once and the request is
//! planned anew after a pause, so nobody holds one engine while waiting for
//! another, and no deadlock can arise. Each hold has one owner, an expiry that
//! the owner must push forward, and one release path; [`orphans`] names those
//! whose owner fell silent, for any instance to free.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId},
    units::Tokens,
};

/// Silence of its owner after which a reservation is free to be released.
pub const RESERVATION_TTL: Duration = Duration::from_secs(10);

/// Time between two renewals by the owner.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// Time between two tries of a release that was not acknowledged.
const RELEASE_RETRY: Duration = Duration::from_millis(500);

/// Tries of a release before it is left to expiry.
const RELEASE_TRIES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    Asked,
    Held { renewed_at: Instant },
    Releasing { tries: u32, next_at: Instant },
}

#[derive(Clone, Debug)]
struct Group {
    /// Engines still to be asked, in the order of their names, last first.
    to_ask: Vec<(EngineId, Tokens)>,
    holds: BTreeMap<EngineId, Hold>,
    abandoned: bool,
}

/// What the ledger's owner must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ask the engine for memory.
    Reserve(EngineId, Tokens),
    /// Push the expiry forward.
    Renew(EngineId),
    /// Give the memory back.
    Release(EngineId),
}

/// An engine's answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The memory is reserved.
    Granted,
    /// It is not.
    Refused,
    /// No answer came: it may be.
    Lost,
}

/// What an answer means for its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The group is not complete.
    Pending,
    /// All members are reserved.
    Complete,
    /// The group is given up and its members are being released.
    Abandoned,
}

/// All reservations of this instance.
///
/// Invariant: a hold whose release no engine has acknowledged stays in the
/// ledger until its expiry, also when its request is long over.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    groups: BTreeMap<AttemptId, Group>,
}

impl Ledger {
    /// Number of holds, asked for or not yet given back.
    pub fn reservation_count(&self) -> usize {
        self.groups.values().map(|group| group.holds.len()).sum()
    }

    /// Starts a group; returns the first order.
    pub fn begin(&mut self, attempt: AttemptId, members: Vec<(EngineId, Tokens)>) -> Vec<Command> {
        let mut to_ask = members;
        to_ask.sort_by(|a, b| b.0.cmp(&a.0));
        let group = Group {
            to_ask,
            holds: BTreeMap::new(),
            abandoned: false,
        };
        self.groups.insert(attempt, group);
        self.ask_next(attempt)
    }

    /// Takes in an engine's answer.
    pub fn handle_reply(
        &mut self,
        attempt: AttemptId,
        engine: &EngineId,
        reply: Reply,
        now: Instant,
    ) -> (Progress, Vec<Command>) {
        let Some(group) = self.groups.get_mut(&attempt) else {
            return (Progress::Abandoned, vec![Command::Release(engine.clone())]);
        };
        match reply {
            Reply::Granted if !group.abandoned => {
                let hold = Hold::Held { renewed_at: now };
                group.holds.insert(engine.clone(), hold);
                let orders = self.ask_next(attempt);
                match orders.is_empty() {
                    true => (Progress::Complete, orders),
                    false => (Progress::Pending, orders),
                }
            }
            Reply::Refused => {
                group.holds.remove(engine);
                (Progress::Abandoned, self.release(attempt, now))
            }
            // A lost reply may hide a grant, so it is released like one.
            Reply::Granted | Reply::Lost => (Progress::Abandoned, self.release(attempt, now)),
        }
    }

    /// Gives back all of a group's memory.
    pub fn release(&mut self, attempt: AttemptId, now: Instant) -> Vec<Command> {
        let Some(group) = self.groups.get_mut(&attempt) else {
            return Vec::new();
        };
        group.abandoned = true;
        group.to_ask.clear();
        let mut orders = Vec::new();
        for (engine, hold) in &mut group.holds {
            if !matches!(hold, Hold::Releasing { .. }) {
                *hold = Hold::Releasing {
                    tries: 1,
                    next_at: now + RELEASE_RETRY,
                };
                orders.push(Command::Release(engine.clone()));
            }
        }
        self.drop_if_empty(attempt);
        orders
    }

    /// Notes that an engine has given memory back, or never held it.
    pub fn confirm_release(&mut self, attempt: AttemptId, engine: &EngineId) {
        if let Some(group) = self.groups.get_mut(&attempt) {
            group.holds.remove(engine);
        }
        self.drop_if_empty(attempt);
    }

    /// Forgets what an engine held: it restarted.
    pub fn remove_engine(&mut self, engine: &EngineId) {
        for group in self.groups.values_mut() {
            group.holds.remove(engine);
        }
        self.groups
            .retain(|_, group| !group.abandoned || !group.holds.is_empty());
    }

    /// Renewals and repeated releases that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<(AttemptId, Command)> {
        let mut orders = Vec::new();
        for (attempt, group) in &mut self.groups {
            for (engine, hold) in &mut group.holds {
                if let Some(order) = tick_hold(engine, hold, now) {
                    orders.push((*attempt, order));
                }
            }
            group.holds.retain(|_, hold| !given_up(hold));
        }
        self.groups
            .retain(|_, group| !group.abandoned || !group.holds.is_empty());
        orders
    }

    fn ask_next(&mut self, attempt: AttemptId) -> Vec<Command> {
        let Some(group) = self.groups.get_mut(&attempt) else {
            return Vec::new();
        };
        let Some((engine, memory)) = group.to_ask.pop() else {
            return Vec::new();
        };
        group.holds.insert(engine.clone(), Hold::Asked);
        vec![Command::Reserve(engine, memory)]
    }

    fn drop_if_empty(&mut self, attempt: AttemptId) {
        let done = |group: &Group| group.abandoned && group.holds.is_empty();
        if self.groups.get(&attempt).is_some_and(done) {
            self.groups.remove(&attempt);
        }
    }
}

fn tick_hold(engine: &EngineId, hold: &mut Hold, now: Instant) -> Option<Command> {
    match hold {
        Hold::Held { renewed_at } if now - *renewed_at >= RENEWAL_PERIOD => {
            *renewed_at = now;
            Some(Command::Renew(engine.clone()))
        }
        Hold::Releasing { tries, next_at } if *next_at <= now => {
            *tries += 1;
            *next_at = now + RELEASE_RETRY;
            Some(Command::Release(engine.clone()))
        }
        _ => None,
    }
}

fn given_up(hold: &Hold) -> bool {
    matches!(hold, Hold::Releasing { tries, .. } if *tries > RELEASE_TRIES)
}

crate::data_types! {
    /// A reservation as an engine lists it.
    pub struct ListedReservation {
        /// Its id on the engine.
        pub id: String,
        /// Time since its owner last pushed the expiry forward.
        pub idle: Duration,
        /// Time after which a silent owner's reservation is free.
        pub ttl: Duration,
    }
}

/// Reservations that any instance may free, as their owners fell silent.
///
/// The age is measured by the engine alone, so no two clocks are compared. An
/// owner that was paused for longer than the expiry must not use the memory;
/// the engine refuses it, as the id is gone.
pub fn orphans(listed: &[ListedReservation]) -> impl Iterator<Item = &ListedReservation> {
    listed.iter().filter(|entry| entry.idle > entry.ttl)
}
