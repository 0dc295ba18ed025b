use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mh_types::Code;
use serde::de::DeserializeOwned;

use crate::{Pace, PlatformError, Result};

/// Largest answer that is read where nothing else is said, in bytes; an object of the store fits it.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after which a silent connection is probed, the time between two probes, and the probes without an answer that
/// end it. A connection that went silent is found within 3 s, whatever waits on it.
const KEEPALIVE: (Duration, u32) = (Duration::from_secs(1), 2);

/// Longest time that sent bytes may stay without an acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(3);

/// Requests to one platform service.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    timeout: Duration,
    max_answer_bytes: usize,
    pace: Pace,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A platform answer that arrived whole.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformAnswerInvalid`] when the body is not of this form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).change_context(PlatformError(Code::PlatformAnswerInvalid))
    }

    /// The answer if its status is a success.
    ///
    /// # Errors
    ///
    /// `unreachable` with the status.
    pub fn expect_ok(self, unreachable: Code) -> Result<Self> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(Report::new(PlatformError(unreachable)).attach(format!("status {}", self.status)))
    }
}

impl HttpClient {
    /// A client of the service at `addr` that waits `timeout` for an answer and sends at most `per_second` requests a
    /// second.
    pub fn new(addr: SocketAddr, timeout: Duration, per_second: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE.0));
        connector.set_keepalive_interval(Some(KEEPALIVE.0));
        connector.set_keepalive_retries(Some(KEEPALIVE.1));
        connector.set_tcp_user_timeout(Some(ACKNOWLEDGED_WITHIN));
        let http = HyperClient::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Self {
            addr,
            timeout,
            max_answer_bytes: MAX_ANSWER_BYTES,
            pace: Pace::new(per_second),
            http,
        }
    }

    /// The same client, which reads no answer of more than `bytes`.
    #[must_use]
    pub fn with_max_answer_bytes(self, bytes: usize) -> Self {
        Self {
            max_answer_bytes: bytes,
            ..self
        }
    }

    /// Sends a request; any failure after it was sent has the code `lost`.
    ///
    /// # Errors
    ///
    /// `lost`, or a code that shows that nothing was sent.
    pub async fn send(&self, method: Method, path: &str, body: Option<Bytes>, lost: Code) -> Result<HttpAnswer> {
        self.send_within(self.timeout, method, path, body, lost).await
    }

    /// Like [`send`](Self::send), with another limit on the wait for the answer's head. An answer that has begun must be
    /// whole within the client's own limit, so that one without end holds nobody up.
    ///
    /// # Errors
    ///
    /// The same as of `send`.
    pub async fn send_within(
        &self,
        timeout: Duration,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        lost: Code,
    ) -> Result<HttpAnswer> {
        if !self.pace.take(self.timeout).await {
            return Err(Report::new(PlatformError(Code::BudgetUsedUp)));
        }
        let error = PlatformError(lost);
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.unwrap_or_default()))
            .change_context(error)?;
        let exchange = async {
            let answer = self.http.request(req).await.map_err(|e| {
                let code = if e.is_connect() { unsent(lost) } else { lost };
                Report::new(e).change_context(PlatformError(code))
            })?;
            Ok::<_, Report<PlatformError>>(answer)
        };
        let answer = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| too_late(lost, timeout))??;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), self.max_answer_bytes).collect();
        let body = tokio::time::timeout(self.timeout, body)
            .await
            .map_err(|_| too_late(lost, self.timeout))?;
        let body = body.map_err(|e| Report::new(error).attach(e.to_string()))?.to_bytes();
        Ok(HttpAnswer { status, body })
    }
}

fn too_late(lost: Code, limit: Duration) -> Report<PlatformError> {
    Report::new(PlatformError(late(lost))).attach(format!("no whole answer within {} ms", limit.as_millis()))
}

/// Code of a request that did not leave this VM.
fn unsent(lost: Code) -> Code {
    if lost == Code::OutcomeUnknown {
        Code::TableUnreachable
    } else {
        lost
    }
}

/// Code of a request without an answer in time.
fn late(lost: Code) -> Code {
    if lost == Code::TableUnreachable {
        Code::TableTimeout
    } else {
        lost
    }
}

/// Encodes text for use in a query.
pub fn encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}
