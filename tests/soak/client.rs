//! A caller of the soak test.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::ledger::{Ledger, SentRequest};
use super::operator::{DEADLINE_MS, HOST, KEY, REQUEST_ID, STAMP};

/// Time after which a caller stops waiting; longer than the timeouts of the routes.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A caller that keeps its connection until the VM closes it.
pub struct Client {
    vm: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The VM answered with this status.
    Status(u16),
    /// No connection could be made.
    NotConnected,
    /// The connection was closed after the request was sent and before the answer was complete.
    Disconnected,
    /// No complete answer arrived within [`CALLER_TIMEOUT`].
    TimedOut,
}

impl Client {
    pub fn new(vm: SocketAddr) -> Self {
        Self { vm, sender: None }
    }

    async fn connection(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(sender) = self.sender.take().filter(SendRequest::is_ready) {
            return Some(sender);
        }
        let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(self.vm)).await;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream.ok()?.ok()?))
            .await
            .ok()?;
        tokio::spawn(async move {
            // Killing a VM breaks its connections, which is not an error of the test.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Sends one idempotent request that crashes servers to a VM that is in touch or not, and records its answer or
    /// refusal in the ledger.
    pub async fn send_deadly(
        &mut self,
        ledger: &Ledger,
        org: &'static str,
        key: &str,
        path: String,
        is_in_touch: bool,
    ) -> (SentRequest, Outcome) {
        let sent = SentRequest {
            path,
            body: String::new(),
            id: format!("q{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)),
            org,
            is_idempotent: true,
        };
        if is_in_touch {
            ledger.record_in_touch(&sent.id);
        }
        self.exchange(ledger, key, Method::GET, sent).await
    }

    /// Sends one request, and records its answer or refusal in the ledger.
    pub async fn send(
        &mut self,
        ledger: &Ledger,
        org: &'static str,
        key: &str,
        is_idempotent: bool,
    ) -> (SentRequest, Outcome) {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("q{number}");
        let (method, service) = if is_idempotent {
            (Method::GET, "stock")
        } else {
            (Method::POST, "pay")
        };
        let sent = SentRequest {
            path: format!("/{service}/{number}"),
            body: if is_idempotent { String::new() } else { id.clone() },
            id,
            org,
            is_idempotent,
        };
        self.exchange(ledger, key, method, sent).await
    }

    async fn exchange(
        &mut self,
        ledger: &Ledger,
        key: &str,
        method: Method,
        sent: SentRequest,
    ) -> (SentRequest, Outcome) {
        let Some(mut sender) = self.connection().await else {
            return (sent, Outcome::NotConnected);
        };
        ledger.record_sent(&sent);
        let req = Request::builder()
            .method(method)
            .uri(&sent.path)
            .header("host", HOST)
            .header(REQUEST_ID, &sent.id)
            .header(DEADLINE_MS, CALLER_TIMEOUT.as_millis().to_string())
            .header(KEY, key)
            .body(Full::new(Bytes::from(sent.body.clone())))
            .expect("the headers are valid");
        let exchange = async {
            let answer = sender.send_request(req).await.ok()?;
            let status = answer.status();
            let stamp = answer.headers().get(STAMP).and_then(|value| value.to_str().ok());
            let stamp = stamp.unwrap_or_default().to_owned();
            let body = answer.into_body().collect().await.ok()?.to_bytes();
            Some((status, stamp, String::from_utf8_lossy(&body).into_owned()))
        };
        let outcome = match tokio::time::timeout_at(Instant::now() + CALLER_TIMEOUT, exchange).await {
            Err(_) => Outcome::TimedOut,
            Ok(None) => Outcome::Disconnected,
            Ok(Some((status, stamp, body))) => {
                self.sender = Some(sender);
                match status {
                    StatusCode::OK => ledger.record_answer(&sent, &stamp, &body),
                    StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::MISDIRECTED_REQUEST => ledger.record_refusal(&sent, status.as_u16()),
                    _ => {}
                }
                Outcome::Status(status.as_u16())
            }
        };
        (sent, outcome)
    }
}
