//! Bytes and processor time of control messages.

use std::time::Instant;

use cyclamengauge_core::intent;
use cyclamengauge_daemon::peers;
use cyclamengauge_schema::v1;

use crate::{harness, model::Deployment, slopes::Slope};

/// Engines in a message or a configuration.
const SIZES: [usize; 4] = [20, 60, 200, 600];

/// Messages timed at each size.
const MESSAGES: u32 = 200;

/// Bytes that HTTP/2, its headers, TCP and IP add to an exchange both ways, when
/// the connection is kept open: frame heads, indexed headers, packet heads.
const EXCHANGE_OVERHEAD: usize = 420;

/// Bytes that HTTP/1.1 heads, TCP and IP add to a report that was asked for.
const REPORT_OVERHEAD: usize = 400;

pub(super) fn measure() -> Vec<Slope> {
    let exchange = SIZES.map(|n| (n as f64, exchange_bytes(n)));
    let time = SIZES.map(|n| (n as f64, exchange_us(n)));
    let configuration = SIZES.map(|n| (n as f64, configuration_bytes(n)));
    let delta = SIZES.map(|n| (n as f64, delta_bytes(n)));
    let report = [0, 1, 2, 4].map(|n| (n as f64, report_bytes(n)));
    vec![
        Slope::new(
            "exchange_bytes",
            "bytes",
            "engine with unread work",
            exchange.to_vec(),
        ),
        Slope::new(
            "exchange_us",
            "us",
            "engine with unread work",
            time.to_vec(),
        ),
        Slope::new(
            "configuration_bytes",
            "bytes",
            "declared engine",
            configuration.to_vec(),
        ),
        Slope::new("delta_bytes", "bytes", "declared engine", delta.to_vec()),
        Slope::new(
            "report_bytes",
            "bytes",
            "reservation listed",
            report.to_vec(),
        ),
    ]
}

fn exchange(engines: usize) -> v1::ExchangeRequest {
    v1::ExchangeRequest {
        instance: "instance-0001".to_owned(),
        incarnation: u64::MAX / 2,
        data_centre: "dc1".to_owned(),
        version: 10_000,
        loads: (0..engines)
            .map(|i| v1::LoadHint {
                engine: format!("engine-{i:05}"),
                prefill_tokens: 20_000,
            })
            .collect(),
        mac: vec![0; 32],
        sent_unix_ms: 1_800_000_000_000,
        ..v1::ExchangeRequest::default()
    }
}

/// Request and reply, which hold the same.
fn exchange_bytes(engines: usize) -> f64 {
    let bytes = prost::Message::encoded_len(&exchange(engines));
    (2 * bytes + EXCHANGE_OVERHEAD) as f64
}

/// Signing, encoding, decoding and verifying of a request and a reply.
fn exchange_us(engines: usize) -> f64 {
    let key = [7; 32];
    let mut message = exchange(engines);
    let started = Instant::now();
    for _ in 0..MESSAGES {
        peers::sign_request(&mut message, &key);
        let bytes = prost::Message::encode_to_vec(&message);
        let read: v1::ExchangeRequest = prost::Message::decode(&bytes[..]).unwrap_or_default();
        assert!(
            peers::verify_request(&read, &key),
            "a signed message verifies"
        );
    }
    2.0 * started.elapsed().as_secs_f64() * 1e6 / f64::from(MESSAGES)
}

fn configuration_bytes(engines: usize) -> f64 {
    prost::Message::encoded_len(&declaration(engines)) as f64
}

fn declaration(engines: usize) -> v1::Declaration {
    let address = |i| format!("10.0.{}.{}:9000", i / 250, i % 250);
    let addresses: Vec<String> = (0..engines).map(address).collect();
    harness::declaration(&addresses, "10.0.0.1:1", Deployment::Atlas)
}

/// A change of one engine, as it is sent from peer to peer.
fn delta_bytes(engines: usize) -> f64 {
    let accepted = |version, drain| {
        let mut declaration = declaration(engines);
        declaration.engines[0].drain = drain;
        v1::Accepted {
            version,
            declaration: Some(intent::canonicalize(declaration)),
            ..v1::Accepted::default()
        }
    };
    let delta = intent::compute_delta(&accepted(1, false), &accepted(2, true));
    prost::Message::encoded_len(&delta) as f64
}

fn report_bytes(reservations: usize) -> f64 {
    let report = v1::EngineReport {
        engine: "engine-00001".to_owned(),
        incarnation: u64::MAX / 3,
        sequence: 100_000,
        model: "model-one".to_owned(),
        version: "2026-11".to_owned(),
        running: 20,
        queued_prefill_tokens: vec![1_000, 0, 5_000],
        reserved_tokens: 200_000,
        memory_tokens: 450_000,
        reservations: (0..reservations)
            .map(|i| v1::Reservation {
                id: format!("instance-0001-abcdef0123456789-{i}"),
                owner: "instance-0001/abcdef0123456789".to_owned(),
                tokens: 300_000,
                ttl_ms: 10_000,
                idle_ms: 1_000,
            })
            .collect(),
        ..v1::EngineReport::default()
    };
    let text = serde_json::to_vec(&report).unwrap_or_default();
    (text.len() + REPORT_OVERHEAD) as f64
}
