//! A transfer of a configuration in parts, at the instance that receives it.

use std::rc::Rc;

use cyclamengauge_schema::v1;

use crate::{
    error::Error,
    serving::configuration_spread::{MAX_CONFIGURATION_BYTES, delta, offers, versions::Versions},
};

/// The parts of a transfer that have arrived. Another source may continue it.
#[derive(Clone, Debug, PartialEq)]
struct Transfer {
    version: u64,
    base_version: u64,
    id: u64,
    total_bytes: usize,
    received: Vec<u8>,
}

/// What an instance asks of a source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartRequest {
    /// Versions that the instance has and a change may apply to.
    pub known_versions: Vec<u64>,
    /// The transfer to be continued; none for a new one.
    pub continued: Option<Continued>,
}

/// Position in a transfer that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Continued {
    /// Version that the transfer yields.
    pub version: u64,
    /// Version that its change applies to; 0 if it has a whole configuration.
    pub base_version: u64,
    /// Digest of its bytes.
    pub id: u64,
    /// Bytes that have arrived.
    pub offset: usize,
}

/// A configuration that has arrived whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrived {
    /// Its version.
    pub version: u64,
    /// The configuration, encoded as in the store.
    pub encoded: Rc<[u8]>,
    /// Version that the transfer's change applies to; 0 if it had a whole configuration.
    pub base_version: u64,
    /// The transfer as it was sent, to be passed on.
    pub transferred: Rc<[u8]>,
}

/// Fetch of newer configurations, from one source or several.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    transfer: Option<Transfer>,
    /// Whether a change could not be applied, so that whole configurations are asked for.
    needs_whole: bool,
}

impl Fetch {
    /// The request for the next part.
    pub fn request(&self, versions: &Versions) -> PartRequest {
        let known_versions = match self.needs_whole {
            true => Vec::new(),
            false => versions.numbers(),
        };
        PartRequest {
            known_versions,
            continued: self.transfer.as_ref().map(Transfer::position),
        }
    }

    /// Adds a part. Returns the configuration with the last part of its transfer.
    ///
    /// # Errors
    ///
    /// If the part does not continue the transfer, or the transfer can't be decoded. It is
    /// then given up.
    pub fn accept(
        &mut self,
        part: v1::ConfigurationPart,
        versions: &Versions,
    ) -> Result<Option<Arrived>, Error> {
        let transfer = Transfer::accept(self.transfer.take(), part)?;
        // The version may have come from elsewhere meanwhile.
        if transfer.version <= versions.current() {
            return Ok(None);
        }
        if transfer.received.len() < transfer.total_bytes {
            self.transfer = Some(transfer);
            return Ok(None);
        }
        let arrived = transfer.finish(versions);
        self.needs_whole = arrived.is_err();
        arrived.map(Some)
    }

    /// Whether parts of a transfer are still missing.
    pub fn is_in_progress(&self) -> bool {
        self.transfer.is_some()
    }
}

impl Transfer {
    /// Adds a part to the transfer in progress, or begins the part's transfer.
    ///
    /// # Errors
    ///
    /// If the part does not continue the transfer, or names a size beyond the limit.
    fn accept(transfer: Option<Self>, part: v1::ConfigurationPart) -> Result<Self, Error> {
        let known = transfer.filter(|transfer| transfer.id == part.transfer_id);
        let mut transfer = match known {
            Some(transfer) => transfer,
            None => Self::begin(&part)?,
        };
        let offset = transfer.received.len();
        let is_next = part.offset == offset as u64 && !part.content.is_empty();
        if !is_next || part.content.len() > transfer.total_bytes - offset {
            let problem = format!(
                "got {} bytes at {}, expected the next ones at {offset} of {}",
                part.content.len(),
                part.offset,
                transfer.total_bytes
            );
            return Err(Error::new("receive a configuration", problem));
        }
        transfer.received.extend_from_slice(&part.content);
        Ok(transfer)
    }

    fn begin(part: &v1::ConfigurationPart) -> Result<Self, Error> {
        let total_bytes = usize::try_from(part.transfer_bytes).unwrap_or(usize::MAX);
        if total_bytes > MAX_CONFIGURATION_BYTES {
            let limit = MAX_CONFIGURATION_BYTES;
            let problem = format!("transfer of {total_bytes} bytes, limit {limit} bytes");
            return Err(Error::new("receive a configuration", problem));
        }
        Ok(Self {
            version: part.version,
            base_version: part.base_version,
            id: part.transfer_id,
            total_bytes,
            received: Vec::new(),
        })
    }

    /// Position of the next part.
    fn position(&self) -> Continued {
        Continued {
            version: self.version,
            base_version: self.base_version,
            id: self.id,
            offset: self.received.len(),
        }
    }

    /// Decodes a complete transfer.
    ///
    /// # Errors
    ///
    /// If its bytes are not those that its id stands for, if the base version is not kept
    /// here, or if the change does not apply to it.
    fn finish(self, versions: &Versions) -> Result<Arrived, Error> {
        let id = offers::transfer_id(&self.received);
        if id != self.id {
            let problem = format!("transfer {:016x} has the digest {id:016x}", self.id);
            return Err(Error::new("receive a configuration", problem));
        }
        let base: &[u8] = match self.base_version {
            0 => &[],
            base => versions.get(base).ok_or_else(|| {
                let problem = format!("base version {base} is not kept");
                Error::new("receive a configuration", problem)
            })?,
        };
        Ok(Arrived {
            version: self.version,
            encoded: delta::decode(base, &self.received)?.into(),
            base_version: self.base_version,
            transferred: self.received.into(),
        })
    }
}
