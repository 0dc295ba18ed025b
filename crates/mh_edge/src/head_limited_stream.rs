use std::io::{Error, ErrorKind, Result};
use std::mem::MaybeUninit;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use httparse::ParserConfig;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Maximum size of one response head, in bytes; typical heads are a few hundred bytes long.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of headers in a response.
pub(crate) const MAX_HEADERS: usize = 200;

/// Maximum number of interim (1xx) responses to one request.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Statuses of interim responses. 101 is final: the bytes after it belong to another protocol.
const INTERIM_STATUSES: [RangeInclusive<u16>; 2] = [100..=100, 102..=199];

/// Time limit for the response head that a connection is waiting for, shared with its [`HeadLimitedStream`].
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    /// Longest time from the first byte of a head to its end, in milliseconds; zero while no head is expected.
    limit_ms: AtomicU64,
    /// Number of requests that the connection was armed for.
    requests: AtomicU64,
}

impl HeadLimit {
    /// Enables the limit before a request is sent.
    pub(crate) fn arm(&self, limit: Duration) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.limit_ms.store(ms.max(1), Ordering::Release);
    }

    /// Disables the limit once the head is complete or the request is given up.
    pub(crate) fn disarm(&self) {
        self.limit_ms.store(0, Ordering::Release);
    }

    /// Returns the limit and the number of the request that it applies to; `None` while no head is expected.
    fn limit(&self) -> Option<(Duration, u64)> {
        let ms = self.limit_ms.load(Ordering::Acquire);
        (ms > 0).then(|| (Duration::from_millis(ms), self.requests.load(Ordering::Relaxed)))
    }
}

/// A connection to a backend server that bounds the size and the duration of response heads.
///
/// A faulty server may send header lines or interim responses for as long as the connection is open. The HTTP library
/// limits the bytes of one head, but neither its duration nor the number of interim responses before it. Heads are
/// parsed with the parser of that library, so that both agree on where the final head ends. What follows it is body.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<S> {
    stream: S,
    head_limit: Arc<HeadLimit>,
    /// Number of the request whose response is being received.
    request: u64,
    /// Part of a head that has been received.
    head: BytesMut,
    interim_responses: usize,
    /// Whether the final head has ended, so that further bytes are body.
    has_final_head: bool,
    /// Timer of the head that is being received, from its first byte to its end.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> HeadLimitedStream<S> {
    pub(crate) fn new(stream: S, head_limit: Arc<HeadLimit>) -> Self {
        Self {
            stream,
            head_limit,
            request: 0,
            head: BytesMut::new(),
            interim_responses: 0,
            has_final_head: false,
            timer: None,
        }
    }

    /// Tracks received bytes; fails when a head is too long or when there are too many interim responses.
    fn track(&mut self, bytes: &[u8], limit: Duration) -> Result<()> {
        if self.has_final_head || bytes.is_empty() {
            return Ok(());
        }
        // Most heads arrive in one read and need no copy.
        let received_before = self.head.len();
        let mut joined = std::mem::take(&mut self.head);
        let mut rest = bytes;
        if received_before > 0 {
            joined.extend_from_slice(bytes);
            rest = &joined;
        }
        let mut unparsed = received_before;
        while has_empty_line(rest, unparsed) {
            let (len, status) = match parse_head(rest) {
                ParsedHead::Complete { len, status } => (len, status),
                ParsedHead::Partial => break,
                // The HTTP library fails at the same byte.
                ParsedHead::Invalid => {
                    self.end_head();
                    return Ok(());
                }
            };
            self.timer = None;
            if !INTERIM_STATUSES.iter().any(|statuses| statuses.contains(&status)) {
                self.end_head();
                return Ok(());
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(too_long());
            }
            rest = &rest[len..];
            unparsed = 0;
        }
        if rest.len() > MAX_HEAD_BYTES {
            return Err(too_long());
        }
        // After a complete interim response, the time that the server takes until the next head is not limited here.
        if !rest.is_empty() && self.timer.is_none() {
            self.timer = Some(Box::pin(tokio::time::sleep_until(Instant::now() + limit)));
        }
        self.head = if rest.len() == joined.len() {
            joined
        } else {
            BytesMut::from(rest)
        };
        Ok(())
    }

    fn end_head(&mut self) {
        self.has_final_head = true;
        self.timer = None;
    }

    /// Starts over for another request.
    fn reset(&mut self, request: u64) {
        self.request = request;
        self.head = BytesMut::new();
        self.interim_responses = 0;
        self.has_final_head = false;
        self.timer = None;
    }
}

/// Result of parsing the bytes of a head.
enum ParsedHead {
    Complete { len: usize, status: u16 },
    Partial,
    Invalid,
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [MaybeUninit::uninit(); MAX_HEADERS];
    let mut response = httparse::Response::new(&mut []);
    let parsed = ParserConfig::default().parse_response_with_uninit_headers(&mut response, bytes, &mut headers);
    match (parsed, response.code) {
        (Ok(httparse::Status::Complete(len)), Some(status)) => ParsedHead::Complete { len, status },
        (Ok(httparse::Status::Partial), _) => ParsedHead::Partial,
        _ => ParsedHead::Invalid,
    }
}

/// Returns whether an empty line ends at or after `from`. A head without one is incomplete, so that a head that arrives
/// byte by byte is not parsed again with each byte.
fn has_empty_line(bytes: &[u8], from: usize) -> bool {
    let is_end = |end: usize| bytes[..end].ends_with(b"\n") || bytes[..end].ends_with(b"\n\r");
    (from..bytes.len()).any(|at| bytes[at] == b'\n' && is_end(at))
}

fn too_long() -> Error {
    Error::new(ErrorKind::InvalidData, "response head exceeds the size limits")
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Some((limit, request)) = self.head_limit.limit() else {
            self.timer = None;
            return read;
        };
        if request != self.request {
            self.reset(request);
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
