//! The test harness itself: ports of one installation while others start.

use std::{
    net::TcpListener,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use cyclamengauge_load::harness::{Process, free_addresses};

/// Installations whose ports are bound again. Without the lock, about one bind in eight
/// failed while other threads started processes.
const INSTALLATIONS: usize = 300;

const STARTING_THREADS: usize = 3;

/// Guards against a process that can't bind its port: another process, started at the
/// same moment, had inherited the socket with which the harness found the port.
#[test]
fn free_ports_stay_free_while_other_processes_start() {
    let program = Path::new(env!("CARGO_BIN_EXE_cyclamengauge-load"));
    let done = AtomicBool::new(false);
    let dir = std::env::temp_dir().join(format!("cyclamengauge-ports-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    thread::scope(|scope| {
        for number in 0..STARTING_THREADS {
            let (dir, done) = (&dir, &done);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let name = format!("help{number}");
                    let arguments = ["--help".to_owned()];
                    Process::start(program, dir, &name, "", &arguments).unwrap();
                }
            });
        }
        let mut failures = Vec::new();
        for _ in 0..INSTALLATIONS {
            for address in free_addresses(8).unwrap() {
                if let Err(err) = TcpListener::bind(&address) {
                    failures.push(format!("bind {address}: {err}"));
                }
            }
        }
        done.store(true, Ordering::Relaxed);
        assert_eq!(failures, Vec::<String>::new());
    });
    std::fs::remove_dir_all(&dir).unwrap();
}
