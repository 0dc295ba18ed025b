use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mh_types::Code;
use serde::de::DeserializeOwned;

use crate::{PlatformError, RateLimiter, Result};

/// Default limit on the response body, in bytes. Large enough for any object of the object store.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// TCP keepalive: idle time before the first probe, which is also the interval between probes.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that sent data or keepalive probes may remain unacknowledged before the connection is closed. On Linux it
/// replaces the number of unanswered probes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Rate-limited HTTP client of one platform service.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    timeout: Duration,
    max_response_bytes: usize,
    rate_limiter: RateLimiter,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// Completely received response of a platform service.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformAnswerInvalid`] if the body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).change_context(PlatformError(Code::PlatformAnswerInvalid))
    }

    /// Returns the response if its status indicates success.
    ///
    /// # Errors
    ///
    /// `code` for any other status; the status is attached to the report.
    pub fn error_for_status(self, code: Code) -> Result<Self> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(Report::new(PlatformError(code)).attach(format!("status {}", self.status)))
    }
}

impl HttpClient {
    /// Creates a client of the service at `addr` that waits up to `timeout` for a response and sends at most
    /// `per_second` requests per second.
    pub fn new(addr: SocketAddr, timeout: Duration, per_second: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(TCP_KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(TCP_KEEPALIVE_INTERVAL));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let http = HyperClient::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .build(connector);
        Self {
            addr,
            timeout,
            max_response_bytes: MAX_RESPONSE_BYTES,
            rate_limiter: RateLimiter::new(per_second),
            http,
        }
    }

    /// Sets the maximum size of a response body, in bytes.
    #[must_use]
    pub fn with_max_response_bytes(self, bytes: usize) -> Self {
        Self {
            max_response_bytes: bytes,
            ..self
        }
    }

    /// Sends a request. A failure after the request was sent is reported as `failure_code`.
    ///
    /// # Errors
    ///
    /// `failure_code`; [`Code::TableTimeout`] instead of [`Code::TableUnreachable`] after a timeout; or, if nothing was
    /// sent, [`Code::BudgetUsedUp`] over the rate limit or [`Code::TableUnreachable`] instead of
    /// [`Code::OutcomeUnknown`] without a connection.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        failure_code: Code,
    ) -> Result<HttpResponse> {
        self.send_with_timeout(self.timeout, method, path, body, failure_code)
            .await
    }

    /// Like [`send`](Self::send), with further request headers.
    ///
    /// # Errors
    ///
    /// Same as [`send`](Self::send).
    pub async fn send_with_headers(
        &self,
        headers: HeaderMap,
        method: Method,
        path: &str,
        body: Bytes,
        failure_code: Code,
    ) -> Result<HttpResponse> {
        let mut request = self.request(method, path, Some(body), failure_code)?;
        request.headers_mut().extend(headers);
        self.exchange(self.timeout, request, failure_code).await
    }

    /// Like [`send`](Self::send), but waits up to `timeout` for the response head. The body must then be complete
    /// within the client's own timeout, so that an endless body does not block the caller.
    ///
    /// # Errors
    ///
    /// Same as [`send`](Self::send).
    pub async fn send_with_timeout(
        &self,
        timeout: Duration,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        failure_code: Code,
    ) -> Result<HttpResponse> {
        let request = self.request(method, path, body, failure_code)?;
        self.exchange(timeout, request, failure_code).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        failure_code: Code,
    ) -> Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.unwrap_or_default()))
            .change_context(PlatformError(failure_code))
    }

    async fn exchange(&self, timeout: Duration, req: Request<Full<Bytes>>, failure_code: Code) -> Result<HttpResponse> {
        if !self.rate_limiter.acquire(self.timeout).await {
            return Err(Report::new(PlatformError(Code::BudgetUsedUp)));
        }
        let error = PlatformError(failure_code);
        let exchange = async {
            let response = self.http.request(req).await.map_err(|e| {
                let code = if e.is_connect() {
                    connect_failure_code(failure_code)
                } else {
                    failure_code
                };
                Report::new(e).change_context(PlatformError(code))
            })?;
            Ok::<_, Report<PlatformError>>(response)
        };
        let response = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| timeout_error(failure_code, timeout))??;
        let (head, body) = response.into_parts();
        let (status, headers) = (head.status, head.headers);
        let body = Limited::new(body, self.max_response_bytes).collect();
        let body = tokio::time::timeout(self.timeout, body)
            .await
            .map_err(|_| timeout_error(failure_code, self.timeout))?;
        let body = body.map_err(|e| Report::new(error).attach(e.to_string()))?.to_bytes();
        Ok(HttpResponse { status, headers, body })
    }
}

fn timeout_error(failure_code: Code, limit: Duration) -> Report<PlatformError> {
    Report::new(PlatformError(timeout_code(failure_code)))
        .attach(format!("no complete response within {} ms", limit.as_millis()))
}

/// Returns the error code for a request that was not sent because the connection failed.
fn connect_failure_code(failure_code: Code) -> Code {
    if failure_code == Code::OutcomeUnknown {
        Code::TableUnreachable
    } else {
        failure_code
    }
}

/// Returns the error code for a request without a complete response within its timeout.
fn timeout_code(failure_code: Code) -> Code {
    if failure_code == Code::TableUnreachable {
        Code::TableTimeout
    } else {
        failure_code
    }
}

/// Percent-encodes text for use in a URL path segment or query.
pub fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}
