//! A child process, ended when dropped.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Time between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(20);

/// Held while a process is started. Between fork and exec, the new process has a copy
/// of every socket of this one.
static STARTING_PROCESS: Mutex<()> = Mutex::new(());

/// Keeps this process from starting others until the guard is dropped. A listening
/// socket that is closed under the guard leaves its port free.
pub(super) fn lock_process_starts() -> MutexGuard<'static, ()> {
    STARTING_PROCESS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// A running program.
pub struct Process {
    child: Child,
    /// What it is, for messages.
    pub name: String,
    /// Address at which it serves.
    pub address: String,
    arguments: Vec<String>,
    program: std::path::PathBuf,
    log: std::path::PathBuf,
}

impl Process {
    /// Starts a program; its standard error goes to a file in `dir`.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn start(
        program: &Path,
        dir: &Path,
        name: &str,
        address: &str,
        arguments: &[String],
    ) -> anyhow::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let child = spawn(program, &log, arguments).with_context(|| format!("start {name}"))?;
        Ok(Self {
            child,
            name: name.to_owned(),
            address: address.to_owned(),
            arguments: arguments.to_vec(),
            program: program.to_owned(),
            log,
        })
    }

    /// Number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process has written to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).with_context(|| format!("signal {}", self.name))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the program again with the same arguments.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.log, &self.arguments)
            .with_context(|| format!("restart {}", self.name))?;
        Ok(())
    }

    /// Exit code, once the process has ended by itself; none after `timeout`.
    pub async fn ended(&mut self, timeout: Duration) -> Option<i32> {
        let started = std::time::Instant::now();
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            actix_rt::time::sleep(POLL).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, log: &Path, arguments: &[String]) -> anyhow::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    // `spawn` returns after the exec, which closes the copies of the sockets.
    let _guard = lock_process_starts();
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log))
        .spawn()?;
    Ok(child)
}
