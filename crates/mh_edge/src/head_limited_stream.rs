use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Maximum size of one response head, in bytes; typical heads are a few hundred bytes long.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum bytes read until the head of the final response is complete: interim responses, that head, and the part of
/// the body that arrives in the same read.
const MAX_BYTES_BEFORE_BODY: usize = 2 * MAX_HEAD_BYTES;

/// Maximum number of interim (1xx) responses to one request.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Terminator of every head (RFC 9112, section 2.1).
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Time limit for the response head that a connection is waiting for, shared with its [`HeadLimitedStream`].
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    /// Longest time from the first byte of a head to its end, in milliseconds; zero while no head is expected.
    limit_ms: AtomicU64,
    /// Number of times that the limit was enabled.
    requests: AtomicU64,
}

impl HeadLimit {
    /// Enables the limit before a request is sent.
    pub(crate) fn arm(&self, limit: Duration) {
        let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.requests.fetch_add(1, Ordering::Release);
        self.limit_ms.store(ms.max(1), Ordering::Release);
    }

    /// Disables the limit once the head is complete or the request is given up.
    pub(crate) fn disarm(&self) {
        self.limit_ms.store(0, Ordering::Release);
    }

    fn limit(&self) -> Option<Duration> {
        let ms = self.limit_ms.load(Ordering::Acquire);
        (ms > 0).then(|| Duration::from_millis(ms))
    }
}

/// A connection to a backend server that bounds the size and the duration of response heads.
///
/// A faulty server may send header lines or interim responses for as long as the connection is open. The HTTP library
/// limits the bytes of one head, but neither its duration nor the number of interim responses before it.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<S> {
    stream: S,
    head_limit: Arc<HeadLimit>,
    /// Request, as a value of [`HeadLimit::requests`], whose response is being tracked.
    request: u64,
    /// Bytes read since the limit was enabled.
    bytes_read: usize,
    /// Heads that ended since the limit was enabled.
    heads_ended: usize,
    /// Length of the prefix of [`HEAD_END`] that the last bytes match.
    matched: usize,
    /// Timer of the head that is being received, from its first byte to its end.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> HeadLimitedStream<S> {
    pub(crate) fn new(stream: S, head_limit: Arc<HeadLimit>) -> Self {
        Self {
            stream,
            head_limit,
            request: 0,
            bytes_read: 0,
            heads_ended: 0,
            matched: 0,
            timer: None,
        }
    }

    /// Tracks received bytes; fails when they exceed the limits on bytes or on interim responses.
    fn track(&mut self, bytes: &[u8], limit: Duration) -> Result<()> {
        self.bytes_read += bytes.len();
        for byte in bytes {
            self.matched = match self.matched {
                matched if matched < HEAD_END.len() && *byte == HEAD_END[matched] => matched + 1,
                _ => usize::from(*byte == HEAD_END[0]),
            };
            self.heads_ended += usize::from(self.matched == HEAD_END.len());
        }
        if self.bytes_read > MAX_BYTES_BEFORE_BODY || self.heads_ended > MAX_INTERIM_RESPONSES {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "response head exceeds the size limits",
            ));
        }
        if self.matched == HEAD_END.len() {
            // The interim response is complete. The time that the server takes until the next head is not limited here.
            self.timer = None;
        } else if self.timer.is_none() {
            self.timer = Some(Box::pin(tokio::time::sleep_until(Instant::now() + limit)));
        }
        Ok(())
    }

    fn reset(&mut self) {
        self.bytes_read = 0;
        self.heads_ended = 0;
        self.matched = 0;
        self.timer = None;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Some(limit) = self.head_limit.limit() else {
            self.reset();
            return read;
        };
        // The connection may be reused without a read in between. The timer of the last response's head, which still runs
        // if the body arrived with the head, would then limit the wait for this response.
        let request = self.head_limit.requests.load(Ordering::Acquire);
        if request != self.request {
            self.reset();
            self.request = request;
        }
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(self.track(&buf.filled()[before..], limit)),
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let Some(timer) = &mut self.timer else {
                    return Poll::Pending;
                };
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Err(Error::new(
                    ErrorKind::TimedOut,
                    "response head is not complete in time",
                )))
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
