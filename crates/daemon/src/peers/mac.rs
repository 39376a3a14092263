//! Authentication of messages between the instances by HMAC-SHA-256 under their
//! shared key.

use cyclamengauge_schema::v1;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::node::unix_ms;

/// Largest difference between a message's send time and the local clock; a message
/// further off is refused as a possible replay. A replay within the limit does no
/// harm, as no message undoes the effect of another one.
const MAX_TIME_DIFFERENCE_MS: u64 = 60_000;

/// Sets a request's send time and MAC.
pub fn sign_request(message: &mut v1::ExchangeRequest, key: &[u8; 32]) {
    message.sent_unix_ms = unix_ms();
    message.mac = Vec::new();
    message.mac = compute_mac(&prost::Message::encode_to_vec(message), key);
}

/// Sets a reply's send time and MAC.
pub fn sign_reply(message: &mut v1::ExchangeReply, key: &[u8; 32]) {
    message.sent_unix_ms = unix_ms();
    message.mac = Vec::new();
    message.mac = compute_mac(&prost::Message::encode_to_vec(message), key);
}

/// Returns whether a request's MAC is valid under the key and its send time recent.
pub fn verify_request(message: &v1::ExchangeRequest, key: &[u8; 32]) -> bool {
    let mut unsigned = message.clone();
    unsigned.mac = Vec::new();
    let expected = compute_mac(&prost::Message::encode_to_vec(&unsigned), key);
    equals_in_constant_time(&expected, &message.mac) && is_recent(message.sent_unix_ms)
}

/// Returns whether a reply's MAC is valid under the key and its send time recent.
pub fn verify_reply(message: &v1::ExchangeReply, key: &[u8; 32]) -> bool {
    let mut unsigned = message.clone();
    unsigned.mac = Vec::new();
    let expected = compute_mac(&prost::Message::encode_to_vec(&unsigned), key);
    equals_in_constant_time(&expected, &message.mac) && is_recent(message.sent_unix_ms)
}

/// HMAC-SHA-256 of a message under the key.
pub fn compute_mac(bytes: &[u8], key: &[u8; 32]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is allowed");
    mac.update(bytes);
    mac.finalize().into_bytes().to_vec()
}

/// Whether a received MAC is the expected one.
pub fn equals_in_constant_time(expected: &[u8], received: &[u8]) -> bool {
    bool::from(expected.ct_eq(received))
}

fn is_recent(sent_unix_ms: u64) -> bool {
    unix_ms().abs_diff(sent_unix_ms) <= MAX_TIME_DIFFERENCE_MS
}
