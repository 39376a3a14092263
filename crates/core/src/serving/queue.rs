//! Long prompts that wait for their turn, over all instances.
//!
//! Engines read all that they were sent in one pass, and a pass is the pause of
//! every stream that writes there. Long prompts are therefore sent one at a
//! time; the engines lose nothing by that as long as they have something to
//! read. Each instance tells the others what waits there, and the first of all
//! goes next.
//!
//! Reading time grows with the square of a prompt and its value does not, so
//! while prompts queue up, the shorter ones go first; the longest have their turn
//! when the queue is short.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{clock::Instant, ids::InstanceId};

/// Reading time from which a prompt waits for its turn: split over the fleet, a
/// shorter one fits beside others within a pass.
pub const TURN_FROM: Duration = Duration::from_millis(600);

/// Backlog of its engines below which the next prompt is sent. Above zero, so
/// that engines don't run dry while news travels.
pub const LEAST_BACKLOG: Duration = Duration::from_millis(60);

/// Time that a prompt needs from its turn to its first event besides its reading:
/// the rest of a pass and the pass that writes the event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(250);

/// Engines over which a prompt is read, as far as the queue reckons.
const READING_ENGINES: u32 = 12;

/// How far a prompt stands back for each unit of its reading time.
const STAND_BACK: f64 = 0.8;

/// Age up to which a peer's prompts count: a peer that fell silent must not hold
/// up the others.
const NEWS_TIME: Duration = Duration::from_millis(600);

/// Part of the time of the engines without short streams that goes into reading
/// what waits now; the rest goes to writing and to prompts that come meanwhile.
const READING_SHARE: f64 = 0.75;

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u64);

crate::data_types! {
    /// A prompt that waits, as instances tell each other.
    #[derive(Copy)]
    pub struct Waiting {
        /// Time until its objective, in ms; negative once that has passed.
        pub slack_ms: i64,
        /// Time to read it on one engine.
        pub work: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct Own {
    objective_at: Instant,
    work: Duration,
}

/// Prompts that can still be on time come first; among equals, the lower number.
type Rank = (bool, i64);

/// The long prompts of this instance, and what the peers tell of theirs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    own: BTreeMap<Place, Own>,
    last_place: u64,
    peers: HashMap<InstanceId, (Vec<Waiting>, Instant)>,
}

impl Queue {
    /// Adds a prompt whose first event should come by `objective_at`.
    pub fn enter(&mut self, objective_at: Instant, work: Duration) -> Place {
        self.last_place += 1;
        let place = Place(self.last_place);
        self.own.insert(place, Own { objective_at, work });
        place
    }

    /// Removes a prompt that was sent or given up.
    pub fn leave(&mut self, place: Place) {
        self.own.remove(&place);
    }

    /// Takes in what a peer tells of its queue.
    pub fn peer(&mut self, peer: InstanceId, waiting: Vec<Waiting>, now: Instant) {
        self.peers.insert(peer, (waiting, now));
    }

    /// What the peers should know.
    pub fn waiting(&self, now: Instant) -> Vec<Waiting> {
        self.own.values().map(|own| own.waiting(now)).collect()
    }

    /// Whether no other prompt, here or elsewhere, goes before this one.
    pub fn is_next(&self, place: Place, now: Instant) -> bool {
        let Some(own) = self.own.get(&place) else {
            return false;
        };
        let rank = own.waiting(now).rank();
        let mut here = self.own.iter();
        let first_here =
            here.all(|(other, own)| (own.waiting(now).rank(), *other) >= (rank, place));
        first_here && self.elsewhere(now).all(|other| other.rank() >= rank)
    }

    /// Time until a prompt will have been read by so many engines.
    pub fn expected_wait(&self, place: Place, engines: usize, now: Instant) -> Duration {
        let Some(own) = self.own.get(&place) else {
            return Duration::ZERO;
        };
        let rank = own.waiting(now).rank();
        let here = self.own.values().map(|own| own.waiting(now));
        let before = here.chain(self.elsewhere(now));
        let before = before.filter(|other| other.rank() < rank);
        let work = own.work + before.map(|other| other.work).sum::<Duration>();
        work.div_f64((engines as f64 * READING_SHARE).max(1.0))
    }

    fn elsewhere(&self, now: Instant) -> impl Iterator<Item = Waiting> {
        self.peers.values().flat_map(move |(waiting, heard_at)| {
            let age = now - *heard_at;
            let waiting = waiting.iter().filter(move |_| age <= NEWS_TIME);
            waiting.map(move |waiting| Waiting {
                slack_ms: waiting.slack_ms - age.as_millis() as i64,
                work: waiting.work,
            })
        })
    }
}

impl Own {
    fn waiting(&self, now: Instant) -> Waiting {
        let ahead = (self.objective_at - now).as_millis() as i64;
        let behind = (now - self.objective_at).as_millis() as i64;
        Waiting {
            slack_ms: ahead - behind,
            work: self.work,
        }
    }
}

impl Waiting {
    fn rank(&self) -> Rank {
        let needed = FIRST_EVENT_TIME + self.work / READING_ENGINES;
        let late = self.slack_ms < needed.as_millis() as i64;
        let stand_back = self.work.mul_f64(STAND_BACK).as_millis() as i64;
        (late, self.slack_ms + stand_back)
    }
}
