//! Indexes of the configuration in force: accounts, engines and services.

use std::collections::{HashMap, HashSet};

use cyclamengauge_core::ids::{AccountId, EngineId};
use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A client account.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// Name of the account.
    pub id: AccountId,
    /// Longest deadline that a request of the account may set.
    pub max_deadline_ms: u32,
    /// Models that the account may use; all if empty.
    pub models: Vec<String>,
}

/// An engine of this instance's subset.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Base URL, without a trailing slash.
    pub url: String,
    /// The engine's entry in the configuration.
    pub declaration: v1::Engine,
}

/// Accounts by key, and engines and services by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Accounts by the SHA-256 hash of each of their keys.
    accounts: Vec<([u8; 32], AccountEntry)>,
    /// Engines of this instance's subset.
    pub engines: HashMap<EngineId, EngineEntry>,
    /// Plain services.
    pub services: HashMap<String, v1::Service>,
    /// The routing policy.
    pub routing: v1::RoutingPolicy,
}

impl Directory {
    /// Indexes a declaration. Engines outside `subset` are left out.
    pub fn new(declaration: &v1::Declaration, subset: &[EngineId]) -> Self {
        let subset: HashSet<&EngineId> = subset.iter().collect();
        let engines = declaration.engines.iter().map(|engine| {
            let entry = EngineEntry {
                url: format!("http://{}", engine.address),
                declaration: engine.clone(),
            };
            (EngineId::new(&engine.name), entry)
        });
        let engines = engines.filter(|(id, _)| subset.contains(id));
        let services = declaration.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        Self {
            accounts: accounts_by_key_hash(declaration),
            engines: engines.collect(),
            services: services.collect(),
            routing: declaration.routing.unwrap_or_default(),
        }
    }

    /// Finds the account of an API key.
    ///
    /// The key is compared with every entry in constant time, so that response
    /// times reveal nothing about the keys.
    pub fn account(&self, key: &str) -> Option<&AccountEntry> {
        let hash: [u8; 32] = Sha256::digest(key).into();
        let mut found = None;
        for (known_hash, entry) in &self.accounts {
            if bool::from(known_hash.ct_eq(&hash)) {
                found = Some(entry);
            }
        }
        found
    }
}

fn accounts_by_key_hash(declaration: &v1::Declaration) -> Vec<([u8; 32], AccountEntry)> {
    let mut entries = Vec::new();
    for account in &declaration.accounts {
        let entry = AccountEntry {
            id: AccountId::new(&account.name),
            max_deadline_ms: account.max_deadline_ms,
            models: account.models.clone(),
        };
        let hashes = account.key_sha256.iter().filter_map(|hex| decode_hex(hex));
        entries.extend(hashes.map(|hash| (hash, entry.clone())));
    }
    entries
}

/// Decodes 32 bytes from 64 hex digits. Returns `None` if the length differs or a
/// pair of characters is not a hex number.
pub fn decode_hex(hex: &str) -> Option<[u8; 32]> {
    let digits = hex.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(bytes)
}
