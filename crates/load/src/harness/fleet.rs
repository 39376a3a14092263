//! Starts and stops an installation.

use std::{
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use anyhow::Context;
use cyclamengauge_schema::v1;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    harness::{Process, config, process},
    model::{Deployment, Spec},
};

/// Time for an installation to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two looks whether something has come about.
const POLL: Duration = Duration::from_millis(50);

/// Time for one request of the harness itself.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Engines.
    pub engines: usize,
    /// Daemons.
    pub daemons: usize,
    /// Whose distances apply.
    pub deployment: Deployment,
}

/// An installation. All its processes end when it is dropped.
pub struct Fleet {
    /// The engines.
    pub engines: Vec<Process>,
    /// The daemons; their address is the one for callers.
    pub daemons: Vec<Process>,
    /// The daemons' addresses for operators.
    pub admin: Vec<String>,
    /// The plain service.
    pub plain: Process,
    /// The platform.
    pub platform: Process,
    /// Client for the harness's own requests.
    pub http: awc::Client,
    options: FleetOptions,
    dir: PathBuf,
}

impl Fleet {
    /// Starts all processes. `program` is this crate's own program, which runs
    /// the stand-ins and the daemons as subcommands.
    ///
    /// # Errors
    ///
    /// If a process cannot be started or does not answer in time.
    pub async fn start(program: &Path, options: FleetOptions) -> anyhow::Result<Self> {
        let dir = scratch_folder()?;
        let ports = free_addresses(options.engines + 2 + options.daemons * 3)?;
        let (engine_ports, rest) = ports.split_at(options.engines);
        let (plain, platform, daemon_ports) = (&rest[0], &rest[1], &rest[2..]);
        let stand_in = |name: &str, address: &str, more: &[String]| {
            let kind = name.trim_end_matches(|c: char| c.is_ascii_digit());
            let mut arguments = vec!["stand-in".to_owned(), kind.to_owned()];
            arguments.extend(["--listen".to_owned(), address.to_owned()]);
            arguments.extend_from_slice(more);
            Process::start(program, &dir, name, address, &arguments)
        };
        let mut engines = Vec::new();
        for (i, address) in engine_ports.iter().enumerate() {
            let more = engine_arguments(i, options.deployment);
            engines.push(stand_in(&format!("engine{i}"), address, &more)?);
        }
        let mut fleet = Self {
            engines,
            daemons: Vec::new(),
            admin: Vec::new(),
            plain: stand_in("plain", plain, &[])?,
            platform: stand_in("platform", platform, &[])?,
            http: awc::Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            options,
            dir: dir.clone(),
        };
        fleet
            .await_answer(&fleet.platform.address, "/counts")
            .await?;
        fleet.await_answer(&fleet.plain.address, "/status").await?;
        for engine in &fleet.engines {
            fleet.await_answer(&engine.address, "/v1/report").await?;
        }
        fleet.start_daemons(program, daemon_ports)?;
        for admin in &fleet.admin {
            fleet.await_answer(admin, "/metrics").await?;
        }
        Ok(fleet)
    }

    /// Folder with the settings and logs of all processes.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The declaration that names all engines and the service.
    pub fn declaration(&self) -> v1::Declaration {
        let engines: Vec<String> = self.engines.iter().map(|e| e.address.clone()).collect();
        config::declaration(&engines, &self.plain.address, self.options.deployment)
    }

    /// Plans a declaration at one daemon and confirms it at another.
    ///
    /// # Errors
    ///
    /// If the plan or its confirmation is refused.
    pub async fn put_in_force(&self, declaration: v1::Declaration) -> anyhow::Result<u64> {
        let plan = self.plan(0, declaration).await?;
        let last = self.admin.len() - 1;
        let reply = self.confirm(last, &plan.id).await?;
        anyhow::ensure!(
            reply.outcome() == v1::ConfirmOutcome::Accepted,
            "plan {} is not accepted: {}",
            plan.id,
            reply.detail
        );
        Ok(reply.version)
    }

    /// Plans a declaration at one daemon.
    ///
    /// # Errors
    ///
    /// If the daemon does not answer or refuses.
    pub async fn plan(&self, at: usize, declaration: v1::Declaration) -> anyhow::Result<v1::Plan> {
        let request = v1::PlanRequest {
            declaration: Some(declaration),
        };
        self.post(at, "/v1/plan", &request).await
    }

    /// Confirms a plan at one daemon.
    ///
    /// # Errors
    ///
    /// If the daemon does not answer.
    pub async fn confirm(&self, at: usize, plan: &str) -> anyhow::Result<v1::ConfirmReply> {
        let request = v1::ConfirmRequest {
            plan_id: plan.to_owned(),
        };
        self.post(at, "/v1/confirm", &request).await
    }

    /// What a daemon says of itself.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn status(&self, at: usize) -> anyhow::Result<v1::FleetStatus> {
        let url = format!("http://{}/v1/status", self.admin[at]);
        let request = self.http.get(url);
        let request = request.insert_header(("authorization", bearer()));
        answer(request.send()).await
    }

    /// What an engine reports of itself.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn report(&self, engine: usize) -> anyhow::Result<v1::EngineReport> {
        let url = format!("http://{}/v1/report", self.engines[engine].address);
        answer(self.http.get(url).send()).await
    }

    /// How often the plain service has run each booking.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn runs(&self) -> anyhow::Result<std::collections::BTreeMap<String, u64>> {
        let url = format!("http://{}/runs", self.plain.address);
        answer(self.http.get(url).send()).await
    }

    /// Makes the platform fail in some way; 0 ends the fault.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn platform_fault(&self, fault: &str, value: u64) -> anyhow::Result<()> {
        self.post_bare(&self.platform.address, &format!("/faults/{fault}/{value}"))
            .await
    }

    /// Reads and writes that the platform has seen.
    ///
    /// # Errors
    ///
    /// If the platform does not answer.
    pub async fn store_counts(&self) -> anyhow::Result<(u64, u64)> {
        let counts = self.counts().await?;
        let number = |name: &str| counts[name].as_u64().unwrap_or(0);
        Ok((number("reads"), number("writes")))
    }

    /// Rows with claims of non-idempotent calls.
    ///
    /// # Errors
    ///
    /// If the platform does not answer.
    pub async fn claims(&self) -> anyhow::Result<u64> {
        let counts = self.counts().await?;
        Ok(counts["claims"].as_u64().unwrap_or(0))
    }

    async fn counts(&self) -> anyhow::Result<serde_json::Value> {
        let url = format!("http://{}/counts", self.platform.address);
        answer(self.http.get(url).send()).await
    }

    /// Makes the platform's list name a target as leaving.
    ///
    /// # Errors
    ///
    /// If the platform does not answer.
    pub async fn list_leaving(&self, name: &str) -> anyhow::Result<()> {
        let list = v1::InstanceList {
            instances: vec![v1::ListedInstance {
                name: name.to_owned(),
                state: v1::ListedState::Leaving.into(),
            }],
        };
        let url = format!("http://{}/v1/instances", self.platform.address);
        let sent = self.http.put(url).send_json(&list).await;
        let response = sent.map_err(|err| anyhow::anyhow!("list: {err}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "list: {}",
            response.status()
        );
        Ok(())
    }

    /// Makes an engine stall its streams, or ends that.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn stall_engine(&self, engine: usize, stalled: bool) -> anyhow::Result<()> {
        let fault = if stalled { "stall" } else { "none" };
        self.post_bare(&self.engines[engine].address, &format!("/faults/{fault}"))
            .await
    }

    /// Waits until all daemons have a version in force and see all engines live.
    ///
    /// # Errors
    ///
    /// If that does not come about in time.
    pub async fn await_version(&self, version: u64) -> anyhow::Result<()> {
        let engines = self.engines.len();
        let check = async |at: usize| {
            let status = self.status(at).await?;
            let live = status.engines.iter().filter(|e| e.state == "live").count();
            Ok(status.version >= version && live == engines)
        };
        for at in 0..self.admin.len() {
            self.until(&format!("version {version} at daemon {at}"), async || {
                check(at).await
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// If it does not come to hold in time.
    pub async fn until<F>(&self, what: &str, condition: F) -> anyhow::Result<()>
    where
        F: AsyncFn() -> anyhow::Result<bool>,
    {
        let started = Instant::now();
        loop {
            if condition().await.unwrap_or(false) {
                return Ok(());
            }
            anyhow::ensure!(
                started.elapsed() < READY_TIMEOUT,
                "{what} did not come about"
            );
            actix_rt::time::sleep(POLL).await;
        }
    }

    fn start_daemons(&mut self, program: &Path, ports: &[String]) -> anyhow::Result<()> {
        let peers: Vec<String> = ports.chunks(3).map(|three| three[2].clone()).collect();
        for (i, three) in ports.chunks(3).enumerate() {
            let listen = [three[0].clone(), three[1].clone(), three[2].clone()];
            let platform = &self.platform.address;
            let settings = config::settings(i, &listen, &peers, platform, self.options.deployment);
            let path = self.dir.join(format!("daemon{i}.json"));
            let text = serde_json::to_string_pretty(&settings).context("write settings")?;
            std::fs::write(&path, text).context("write settings")?;
            let arguments = [
                "daemon".to_owned(),
                "--config".to_owned(),
                path.display().to_string(),
            ];
            let name = format!("daemon{i}");
            let daemon = Process::start(program, &self.dir, &name, &three[0], &arguments)?;
            self.daemons.push(daemon);
            self.admin.push(three[1].clone());
        }
        Ok(())
    }

    async fn await_answer(&self, address: &str, path: &str) -> anyhow::Result<()> {
        let url = format!("http://{address}{path}");
        let answers = async || Ok(self.http.get(&url).send().await.is_ok());
        self.until(&format!("an answer of {address}"), answers)
            .await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        at: usize,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let url = format!("http://{}{path}", self.admin[at]);
        let request = self.http.post(url);
        let request = request.insert_header(("authorization", bearer()));
        answer(request.send_json(body)).await
    }

    async fn post_bare(&self, address: &str, path: &str) -> anyhow::Result<()> {
        let url = format!("http://{address}{path}");
        let response = self.http.post(url).send().await;
        let response = response.map_err(|err| anyhow::anyhow!("{path}: {err}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "{path}: {}",
            response.status()
        );
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

async fn answer<T: DeserializeOwned>(sending: awc::SendClientRequest) -> anyhow::Result<T> {
    let mut response = sending
        .await
        .map_err(|err| anyhow::anyhow!("no answer: {err}"))?;
    let status = response.status();
    let body = response.body().limit(64 * 1024 * 1024).await;
    let body = body.context("read the answer")?;
    anyhow::ensure!(
        status.is_success(),
        "{status}: {}",
        String::from_utf8_lossy(&body)
    );
    serde_json::from_slice(&body).context("parse the answer")
}

fn bearer() -> String {
    format!("Bearer {}", config::OPERATOR_KEY)
}

fn engine_arguments(number: usize, deployment: Deployment) -> Vec<String> {
    let spec = Spec::default();
    let delay_us = deployment.between_data_centres().as_micros();
    let pairs = [
        ("--name", format!("e{number}")),
        ("--model", config::MODEL.to_owned()),
        ("--model-version", "1".to_owned()),
        ("--prefill", spec.prefill_tokens_per_s.to_string()),
        ("--memory", spec.memory_tokens.to_string()),
        ("--delay-us", delay_us.to_string()),
    ];
    let mut arguments: Vec<String> = Vec::new();
    for (name, value) in pairs {
        arguments.extend([name.to_owned(), value]);
    }
    arguments.push("--fencing".to_owned());
    arguments
}

/// Addresses with ports that the system has free now, on a loopback address of
/// this installation's own. Outgoing connections come from 127.0.0.1, so none of
/// them can take a port between here and the start of the process it is for.
///
/// # Errors
///
/// If the system has no free port on that address.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<String>> {
    let own = own_address();
    // A process that starts now would keep the ports taken until its exec. The guard is
    // dropped after the listeners.
    let _guard = process::lock_process_starts();
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((own, 0)))
        .collect::<Result<_, _>>()
        .context("find free ports")?;
    bound
        .iter()
        .map(|listener| Ok(listener.local_addr().context("read a port")?.to_string()))
        .collect()
}

/// A loopback address that differs between processes and installations.
fn own_address() -> Ipv4Addr {
    static NUMBER: AtomicU32 = AtomicU32::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 200, low, 1 + (number % 250) as u8)
}

fn scratch_folder() -> anyhow::Result<PathBuf> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("cyclamengauge-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).context("create a folder for logs")?;
    Ok(dir)
}
