//! Connections that are closed without an answer, over real sockets.

#[allow(dead_code)]
mod faulty;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cyclamengauge_load::harness::{Caller, Ended};
use faulty::{DEADLINE, fleet, report_of, run, start_dying};

/// Sends a prompt to engines that end as they get one, each closing its listener `linger` after
/// its connections; returns how the request ended and the number of engines that did.
fn ask_dying_engines(linger: Duration) -> (Ended, usize) {
    let crashes = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&crashes);
    let ended = actix_rt::System::new().block_on(async move {
        let fleet = fleet(1, 1).await?;
        let mut declaration = fleet.declaration();
        let sound = declaration.engines.remove(0);
        for number in 0..6 {
            let name = format!("dying{number}");
            let address = start_dying(report_of(&name, &[], 0), linger, &counted);
            let mut engine = sound.clone();
            (engine.name, engine.address) = (name, address);
            declaration.engines.push(engine);
        }
        fleet.put_in_force(declaration).await?;
        let are_live = async || {
            let status = fleet.status(0).await?;
            let live = status.engines.iter().filter(|e| e.state == "live");
            Ok(live.count() == 6)
        };
        fleet.until("the engines that end", are_live).await?;
        let daemons = [fleet.daemons[0].address.clone()];
        let caller = Caller::new();
        let answer = caller.complete(&daemons, 0, "prompt", 5, DEADLINE).await;
        anyhow::Ok(answer.ended)
    });
    (ended.unwrap(), crashes.load(Ordering::SeqCst))
}

fn is_quarantined(ended: &Ended) -> bool {
    matches!(ended, Ended::Refused { kind, .. } if kind == "content-quarantined")
}

/// Guards against a content that takes down one engine after the other without suspicion: an
/// engine that closes the connection before the response may have been taken down by it.
#[test]
fn content_is_quarantined_if_engines_end_before_their_response() {
    let (ended, crashes) = ask_dying_engines(Duration::ZERO);
    assert!(is_quarantined(&ended), "{ended:?}");
    assert_eq!(crashes, 2);
}

/// As above, if the listener of an engine that ends is open for a while: a probe that sees this
/// is no proof that the engine lives.
#[test]
fn content_is_quarantined_if_listeners_are_closed_late() {
    let (ended, crashes) = ask_dying_engines(Duration::from_millis(300));
    assert!(is_quarantined(&ended), "{ended:?}");
    assert_eq!(crashes, 2);
}

/// Guards against a call that runs twice, or whose caller hears that it has not run: a target
/// that closes the connection before the response may have executed the call.
#[test]
fn call_that_may_run_once_is_not_repeated_if_its_connection_is_closed() {
    run(async {
        let fleet = fleet(1, 1).await?;
        let calls = Arc::<AtomicUsize>::default();
        let mut declaration = fleet.declaration();
        let service = &mut declaration.services[0];
        let sound = service.targets.remove(0);
        service.targets.clear();
        for number in 0..3 {
            let mut target = sound.clone();
            target.name = format!("closing{number}");
            target.address = faulty::start_closing(&calls);
            service.targets.push(target);
        }
        let version = fleet.put_in_force(declaration).await?;
        fleet.await_version(version).await?;
        let caller = Caller::new();
        let daemon = fleet.daemons[0].address.clone();
        let first = caller
            .book(&daemon, 0, Some("booking 1"), "booking 1")
            .await;
        assert_eq!(calls.load(Ordering::SeqCst), 1);
        assert!(
            first.status >= 500 && !first.body.contains("\"ran\":\"no\""),
            "{first:?}"
        );
        let again = caller
            .book(&daemon, 0, Some("booking 1"), "booking 1")
            .await;
        assert_eq!(calls.load(Ordering::SeqCst), 1, "{again:?}");
        Ok(())
    });
}
