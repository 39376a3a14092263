//! Memory reservations on a group of engines.
//!
//! The engines of a group are reserved one at a time, in the order of their
//! ids. A refusal immediately releases the group's other reservations, and the
//! request is planned again after a pause. No request holds memory on one engine while
//! it waits for another, so no deadlock is possible. Each reservation has one
//! owner, an expiry that the owner must renew, and one release path. [`orphans`]
//! lists the reservations whose owner stopped the renewals; any instance may
//! release these.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId},
    units::Tokens,
};

/// Time without a renewal after which any instance may release a reservation.
pub const RESERVATION_TTL: Duration = Duration::from_secs(10);

/// Interval of the owner's renewals.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(3);

/// Interval between two sendings of a release that is not confirmed.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Retries of a release, after which the reservation is left to expire.
const MAX_RELEASE_RETRIES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationState {
    Requested,
    Held { renewed_at: Instant },
    Releasing { sent_count: u32, retry_at: Instant },
}

#[derive(Clone, Debug)]
struct Group {
    /// Engines without a reservation request yet, by descending id: the next
    /// engine is the last entry.
    unrequested: Vec<(EngineId, Tokens)>,
    reservations: BTreeMap<EngineId, ReservationState>,
    abandoned: bool,
}

/// Message that the instance must send to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reserve memory on the engine.
    Reserve(EngineId, Tokens),
    /// Renew the reservation, which restarts its expiry.
    Renew(EngineId),
    /// Release the reservation.
    Release(EngineId),
}

/// Outcome of a reservation request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The memory is reserved.
    Granted,
    /// The memory is not reserved.
    Refused,
    /// No response arrived; the memory may be reserved.
    Lost,
}

/// State of a group after an engine's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Engines of the group are not reserved yet.
    Pending,
    /// All engines of the group are reserved.
    Complete,
    /// The group has failed and its reservations are being released.
    Abandoned,
}

/// All reservations of this instance.
///
/// Invariant: a reservation stays in the ledger until its engine confirms the
/// release or is removed, or until all retries of the release are sent, also
/// when its request has ended. After the last retry, the engine's expiry frees
/// the memory.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    groups: BTreeMap<AttemptId, Group>,
}

impl Ledger {
    /// Number of reservations that are requested, held or being released.
    pub fn reservation_count(&self) -> usize {
        self.groups
            .values()
            .map(|group| group.reservations.len())
            .sum()
    }

    /// Adds a group and returns the command for its first engine.
    pub fn begin(&mut self, attempt: AttemptId, members: Vec<(EngineId, Tokens)>) -> Vec<Command> {
        let mut unrequested = members;
        unrequested.sort_by(|a, b| b.0.cmp(&a.0));
        let group = Group {
            unrequested,
            reservations: BTreeMap::new(),
            abandoned: false,
        };
        self.groups.insert(attempt, group);
        self.reserve_next(attempt)
    }

    /// Handles an engine's reply and returns the group's progress and the next
    /// commands. A reply for an unknown group is followed by a release.
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
                let reservation = ReservationState::Held { renewed_at: now };
                group.reservations.insert(engine.clone(), reservation);
                let commands = self.reserve_next(attempt);
                match commands.is_empty() {
                    true => (Progress::Complete, commands),
                    false => (Progress::Pending, commands),
                }
            }
            Reply::Refused => {
                group.reservations.remove(engine);
                (Progress::Abandoned, self.release(attempt, now))
            }
            // The engine may have granted the memory, so a lost reply is
            // released like a grant.
            Reply::Granted | Reply::Lost => (Progress::Abandoned, self.release(attempt, now)),
        }
    }

    /// Abandons a group and returns the releases of its reservations.
    pub fn release(&mut self, attempt: AttemptId, now: Instant) -> Vec<Command> {
        let Some(group) = self.groups.get_mut(&attempt) else {
            return Vec::new();
        };
        group.abandoned = true;
        group.unrequested.clear();
        let mut commands = Vec::new();
        for (engine, reservation) in &mut group.reservations {
            if !matches!(reservation, ReservationState::Releasing { .. }) {
                *reservation = ReservationState::Releasing {
                    sent_count: 1,
                    retry_at: now + RELEASE_RETRY_INTERVAL,
                };
                commands.push(Command::Release(engine.clone()));
            }
        }
        self.remove_if_released(attempt);
        commands
    }

    /// Records that an engine has released a reservation or never held it.
    pub fn confirm_release(&mut self, attempt: AttemptId, engine: &EngineId) {
        if let Some(group) = self.groups.get_mut(&attempt) {
            group.reservations.remove(engine);
        }
        self.remove_if_released(attempt);
    }

    /// Removes all reservations on an engine that restarted and lost them.
    pub fn remove_engine(&mut self, engine: &EngineId) {
        for group in self.groups.values_mut() {
            group.reservations.remove(engine);
        }
        self.groups
            .retain(|_, group| !group.abandoned || !group.reservations.is_empty());
    }

    /// Returns the renewals and the retries of releases that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<(AttemptId, Command)> {
        let mut commands = Vec::new();
        for (attempt, group) in &mut self.groups {
            for (engine, reservation) in &mut group.reservations {
                if let Some(command) = next_command(engine, reservation, now) {
                    commands.push((*attempt, command));
                }
            }
            group
                .reservations
                .retain(|_, reservation| !is_release_exhausted(reservation));
        }
        self.groups
            .retain(|_, group| !group.abandoned || !group.reservations.is_empty());
        commands
    }

    fn reserve_next(&mut self, attempt: AttemptId) -> Vec<Command> {
        let Some(group) = self.groups.get_mut(&attempt) else {
            return Vec::new();
        };
        let Some((engine, memory)) = group.unrequested.pop() else {
            return Vec::new();
        };
        group
            .reservations
            .insert(engine.clone(), ReservationState::Requested);
        vec![Command::Reserve(engine, memory)]
    }

    fn remove_if_released(&mut self, attempt: AttemptId) {
        let is_released = |group: &Group| group.abandoned && group.reservations.is_empty();
        if self.groups.get(&attempt).is_some_and(is_released) {
            self.groups.remove(&attempt);
        }
    }
}

fn next_command(
    engine: &EngineId,
    reservation: &mut ReservationState,
    now: Instant,
) -> Option<Command> {
    match reservation {
        ReservationState::Held { renewed_at } if now - *renewed_at >= RENEWAL_PERIOD => {
            *renewed_at = now;
            Some(Command::Renew(engine.clone()))
        }
        ReservationState::Releasing {
            sent_count,
            retry_at,
        } if *retry_at <= now => {
            *sent_count += 1;
            *retry_at = now + RELEASE_RETRY_INTERVAL;
            Some(Command::Release(engine.clone()))
        }
        _ => None,
    }
}

fn is_release_exhausted(state: &ReservationState) -> bool {
    matches!(
        state,
        ReservationState::Releasing { sent_count, .. } if *sent_count > MAX_RELEASE_RETRIES
    )
}

crate::data_types! {
    /// Reservation in an engine's report.
    pub struct ListedReservation {
        /// Id on the engine.
        pub id: String,
        /// Time since the owner's last renewal, by the engine's clock.
        pub idle: Duration,
        /// Time without a renewal after which the reservation is an orphan.
        pub ttl: Duration,
    }
}

/// Reservations that any instance may release, as their owners stopped the
/// renewals.
///
/// The engine alone measures the time since the last renewal, so no two clocks
/// are compared. An owner that was paused for longer than the expiry must not
/// use the memory; the engine refuses the request, as the reservation id no
/// longer exists.
pub fn orphans(listed: &[ListedReservation]) -> impl Iterator<Item = &ListedReservation> {
    listed.iter().filter(|entry| entry.idle > entry.ttl)
}
