//! A configuration version as a change of an earlier one.
//!
//! An encoded configuration is a text with an entry in braces for each route, service and
//! account. Two versions share most of these entries byte by byte. A delta copies runs of
//! them from the base version and carries the others; it knows nothing of their content.

use std::{
    collections::HashMap,
    io::{Read, Write},
};

use cyclamengauge_schema::v1;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use prost::Message;
use sha2::{Digest, Sha256};

use crate::{error::Error, serving::configuration_spread::MAX_CONFIGURATION_BYTES};

/// Compression level: the fastest one, as it runs on small machines.
const COMPRESSION: Compression = Compression::fast();

/// Largest size of an uncompressed delta; its pieces add little to the configuration.
const MAX_DELTA_BYTES: usize = 2 * MAX_CONFIGURATION_BYTES;

/// Encodes `target` as a change of `base`, or whole with an empty base.
pub fn encode(base: &[u8], target: &[u8]) -> Vec<u8> {
    let delta = v1::ConfigurationDelta {
        result_bytes: target.len() as u64,
        result_digest: Sha256::digest(target).to_vec(),
        pieces: pieces(base, target),
    };
    compress(&delta.encode_to_vec())
}

/// Decodes a version that was encoded as a change of `base`.
///
/// # Errors
///
/// If `encoded` is malformed or too large, or if it was made for another base.
pub fn decode(base: &[u8], encoded: &[u8]) -> Result<Vec<u8>, Error> {
    let delta = decompress(encoded)?;
    let delta = v1::ConfigurationDelta::decode(&delta[..])
        .map_err(|err| failed(format!("malformed delta: {err}")))?;
    let expected_bytes = usize::try_from(delta.result_bytes).unwrap_or(usize::MAX);
    if expected_bytes > MAX_CONFIGURATION_BYTES {
        let limit = MAX_CONFIGURATION_BYTES;
        let problem = format!("configuration of {expected_bytes} bytes, limit {limit} bytes");
        return Err(failed(problem));
    }
    let mut result = Vec::with_capacity(expected_bytes);
    for piece in &delta.pieces {
        let copied = copied_range(base, piece)?;
        if result.len() + piece.literal.len() + copied.len() > expected_bytes {
            let problem = format!("more than the {expected_bytes} bytes that it names");
            return Err(failed(problem));
        }
        result.extend_from_slice(&piece.literal);
        result.extend_from_slice(copied);
    }
    if Sha256::digest(&result)[..] != delta.result_digest[..] {
        let problem = format!("digest of the {} resulting bytes differs", result.len());
        return Err(failed(problem));
    }
    Ok(result)
}

fn copied_range<'a>(base: &'a [u8], piece: &v1::DeltaPiece) -> Result<&'a [u8], Error> {
    let start = usize::try_from(piece.copied_offset).ok();
    let length = usize::try_from(piece.copied_bytes).ok();
    let range = start.and_then(|start| Some(start..start.checked_add(length?)?));
    let copied = range.and_then(|range| base.get(range));
    copied.ok_or_else(|| {
        let (offset, length) = (piece.copied_offset, piece.copied_bytes);
        let base = base.len();
        failed(format!(
            "copies {length} bytes from {offset} on, the base has {base}"
        ))
    })
}

/// Pieces that make up `target`.
fn pieces(base: &[u8], target: &[u8]) -> Vec<v1::DeltaPiece> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for entry in entries(base) {
        offsets.entry(entry).or_insert(offset);
        offset += entry.len();
    }
    let mut pieces = vec![v1::DeltaPiece::default()];
    for entry in entries(target) {
        let last = pieces.len() - 1;
        let piece = &mut pieces[last];
        let copied_end = (piece.copied_offset + piece.copied_bytes) as usize;
        // Equal entries that follow each other in both versions are one run.
        if piece.copied_bytes > 0 && base[copied_end..].starts_with(entry) {
            piece.copied_bytes += entry.len() as u64;
            continue;
        }
        let known = offsets.get(entry).map(|offset| *offset as u64);
        if piece.copied_bytes > 0 {
            pieces.push(v1::DeltaPiece::default());
        }
        let last = pieces.len() - 1;
        let piece = &mut pieces[last];
        match known {
            Some(offset) => {
                piece.copied_offset = offset;
                piece.copied_bytes = entry.len() as u64;
            }
            None => piece.literal.extend_from_slice(entry),
        }
    }
    pieces
}

/// Splits an encoded configuration after each closing brace.
fn entries(encoded: &[u8]) -> impl Iterator<Item = &[u8]> {
    encoded.split_inclusive(|byte| *byte == b'}')
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), COMPRESSION);
    let written = encoder.write_all(bytes);
    let finished = written.and_then(|()| encoder.finish());
    // Writing to a vector does not fail.
    finished.unwrap_or_default()
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut decompressed = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_DELTA_BYTES as u64 + 1);
    decoder
        .read_to_end(&mut decompressed)
        .map_err(|err| failed(format!("decompress: {err}")))?;
    if decompressed.len() > MAX_DELTA_BYTES {
        return Err(failed(format!(
            "delta of more than {MAX_DELTA_BYTES} bytes"
        )));
    }
    Ok(decompressed)
}

fn failed(problem: String) -> Error {
    Error::new("decode a change of the configuration", problem)
}
