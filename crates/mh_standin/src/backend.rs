use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::task::JoinHandle;

use crate::BackendFaults;
use crate::serve::{Body, serve};

/// Header with the request id, sent to the backend server and repeated in its response.
const REQUEST_ID_HEADER: &str = "mangohook-request-id";

/// Request that a backend server received completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method and path.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Backend server on loopback that records the requests that it receives.
#[derive(Debug)]
pub struct Backend {
    addr: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    received: Mutex<Vec<ReceivedRequest>>,
    faults: BackendFaults,
}

impl Backend {
    /// Starts a server on a free port that responds with its name and the request's target.
    ///
    /// # Errors
    ///
    /// The error of binding a loopback port.
    pub async fn start(name: &str) -> std::io::Result<Self> {
        Self::start_at(name, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a server on the given address.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub async fn start_at(name: &str, addr: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            received: Mutex::default(),
            faults: BackendFaults::default(),
        });
        let shared_inner = Arc::clone(&inner);
        let handle = move |req| {
            let inner = Arc::clone(&shared_inner);
            async move { inner.handle(req).await }
        };
        let (addr, task) = serve(addr, handle).await?;
        Ok(Self { addr, inner, task })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the faults that can be switched on for this server.
    pub fn faults(&self) -> &BackendFaults {
        &self.inner.faults
    }

    /// Returns all requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.inner
            .received
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    async fn handle(&self, req: Request<Incoming>) -> std::io::Result<Response<Body>> {
        let target = format!("{} {}", req.method(), req.uri());
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        let id = parts.headers.get(REQUEST_ID_HEADER).cloned();
        let received = ReceivedRequest {
            target: target.clone(),
            headers: parts.headers,
            body,
        };
        self.received
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(received);
        tokio::time::sleep(self.faults.delay()).await;
        if self.faults.closes_before_answer() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let text = Bytes::from(format!("{} answers {target}\n", self.name));
        let mut response = Response::new(if self.faults.truncates() {
            truncated_body(&text)
        } else {
            Full::new(text.clone()).map_err(|never| match never {}).boxed()
        });
        *response.status_mut() = StatusCode::from_u16(self.faults.status()).unwrap_or(StatusCode::OK);
        response.headers_mut().insert(CONTENT_LENGTH, text.len().into());
        if let Some(id) = id {
            let id = if self.faults.sends_wrong_request_id() {
                "another-request".parse().ok()
            } else {
                Some(id)
            };
            if let Some(id) = id {
                response.headers_mut().insert(REQUEST_ID_HEADER, id);
            }
        }
        Ok(response)
    }
}

/// Returns a body that ends with an error after half of `text`.
fn truncated_body(text: &Bytes) -> Body {
    let half = text.slice(..text.len() / 2);
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let _ = tx.send(Ok(Frame::data(half))).await;
        let _ = tx.send(Err(std::io::ErrorKind::ConnectionReset.into())).await;
    });
    BodyExt::boxed(StreamBody::new(tokio_stream::wrappers::ReceiverStream::new(rx)))
}
