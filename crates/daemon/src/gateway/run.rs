//! Starts the daemon on the users' platform and stops it gracefully.

use std::{net, process::ExitCode, rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use actix_rt::net::UdpSocket;
use anyhow::Context;
use cyclamengauge_platform::{headers, settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    gateway::{self, Gateway, gauges, gossip, watch},
    http, node,
    telemetry::{self, process},
};

/// Exit code for settings with faults.
const FAULTY_SETTINGS: u8 = 2;

/// Time after SIGTERM for which the process goes on even if it is idle: the
/// balancer notices within two seconds, and connections under way arrive.
const LEAST_CLOSING: Duration = Duration::from_millis(2_500);

/// Time after SIGTERM after which idle connections are closed. By then the
/// balancer has asked for readiness twice and sends new ones elsewhere.
const NOTICE_TIME: Duration = Duration::from_millis(2_100);

/// Part of the time until SIGKILL after which the process ends in any case.
const MOST_CLOSING_SHARE: f64 = 0.93;

/// Time after the start for which callers' connections wait for the first
/// configuration. Callers allow a connection one second to be established.
const LONGEST_START: Duration = Duration::from_millis(700);

/// Time between two looks whether the configuration has come.
const START_POLL: Duration = Duration::from_millis(5);

/// Time between two lines that sum up placements: what a process that is killed
/// has not written.
const PLACEMENTS_PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks whether a shutdown is complete.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Runs the daemon until it is told to stop.
pub fn run() -> ExitCode {
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("settings: {err:#}");
            return ExitCode::from(FAULTY_SETTINGS);
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

/// The sockets on which a daemon is reached.
pub struct Listeners {
    /// For callers.
    pub clients: net::TcpListener,
    /// For the balancer's questions.
    pub readiness: net::TcpListener,
    /// For peers that fetch the configuration.
    pub peers: net::TcpListener,
    /// For datagrams of peers, at the same address.
    pub gossip_socket: Rc<UdpSocket>,
}

impl Listeners {
    /// Opens the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// If an address is taken.
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
        process::started(&settings.instance, gateway.incarnation, settings.listen);
    }
    start(&gateway, listeners);
    let state = Rc::clone(&gateway);
    actix_rt::spawn(http::serve(metrics_listen, move |_| {
        let lost = telemetry::dropped_lines();
        metrics::gauge!("cyclamengauge_log_lines_lost").set(lost as f64);
        gauges::observe(&state);
        let text = recorder.render();
        async move { http::text(200, text) }
    }));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(&gateway),
        }
    }
    shut_down(&gateway).await;
    Ok(())
}

/// Starts all tasks of a daemon on the current thread's runtime.
pub fn start(gateway: &Rc<Gateway>, listeners: Listeners) {
    let Listeners {
        clients,
        readiness,
        peers,
        gossip_socket,
    } = listeners;
    actix_rt::spawn(serve_callers(Rc::clone(gateway), clients));
    let state = Rc::clone(gateway);
    actix_rt::spawn(http::serve(readiness, move |request| {
        readiness_answer(Rc::clone(&state), request)
    }));
    let state = Rc::clone(gateway);
    actix_rt::spawn(http::serve(peers, move |request| {
        gossip::answer(Rc::clone(&state), request)
    }));
    actix_rt::spawn(watch::follow_configuration(Rc::clone(gateway)));
    actix_rt::spawn(watch::follow_targets(Rc::clone(gateway)));
    actix_rt::spawn(watch::join(Rc::clone(gateway)));
    actix_rt::spawn(sum_up_placements(Rc::clone(gateway)));
    actix_rt::spawn(gossip::tell(Rc::clone(gateway), Rc::clone(&gossip_socket)));
    actix_rt::spawn(gossip::listen(Rc::clone(gateway), gossip_socket));
}

/// Serves callers once this instance knows where to send them. Until then their
/// connections wait to be accepted, for a moment.
async fn serve_callers(gateway: Rc<Gateway>, listen: net::TcpListener) -> anyhow::Result<()> {
    let started = gateway.clock.now();
    while !gateway.is_ready() && gateway.clock.now() - started < LONGEST_START {
        actix_rt::time::sleep(START_POLL).await;
    }
    let connections = gateway.connections.clone();
    http::serve_tracked(listen, connections, move |request| {
        gateway::handle(Rc::clone(&gateway), request)
    })
    .await
}

async fn sum_up_placements(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(PLACEMENTS_PERIOD).await;
        gateway.request_log.write_placements();
    }
}

fn bind(address: net::SocketAddr) -> anyhow::Result<net::TcpListener> {
    net::TcpListener::bind(address).with_context(|| format!("listen on {address}"))
}

async fn readiness_answer(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match request.path() {
        headers::READINESS_PATH => http::readiness(gateway.is_ready()),
        _ => http::text(404, "not found\n"),
    }
}

/// Takes over the bounds of changed settings. Addresses stay as they were at the
/// start.
fn reload_settings(gateway: &Gateway) {
    match settings::load() {
        Ok(settings) => {
            gateway
                .retry_budget
                .borrow_mut()
                .set_limits(gateway::retry_limits(&settings));
            gateway.settings.borrow_mut().bounds = settings.bounds;
            process::reloaded(None);
        }
        Err(err) => process::reloaded(Some(&err)),
    }
}

/// Reports not ready, serves what comes on open connections, and returns when
/// nothing is in progress.
pub async fn shut_down(gateway: &Gateway) {
    let since = gateway.clock.now();
    gateway.shutdown_started_at.set(Some(since));
    process::shutting_down(gateway.requests_in_progress.get(), false);
    let grace = gateway.settings.borrow().bounds.shutdown_grace;
    let latest = since + grace.mul_f64(MOST_CLOSING_SHARE);
    let earliest = since + LEAST_CLOSING;
    loop {
        actix_rt::time::sleep(IDLE_POLL).await;
        let now = gateway.clock.now();
        // Callers open their next connection to an instance that stays.
        if now - since >= NOTICE_TIME {
            gateway.connections.close_idle();
        }
        let idle = gateway.requests_in_progress.get() == 0;
        if now >= latest || (idle && now >= earliest) {
            break;
        }
    }
    // The last answers are complete; their bytes need time to leave.
    actix_rt::time::sleep(IDLE_POLL).await;
    gateway.request_log.write_placements();
    process::shutting_down(gateway.requests_in_progress.get(), true);
}
