//! Text output of plans and status, and reading of declarations from files.

use std::path::Path;

use cyclamengauge_cli::{declaration, render};
use cyclamengauge_schema::v1;

#[test]
fn plan_lists_changes_orders_and_risks() {
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
      1. drain on e1 for model rounds; 3 engines left, minimum 2
    risks: none
    to accept this plan: cyclamengauge confirm 0123456789abcdef
    ");
}

#[test]
fn status_shows_instances_without_a_response() {
    let responding = v1::FleetStatus {
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
    let results = [
        ("10.0.1.1:8081".to_owned(), Ok(responding)),
        ("10.0.2.1:8081".to_owned(), Err("no response".to_owned())),
    ];
    insta::assert_snapshot!(render::status(&results), @r"
    address                instance   version ready  store  verified ago violations
    10.0.1.1:8081          i1               3 yes    down         120 ms          0
    10.0.2.1:8081          no response

    engine         state    model            in flight reserved tokens
    e1             leaving  rounds                   4            5000
    ");
}

#[test]
fn example_declaration_is_merged_from_its_files_and_valid() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/declaration");
    let declaration = declaration::read_and_validate(&dir).unwrap();
    assert_eq!(
        (declaration.models.len(), declaration.engines.len()),
        (1, 2)
    );
    assert_eq!(
        (declaration.services.len(), declaration.accounts.len()),
        (1, 1)
    );
}
