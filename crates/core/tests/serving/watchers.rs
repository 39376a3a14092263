//! Which instances watch the platform's tables.

use cyclamengauge_core::{
    ids::{DataCentreId, InstanceId},
    serving::watchers::{WATCHERS_PER_DATA_CENTRE, WatchState, Watchers},
};

use crate::fleet::ms;

/// A fleet whose instances report their watch states to each other.
struct Fleet {
    views: Vec<Watchers>,
    data_centres: usize,
    /// Instances whose calls to the store fail.
    failing: Vec<usize>,
    /// Instances that send no messages.
    silent: Vec<usize>,
}

impl Fleet {
    fn new(instances: usize, data_centres: usize) -> Self {
        Self {
            views: vec![Watchers::default(); instances],
            data_centres,
            failing: Vec::new(),
            silent: Vec::new(),
        }
    }

    fn instance(number: usize) -> InstanceId {
        InstanceId::new(format!("front-{number}"))
    }

    fn data_centre(&self, number: usize) -> DataCentreId {
        DataCentreId::new(format!("dc{}", number % self.data_centres))
    }

    fn must_watch(&self, number: usize, at_ms: u64) -> bool {
        let (instance, data_centre) = (Self::instance(number), self.data_centre(number));
        self.views[number].must_watch(&instance, &data_centre, ms(at_ms))
    }

    fn state(&self, number: usize, at_ms: u64) -> WatchState {
        match self.must_watch(number, at_ms) {
            true if self.failing.contains(&number) => WatchState::Failing,
            true => WatchState::Watching,
            false => WatchState::Fetching,
        }
    }

    /// Lets every instance report its state to all others, one after the other.
    fn exchange(&mut self, at_ms: u64) {
        for from in 0..self.views.len() {
            if self.silent.contains(&from) {
                continue;
            }
            let state = self.state(from, at_ms);
            let (instance, data_centre) = (Self::instance(from), self.data_centre(from));
            for (to, view) in self.views.iter_mut().enumerate() {
                if to != from {
                    view.record(instance.clone(), data_centre.clone(), state, ms(at_ms));
                }
            }
        }
    }

    /// Instances that watch the tables at `at_ms`, with calls that succeed.
    fn watching(&self, at_ms: u64) -> Vec<usize> {
        let all = 0..self.views.len();
        all.filter(|n| !self.silent.contains(n) && self.state(*n, at_ms) == WatchState::Watching)
            .collect()
    }
}

/// Pattern: calls to the store that grow with the data centres and not with the
/// instances.
#[test]
fn two_instances_of_each_data_centre_watch_the_tables_at_any_size() {
    for (instances, data_centres) in [(26, 3), (118, 5), (300, 3)] {
        let mut fleet = Fleet::new(instances, data_centres);
        for round in 0..3 {
            fleet.exchange(round * 400);
        }
        let watching = fleet.watching(1_000);
        assert_eq!(watching.len(), WATCHERS_PER_DATA_CENTRE * data_centres);
        for number in 0..data_centres {
            let local = watching.iter().filter(|n| **n % data_centres == number);
            assert_eq!(local.count(), WATCHERS_PER_DATA_CENTRE);
        }
    }
}

/// Pattern: deployments of a few instances depend on no peer.
#[test]
fn all_instances_of_a_small_deployment_watch_the_tables() {
    for (instances, data_centres) in [(1, 1), (2, 1), (4, 3), (5, 3)] {
        let mut fleet = Fleet::new(instances, data_centres);
        for round in 0..5 {
            fleet.exchange(round * 400);
        }
        assert_eq!(fleet.watching(1_700).len(), instances);
    }
}

/// Pattern: watchers that are killed, freeze or are cut off from the store, one after
/// the other and all at once. Others take over within the time in which a silent
/// watcher is given up and two rounds of messages.
#[test]
fn others_take_over_from_watchers_that_fail_or_fall_silent() {
    for are_silent in [true, false] {
        let mut fleet = Fleet::new(118, 5);
        let mut now_ms = 0;
        let advance = |fleet: &mut Fleet, now_ms: &mut u64, duration_ms: u64| {
            for _ in 0..duration_ms / 100 {
                *now_ms += 100;
                fleet.exchange(*now_ms);
            }
        };
        advance(&mut fleet, &mut now_ms, 1_000);
        for count in [1, 2, 10] {
            let lost: Vec<usize> = fleet.watching(now_ms).into_iter().take(count).collect();
            assert_eq!(lost.len(), count);
            let gone = match are_silent {
                true => &mut fleet.silent,
                false => &mut fleet.failing,
            };
            gone.extend(lost);
            advance(&mut fleet, &mut now_ms, 1_800);
            assert_eq!(
                fleet.watching(now_ms).len(),
                10,
                "watchers after {count} were lost, silent: {are_silent}"
            );
        }
    }
}

/// Pattern: a store that is unreachable for everyone. Every instance tries by itself, so
/// that none depends on another when the store returns.
#[test]
fn all_instances_watch_the_tables_while_no_watcher_reaches_the_store() {
    let mut fleet = Fleet::new(118, 5);
    for round in 1..10 {
        fleet.exchange(round * 100);
    }
    fleet.failing = (0..118).collect();
    for round in 10..30 {
        fleet.exchange(round * 100);
    }
    assert!((0..118).all(|number| fleet.must_watch(number, 3_000)));
    fleet.failing.clear();
    for round in 30..50 {
        fleet.exchange(round * 100);
    }
    assert_eq!(fleet.watching(5_000).len(), 10);
}

/// Two views of one data centre with links of 14 and 200 Mbit/s: that of every instance on
/// whether it must watch.
fn watchers_by_link(links_mbps: &[Option<u32>]) -> Vec<usize> {
    let data_centre = DataCentreId::new("dc");
    let must_watch = |own: usize| {
        let mut view = Watchers::new(links_mbps[own]);
        for (number, link_mbps) in links_mbps.iter().enumerate() {
            if number != own {
                let peer = Fleet::instance(number);
                let state = WatchState::Watching;
                view.record(peer.clone(), data_centre.clone(), state, ms(0));
                view.record_link(&peer, *link_mbps);
                // A message that an older build has passed on lacks the link.
                view.record_link(&peer, None);
            }
        }
        view.must_watch(&Fleet::instance(own), &data_centre, ms(100))
    };
    (0..links_mbps.len())
        .filter(|own| must_watch(*own))
        .collect()
}

/// Load: large configurations, which take long on a thin link to the store.
#[test]
fn instances_with_the_widest_links_watch() {
    let mut links_mbps = vec![Some(14); 40];
    (links_mbps[7], links_mbps[31]) = (Some(200), Some(200));
    assert_eq!(watchers_by_link(&links_mbps), [7, 31]);
    links_mbps[12] = Some(200);
    assert_eq!(watchers_by_link(&links_mbps).len(), 2);
}

/// Guards against instances of two builds that each take others for the watchers.
#[test]
fn links_do_not_count_while_an_older_build_runs() {
    let by_hash = watchers_by_link(&[None; 40]);
    assert_eq!(by_hash.len(), 2);
    let mut links_mbps = vec![Some(14); 40];
    (links_mbps[7], links_mbps[31], links_mbps[20]) = (Some(200), Some(200), None);
    let seen = watchers_by_link(&links_mbps);
    assert!(by_hash.iter().all(|watcher| seen.contains(watcher)));
}
