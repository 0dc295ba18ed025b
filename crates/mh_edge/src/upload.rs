use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::HeaderMap;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use mh_types::{Code, Run};
use tokio::time::{Instant, Sleep};

use crate::refusal::Refusal;
use crate::response_body::BodyError;

/// A request body on its way to a backend server.
#[derive(Debug)]
pub enum Upload {
    /// In memory; it can be sent again.
    Buffered(Option<Bytes>),
    /// Streamed as it arrives, with limits on size and time.
    Streamed(Box<StreamedUpload>),
}

/// A request body that is streamed to the backend server.
#[derive(Debug)]
pub struct StreamedUpload {
    /// `None` once the body ended or failed.
    body: Option<Incoming>,
    remaining_bytes: u64,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    progress: UploadProgress,
}

/// Progress of a streamed request body, readable during the transfer and after it failed.
#[derive(Clone, Debug, Default)]
pub struct UploadProgress(Arc<UploadState>);

#[derive(Debug, Default)]
struct UploadState {
    /// Number of the result code of the fault; zero for none.
    fault: AtomicU16,
    is_whole: AtomicBool,
}

impl UploadProgress {
    /// Returns the fault that ended the body early, if any.
    pub fn fault(&self) -> Option<Code> {
        Code::from_number(self.0.fault.load(Ordering::Acquire))
    }

    /// Returns whether the complete body was handed to the connection.
    pub fn is_whole(&self) -> bool {
        self.0.is_whole.load(Ordering::Acquire)
    }

    fn set_fault(&self, code: Code) -> BodyError {
        self.0.fault.store(code.number(), Ordering::Release);
        BodyError(code)
    }

    fn set_whole(&self) {
        self.0.is_whole.store(true, Ordering::Release);
    }
}

impl Upload {
    /// Creates a body from bytes in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns the progress of a streamed body; `None` for a body in memory.
    pub fn progress(&self) -> Option<UploadProgress> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(streamed) => Some(streamed.progress.clone()),
        }
    }

    /// Returns a copy of a body in memory; `None` for a streamed body, which can be sent only once.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(_) => None,
        }
    }

    /// Sets the framing of the body in the headers of its request.
    ///
    /// For methods that rarely have a body, such as GET, the HTTP library sends no body of unknown length unless the
    /// headers name its encoding.
    pub fn set_framing(&self, headers: &mut HeaderMap) {
        if !self.is_end_stream() && self.size_hint().exact().is_none() {
            headers.remove(CONTENT_LENGTH);
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }

    /// Creates a streamed body of at most `max_bytes`, with at most `idle_timeout` between two chunks.
    pub fn streamed(body: Incoming, max_bytes: u64, idle_timeout: Duration, progress: UploadProgress) -> Self {
        let timer = Box::pin(tokio::time::sleep(idle_timeout));
        Self::Streamed(Box::new(StreamedUpload {
            body: Some(body),
            remaining_bytes: max_bytes,
            idle_timeout,
            timer,
            progress,
        }))
    }
}

impl Drop for StreamedUpload {
    /// Drains what the caller still sends if the server responded or the request was refused before the end.
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            drain(body);
        }
    }
}

impl StreamedUpload {
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if len > self.remaining_bytes {
                    return Poll::Ready(Some(Err(self.progress.set_fault(Code::BodyTooLarge))));
                }
                self.remaining_bytes -= len;
                let next = Instant::now() + self.idle_timeout;
                self.timer.as_mut().reset(next);
                if self.body.as_ref().is_some_and(Body::is_end_stream) {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.body = None;
                Poll::Ready(Some(Err(self.progress.set_fault(Code::RequestIncomplete))))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.timer.as_mut().poll(cx));
                self.body = None;
                Poll::Ready(Some(Err(self.progress.set_fault(Code::RequestIncomplete))))
            }
        }
    }

    fn finish(&mut self) {
        self.body = None;
        self.progress.set_whole();
    }
}

/// Maximum bytes that are read from a body that is no longer needed; the connection of a caller that sends more is
/// closed.
const MAX_DRAIN_BYTES: usize = 1024 * 1024;

/// Longest time for draining a body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the remainder of a request body in the background and discards it.
///
/// Closing a TCP connection with unread data resets it, and the reset may discard the response before the caller has
/// received it.
pub fn drain(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    // There is no runtime while the process shuts down.
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            let mut rest = std::pin::pin!(Limited::new(body, MAX_DRAIN_BYTES));
            let read = async { while rest.frame().await.is_some_and(|frame| frame.is_ok()) {} };
            // The connection of a caller that is slower or sends more is closed.
            let _ = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
        });
    }
}

/// Reads a complete body of at most `max_bytes` into memory until `until`, with at most `idle_timeout` between two
/// chunks.
///
/// # Errors
///
/// [`Code::BodyTooLarge`] or [`Code::RequestIncomplete`]; the request was not sent to a backend server.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: u64,
    idle_timeout: Duration,
    until: Instant,
) -> Result<Bytes, Refusal> {
    let mut out = BytesMut::new();
    loop {
        let wait = until.min(Instant::now() + idle_timeout);
        let frame = match tokio::time::timeout_at(wait, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(out.freeze()),
            Ok(Some(Err(_))) | Err(_) => return Err(Refusal::new(Code::RequestIncomplete, Run::NotRun)),
        };
        if let Some(data) = frame.data_ref() {
            if (out.len() + data.len()) as u64 > max_bytes {
                return Err(Refusal::new(Code::BodyTooLarge, Run::NotRun));
            }
            out.extend_from_slice(data);
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(streamed) => streamed.poll_body(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(streamed) => streamed.body.as_ref().is_none_or(Body::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(streamed) => streamed
                .body
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), Body::size_hint),
        }
    }
}
