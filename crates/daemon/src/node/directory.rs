//! What the configuration in force says, prepared for look-up.

use std::collections::{HashMap, HashSet};

use cyclamengauge_core::ids::{AccountId, EngineId};
use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A client account.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// Its name.
    pub id: AccountId,
    /// Longest deadline that it may ask for.
    pub max_deadline_ms: u32,
    /// Models that it may use; all if empty.
    pub models: Vec<String>,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Its base URL.
    pub url: String,
    /// Its declaration.
    pub declared: v1::Engine,
}

/// Accounts, engines and services by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Accounts by the binary hash of each of their keys.
    accounts: Vec<([u8; 32], AccountEntry)>,
    /// Watched engines by name.
    pub engines: HashMap<EngineId, EngineEntry>,
    /// Plain services by name.
    pub services: HashMap<String, v1::Service>,
    /// The routing policy.
    pub routing: v1::RoutingPolicy,
}

impl Directory {
    /// Prepares a declaration; of its engines only the watched ones.
    pub fn new(declaration: &v1::Declaration, watched: &[EngineId]) -> Self {
        let watched: HashSet<&EngineId> = watched.iter().collect();
        let engines = declaration.engines.iter().map(|engine| {
            let entry = EngineEntry {
                url: format!("http://{}", engine.address),
                declared: engine.clone(),
            };
            (EngineId::new(&engine.name), entry)
        });
        let engines = engines.filter(|(id, _)| watched.contains(id));
        let services = declaration.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        Self {
            accounts: accounts(declaration),
            engines: engines.collect(),
            services: services.collect(),
            routing: declaration.routing.unwrap_or_default(),
        }
    }

    /// The account to which a key belongs.
    ///
    /// Every entry is compared in constant time, so the time taken tells
    /// nothing about the keys.
    pub fn account(&self, key: &str) -> Option<&AccountEntry> {
        let hash: [u8; 32] = Sha256::digest(key).into();
        let mut found = None;
        for (known, entry) in &self.accounts {
            if bool::from(known.ct_eq(&hash)) {
                found = Some(entry);
            }
        }
        found
    }
}

fn accounts(declaration: &v1::Declaration) -> Vec<([u8; 32], AccountEntry)> {
    let mut entries = Vec::new();
    for account in &declaration.accounts {
        let entry = AccountEntry {
            id: AccountId::new(&account.name),
            max_deadline_ms: account.max_deadline_ms,
            models: account.models.clone(),
        };
        let hashes = account.key_sha256.iter().filter_map(|hex| decode(hex));
        entries.extend(hashes.map(|hash| (hash, entry.clone())));
    }
    entries
}

/// Decodes 64 hex digits.
pub fn decode(hex: &str) -> Option<[u8; 32]> {
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
