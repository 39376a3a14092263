//! What a completion's body says, and its digests.

use cyclamengauge_core::{
    request::{Fingerprint, Prefix, PrefixHash},
    units::Tokens,
};
use hmac::{Hmac, Mac};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

/// Length of the shortest prefix that is looked up in caches, in tokens. The
/// others double it.
const FIRST_PREFIX: u64 = 1_024;

/// Longest answer if the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Longest answer that a caller may ask for.
const MAX_MAX_TOKENS: u64 = 32_768;

/// Body size from which the work on it leaves the event loop.
pub(crate) const LARGE_BODY: usize = 128 * 1024;

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

/// A completion's body, understood.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Content {
    pub(crate) model: String,
    pub(crate) prompt: Tokens,
    pub(crate) max_output: Tokens,
    pub(crate) stream: bool,
    pub(crate) prefixes: Vec<Prefix>,
    pub(crate) fingerprint: Fingerprint,
}

/// Reads a body and takes its digests in one pass over the prompt.
pub(crate) fn read(
    body: &[u8],
    bytes_per_token: f64,
    fingerprint_key: &[u8; 32],
) -> Result<Content, String> {
    let fields: Fields<'_> =
        serde_json::from_slice(body).map_err(|err| format!("the body is not valid: {err}"))?;
    let prompt = match (fields.prompt, fields.messages) {
        (Some(prompt), None) => prompt.get().as_bytes(),
        (None, Some(messages)) => messages.get().as_bytes(),
        _ => return Err("the body needs either `prompt` or `messages`".to_owned()),
    };
    let asked = fields.max_completion_tokens.or(fields.max_tokens);
    let max_output = asked.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_MAX_TOKENS).contains(&max_output) {
        return Err(format!(
            "`max_tokens` is {max_output}, allowed 1 to {MAX_MAX_TOKENS}"
        ));
    }
    let tokens = |bytes: usize| Tokens((bytes as f64 / bytes_per_token).ceil() as u64);
    let (prefixes, digest) = digests(prompt, bytes_per_token);
    Ok(Content {
        fingerprint: fingerprint(&fields.model, &digest, fingerprint_key),
        model: fields.model,
        prompt: tokens(prompt.len()),
        max_output: Tokens(max_output),
        stream: fields.stream,
        prefixes,
    })
}

/// Digests of the prompt's leading parts and of the whole.
fn digests(prompt: &[u8], bytes_per_token: f64) -> (Vec<Prefix>, [u8; 32]) {
    let mut hash = Sha256::new();
    let mut prefixes = Vec::new();
    let mut done = 0;
    let mut length = FIRST_PREFIX;
    loop {
        let end = (length as f64 * bytes_per_token) as usize;
        if end > prompt.len() {
            break;
        }
        hash.update(&prompt[done..end]);
        let digest = hash.clone().finalize();
        prefixes.push(Prefix {
            hash: PrefixHash(first_word(&digest)),
            length: Tokens(length),
        });
        done = end;
        length *= 2;
    }
    hash.update(&prompt[done..]);
    (prefixes, hash.finalize().into())
}

fn fingerprint(model: &str, digest: &[u8; 32], key: &[u8; 32]) -> Fingerprint {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is allowed");
    mac.update(model.as_bytes());
    mac.update(digest);
    let whole = mac.finalize().into_bytes();
    let mut short = [0; 16];
    short.copy_from_slice(&whole[..16]);
    Fingerprint(short)
}

fn first_word(digest: &[u8]) -> u64 {
    digest[..8]
        .iter()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}
