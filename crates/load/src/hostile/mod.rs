//! Clients that misbehave, to try a deployment.
//!
//! They send to one address until the time is over, and come back when their connections
//! are closed. Meanwhile, look at the ordinary callers and at the memory of the process.

pub mod crowd;

use std::{
    net::{IpAddr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;

use crowd::{Crowd, Door, Shape};

/// Options of `hostile`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(hostile_options))]
pub struct HostileOptions {
    /// Address to send to
    #[bpaf(long, argument("IP:PORT"))]
    pub address: SocketAddr,
    /// What each client sends: body, chunks, small-pieces, over-limit, fields, slow-head,
    /// half-head, sent-ahead or silence; may be given several times
    #[bpaf(long, argument("SHAPE"), some("at least one --shape is needed"))]
    pub shape: Vec<Shape>,
    /// Clients of each shape, 1 to 1000
    #[bpaf(
        long,
        argument("N"),
        fallback(75),
        guard(allowed_clients, "allowed: 1 to 1000")
    )]
    pub clients: usize,
    /// Time after which the clients leave, in seconds, 1 to 600
    #[bpaf(
        long,
        argument("S"),
        fallback(10),
        guard(allowed_seconds, "allowed: 1 to 600")
    )]
    pub seconds: u64,
    /// Path of the requests
    #[bpaf(long, argument("PATH"), fallback("/".to_owned()))]
    pub path: String,
    /// Host of the requests
    #[bpaf(long, argument("HOST"), fallback("localhost".to_owned()))]
    pub host: String,
    /// API key of the clients
    #[bpaf(long, argument("KEY"))]
    pub key: Option<String>,
    /// Address of the clients
    #[bpaf(long, argument("IP"))]
    pub from: Option<IpAddr>,
}

fn allowed_clients(clients: &usize) -> bool {
    (1..=1_000).contains(clients)
}

fn allowed_seconds(seconds: &u64) -> bool {
    (1..=600).contains(seconds)
}

/// Plays the clients, and prints how often each shape was refused or closed.
pub fn run(options: &HostileOptions) -> ExitCode {
    let key = options.key.as_ref();
    let key = key.map(|key| format!("Authorization: Bearer {key}\r\n"));
    let door = Door {
        address: options.address,
        path: options.path.clone(),
        host: options.host.clone(),
        header_lines: key.unwrap_or_default(),
        from: options.from,
    };
    let crowds = options.shape.iter();
    let crowds = crowds.map(|shape| Crowd::start(*shape, options.clients, door.clone()));
    let crowds: Vec<Crowd> = crowds.collect();
    std::thread::sleep(Duration::from_secs(options.seconds));
    for (shape, crowd) in options.shape.iter().zip(crowds) {
        println!(
            "{shape}: {} clients, {} connections refused or closed",
            options.clients,
            crowd.closed_connections()
        );
    }
    ExitCode::SUCCESS
}
