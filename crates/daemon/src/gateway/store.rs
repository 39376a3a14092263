//! The client of the platform's store, over one connection that is renewed
//! whenever it fails.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_platform::store;
use http::{Method, Request, Response};
use http_body_util::Full;

use crate::gateway::upstream::Connection;

/// Time to connect to the store: far above its distance, far below the time in
/// which a configuration must be in force.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls to the store, one at a time.
pub struct Store {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Store {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Reads the next page of a table into what is known of it; returns whether
    /// there are more.
    ///
    /// Pages that were read stay known if a later call fails, as many instances
    /// that start together get some calls refused. The version is the first
    /// page's, so a feed from there has what changed meanwhile.
    ///
    /// # Errors
    ///
    /// If the call fails or is answered with another status than 200.
    pub async fn read_page(
        &mut self,
        table: store::Table,
        known: &mut Option<store::Rows>,
        timeout: Duration,
    ) -> anyhow::Result<bool> {
        let last = known.as_ref().and_then(|rows| rows.rows.last());
        // The range includes its start; a row that is read twice does no harm.
        let path = store::read_path(table, last.map(|row| row.key.as_str()));
        let answer = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        let page = store::decode_rows(&succeeded(answer, "read a table")?)?;
        let more = page.has_more && page.rows.len() > 1;
        match known {
            None => *known = Some(page),
            Some(known) => known.rows.extend(page.rows),
        }
        Ok(more)
    }

    /// Waits for changes of a table; none if its history is gone and it must be
    /// read anew.
    ///
    /// # Errors
    ///
    /// If the call fails or is answered with another status.
    pub async fn feed(
        &mut self,
        table: store::Table,
        since: store::StoreVersion,
        wait: Duration,
        slack: Duration,
    ) -> anyhow::Result<Option<store::Rows>> {
        let path = store::feed_path(table, since, wait);
        let answer = self
            .call(Method::GET, &path, Bytes::new(), wait + slack)
            .await?;
        if answer.status().as_u16() == store::HISTORY_GONE_STATUS {
            return Ok(None);
        }
        store::decode_rows(&succeeded(answer, "follow a table")?).map(Some)
    }

    /// Changes rows.
    ///
    /// # Errors
    ///
    /// If the call fails or is refused. Without an answer the change may have
    /// been made.
    pub async fn change(&mut self, body: Vec<u8>, timeout: Duration) -> anyhow::Result<()> {
        let body = Bytes::from(body);
        let answer = self
            .call(Method::POST, store::TRANSACTION_PATH, body, timeout)
            .await?;
        succeeded(answer, "change a table").map(|_| ())
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> anyhow::Result<Response<Bytes>> {
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
            .context("build a call to the store")?;
        let answer = actix_rt::time::timeout(timeout, connection.call(request)).await;
        let result = match &answer {
            Ok(Ok(answer)) if answer.status().is_success() => "done",
            Ok(Ok(_)) => "refused",
            Ok(Err(_)) => "broke off",
            Err(_) => "no answer",
        };
        metrics::counter!("cyclamengauge_store_calls_total", "result" => result).increment(1);
        let answer = answer
            .with_context(|| format!("call the store: no answer in {timeout:?}"))?
            .context("call the store")?;
        // A connection on which an answer got lost stays silent, so only one that
        // has answered is used again.
        self.connection = Some(connection);
        Ok(answer)
    }
}

fn succeeded(answer: Response<Bytes>, step: &str) -> anyhow::Result<Bytes> {
    let status = answer.status();
    anyhow::ensure!(status.is_success(), "{step}: the store answered {status}");
    Ok(answer.into_body())
}
