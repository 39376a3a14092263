//! Client of the platform's store over one connection, which is reopened after a
//! failure.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::serving::store_calls::FeedCall;
use cyclamengauge_platform::store;
use http::{Method, Request, Response};
use http_body_util::Full;

use crate::{
    gateway::{Gateway, own_link::OwnLinkUse, upstream::Connection},
    telemetry::process_events,
};

/// Time for connecting to the store: far above the round-trip time to the store,
/// far below the apply limit of configurations.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A response of the store.
struct StoreResponse {
    response: Response<Bytes>,
    /// Era of the store when it responded.
    era: store::StoreEra,
}

/// Store client; makes one call at a time.
pub struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
    own_link: Rc<OwnLinkUse>,
    /// Era of the store in its latest response; none before the first one.
    era: Option<store::StoreEra>,
}

impl StoreClient {
    /// Creates a client; the first call opens the connection.
    pub fn new(gateway: &Gateway) -> Self {
        Self {
            address: gateway.settings.borrow().store_address,
            connection: None,
            own_link: Rc::clone(&gateway.own_link),
            era: None,
        }
    }

    /// Era of the store in its latest response; none before the first one.
    pub fn era(&self) -> Option<store::StoreEra> {
        self.era
    }

    /// Reads the next page of a table and appends it to `rows_read`. Returns whether
    /// the table has more pages.
    ///
    /// `rows_read` keeps its pages if a call fails: when many instances start at
    /// once, the store refuses some of their calls. The version of `rows_read` is
    /// that of the first page, so that a feed from this version includes the changes
    /// made during the read.
    ///
    /// # Errors
    ///
    /// If the call fails, the response has an error status, or its body can't be
    /// decoded.
    pub async fn read_page(
        &mut self,
        table: store::Table,
        rows_read: &mut Option<store::Rows>,
        timeout: Duration,
    ) -> anyhow::Result<bool> {
        let last = rows_read.as_ref().and_then(|rows| rows.rows.last());
        // The page starts with the last row read; reading a row twice is harmless.
        let path = store::read_path(table, last.map(|row| row.key.as_str()));
        let response = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        let era = response.era;
        let page = store::decode_rows(&success_body(response, "read a table page")?, era)?;
        report_unreadable(table, &page);
        if rows_read
            .as_ref()
            .is_some_and(|rows| rows.version.era != era)
        {
            // The earlier pages are from before a restoration of the store.
            *rows_read = None;
            return Ok(true);
        }
        let has_more = page.has_more && page.rows.len() > 1;
        match rows_read {
            None => *rows_read = Some(page),
            Some(rows_read) => rows_read.rows.extend(page.rows),
        }
        Ok(has_more)
    }

    /// Waits for changes of a table after the version `since`. `None` if the store no
    /// longer has the changes since then, or has come back from an older copy and may have
    /// given out the version again: the table must be read in full.
    ///
    /// # Errors
    ///
    /// If the call fails, the response has an error status, or its body can't be
    /// decoded.
    pub async fn wait_for_changes(
        &mut self,
        table: store::Table,
        since: store::StoreVersion,
        feed: FeedCall,
    ) -> anyhow::Result<Option<store::Rows>> {
        let path = store::feed_path(table, since, feed.max_wait);
        let response = self
            .call(Method::GET, &path, Bytes::new(), feed.timeout)
            .await?;
        let era = response.era;
        let status = response.response.status();
        if status.as_u16() == store::HISTORY_GONE_STATUS
            || (status.is_success() && era != since.era)
        {
            return Ok(None);
        }
        let rows = store::decode_rows(&success_body(response, "wait for table changes")?, era)?;
        report_unreadable(table, &rows);
        Ok(Some(rows))
    }

    /// Runs a transaction that writes rows; `body` is its encoded form.
    ///
    /// # Errors
    ///
    /// If the call fails or is refused. Without a response, the transaction may have
    /// been committed.
    pub async fn run_transaction(
        &mut self,
        body: Vec<u8>,
        timeout: Duration,
    ) -> anyhow::Result<()> {
        let body = Bytes::from(body);
        let response = self
            .call(Method::POST, store::TRANSACTION_PATH, body, timeout)
            .await?;
        success_body(response, "run a transaction").map(|_| ())
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> anyhow::Result<StoreResponse> {
        let mut connection = match self.connection.take().filter(Connection::is_open) {
            Some(connection) => connection,
            None => Connection::open(self.address, CONNECT_TIMEOUT).await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .context("build store request")?;
        let call = async {
            let head = connection.send(request).await?;
            self.own_link.collect(&connection, head).await
        };
        let response = actix_rt::time::timeout(timeout, call).await;
        let result = match &response {
            Ok(Ok(response)) if response.status().is_success() => "done",
            Ok(Ok(_)) => "refused",
            Ok(Err(_)) => "broke off",
            Err(_) => "no answer",
        };
        metrics::counter!("cyclamengauge_store_calls_total", "result" => result).increment(1);
        let response = response
            .with_context(|| {
                format!(
                    "call store {}: no response within {timeout:?}",
                    self.address
                )
            })?
            .with_context(|| format!("call store {}", self.address))?;
        // A connection that lost a response may never deliver another one, so a
        // connection is reused only after a response.
        self.connection = Some(connection);
        let era = response.headers().get(store::ERA_HEADER);
        let era = store::parse_era(era.map(|value| value.as_bytes()))
            .with_context(|| format!("call store {}", self.address))?;
        self.era = Some(era);
        Ok(StoreResponse { response, era })
    }
}

fn report_unreadable(table: store::Table, rows: &store::Rows) {
    if rows.unreadable > 0 {
        process_events::log_rows_unreadable(&table, rows.unreadable);
    }
}

fn success_body(response: StoreResponse, step: &str) -> anyhow::Result<Bytes> {
    let response = response.response;
    let status = response.status();
    anyhow::ensure!(
        status.is_success(),
        "{step}: store response status {status}"
    );
    Ok(response.into_body())
}
