//! The log lines are those of the catalogue, and the operators' page lists them.

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
    events::{self, EventKind},
    ids::{AccountId, DataCentreId, EngineId, InstanceId, ServiceId},
    serving::targets::TargetFacts,
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_daemon::{
    node::Clock,
    telemetry::{
        self, Output, process_events,
        trace::{End, Placed, RequestLog, Step, Trace},
    },
};
use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

const TIME: Duration = Duration::from_millis(12);

/// Lines in memory.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// The fields of the lines that `write` writes, one map a line.
fn written(write: impl FnOnce()) -> Vec<BTreeMap<String, Value>> {
    let lines = Lines::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(lines.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, write);
    let bytes = lines.0.lock().unwrap();
    let text = std::str::from_utf8(&bytes).unwrap();
    let parsed = text.lines().map(|line| {
        let line: Value = serde_json::from_str(line).unwrap();
        let fields = line["fields"].as_object().unwrap().clone();
        fields.into_iter().collect()
    });
    parsed.collect()
}

/// Asserts that there is a line of each kind with all of its fields and no other.
fn assert_complete(kinds: &[EventKind], lines: &[BTreeMap<String, Value>]) {
    let mut seen = BTreeMap::<&str, BTreeSet<&str>>::new();
    for line in lines {
        let name = line[events::EVENT].as_str().unwrap();
        assert!(line.contains_key(events::MESSAGE), "{name} has no message");
        let fields = line.keys().map(String::as_str);
        let fields = fields.filter(|f| ![events::EVENT, events::MESSAGE].contains(f));
        seen.entry(name).or_default().extend(fields);
    }
    for kind in kinds {
        let fields: BTreeSet<&str> = kind.fields.iter().copied().collect();
        assert_eq!(seen.remove(kind.name), Some(fields), "{}", kind.name);
    }
    assert!(seen.is_empty(), "not in the catalogue: {seen:?}");
}

fn target() -> EngineId {
    EngineId::new("t1")
}

fn steps() -> Vec<Step> {
    vec![
        Step::Received {
            route: SmolStr::new("read"),
            service: ServiceId::new("engines"),
            account: Some(AccountId::new("lab")),
            content: "0f".to_owned(),
            prompt_tokens: Some(5_000),
            left: TIME,
            configuration_version: 3,
            configuration_age: TIME,
        },
        Step::Queued {
            wait: TIME,
            latest: TIME,
            peers: 4,
        },
        placed("t1"),
        Step::Reserved {
            engines: 2,
            memory: Tokens(500_000),
            took: TIME,
        },
        Step::TryFailed {
            target: target(),
            failure: "silent",
            cause: "nothing came".to_owned(),
            retries_left: 9,
        },
        Step::StreamBroke {
            target: target(),
            last_event: Some(3),
            cause: "reset".to_owned(),
        },
        Step::Resumed {
            target: target(),
            last_event: 3,
        },
    ]
}

fn placed(target: &str) -> Step {
    Step::Placed(Box::new(Placed {
        target: EngineId::new(target),
        helpers: 2,
        estimate: TIME,
        wait: TIME,
        target_requests: 1,
        target_failing: 0.1,
        runners_up: "t2 +1.00".to_owned(),
        excluded: 0,
        list_age: Some(TIME),
        peers: 4,
        news_age: TIME,
    }))
}

fn end(good: bool) -> End {
    End {
        outcome: if good { "served" } else { "late" },
        good,
        status: Some(200),
        first_event: Some(TIME),
        longest_gap: Some(TIME),
        retry_after: Some(TIME),
    }
}

fn log() -> Rc<RequestLog> {
    Rc::new(RequestLog::new(Clock::start()))
}

fn names(lines: &[BTreeMap<String, Value>]) -> Vec<&str> {
    let names = lines.iter().map(|line| line[events::EVENT].as_str());
    names.map(Option::unwrap).collect()
}

#[test]
fn lines_about_requests_are_those_of_the_catalogue() {
    let lines = written(|| {
        let trace = Trace::begin(&log(), SmolStr::new("r1"));
        steps().into_iter().for_each(|step| trace.add(step));
        trace.end(&end(false));
    });
    assert_complete(events::REQUEST_EVENTS, &lines);
}

#[test]
fn lines_about_the_process_are_those_of_the_catalogue() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let err = anyhow::anyhow!("no route");
    let facts = TargetFacts {
        id: target(),
        service: ServiceId::new("engines"),
        address,
        data_centre: DataCentreId::new("dc"),
        slots: 8,
        draining: false,
        born_unix_ms: 1,
    };
    let lines = written(|| {
        process_events::log_start(&InstanceId::new("a"), 1, address);
        process_events::log_reload(None);
        process_events::log_reload(Some(&err));
        process_events::log_shutdown(3, false);
        process_events::log_shutdown(0, true);
        process_events::log_placements("r1>t1");
        process_events::log_configuration(3, 2, "the store");
        process_events::log_configuration_faulty("the store", &err);
        process_events::log_target_listed(&facts, "the store");
        process_events::log_target_unlisted(&target(), TIME);
        process_events::log_target_entry_faulty("t1", &err);
        process_events::log_target_suspect(&target(), "silent", TIME);
        process_events::log_target_crashed("r1", &target(), &err);
        process_events::log_store_lost(&"targets", &err);
        process_events::log_store_back(&"targets", TIME);
        process_events::log_store_history_gone(&"targets");
        process_events::log_peers(4, 3);
        process_events::log_peer_faulty("b", &err);
        process_events::log_announce_failed(&err);
        process_events::log_reservation_failed("r1-0", &err);
        process_events::log_request_faulty("r1", &err);
    });
    assert_complete(events::PROCESS_EVENTS, &lines);
}

#[test]
fn the_operators_page_lists_the_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for kinds in [events::REQUEST_EVENTS, events::PROCESS_EVENTS] {
        let rows = events::page_rows(kinds);
        assert!(page.contains(&rows), "docs/OPERATIONS.md lacks:\n{rows}");
    }
}

/// Lines that the page shows are such as the program writes.
#[test]
fn lines_on_the_operators_page_are_of_the_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let lines = page
        .lines()
        .filter_map(|line| line.trim().strip_prefix('{'));
    let mut seen = BTreeSet::new();
    for line in lines {
        let line: Value = serde_json::from_str(&format!("{{{line}")).unwrap();
        let fields = line["fields"].as_object().unwrap();
        let name = fields[events::EVENT].as_str().unwrap();
        let kind = events::kind(name).unwrap_or_else(|| panic!("no event {name}"));
        for field in fields.keys() {
            let known = kind.fields.contains(&field.as_str());
            let common = [events::EVENT, events::MESSAGE].contains(&field.as_str());
            assert!(known || common, "{name} has no field {field}");
        }
        seen.insert(name.to_owned());
    }
    for needed in ["received", "placed", "try-failed", "stream-broke", "ended"] {
        assert!(seen.contains(needed), "the page shows no line `{needed}`");
    }
}

#[test]
fn requests_that_went_well_are_sampled_and_their_targets_summed_up() {
    let log = log();
    let lines = written(|| {
        for number in 0..64 {
            let trace = Trace::begin(&log, SmolStr::new(format!("r{number}")));
            trace.add(placed("t1"));
            trace.end(&end(true));
        }
        log.write_placements();
    });
    let ended = names(&lines)
        .iter()
        .filter(|name| **name == "ended")
        .count();
    assert_eq!(ended, 2);
    let sums = lines
        .iter()
        .filter(|l| l[events::EVENT] == events::PLACEMENTS);
    let placed = sums.map(|line| line[events::PLACED].as_str().unwrap());
    let placed: Vec<&str> = placed.flat_map(|text| text.split(' ')).collect();
    assert_eq!(placed.len(), 64);
    assert_eq!(placed[7], "r7>t1");
}

#[test]
fn a_request_that_needed_two_tries_is_written_in_full() {
    let log = log();
    let lines = written(|| {
        // The first one is a sample.
        for (id, targets) in [("r0", ["t1"].as_slice()), ("r1", &["t1", "t2"])] {
            let trace = Trace::begin(&log, SmolStr::new(id));
            targets.iter().for_each(|target| trace.add(placed(target)));
            trace.end(&end(true));
        }
    });
    let of_r1 = lines.iter().filter(|line| line[events::REQUEST] == "r1");
    assert_eq!(of_r1.count(), 3);
}

#[test]
fn a_request_whose_caller_left_has_its_trace() {
    let log = log();
    let lines = written(|| {
        let trace = Trace::begin(&log, SmolStr::new("r1"));
        trace.add(placed("t1"));
        drop(trace);
    });
    assert_eq!(names(&lines), ["placed", "ended"]);
    assert_eq!(lines[1]["outcome"], "caller-left");
}

#[test]
fn under_load_lines_are_bounded_and_what_is_left_out_is_said() {
    let log = log();
    let started = Instant::now();
    let lines = written(|| {
        for number in 0..2_000 {
            let trace = Trace::begin(&log, SmolStr::new(format!("r{number}")));
            steps().into_iter().for_each(|step| trace.add(step));
            trace.end(&end(false));
        }
    });
    let seconds = started.elapsed().as_secs() as usize + 2;
    assert!(lines.len() <= seconds * 1_000, "{} lines", lines.len());
    let left_out = lines.iter().filter(|line| line["event"] == "ended");
    assert!(left_out.clone().any(|line| line["left_out"] == 7));
    assert!(left_out.count() >= 500);
}

/// A reader that stops reading must not stop the daemon.
#[test]
fn a_full_pipe_loses_lines_and_blocks_nobody() {
    let (reader, writer) = nix::unistd::pipe().unwrap();
    let output = Output::new(writer).unwrap();
    let before = telemetry::dropped_lines();
    let line = [b'x'; 1_000];
    // A pipe holds 64 KiB by default, and a MiB at most without privileges.
    for _ in 0..2_000 {
        output.make_writer().write_all(&line).unwrap();
    }
    let lost = telemetry::dropped_lines() - before;
    assert!(lost > 0 && lost < 2_000, "{lost} lines lost");
    drop(reader);
}
