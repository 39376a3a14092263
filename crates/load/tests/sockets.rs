//! Failures over real sockets, with processes that are killed, stopped and
//! restarted. Each test starts an installation of its own; bounds on waiting
//! only end a test that would never end, and are no verdict on speed.

use std::{path::Path, time::Duration};

use cyclamengauge_load::{
    harness::{Caller, Ended, Fleet, FleetOptions},
    model::Deployment,
};
use cyclamengauge_schema::v1;
use futures_util::future;
use nix::sys::signal::Signal;

const DEADLINE: Duration = Duration::from_secs(60);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cyclamengauge-load"))
}

fn run<F: Future<Output = anyhow::Result<()>>>(test: F) {
    actix_rt::System::new().block_on(test).unwrap();
}

async fn fleet(engines: usize, daemons: usize) -> anyhow::Result<Fleet> {
    let options = FleetOptions {
        engines,
        daemons,
        deployment: Deployment::MoosachIsental,
    };
    let fleet = Fleet::start(program(), options).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    Ok(fleet)
}

fn daemons(fleet: &Fleet) -> Vec<String> {
    fleet.daemons.iter().map(|d| d.address.clone()).collect()
}

/// Prompts that differ, so that no answer fits another's prompt.
fn prompt(number: usize) -> String {
    format!("request {number} {}", "word ".repeat(1_000 + number))
}

async fn send(caller: &Caller, daemons: &[String], count: usize, output: u64) -> Vec<Ended> {
    let sending = (0..count).map(|i| {
        let mut order = daemons.to_vec();
        order.rotate_left(i % daemons.len());
        async move {
            let text = prompt(i);
            caller
                .complete(&order, i, &text, output, DEADLINE)
                .await
                .ended
        }
    });
    future::join_all(sending).await
}

fn kind(ended: &Ended) -> &str {
    match ended {
        Ended::Refused { kind, .. } => kind,
        _ => "",
    }
}

#[test]
fn killed_engine_costs_no_caller_an_answer() {
    run(async {
        let mut fleet = fleet(4, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let sending = send(&caller, &daemons, 30, 100);
        let killing = async {
            actix_rt::time::sleep(Duration::from_millis(700)).await;
            fleet.engines[0].kill();
        };
        let (ends, ()) = future::join(sending, killing).await;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        Ok(())
    });
}

#[test]
fn drained_daemon_cuts_off_nobody_and_ends_with_zero() {
    run(async {
        let mut fleet = fleet(3, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let sending = send(&caller, &daemons, 20, 100);
        let draining = async {
            actix_rt::time::sleep(Duration::from_millis(600)).await;
            fleet.daemons[0].signal(Signal::SIGTERM)
        };
        let (ends, drained) = future::join(sending, draining).await;
        drained?;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        let code = fleet.daemons[0].ended(Duration::from_secs(30)).await;
        assert_eq!(code, Some(0), "{}", fleet.daemons[0].log());
        let later = send(&caller, &daemons, 4, 5).await;
        assert!(
            later.iter().all(|ended| *ended == Ended::Whole),
            "{later:?}"
        );
        Ok(())
    });
}

#[test]
fn killed_daemon_leaves_no_memory_reserved() {
    run(async {
        let mut fleet = fleet(4, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        // A prompt of about a million tokens needs a group of engines.
        let text = "archive ".repeat(500_000);
        let first = vec![daemons[0].clone()];
        let asking = caller.complete(&first, 0, &text, 200, DEADLINE);
        let killing = async {
            fleet
                .until(
                    "a reservation",
                    async || Ok(reservations(&fleet).await? > 0),
                )
                .await?;
            fleet.daemons[0].kill();
            anyhow::Ok(())
        };
        let (_, killed) = future::join(asking, killing).await;
        killed?;
        fleet
            .until("the release of orphans", async || {
                Ok(reservations(&fleet).await? == 0)
            })
            .await
    });
}

async fn reservations(fleet: &Fleet) -> anyhow::Result<usize> {
    let mut count = 0;
    for engine in 0..fleet.engines.len() {
        count += fleet.report(engine).await?.reservations.len();
    }
    Ok(count)
}

#[test]
fn million_token_prompt_is_answered_whole_and_gives_its_memory_back() {
    run(async {
        let fleet = fleet(4, 1).await?;
        let caller = Caller::new();
        let text = "archive ".repeat(500_000);
        let answer = caller
            .complete(&daemons(&fleet), 0, &text, 20, DEADLINE)
            .await;
        assert_eq!(answer.ended, Ended::Whole);
        fleet
            .until("the release", async || Ok(reservations(&fleet).await? == 0))
            .await
    });
}

#[test]
fn stalled_engine_is_left_and_its_streams_are_resumed() {
    run(async {
        let fleet = fleet(3, 1).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let sending = send(&caller, &daemons, 12, 120);
        let stalling = async {
            actix_rt::time::sleep(Duration::from_millis(700)).await;
            fleet.stall_engine(1, true).await
        };
        let (ends, stalled) = future::join(sending, stalling).await;
        stalled?;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        Ok(())
    });
}

/// Guards against an engine that is only silent for a while and is taken for a crashed one:
/// the prompt on it would be quarantined everywhere.
#[test]
fn paused_engine_keeps_its_request_and_the_prompt_is_not_quarantined() {
    run(async {
        let fleet = fleet(1, 1).await?;
        let mut patient = fleet.declaration();
        if let Some(routing) = &mut patient.routing {
            routing.stall_timeout_ms = 20_000;
        }
        let version = fleet.put_in_force(patient).await?;
        fleet.await_version(version).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let text = prompt(1);
        let asking = caller.complete(&daemons, 0, &text, 400, DEADLINE);
        let pausing = async {
            for _ in 0..2 {
                actix_rt::time::sleep(Duration::from_millis(1_000)).await;
                fleet.engines[0].signal(Signal::SIGSTOP)?;
                // Longer than the age from which a report is stale, and the time of a probe.
                actix_rt::time::sleep(Duration::from_millis(4_500)).await;
                fleet.engines[0].signal(Signal::SIGCONT)?;
            }
            anyhow::Ok(())
        };
        let (answer, paused) = future::join(asking, pausing).await;
        paused?;
        assert_eq!(answer.ended, Ended::Whole);
        assert_eq!(fleet.report(0).await?.requests, 1, "it was made again");
        Ok(())
    });
}

#[test]
fn crashing_prompt_takes_down_two_engines_and_is_quarantined_everywhere() {
    run(async {
        let mut fleet = fleet(6, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let poison = format!("{} {}", cyclamengauge_load::standins::POISON, prompt(1));
        let first = vec![daemons[0].clone()];
        let neighbours = send(&caller, &daemons, 20, 80);
        let crashing = caller.complete(&first, 0, &poison, 10, DEADLINE);
        let (ends, crashed) = future::join(neighbours, crashing).await;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        assert_eq!(kind(&crashed.ended), "content-quarantined", "{crashed:?}");
        let mut down = 0;
        for engine in &mut fleet.engines {
            down += usize::from(!engine.is_running());
        }
        assert_eq!(down, 2);
        // The caller sends it again to another instance, which has heard of it.
        let second = vec![daemons[1].clone()];
        fleet
            .until("the verdict at the other instance", async || {
                let again = caller.complete(&second, 1, &poison, 10, DEADLINE).await;
                Ok(kind(&again.ended) == "content-quarantined")
            })
            .await
    });
}

#[test]
fn booking_resent_to_other_instances_runs_once() {
    run(async {
        let fleet = fleet(1, 3).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        for number in 0..10 {
            let body = format!("booking {number}");
            let sending = daemons
                .iter()
                .map(|d| caller.book(d, 0, Some(&body), &body));
            let answers = future::join_all(sending).await;
            assert!(answers.iter().any(|a| a.status == 201), "{answers:?}");
        }
        let runs = fleet.runs().await?;
        assert_eq!(runs.len(), 10);
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        let again = caller
            .book(&daemons[2], 0, Some("booking 3"), "booking 3")
            .await;
        assert!(again.status == 201 && again.replayed, "{again:?}");
        Ok(())
    });
}

#[test]
fn booking_without_a_key_on_a_declared_route_runs_once() {
    run(async {
        let fleet = fleet(1, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let first = caller.book(&daemons[0], 0, None, "van 7").await;
        let again = caller.book(&daemons[1], 0, None, "van 7").await;
        assert_eq!((first.status, again.status), (201, 201));
        assert!(again.replayed);
        assert_eq!(fleet.runs().await?["van 7"], 1);
        Ok(())
    });
}

#[test]
fn booking_survives_lost_replies_of_the_store() {
    run(async {
        let fleet = fleet(1, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        fleet.platform_fault("lose-claim-replies", 1).await?;
        let answer = caller.book(&daemons[0], 0, Some("k"), "lost reply").await;
        assert_eq!(answer.status, 201, "{answer:?}");
        assert_eq!(fleet.runs().await?["lost reply"], 1);
        Ok(())
    });
}

#[test]
fn booking_is_truly_refused_while_the_store_is_down() {
    run(async {
        let fleet = fleet(1, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        fleet.platform_fault("down", 1).await?;
        let refused = caller.book(&daemons[0], 0, Some("k"), "outage").await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.body.contains("\"ran\":\"no\""), "{refused:?}");
        assert!(fleet.runs().await?.is_empty());
        // Completions need no store.
        let ends = send(&caller, &daemons, 4, 5).await;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        fleet.platform_fault("down", 0).await?;
        let answer = caller.book(&daemons[1], 0, Some("k"), "outage").await;
        assert_eq!(answer.status, 201, "{answer:?}");
        Ok(())
    });
}

#[test]
fn daemon_killed_during_a_booking_leaves_it_unknown_and_never_run_again() {
    run(async {
        let mut fleet = fleet(1, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        // The claim takes effect, its reply is lost, and the owner dies while it
        // waits; so the claim stands and the call has not run.
        fleet.platform_fault("lose-claim-replies", 1).await?;
        let booking = caller.book(&daemons[0], 0, Some("k"), "orphan");
        let killing = async {
            fleet
                .until("the claim", async || Ok(fleet.claims().await? == 1))
                .await?;
            fleet.daemons[0].kill();
            anyhow::Ok(())
        };
        let (_, killed) = future::join(booking, killing).await;
        killed?;
        let again = caller.book(&daemons[1], 0, Some("k"), "orphan").await;
        assert!(again.body.contains("\"ran\":\"unknown\""), "{again:?}");
        assert!(
            fleet
                .runs()
                .await?
                .get("orphan")
                .is_none_or(|count| *count == 1)
        );
        Ok(())
    });
}

#[test]
fn daemon_started_in_an_outage_gets_the_configuration_from_its_peers() {
    run(async {
        let mut fleet = fleet(2, 3).await?;
        fleet.platform_fault("down", 1).await?;
        fleet.daemons[1].restart()?;
        fleet
            .until("the version at the new daemon", async || {
                Ok(fleet.status(1).await?.version == 1)
            })
            .await?;
        let status = fleet.status(1).await?;
        assert!(status.ready && !status.store_reachable);
        assert_eq!(status.confirmed_ago_ms, None, "nothing proved the version");
        Ok(())
    });
}

#[test]
fn confirmation_with_a_lost_reply_is_accepted_and_spreads() {
    run(async {
        let fleet = fleet(2, 3).await?;
        let mut declaration = fleet.declaration();
        declaration.engines[1].drain = true;
        let plan = fleet.plan(0, declaration).await?;
        fleet.platform_fault("lose-replies", 1).await?;
        let reply = fleet.confirm(0, &plan.id).await?;
        assert_eq!(reply.outcome(), v1::ConfirmOutcome::Accepted, "{reply:?}");
        // Right after acceptance the store is lost; peers must carry the news.
        fleet.platform_fault("down", 1).await?;
        for at in 0..3 {
            fleet
                .until("version 2", async || {
                    Ok(fleet.status(at).await?.version == 2)
                })
                .await?;
        }
        Ok(())
    });
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_learns_why() {
    run(async {
        let fleet = fleet(3, 2).await?;
        let mut first = fleet.declaration();
        first.engines[1].drain = true;
        let mut second = fleet.declaration();
        second.engines[2].drain = true;
        let (a, b) = (fleet.plan(0, first).await?, fleet.plan(1, second).await?);
        let (a, b) = future::join(fleet.confirm(0, &a.id), fleet.confirm(1, &b.id)).await;
        let outcomes = [a?, b?];
        let accepted = outcomes
            .iter()
            .filter(|r| r.outcome() == v1::ConfirmOutcome::Accepted);
        assert_eq!(accepted.count(), 1, "{outcomes:?}");
        let refused = outcomes
            .iter()
            .find(|r| r.outcome() == v1::ConfirmOutcome::Refused);
        assert!(
            refused.is_some_and(|r| r.detail.contains("operator confirmed plan")),
            "{outcomes:?}"
        );
        Ok(())
    });
}

#[test]
fn engine_is_drained_and_taken_back_without_a_failed_request() {
    run(async {
        let fleet = fleet(3, 2).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        let sending = send(&caller, &daemons, 20, 100);
        let draining = async {
            let mut declaration = fleet.declaration();
            declaration.engines[1].drain = true;
            let version = fleet.put_in_force(declaration).await?;
            fleet
                .until("the drained engine", async || {
                    Ok(fleet.report(1).await?.draining)
                })
                .await?;
            anyhow::Ok(version)
        };
        let (ends, drained) = future::join(sending, draining).await;
        assert_eq!(drained?, 2);
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        // The daemon that planned may lag behind the one that confirmed.
        for at in 0..2 {
            fleet
                .until("version 2", async || {
                    Ok(fleet.status(at).await?.version == 2)
                })
                .await?;
        }
        let version = fleet.put_in_force(fleet.declaration()).await?;
        assert_eq!(version, 3);
        fleet
            .until("the engine back", async || {
                Ok(!fleet.report(1).await?.draining)
            })
            .await
    });
}

#[test]
fn paused_holder_of_the_lease_gives_no_order_after_it_wakes() {
    run(async {
        let fleet = fleet(2, 2).await?;
        // Whoever holds the lease is stopped for longer than it lasts.
        let holder = async || {
            let logs = fleet.daemons.iter().map(|d| d.log());
            anyhow::Ok(logs.into_iter().position(|log| log.contains("order: ")))
        };
        let mut declaration = fleet.declaration();
        declaration.engines[0].drain = true;
        let version = fleet.put_in_force(declaration).await?;
        fleet
            .until("an order", async || Ok(holder().await?.is_some()))
            .await?;
        let paused = holder().await?.unwrap_or(0);
        let other = 1 - paused;
        fleet
            .until("the version", async || {
                Ok(fleet.status(other).await?.version == version)
            })
            .await?;
        fleet.daemons[paused].signal(Signal::SIGSTOP)?;
        let back = fleet.plan(other, fleet.declaration()).await?;
        let reply = fleet.confirm(other, &back.id).await?;
        assert_eq!(reply.outcome(), v1::ConfirmOutcome::Accepted);
        fleet
            .until("the order of the new holder", async || {
                Ok(!fleet.report(0).await?.draining)
            })
            .await?;
        fleet.daemons[paused].signal(Signal::SIGCONT)?;
        fleet
            .until("the version at the former holder", async || {
                Ok(fleet.status(paused).await?.version == version + 1)
            })
            .await?;
        assert!(
            !fleet.report(0).await?.draining,
            "the former holder undid the order"
        );
        Ok(())
    });
}

#[test]
fn engine_listed_as_leaving_gets_nothing_new() {
    run(async {
        let fleet = fleet(2, 1).await?;
        let (caller, daemons) = (Caller::new(), daemons(&fleet));
        fleet.list_leaving("e1").await?;
        fleet
            .until("the leaving engine", async || {
                let status = fleet.status(0).await?;
                Ok(status
                    .engines
                    .iter()
                    .any(|e| e.name == "e1" && e.state == "leaving"))
            })
            .await?;
        let before = fleet.report(1).await?.requests;
        let ends = send(&caller, &daemons, 10, 5).await;
        assert!(ends.iter().all(|ended| *ended == Ended::Whole), "{ends:?}");
        assert_eq!(fleet.report(1).await?.requests, before);
        assert!(fleet.report(0).await?.requests >= 10);
        Ok(())
    });
}
