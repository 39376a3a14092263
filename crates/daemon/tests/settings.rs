//! Validation of the settings file.

use std::path::Path;

use cyclamengauge_daemon::settings;
use cyclamengauge_schema::v1;

#[test]
fn example_settings_have_no_faults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cyclamengauged.json");
    let settings = settings::load(&path).unwrap();
    assert_eq!(settings.instance, "i1");
}

#[test]
fn all_faults_are_reported_together_and_secrets_are_not_shown() {
    let settings = v1::Settings {
        instance: "i1".to_owned(),
        listen: "localhost:80".to_owned(),
        admin_listen: "127.0.0.1:1".to_owned(),
        peer_listen: "127.0.0.1:2".to_owned(),
        peer_key: "not-a-key-but-secret".to_owned(),
        caller_limits: Some(v1::CallerLimits {
            max_body_bytes: 5,
            ..v1::CallerLimits::default()
        }),
        ..v1::Settings::default()
    };
    let faults = settings::check(&settings);
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    data_centre: given an empty text, allowed a name
    region: given an empty text, allowed a name
    platform: given nothing, allowed the platform's addresses
    listen: given `localhost:80`, allowed an IP number and port, as 10.0.0.1:8000
    peer_key: given 20 characters, allowed 64 hex digits
    fingerprint_key: given 0 characters, allowed 64 hex digits
    platform.timeout_ms: given 0, allowed 10 to 60000 ms
    caller_limits.max_body_bytes: given 5, allowed 1024 to 268435456 bytes
    caller_limits.max_buffered_bytes: given 0, allowed 1024 to 4000000000 bytes
    caller_limits.body_timeout_ms: given 0, allowed 100 to 600000 ms
    caller_limits.max_in_flight: given 0, allowed 1 to 1000000 requests
    caller_limits.default_deadline_ms: given 0, allowed 100 to 3600000 ms
    shutdown_timeout_ms: given 0, allowed 100 to 3600000 ms
    ");
}

#[test]
fn unknown_field_is_rejected_by_name() {
    let text = r#"{"instance": "i1", "lisen": "127.0.0.1:1"}"#;
    let err = serde_json::from_str::<v1::Settings>(text).unwrap_err();
    assert!(
        err.to_string().contains("lisen"),
        "expected an error that names the unknown field `lisen`, got: {err}"
    );
}
