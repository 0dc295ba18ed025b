use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mh_types::{Code, Run};
use tokio::time::{Instant, Sleep};

use crate::answer_body::BodyError;
use crate::refusal::Refusal;

/// A request body on its way to a backend server.
#[derive(Debug)]
pub enum Upload {
    /// In memory; it can be sent again.
    Held(Option<Bytes>),
    /// Passed on as it arrives, bounded in bytes and time.
    Passed(Box<Passed>),
}

/// A body that is passed on.
#[derive(Debug)]
pub struct Passed {
    /// `None` once the body ended or failed.
    body: Option<Incoming>,
    left: u64,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    progress: UploadProgress,
}

/// How far the passing on of a body is, readable while it is sent and after the send failed.
#[derive(Clone, Debug, Default)]
pub struct UploadProgress(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    /// Number of the code of the fault; zero for none.
    fault: AtomicU16,
    is_whole: AtomicBool,
}

impl UploadProgress {
    /// The fault, if there was one.
    pub fn fault(&self) -> Option<Code> {
        Code::from_number(self.0.fault.load(Ordering::Acquire))
    }

    /// Whether all of the body was handed to the connection.
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
    /// A body in memory.
    pub fn held(bytes: Bytes) -> Self {
        Self::Held((!bytes.is_empty()).then_some(bytes))
    }

    /// How far the passing on is; `None` for a body in memory.
    pub fn progress(&self) -> Option<UploadProgress> {
        match self {
            Self::Held(_) => None,
            Self::Passed(passed) => Some(passed.progress.clone()),
        }
    }

    /// The same body once more, when it is in memory.
    pub fn again(&self) -> Option<Self> {
        match self {
            Self::Held(bytes) => Some(Self::Held(bytes.clone())),
            Self::Passed(_) => None,
        }
    }

    /// A body that is passed on, at most `max_bytes` long and with at most `idle` between two pieces.
    pub fn passed(body: Incoming, max_bytes: u64, idle: Duration, progress: UploadProgress) -> Self {
        let timer = Box::pin(tokio::time::sleep(idle));
        Self::Passed(Box::new(Passed {
            body: Some(body),
            left: max_bytes,
            idle,
            timer,
            progress,
        }))
    }
}

impl Drop for Passed {
    /// Reads on what the caller still sends, if the server answered or refused before the end.
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            drain(body);
        }
    }
}

impl Passed {
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if len > self.left {
                    return Poll::Ready(Some(Err(self.progress.set_fault(Code::BodyTooLarge))));
                }
                self.left -= len;
                let next = Instant::now() + self.idle;
                self.timer.as_mut().reset(next);
                if self.body.as_ref().is_some_and(Body::is_end_stream) {
                    self.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.body = None;
                Poll::Ready(Some(Err(self.progress.set_fault(Code::RequestIncomplete))))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.timer.as_mut().poll(cx));
                self.body = None;
                Poll::Ready(Some(Err(self.progress.set_fault(Code::RequestIncomplete))))
            }
        }
    }

    fn end(&mut self) {
        self.body = None;
        self.progress.set_whole();
    }
}

/// Most bytes of a body that nobody needs that are read; a caller that sends more has its connection closed.
const MAX_DRAIN_BYTES: usize = 1024 * 1024;

/// Longest wait for those bytes.
const DRAIN_WAIT: Duration = Duration::from_secs(2);

/// Reads the rest of a request's body and drops it.
///
/// A connection that is closed with unread bytes is reset, which may take the answer with it on its way to the caller.
pub fn drain(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    // Without a runtime the process is about to end.
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            let mut rest = std::pin::pin!(Limited::new(body, MAX_DRAIN_BYTES));
            let read = async { while rest.frame().await.is_some_and(|frame| frame.is_ok()) {} };
            // A caller that is slower, or sends more, loses the connection.
            let _ = tokio::time::timeout(DRAIN_WAIT, read).await;
        });
    }
}

/// Reads a whole body of at most `max_bytes` until `until`, with at most `idle` between two pieces.
///
/// # Errors
///
/// [`Code::BodyTooLarge`] or [`Code::RequestIncomplete`]; the request has not run.
pub async fn hold(mut body: Incoming, max_bytes: u64, idle: Duration, until: Instant) -> Result<Bytes, Refusal> {
    let mut out = BytesMut::new();
    loop {
        let wait = until.min(Instant::now() + idle);
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
            Self::Held(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Passed(passed) => passed.poll_body(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_none(),
            Self::Passed(passed) => passed.body.as_ref().is_none_or(Body::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Passed(passed) => passed
                .body
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), Body::size_hint),
        }
    }
}
