use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_queue::ArrayQueue;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use mh_types::{Code, ServerName};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::dial::{ConnectionPath, Dial, Dialed};
use crate::head_limited_stream::{HeadLimit, HeadLimitedStream, MAX_HEAD_BYTES, MAX_HEADERS};
use crate::upload::Upload;

/// Value of `max_idle_time` for [`ConnectionPool::take`] that accepts a connection of any idle time.
pub const ANY_IDLE_TIME: Duration = Duration::MAX;

/// Longest wait for an idle connection to become ready. A connection may still be sending the body of an earlier
/// request that the server answered before reading it, which would delay the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum remainder of a response that is read to keep its connection, in bytes. Reading more would cost as much as a
/// new connection.
const MAX_DRAIN_BYTES: usize = 16 * 1024;

/// Longest wait for the remainder of a response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which idle connections to a server are not reused after it sent bytes that belong to no request, in
/// milliseconds. Such responses come in bursts, and a late one would be mistaken for the response to the next request.
const SUSPECT_DURATION_MS: u64 = 10_000;

/// Pool of idle connections to one backend server, shared by all threads without a lock.
#[derive(Debug)]
pub struct ConnectionPool {
    server: ServerName,
    addr: SocketAddr,
    idle: ArrayQueue<IdleConnection>,
    created: Instant,
    /// End of the period in which the server is suspect, in milliseconds since `created`.
    suspect_until_ms: AtomicU64,
}

/// A connection that is open and not used by a request.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Upload>,
    path: ConnectionPath,
    task: ConnectionTask,
    head_limit: Arc<HeadLimit>,
    idle_since: Instant,
    /// Time for which the server announced to keep it open; [`ANY_IDLE_TIME`] if it announced none.
    keep_for: Duration,
}

impl IdleConnection {
    fn is_usable(&self, max_idle_time: Duration) -> bool {
        let idle_time = self.idle_since.elapsed();
        idle_time <= max_idle_time && idle_time < self.keep_for && !self.sender.is_closed()
    }
}

/// A connection in use by one request.
///
/// It is reused only through [`Connection::release`] and its variants. Dropping it closes it, so that a late response
/// to an abandoned request cannot reach another caller.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Upload>,
    path: ConnectionPath,
    /// Whether an earlier request used this connection.
    pub reused: bool,
    /// Duration of the connect; `None` for a reused connection.
    pub connect_time: Option<Duration>,
    head_limit: Arc<HeadLimit>,
    task: ConnectionTask,
    pool: Arc<ConnectionPool>,
}

/// Handle of the task that reads and writes a connection.
///
/// Dropping it closes the connection at once. Otherwise the body of a request that the server answered early would
/// still be sent for as long as the caller supplies it.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ConnectionPool {
    /// Creates a pool for `server` at `addr` that keeps at most `max_idle` idle connections.
    pub fn new(server: ServerName, addr: SocketAddr, max_idle: usize) -> Self {
        Self {
            server,
            addr,
            idle: ArrayQueue::new(max_idle.max(1)),
            created: Instant::now(),
            suspect_until_ms: AtomicU64::new(0),
        }
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the server sent data that belongs to no request within the last `SUSPECT_DURATION_MS`.
    pub fn is_suspect(&self) -> bool {
        self.age_ms() < self.suspect_until_ms.load(Ordering::Relaxed)
    }

    fn note_unsolicited_data(&self) {
        self.suspect_until_ms
            .store(self.age_ms() + SUSPECT_DURATION_MS, Ordering::Relaxed);
    }

    fn age_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// Takes a connection that was idle for at most `max_idle_time`, or opens a new one with `dial`. Connections to a
    /// suspect server are never reused.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] when no connection can be opened in time; other codes of `dial`.
    pub async fn take(
        self: &Arc<Self>,
        dial: &dyn Dial,
        connect_timeout: Duration,
        max_idle_time: Duration,
    ) -> Result<Connection, Code> {
        while let Some(mut idle) = self.idle.pop() {
            if self.is_suspect() || !idle.is_usable(max_idle_time) || !dial.may_reuse(&idle.path) {
                continue;
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, idle.sender.ready()).await;
            if ready.is_ok_and(|ready| ready.is_ok()) {
                return Ok(Connection {
                    sender: idle.sender,
                    path: idle.path,
                    reused: true,
                    connect_time: None,
                    head_limit: idle.head_limit,
                    task: idle.task,
                    pool: Arc::clone(self),
                });
            }
        }
        self.open(dial, connect_timeout).await
    }

    /// Closes the idle connections that `dial` does not reuse.
    pub fn close_unusable(&self, dial: &dyn Dial) {
        for _ in 0..self.idle.len() {
            let Some(idle) = self.idle.pop() else { return };
            if dial.may_reuse(&idle.path) {
                // A full queue rejects the connection, which closes it.
                let _ = self.idle.push(idle);
            }
        }
    }

    /// Opens a new connection with `dial`.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] when no connection can be opened in time; other codes of `dial`.
    pub async fn open(self: &Arc<Self>, dial: &dyn Dial, connect_timeout: Duration) -> Result<Connection, Code> {
        let started = Instant::now();
        let head_limit = Arc::new(HeadLimit::default());
        let stream_limit = Arc::clone(&head_limit);
        let connect = async {
            let Dialed { stream, path } = dial.dial(&self.server, self.addr).await?;
            let mut builder = Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
            let stream = TokioIo::new(HeadLimitedStream::new(stream, stream_limit));
            let (sender, connection) = builder.handshake(stream).await.map_err(|_| Code::ConnectFailed)?;
            Ok::<_, Code>((sender, connection, path))
        };
        let (sender, connection, path) = tokio::time::timeout(connect_timeout, connect)
            .await
            .map_err(|_| Code::ConnectFailed)??;
        let pool = Arc::clone(self);
        let task = tokio::spawn(async move {
            // A request on this connection receives the same error. Data on an idle connection is detected only here.
            if connection.await.is_err_and(|e| is_unsolicited_data(&e)) {
                pool.note_unsolicited_data();
            }
        });
        Ok(Connection {
            sender,
            path,
            reused: false,
            connect_time: Some(started.elapsed()),
            head_limit,
            task: ConnectionTask(task.abort_handle()),
            pool: Arc::clone(self),
        })
    }
}

/// Returns whether the error means that the server sent data that belongs to no request, as opposed to closing or
/// resetting the connection.
fn is_unsolicited_data(e: &hyper::Error) -> bool {
    let is_io = std::error::Error::source(e).is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    !is_io && !e.is_canceled() && !e.is_closed() && !e.is_incomplete_message()
}

impl Connection {
    /// Returns whether another VM passes the bytes of this connection on.
    pub fn is_tunnelled(&self) -> bool {
        self.path != ConnectionPath::Direct
    }

    /// Sends a request and waits for the response head until `until`; `None` on timeout.
    ///
    /// A head must be complete within `head_timeout` of its first byte and must not exceed a fixed size, because a
    /// faulty server may send a head that never ends.
    pub async fn send(
        &mut self,
        req: Request<Upload>,
        until: Instant,
        head_timeout: Duration,
    ) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
        self.head_limit.arm(head_timeout);
        let sent = tokio::time::timeout_at(until, self.sender.try_send_request(req)).await;
        self.head_limit.disarm();
        sent.ok()
    }

    /// Reads and discards the remainder of a response, then releases the connection for a request within `keep_for`.
    /// Closes the connection when the remainder is too long or takes too long.
    pub fn release_after_drain(self, rest: Incoming, keep_for: Duration) {
        if rest.is_end_stream() {
            self.release_for(keep_for);
            return;
        }
        tokio::spawn(async move {
            let rest = Limited::new(rest, MAX_DRAIN_BYTES).collect();
            if tokio::time::timeout(DRAIN_TIMEOUT, rest)
                .await
                .is_ok_and(|rest| rest.is_ok())
            {
                self.release_for(keep_for);
            }
        });
    }

    /// Records that the server sent data that belongs to no request.
    pub fn note_unsolicited_data(&self) {
        self.pool.note_unsolicited_data();
    }

    /// Returns the connection to the pool for the next request.
    pub fn release(self) {
        self.release_for(ANY_IDLE_TIME);
    }

    /// Returns the connection to the pool for a request within `keep_for`, after which the server may close it.
    pub fn release_for(self, keep_for: Duration) {
        if !self.sender.is_closed() {
            // A full queue rejects the connection, which closes it.
            let _ = self.pool.idle.push(IdleConnection {
                sender: self.sender,
                path: self.path,
                head_limit: self.head_limit,
                task: self.task,
                idle_since: Instant::now(),
                keep_for,
            });
        }
    }
}
