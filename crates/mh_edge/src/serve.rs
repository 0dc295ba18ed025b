use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use mh_types::{Event, emit};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_io_timeout::TimeoutStream;

use crate::caller_stream::{CallerSocket, CallerStream};
use crate::pipeline::{AnsweredBody, Pipelining};
use crate::protocol_timeout_stream::ProtocolTimeoutStream;
use crate::{Edge, EdgeCfg, ResponseBody};

/// Wait before the next `accept` after one failed, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which connections are still accepted after the stop. Connections in the backlog may already carry requests,
/// which would otherwise be reset without a response.
const ACCEPT_GRACE: Duration = Duration::from_millis(200);
/// Maximum size of the headers of one request that the HTTP parser accepts, in bytes.
const PARSER_BUF_BYTES: usize = 64 * 1024;
/// Value of `Connection` in the last response of a connection.
const CLOSE: &str = "close";
/// Maximum open HTTP/2 streams per connection.
const MAX_STREAMS: u32 = 200;

/// A running caller port.
#[derive(Debug)]
pub struct CallerPort {
    addr: SocketAddr,
    stop: oneshot::Sender<()>,
    /// Ends with the sender that tells the open connections to shut down.
    task: JoinHandle<watch::Sender<()>>,
}

impl CallerPort {
    /// Returns the local address of the port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting after a short grace period and waits for running requests; returns whether all of them ended
    /// within `limit`.
    pub async fn shutdown(self, limit: Duration) -> bool {
        let _ = self.stop.send(());
        let Ok(connections) = self.task.await else { return false };
        connections.send_replace(());
        tokio::time::timeout(limit, connections.closed()).await.is_ok()
    }
}

/// Limits of a caller port.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Longest wait for a request's headers, also on an idle connection.
    pub header_timeout: Duration,
    /// Longest wait until a caller reads more of a response.
    pub write_timeout: Duration,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
}

impl From<&EdgeCfg> for PortLimits {
    fn from(cfg: &EdgeCfg) -> Self {
        Self {
            max_connections: cfg.max_connections,
            header_timeout: cfg.header_timeout,
            write_timeout: cfg.write_timeout,
            max_headers: cfg.max_headers,
        }
    }
}

impl Default for PortLimits {
    fn default() -> Self {
        Self::from(&EdgeCfg::default())
    }
}

/// Serves `edge` on `listener` with HTTP/1.1 and HTTP/2.
///
/// # Errors
///
/// Returns the error of reading the listener's local address.
pub fn serve(listener: TcpListener, edge: Arc<Edge>) -> std::io::Result<CallerPort> {
    let limits = PortLimits::from(edge.cfg());
    let pipelining = edge.pipelining();
    serve_pipelined(
        listener,
        move || limits,
        move |req, arrived| {
            let edge = Arc::clone(&edge);
            async move {
                edge.handle_at(req.map(Some), arrived.unwrap_or_else(Instant::now))
                    .await
            }
        },
        Some(pipelining),
    )
}

/// Serves `handle` on `listener` with HTTP/1.1 and HTTP/2; `limits` is called for each connection. Requests that a caller
/// pipelines run one after another.
///
/// # Errors
///
/// Returns the error of reading the listener's local address.
pub fn serve_with<L, H, F>(listener: TcpListener, limits: L, handle: H) -> std::io::Result<CallerPort>
where
    L: Fn() -> PortLimits + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    serve_pipelined(listener, limits, move |req, _arrived| handle(req), None)
}

/// Serves `handle` on `listener` with HTTP/1.1 and HTTP/2; `limits` is called for each connection.
///
/// `handle` gets the arrival time of a request that arrived before its turn. With `pipelining`, idempotent requests are
/// started before their turn.
///
/// # Errors
///
/// Returns the error of reading the listener's local address.
pub fn serve_pipelined<L, H, F>(
    listener: TcpListener,
    limits: L,
    handle: H,
    pipelining: Option<Pipelining>,
) -> std::io::Result<CallerPort>
where
    L: Fn() -> PortLimits + Send + 'static,
    H: Fn(Request<Incoming>, Option<Instant>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let addr = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let pipelining = pipelining.filter(|pipelining| pipelining.load.bounds().connection_requests > 1);
    let task = tokio::spawn(accept(listener, limits, handle, pipelining, stopped));
    Ok(CallerPort { addr, stop, task })
}

async fn accept<L, H, F>(
    listener: TcpListener,
    limits: L,
    handle: H,
    pipelining: Option<Pipelining>,
    stopped: oneshot::Receiver<()>,
) -> watch::Sender<()>
where
    L: Fn() -> PortLimits + Send + 'static,
    H: Fn(Request<Incoming>, Option<Instant>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let connections = watch::Sender::new(());
    let open = Arc::new(AtomicUsize::new(0));
    let mut end = std::pin::pin!(async {
        // Dropping the `CallerPort` stops it as well.
        let _ = stopped.await;
        tokio::time::sleep(ACCEPT_GRACE).await;
    });
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut end => return connections,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = limits();
        // A connection over the limit is closed at once, so that the caller tries another VM.
        let guard = OpenConnectionGuard::take(&open);
        if open.load(Ordering::Relaxed) > limits.max_connections {
            continue;
        }
        let connection = serve_connection(
            limits,
            stream,
            handle.clone(),
            pipelining.clone(),
            connections.subscribe(),
        );
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                emit!(Event::ConnectionFailed, error = e);
            }
            drop(guard);
        });
    }
}

/// Guard that counts an open connection until dropped.
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl OpenConnectionGuard {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<H, F>(
    limits: PortLimits,
    stream: TcpStream,
    handle: H,
    pipelining: Option<Pipelining>,
    mut stop: watch::Receiver<()>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>>
where
    H: Fn(Request<Incoming>, Option<Instant>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(PARSER_BUF_BYTES)
        .max_headers(limits.max_headers * 2);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(PARSER_BUF_BYTES as u32)
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    let _ = stream.set_nodelay(true);
    let socket = CallerSocket::new(stream, pipelining);
    let mut stream = TimeoutStream::new(CallerStream(Arc::clone(&socket)));
    stream.set_write_timeout(Some(limits.write_timeout));
    let stream = ProtocolTimeoutStream::new(Box::pin(stream), limits.header_timeout);
    let service = {
        let socket = Arc::clone(&socket);
        service_fn(move |req: Request<Incoming>| {
            let is_http1 = req.version() < Version::HTTP_2;
            let (arrived, started) = socket.on_taken(&req);
            let (handle, answering) = (handle.clone(), Arc::clone(&socket));
            async move {
                // The handler's future is large, so that it is created in place.
                let answer = std::pin::pin!(async {
                    match started {
                        None => Ok(handle(req, arrived).await),
                        Some((head, started)) if head.is_same(&req) => started.response().await,
                        Some(_) => Err(Error::new(ErrorKind::InvalidData, "another request was started")),
                    }
                });
                tokio::select! {
                    biased;
                    answer = answer => Ok(finish(answer?, Arc::clone(&answering), is_http1)),
                    // Ends the connection and with it the requests that the caller has sent ahead.
                    () = answering.left(), if is_http1 => {
                        Err(Error::new(ErrorKind::ConnectionAborted, "the caller has left"))
                    }
                }
            }
        })
    };
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service).into_owned());
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        // Fails if the port was dropped, which stops it as well.
        _ = stop.changed() => {}
    }
    let mut is_told = false;
    socket.close();
    std::future::poll_fn(|cx| {
        loop {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            // The library closes after the request that it has taken last. Requests behind it that were started have
            // reached a server, so they are answered first.
            if is_told || !socket.is_last() {
                return Poll::Pending;
            }
            is_told = true;
            connection.as_mut().graceful_shutdown();
        }
    })
    .await
}

/// Prepares a response for the HTTP library. `Connection: close` is moved to the last request that was started, as the
/// caller sends all requests behind it again.
fn finish(mut answer: Response<ResponseBody>, socket: Arc<CallerSocket>, is_http1: bool) -> Response<AnsweredBody> {
    if is_http1 {
        let headers = answer.headers_mut();
        if headers.get(CONNECTION).is_some_and(|value| value == CLOSE) {
            if !socket.close() {
                headers.remove(CONNECTION);
            }
        } else if socket.is_last() {
            headers.insert(CONNECTION, HeaderValue::from_static(CLOSE));
        }
    }
    answer.map(|body| AnsweredBody::new(body, socket))
}
