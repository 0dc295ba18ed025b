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

use super::ledger::{Ledger, Sent};
use super::operator::{DEADLINE_MS, HOST, KEY, REQUEST_ID, STAMP};

/// Time that a caller waits; longer than the routes' timeouts.
const DEADLINE: Duration = Duration::from_secs(3);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A caller that keeps its connection until the VM closes it.
pub struct Client {
    vm: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Status(u16),
    /// No connection could be made.
    Unreached,
    /// The connection ended after the request was written, without a whole answer.
    Cut,
    /// The caller gave up.
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
            // A VM that is killed ends its connections with an error.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Sends one request and records how it ended.
    pub async fn send(&mut self, ledger: &Ledger, org: &'static str, key: &str, is_idempotent: bool) -> (Sent, End) {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("q{number}");
        let (method, service) = if is_idempotent {
            (Method::GET, "stock")
        } else {
            (Method::POST, "pay")
        };
        let sent = Sent {
            path: format!("/{service}/{number}"),
            body: if is_idempotent { String::new() } else { id.clone() },
            id,
            org,
            is_idempotent,
        };
        let Some(mut sender) = self.connection().await else {
            return (sent, End::Unreached);
        };
        ledger.sent(&sent);
        let req = Request::builder()
            .method(method)
            .uri(&sent.path)
            .header("host", HOST)
            .header(REQUEST_ID, &sent.id)
            .header(DEADLINE_MS, DEADLINE.as_millis().to_string())
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
        let end = match tokio::time::timeout_at(Instant::now() + DEADLINE, exchange).await {
            Err(_) => End::TimedOut,
            Ok(None) => End::Cut,
            Ok(Some((status, stamp, body))) => {
                self.sender = Some(sender);
                match status {
                    StatusCode::OK => ledger.answered(&sent, &stamp, &body),
                    StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::MISDIRECTED_REQUEST => ledger.refused(&sent, status.as_u16()),
                    _ => {}
                }
                End::Status(status.as_u16())
            }
        };
        (sent, end)
    }
}
