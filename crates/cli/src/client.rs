//! HTTP client of the instances' operator API.

use std::time::Duration;

use anyhow::Context;
use awc::error::{ConnectError, SendRequestError};
use serde::{Serialize, de::DeserializeOwned};

/// Time limit for the response head of an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Failure of a request to the instances. Each variant holds a human-readable detail.
#[derive(Debug)]
pub enum RequestError {
    /// No instance accepted a connection.
    Unreachable(String),
    /// An instance responded with a status other than 200.
    Refused(String),
    /// An instance was connected, but no complete response arrived within the
    /// time and size limits. The instance may have executed the request.
    NoResponse(String),
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(detail) => write!(f, "no instance reachable: {detail}"),
            Self::Refused(detail) => f.write_str(detail),
            Self::NoResponse(detail) => {
                write!(f, "no complete response from the instance: {detail}")
            }
        }
    }
}

impl std::error::Error for RequestError {}

/// Client of several instances. Requests need only one reachable instance, except
/// those to a named instance.
pub struct Client {
    http: awc::Client,
    instances: Vec<String>,
    key: String,
}

impl Client {
    /// Creates a client with the addresses (`IP:port`) of the instances and the
    /// operator's key.
    pub fn new(instances: Vec<String>, key: String) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(REQUEST_TIMEOUT)
            .finish();
        Self {
            http,
            instances,
            key,
        }
    }

    /// Addresses (`IP:port`) of the instances.
    pub fn instances(&self) -> &[String] {
        &self.instances
    }

    /// Fetches a JSON document from the first reachable instance.
    ///
    /// # Errors
    ///
    /// Fails with a [`RequestError`], or if the response has an unexpected format.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.send_to_first_reachable(|url| self.http.get(format!("{url}{path}")), None)
            .await
    }

    /// Fetches a JSON document from one instance.
    ///
    /// # Errors
    ///
    /// Fails with a [`RequestError`], or if the response has an unexpected format.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        instance: &str,
        path: &str,
    ) -> anyhow::Result<T> {
        let request = self.http.get(format!("http://{instance}{path}"));
        self.send(request, None).await
    }

    /// Posts a JSON document to the first reachable instance and returns the response.
    ///
    /// # Errors
    ///
    /// Fails with a [`RequestError`], or if the response has an unexpected format.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_vec(body).context("serialize the request")?;
        self.send_to_first_reachable(|url| self.http.post(format!("{url}{path}")), Some(body))
            .await
    }

    async fn send_to_first_reachable<T, F>(
        &self,
        build_request: F,
        body: Option<Vec<u8>>,
    ) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> awc::ClientRequest,
    {
        let mut last_error =
            anyhow::Error::new(RequestError::Unreachable("no address given".to_owned()));
        for instance in &self.instances {
            let request = build_request(&format!("http://{instance}"));
            match self.send(request, body.clone()).await {
                Err(err) if is_unreachable(&err) => last_error = err,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: awc::ClientRequest,
        body: Option<Vec<u8>>,
    ) -> anyhow::Result<T> {
        let request = request.insert_header(("authorization", format!("Bearer {}", self.key)));
        let pending_response = match body {
            Some(body) => request.send_body(body),
            None => request.send(),
        };
        let mut response = pending_response.await.map_err(classify_send_error)?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|err| RequestError::NoResponse(err.to_string()))?;
        if status != 200 {
            return Err(RequestError::Refused(refusal_detail(&body)).into());
        }
        serde_json::from_slice(&body).context("parse the response of the instance")
    }
}

fn is_unreachable(err: &anyhow::Error) -> bool {
    matches!(
        err.downcast_ref::<RequestError>(),
        Some(RequestError::Unreachable(_))
    )
}

fn classify_send_error(err: SendRequestError) -> RequestError {
    match err {
        // The connection ended before the response: the request may have been executed.
        err @ SendRequestError::Connect(ConnectError::Disconnected) => {
            RequestError::NoResponse(err.to_string())
        }
        SendRequestError::Connect(err) => RequestError::Unreachable(err.to_string()),
        err => RequestError::NoResponse(err.to_string()),
    }
}

/// Returns the `detail` of a problem document, or else the whole body.
fn refusal_detail(body: &[u8]) -> String {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = problem.and_then(|p| Some(p.get("detail")?.as_str()?.to_owned()));
    detail.unwrap_or_else(|| String::from_utf8_lossy(body).into_owned())
}
