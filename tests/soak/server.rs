//! A backend server of the soak test.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::ledger::{Ledger, ReceivedRequest, answer_body};
use super::operator::{EXPECTED_SERVER, KEY, NOT_RUN, ORGANISATION, REQUEST_ID, SERVER_LIMIT, STAMP};
use super::proxy::{OpenConnections, Proxy};

/// Start of the paths of requests that crash the server that runs them.
pub const DEADLY_PATH: &str = "/stock/deadly-";

/// Longest time for which a healthy server works on a request.
const MAX_WORK_TIME: Duration = Duration::from_millis(30);

/// Time within which the proxy of a crashed server resets its connections.
const RESET_TIME: Duration = Duration::from_millis(200);

/// Number of requests that a server runs at a time; it refuses others.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Behaviour of a server towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Healthy,
    /// Works 20 times as long on each request.
    Slow,
    /// Runs requests, but closes the connection instead of answering about half of them.
    DropsAnswers,
    /// Sends only half of the body and closes the connection, for about half of the requests.
    Truncates,
    /// Runs requests, but answers about half of them with an error.
    Fails,
    /// Runs requests, but answers about half of them with a body that never ends.
    Endless,
}

/// A backend server behind a proxy.
pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub domain: &'static str,
    /// Number of the server within its fleet, in order of start.
    pub number: u64,
    pub proxy: Proxy,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Text of the limit that the server states.
    limit: Arc<Mutex<Option<&'static str>>>,
    /// Number of times that a request has taken the server down.
    deaths: watch::Sender<u64>,
    ledger: Ledger,
    accept_task: JoinHandle<()>,
}

struct ServerState {
    name: String,
    ledger: Ledger,
    behaviour: Arc<Mutex<Behaviour>>,
    limit: Arc<Mutex<Option<&'static str>>>,
    deaths: watch::Sender<u64>,
    running: std::sync::atomic::AtomicUsize,
}

impl Server {
    pub async fn start(
        name: String,
        service: &'static str,
        domain: &'static str,
        number: u64,
        ledger: &Ledger,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let behaviour = Arc::new(Mutex::new(Behaviour::Healthy));
        let limit = Arc::new(Mutex::new(None));
        let deaths = watch::Sender::new(0);
        let state = Arc::new(ServerState {
            name: name.clone(),
            ledger: ledger.clone(),
            behaviour: Arc::clone(&behaviour),
            limit: Arc::clone(&limit),
            deaths: deaths.clone(),
            running: std::sync::atomic::AtomicUsize::new(0),
        });
        let accept_task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&state);
                // Aborting the task that owns this set closes every connection, like a crash.
                connections.spawn(async move {
                    let service = hyper::service::service_fn(move |req| handle(Arc::clone(&state), req));
                    let connection =
                        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A connection that the server aborts on purpose ends with an error.
                    let _ = connection.await;
                });
            }
        });
        Self {
            name,
            service,
            domain,
            number,
            proxy: Proxy::start(addr).await,
            behaviour,
            limit,
            deaths,
            ledger: ledger.clone(),
            accept_task,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.proxy.addr()
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Makes the server state a limit in its answers, or none.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        self.ledger.record_limit(&self.name, limit);
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    /// Returns the number of times that a request has taken the server down; the fleet restarts it.
    pub fn deaths(&self) -> watch::Receiver<u64> {
        self.deaths.subscribe()
    }

    /// Stops the server and resets all its connections.
    pub fn crash(&self) {
        self.proxy.set_down(true);
        self.proxy.set_open_connections(OpenConnections::Reset);
        let accept_task = self.accept_task.abort_handle();
        // Closed connections would reach the proxy as complete answers if it had not reset them before.
        tokio::spawn(async move {
            tokio::time::sleep(RESET_TIME).await;
            accept_task.abort();
        });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Error that makes hyper close the connection without an answer.
#[derive(Debug)]
struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection aborted")
    }
}

impl std::error::Error for ConnectionAborted {}

type Body = http_body_util::Either<Full<Bytes>, http_body_util::StreamBody<TruncatedBody>>;
type TruncatedBody = tokio_stream::wrappers::ReceiverStream<Result<hyper::body::Frame<Bytes>, Infallible>>;

/// Parts of an answer without a length, and the longest time between two.
const PARTS: usize = 4;
const MAX_PART_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two pieces of an endless answer.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(2);

/// A running request, which ends when it is answered or its connection closes.
struct Slot<'a> {
    state: &'a ServerState,
    /// Number of other running requests.
    before: usize,
}

impl<'a> Slot<'a> {
    fn take(state: &'a ServerState) -> Self {
        let before = state.running.fetch_add(1, Ordering::Relaxed);
        Self { state, before }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(state: Arc<ServerState>, req: Request<Incoming>) -> Result<Response<Body>, ConnectionAborted> {
    let header = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (head, body) = req.into_parts();
    let id = header(&head.headers, REQUEST_ID);
    let expected = header(&head.headers, EXPECTED_SERVER);
    if expected != state.name {
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, &id, None, String::new()));
    }
    state.ledger.record_arrival(&state.name);
    let Ok(body) = body.collect().await else {
        return Err(ConnectionAborted);
    };
    let slot = Slot::take(&state);
    if slot.before >= MAX_CONCURRENT_REQUESTS {
        return Ok(respond(
            StatusCode::SERVICE_UNAVAILABLE,
            &id,
            Some(NOT_RUN),
            String::new(),
        ));
    }
    state.ledger.record_run(&ReceivedRequest {
        id: id.clone(),
        path: head.uri.path().to_owned(),
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        org: header(&head.headers, ORGANISATION),
        has_key: head.headers.contains_key(KEY),
    });
    if head.uri.path().starts_with(DEADLY_PATH) {
        state.ledger.record_death(head.uri.path(), &id);
        state.deaths.send_modify(|count| *count += 1);
        // The connection is reset by the crash.
        return std::future::pending().await;
    }
    let behaviour = *state.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
    let (fraction, is_affected) = (rand::rng().random::<f64>(), rand::rng().random::<bool>());
    let factor = if behaviour == Behaviour::Slow { 20.0 } else { 1.0 };
    tokio::time::sleep(MAX_WORK_TIME.mul_f64(fraction * factor)).await;
    drop(slot);
    let mut answer = match behaviour {
        Behaviour::DropsAnswers if is_affected => return Err(ConnectionAborted),
        Behaviour::Fails if is_affected => respond(StatusCode::INTERNAL_SERVER_ERROR, &id, None, "no".to_owned()),
        Behaviour::Truncates if is_affected => truncated(&id),
        Behaviour::Endless if is_affected => endless(&id),
        Behaviour::Healthy if rand::rng().random_ratio(1, 4) => without_length(&id),
        _ => respond(StatusCode::OK, &id, None, answer_body(&id)),
    };
    let limit = *state.limit.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(limit) = limit {
        answer
            .headers_mut()
            .insert(SERVER_LIMIT, HeaderValue::from_static(limit));
    }
    Ok(answer)
}

fn respond(status: StatusCode, id: &str, marker: Option<&str>, body: String) -> Response<Body> {
    let mut builder = Response::builder().status(status).header(REQUEST_ID, id);
    builder = match marker {
        Some(marker) => builder.header(marker, "1"),
        None => builder.header(STAMP, id),
    };
    let body = http_body_util::Either::Left(Full::new(Bytes::from(body)));
    builder.body(body).expect("the headers are valid")
}

/// An answer whose content-length is that of the complete body, of which only half is sent.
fn truncated(id: &str) -> Response<Body> {
    let body = answer_body(id);
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let mut answer = streamed(id, std::iter::once(half), Duration::ZERO);
    answer
        .headers_mut()
        .insert("content-length", HeaderValue::from(body.len()));
    answer
}

/// A complete answer that is sent in parts and ends with its connection.
fn without_length(id: &str) -> Response<Body> {
    let body = answer_body(id).into_bytes();
    let parts: Vec<Bytes> = body
        .chunks(body.len().div_ceil(PARTS).max(1))
        .map(Bytes::copy_from_slice)
        .collect();
    let interval = MAX_PART_INTERVAL.mul_f64(rand::rng().random::<f64>());
    let mut answer = streamed(id, parts.into_iter(), interval);
    // An answer of this version has no chunks.
    *answer.version_mut() = hyper::Version::HTTP_10;
    answer
}

/// An answer that goes on until the connection is closed.
fn endless(id: &str) -> Response<Body> {
    streamed(
        id,
        std::iter::repeat(Bytes::from_static(&[b'x'; 4096])),
        ENDLESS_INTERVAL,
    )
}

/// An answer whose body is sent part by part.
fn streamed(id: &str, parts: impl Iterator<Item = Bytes> + Send + 'static, interval: Duration) -> Response<Body> {
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        for part in parts {
            // The receiver is dropped with the connection.
            if tx.send(Ok(hyper::body::Frame::data(part))).await.is_err() {
                return;
            }
            tokio::time::sleep(interval).await;
        }
    });
    let stream = http_body_util::StreamBody::new(tokio_stream::wrappers::ReceiverStream::new(rx));
    Response::builder()
        .header(REQUEST_ID, id)
        .header(STAMP, id)
        .body(http_body_util::Either::Right(stream))
        .expect("the headers are valid")
}
