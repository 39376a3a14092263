//! Settings and declarations of an installation on loopback.

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::model::{Deployment, Spec};

/// Key of every client account in the installation.
pub const ACCOUNT_KEY: &str = "account-key";

/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator-key";

/// Name of the model.
pub const MODEL: &str = "model";

/// Data centres.
const DATA_CENTRES: usize = 3;

/// Client accounts.
const ACCOUNTS: usize = 10;

/// Settings of one daemon. `listen` holds its addresses for callers, operators
/// and peers; `peers` those of all daemons.
pub fn settings(
    number: usize,
    listen: &[String; 3],
    peers: &[String],
    platform: &str,
    deployment: Deployment,
) -> v1::Settings {
    let others = peers.iter().enumerate().filter(|(i, _)| *i != number);
    v1::Settings {
        instance: instance(number),
        data_centre: data_centre(number),
        region: "region".to_owned(),
        listen: listen[0].clone(),
        admin_listen: listen[1].clone(),
        peer_listen: listen[2].clone(),
        peers: others
            .map(|(i, address)| v1::PeerAddress {
                instance: instance(i),
                data_centre: data_centre(i),
                address: address.clone(),
            })
            .collect(),
        platform: Some(v1::PlatformAddress {
            table: platform.to_owned(),
            objects: platform.to_owned(),
            instances: platform.to_owned(),
            timeout_ms: 400,
        }),
        peer_key: sha256_hex("peer-key"),
        fingerprint_key: sha256_hex("fingerprint-key"),
        operators: vec![v1::Operator {
            name: "operator".to_owned(),
            key_sha256: sha256_hex(OPERATOR_KEY),
        }],
        caller_limits: Some(v1::CallerLimits {
            max_body_bytes: 8 * 1024 * 1024,
            max_buffered_bytes: 512 * 1024 * 1024,
            body_timeout_ms: 10_000,
            max_in_flight: 4_000,
            default_deadline_ms: 60_000,
        }),
        shutdown_timeout_ms: 60_000,
        distances: distances(number, deployment),
    }
}

/// A declaration of engines at these addresses and a plain service.
pub fn declaration(engines: &[String], plain: &str, deployment: Deployment) -> v1::Declaration {
    v1::Declaration {
        models: vec![v1::Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            min_memory_tokens: 0,
            min_engines: (engines.len() as u32 / 2).max(1),
            adapters: Vec::new(),
        }],
        engines: engines.iter().enumerate().map(engine).collect(),
        services: vec![v1::Service {
            name: "bookings".to_owned(),
            targets: vec![v1::ServiceTarget {
                name: "bookings-1".to_owned(),
                address: plain.to_owned(),
                data_centre: data_centre(0),
                drain: false,
            }],
            at_most_once: vec![v1::Route {
                method: "POST".to_owned(),
                path_prefix: "/bookings".to_owned(),
            }],
            default_deadline_ms: 10_000,
        }],
        accounts: (0..ACCOUNTS).map(account).collect(),
        routing: Some(v1::RoutingPolicy {
            kind: v1::PolicyKind::LengthAware.into(),
            short_weight: deployment.short_weight(),
            short_max_tokens: 8_000,
            bytes_per_token: 4.0,
            max_ejected_share: 0.2,
            stall_timeout_ms: 3_000,
        }),
    }
}

/// Key of one of the accounts.
pub(crate) fn account_key(number: usize) -> String {
    format!("{ACCOUNT_KEY}-{}", number % ACCOUNTS)
}

/// Header value with the key of one of the accounts.
pub(crate) fn bearer(number: usize) -> String {
    format!("Bearer {}", account_key(number))
}

fn engine((i, address): (usize, &String)) -> v1::Engine {
    let spec = Spec::default();
    v1::Engine {
        name: format!("e{i}"),
        address: address.clone(),
        data_centre: data_centre(i),
        model: MODEL.to_owned(),
        accelerators: 8,
        memory_tokens: spec.memory_tokens as u32,
        slots: spec.slots as u32,
        prefill_tokens_per_s: spec.prefill_tokens_per_s as u32,
        role: v1::EngineRole::Serving.into(),
        drain: false,
        checks_orders: false,
        honours_fencing: true,
    }
}

fn account(number: usize) -> v1::ClientAccount {
    v1::ClientAccount {
        name: format!("account-{number}"),
        key_sha256: vec![sha256_hex(&account_key(number))],
        weight: if number < 3 { 4.0 } else { 1.0 },
        requests_per_s: 1_000.0,
        prompt_tokens_per_s: 50_000_000.0,
        max_concurrent: 1_000,
        max_deadline_ms: 300_000,
        models: Vec::new(),
    }
}

fn distances(number: usize, deployment: Deployment) -> Vec<v1::Distance> {
    (0..DATA_CENTRES)
        .map(|i| {
            let between = deployment.between_data_centres().as_micros() as u32;
            v1::Distance {
                data_centre: data_centre(i),
                one_way_us: if i == number % DATA_CENTRES {
                    100
                } else {
                    between
                },
            }
        })
        .collect()
}

fn instance(number: usize) -> String {
    format!("i{number}")
}

fn data_centre(number: usize) -> String {
    format!("dc{}", number % DATA_CENTRES)
}

fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
