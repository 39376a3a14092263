//! Random faults against real daemon processes, by seed.
//!
//! Daemons are stopped, paused, killed and restarted by signals, the store falls
//! silent or refuses, targets spoil answers, hang and refuse, and proxies impair the
//! connections to targets and from single daemons to the store, in series and
//! overlapping. What callers and targets see is checked against the promises.
//! `CYCLAMENGAUGE_SOAK_SEEDS` gives the number of seeds, `CYCLAMENGAUGE_SOAK_FROM`
//! the first one, `CYCLAMENGAUGE_SOAK_DAEMONS` that of daemons, up to 200.

#[path = "../../../../platform/tests/gateway/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../../../../platform/tests/gateway/process.rs"]
mod process;
#[path = "../../../../platform/tests/gateway/store.rs"]
#[allow(dead_code)]
mod store;
#[path = "../../../../platform/tests/gateway/target.rs"]
#[allow(dead_code)]
mod target;

mod aftermath;
mod callers;
mod faults;
mod proxy;

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::Duration,
};

use process::DaemonProcess;
use proxy::Proxy;
use target::{Behaviour, Target};

/// Daemons unless the environment says otherwise.
const DAEMONS: u64 = 3;
const TARGETS: usize = 4;
const CALLERS: usize = 16;

/// Time for which faults come.
const FAULTY_TIME: Duration = Duration::from_secs(5);

/// Seeds that CI plays.
const SEEDS: u64 = 2;

/// Longest wait for service after the last fault.
const RECOVERY: Duration = Duration::from_secs(30);

/// What the whole run shares.
struct Soak {
    processes: RefCell<Vec<DaemonProcess>>,
    targets: Vec<Rc<Target>>,
    /// One before each target.
    target_proxies: Vec<Rc<Proxy>>,
    /// One between each daemon and the store.
    store_proxies: Vec<Rc<Proxy>>,
    store: Rc<store::Store>,
    rng: RefCell<fastrand::Rng>,
    /// Whether all targets refuse all requests.
    refusing: Rc<Cell<bool>>,
    /// Whether callers go on.
    running: Cell<bool>,
}

/// A number from the environment.
fn number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| text.parse().unwrap())
}

#[test]
fn promises_hold_under_random_faults() {
    let from = number("CYCLAMENGAUGE_SOAK_FROM", 1);
    let seeds = number("CYCLAMENGAUGE_SOAK_SEEDS", SEEDS);
    for seed in from..from + seeds {
        println!("seed {seed}");
        harness::run_test(play(seed));
    }
}

async fn play(seed: u64) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let soak = Rc::new(start(seed, &folder).await);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(callers::call(Rc::clone(&soak), caller)))
        .collect();
    let version = faults::inflict(&soak, FAULTY_TIME).await;
    faults::end(&soak);
    await_service(&soak).await;
    soak.running.set(false);
    let mut asked = Vec::new();
    for caller in callers {
        asked.extend(caller.await.unwrap());
    }
    callers::check_runs(&soak, &asked);
    aftermath::check(&soak, version + 1).await;
    std::fs::remove_dir_all(&folder).unwrap();
}

async fn start(seed: u64, folder: &Path) -> Soak {
    let (store, address) = store::Store::start();
    let refusing = Rc::new(Cell::new(false));
    let (mut targets, mut target_proxies) = (Vec::new(), Vec::new());
    for number in 0..TARGETS {
        let target = Target::start(&format!("t{number}"), Behaviour::Hang).await;
        let script = faults::script(seed * 100 + number as u64, true, Rc::clone(&refusing));
        target.set_script(Some(script));
        let proxy = Proxy::start(target.address).await;
        harness::register_at(&store, &target.id, proxy.address, "ready");
        targets.push(target);
        target_proxies.push(proxy);
    }
    store.put("op", "config", &harness::configuration(1));
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauged"));
    let (mut processes, mut store_proxies) = (Vec::new(), Vec::new());
    let daemons = number("CYCLAMENGAUGE_SOAK_DAEMONS", DAEMONS);
    for number in 0..daemons as u8 {
        let proxy = Proxy::start(address).await;
        processes.push(DaemonProcess::start(program, folder, number, proxy.address));
        store_proxies.push(proxy);
    }
    Soak {
        processes: RefCell::new(processes),
        targets,
        target_proxies,
        store_proxies,
        store,
        rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        refusing,
        running: Cell::new(true),
    }
}

/// Waits until each daemon serves again.
async fn await_service(soak: &Soak) {
    let addresses: Vec<_> = soak
        .processes
        .borrow()
        .iter()
        .map(|p| p.client_address)
        .collect();
    for address in addresses {
        let started = std::time::Instant::now();
        while !callers::is_served(address).await {
            let waited = started.elapsed();
            assert!(waited < RECOVERY, "{address} does not serve again");
            // One that was told to stop ends some seconds later.
            faults::revive(soak);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
