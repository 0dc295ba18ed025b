use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// HTTP client that keeps its connections open and never retries a request on its own.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    key: Option<String>,
}

/// Response that was received completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the result code of a refused request.
    pub fn code(&self) -> Option<u64> {
        self.json()["code"].as_u64()
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Caller {
    /// Creates a caller with or without a key.
    pub fn new(key: Option<&str>) -> Self {
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            http,
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// The message of a connection error or of a truncated response.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply, String> {
        let mut req = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(Bytes::from(body.to_owned())))
            .map_err(|e| e.to_string())?;
        let response = self.http.request(req).await.map_err(|e| format!("{e:?}"))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// As [`Caller::send`].
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<Reply, String> {
        self.send(addr, "GET", path, &[], "").await
    }
}
