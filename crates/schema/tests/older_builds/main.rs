//! Messages between instances of this build and of older ones, which run side by side
//! while machines are replaced.
//!
//! `5cc2445/` holds messages as that commit encoded them, `v5cc2445.rs` the types with which
//! it decodes. Both are frozen: a change that breaks these tests breaks a mixed fleet.

mod v5cc2445;

use std::path::PathBuf;

use cyclamengauge_schema::v1;
use prost::Message;
use v5cc2445 as old;

/// Environment variable with which the frozen messages are written. Only for a further
/// older build, never for one that has messages here.
const WRITE_VARIABLE: &str = "CYCLAMENGAUGE_WRITE_FROZEN_MESSAGES";

fn old_gossip() -> old::Gossip {
    old::Gossip {
        instance: "front-1".into(),
        incarnation: 1_700_000_000_000_000,
        sequence: 42,
        peer_address: "10.1.0.9:8425".into(),
        configuration_version: 7,
        loads: vec![old::TargetLoad {
            target: "engine-3".into(),
            requests: 4,
            writers: 3,
            backlog_ms: 120,
            memory_tokens: 90_000,
            strictest_gap_ms: 200,
            heard_ms: Some(15),
            value: 2.5,
            overdue_backlog_ms: 30,
            overdue_in_ms: 80,
        }],
        crashes: vec![old::ContentCrashes {
            fingerprint: vec![7; 16],
            crashes: vec!["engine-3/r1".into()],
        }],
        waiting: vec![old::WaitingPrompt {
            slack_ms: -5,
            work_ms: 900,
        }],
        leaving: vec![old::LeavingTarget {
            target: "engine-4".into(),
            rest_ms: 1_500,
        }],
        list_version: 311,
        changes_only: true,
        data_centre: "harbor-a".into(),
        forward: true,
        watch_state: old::WatchState::Watching.into(),
        store_success_age_ms: Some(20),
        part_crashes: vec![old::PartCrashes {
            part: "bad0".into(),
            position: 1,
            crashes: vec![old::EngineCrash {
                engine: "engine-3".into(),
                age_ms: 400,
            }],
            completion_age_ms: Some(9_000),
            has_other_completed: true,
        }],
        target_limits: vec![old::TargetLimit {
            target: "engine-5".into(),
            limit_per_s: 15.0,
            named_age_ms: Some(10),
            doubted_age_ms: None,
            withdrawn_age_ms: None,
            sent_count: 3.5,
        }],
        list_era: 2,
        paths: vec![old::ServicePath {
            service: "assistant-pool".into(),
            open: true,
            connected_age_ms: Some(12),
        }],
        requests_in_progress: 9,
        takes_requests: true,
    }
}

fn old_target_list() -> old::TargetList {
    old::TargetList {
        version: 311,
        targets: vec![
            old::ListedTarget {
                key: "engine-3".into(),
                entry: Some(b"{}".to_vec()),
            },
            old::ListedTarget {
                key: "engine-4".into(),
                entry: None,
            },
        ],
        changes_only: true,
        store_failure_age_ms: Some(700),
        era: 2,
    }
}

fn old_handed_over_request() -> old::HandedOverRequest {
    old::HandedOverRequest {
        sender: "front-1".into(),
        sender_incarnation: 1_700_000_000_000_000,
        number: 3,
        recipient: "front-2".into(),
        recipient_incarnation: 1_700_000_000_000_001,
        request: "r1".into(),
        method: "POST".into(),
        uri: "/draft/".into(),
        headers: vec![old::Header {
            name: "host".into(),
            value: b"h.example".to_vec(),
        }],
        body: b"prompt".to_vec(),
        route: "draft".into(),
        route_kind: old::RouteKind::ResumableStream.into(),
        objective_ms: 250,
        gap_objective_ms: Some(200),
        service: "assistant-pool".into(),
        account: Some("lab".into()),
        rank: 1,
        prompt: Some(old::PromptSize {
            prompt_tokens: 5_000,
            output_tokens: 1_600,
        }),
        fingerprint: vec![7; 16],
        shared_parts: vec!["c0de".into()],
        time_left_ms: 9_000,
        age_ms: 30,
        last_event_id: Some("12".into()),
        excluded: vec!["engine-3".into()],
        configuration_version: 7,
        may_retry: true,
        mac: vec![9; 32],
        last_event_age_ms: Some(50),
    }
}

fn path(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/older_builds/5cc2445");
    folder.join(name)
}

/// Returns a frozen message, encoded by commit 5cc2445.
fn frozen(name: &str) -> Vec<u8> {
    let path = path(name);
    std::fs::read(&path).unwrap_or_else(|err| panic!("read {}: {err}", path.display()))
}

/// Checks that this build reads a frozen message without loss, and that the older build
/// reads the same from what this build writes.
fn check<Old, New>(name: &str, expected: &Old)
where
    Old: Message + Default + PartialEq + std::fmt::Debug,
    New: Message + Default,
{
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(path(name), expected.encode_to_vec()).unwrap();
    }
    let bytes = frozen(name);
    assert_eq!(&Old::decode(&bytes[..]).unwrap(), expected, "{name}");
    let new = New::decode(&bytes[..]).unwrap_or_else(|err| panic!("{name}: {err}"));
    let written = new.encode_to_vec();
    assert_eq!(written, bytes, "{name}: this build writes other bytes");
}

/// Guards against a field that changes its number, type or meaning.
#[test]
fn messages_of_the_older_build_are_read_and_written_without_loss() {
    check::<_, v1::Gossip>("gossip.bin", &old_gossip());
    check::<_, v1::TargetList>("target_list.bin", &old_target_list());
    // The receiver checks the code of a request over its own encoding of it, so that an
    // older build refuses a request with fields that it does not know.
    check::<_, v1::HandedOverRequest>("handed_over_request.bin", &old_handed_over_request());
}

/// Guards against new fields that make a message unreadable for an older build.
#[test]
fn the_older_build_reads_gossip_with_new_fields() {
    let bytes = frozen("gossip.bin");
    let mut new = v1::Gossip::decode(&bytes[..]).unwrap();
    new.link_mbps = Some(14);
    new.serves_configuration_parts = true;
    let read = old::Gossip::decode(&new.encode_to_vec()[..]).unwrap();
    assert_eq!(read, old_gossip());
    // As an older build forwards it.
    let forwarded = v1::Gossip::decode(&read.encode_to_vec()[..]).unwrap();
    assert_eq!(forwarded.link_mbps, None);
    assert!(!forwarded.serves_configuration_parts);
    assert_eq!(forwarded.configuration_version, 7);
}
