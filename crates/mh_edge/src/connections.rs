use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_queue::ArrayQueue;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use mh_types::Code;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::upload::Upload;

/// Idle time after which a kept connection is used again only if the caller of [`Connections::take`] allows any age.
pub const ANY_AGE: Duration = Duration::MAX;

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
    /// Sends requests on the connection.
    pub sender: SendRequest<Upload>,
    /// Whether an earlier request used the connection.
    pub reused: bool,
    /// How long connecting took; `None` for a kept connection.
    pub connect_time: Option<Duration>,
    home: Arc<Connections>,
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

    /// Takes a connection that was idle for at most `max_age`, or makes a new one.
    ///
    /// # Errors
    ///
    /// [`Code::ConnectFailed`] when no connection can be made in time.
    pub async fn take(self: &Arc<Self>, connect_timeout: Duration, max_age: Duration) -> Result<Connection, Code> {
        while let Some(mut idle) = self.idle.pop() {
            if idle.is_usable(max_age) && idle.sender.ready().await.is_ok() {
                return Ok(Connection {
                    sender: idle.sender,
                    reused: true,
                    connect_time: None,
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
        let connect = async {
            let stream = TcpStream::connect(self.addr).await.map_err(|_| Code::ConnectFailed)?;
            stream.set_nodelay(true).map_err(|_| Code::ConnectFailed)?;
            handshake(TokioIo::new(stream)).await.map_err(|_| Code::ConnectFailed)
        };
        let (sender, connection) = tokio::time::timeout(connect_timeout, connect)
            .await
            .map_err(|_| Code::ConnectFailed)??;
        let home = Arc::clone(self);
        tokio::spawn(async move {
            // A request on this connection sees the same error. Bytes on an idle connection are seen only here.
            if connection.await.is_err_and(|e| is_stray(&e)) {
                home.note_stray();
            }
        });
        Ok(Connection {
            sender,
            reused: false,
            connect_time: Some(started.elapsed()),
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
                since: Instant::now(),
                keep_for,
            });
        }
    }
}
