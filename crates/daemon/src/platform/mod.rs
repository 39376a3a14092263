/*!
The platform's services: table service, object store and list of instances.

The table service keeps rows with a version each. A write names the version
that the row must have, 0 for a row that must not exist.
*/

use actix_http::HttpMessage;
use std::{fmt, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::error::Error;
use cyclamengauge_schema::v1;

use crate::http;

/// Largest row or object that is read.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// The answer to a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// It took effect; the row's new version.
    Written(u64),
    /// The condition did not hold; the row as it is.
    Conflict(v1::Row),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug)]
pub enum Unanswered {
    /// Nothing was sent, so nothing took effect.
    NotSent(Error),
    /// A write may have taken effect.
    Lost(Error),
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(err) => write!(f, "{err}; nothing was sent"),
            Self::Lost(err) => write!(f, "{err}; a write may have taken effect"),
        }
    }
}

impl std::error::Error for Unanswered {}

/// Client of the platform's services.
#[derive(Clone)]
pub struct Platform {
    client: awc::Client,
    table: String,
    objects: String,
    instances: String,
    timeout: Duration,
}

impl Platform {
    /// Creates a client for the addresses in the settings.
    pub fn new(client: awc::Client, address: &v1::PlatformAddress) -> Self {
        Self {
            client,
            table: format!("http://{}/v1/rows", address.table),
            objects: format!("http://{}/v1/objects", address.objects),
            instances: format!("http://{}/v1/instances", address.instances),
            timeout: Duration::from_millis(u64::from(address.timeout_ms)),
        }
    }

    /// Reads a row; one of version 0 does not exist.
    ///
    /// # Errors
    ///
    /// If the table service gives no answer.
    pub async fn get(&self, key: &str) -> Result<v1::Row, Unanswered> {
        metrics::counter!("cyclamengauge_store_reads_total").increment(1);
        let url = format!("{}/{key}", self.table);
        let request = self.client.get(url).timeout(self.timeout);
        let (status, body) = self.answer("read row", request.send()).await?;
        match status {
            404 => Ok(v1::Row {
                key: key.to_owned(),
                ..v1::Row::default()
            }),
            200 => parse("read row", &body),
            _ => Err(lost("read row", format!("status {status}"))),
        }
    }

    /// Writes a row if it has the version `if_version`; 0 stands for absent.
    ///
    /// # Errors
    ///
    /// If the table service gives no answer; the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        if_version: u64,
        value: Vec<u8>,
    ) -> Result<PutOutcome, Unanswered> {
        metrics::counter!("cyclamengauge_store_writes_total").increment(1);
        let url = format!("{}/{key}", self.table);
        let request = self
            .client
            .put(url)
            .timeout(self.timeout)
            .insert_header(("if-match", if_version.to_string()));
        let (status, body) = self.answer("write row", request.send_body(value)).await?;
        let row: v1::Row = match status {
            200 | 412 => parse("write row", &body)?,
            _ => return Err(lost("write row", format!("status {status}"))),
        };
        Ok(match status {
            200 => PutOutcome::Written(row.version),
            _ => PutOutcome::Conflict(row),
        })
    }

    /// Reads an object; none if there is none of that name.
    ///
    /// # Errors
    ///
    /// If the object store gives no answer.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, Unanswered> {
        let url = format!("{}/{name}", self.objects);
        let request = self.client.get(url).timeout(self.timeout);
        let (status, body) = self.answer("read object", request.send()).await?;
        match status {
            200 => Ok(Some(body)),
            404 => Ok(None),
            _ => Err(lost("read object", format!("status {status}"))),
        }
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// If the object store gives no answer.
    pub async fn put_object(&self, name: &str, value: Vec<u8>) -> Result<(), Unanswered> {
        let url = format!("{}/{name}", self.objects);
        let request = self.client.put(url).timeout(self.timeout);
        let (status, _) = self
            .answer("write object", request.send_body(value))
            .await?;
        match status {
            200 => Ok(()),
            _ => Err(lost("write object", format!("status {status}"))),
        }
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// If the platform gives no answer.
    pub async fn list_instances(&self) -> Result<v1::InstanceList, Unanswered> {
        let request = self.client.get(&self.instances).timeout(self.timeout);
        let (status, body) = self.answer("read instances", request.send()).await?;
        match status {
            200 => parse("read instances", &body),
            _ => Err(lost("read instances", format!("status {status}"))),
        }
    }

    async fn answer(
        &self,
        step: &'static str,
        sending: awc::SendClientRequest,
    ) -> Result<(u16, Bytes), Unanswered> {
        let mut response = sending.await.map_err(|err| match err {
            awc::error::SendRequestError::Connect(err) => {
                Unanswered::NotSent(Error::new(step, err.to_string()).with_peer("platform"))
            }
            err => lost(step, err.to_string()),
        })?;
        let status = response.status().as_u16();
        let body = http::collect_response(response.take_payload(), MAX_BYTES, self.timeout)
            .await
            .map_err(|err| lost(step, err.to_string()))?;
        Ok((status, body))
    }
}

fn lost(step: &str, cause: impl Into<String>) -> Unanswered {
    Unanswered::Lost(Error::new(step, cause).with_peer("platform"))
}

fn parse<T: serde::de::DeserializeOwned>(step: &str, body: &[u8]) -> Result<T, Unanswered> {
    serde_json::from_slice(body).map_err(|err| lost(step, err.to_string()))
}
