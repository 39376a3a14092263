//! Requests to the instances' interface for operators.

use std::time::Duration;

use anyhow::Context;
use serde::{Serialize, de::DeserializeOwned};

/// Time for an instance to answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time to connect to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Why a request to the instances failed.
#[derive(Debug)]
pub enum Failure {
    /// No instance could be reached.
    NoInstance(String),
    /// An instance refused the request.
    Refused(String),
    /// An instance was asked and did not answer in time.
    Unanswered(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoInstance(detail) => write!(f, "no instance answers: {detail}"),
            Self::Refused(detail) => f.write_str(detail),
            Self::Unanswered(detail) => write!(f, "the instance gave no answer: {detail}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Client of several instances, of which one is enough.
pub struct Client {
    http: awc::Client,
    instances: Vec<String>,
    key: String,
}

impl Client {
    /// Creates a client for instances at `IP:port` each.
    pub fn new(instances: Vec<String>, key: String) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(TIMEOUT)
            .finish();
        Self {
            http,
            instances,
            key,
        }
    }

    /// Addresses of the instances.
    pub fn instances(&self) -> &[String] {
        &self.instances
    }

    /// Gets a document from the first instance that can be reached.
    ///
    /// # Errors
    ///
    /// If none answers or the answer is a refusal.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.first(|url| self.http.get(format!("{url}{path}")), None)
            .await
    }

    /// Gets a document from one instance.
    ///
    /// # Errors
    ///
    /// If it does not answer or the answer is a refusal.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        instance: &str,
        path: &str,
    ) -> anyhow::Result<T> {
        let request = self.http.get(format!("http://{instance}{path}"));
        self.send(request, None).await
    }

    /// Sends a document to the first instance that can be reached.
    ///
    /// # Errors
    ///
    /// If none answers or the answer is a refusal.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_vec(body).context("write the request")?;
        self.first(|url| self.http.post(format!("{url}{path}")), Some(body))
            .await
    }

    async fn first<T, F>(&self, request: F, body: Option<Vec<u8>>) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> awc::ClientRequest,
    {
        let mut last = anyhow::Error::new(Failure::NoInstance("none is named".to_owned()));
        for instance in &self.instances {
            let request = request(&format!("http://{instance}"));
            match self.send(request, body.clone()).await {
                Err(err) if is_unreachable(&err) => last = err,
                result => return result,
            }
        }
        Err(last)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: awc::ClientRequest,
        body: Option<Vec<u8>>,
    ) -> anyhow::Result<T> {
        let request = request.insert_header(("authorization", format!("Bearer {}", self.key)));
        let sending = match body {
            Some(body) => request.send_body(body),
            None => request.send(),
        };
        let mut response = sending.await.map_err(failure)?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_BYTES).await;
        let body = body.map_err(|err| Failure::Unanswered(err.to_string()))?;
        if status != 200 {
            return Err(Failure::Refused(refusal(&body)).into());
        }
        serde_json::from_slice(&body).context("read the instance's answer")
    }
}

fn is_unreachable(err: &anyhow::Error) -> bool {
    matches!(err.downcast_ref::<Failure>(), Some(Failure::NoInstance(_)))
}

fn failure(err: awc::error::SendRequestError) -> Failure {
    match err {
        awc::error::SendRequestError::Connect(err) => Failure::NoInstance(err.to_string()),
        err => Failure::Unanswered(err.to_string()),
    }
}

/// The detail of a problem document, or the bare text.
fn refusal(body: &[u8]) -> String {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = problem.and_then(|p| Some(p.get("detail")?.as_str()?.to_owned()));
    detail.unwrap_or_else(|| String::from_utf8_lossy(body).into_owned())
}
