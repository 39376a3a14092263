//! Tests of the selection of engines.

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

fn busy_report(level: usize, tokens: f64) -> LoadReport {
    let mut backlog = Backlog::default();
    backlog.levels[level] = tokens;
    LoadReport {
        backlog,
        running: 1,
        ..LoadReport::default()
    }
}

#[test]
fn short_request_avoids_engine_with_queued_long_prompt() {
    let mut fleet = fleet(2, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy_report(7, 500_000.0), ms(100));
    for _ in 0..20 {
        let plan = fleet.plan(&request(1, 2_000), ms(101)).unwrap();
        assert_eq!(plan.segments[0].engine, engine_id(1));
    }
}

#[test]
fn short_request_has_priority_over_long_prompt_on_same_engine() {
    let mut fleet = fleet(1, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy_report(7, 500_000.0), ms(100));
    let plan = fleet.plan(&request(1, 2_000), ms(101)).unwrap();
    assert!(
        plan.estimate < Duration::from_millis(100),
        "expected an estimate below 100 ms, got {:?}",
        plan.estimate
    );
    assert_eq!(plan.priority, Priority(0));
}

#[test]
fn requests_sent_after_last_report_count_as_load() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 30_000), ms(1)));
    let second = only_sent_attempt(&dispatcher.submit_request(request(2, 30_000), ms(1)));
    assert_ne!(lead_engine(&first), lead_engine(&second));
}

#[test]
fn reported_own_request_is_not_counted_twice() {
    let mut dispatcher = dispatcher(1);
    dispatcher.submit_request(request(1, 100_000), ms(1));
    // Taken long after the request was sent, so the report contains the request.
    let level = Priority::for_prefill(Tokens(100_000)).index();
    dispatcher.handle_report(
        &engine_id(0),
        1,
        false,
        &busy_report(level, 100_000.0),
        ms(500),
    );
    let engine = &dispatcher.fleet().engines()[0];
    let backlog = engine
        .load
        .backlog(ms(500), engine.facts.prefill_rate)
        .total();
    assert_eq!(backlog, 100_000.0);
    assert_eq!(engine.load.requests(), 1);
}

#[test]
fn peer_backlog_decreases_at_prefill_rate() {
    let mut fleet = fleet(1, FleetSettings::default());
    fleet.apply_report(&engine_id(0), &busy_report(0, 50_000.0), ms(1_000));
    let engine = &fleet.engines()[0];
    let backlog_at = |t| {
        engine
            .load
            .backlog(ms(t), engine.facts.prefill_rate)
            .total()
    };
    assert!(backlog_at(1_000) > 45_000.0);
    assert!(backlog_at(1_500) < 25_000.0);
    assert_eq!(backlog_at(3_000), 0.0);
}

#[test]
fn instances_with_equal_state_spread_over_engines() {
    let mut request_counts: BTreeMap<EngineId, u32> = BTreeMap::new();
    for seed in 0..200 {
        let settings = FleetSettings {
            seed,
            instances: 200,
            ..FleetSettings::default()
        };
        let plan = fleet(20, settings).plan(&request(1, 2_000), ms(1)).unwrap();
        *request_counts
            .entry(plan.segments[0].engine.clone())
            .or_default() += 1;
    }
    let max_count = request_counts.values().max().unwrap();
    assert!(
        request_counts.len() >= 18,
        "expected at least 18 chosen engines: {request_counts:?}"
    );
    assert!(
        *max_count <= 30,
        "expected at most 30 requests per engine: {request_counts:?}"
    );
}

#[test]
fn engine_with_lower_network_delay_is_chosen_among_equals() {
    let mut fleet = fleet(1, FleetSettings::default());
    let mut distant = engine_facts(1);
    distant.network_delay = Duration::from_millis(30);
    fleet.upsert(distant);
    fleet.set_usable(&engine_id(1), true);
    for _ in 0..20 {
        let plan = fleet.plan(&request(1, 2_000), ms(1)).unwrap();
        assert_eq!(plan.segments[0].engine, engine_id(0));
    }
}

fn request_with_prefix(
    number: u64,
    prompt: u64,
    hash: u64,
) -> cyclamengauge_core::request::Request {
    let mut request = request(number, prompt);
    request.prefixes = vec![Prefix {
        hash: PrefixHash(hash),
        length: Tokens(prompt / 2),
    }];
    request
}

#[test]
fn cached_prefix_is_used_unless_load_outweighs_hit() {
    let mut fleet = fleet(4, FleetSettings::default());
    let stored = [CacheEvent::Stored(PrefixHash(9))];
    fleet.apply_cache_events(&engine_id(2), 0, &stored, ms(1));
    let plan = fleet
        .plan(&request_with_prefix(1, 40_000, 9), ms(2))
        .unwrap();
    assert_eq!(plan.segments[0].engine, engine_id(2));
    assert_eq!(plan.choice, ChoiceReason::Cached);
    assert_eq!(plan.segments[0].prefill_tokens, Tokens(20_000));
    fleet.apply_report(&engine_id(2), &busy_report(0, 100_000.0), ms(3));
    let plan = fleet
        .plan(&request_with_prefix(1, 40_000, 9), ms(3))
        .unwrap();
    assert_ne!(plan.segments[0].engine, engine_id(2));
}

#[test]
fn gap_in_cache_events_halves_expected_hit_until_next_event() {
    let mut index = PrefixIndex::new(10);
    let prefix = Prefix {
        hash: PrefixHash(1),
        length: Tokens(1_000),
    };
    index.record_stored(3, prefix.hash, ms(1));
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(1_000))]);
    index.record_event_gap(3);
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(500))]);
    index.record_stored(3, prefix.hash, ms(2));
    assert_eq!(index.lookup(&[prefix]), [(3, Tokens(1_000))]);
    index.record_evicted(3, prefix.hash);
    assert!(index.lookup(&[prefix]).is_empty());
}

#[test]
fn prefix_index_is_bounded() {
    let mut index = PrefixIndex::new(100);
    (0..10_000).for_each(|i| index.record_stored(0, PrefixHash(i), ms(i)));
    assert_eq!(index.len(), 100);
}

#[test]
fn prompt_larger_than_engine_memory_gets_group_with_enough_memory() {
    let mut fleet = fleet(8, FleetSettings::default());
    let large_request = request(1, 1_000_000);
    let plan = fleet.plan(&large_request, ms(1)).unwrap();
    assert_eq!(plan.choice, ChoiceReason::Group);
    let memory: Tokens = plan.segments.iter().map(|s| s.memory).sum();
    assert!(memory >= large_request.memory());
    let names: std::collections::BTreeSet<_> = plan.segments.iter().map(|s| &s.engine).collect();
    assert_eq!(names.len(), plan.segments.len());
    assert!(
        plan.segments
            .iter()
            .all(|s| s.memory.get() < common::ENGINE_MEMORY_TOKENS)
    );
}

#[test]
fn prompt_larger_than_fleet_memory_is_refused_as_too_long() {
    let mut dispatcher = dispatcher(2);
    let refusal = only_refusal(&dispatcher.submit_request(request(1, 1_000_000), ms(1)));
    assert_eq!(refusal.reason, RefusalReason::PromptTooLong);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn long_pool_is_the_same_on_all_instances() {
    let long_pool = |seed| {
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
        let long_pool = fleet.engines().iter().filter(|e| e.in_long_pool);
        long_pool.map(|e| e.facts.id.clone()).collect::<Vec<_>>()
    };
    assert_eq!(long_pool(1), long_pool(2));
    let count = long_pool(1).len();
    assert!(
        (5..=15).contains(&count),
        "expected 5 to 15 engines in the long pool, got {count}"
    );
}

#[test]
fn long_pool_never_exceeds_three_quarters_of_engines() {
    let mut fleet = fleet(20, FleetSettings::default());
    for i in 0..1_000 {
        fleet.record_admission(&request(i, 900_000), None, ms(i * 10));
    }
    fleet.rebalance(ms(10_000));
    let pool_size = fleet.engines().iter().filter(|e| e.in_long_pool).count();
    assert_eq!(pool_size, 15);
}

#[test]
fn sampling_of_large_fleet_avoids_busy_engines() {
    let settings = Settings::default();
    let mut dispatcher = dispatcher_with_settings(760, settings);
    for i in 0..700 {
        dispatcher.handle_report(&engine_id(i), 1, false, &busy_report(0, 500_000.0), ms(1));
    }
    let mut idle_count = 0;
    for i in 0..100 {
        let attempt = only_sent_attempt(&dispatcher.submit_request(request(i, 2_000), ms(2)));
        idle_count += u32::from(attempt.plan.estimate < Duration::from_secs(1));
    }
    // 32 of 760 engines are sampled and 60 are idle, so a sample contains no idle engine
    // with a probability of (700/760)^32, about 7 %.
    assert!(
        idle_count >= 80,
        "expected at least 80 of 100 requests on an idle engine, got {idle_count}"
    );
}

fn subset_candidate(number: usize) -> routing::SubsetCandidate {
    routing::SubsetCandidate {
        id: engine_id(number),
        model: ids::ModelId::new(format!("m{}", number % 11)),
        data_centre: ids::DataCentreId::new(format!("dc{}", number % 10)),
    }
}

fn subset_of(instance: usize, engines: &[routing::SubsetCandidate]) -> Vec<EngineId> {
    let data_centre = ids::DataCentreId::new(format!("dc{}", instance % 10));
    routing::choose_subset(
        &ids::InstanceId::new(format!("i{instance}")),
        &data_centre,
        engines,
    )
}

#[test]
fn subset_contains_all_engines_of_small_fleet() {
    let engines: Vec<_> = (0..23).map(subset_candidate).collect();
    assert_eq!(subset_of(1, &engines).len(), 23);
}

#[test]
fn every_engine_of_largest_fleet_is_in_several_subsets() {
    let engines: Vec<_> = (0..7_600).map(subset_candidate).collect();
    let mut subset_counts: BTreeMap<EngineId, u32> = BTreeMap::new();
    for instance in 0..260 {
        let subset = subset_of(instance, &engines);
        assert_eq!(subset.len(), 11 * routing::MAX_SUBSET_ENGINES);
        for engine in subset {
            *subset_counts.entry(engine).or_default() += 1;
        }
    }
    // 260 instances are a tenth of those in the largest deployment; an engine is in the
    // subsets of 12 of them on average.
    assert_eq!(subset_counts.len(), 7_600);
    let (min_count, max_count) = (subset_counts.values().min(), subset_counts.values().max());
    assert!(
        *min_count.unwrap() >= 2 && *max_count.unwrap() <= 30,
        "expected each engine in 2 to 30 subsets, got {min_count:?} to {max_count:?}"
    );
}

#[test]
fn removal_of_engine_changes_at_most_one_subset_member() {
    let engines: Vec<_> = (0..2_000).map(subset_candidate).collect();
    let before = subset_of(7, &engines);
    for removed in [3, 500, 1_999] {
        let mut remaining = engines.clone();
        remaining.remove(removed);
        let after = subset_of(7, &remaining);
        let replaced = before.iter().filter(|id| !after.contains(id)).count();
        assert!(
            replaced <= 1,
            "expected at most 1 replaced engine, got {replaced}"
        );
    }
}
