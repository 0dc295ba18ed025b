use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rustix::net::{Shutdown, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Time between two looks whether the caller of a running request has left.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Most bytes that are read before the HTTP library asks for them.
const MAX_AHEAD_BYTES: usize = 16 * 1024;

/// Connection of a caller, shared by the HTTP library and the running requests.
///
/// The library reads nothing while a request runs and the next one is already in its buffer. It would notice only after
/// the answer that the caller has left, and would run that next request too. [`left`](Self::left) therefore reads ahead.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    has_ahead: AtomicBool,
    ahead: Mutex<Ahead>,
}

/// Bytes that were read ahead, and the task that waits for some.
#[derive(Debug, Default)]
struct Ahead {
    bytes: BytesMut,
    waiting: Option<Waker>,
}

impl CallerSocket {
    pub(crate) fn new(stream: TcpStream) -> Arc<Self> {
        Arc::new(Self {
            stream,
            has_ahead: AtomicBool::new(false),
            ahead: Mutex::default(),
        })
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        // The bytes stay consistent if another thread panics.
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn left(&self) {
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            if self.read_ahead() {
                return;
            }
        }
    }

    /// Reads what has arrived; returns whether the connection has ended.
    fn read_ahead(&self) -> bool {
        let mut ahead = self.ahead();
        let mut chunk = [0; 1024];
        while ahead.bytes.len() < MAX_AHEAD_BYTES {
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return true,
                Ok(len) => ahead.bytes.extend_from_slice(&chunk[..len]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return true,
            }
        }
        if !ahead.bytes.is_empty() {
            self.has_ahead.store(true, Ordering::Release);
            if let Some(waiting) = ahead.waiting.take() {
                waiting.wake();
            }
        }
        false
    }

    /// Moves bytes that were read ahead to `buf`; registers `cx` if there are none.
    fn take_ahead(&self, cx: &Context<'_>, buf: &mut ReadBuf<'_>) -> bool {
        let mut ahead = self.ahead();
        let len = ahead.bytes.len().min(buf.remaining());
        buf.put_slice(&ahead.bytes[..len]);
        ahead.bytes.advance(len);
        self.has_ahead.store(!ahead.bytes.is_empty(), Ordering::Release);
        if len == 0 {
            ahead.waiting = Some(cx.waker().clone());
        }
        len > 0
    }
}

/// The stream that the HTTP library reads and writes.
#[derive(Debug)]
pub(crate) struct CallerStream(pub(crate) Arc<CallerSocket>);

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        loop {
            if socket.has_ahead.load(Ordering::Acquire) && socket.take_ahead(cx, buf) {
                return Poll::Ready(Ok(()));
            }
            if socket.stream.poll_read_ready(cx)?.is_pending() {
                // Bytes that are read ahead from here on wake the task.
                return if socket.take_ahead(cx, buf) {
                    Poll::Ready(Ok(()))
                } else {
                    Poll::Pending
                };
            }
            // Excludes reading ahead, so that no bytes overtake others.
            let ahead = socket.ahead();
            if !ahead.bytes.is_empty() {
                continue;
            }
            match socket.stream.try_read(buf.initialize_unfilled()) {
                Ok(len) => {
                    buf.advance(len);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(bufs) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match shutdown(&self.0.stream, Shutdown::Write) {
            // The connection has ended already.
            Ok(()) | Err(rustix::io::Errno::NOTCONN) => Poll::Ready(Ok(())),
            Err(e) => Poll::Ready(Err(e.into())),
        }
    }
}
