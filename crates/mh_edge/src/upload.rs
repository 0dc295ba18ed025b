use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
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
    body: Incoming,
    left: u64,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    fault: UploadFault,
}

/// Why passing on a body failed, readable after the send failed.
#[derive(Clone, Debug, Default)]
pub struct UploadFault(Arc<AtomicU16>);

impl UploadFault {
    /// The fault, if there was one.
    pub fn code(&self) -> Option<Code> {
        Code::from_number(self.0.load(Ordering::Acquire))
    }

    fn set(&self, code: Code) -> BodyError {
        self.0.store(code.number(), Ordering::Release);
        BodyError(code)
    }
}

impl Upload {
    /// A body in memory.
    pub fn held(bytes: Bytes) -> Self {
        Self::Held((!bytes.is_empty()).then_some(bytes))
    }

    /// The fault of a body that is passed on.
    pub fn fault(&self) -> Option<UploadFault> {
        match self {
            Self::Held(_) => None,
            Self::Passed(passed) => Some(passed.fault.clone()),
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
    pub fn passed(body: Incoming, max_bytes: u64, idle: Duration, fault: UploadFault) -> Self {
        let timer = Box::pin(tokio::time::sleep(idle));
        Self::Passed(Box::new(Passed {
            body,
            left: max_bytes,
            idle,
            timer,
            fault,
        }))
    }
}

/// Reads a whole body of at most `max_bytes`, with at most `idle` between two pieces.
///
/// # Errors
///
/// [`Code::BodyTooLarge`] or [`Code::RequestIncomplete`]; the request has not run.
pub async fn hold(mut body: Incoming, max_bytes: u64, idle: Duration) -> Result<Bytes, Refusal> {
    let mut out = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
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
        let passed = match &mut *self {
            Self::Held(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Passed(passed) => passed,
        };
        match Pin::new(&mut passed.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if len > passed.left {
                    return Poll::Ready(Some(Err(passed.fault.set(Code::BodyTooLarge))));
                }
                passed.left -= len;
                let next = Instant::now() + passed.idle;
                passed.timer.as_mut().reset(next);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(passed.fault.set(Code::RequestIncomplete)))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                ready!(passed.timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(passed.fault.set(Code::RequestIncomplete))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_none(),
            Self::Passed(passed) => passed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Passed(passed) => passed.body.size_hint(),
        }
    }
}
