//! Startup, settings reload and graceful shutdown of the gateway.

use std::{net, process::ExitCode, rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use actix_rt::net::UdpSocket;
use anyhow::Context;
use cyclamengauge_core::serving::shutdown::Shutdown;
use cyclamengauge_platform::{headers, settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    gateway::{
        self, Gateway, attempt::paths, door_limits, gauges, gossip, peer_keys, refused_parts, watch,
    },
    http::{self, Connections},
    node,
    telemetry::{self, process_events, upkeep},
};

/// Exit code if the settings can't be loaded.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Minimum time from SIGTERM to exit, also for an idle process: the load balancer
/// detects the failing readiness check within 2 s, and connections that it opened
/// before that still arrive.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(2_500);

/// Time from SIGTERM until idle connections are closed. By then the load balancer
/// has run the readiness check twice and sends new connections to other instances.
const READINESS_DETECTION_DELAY: Duration = Duration::from_millis(2_100);

/// Maximum time for which client connections wait for the first configuration and
/// target list. Clients give up a connection that is not established within 1 s.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(700);

/// Interval between two checks whether the instance is ready.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two log lines with placements. A killed process loses the
/// placements since its last line.
const PLACEMENT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two checks whether a shutdown is complete.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the gateway until SIGTERM.
pub fn run() -> ExitCode {
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("settings: {err:#}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    match actix_rt::System::new().block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            tracing::error!("start: {err:#}");
            eprintln!("start: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// The sockets on which a gateway listens.
pub struct Listeners {
    /// Client requests.
    pub clients: net::TcpListener,
    /// Readiness checks of the load balancer.
    pub readiness: net::TcpListener,
    /// Peers that fetch the configuration or the target list.
    pub peers: net::TcpListener,
    /// Gossip datagrams of peers, at the address of `peers`.
    pub gossip_socket: Rc<UdpSocket>,
}

impl Listeners {
    /// Opens the sockets at the addresses in the settings.
    ///
    /// # Errors
    ///
    /// If an address can't be bound, such as one that is in use.
    pub async fn bind(settings: &settings::Settings) -> anyhow::Result<Self> {
        Ok(Self {
            clients: bind(settings.listen)?,
            readiness: bind(settings.readiness_listen)?,
            peers: bind(settings.peer_listen)?,
            gossip_socket: gossip::bind(settings.peer_listen).await?,
        })
    }
}

async fn serve(settings: settings::Settings) -> anyhow::Result<()> {
    let recorder = telemetry::install()?;
    let metrics_listen = bind(settings.metrics_listen)?;
    let listeners = Listeners::bind(&settings).await?;
    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).context("listen for SIGHUP")?;
    let gateway = Rc::new(Gateway::new(settings, node::unix_ms() * 1_000));
    {
        let settings = gateway.settings.borrow();
        process_events::log_start(&settings.instance, gateway.incarnation, settings.listen);
    }
    start(&gateway, listeners);
    let draining = upkeep::drain_histograms(recorder.clone(), upkeep::DRAIN_INTERVAL);
    actix_rt::spawn(draining);
    actix_rt::spawn(upkeep::watch_turns());
    let state = Rc::clone(&gateway);
    let connections = Connections::with_limits(door_limits::for_probes());
    actix_rt::spawn(http::serve_tracked(
        metrics_listen,
        connections,
        move |_| {
            let dropped_lines = telemetry::dropped_lines();
            metrics::gauge!("cyclamengauge_log_lines_lost").set(dropped_lines as f64);
            gauges::update(&state);
            let text = recorder.render();
            async move { http::text(200, text) }
        },
    ));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(&gateway),
        }
    }
    shut_down(&gateway).await;
    Ok(())
}

/// Starts all tasks of a gateway on the current thread's runtime.
pub fn start(gateway: &Rc<Gateway>, listeners: Listeners) {
    let Listeners {
        clients,
        readiness,
        peers,
        gossip_socket,
    } = listeners;
    actix_rt::spawn(serve_clients(Rc::clone(gateway), clients));
    let state = Rc::clone(gateway);
    let connections = Connections::with_limits(door_limits::for_probes());
    actix_rt::spawn(http::serve_tracked(
        readiness,
        connections,
        move |request| handle_readiness(Rc::clone(&state), request),
    ));
    let state = Rc::clone(gateway);
    let connections =
        Connections::with_limits(door_limits::for_peers(&state.settings.borrow().limits));
    actix_rt::spawn(http::serve_tracked(peers, connections, move |request| {
        gossip::handle_call(Rc::clone(&state), request)
    }));
    actix_rt::spawn(watch::watch_configuration(Rc::clone(gateway)));
    actix_rt::spawn(watch::watch_targets(Rc::clone(gateway)));
    actix_rt::spawn(watch::keep_announced(Rc::clone(gateway)));
    actix_rt::spawn(refused_parts::keep_stored(Rc::clone(gateway)));
    actix_rt::spawn(log_placements(Rc::clone(gateway)));
    actix_rt::spawn(paths::probe_targets(Rc::clone(gateway)));
    actix_rt::spawn(peer_keys::keep_loaded(Rc::clone(gateway)));
    actix_rt::spawn(gossip::send_messages(
        Rc::clone(gateway),
        Rc::clone(&gossip_socket),
    ));
    actix_rt::spawn(gossip::receive_messages(Rc::clone(gateway), gossip_socket));
}

/// Serves clients as soon as the instance is ready, or after [`MAX_STARTUP_WAIT`].
/// Until then, connections wait in the listen backlog.
async fn serve_clients(gateway: Rc<Gateway>, listen: net::TcpListener) -> anyhow::Result<()> {
    let started = gateway.clock.now();
    while !gateway.is_ready() && gateway.clock.now() - started < MAX_STARTUP_WAIT {
        actix_rt::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
    let connections = gateway.connections.clone();
    http::serve_tracked(listen, connections, move |request| {
        gateway::handle(Rc::clone(&gateway), request)
    })
    .await
}

async fn log_placements(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(PLACEMENT_LOG_INTERVAL).await;
        gateway.request_log.write_placements();
    }
}

fn bind(address: net::SocketAddr) -> anyhow::Result<net::TcpListener> {
    net::TcpListener::bind(address).with_context(|| format!("listen on {address}"))
}

async fn handle_readiness(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match request.path() {
        headers::READINESS_PATH => http::readiness(gateway.is_ready()),
        _ => http::text(404, "not found\n"),
    }
}

/// Reloads the settings and applies their bounds. Other settings, such as
/// addresses, need a restart.
fn reload_settings(gateway: &Gateway) {
    match settings::load() {
        Ok(settings) => {
            gateway
                .retry_budget
                .borrow_mut()
                .set_limits(gateway::retry_limits(&settings));
            gateway.settings.borrow_mut().bounds = settings.bounds;
            process_events::log_reload(None);
        }
        Err(err) => process_events::log_reload(Some(&err)),
    }
}

/// Shuts down gracefully: the readiness check fails, open connections are still
/// served, and the function returns when no request is in progress or most of the
/// time until SIGKILL has passed. Requests that are in progress then have got their final
/// answers, except for streams that have begun.
pub async fn shut_down(gateway: &Gateway) {
    let since = gateway.clock.now();
    let grace = gateway.settings.borrow().bounds.shutdown_grace;
    let shutdown = Shutdown::begin(since, grace);
    gateway.shutdown.set(Some(shutdown));
    gateway.shutdown_begun.notify_waiters();
    process_events::log_shutdown(gateway.requests_in_progress.get(), false);
    let earliest_exit = since + MIN_SHUTDOWN_DURATION;
    loop {
        actix_rt::time::sleep(IDLE_POLL_INTERVAL).await;
        let now = gateway.clock.now();
        // Clients of closed connections reconnect to another instance.
        if now - since >= READINESS_DETECTION_DELAY {
            gateway.connections.close_idle();
        }
        // The last responses are complete, but their bytes may still be unsent, so the process
        // ends one interval later. Requests that arrive in it are refused.
        let is_idle = gateway.requests_in_progress.get() == 0;
        let was_ending = gateway.is_ending.replace(is_idle && now >= earliest_exit);
        if now >= shutdown.ends_at || (was_ending && is_idle) {
            break;
        }
    }
    gateway.is_ending.set(true);
    gateway.request_log.write_placements();
    process_events::log_shutdown(gateway.requests_in_progress.get(), true);
}
