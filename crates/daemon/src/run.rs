//! Command line, start and graceful shutdown of the daemon.

use std::{
    net,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use anyhow::Context;
use bpaf::Bpaf;
use cyclamengauge_schema::v1;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    client_api, control, gateway, http,
    node::Node,
    operators, peers, settings,
    telemetry::{self, upkeep},
};

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Exit code if requests were still in progress when the shutdown timed out.
const REQUESTS_CUT_OFF_EXIT_CODE: u8 = 3;

/// Interval between two checks whether a shutdown is complete.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of a shutdown after readiness is turned off, in which the peers and the load
/// balancer in front of the instances detect it.
const READINESS_DETECTION_DELAY: Duration = Duration::from_millis(300);

/// The daemon of cyclamengauge
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Options {
    /// Serve on the users' platform, with the settings file that the platform provides
    #[bpaf(command)]
    Gateway,
    /// Serve with the project's own interface
    Own {
        /// Settings file, JSON with comments
        #[bpaf(long, argument("FILE"))]
        config: PathBuf,
        /// Check the settings and exit
        #[bpaf(long, switch)]
        check: bool,
    },
}

impl Options {
    /// Parses the command line. Exits the process if it is invalid, or after `--help`
    /// and `--version`.
    pub fn from_command_line() -> Self {
        options().run()
    }
}

/// Runs the daemon until it receives SIGTERM, or SIGINT with the project's own
/// interface. Returns the exit code of the process.
pub fn run(options: &Options) -> ExitCode {
    match options {
        Options::Gateway => gateway::run(),
        Options::Own { config, check } => run_own(config, *check),
    }
}

fn run_own(config: &Path, check: bool) -> ExitCode {
    let settings = match settings::load(config) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("settings: {err:#}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if check {
        println!("settings: {} is valid", config.display());
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(serve(settings)) {
        Ok(code) => code,
        Err(err) => {
            tracing::error!("start: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: v1::Settings) -> anyhow::Result<ExitCode> {
    let recorder = telemetry::install()?;
    let client_listener = bind(&settings.listen)?;
    let operator_listener = bind(&settings.admin_listen)?;
    let peer_listener = bind(&settings.peer_listen)?;
    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    let node = Node::new(settings);
    tracing::info!(
        instance = node.settings.instance,
        "start: serving on {}",
        node.settings.listen
    );

    let draining = upkeep::drain_histograms(recorder.clone(), upkeep::DRAIN_INTERVAL);
    actix_rt::spawn(draining);
    let client_node = Rc::clone(&node);
    actix_rt::spawn(http::serve(client_listener, move |request| {
        client_api::handle(Rc::clone(&client_node), request)
    }));
    let operator_node = Rc::clone(&node);
    actix_rt::spawn(http::serve(operator_listener, move |request| {
        operators::handle(Rc::clone(&operator_node), recorder.clone(), request)
    }));
    actix_rt::spawn(peers::serve(Rc::clone(&node), peer_listener));
    control::start(&node);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(shut_down(&node).await)
}

fn bind(address: &str) -> anyhow::Result<net::TcpListener> {
    net::TcpListener::bind(address).with_context(|| format!("listen on {address}"))
}

/// Stops admission and waits until all requests in progress have ended, or for the
/// shutdown timeout of the settings; those that have not ended by then are told so.
async fn shut_down(node: &Rc<Node>) -> ExitCode {
    tracing::info!("shutdown: started, no new requests are admitted");
    node.shutting_down.set(true);
    node.dispatcher.borrow_mut().close();
    node.version_changed.notify_waiters();
    let timeout = Duration::from_millis(u64::from(node.settings.shutdown_timeout_ms));
    let started_at = node.clock.now();
    actix_rt::time::sleep(READINESS_DETECTION_DELAY).await;
    while !node.is_idle() && node.clock.now() - started_at < timeout {
        actix_rt::time::sleep(IDLE_POLL_INTERVAL).await;
    }
    let in_progress = node.dispatcher.borrow().in_flight() + node.service_calls.get();
    node.end_requests();
    // The last responses are complete, but their bytes may not have been sent.
    actix_rt::time::sleep(IDLE_POLL_INTERVAL * 5).await;
    if in_progress > 0 {
        tracing::error!(
            left = in_progress,
            "shutdown: timed out, {in_progress} requests were cut off"
        );
        return ExitCode::from(REQUESTS_CUT_OFF_EXIT_CODE);
    }
    tracing::info!("shutdown: complete");
    ExitCode::SUCCESS
}
