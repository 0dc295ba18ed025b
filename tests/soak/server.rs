use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::ledger::{Arrived, Ledger, answer_body};
use super::operator::{EXPECTED_SERVER, KEY, NOT_RUN, ORGANISATION, REQUEST_ID, STAMP};
use super::proxy::Proxy;

/// Longest work of a healthy server.
const WORK: Duration = Duration::from_millis(30);

/// Requests that a server takes at a time; it refuses others.
const ROOM: usize = 16;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    Sound,
    /// Works for much longer.
    Slow,
    /// Runs requests, and the connection ends without an answer to every other one.
    LosesAnswers,
    /// Sends only a part of the body and ends the connection.
    Truncates,
    /// Answers every other request with an error after it ran.
    Fails,
}

/// A backend server behind a proxy.
pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub domain: &'static str,
    pub born: u64,
    pub proxy: Proxy,
    conduct: Arc<Mutex<Conduct>>,
    accepting: JoinHandle<()>,
}

struct Shared {
    name: String,
    ledger: Ledger,
    conduct: Arc<Mutex<Conduct>>,
    running: std::sync::atomic::AtomicUsize,
}

impl Server {
    pub async fn start(name: String, service: &'static str, domain: &'static str, born: u64, ledger: &Ledger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let conduct = Arc::new(Mutex::new(Conduct::Sound));
        let shared = Arc::new(Shared {
            name: name.clone(),
            ledger: ledger.clone(),
            conduct: Arc::clone(&conduct),
            running: std::sync::atomic::AtomicUsize::new(0),
        });
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Arc::clone(&shared);
                // Aborting this task ends every connection, as a crash does.
                connections.spawn(async move {
                    let service = hyper::service::service_fn(move |req| answer(Arc::clone(&shared), req));
                    let connection =
                        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A connection that the server breaks off ends with an error.
                    let _ = connection.await;
                });
            }
        });
        Self {
            name,
            service,
            domain,
            born,
            proxy: Proxy::start(addr).await,
            conduct,
            accepting,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.proxy.addr()
    }

    pub fn set(&self, conduct: Conduct) {
        *self.conduct.lock().unwrap_or_else(PoisonError::into_inner) = conduct;
    }

    /// Ends the server with all its connections.
    pub fn crash(&self) {
        self.accepting.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

#[derive(Debug)]
struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for BrokenOff {}

type Body = http_body_util::Either<Full<Bytes>, http_body_util::StreamBody<Cut>>;
type Cut = tokio_stream::Iter<std::vec::IntoIter<Result<hyper::body::Frame<Bytes>, Infallible>>>;

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Response<Body>, BrokenOff> {
    use std::sync::atomic::Ordering;
    let header = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (head, body) = req.into_parts();
    let id = header(&head.headers, REQUEST_ID);
    let expected = header(&head.headers, EXPECTED_SERVER);
    if expected != shared.name {
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, &id, None, String::new()));
    }
    let Ok(body) = body.collect().await else {
        return Err(BrokenOff);
    };
    if shared.running.fetch_add(1, Ordering::Relaxed) >= ROOM {
        shared.running.fetch_sub(1, Ordering::Relaxed);
        return Ok(respond(
            StatusCode::SERVICE_UNAVAILABLE,
            &id,
            Some(NOT_RUN),
            String::new(),
        ));
    }
    shared.ledger.runs(&Arrived {
        id: id.clone(),
        path: head.uri.path().to_owned(),
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        org: header(&head.headers, ORGANISATION),
        has_key: head.headers.contains_key(KEY),
    });
    let conduct = *shared.conduct.lock().unwrap_or_else(PoisonError::into_inner);
    let (part, is_struck) = (rand::rng().random::<f64>(), rand::rng().random::<bool>());
    let factor = if conduct == Conduct::Slow { 20.0 } else { 1.0 };
    tokio::time::sleep(WORK.mul_f64(part * factor)).await;
    shared.running.fetch_sub(1, Ordering::Relaxed);
    match conduct {
        Conduct::LosesAnswers if is_struck => Err(BrokenOff),
        Conduct::Fails if is_struck => Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, &id, None, "no".to_owned())),
        Conduct::Truncates if is_struck => Ok(truncated(&id)),
        _ => Ok(respond(StatusCode::OK, &id, None, answer_body(&id))),
    }
}

fn respond(status: StatusCode, id: &str, mark: Option<&str>, body: String) -> Response<Body> {
    let mut builder = Response::builder().status(status).header(REQUEST_ID, id);
    builder = match mark {
        Some(mark) => builder.header(mark, "1"),
        None => builder.header(STAMP, id),
    };
    let body = http_body_util::Either::Left(Full::new(Bytes::from(body)));
    builder.body(body).expect("the headers are valid")
}

/// States the length of the whole body and sends less; the connection then ends with an error.
fn truncated(id: &str) -> Response<Body> {
    let body = answer_body(id);
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let frames = vec![Ok(hyper::body::Frame::data(half))];
    let body_len = body.len();
    let stream = http_body_util::StreamBody::new(tokio_stream::iter(frames));
    Response::builder()
        .header(REQUEST_ID, id)
        .header(STAMP, id)
        .header("content-length", body_len)
        .body(http_body_util::Either::Right(stream))
        .expect("the headers are valid")
}
