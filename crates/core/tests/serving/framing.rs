//! Limits on the bytes of a response that are not its payload.

use cyclamengauge_core::serving::framing::{
    FRAMING_ALLOWANCE_BYTES, Framing, FramingError, MAX_FRAMING_RATIO, MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
};

fn in_body() -> Framing {
    let mut framing = Framing::default();
    framing.record_received(200);
    framing.begin_body();
    framing
}

#[test]
fn a_large_body_without_overhead_is_allowed() {
    let mut framing = in_body();
    for _ in 0..10_000 {
        framing.record_received(32 * 1024);
        framing.check().unwrap();
        framing.record_payload(32 * 1024);
    }
    framing.check().unwrap();
}

/// Pattern: chunks of one byte, six bytes each on the wire.
#[test]
fn chunks_of_one_byte_are_allowed() {
    let mut framing = in_body();
    for _ in 0..100_000 {
        framing.record_received(6);
        framing.record_payload(1);
        framing.check().unwrap();
    }
}

/// Pattern: leading zeros, chunk extensions or trailers without end.
#[test]
fn framing_without_payload_is_limited() {
    let mut framing = in_body();
    framing.record_received(FRAMING_ALLOWANCE_BYTES);
    framing.check().unwrap();
    framing.record_received(1);
    assert_eq!(
        framing.check(),
        Err(FramingError::Body {
            framing_bytes: FRAMING_ALLOWANCE_BYTES + 1,
            payload_bytes: 0,
        })
    );
}

/// Pattern: a byte of payload now and then among chunk extensions.
#[test]
fn framing_is_limited_as_a_ratio_to_the_payload() {
    let mut framing = in_body();
    let mut received = 0;
    let error = loop {
        framing.record_received(100);
        framing.record_payload(1);
        received += 100;
        match framing.check() {
            Ok(()) => assert!(received < 2 * FRAMING_ALLOWANCE_BYTES),
            Err(err) => break err,
        }
    };
    let text = error.to_string();
    for value in [FRAMING_ALLOWANCE_BYTES, MAX_FRAMING_RATIO] {
        assert!(text.contains(&value.to_string()), "{text}");
    }
}

/// Pattern: interim responses without end, short or long ones.
#[test]
fn the_bytes_and_interim_responses_before_the_response_are_limited() {
    let mut framing = Framing::default();
    framing.set_interim_responses(MAX_INTERIM_RESPONSES);
    framing.check().unwrap();
    framing.set_interim_responses(MAX_INTERIM_RESPONSES + 1);
    let count = MAX_INTERIM_RESPONSES + 1;
    assert_eq!(framing.check(), Err(FramingError::Interim { count }));

    let mut framing = Framing::default();
    framing.record_received(MAX_HEAD_BYTES);
    framing.check().unwrap();
    framing.record_received(1);
    let bytes = MAX_HEAD_BYTES + 1;
    assert_eq!(framing.check(), Err(FramingError::Head { bytes }));
}
