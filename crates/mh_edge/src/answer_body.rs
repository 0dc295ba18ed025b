use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mh_route::Outcome;
use mh_types::{Code, Event, emit};
use tokio::time::{Instant, Sleep};

use crate::backends::Picked;
use crate::connections::Connection;

/// Learns how the body of an answer ended; dropping it means that the caller left before the end.
pub trait Ending: fmt::Debug + Send {
    /// Every byte was passed on.
    fn whole(self: Box<Self>);
    /// The backend server broke off, or was silent for too long.
    fn cut(self: Box<Self>, code: Code);
}

/// Gives the connection back and records the outcome in the pool.
#[derive(Debug)]
struct PickedEnding {
    // Returned for reuse only after the whole answer was read.
    connection: Connection,
    picked: Picked,
}

impl Ending for PickedEnding {
    fn whole(self: Box<Self>) {
        self.connection.give_back();
    }

    fn cut(self: Box<Self>, _code: Code) {
        self.picked.failed(Outcome::Failed);
    }
}

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError(pub Code);

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for BodyError {}

/// Body of an answer to a caller.
///
/// A body from a backend server that ends early ends with an error, so that the caller's connection is cut and the
/// answer cannot be taken for a whole one.
#[derive(Debug)]
pub struct AnswerBody(Inner);

#[derive(Debug)]
enum Inner {
    Whole(Option<Bytes>),
    Passed(Box<Passed>),
}

#[derive(Debug)]
struct Passed {
    /// Bytes that were read before the answer was passed on.
    start: Option<Bytes>,
    body: Incoming,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    /// When the answer is cut however fast it still comes.
    end: Pin<Box<Sleep>>,
    ending: Option<Box<dyn Ending>>,
}

impl AnswerBody {
    /// A body that is in memory.
    pub fn whole(bytes: Bytes) -> Self {
        Self(Inner::Whole((!bytes.is_empty()).then_some(bytes)))
    }

    pub(crate) fn passed(
        body: Incoming,
        connection: Connection,
        picked: Picked,
        idle: Duration,
        until: Instant,
    ) -> Self {
        if body.is_end_stream() {
            connection.give_back();
            return Self::whole(Bytes::new());
        }
        let ending = Box::new(PickedEnding { connection, picked });
        Self::streamed(Bytes::new(), body, idle, until, ending)
    }

    /// A body that is passed on as it arrives, after the bytes of `start`.
    ///
    /// It is cut when the backend server sends nothing for `idle`, and at `until` in any case: a server in trouble may
    /// send without end.
    pub fn streamed(start: Bytes, body: Incoming, idle: Duration, until: Instant, ending: Box<dyn Ending>) -> Self {
        let timer = Box::pin(tokio::time::sleep(idle));
        let end = Box::pin(tokio::time::sleep_until(until));
        Self(Inner::Passed(Box::new(Passed {
            start: (!start.is_empty()).then_some(start),
            body,
            idle,
            timer,
            end,
            ending: Some(ending),
        })))
    }
}

impl Passed {
    fn finish(&mut self) {
        if let Some(ending) = self.ending.take() {
            ending.whole();
        }
    }

    fn cut(&mut self, code: Code) -> BodyError {
        if let Some(ending) = self.ending.take() {
            ending.cut(code);
        }
        emit!(Event::AnswerCut, code = code.number());
        BodyError(code)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let passed = match &mut self.0 {
            Inner::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Inner::Passed(passed) => passed,
        };
        if let Some(start) = passed.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if passed.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(passed.cut(Code::AnswerTimeout))));
        }
        match Pin::new(&mut passed.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let next = Instant::now() + passed.idle;
                passed.timer.as_mut().reset(next);
                if passed.body.is_end_stream() {
                    passed.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(passed.cut(Code::AnswerLost)))),
            Poll::Ready(None) => {
                passed.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(passed.timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(passed.cut(Code::AnswerTimeout))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Inner::Whole(bytes) => bytes.is_none(),
            Inner::Passed(passed) => passed.start.is_none() && passed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Inner::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Inner::Passed(passed) => {
                let start = passed.start.as_ref().map_or(0, Bytes::len) as u64;
                let rest = passed.body.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + start);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + start);
                }
                hint
            }
        }
    }
}
