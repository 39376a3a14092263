//! How long a new configuration takes to all of the target's instances, over
//! the real states of the configuration, with delay and loss and without the
//! store. The rules are those of the daemon: news is pushed to four peers at
//! once, and every second one peer in turn is exchanged with.

use std::collections::BTreeMap;

use cyclamengauge_core::intent::{CurrentConfiguration, OfferOutcome};
use cyclamengauge_schema::v1;

const INSTANCES: usize = 2_600;
const FANOUT: usize = 4;
const PERIOD_MS: u64 = 1_000;
const LOSS_PERCENT: u8 = 5;

/// Asking for the version and sending the news, each way there and back between
/// regions.
const HOP_MS: u64 = 300;

/// Stated: in force everywhere within 9 s.
const LIMIT_MS: u64 = 9_000;

struct Spread {
    rng: fastrand::Rng,
    states: Vec<CurrentConfiguration>,
    /// Instances that exchange with a peer at each time, and how many peers.
    due: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Arrivals of messages between two instances.
    arriving: BTreeMap<u64, Vec<(usize, usize)>>,
    turns: Vec<usize>,
    behind: usize,
}

impl Spread {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut due: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
        for instance in 0..INSTANCES {
            let first = rng.u64(..PERIOD_MS);
            due.entry(first).or_default().push((instance, 1));
        }
        let mut states = vec![CurrentConfiguration::default(); INSTANCES];
        states.iter_mut().for_each(|state| {
            state.offer(accepted(1));
        });
        Self {
            turns: (0..INSTANCES).map(|_| rng.usize(..INSTANCES)).collect(),
            rng,
            states,
            due,
            arriving: BTreeMap::new(),
            behind: INSTANCES,
        }
    }

    /// Milliseconds until every instance has version 2, accepted at one.
    fn run(&mut self) -> u64 {
        self.learn(0, 0);
        for now in 0.. {
            for (from, to) in self.arriving.remove(&now).unwrap_or_default() {
                self.meet(from, to, now);
            }
            if self.behind == 0 {
                return now;
            }
            for (instance, peers) in self.due.remove(&now).unwrap_or_default() {
                self.exchange(instance, peers, now);
            }
        }
        unreachable!("the loop has no end but the one above")
    }

    fn exchange(&mut self, instance: usize, peers: usize, now: u64) {
        for _ in 0..peers {
            self.turns[instance] = (self.turns[instance] + 1) % INSTANCES;
            let peer = self.turns[instance];
            if self.rng.u8(..100) >= LOSS_PERCENT {
                let arrivals = self.arriving.entry(now + HOP_MS).or_default();
                arrivals.push((instance, peer));
            }
        }
        if peers == 1 {
            let pause = PERIOD_MS * 3 / 4 + self.rng.u64(..PERIOD_MS / 2);
            self.due.entry(now + pause).or_default().push((instance, 1));
        }
    }

    /// Each side leaves with the newer of what both know.
    fn meet(&mut self, a: usize, b: usize, now: u64) {
        let versions = (self.states[a].version(), self.states[b].version());
        match versions {
            (a_has, b_has) if a_has > b_has => self.learn(b, now),
            (a_has, b_has) if a_has < b_has => self.learn(a, now),
            _ => {}
        }
    }

    fn learn(&mut self, instance: usize, now: u64) {
        if self.states[instance].offer(accepted(2)) == OfferOutcome::Newer {
            self.behind -= 1;
            let pushes = self.due.entry(now + 1).or_default();
            pushes.push((instance, FANOUT));
        }
    }
}

fn accepted(version: u64) -> v1::Accepted {
    v1::Accepted {
        version,
        plan_id: format!("p{version}"),
        ..v1::Accepted::default()
    }
}

#[test]
fn change_is_in_force_at_the_targets_size_within_nine_seconds() {
    for seed in 0..5 {
        let taken_ms = Spread::new(seed).run();
        assert!(taken_ms <= LIMIT_MS, "seed {seed}: {taken_ms} ms");
    }
}
