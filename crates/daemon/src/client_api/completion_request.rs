//! Parses the body of a completion request and computes the digests of its prompt.

use cyclamengauge_core::{
    request::{Fingerprint, Prefix, PrefixHash},
    units::Tokens,
};
use hmac::{Hmac, Mac};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

/// Length of the shortest prompt prefix that is looked up in prefix caches. Each
/// further prefix has twice the length of the one before.
const SHORTEST_PREFIX_TOKENS: u64 = 1_024;

/// Limit on the output length if the client sets none.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Highest limit on the output length that a client may set.
const MAX_OUTPUT_TOKENS: u64 = 32_768;

/// Bodies of at least this size are parsed on a blocking thread, to keep the event loop
/// free.
pub(crate) const BLOCKING_PARSE_MIN_BYTES: usize = 128 * 1024;

/// JSON fields of the body that are evaluated here. Error responses may contain the name
/// of this struct.
#[derive(Deserialize)]
struct Fields<'a> {
    model: String,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Parsed fields of a completion request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompletionRequest {
    /// Name of the requested model.
    pub(crate) model: String,
    /// Length of the prompt, estimated from its size in bytes.
    pub(crate) prompt: Tokens,
    /// Limit on the output length.
    pub(crate) max_output: Tokens,
    /// Whether the client wants the response as server-sent events.
    pub(crate) stream: bool,
    /// Prefixes of the prompt, shortest first.
    pub(crate) prefixes: Vec<Prefix>,
    /// Keyed digest of the model and the prompt.
    pub(crate) fingerprint: Fingerprint,
}

/// Parses a request body and computes the digests in one pass over the prompt.
///
/// # Errors
///
/// If the body is malformed or the output limit out of range: the text of the error
/// response.
pub(crate) fn parse(
    body: &[u8],
    bytes_per_token: f64,
    fingerprint_key: &[u8; 32],
) -> Result<CompletionRequest, String> {
    let fields: Fields<'_> =
        serde_json::from_slice(body).map_err(|err| format!("the body is not valid: {err}"))?;
    let prompt = match (fields.prompt, fields.messages) {
        (Some(prompt), None) => prompt.get().as_bytes(),
        (None, Some(messages)) => messages.get().as_bytes(),
        _ => return Err("the body needs either `prompt` or `messages`".to_owned()),
    };
    let requested_max = fields.max_completion_tokens.or(fields.max_tokens);
    let max_output = requested_max.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if !(1..=MAX_OUTPUT_TOKENS).contains(&max_output) {
        return Err(format!(
            "`max_tokens` is {max_output}, allowed 1 to {MAX_OUTPUT_TOKENS}"
        ));
    }
    let estimate_tokens = |bytes: usize| Tokens((bytes as f64 / bytes_per_token).ceil() as u64);
    let (prefixes, digest) = hash_prompt(prompt, bytes_per_token);
    Ok(CompletionRequest {
        fingerprint: compute_fingerprint(&fields.model, &digest, fingerprint_key),
        model: fields.model,
        prompt: estimate_tokens(prompt.len()),
        max_output: Tokens(max_output),
        stream: fields.stream,
        prefixes,
    })
}

/// Returns the hashes of the prompt's prefixes, and the SHA-256 digest of the complete
/// prompt.
fn hash_prompt(prompt: &[u8], bytes_per_token: f64) -> (Vec<Prefix>, [u8; 32]) {
    let mut hasher = Sha256::new();
    let mut prefixes = Vec::new();
    let mut hashed_bytes = 0;
    let mut length_tokens = SHORTEST_PREFIX_TOKENS;
    loop {
        let end = (length_tokens as f64 * bytes_per_token) as usize;
        if end > prompt.len() {
            break;
        }
        hasher.update(&prompt[hashed_bytes..end]);
        let digest = hasher.clone().finalize();
        prefixes.push(Prefix {
            hash: PrefixHash(first_u64(&digest)),
            length: Tokens(length_tokens),
        });
        hashed_bytes = end;
        length_tokens *= 2;
    }
    hasher.update(&prompt[hashed_bytes..]);
    (prefixes, hasher.finalize().into())
}

fn compute_fingerprint(model: &str, digest: &[u8; 32], key: &[u8; 32]) -> Fingerprint {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is allowed");
    mac.update(model.as_bytes());
    mac.update(digest);
    let tag = mac.finalize().into_bytes();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&tag[..16]);
    Fingerprint(truncated)
}

fn first_u64(digest: &[u8]) -> u64 {
    digest[..8]
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
