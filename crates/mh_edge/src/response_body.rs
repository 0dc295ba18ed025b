use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mh_route::Outcome;
use mh_types::{Code, Event, emit};
use tokio::time::{Instant, Sleep};

use crate::backends::PickedServer;
use crate::connection_pool::Connection;

/// Receives the outcome of relaying a response body.
///
/// Dropping the observer without a call means that the caller disconnected before the end.
pub trait BodyObserver: fmt::Debug + Send {
    /// The whole body was relayed.
    fn on_complete(self: Box<Self>);
    /// The backend server aborted the body or exceeded a timeout.
    fn on_abort(self: Box<Self>, code: Code);
}

/// Releases the connection for reuse and records the outcome in the pool.
#[derive(Debug)]
struct ServerBodyObserver {
    // Released for reuse only after the whole response has been read.
    connection: Connection,
    picked: PickedServer,
}

impl BodyObserver for ServerBodyObserver {
    fn on_complete(self: Box<Self>) {
        self.connection.release();
    }

    fn on_abort(self: Box<Self>, _code: Code) {
        self.picked.fail(Outcome::Failed);
    }
}

/// Error of a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError(pub Code);

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for BodyError {}

/// Body of a response to a caller.
///
/// A body that a backend server ends early yields an error. The caller's connection is then aborted, so the caller
/// cannot mistake the truncated response for a complete one.
#[derive(Debug)]
pub struct ResponseBody(Inner);

#[derive(Debug)]
enum Inner {
    Buffered(Option<Bytes>),
    Streamed(Box<StreamedBody>),
}

#[derive(Debug)]
struct StreamedBody {
    /// Bytes that were read before relaying began; they are sent first.
    prefix: Option<Bytes>,
    body: Incoming,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    /// Aborts the response at this time, even while the server is still sending.
    deadline: Pin<Box<Sleep>>,
    observer: Option<Box<dyn BodyObserver>>,
}

impl ResponseBody {
    /// Creates a body from bytes in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self(Inner::Buffered((!bytes.is_empty()).then_some(bytes)))
    }

    pub(crate) fn from_server(
        body: Incoming,
        connection: Connection,
        picked: PickedServer,
        idle_timeout: Duration,
        until: Instant,
    ) -> Self {
        if body.is_end_stream() {
            connection.release();
            return Self::buffered(Bytes::new());
        }
        let observer = Box::new(ServerBodyObserver { connection, picked });
        Self::streamed(Bytes::new(), body, idle_timeout, until, observer)
    }

    /// Creates a body that sends `prefix` and then relays `body` as it arrives.
    ///
    /// It is aborted when the backend server sends nothing for `idle_timeout`, and at `until` in any case, because a
    /// faulty server may send without end.
    pub fn streamed(
        prefix: Bytes,
        body: Incoming,
        idle_timeout: Duration,
        until: Instant,
        observer: Box<dyn BodyObserver>,
    ) -> Self {
        let timer = Box::pin(tokio::time::sleep(idle_timeout));
        let deadline = Box::pin(tokio::time::sleep_until(until));
        Self(Inner::Streamed(Box::new(StreamedBody {
            prefix: (!prefix.is_empty()).then_some(prefix),
            body,
            idle_timeout,
            timer,
            deadline,
            observer: Some(observer),
        })))
    }
}

impl StreamedBody {
    fn finish(&mut self) {
        if let Some(observer) = self.observer.take() {
            observer.on_complete();
        }
    }

    fn abort(&mut self, code: Code) -> BodyError {
        if let Some(observer) = self.observer.take() {
            observer.on_abort(code);
        }
        emit!(Event::AnswerCut, code = code.number());
        BodyError(code)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let streamed = match &mut self.0 {
            Inner::Buffered(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Inner::Streamed(streamed) => streamed,
        };
        if let Some(prefix) = streamed.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if streamed.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(streamed.abort(Code::AnswerTimeout))));
        }
        match Pin::new(&mut streamed.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let next = Instant::now() + streamed.idle_timeout;
                streamed.timer.as_mut().reset(next);
                if streamed.body.is_end_stream() {
                    streamed.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(streamed.abort(Code::AnswerLost)))),
            Poll::Ready(None) => {
                streamed.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(streamed.timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(streamed.abort(Code::AnswerTimeout))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Inner::Buffered(bytes) => bytes.is_none(),
            Inner::Streamed(streamed) => streamed.prefix.is_none() && streamed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Inner::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Inner::Streamed(streamed) => {
                let prefix = streamed.prefix.as_ref().map_or(0, Bytes::len) as u64;
                let rest = streamed.body.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + prefix);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + prefix);
                }
                hint
            }
        }
    }
}
