//! Answers to peers that ask for a configuration, in parts and within a share of the own
//! link.

use std::{rc::Rc, time::Duration};

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{
    clock::Instant,
    serving::configuration_spread::{
        delta,
        pacing::Pacer,
        transfer::{Arrived, Continued, PartRequest},
        versions::Versions,
    },
    units::MegabitsPerSecond,
};

/// Largest part of a transfer: a few milliseconds of the slowest link, and little to send
/// again if a source falls silent.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// Longest time for which a part waits for room on the link. Beyond it, the peer asks
/// another source.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// Number of encoded transfers that are kept.
const MAX_TRANSFERS: usize = 8;

#[derive(Clone, Debug)]
struct Encoded {
    version: u64,
    base_version: u64,
    id: u64,
    bytes: Rc<[u8]>,
}

/// Answer to a request for a part.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The part, to be sent after a wait.
    Part {
        /// The part.
        part: v1::ConfigurationPart,
        /// Time until there is room for it on the link.
        wait: Duration,
    },
    /// There is no room on the link for some time.
    Busy(Duration),
    /// There is no newer version here.
    Nothing,
}

/// The transfers that this instance offers to its peers.
#[derive(Clone, Debug, Default)]
pub struct Offers {
    transfers: Vec<Encoded>,
    pacer: Pacer,
}

impl Offers {
    /// Offers within a share of a link.
    pub fn new(link: MegabitsPerSecond) -> Self {
        Self {
            transfers: Vec::new(),
            pacer: Pacer::new(link),
        }
    }

    /// Answers a peer's request for a part.
    pub fn answer(&mut self, request: &PartRequest, versions: &Versions, now: Instant) -> Answer {
        let newest_known = request.known_versions.iter().max();
        if versions.current() <= newest_known.copied().unwrap_or_default() {
            return Answer::Nothing;
        }
        let wait = self.pacer.wait(now);
        if wait > MAX_WAIT {
            return Answer::Busy(wait);
        }
        let continued = request.continued;
        let found = continued.and_then(|at| Some((self.find_continued(at, versions)?, at.offset)));
        let newest = |offers: &mut Self| {
            let transfer = offers.newest(&request.known_versions, versions)?;
            Some((transfer, 0))
        };
        let Some((transfer, offset)) = found.or_else(|| newest(self)) else {
            return Answer::Nothing;
        };
        let end = transfer.bytes.len().min(offset + MAX_PART_BYTES);
        let part = v1::ConfigurationPart {
            version: transfer.version,
            base_version: transfer.base_version,
            transfer_id: transfer.id,
            transfer_bytes: transfer.bytes.len() as u64,
            offset: offset as u64,
            content: transfer.bytes[offset..end].to_vec(),
            retry_after_ms: None,
        };
        self.pacer.record(end - offset, now);
        Answer::Part { part, wait }
    }

    /// Records bytes that are sent to a peer of an older build, which fetches
    /// configurations whole.
    pub fn record_whole(&mut self, bytes: usize, now: Instant) {
        self.pacer.record(bytes, now);
    }

    /// Keeps a transfer that has arrived, to pass it on as it is.
    pub fn keep(&mut self, arrived: &Arrived) {
        self.insert(Encoded {
            version: arrived.version,
            base_version: arrived.base_version,
            id: transfer_id(&arrived.transferred),
            bytes: Rc::clone(&arrived.transferred),
        });
    }

    /// The transfer that a peer continues, if it has the same bytes here.
    fn find_continued(&mut self, at: Continued, versions: &Versions) -> Option<Encoded> {
        let is_known = |encoded: &&Encoded| encoded.id == at.id;
        let known = self.transfers.iter().find(is_known).cloned();
        let transfer = match known {
            Some(known) => known,
            None => self.find_or_encode(at.version, at.base_version, versions)?,
        };
        (transfer.id == at.id && at.offset < transfer.bytes.len()).then_some(transfer)
    }

    /// The transfer of the version in force to a peer with `known_versions`.
    fn newest(&mut self, known_versions: &[u64], versions: &Versions) -> Option<Encoded> {
        let base_version = versions.common_base(known_versions).unwrap_or_default();
        self.find_or_encode(versions.current(), base_version, versions)
    }

    fn find_or_encode(
        &mut self,
        version: u64,
        base_version: u64,
        versions: &Versions,
    ) -> Option<Encoded> {
        let is_known =
            |encoded: &&Encoded| encoded.version == version && encoded.base_version == base_version;
        if let Some(known) = self.transfers.iter().find(is_known) {
            return Some(known.clone());
        }
        let target = versions.get(version)?;
        let base: &[u8] = match base_version {
            0 => &[],
            base => versions.get(base)?,
        };
        Some(self.encode(version, base_version, base, target))
    }

    fn encode(&mut self, version: u64, base_version: u64, base: &[u8], target: &[u8]) -> Encoded {
        let bytes: Rc<[u8]> = delta::encode(base, target).into();
        let encoded = Encoded {
            version,
            base_version,
            id: transfer_id(&bytes),
            bytes,
        };
        self.insert(encoded.clone());
        encoded
    }

    fn insert(&mut self, encoded: Encoded) {
        let is_same = |kept: &Encoded| {
            kept.version == encoded.version && kept.base_version == encoded.base_version
        };
        self.transfers.retain(|kept| !is_same(kept));
        if self.transfers.len() >= MAX_TRANSFERS {
            self.transfers.remove(0);
        }
        self.transfers.push(encoded);
    }
}

/// Digest of the bytes of a transfer.
pub fn transfer_id(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest[..8]
        .iter()
        .fold(0, |id, byte| id << 8 | u64::from(*byte))
}
