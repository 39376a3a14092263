//! Command-line options and the execution of each command.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use bpaf::Bpaf;
use cyclamengauge_schema::v1;

use crate::{
    client::{Client, RequestError},
    declaration, render, traces,
};

/// Exit code for a refused request and for errors without an exit code of their own.
const REFUSED_EXIT_CODE: u8 = 1;

/// Exit code for an invalid or unreadable declaration.
const INVALID_DECLARATION_EXIT_CODE: u8 = 2;

/// Exit code for a request that an instance may have executed or not.
const OUTCOME_UNKNOWN_EXIT_CODE: u8 = 3;

/// Exit code if no instance is reachable, or if none returned its status.
const NO_INSTANCE_EXIT_CODE: u8 = 4;

/// Command-line tool for operators of cyclamengauge
///
/// Exit codes: 0 success, 1 refused, 2 invalid declaration, 3 outcome unknown,
/// 4 no instance reachable.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// Operator API address of an instance; may be repeated
    #[bpaf(long, argument("IP:PORT"))]
    pub instance: Vec<String>,
    /// File with the operator's key
    #[bpaf(long, argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
    /// Print JSON instead of text
    #[bpaf(long, switch)]
    pub json: bool,
    /// Command to run
    #[bpaf(external)]
    pub command: Command,
}

/// Commands
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Validate the declarations in a directory and list all faults
    #[bpaf(command)]
    Check(#[bpaf(positional("DIR"))] PathBuf),
    /// Plan the changes that the declarations in a directory require, and show the plan
    #[bpaf(command)]
    Plan(#[bpaf(positional("DIR"))] PathBuf),
    /// Accept a plan as the new version of the configuration
    #[bpaf(command)]
    Confirm(#[bpaf(positional("PLAN-ID"))] String),
    /// Show the state of the instances and the engines
    #[bpaf(command)]
    Status,
    /// Show the accepted plans
    #[bpaf(command)]
    History,
    /// Show the decisions about a request, selected by its x-request-id.
    /// Reads daemon logs if files are given, otherwise queries the instances
    #[bpaf(command)]
    Explain {
        /// Value of the request's x-request-id header
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files of daemons
        #[bpaf(positional("FILE"))]
        logs: Vec<PathBuf>,
    },
    /// Plan the draining of an engine
    #[bpaf(command)]
    Drain(#[bpaf(positional("ENGINE"))] String),
    /// Plan the return of a drained engine to service
    #[bpaf(command)]
    Undrain(#[bpaf(positional("ENGINE"))] String),
    /// Print the current declaration as JSON
    #[bpaf(command)]
    Declaration,
}

/// Parses the command line, runs the command and returns the exit code of the
/// process.
pub fn run() -> ExitCode {
    let options = options().run();
    let result = actix_rt::System::new().block_on(execute(&options));
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("cyclamengauge: {err:#}");
            ExitCode::from(exit_code(&err))
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
    let client = Client::new(options.instance.clone(), operator_key(options)?);
    match &options.command {
        Command::Check(dir) => Ok(check(dir)),
        Command::Plan(dir) => {
            let declaration = match declaration::read_and_validate(dir) {
                Ok(declaration) => declaration,
                Err(err) => return Ok(report_invalid_declaration(&err)),
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
    match declaration::read_and_validate(dir) {
        Ok(_) => {
            println!("{} is valid", dir.display());
            ExitCode::SUCCESS
        }
        Err(err) => report_invalid_declaration(&err),
    }
}

fn report_invalid_declaration(err: &anyhow::Error) -> ExitCode {
    eprintln!("cyclamengauge: {err:#}");
    ExitCode::from(INVALID_DECLARATION_EXIT_CODE)
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
                println!("plan {id} accepted as version {}", reply.version);
            }
            ExitCode::SUCCESS
        }
        v1::ConfirmOutcome::Refused => {
            eprintln!("cyclamengauge: plan {id} refused: {}", reply.detail);
            ExitCode::from(REFUSED_EXIT_CODE)
        }
        v1::ConfirmOutcome::Unknown | v1::ConfirmOutcome::Unspecified => {
            eprintln!(
                "cyclamengauge: outcome of plan {id} unknown: {}",
                reply.detail
            );
            ExitCode::from(OUTCOME_UNKNOWN_EXIT_CODE)
        }
    })
}

async fn status(client: &Client, json: bool) -> anyhow::Result<ExitCode> {
    let mut results = Vec::new();
    for instance in client.instances() {
        let status = client
            .get_from::<v1::FleetStatus>(instance, "/v1/status")
            .await;
        results.push((instance.clone(), status.map_err(|err| format!("{err:#}"))));
    }
    let statuses: Vec<&v1::FleetStatus> = results
        .iter()
        .filter_map(|(_, s)| s.as_ref().ok())
        .collect();
    if json {
        print_json(&statuses)?;
    } else {
        println!("{}", render::status(&results));
    }
    Ok(match statuses.is_empty() {
        true => ExitCode::from(NO_INSTANCE_EXIT_CODE),
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
    let lines = traces::read_logs(logs)?;
    match traces::explain(&lines, request) {
        Some(trace) => {
            print!("{trace}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!(
                "cyclamengauge: request {request} not found in {}",
                log_count(logs.len())
            );
            Ok(ExitCode::from(REFUSED_EXIT_CODE))
        }
    }
}

fn log_count(logs: usize) -> String {
    match logs {
        1 => "the log file".to_owned(),
        logs => format!("the {logs} log files"),
    }
}

/// Queries the instances in turn, because only the instance that served the request
/// keeps its trace.
async fn explain(client: &Client, request: &str, json: bool) -> anyhow::Result<ExitCode> {
    let path = format!("/v1/explain/{request}");
    let mut last_error = RequestError::Unreachable("no address given".to_owned()).into();
    for instance in client.instances() {
        match client.get_from::<v1::Explanation>(instance, &path).await {
            Ok(explanation) => {
                match json {
                    true => print_json(&explanation)?,
                    false => println!("{}", render::explanation(&explanation)),
                }
                return Ok(ExitCode::SUCCESS);
            }
            Err(err) => last_error = err,
        }
    }
    Err(last_error)
}

async fn set_drain(
    client: &Client,
    engine: &str,
    drain: bool,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let accepted: v1::Accepted = client.get("/v1/configuration").await?;
    let mut declaration = accepted.declaration.unwrap_or_default();
    let declared_engine = declaration.engines.iter_mut().find(|e| e.name == engine);
    let declared_engine =
        declared_engine.with_context(|| format!("engine `{engine}` is not declared"))?;
    declared_engine.drain = drain;
    plan(client, declaration, json).await
}

fn operator_key(options: &Options) -> anyhow::Result<String> {
    match &options.key_file {
        Some(path) => {
            let text = std::fs::read_to_string(path);
            let text =
                text.with_context(|| format!("read operator key from {}", path.display()))?;
            Ok(text.trim().to_owned())
        }
        None => std::env::var("CYCLAMENGAUGE_KEY")
            .context("no operator key: set --key-file or CYCLAMENGAUGE_KEY"),
    }
}

fn print_json(value: &impl serde::Serialize) -> anyhow::Result<()> {
    println!(
        "{}",
        serde_json::to_string_pretty(value).context("serialize output as JSON")?
    );
    Ok(())
}

fn exit_code(err: &anyhow::Error) -> u8 {
    match err.downcast_ref::<RequestError>() {
        Some(RequestError::Unreachable(_)) => NO_INSTANCE_EXIT_CODE,
        Some(RequestError::NoResponse(_)) => OUTCOME_UNKNOWN_EXIT_CODE,
        _ => REFUSED_EXIT_CODE,
    }
}
