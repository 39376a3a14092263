/*!
Client of the platform's table service, object store and instance list.

Each row of the table service has a version. A write is conditional on the row's
current version; 0 means that the row must not exist.
*/

use actix_http::HttpMessage;
use std::{fmt, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::error::Error;
use cyclamengauge_schema::v1;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::http;

/// Largest row, object or instance list that is read.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// The row was written; its new version.
    Written(u64),
    /// The row had another version; the stored row.
    Conflict(v1::Row),
}

/// Failure of a request to the platform.
#[derive(Clone, Debug)]
pub enum RequestError {
    /// No connection was established, so nothing was sent.
    NotSent(Error),
    /// The request was sent and its result is not known. A write may have taken effect.
    OutcomeUnknown(Error),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(err) => write!(f, "{err}; nothing was sent"),
            Self::OutcomeUnknown(err) => write!(f, "{err}; a write may have taken effect"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Client of the platform's services.
#[derive(Clone)]
pub struct Platform {
    client: awc::Client,
    table_url: String,
    objects_url: String,
    instances_url: String,
    timeout: Duration,
}

impl Platform {
    /// Creates a client for the addresses in the settings. Each request has the
    /// timeout set there.
    pub fn new(client: awc::Client, address: &v1::PlatformAddress) -> Self {
        Self {
            client,
            table_url: format!("http://{}/v1/rows", address.table),
            objects_url: format!("http://{}/v1/objects", address.objects),
            instances_url: format!("http://{}/v1/instances", address.instances),
            timeout: Duration::from_millis(u64::from(address.timeout_ms)),
        }
    }

    /// Reads a row. A row that does not exist is returned with version 0.
    ///
    /// # Errors
    ///
    /// If the table service does not respond or its response is invalid.
    pub async fn get(&self, key: &str) -> Result<v1::Row, RequestError> {
        metrics::counter!("cyclamengauge_store_reads_total").increment(1);
        let url = format!("{}/{key}", self.table_url);
        let request = self.client.get(url).timeout(self.timeout);
        let (status, body) = self.send_request("read row", request.send()).await?;
        match status {
            404 => Ok(v1::Row {
                key: key.to_owned(),
                ..v1::Row::default()
            }),
            200 => parse_json("read row", &body),
            _ => Err(outcome_unknown("read row", format!("status {status}"))),
        }
    }

    /// Writes a row if its version is `if_version`; 0 means that the row must not exist.
    ///
    /// # Errors
    ///
    /// If the table service does not respond or its response is invalid. The write
    /// may then have taken effect, unless the error is [`RequestError::NotSent`].
    pub async fn put(
        &self,
        key: &str,
        if_version: u64,
        value: Vec<u8>,
    ) -> Result<PutOutcome, RequestError> {
        metrics::counter!("cyclamengauge_store_writes_total").increment(1);
        let url = format!("{}/{key}", self.table_url);
        let request = self
            .client
            .put(url)
            .timeout(self.timeout)
            .insert_header(("if-match", if_version.to_string()));
        let (status, body) = self
            .send_request("write row", request.send_body(value))
            .await?;
        let row: v1::Row = match status {
            200 | 412 => parse_json("write row", &body)?,
            _ => return Err(outcome_unknown("write row", format!("status {status}"))),
        };
        Ok(match status {
            200 => PutOutcome::Written(row.version),
            _ => PutOutcome::Conflict(row),
        })
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// If the object store does not respond or its response is invalid.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, RequestError> {
        let url = format!("{}/{name}", self.objects_url);
        let request = self.client.get(url).timeout(self.timeout);
        let (status, body) = self.send_request("read object", request.send()).await?;
        match status {
            200 => Ok(Some(body)),
            404 => Ok(None),
            _ => Err(outcome_unknown("read object", format!("status {status}"))),
        }
    }

    /// Writes an object, or replaces it.
    ///
    /// # Errors
    ///
    /// If the object store does not respond or its response is invalid.
    pub async fn put_object(&self, name: &str, value: Vec<u8>) -> Result<(), RequestError> {
        let url = format!("{}/{name}", self.objects_url);
        let request = self.client.put(url).timeout(self.timeout);
        let (status, _) = self
            .send_request("write object", request.send_body(value))
            .await?;
        match status {
            200 => Ok(()),
            _ => Err(outcome_unknown("write object", format!("status {status}"))),
        }
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// If the platform does not respond or its response is no list.
    pub async fn list_instances(&self) -> Result<ListedInstances, RequestError> {
        let request = self.client.get(&self.instances_url).timeout(self.timeout);
        let (status, body) = self.send_request("read instances", request.send()).await?;
        match status {
            200 => parse_instances(&body),
            _ => Err(outcome_unknown(
                "read instances",
                format!("status {status}"),
            )),
        }
    }

    async fn send_request(
        &self,
        step: &'static str,
        request: awc::SendClientRequest,
    ) -> Result<(u16, Bytes), RequestError> {
        let mut response = request.await.map_err(|err| match http::is_unsent(&err) {
            true => RequestError::NotSent(Error::new(step, err.to_string()).with_peer("platform")),
            false => outcome_unknown(step, err.to_string()),
        })?;
        let status = response.status().as_u16();
        let body =
            http::collect_response(response.take_payload(), MAX_RESPONSE_BYTES, self.timeout)
                .await
                .map_err(|err| outcome_unknown(step, err.to_string()))?;
        Ok((status, body))
    }
}

fn outcome_unknown(step: &str, cause: impl Into<String>) -> RequestError {
    RequestError::OutcomeUnknown(Error::new(step, cause).with_peer("platform"))
}

/// The platform's list of instances.
pub struct ListedInstances {
    /// The entries that can be read.
    pub entries: Vec<v1::ListedInstance>,
    /// Position of each other entry, and why it can't be read.
    pub unreadable: Vec<(usize, String)>,
}

/// The list of instances, whose entries are parsed one by one: other writers choose what is
/// in them.
#[derive(Deserialize)]
struct WireInstanceList<'a> {
    #[serde(borrow, default)]
    instances: Vec<&'a RawValue>,
}

fn parse_instances(body: &[u8]) -> Result<ListedInstances, RequestError> {
    let step = "read instances";
    let list: WireInstanceList<'_> =
        serde_json::from_slice(body).map_err(|err| outcome_unknown(step, err.to_string()))?;
    let mut listed = ListedInstances {
        entries: Vec::new(),
        unreadable: Vec::new(),
    };
    for (index, entry) in list.instances.into_iter().enumerate() {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => listed.entries.push(entry),
            Err(err) => listed.unreadable.push((index, err.to_string())),
        }
    }
    Ok(listed)
}

fn parse_json<T: serde::de::DeserializeOwned>(step: &str, body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|err| outcome_unknown(step, err.to_string()))
}
