//! Key by which instances prove to each other that they are instances of this system.
//!
//! It is a row of the platform's store, which the first instance creates. An instance that
//! has not read it yet neither hands requests over nor takes any.

use std::{cell::RefCell, rc::Rc};

use anyhow::Context;
use cyclamengauge_core::serving::store_calls::{self, StoreCalls};
use cyclamengauge_platform::store;

use crate::{
    gateway::{Gateway, store::StoreClient, watch},
    peers::mac,
    telemetry::process_events,
};

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

type Key = [u8; KEY_BYTES];

/// The keys that this instance knows.
#[derive(Debug, Default)]
pub struct PeerKeys {
    /// The key in the store, and the one that it replaced when the store had lost it.
    keys: RefCell<Vec<Key>>,
}

impl PeerKeys {
    /// Whether a key is known.
    pub fn is_loaded(&self) -> bool {
        !self.keys.borrow().is_empty()
    }

    /// MAC of a message under the current key; none without a key.
    pub fn sign(&self, message: &[u8]) -> Option<Vec<u8>> {
        let keys = self.keys.borrow();
        Some(mac::compute_mac(message, keys.first()?))
    }

    /// Whether the MAC of a message is valid under a known key.
    pub fn verify(&self, message: &[u8], received: &[u8]) -> bool {
        let keys = self.keys.borrow();
        let mut expected = keys.iter().map(|key| mac::compute_mac(message, key));
        expected.any(|expected| mac::equals_in_constant_time(&expected, received))
    }

    fn adopt(&self, key: Key) {
        let mut keys = self.keys.borrow_mut();
        keys.retain(|known| *known != key);
        keys.insert(0, key);
        keys.truncate(2);
    }
}

/// Reads the key at the start of the process and creates it if there is none; again
/// whenever the store has come back from an older copy. Failed calls are retried.
pub async fn keep_loaded(gateway: Rc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut calls = StoreCalls::default();
    loop {
        match read(&mut client).await {
            Ok(Some(key)) => {
                gateway.peer_keys.adopt(key);
                watch::wait_for_later_era(&gateway, client.era().unwrap_or_default()).await;
            }
            Ok(None) => {
                // Another instance may create it first, so it is read again in any case.
                if let Err(err) = create(&gateway, &mut client).await {
                    tracing::debug!("peers: create the key: {err:#}");
                }
            }
            Err(err) => {
                process_events::log_announce_failed(&err);
                watch::back_off(&gateway, &mut calls).await;
            }
        }
    }
}

async fn read(client: &mut StoreClient) -> anyhow::Result<Option<Key>> {
    let mut rows_read = None;
    let table = store::Table::Keys;
    let timeout = store_calls::RESPONSE_TIMEOUT;
    while client
        .read_page(table, &mut rows_read, timeout)
        .await
        .context("read the peers' key")?
    {}
    let rows = rows_read.into_iter().flat_map(|rows| rows.rows);
    let mut values = rows
        .filter(|row| row.key == store::PEER_KEY)
        .filter_map(|row| row.value);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let length = value.len();
    let key = Key::try_from(value);
    key.map(Some).map_err(|_| {
        anyhow::anyhow!("read the peers' key: it has {length} bytes instead of {KEY_BYTES}")
    })
}

async fn create(gateway: &Gateway, client: &mut StoreClient) -> anyhow::Result<()> {
    let known = gateway.peer_keys.keys.borrow().first().copied();
    let key = match known {
        Some(key) => key,
        None => {
            let mut key = Key::default();
            getrandom::fill(&mut key).map_err(|err| anyhow::anyhow!("draw a key: {err}"))?;
            key
        }
    };
    let body = store::create_body(store::Table::Keys, store::PEER_KEY, &key);
    client
        .run_transaction(body, store_calls::RESPONSE_TIMEOUT)
        .await
}
