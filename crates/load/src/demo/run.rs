//! The course of the demo.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use crate::{
    demo::{DemoOptions, Tally},
    harness::{Caller, Fleet, FleetOptions},
    model::{Arrival, Mix, Spec},
};

/// Engines of the demo.
const ENGINES: usize = 9;

/// Daemons of the demo.
const DAEMONS: usize = 4;

/// Bytes of prompt text for each token.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the parts that prompts with the same beginning share, in bytes.
const WORD: &str = "meadow round ";

/// Bookings a second.
const BOOKINGS_PER_S: u64 = 5;

/// Engine that is killed, and daemon that is drained.
const KILLED_ENGINE: usize = 1;
const DRAINED_DAEMON: usize = 2;

/// Time for a drained daemon to finish what it has.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for reserved memory to be given back after the load.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demo; the exit code tells whether every promise was kept.
pub fn run(options: &DemoOptions, program: &Path) -> ExitCode {
    let result = actix_rt::System::new().block_on(demo(options, program));
    match result {
        Ok(tally) => {
            match options.json {
                true => println!("{}", tally.json()),
                false => println!("{}", tally.table()),
            }
            match tally.broken.is_empty() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(err) => {
            eprintln!("demo: {err:#}");
            ExitCode::FAILURE
        }
    }
}

struct Load {
    caller: Caller,
    tally: RefCell<Tally>,
    /// Addresses that the balancer would pick from.
    daemons: RefCell<Vec<String>>,
    in_progress: Cell<u64>,
}

async fn demo(options: &DemoOptions, program: &Path) -> anyhow::Result<Tally> {
    eprintln!("demo: starting {ENGINES} engines and {DAEMONS} daemons");
    let fleet = FleetOptions {
        engines: ENGINES,
        daemons: DAEMONS,
        deployment: options.deployment,
    };
    let mut fleet = Fleet::start(program, fleet).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    let load = Rc::new(Load {
        caller: Caller::new(),
        tally: RefCell::new(Tally::new()),
        daemons: RefCell::new(fleet.daemons.iter().map(|d| d.address.clone()).collect()),
        in_progress: Cell::new(0),
    });
    let arrivals = arrivals(options);
    let sending = actix_rt::spawn(send_all(Rc::clone(&load), arrivals));
    let booking = actix_rt::spawn(book_all(Rc::clone(&load), options.seconds));
    let time = Duration::from_secs(options.seconds);
    watch(&load, "under load", time / 2).await;

    fleet.engines[KILLED_ENGINE].kill();
    let drained = load.daemons.borrow_mut().remove(DRAINED_DAEMON);
    fleet.daemons[DRAINED_DAEMON].signal(Signal::SIGTERM)?;
    eprintln!("\ndemo: engine e{KILLED_ENGINE} killed, daemon at {drained} drained");
    watch(&load, "with the failures", time / 2).await;
    let _ = sending.await;
    let _ = booking.await;
    finish(&load).await;
    let code = fleet.daemons[DRAINED_DAEMON].ended(DRAIN_TIMEOUT).await;
    if code != Some(0) {
        let seen = format!("the drained daemon ended with {code:?}, not 0");
        load.tally.borrow_mut().broken.push(seen);
    }
    inspect(&load, &fleet).await?;
    let load = Rc::try_unwrap(load);
    let load = load.map_err(|_| anyhow::anyhow!("requests are still in progress"))?;
    Ok(load.tally.into_inner())
}

fn arrivals(options: &DemoOptions) -> Vec<Arrival> {
    let spec = Spec::default();
    let capacity = Mix::capacity_per_s(options.deployment, spec, ENGINES);
    let mut mix = Mix::new(options.deployment, spec, options.seed);
    mix.arrivals(
        capacity * options.load,
        Duration::from_secs(options.seconds),
    )
}

async fn send_all(load: Rc<Load>, arrivals: Vec<Arrival>) {
    let started = Instant::now();
    for (i, arrival) in arrivals.into_iter().enumerate() {
        actix_rt::time::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        load.in_progress.set(load.in_progress.get() + 1);
        actix_rt::spawn(send(Rc::clone(&load), i, arrival));
    }
}

async fn send(load: Rc<Load>, number: usize, arrival: Arrival) {
    let text = prompt(number, &arrival);
    let daemons = rotated(&load.daemons.borrow(), arrival.instance as usize);
    let answer = load
        .caller
        .complete(
            &daemons,
            arrival.account,
            &text,
            arrival.output,
            arrival.deadline,
        )
        .await;
    load.tally.borrow_mut().add(arrival.prompt, &answer);
    load.in_progress.set(load.in_progress.get() - 1);
}

/// Sends bookings, every third of them again with the same key elsewhere.
async fn book_all(load: Rc<Load>, seconds: u64) {
    for number in 0..seconds * BOOKINGS_PER_S {
        actix_rt::time::sleep(Duration::from_millis(1_000 / BOOKINGS_PER_S)).await;
        load.in_progress.set(load.in_progress.get() + 1);
        actix_rt::spawn(book(Rc::clone(&load), number));
    }
}

async fn book(load: Rc<Load>, number: u64) {
    let daemons = rotated(&load.daemons.borrow(), number as usize);
    let (key, body) = (format!("key-{number}"), format!("booking {number}"));
    let account = number as usize;
    let first = load.caller.book(&daemons[0], account, Some(&key), &body);
    if number.is_multiple_of(3) {
        let again = load.caller.book(&daemons[1], account, Some(&key), &body);
        futures_util::future::join(first, again).await;
    } else {
        first.await;
    }
    load.tally.borrow_mut().bookings += 1;
    load.in_progress.set(load.in_progress.get() - 1);
}

/// Shows a progress line for a while.
async fn watch(load: &Load, phase: &str, time: Duration) {
    let started = Instant::now();
    while started.elapsed() < time {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        progress(load, phase);
    }
}

/// Waits for the last answers; each has its own deadline.
async fn finish(load: &Load) {
    while load.in_progress.get() > 0 {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        progress(load, "finishing");
    }
    eprintln!();
}

fn progress(load: &Load, phase: &str) {
    let tally = load.tally.borrow();
    eprint!(
        "\rdemo: {phase:<18} {:>5} answered, {:>4} in progress, {:>3} bookings ",
        tally.requests,
        load.in_progress.get(),
        tally.bookings
    );
}

/// Looks for what should not be there.
async fn inspect(load: &Load, fleet: &Fleet) -> anyhow::Result<()> {
    let left = async || reserved(fleet).await;
    let started = Instant::now();
    while left().await > 0 && started.elapsed() < RELEASE_TIMEOUT {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let holding = left().await;
    let runs = fleet.runs().await?;
    let mut violations = Vec::new();
    for at in (0..fleet.daemons.len()).filter(|at| *at != DRAINED_DAEMON) {
        violations.push(fleet.status(at).await?);
    }
    violations.retain(|status| status.invariant_violations > 0);

    let mut tally = load.tally.borrow_mut();
    tally.reservations_left = holding;
    tally.duplicates = runs.values().filter(|count| **count > 1).count() as u64;
    if holding > 0 {
        tally
            .broken
            .push(format!("{holding} engines still hold memory"));
    }
    if tally.duplicates > 0 {
        let seen = format!("{} bookings ran more than once", tally.duplicates);
        tally.broken.push(seen);
    }
    for status in violations {
        let (instance, count) = (&status.instance, status.invariant_violations);
        tally
            .broken
            .push(format!("{instance} counted {count} violations"));
    }
    Ok(())
}

/// Engines that hold memory though no request is in progress.
async fn reserved(fleet: &Fleet) -> u64 {
    let mut holding = 0;
    for engine in (0..fleet.engines.len()).filter(|i| *i != KILLED_ENGINE) {
        let report = fleet.report(engine).await;
        holding += u64::from(report.is_ok_and(|r| r.reserved_tokens > 0));
    }
    holding
}

/// The text of a prompt: shared beginnings first, then words of its own.
fn prompt(number: usize, arrival: &Arrival) -> String {
    let length = arrival.prompt as usize * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(length + WORD.len());
    if let Some((hash, tokens)) = arrival.prefixes.last() {
        let shared = *tokens as usize * BYTES_PER_TOKEN;
        let beginning = format!("log {} {WORD}", hash >> 40);
        while text.len() < shared {
            text.push_str(&beginning);
        }
    }
    text.push_str(&format!(" request {number} "));
    while text.len() < length {
        text.push_str(WORD);
    }
    text.truncate(length);
    text
}

fn rotated(daemons: &[String], by: usize) -> Vec<String> {
    let mut list = daemons.to_vec();
    let count = list.len().max(1);
    list.rotate_left(by % count);
    list
}
