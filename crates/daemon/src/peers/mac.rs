//! Message authentication between the instances.

use cyclamengauge_schema::v1;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::node::unix_ms;

/// Age beyond which a message is refused, as it may be a replay. A replay
/// within it does no harm: no content of a message ever takes anything back.
const MAX_AGE_MS: u64 = 60_000;

/// Sets a request's MAC.
pub fn sign_request(message: &mut v1::ExchangeRequest, key: &[u8; 32]) {
    message.sent_unix_ms = unix_ms();
    message.mac = Vec::new();
    message.mac = mac(&prost::Message::encode_to_vec(message), key);
}

/// Sets a reply's MAC.
pub fn sign_reply(message: &mut v1::ExchangeReply, key: &[u8; 32]) {
    message.sent_unix_ms = unix_ms();
    message.mac = Vec::new();
    message.mac = mac(&prost::Message::encode_to_vec(message), key);
}

/// Whether a request comes from a holder of the key, and is fresh.
pub fn verify_request(message: &v1::ExchangeRequest, key: &[u8; 32]) -> bool {
    let mut bare = message.clone();
    bare.mac = Vec::new();
    let expected = mac(&prost::Message::encode_to_vec(&bare), key);
    matches(&expected, &message.mac) && is_fresh(message.sent_unix_ms)
}

/// Whether a reply comes from a holder of the key, and is fresh.
pub fn verify_reply(message: &v1::ExchangeReply, key: &[u8; 32]) -> bool {
    let mut bare = message.clone();
    bare.mac = Vec::new();
    let expected = mac(&prost::Message::encode_to_vec(&bare), key);
    matches(&expected, &message.mac) && is_fresh(message.sent_unix_ms)
}

fn mac(bytes: &[u8], key: &[u8; 32]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is allowed");
    mac.update(bytes);
    mac.finalize().into_bytes().to_vec()
}

fn matches(expected: &[u8], given: &[u8]) -> bool {
    bool::from(expected.ct_eq(given))
}

fn is_fresh(sent_unix_ms: u64) -> bool {
    unix_ms().abs_diff(sent_unix_ms) <= MAX_AGE_MS
}
