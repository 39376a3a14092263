//! What a daemon adds to the way of each token.
//!
//! The engine stand-in writes the time into each token. The same streams are
//! read from the engines directly and through a daemon, on one machine and so
//! by one clock.

use std::{path::Path, process::ExitCode};

use bpaf::Bpaf;
use futures_util::{StreamExt, future};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{
    harness::{self, Fleet, FleetOptions},
    model::Deployment,
    standins::{self, TIMED},
};

/// Engines that stream.
const ENGINES: usize = 2;

/// Tokens of each answer.
const TOKENS: u64 = 200;

/// Options of `latency`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(latency_options))]
pub struct LatencyOptions {
    /// Streams at a time, 1 to 200
    #[bpaf(
        long,
        argument("N"),
        fallback(20),
        guard(sensible, "allowed: 1 to 200")
    )]
    pub streams: usize,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
}

fn sensible(streams: &usize) -> bool {
    (1..=200).contains(streams)
}

/// Measures and prints.
pub fn run(options: &LatencyOptions, program: &Path) -> ExitCode {
    match actix_rt::System::new().block_on(measure(options, program)) {
        Ok((direct, through)) => {
            print(options, &direct, &through);
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("latency: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(
    options: &LatencyOptions,
    program: &Path,
) -> anyhow::Result<(Histogram<u64>, Histogram<u64>)> {
    let size = FleetOptions {
        engines: ENGINES,
        daemons: 1,
        deployment: Deployment::MoosachIsental,
    };
    let fleet = Fleet::start(program, size).await?;
    let version = fleet.put_in_force(fleet.declaration()).await?;
    fleet.await_version(version).await?;
    let engines: Vec<String> = fleet.engines.iter().map(|e| e.address.clone()).collect();
    let daemon = vec![fleet.daemons[0].address.clone()];
    // A first round opens connections and is not counted.
    read_all(&engines, options.streams).await?;
    read_all(&daemon, options.streams).await?;
    let direct = read_all(&engines, options.streams).await?;
    let through = read_all(&daemon, options.streams).await?;
    Ok((direct, through))
}

async fn read_all(addresses: &[String], streams: usize) -> anyhow::Result<Histogram<u64>> {
    let reading = (0..streams).map(|i| read(&addresses[i % addresses.len()], i));
    let mut all = Histogram::new(3)?;
    for one in future::join_all(reading).await {
        all.add(one?)?;
    }
    Ok(all)
}

/// Reads one stream and notes the age of each token, in microseconds.
async fn read(address: &str, number: usize) -> anyhow::Result<Histogram<u64>> {
    let client = awc::Client::builder().disable_timeout().finish();
    let body = json!({
        "model": harness::MODEL, "prompt": format!("{TIMED} {number}"),
        "max_tokens": TOKENS, "stream": true,
    });
    let request = client
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("authorization", harness::bearer(number)))
        .insert_header(("x-prompt-tokens", "10"));
    let sent = request.send_body(body.to_string()).await;
    let mut response = sent.map_err(|err| anyhow::anyhow!("ask {address}: {err}"))?;
    anyhow::ensure!(
        response.status().is_success(),
        "{address}: {}",
        response.status()
    );
    let mut ages = Histogram::new(3)?;
    let mut buffer = String::new();
    while let Some(Ok(bytes)) = response.next().await {
        buffer.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buffer.find('\n') {
            let line: String = buffer.drain(..=end).collect();
            if let Some(made_us) = made_at(&line) {
                ages.record(standins::unix_us().saturating_sub(made_us))?;
            }
        }
    }
    anyhow::ensure!(ages.len() == TOKENS, "{} of {TOKENS} tokens", ages.len());
    Ok(ages)
}

fn made_at(line: &str) -> Option<u64> {
    let data = line.trim().strip_prefix("data: ")?;
    let value: Value = serde_json::from_str(data).ok()?;
    value["choices"][0]["text"].as_str()?.trim().parse().ok()
}

fn print(options: &LatencyOptions, direct: &Histogram<u64>, through: &Histogram<u64>) {
    let row = |histogram: &Histogram<u64>| {
        json!({
            "p50_us": histogram.value_at_quantile(0.5),
            "p95_us": histogram.value_at_quantile(0.95),
            "p99_us": histogram.value_at_quantile(0.99),
        })
    };
    let at = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as i64;
    let added_us = at(through) - at(direct);
    let result = json!({
        "streams": options.streams,
        "tokens": through.len(),
        "direct": row(direct),
        "through": row(through),
        "added_p99_us": added_us,
    });
    if options.json {
        println!("{result}");
        return;
    }
    println!(
        "age of tokens at the caller, {} streams, us",
        options.streams
    );
    println!("direct            {}", row(direct));
    println!("through a daemon  {}", row(through));
    println!("added at p99      {added_us}");
}
