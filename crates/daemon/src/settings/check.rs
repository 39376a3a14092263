//! Validation of the settings.

use std::net::SocketAddr;

use cyclamengauge_core::intent::Fault;
use cyclamengauge_schema::v1;

/// Hex digits of a 32-byte key or SHA-256 hash.
const KEY_HEX_DIGITS: usize = 64;

/// Finds all faults of the settings: names first, then addresses, keys and numbers.
pub fn check(settings: &v1::Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_names(settings, &mut faults);
    check_addresses(settings, &mut faults);
    check_keys(settings, &mut faults);
    check_numbers(settings, &mut faults);
    faults
}

fn check_names(s: &v1::Settings, faults: &mut Vec<Fault>) {
    let fields = [
        ("instance", &s.instance),
        ("data_centre", &s.data_centre),
        ("region", &s.region),
    ];
    for (path, value) in fields {
        if value.is_empty() {
            faults.push(Fault::new(path, "an empty text", "a name"));
        }
    }
}

fn check_addresses(s: &v1::Settings, faults: &mut Vec<Fault>) {
    let mut fields = vec![
        ("listen".to_owned(), s.listen.as_str()),
        ("admin_listen".to_owned(), s.admin_listen.as_str()),
        ("peer_listen".to_owned(), s.peer_listen.as_str()),
    ];
    for (i, peer) in s.peers.iter().enumerate() {
        fields.push((format!("peers[{i}].address"), peer.address.as_str()));
    }
    match &s.platform {
        None => faults.push(Fault::new(
            "platform",
            "nothing",
            "the platform's addresses",
        )),
        Some(platform) => {
            fields.push(("platform.table".to_owned(), platform.table.as_str()));
            fields.push(("platform.objects".to_owned(), platform.objects.as_str()));
            fields.push(("platform.instances".to_owned(), platform.instances.as_str()));
        }
    }
    for (path, value) in fields {
        if value.parse::<SocketAddr>().is_err() {
            let allowed = "an IP number and port, as 10.0.0.1:8000";
            faults.push(Fault::new(path, format!("`{value}`"), allowed));
        }
    }
}

fn check_keys(s: &v1::Settings, faults: &mut Vec<Fault>) {
    let mut fields = vec![
        ("peer_key".to_owned(), &s.peer_key),
        ("fingerprint_key".to_owned(), &s.fingerprint_key),
    ];
    for (i, operator) in s.operators.iter().enumerate() {
        fields.push((format!("operators[{i}].key_sha256"), &operator.key_sha256));
    }
    for (path, value) in fields {
        let is_hex = value.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex || value.len() != KEY_HEX_DIGITS {
            // The value may be a secret, so the fault shows only its length.
            let given = format!("{} characters", value.len());
            faults.push(Fault::new(path, given, "64 hex digits"));
        }
    }
}

fn check_numbers(s: &v1::Settings, faults: &mut Vec<Fault>) {
    let limits = s.caller_limits.unwrap_or_default();
    let platform_timeout_ms = s.platform.as_ref().map_or(0, |p| p.timeout_ms);
    let fields = [
        ("platform.timeout_ms", platform_timeout_ms, 10, 60_000, "ms"),
        (
            "caller_limits.max_body_bytes",
            limits.max_body_bytes,
            1_024,
            268_435_456,
            "bytes",
        ),
        (
            "caller_limits.max_buffered_bytes",
            limits.max_buffered_bytes,
            1_024,
            4_000_000_000,
            "bytes",
        ),
        (
            "caller_limits.body_timeout_ms",
            limits.body_timeout_ms,
            100,
            600_000,
            "ms",
        ),
        (
            "caller_limits.max_in_flight",
            limits.max_in_flight,
            1,
            1_000_000,
            "requests",
        ),
        (
            "caller_limits.default_deadline_ms",
            limits.default_deadline_ms,
            100,
            3_600_000,
            "ms",
        ),
        (
            "shutdown_timeout_ms",
            s.shutdown_timeout_ms,
            100,
            3_600_000,
            "ms",
        ),
    ];
    for (path, value, min, max, unit) in fields {
        if !(min..=max).contains(&value) {
            let allowed = format!("{min} to {max} {unit}");
            faults.push(Fault::new(path, value, &allowed));
        }
    }
}
