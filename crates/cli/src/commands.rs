//! What each command does.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use bpaf::Bpaf;
use cyclamengauge_schema::v1;

use crate::{
    client::{Client, Failure},
    declaration, render, traces,
};

/// Exit code for a refusal.
const REFUSED: u8 = 1;

/// Exit code for a declaration with faults.
const FAULTY: u8 = 2;

/// Exit code if the outcome is not known.
const UNKNOWN: u8 = 3;

/// Exit code if no instance answers.
const NO_INSTANCE: u8 = 4;

/// Operators' tool of cyclamengauge
///
/// Exit codes: 0 done, 1 refused, 2 faulty declaration, 3 outcome unknown,
/// 4 no instance answers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// Interface for operators of an instance; may be repeated
    #[bpaf(long, argument("IP:PORT"))]
    pub instance: Vec<String>,
    /// File with the operator's key
    #[bpaf(long, argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// A command
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Find all faults of the declarations in a directory
    #[bpaf(command)]
    Check(#[bpaf(positional("DIR"))] PathBuf),
    /// Show what the declarations in a directory would change
    #[bpaf(command)]
    Plan(#[bpaf(positional("DIR"))] PathBuf),
    /// Put a plan in force
    #[bpaf(command)]
    Confirm(#[bpaf(positional("PLAN-ID"))] String),
    /// Show the instances and the engines
    #[bpaf(command)]
    Status,
    /// Show the accepted changes
    #[bpaf(command)]
    History,
    /// Show what was decided about a request, by its x-request-id: from logs of
    /// daemons, or else from the instances themselves
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Logs of daemons
        #[bpaf(positional("FILE"))]
        logs: Vec<PathBuf>,
    },
    /// Plan to drain an engine
    #[bpaf(command)]
    Drain(#[bpaf(positional("ENGINE"))] String),
    /// Plan to take an engine back into use
    #[bpaf(command)]
    Undrain(#[bpaf(positional("ENGINE"))] String),
    /// Print the declaration in force
    #[bpaf(command)]
    Declaration,
}

/// Runs the command line and returns the process's exit code.
pub fn run() -> ExitCode {
    let options = options().run();
    let result = actix_rt::System::new().block_on(execute(&options));
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("cyclamengauge: {err:#}");
            ExitCode::from(code_of(&err))
        }
    }
}

async fn execute(options: &Options) -> anyhow::Result<ExitCode> {
    match &options.command {
        Command::Check(dir) => return Ok(check(dir)),
        Command::Explain { request, logs } if !logs.is_empty() => {
            return explain_from_logs(request, logs);
        }
        _ => {}
    }
    let client = Client::new(options.instance.clone(), key(options)?);
    match &options.command {
        Command::Check(dir) => Ok(check(dir)),
        Command::Plan(dir) => {
            let declaration = match declaration::read_checked(dir) {
                Ok(declaration) => declaration,
                Err(err) => return Ok(faulty(&err)),
            };
            plan(&client, declaration, options.json).await
        }
        Command::Confirm(id) => confirm(&client, id, options.json).await,
        Command::Status => status(&client, options.json).await,
        Command::History => history(&client, options.json).await,
        Command::Explain { request, .. } => explain(&client, request, options.json).await,
        Command::Drain(engine) => set_drain(&client, engine, true, options.json).await,
        Command::Undrain(engine) => set_drain(&client, engine, false, options.json).await,
        Command::Declaration => {
            let accepted: v1::Accepted = client.get("/v1/configuration").await?;
            print_json(&accepted.declaration.unwrap_or_default())?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn check(dir: &Path) -> ExitCode {
    match declaration::read_checked(dir) {
        Ok(_) => {
            println!("{} has no faults", dir.display());
            ExitCode::SUCCESS
        }
        Err(err) => faulty(&err),
    }
}

fn faulty(err: &anyhow::Error) -> ExitCode {
    eprintln!("cyclamengauge: {err:#}");
    ExitCode::from(FAULTY)
}

async fn plan(
    client: &Client,
    declaration: v1::Declaration,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let request = v1::PlanRequest {
        declaration: Some(declaration),
    };
    let plan: v1::Plan = client.post("/v1/plan", &request).await?;
    match json {
        true => print_json(&plan)?,
        false => println!("{}", render::plan(&plan)),
    }
    Ok(ExitCode::SUCCESS)
}

async fn confirm(client: &Client, id: &str, json: bool) -> anyhow::Result<ExitCode> {
    let request = v1::ConfirmRequest {
        plan_id: id.to_owned(),
    };
    let reply: v1::ConfirmReply = client.post("/v1/confirm", &request).await?;
    if json {
        print_json(&reply)?;
    }
    Ok(match reply.outcome() {
        v1::ConfirmOutcome::Accepted => {
            if !json {
                println!("plan {id} is accepted as version {}", reply.version);
            }
            ExitCode::SUCCESS
        }
        v1::ConfirmOutcome::Refused => {
            eprintln!("cyclamengauge: plan {id} is refused: {}", reply.detail);
            ExitCode::from(REFUSED)
        }
        v1::ConfirmOutcome::Unknown | v1::ConfirmOutcome::Unspecified => {
            eprintln!("cyclamengauge: the outcome is unknown: {}", reply.detail);
            ExitCode::from(UNKNOWN)
        }
    })
}

async fn status(client: &Client, json: bool) -> anyhow::Result<ExitCode> {
    let mut list = Vec::new();
    for instance in client.instances() {
        let status = client
            .get_from::<v1::FleetStatus>(instance, "/v1/status")
            .await;
        list.push((instance.clone(), status.map_err(|err| format!("{err:#}"))));
    }
    let answered: Vec<&v1::FleetStatus> =
        list.iter().filter_map(|(_, s)| s.as_ref().ok()).collect();
    if json {
        print_json(&answered)?;
    } else {
        println!("{}", render::status(&list));
    }
    Ok(match answered.is_empty() {
        true => ExitCode::from(NO_INSTANCE),
        false => ExitCode::SUCCESS,
    })
}

async fn history(client: &Client, json: bool) -> anyhow::Result<ExitCode> {
    let accepted: v1::Accepted = client.get("/v1/configuration").await?;
    match json {
        true => print_json(&accepted.history)?,
        false => println!("{}", render::history(&accepted)),
    }
    Ok(ExitCode::SUCCESS)
}

fn explain_from_logs(request: &str, logs: &[PathBuf]) -> anyhow::Result<ExitCode> {
    let lines = traces::read(logs)?;
    match traces::explain(&lines, request) {
        Some(trace) => {
            print!("{trace}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!(
                "cyclamengauge: no line of {} names {request}",
                count(logs.len())
            );
            Ok(ExitCode::from(REFUSED))
        }
    }
}

fn count(logs: usize) -> String {
    match logs {
        1 => "the log".to_owned(),
        logs => format!("the {logs} logs"),
    }
}

/// Asks every instance, as only the one that served the request remembers it.
async fn explain(client: &Client, request: &str, json: bool) -> anyhow::Result<ExitCode> {
    let path = format!("/v1/explain/{request}");
    let mut last = Failure::NoInstance("none is named".to_owned()).into();
    for instance in client.instances() {
        match client.get_from::<v1::Explanation>(instance, &path).await {
            Ok(explanation) => {
                match json {
                    true => print_json(&explanation)?,
                    false => println!("{}", render::explanation(&explanation)),
                }
                return Ok(ExitCode::SUCCESS);
            }
            Err(err) => last = err,
        }
    }
    Err(last)
}

async fn set_drain(
    client: &Client,
    engine: &str,
    drain: bool,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let accepted: v1::Accepted = client.get("/v1/configuration").await?;
    let mut declaration = accepted.declaration.unwrap_or_default();
    let found = declaration.engines.iter_mut().find(|e| e.name == engine);
    let found = found.with_context(|| format!("no engine `{engine}` is declared"))?;
    found.drain = drain;
    plan(client, declaration, json).await
}

fn key(options: &Options) -> anyhow::Result<String> {
    match &options.key_file {
        Some(path) => {
            let text = std::fs::read_to_string(path);
            let text = text.with_context(|| format!("read {}", path.display()))?;
            Ok(text.trim().to_owned())
        }
        None => std::env::var("CYCLAMENGAUGE_KEY")
            .context("name the operator's key by --key-file or CYCLAMENGAUGE_KEY"),
    }
}

fn print_json(value: &impl serde::Serialize) -> anyhow::Result<()> {
    println!(
        "{}",
        serde_json::to_string_pretty(value).context("write JSON")?
    );
    Ok(())
}

fn code_of(err: &anyhow::Error) -> u8 {
    match err.downcast_ref::<Failure>() {
        Some(Failure::NoInstance(_)) => NO_INSTANCE,
        Some(Failure::Unanswered(_)) => UNKNOWN,
        _ => REFUSED,
    }
}
