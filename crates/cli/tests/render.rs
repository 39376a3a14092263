//! Documents as people read them, and declarations read from files.

use std::path::Path;

use cyclamengauge_cli::{declaration, render};
use cyclamengauge_schema::v1;

#[test]
fn plan_is_readable() {
    let plan = v1::Plan {
        id: "0123456789abcdef".to_owned(),
        base_version: 7,
        changes: vec!["~ engine e1: drain unset -> true".to_owned()],
        steps: vec![v1::PlanStep {
            number: 1,
            engine: "e1".to_owned(),
            order: v1::OrderKind::Drain.into(),
            model: "rounds".to_owned(),
            engines_left: 3,
            engines_floor: 2,
        }],
        ..v1::Plan::default()
    };
    insta::assert_snapshot!(render::plan(&plan), @r"
    plan 0123456789abcdef from version 7
    changes:
      ~ engine e1: drain unset -> true
    orders to engines:
      1. drain on e1 for model rounds; 3 engines left, floor 2
    risks: none
    to accept: cyclamengauge confirm 0123456789abcdef
    ");
}

#[test]
fn status_shows_instances_that_do_not_answer() {
    let up = v1::FleetStatus {
        instance: "i1".to_owned(),
        version: 3,
        ready: true,
        confirmed_ago_ms: Some(120),
        engines: vec![v1::EngineStatus {
            name: "e1".to_owned(),
            state: "leaving".to_owned(),
            model: "rounds".to_owned(),
            in_flight: 4,
            reserved_tokens: 5_000,
        }],
        ..v1::FleetStatus::default()
    };
    let list = [
        ("10.0.1.1:8081".to_owned(), Ok(up)),
        ("10.0.2.1:8081".to_owned(), Err("no answer".to_owned())),
    ];
    insta::assert_snapshot!(render::status(&list), @r"
    address                instance   version ready  store    proven ago violations
    10.0.1.1:8081          i1               3 yes    down         120 ms          0
    10.0.2.1:8081          no answer

    engine         state    model            in flight reserved tokens
    e1             leaving  rounds                   4            5000
    ");
}

#[test]
fn example_declaration_is_joined_from_its_files_and_has_no_faults() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/declaration");
    let declaration = declaration::read_checked(&dir).unwrap();
    assert_eq!(
        (declaration.models.len(), declaration.engines.len()),
        (1, 2)
    );
    assert_eq!(
        (declaration.services.len(), declaration.accounts.len()),
        (1, 1)
    );
}
