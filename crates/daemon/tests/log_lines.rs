//! Checks log lines against the event catalogue, and the catalogue against the
//! operators' page; also sampling and rate limits of request lines.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    rc::Rc,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cyclamengauge_core::{
    clock,
    events::{self, EventKind},
    ids::{AccountId, DataCentreId, EngineId, InstanceId, PromptPartId, ServiceId},
    serving::{
        memory::MemoryError,
        pace::{PaceChange, PaceEstimate},
        reachability::{PathChange, PathState},
        store_calls::Outage,
        targets::TargetFacts,
        watchers::WatchState,
    },
    text::SmolStr,
    units::{RequestsPerSecond, Tokens},
};
use cyclamengauge_daemon::{
    node::Clock,
    telemetry::{
        self, LogWriter, process_events,
        trace::{PlacementDetails, RequestEnd, RequestLog, Trace, TraceEvent},
    },
};
use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

/// Value of every duration in the logged events.
const TEST_DURATION: Duration = Duration::from_millis(12);

/// Log output kept in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Runs `write` and returns the fields of the lines that it logs, one map per line.
fn capture_lines(write: impl FnOnce()) -> Vec<BTreeMap<String, Value>> {
    let buffer = LogBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(buffer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, write);
    let bytes = buffer.0.lock().unwrap();
    let text = std::str::from_utf8(&bytes).unwrap();
    let parsed = text.lines().map(|line| {
        let line: Value = serde_json::from_str(line).unwrap();
        let fields = line["fields"].as_object().unwrap().clone();
        fields.into_iter().collect()
    });
    parsed.collect()
}

/// Asserts that `lines` has lines of each of the kinds and of no others, and that the
/// lines of a kind have together all of its fields and no others.
fn assert_lines_match_catalogue(kinds: &[EventKind], lines: &[BTreeMap<String, Value>]) {
    let mut seen = BTreeMap::<&str, BTreeSet<&str>>::new();
    for line in lines {
        let name = line[events::EVENT_FIELD].as_str().unwrap();
        assert!(
            line.contains_key(events::MESSAGE_FIELD),
            "event {name} has no message"
        );
        let fields = line.keys().map(String::as_str);
        let fields = fields.filter(|f| ![events::EVENT_FIELD, events::MESSAGE_FIELD].contains(f));
        seen.entry(name).or_default().extend(fields);
    }
    for kind in kinds {
        let fields: BTreeSet<&str> = kind.fields.iter().copied().collect();
        assert_eq!(
            seen.remove(kind.name),
            Some(fields),
            "fields of event {}",
            kind.name
        );
    }
    assert!(
        seen.is_empty(),
        "events that are not in the catalogue: {seen:?}"
    );
}

fn target_id() -> EngineId {
    EngineId::new("t1")
}

fn pace_change() -> PaceChange {
    PaceChange {
        target: target_id(),
        before: 1.0,
        estimate: PaceEstimate {
            slowdown: 2.5,
            uncertainty: 0.1,
            weight: 8.0,
            knee: Some(4.0),
        },
    }
}

fn one_event_of_each_kind() -> Vec<TraceEvent> {
    vec![
        TraceEvent::Received {
            route: SmolStr::new("read"),
            service: ServiceId::new("engines"),
            account: Some(AccountId::new("lab")),
            fingerprint: "0f".to_owned(),
            shared_parts: vec![PromptPartId::new("p1")],
            prompt_tokens: Some(5_000),
            time_to_deadline: TEST_DURATION,
            configuration_version: 3,
            configuration_age: TEST_DURATION,
        },
        TraceEvent::Queued {
            expected_wait: TEST_DURATION,
            max_wait: TEST_DURATION,
            peers: 4,
        },
        placed_event("t1"),
        TraceEvent::AtLimit {
            targets: "t1 2 requests/s".to_owned(),
            wait: TEST_DURATION,
        },
        TraceEvent::HandedOver {
            peer: InstanceId::new("b"),
        },
        TraceEvent::TakenOver {
            sender: InstanceId::new("b"),
            service: ServiceId::new("engines"),
            time_to_deadline: TEST_DURATION,
            configuration_version: 3,
        },
        TraceEvent::Reserved {
            engines: 2,
            memory: Tokens(500_000),
            took: TEST_DURATION,
        },
        TraceEvent::AttemptFailed {
            target: target_id(),
            failure: "silent",
            cause: "no response".to_owned(),
            retries_left: 9,
        },
        TraceEvent::StreamBroke {
            target: target_id(),
            last_event_id: Some(3),
            cause: "reset".to_owned(),
        },
        TraceEvent::Resumed {
            target: target_id(),
            last_event_id: 3,
        },
    ]
}

fn placed_event(target: &str) -> TraceEvent {
    TraceEvent::Placed(Box::new(PlacementDetails {
        target: EngineId::new(target),
        helpers: 2,
        estimate: TEST_DURATION,
        wait: TEST_DURATION,
        target_requests: 1,
        target_failure_rate: 0.1,
        runners_up: "t2 +1.00".to_owned(),
        excluded: 0,
        at_limit: 0,
        list_age: Some(TEST_DURATION),
        peers: 4,
        peer_load_age: TEST_DURATION,
    }))
}

fn request_end(served_in_time: bool) -> RequestEnd {
    RequestEnd {
        outcome: if served_in_time { "served" } else { "late" },
        served_in_time,
        status: Some(200),
        first_event: Some(TEST_DURATION),
        longest_gap: Some(TEST_DURATION),
        retry_after: Some(TEST_DURATION),
    }
}

fn request_log() -> Rc<RequestLog> {
    Rc::new(RequestLog::new(Clock::start()))
}

fn event_names(lines: &[BTreeMap<String, Value>]) -> Vec<&str> {
    let names = lines.iter().map(|line| line[events::EVENT_FIELD].as_str());
    names.map(Option::unwrap).collect()
}

#[test]
fn request_lines_match_the_catalogue() {
    let lines = capture_lines(|| {
        let trace = Trace::begin(&request_log(), SmolStr::new("r1"));
        one_event_of_each_kind()
            .into_iter()
            .for_each(|event| trace.add(event));
        trace.end(&request_end(false));
    });
    assert_lines_match_catalogue(events::REQUEST_EVENTS, &lines);
}

#[test]
fn process_lines_match_the_catalogue() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let err = anyhow::anyhow!("no route");
    let facts = TargetFacts {
        id: target_id(),
        service: ServiceId::new("engines"),
        address,
        data_centre: DataCentreId::new("dc"),
        slots: 8,
        draining: false,
        started_unix_ms: 1,
        cold_remaining: Duration::ZERO,
    };
    let lines = capture_lines(|| {
        process_events::log_start(&InstanceId::new("a"), 1, address);
        process_events::log_reload(None);
        process_events::log_reload(Some(&err));
        process_events::log_shutdown(3, false);
        process_events::log_shutdown(0, true);
        process_events::log_placements("r1>t1");
        process_events::log_configuration(3, 2, "the store");
        process_events::log_configuration_faulty("the store", &err);
        process_events::log_target_listed(&facts, "the store");
        process_events::log_target_unlisted(&target_id(), TEST_DURATION);
        process_events::log_target_entry_faulty("t1", &err);
        process_events::log_rows_unreadable(&"targets", 1);
        process_events::log_target_suspect(&target_id(), "silent", TEST_DURATION);
        process_events::log_target_crashed("r1", &[PromptPartId::new("p1")], &target_id(), &err);
        process_events::log_crash_ruled_out("r1", &target_id());
        process_events::log_path(&PathChange {
            service: ServiceId::new("engines"),
            before: PathState::Doubtful,
            after: PathState::CutOff,
            failing_for: TEST_DURATION,
            failed_targets: 3,
            handed_over: 2,
            refused: 1,
        });
        process_events::log_store_lost(&"targets", &err);
        let limit = Some(RequestsPerSecond(1.5));
        process_events::log_target_limit(&target_id(), limit, limit, "a");
        process_events::log_pace_changes(&[pace_change()]);
        process_events::log_target_limit_faulty(&target_id(), &err);
        process_events::log_target_leaving(&target_id(), "a");
        process_events::log_target_paused(&target_id(), Duration::from_millis(1_500));
        process_events::log_target_notice_faulty(&target_id(), &err);
        process_events::log_evacuation(&DataCentreId::new("dc"), true, "a");
        process_events::log_evacuation_faulty("evacuate/dc", &err);
        process_events::log_part_refused(&PromptPartId::new("p1"), "a");
        process_events::log_part_allowed(&PromptPartId::new("p1"), "a");
        process_events::log_refused_parts_failed("read", &err);
        let outage = Outage {
            since: clock::Instant::ZERO,
            failed_calls: 3,
            latest_call: TEST_DURATION,
        };
        process_events::log_store_back(&"targets", &outage, clock::Instant::ZERO + TEST_DURATION);
        process_events::log_store_history_gone(&"targets");
        process_events::log_store_restored(3, 2);
        process_events::log_watch(WatchState::Fetching, WatchState::Watching);
        process_events::log_peers(4, 3);
        process_events::log_peer_faulty("b", &err);
        process_events::log_announce_failed(&err);
        process_events::log_reservation_failed("r1-0", &err);
        let error = MemoryError::Full {
            requested_bytes: 10,
            held_bytes: 95,
            limit_bytes: 100,
        };
        process_events::log_connections_closed("too-many", 3, "lab", "10.0.0.1");
        process_events::log_memory_short(error, 2);
        process_events::log_request_faulty("r1", &err);
    });
    assert_lines_match_catalogue(events::PROCESS_EVENTS, &lines);
}

#[test]
fn the_operators_page_lists_every_event() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for kinds in [events::REQUEST_EVENTS, events::PROCESS_EVENTS] {
        let rows = events::markdown_rows(kinds);
        assert!(page.contains(&rows), "docs/OPERATIONS.md lacks:\n{rows}");
    }
}

/// Sample lines on the operators' page must have the events and fields that the daemon
/// writes.
#[test]
fn sample_lines_on_the_operators_page_match_the_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let lines = page
        .lines()
        .filter_map(|line| line.trim().strip_prefix('{'));
    let mut seen = BTreeSet::new();
    for line in lines {
        let line: Value = serde_json::from_str(&format!("{{{line}")).unwrap();
        let fields = line["fields"].as_object().unwrap();
        let name = fields[events::EVENT_FIELD].as_str().unwrap();
        let kind =
            events::find_kind(name).unwrap_or_else(|| panic!("the catalogue has no event {name}"));
        for field in fields.keys() {
            let known = kind.fields.contains(&field.as_str());
            let common = [events::EVENT_FIELD, events::MESSAGE_FIELD].contains(&field.as_str());
            assert!(
                known || common,
                "event {name} has no field {field} in the catalogue"
            );
        }
        seen.insert(name.to_owned());
    }
    for required in ["received", "placed", "try-failed", "stream-broke", "ended"] {
        assert!(
            seen.contains(required),
            "docs/OPERATIONS.md shows no line of event `{required}`"
        );
    }
}

#[test]
fn requests_served_in_time_are_sampled_and_their_placements_summarized() {
    let log = request_log();
    let lines = capture_lines(|| {
        for number in 0..64 {
            let trace = Trace::begin(&log, SmolStr::new(format!("r{number}")));
            trace.add(placed_event("t1"));
            trace.end(&request_end(true));
        }
        log.write_placements();
    });
    let ended_count = event_names(&lines)
        .iter()
        .filter(|name| **name == "ended")
        .count();
    assert_eq!(ended_count, 2, "sampled requests out of 64");
    let summaries = lines
        .iter()
        .filter(|l| l[events::EVENT_FIELD] == events::PLACEMENTS_EVENT);
    let placements = summaries.map(|line| line[events::PLACED_FIELD].as_str().unwrap());
    let placements: Vec<&str> = placements.flat_map(|text| text.split(' ')).collect();
    assert_eq!(placements.len(), 64);
    assert_eq!(placements[7], "r7>t1");
}

#[test]
fn a_request_with_two_attempts_is_logged_with_all_its_events() {
    let log = request_log();
    let lines = capture_lines(|| {
        // r0 is logged as the first request of the sample.
        for (id, targets) in [("r0", ["t1"].as_slice()), ("r1", &["t1", "t2"])] {
            let trace = Trace::begin(&log, SmolStr::new(id));
            targets
                .iter()
                .for_each(|target| trace.add(placed_event(target)));
            trace.end(&request_end(true));
        }
    });
    let r1_lines = lines
        .iter()
        .filter(|line| line[events::REQUEST_FIELD] == "r1");
    assert_eq!(r1_lines.count(), 3);
}

#[test]
fn a_request_abandoned_by_its_client_is_logged() {
    let log = request_log();
    let lines = capture_lines(|| {
        let trace = Trace::begin(&log, SmolStr::new("r1"));
        trace.add(placed_event("t1"));
        drop(trace);
    });
    assert_eq!(event_names(&lines), ["placed", "ended"]);
    assert_eq!(lines[1]["outcome"], "caller-left");
}

#[test]
fn request_lines_are_limited_in_rate_and_dropped_lines_are_counted() {
    let log = request_log();
    let started = Instant::now();
    let lines = capture_lines(|| {
        for number in 0..2_000 {
            let trace = Trace::begin(&log, SmolStr::new(format!("r{number}")));
            one_event_of_each_kind()
                .into_iter()
                .for_each(|event| trace.add(event));
            trace.end(&request_end(false));
        }
    });
    let seconds = started.elapsed().as_secs() as usize + 2;
    assert!(
        lines.len() <= seconds * 1_000,
        "expected at most 1,000 lines per second, got {} in {seconds} s",
        lines.len()
    );
    let ended = lines.iter().filter(|line| line["event"] == "ended");
    let event_count = one_event_of_each_kind().len();
    assert!(
        ended.clone().any(|line| line["left_out"] == event_count),
        "expected a request whose event lines were all dropped"
    );
    assert!(ended.count() >= 500, "expected at least 500 last lines");
}

/// The daemon must not block on its log output if the reader of the pipe stops
/// reading.
#[test]
fn writes_to_a_full_pipe_drop_lines_without_blocking() {
    let (reader, writer) = nix::unistd::pipe().unwrap();
    let log_writer = LogWriter::new(writer).unwrap();
    let before = telemetry::dropped_lines();
    let line = [b'x'; 1_000];
    // A pipe buffers 64 KiB by default, and at most 1 MiB without privileges.
    for _ in 0..2_000 {
        log_writer.make_writer().write_all(&line).unwrap();
    }
    let dropped = telemetry::dropped_lines() - before;
    assert!(
        dropped > 0 && dropped < 2_000,
        "expected a part of the 2,000 lines to be dropped, got {dropped}"
    );
    drop(reader);
}
