//! The choice of engines.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{
    dispatcher, dispatcher_with_settings, engine_facts, engine_id, lead_engine, ms, only_refusal,
    only_sent_attempt, request,
};
use cyclamengauge_core::{
    clock::Instant,
    dispatch::Settings,
    ids::{self, EngineId},
    request::{Prefix, PrefixHash, RefusalReason},
    routing::{
        self, Backlog, CacheEvent, ChoiceReason, Fleet, FleetSettings, LoadReport, PrefixIndex,
        Priority,
    },
    units::Tokens,
};

fn fleet(engines: usize, settings: FleetSettings) -> Fleet {
    let mut fleet = Fleet::new(settings);
    for i in 0..engines {
        fleet.upsert(engine_facts(i));
        fleet.set_usable(&engine_id(i), true);
    }
    fleet
}

fn busy(level: usize, tokens: f64) -> LoadReport {
    let mut backlog = Backlog::default();
    backlog.levels[level] = tokens;
    LoadReport {
        backlog,
        running: 1,
        ..LoadReport::default()
    }
}

#[test]
fn short_request_avoids_an_engine_that_reads_a_long_prompt() {
    let mut fleet = fleet(2, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy(7, 500_000.0), ms(100));
    for _ in 0..20 {
        let plan = fleet.plan(&request(1, 2_000), ms(101)).unwrap();
        assert_eq!(plan.segments[0].engine, engine_id(1));
    }
}

#[test]
fn short_request_overtakes_a_long_one_on_the_only_engine() {
    let mut fleet = fleet(1, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy(7, 500_000.0), ms(100));
    let plan = fleet.plan(&request(1, 2_000), ms(101)).unwrap();
    assert!(
        plan.estimate < Duration::from_millis(100),
        "{:?}",
        plan.estimate
    );
    assert_eq!(plan.priority, Priority(0));
}

#[test]
fn own_requests_since_the_report_count() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.arrive(request(1, 30_000), ms(1)));
    let second = only_sent_attempt(&dispatcher.arrive(request(2, 30_000), ms(1)));
    assert_ne!(lead_engine(&first), lead_engine(&second));
}

#[test]
fn reports_without_own_requests_do_not_count_them_twice() {
    let mut dispatcher = dispatcher(1);
    dispatcher.arrive(request(1, 100_000), ms(1));
    // The engine reports the request long after it was sent.
    let level = Priority::for_prefill(Tokens(100_000)).index();
    dispatcher.reported(&engine_id(0), 1, false, &busy(level, 100_000.0), ms(500));
    let engine = &dispatcher.fleet().engines()[0];
    let backlog = engine
        .load
        .backlog(ms(500), engine.facts.prefill_rate)
        .total();
    assert_eq!(backlog, 100_000.0);
    assert_eq!(engine.load.requests(), 1);
}

#[test]
fn others_backlog_is_worked_off_as_time_passes() {
    let mut fleet = fleet(1, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy(0, 50_000.0), ms(1_000));
    let engine = &fleet.engines()[0];
    let at = |t| {
        engine
            .load
            .backlog(ms(t), engine.facts.prefill_rate)
            .total()
    };
    assert!(at(1_000) > 45_000.0);
    assert!(at(1_500) < 25_000.0);
    assert_eq!(at(3_000), 0.0);
}

#[test]
fn instances_with_the_same_view_do_not_herd() {
    let mut chosen: BTreeMap<EngineId, u32> = BTreeMap::new();
    for seed in 0..200 {
        let settings = FleetSettings {
            seed,
            instances: 200,
            ..FleetSettings::default()
        };
        let plan = fleet(20, settings).plan(&request(1, 2_000), ms(1)).unwrap();
        *chosen.entry(plan.segments[0].engine.clone()).or_default() += 1;
    }
    let most = chosen.values().max().unwrap();
    assert!(chosen.len() >= 18, "{chosen:?}");
    assert!(*most <= 30, "{chosen:?}");
}

#[test]
fn nearer_engine_is_preferred_among_equals() {
    let mut fleet = fleet(1, FleetSettings::default());
    let mut far = engine_facts(1);
    far.network_delay = Duration::from_millis(30);
    fleet.upsert(far);
    fleet.set_usable(&engine_id(1), true);
    for _ in 0..20 {
        let plan = fleet.plan(&request(1, 2_000), ms(1)).unwrap();
        assert_eq!(plan.segments[0].engine, engine_id(0));
    }
}

fn with_prefix(number: u64, prompt: u64, hash: u64) -> cyclamengauge_core::request::Request {
    let mut wanted = request(number, prompt);
    wanted.prefixes = vec![Prefix {
        hash: PrefixHash(hash),
        length: Tokens(prompt / 2),
    }];
    wanted
}

#[test]
fn cached_prefix_attracts_until_the_load_outweighs_it() {
    let mut fleet = fleet(4, FleetSettings::default());
    let stored = [CacheEvent::Stored(PrefixHash(9))];
    fleet.apply_cache_events(&engine_id(2), 0, &stored, ms(1));
    let plan = fleet.plan(&with_prefix(1, 40_000, 9), ms(2)).unwrap();
    assert_eq!(plan.segments[0].engine, engine_id(2));
    assert_eq!(plan.choice, ChoiceReason::Cached);
    assert_eq!(plan.segments[0].prefill_tokens, Tokens(20_000));
    fleet.apply_report(&engine_id(2), &busy(0, 100_000.0), ms(3));
    let plan = fleet.plan(&with_prefix(1, 40_000, 9), ms(3)).unwrap();
    assert_ne!(plan.segments[0].engine, engine_id(2));
}

#[test]
fn gap_in_cache_events_halves_the_belief_until_confirmed() {
    let mut index = PrefixIndex::new(10);
    let prefix = Prefix {
        hash: PrefixHash(1),
        length: Tokens(1_000),
    };
    index.stored(3, prefix.hash, ms(1));
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(1_000))]);
    index.gap(3);
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(500))]);
    index.stored(3, prefix.hash, ms(2));
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(1_000))]);
    index.evicted(3, prefix.hash);
    assert!(index.lookup(&[prefix]).is_empty());
}

#[test]
fn prefix_index_is_bounded() {
    let mut index = PrefixIndex::new(100);
    (0..10_000).for_each(|i| index.stored(0, PrefixHash(i), ms(i)));
    assert_eq!(index.len(), 100);
}

#[test]
fn prompt_larger_than_an_engine_gets_a_group_with_enough_memory() {
    let mut fleet = fleet(8, FleetSettings::default());
    let wanted = request(1, 1_000_000);
    let plan = fleet.plan(&wanted, ms(1)).unwrap();
    assert_eq!(plan.choice, ChoiceReason::Group);
    let memory: Tokens = plan.segments.iter().map(|s| s.memory).sum();
    assert!(memory >= wanted.memory());
    let names: std::collections::BTreeSet<_> = plan.segments.iter().map(|s| &s.engine).collect();
    assert_eq!(names.len(), plan.segments.len());
    assert!(
        plan.segments
            .iter()
            .all(|s| s.memory.get() < common::ENGINE_MEMORY_TOKENS)
    );
}

#[test]
fn prompt_larger_than_the_fleet_is_refused_as_too_long() {
    let mut dispatcher = dispatcher(2);
    let refusal = only_refusal(&dispatcher.arrive(request(1, 1_000_000), ms(1)));
    assert_eq!(refusal.reason, RefusalReason::PromptTooLong);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn long_prompts_of_all_instances_share_the_same_engines() {
    let homes = |seed| {
        let mut fleet = fleet(
            20,
            FleetSettings {
                seed,
                ..FleetSettings::default()
            },
        );
        for i in 0..100 {
            fleet.record_admission(&request(i, 200_000), None, Instant::from_millis(i * 300));
        }
        fleet.rebalance(ms(30_000));
        let homes = fleet.engines().iter().filter(|e| e.in_long_pool);
        homes.map(|e| e.facts.id.clone()).collect::<Vec<_>>()
    };
    assert_eq!(homes(1), homes(2));
    let count = homes(1).len();
    assert!(
        (5..=15).contains(&count),
        "{count} engines for long prompts"
    );
}

#[test]
fn short_requests_keep_a_quarter_of_the_engines_whatever_the_mix() {
    let mut fleet = fleet(20, FleetSettings::default());
    for i in 0..1_000 {
        fleet.record_admission(&request(i, 900_000), None, ms(i * 10));
    }
    fleet.rebalance(ms(10_000));
    let homes = fleet.engines().iter().filter(|e| e.in_long_pool).count();
    assert_eq!(homes, 15);
}

#[test]
fn large_fleet_is_sampled_and_still_avoids_busy_engines() {
    let settings = Settings::default();
    let mut dispatcher = dispatcher_with_settings(760, settings);
    for i in 0..700 {
        dispatcher.reported(&engine_id(i), 1, false, &busy(0, 500_000.0), ms(1));
    }
    let mut good = 0;
    for i in 0..100 {
        let sending = only_sent_attempt(&dispatcher.arrive(request(i, 2_000), ms(2)));
        good += u32::from(sending.plan.estimate < Duration::from_secs(1));
    }
    // 32 of 760 drawn, 60 idle: one misses all in (700/760)^32 = 7 in 100.
    assert!(good >= 80, "{good} of 100 found an idle engine");
}

fn watchable(number: usize) -> routing::SubsetCandidate {
    routing::SubsetCandidate {
        id: engine_id(number),
        model: ids::ModelId::new(format!("m{}", number % 11)),
        data_centre: ids::DataCentreId::new(format!("dc{}", number % 10)),
    }
}

fn watched(instance: usize, engines: &[routing::SubsetCandidate]) -> Vec<EngineId> {
    let data_centre = ids::DataCentreId::new(format!("dc{}", instance % 10));
    routing::choose_subset(
        &ids::InstanceId::new(format!("i{instance}")),
        &data_centre,
        engines,
    )
}

#[test]
fn small_fleet_is_watched_whole() {
    let engines: Vec<_> = (0..23).map(watchable).collect();
    assert_eq!(watched(1, &engines).len(), 23);
}

#[test]
fn every_engine_of_the_target_is_watched_by_enough_instances() {
    let engines: Vec<_> = (0..7_600).map(watchable).collect();
    let mut watchers: BTreeMap<EngineId, u32> = BTreeMap::new();
    for instance in 0..260 {
        let subset = watched(instance, &engines);
        assert_eq!(subset.len(), 11 * routing::MAX_SUBSET_ENGINES);
        for engine in subset {
            *watchers.entry(engine).or_default() += 1;
        }
    }
    // A tenth of the target's instances, so 12 watchers on average.
    assert_eq!(watchers.len(), 7_600);
    let (least, most) = (watchers.values().min(), watchers.values().max());
    assert!(
        *least.unwrap() >= 2 && *most.unwrap() <= 30,
        "{least:?} to {most:?}"
    );
}

#[test]
fn lost_engine_changes_one_place_of_a_subset_at_most() {
    let engines: Vec<_> = (0..2_000).map(watchable).collect();
    let before = watched(7, &engines);
    for lost in [3, 500, 1_999] {
        let mut rest = engines.clone();
        rest.remove(lost);
        let after = watched(7, &rest);
        let gone = before.iter().filter(|id| !after.contains(id)).count();
        assert!(gone <= 1, "{gone} engines changed");
    }
}
