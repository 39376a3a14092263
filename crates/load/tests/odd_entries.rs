//! Entries of another writer in what the daemons read on the project's own interface: the
//! instance list, the row of the configuration, the reports of engines.

#[allow(dead_code)]
mod faulty;

use std::time::Duration;

use cyclamengauge_load::harness::{Ended, Fleet};
use cyclamengauge_schema::v1;
use faulty::{ask, declare, faulty_declaration, fleet, report, run, start_faulty};
use serde_json::json;

/// Values that stand for no field of an entry.
fn odd_values() -> Vec<String> {
    let levels = 20_000;
    vec![
        "[".repeat(levels) + &"]".repeat(levels),
        "{\"a\":".repeat(levels) + "1" + &"}".repeat(levels),
        "1e400".to_owned(),
        "9".repeat(400),
        "18446744073709551616".to_owned(),
        "-1".to_owned(),
        "\"127.0.0.1:65536\"".to_owned(),
    ]
}

/// Guards against one odd entry of the instance list, after which the others are not read.
#[test]
fn odd_entries_of_the_instance_list_hide_no_others() {
    run(async {
        let mut fleet = fleet(2, 2).await?;
        let url = format!("http://{}/v1/instances", fleet.platform.address);
        for (number, value) in odd_values().into_iter().enumerate() {
            let state = match number % 2 {
                0 => "LISTED_STATE_LEAVING",
                _ => "LISTED_STATE_LIVE",
            };
            let list = format!(
                r#"{{"instances":[{value},{{"name":{value}}},{{"name":"e0","state":{value}}},
                {{"name":"x","other":{value}}},{{"name":"e1","state":"{state}"}}]}}"#
            );
            let sent = fleet.http.put(&url).send_body(list).await;
            sent.map_err(|err| anyhow::anyhow!("list: {err}"))?;
            let is_leaving = number % 2 == 0;
            let what = format!("the entry after {value:.20}");
            for at in 0..2 {
                let follows = async || {
                    let status = fleet.status(at).await?;
                    let mut engines = status.engines.iter();
                    let engine = engines.find(|engine| engine.name == "e1");
                    Ok(engine.is_some_and(|e| (e.state == "leaving") == is_leaving))
                };
                fleet.until(&what, follows).await?;
            }
            assert_eq!(ask(&fleet, number).await, Ended::Whole, "{what}");
        }
        assert!(fleet.daemons.iter_mut().all(|daemon| daemon.is_running()));
        Ok(())
    });
}

/// Writes the row of the configuration in place of whoever wrote it.
async fn write_configuration(fleet: &Fleet, value: Vec<u8>) -> anyhow::Result<()> {
    let url = format!("http://{}/v1/rows/configuration", fleet.platform.address);
    let sent = fleet.http.get(&url).send().await;
    let mut response = sent.map_err(|err| anyhow::anyhow!("read the row: {err}"))?;
    let row: v1::Row = serde_json::from_slice(&response.body().await?)?;
    let request = fleet.http.put(&url);
    let request = request.insert_header(("if-match", row.version.to_string()));
    let sent = request.send_body(value).await;
    let response = sent.map_err(|err| anyhow::anyhow!("write the row: {err}"))?;
    anyhow::ensure!(response.status().is_success(), "write the row");
    Ok(())
}

/// Guards against a row of another writer in place of the configuration: it would be adopted
/// unchecked, or operators could not put another one in force.
#[test]
fn odd_rows_of_the_configuration_are_left_out_and_replaced() {
    run(async {
        let mut fleet = fleet(2, 2).await?;
        let proper = fleet.declaration();
        let mut rows: Vec<Vec<u8>> = odd_values().into_iter().map(String::into_bytes).collect();
        for address in ["127.0.0.1:65536", "127.0.0.1:-1", "nowhere"] {
            let mut odd = proper.clone();
            odd.engines[0].address = address.to_owned();
            odd.services[0].targets[0].address = address.to_owned();
            let accepted = v1::Accepted {
                version: 1_000,
                declaration: Some(odd),
                ..v1::Accepted::default()
            };
            rows.push(serde_json::to_vec(&accepted)?);
        }
        let accepted = json!({"version": "1000", "declaration": {"engines": [{"slots": 1e30}]}});
        rows.push(accepted.to_string().into_bytes());
        rows.push(br#"{"version": "1000"}"#.to_vec());
        for (number, row) in rows.into_iter().enumerate() {
            let is_configuration = row.windows(8).any(|bytes| bytes == b"\"engines");
            write_configuration(&fleet, row).await?;
            // Longer than the interval at which the row is read.
            actix_rt::time::sleep(Duration::from_millis(700)).await;
            assert_eq!(ask(&fleet, number).await, Ended::Whole, "row {number}");
            if !is_configuration {
                continue;
            }
            for at in 0..2 {
                assert!(
                    fleet.status(at).await?.version < 1_000,
                    "row {number} is in force"
                );
            }
        }
        write_configuration(&fleet, b"[".to_vec()).await?;
        let mut next = proper;
        next.accounts[0].weight = 2.0;
        let version = fleet.put_in_force(next).await?;
        fleet.await_version(version).await?;
        assert_eq!(ask(&fleet, 100).await, Ended::Whole);
        assert!(fleet.daemons.iter_mut().all(|daemon| daemon.is_running()));
        Ok(())
    });
}

/// Guards against numbers in a report that end the task which calculates with them.
#[test]
fn odd_numbers_of_an_engine_leave_its_callers_served() {
    run(async {
        for report in [
            report(&[u64::MAX; 8], u32::MAX),
            report(&[u64::MAX], 0),
            report(&[0; 1_000], u32::MAX),
            report(&[], 0).replace("\"1000000\"", &"[".repeat(20_000)),
            report(&[], 0).replace("\"1000000\"", "1e400"),
        ] {
            let mut fleet = fleet(1, 1).await?;
            let address = start_faulty(report, "HTTP/1.1 503 X\r\n\r\n", "x");
            // One with an unreadable report is never live.
            let _ = actix_rt::time::timeout(
                Duration::from_secs(2),
                declare(&fleet, faulty_declaration(&fleet, &address)),
            )
            .await;
            for number in 0..5 {
                assert_eq!(ask(&fleet, number).await, Ended::Whole);
            }
            assert!(fleet.daemons[0].is_running());
        }
        Ok(())
    });
}
