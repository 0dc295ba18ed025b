use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// First bytes of an HTTP/2 connection (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A caller connection that fails unless its protocol is detected within a time limit.
///
/// The timeouts of the HTTP server start after it has detected HTTP/1 or HTTP/2. Without this limit, a connection that
/// sends nothing, or only a part of the HTTP/2 preface, would stay open indefinitely.
#[derive(Debug)]
pub(crate) struct ProtocolTimeoutStream<S> {
    stream: S,
    /// Bytes of [`PREFACE`] received so far.
    matched: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> ProtocolTimeoutStream<S> {
    pub(crate) fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            matched: 0,
            timer: Some(Box::pin(tokio::time::sleep(limit))),
        }
    }

    /// Tracks received bytes and cancels the timer once they determine the protocol.
    fn track(&mut self, bytes: &[u8]) {
        let rest = &PREFACE[self.matched..];
        if bytes.len() >= rest.len() || !rest.starts_with(bytes) {
            self.timer = None;
        } else {
            self.matched += bytes.len();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ProtocolTimeoutStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            if let Some(timer) = &mut self.timer
                && timer.as_mut().poll(cx).is_ready()
            {
                return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
            }
        } else if self.timer.is_some() {
            self.track(&buf.filled()[before..]);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ProtocolTimeoutStream<S> {
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
