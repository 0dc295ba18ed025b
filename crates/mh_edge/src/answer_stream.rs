use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Longest head of one answer, in bytes; heads are a few hundred bytes long.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most bytes read until the head of the final answer is whole: interim answers, that head, and what one read holds of
/// the body.
const MAX_AWAITED_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// Most interim answers to one request.
const MAX_INTERIM: usize = 8;

/// Ends every head (RFC 9112, section 2.1).
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Whether the head of an answer is awaited on a connection.
#[derive(Debug, Default)]
pub(crate) struct HeadWatch {
    /// Longest time from the first byte of a head to its end, in milliseconds; zero while none is awaited.
    limit_ms: AtomicU64,
}

impl HeadWatch {
    /// A request is about to be sent.
    pub(crate) fn start(&self, limit: Duration) {
        let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.limit_ms.store(ms.max(1), Ordering::Release);
    }

    /// The head is whole, or nobody waits for it any more.
    pub(crate) fn stop(&self) {
        self.limit_ms.store(0, Ordering::Release);
    }

    fn limit(&self) -> Option<Duration> {
        let ms = self.limit_ms.load(Ordering::Acquire);
        (ms > 0).then(|| Duration::from_millis(ms))
    }
}

/// A connection to a backend server whose answers' heads are bounded in bytes and time.
///
/// A server in trouble may send lines of a head, or interim answers, for as long as the connection is open. The HTTP
/// library bounds one head in bytes, and neither its time nor the number of interim answers before it.
#[derive(Debug)]
pub(crate) struct AnswerStream<S> {
    stream: S,
    watch: Arc<HeadWatch>,
    /// Bytes read since the head is awaited.
    awaited: usize,
    /// Heads that ended since then.
    heads: usize,
    /// Bytes of [`HEAD_END`] that the last bytes match.
    matched: usize,
    /// Runs while a head has begun and not ended.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> AnswerStream<S> {
    pub(crate) fn new(stream: S, watch: Arc<HeadWatch>) -> Self {
        Self {
            stream,
            watch,
            awaited: 0,
            heads: 0,
            matched: 0,
            timer: None,
        }
    }

    /// Notes bytes of a head; fails when there are too many.
    fn note(&mut self, bytes: &[u8], limit: Duration) -> Result<()> {
        self.awaited += bytes.len();
        for byte in bytes {
            self.matched = match self.matched {
                matched if matched < HEAD_END.len() && *byte == HEAD_END[matched] => matched + 1,
                _ => usize::from(*byte == HEAD_END[0]),
            };
            self.heads += usize::from(self.matched == HEAD_END.len());
        }
        if self.awaited > MAX_AWAITED_BYTES || self.heads > MAX_INTERIM {
            return Err(Error::new(ErrorKind::InvalidData, "the answer's head does not end"));
        }
        if self.matched == HEAD_END.len() {
            // An interim answer is whole, and the server may now work for as long as it likes.
            self.timer = None;
        } else if self.timer.is_none() {
            self.timer = Some(Box::pin(tokio::time::sleep_until(Instant::now() + limit)));
        }
        Ok(())
    }

    fn reset(&mut self) {
        self.awaited = 0;
        self.heads = 0;
        self.matched = 0;
        self.timer = None;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AnswerStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Some(limit) = self.watch.limit() else {
            self.reset();
            return read;
        };
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(self.note(&buf.filled()[before..], limit)),
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let Some(timer) = &mut self.timer else {
                    return Poll::Pending;
                };
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the answer's head does not end")))
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AnswerStream<S> {
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
