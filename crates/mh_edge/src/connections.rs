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
use mh_types::Code;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::answer_stream::{AnswerStream, HeadWatch, MAX_HEAD_BYTES};
use crate::upload::Upload;

/// Idle time after which a kept connection is used again only if the caller of [`Connections::take`] allows any age.
pub const ANY_AGE: Duration = Duration::MAX;

/// Longest wait for a kept connection to be ready. One that still sends an earlier body, which its server answered before
/// reading it, would hold up the next request.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Longest rest of an answer that is read so that its connection can be kept, in bytes; a new connection costs as much.
const MAX_REST_BYTES: usize = 16 * 1024;

/// Longest wait for that rest.
const REST_WAIT: Duration = Duration::from_millis(200);

/// Most headers of an answer.
const MAX_HEADERS: usize = 200;

/// Time for which a server that sent bytes without a request is not trusted with kept connections. Such answers come in
/// runs, and each late one would be taken for the answer to the next request.
const SUSPECT_MS: u64 = 10_000;

/// Idle connections to one backend server, shared by every thread without a lock.
#[derive(Debug)]
pub struct Connections {
    addr: SocketAddr,
    idle: ArrayQueue<Idle>,
    created: Instant,
    /// Milliseconds from `created` until which the server is suspect.
    suspect_until: AtomicU64,
}

/// A kept connection that no request uses.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Upload>,
    task: ConnectionTask,
    watch: Arc<HeadWatch>,
    since: Instant,
    /// How long the server keeps it open, as far as it said.
    keep_for: Duration,
}

impl Idle {
    fn is_usable(&self, max_age: Duration) -> bool {
        let age = self.since.elapsed();
        age <= max_age && age < self.keep_for && !self.sender.is_closed()
    }
}

/// A connection in use by one request.
///
/// It is reused only through [`Connection::give_back`]; dropping it closes it, so that a late answer to a request that
/// was given up cannot reach another caller.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Upload>,
    /// Whether an earlier request used the connection.
    pub reused: bool,
    /// How long connecting took; `None` for a kept connection.
    pub connect_time: Option<Duration>,
    watch: Arc<HeadWatch>,
    task: ConnectionTask,
    home: Arc<Connections>,
}

/// The task that reads and writes a connection. Dropping it closes the connection at once; without that a body whose
/// server has answered early would be sent on for as long as its caller takes.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connections {
    /// Connections to `addr`, of which at most `max_idle` are kept while idle.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Self {
        Self {
            addr,
            idle: ArrayQueue::new(max_idle.max(1)),
            created: Instant::now(),
            suspect_until: AtomicU64::new(0),
        }
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the server lately sent an answer that belonged to no request.
    pub fn is_suspect(&self) -> bool {
        self.age_ms() < self.suspect_until.load(Ordering::Relaxed)
    }

    fn note_stray(&self) {
        self.suspect_until.store(self.age_ms() + SUSPECT_MS, Ordering::Relaxed);
    }

    fn age_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// Takes a connection that was idle for at most `max_age`, or makes a new one. A suspect server gets a new one.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] when no connection can be made in time.
    pub async fn take(self: &Arc<Self>, connect_timeout: Duration, max_age: Duration) -> Result<Connection, Code> {
        while let Some(mut idle) = self.idle.pop() {
            if self.is_suspect() || !idle.is_usable(max_age) {
                continue;
            }
            let ready = tokio::time::timeout(READY_WAIT, idle.sender.ready()).await;
            if ready.is_ok_and(|ready| ready.is_ok()) {
                return Ok(Connection {
                    sender: idle.sender,
                    reused: true,
                    connect_time: None,
                    watch: idle.watch,
                    task: idle.task,
                    home: Arc::clone(self),
                });
            }
        }
        self.open(connect_timeout).await
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] when no connection can be made in time.
    pub async fn open(self: &Arc<Self>, connect_timeout: Duration) -> Result<Connection, Code> {
        let started = Instant::now();
        let watch = Arc::new(HeadWatch::default());
        let watched = Arc::clone(&watch);
        let connect = async {
            let stream = TcpStream::connect(self.addr).await.map_err(|_| Code::ConnectFailed)?;
            stream.set_nodelay(true).map_err(|_| Code::ConnectFailed)?;
            let mut builder = Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
            let stream = TokioIo::new(AnswerStream::new(stream, watched));
            builder.handshake(stream).await.map_err(|_| Code::ConnectFailed)
        };
        let (sender, connection) = tokio::time::timeout(connect_timeout, connect)
            .await
            .map_err(|_| Code::ConnectFailed)??;
        let home = Arc::clone(self);
        let task = tokio::spawn(async move {
            // A request on this connection sees the same error. Bytes on an idle connection are seen only here.
            if connection.await.is_err_and(|e| is_stray(&e)) {
                home.note_stray();
            }
        });
        Ok(Connection {
            sender,
            reused: false,
            connect_time: Some(started.elapsed()),
            watch,
            task: ConnectionTask(task.abort_handle()),
            home: Arc::clone(self),
        })
    }
}

/// Whether the server sent bytes that answer no request, rather than closing or resetting the connection.
fn is_stray(e: &hyper::Error) -> bool {
    let is_io = std::error::Error::source(e).is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    !is_io && !e.is_canceled() && !e.is_closed() && !e.is_incomplete_message()
}

impl Connection {
    /// Sends a request and waits for the head of its answer until `until`; `None` when none came by then.
    ///
    /// A head that has begun must be whole within `head_limit`, and must not be longer than a fixed bound. A server in
    /// trouble may send bytes that never end.
    pub async fn send(
        &mut self,
        req: Request<Upload>,
        until: Instant,
        head_limit: Duration,
    ) -> Option<Result<Response<Incoming>, TrySendError<Request<Upload>>>> {
        self.watch.start(head_limit);
        let sent = tokio::time::timeout_at(until, self.sender.try_send_request(req)).await;
        self.watch.stop();
        sent.ok()
    }

    /// Keeps the connection for a request within `keep_for` once the rest of an answer that nobody needs has been read;
    /// closes it when the rest is long or late.
    pub fn give_back_after(self, rest: Incoming, keep_for: Duration) {
        if rest.is_end_stream() {
            self.give_back_for(keep_for);
            return;
        }
        tokio::spawn(async move {
            let rest = Limited::new(rest, MAX_REST_BYTES).collect();
            if tokio::time::timeout(REST_WAIT, rest)
                .await
                .is_ok_and(|rest| rest.is_ok())
            {
                self.give_back_for(keep_for);
            }
        });
    }

    /// Records that the server sent an answer that belongs to no request.
    pub fn note_stray(&self) {
        self.home.note_stray();
    }

    /// Keeps the connection for the next request.
    pub fn give_back(self) {
        self.give_back_for(ANY_AGE);
    }

    /// Keeps the connection for a request within `keep_for`, after which the server may close it.
    pub fn give_back_for(self, keep_for: Duration) {
        if !self.sender.is_closed() {
            // A full queue closes the connection.
            let _ = self.home.idle.push(Idle {
                sender: self.sender,
                watch: self.watch,
                task: self.task,
                since: Instant::now(),
                keep_for,
            });
        }
    }
}
