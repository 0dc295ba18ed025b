use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::header::HOST;
use hyper::http::HeaderValue;
use hyper::{HeaderMap, Method, Request, Uri};
use tokio::time::Instant;

use super::PipelineBounds;
use super::message_splitter::MessageSplitter;
use super::request_head::{Framing, HeadStatus, build_request, may_complete_head, parse_head};

/// Bytes that arrive within this time of each other get the same arrival time.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(1);

/// Maximum number of arrival times that are kept. Bytes beyond get an earlier one, and with it an earlier deadline.
const MAX_ARRIVALS: usize = 64;

/// Method, target and headers of a request that was started before its turn.
#[derive(Debug)]
pub(crate) struct StartedHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl StartedHead {
    fn of(req: &Request<()>) -> Self {
        Self {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers: req.headers().clone(),
        }
    }

    /// Returns whether `req` is the request that was started.
    pub(crate) fn is_same<B>(&self, req: &Request<B>) -> bool {
        self.method == *req.method() && self.uri == *req.uri() && self.headers == *req.headers()
    }
}

/// Request that the HTTP library has taken and that is not answered.
#[derive(Debug)]
enum Current {
    /// Not known whether other requests may run at the same time.
    Unchecked(Method, Uri, Option<HeaderValue>),
    /// Idempotent with certainty.
    Idempotent,
    /// Requests behind it wait until it is answered.
    Exclusive,
}

/// Request that may be started before its turn.
#[derive(Debug)]
pub(crate) struct Startable {
    pub(crate) req: Request<()>,
    /// Time at which the end of its head arrived.
    pub(crate) arrived: Instant,
    len: usize,
}

/// Bytes of a connection that were read before the HTTP library needed them, and the requests among them that were
/// started; `T` is what stands for a started request.
///
/// Makes no calls and reads no clock.
#[derive(Debug)]
pub(crate) struct ReadAhead<T> {
    splitter: MessageSplitter,
    bounds: PipelineBounds,
    /// Bytes that were read and not passed on.
    held: BytesMut,
    /// Bytes at the beginning of `held` that belong to started requests.
    started_bytes: usize,
    /// Bytes after those in which the end of a head was sought.
    checked_bytes: usize,
    /// Whether the first request that was not started has to wait for its turn.
    is_blocked: bool,
    /// Whether the wait of that request because of a bound was counted.
    is_wait_counted: bool,
    /// Whether the connection closes after the requests that were started.
    is_closing: bool,
    started: VecDeque<(StartedHead, T)>,
    current: Current,
    /// Arrival times of the bytes in `held` up to a position in the stream.
    arrivals: VecDeque<(u64, Instant)>,
    /// Position in the stream of the first byte in `held`.
    position: u64,
    /// Arrival of the request that the HTTP library takes next, if it was held.
    arrived: Option<Instant>,
}

impl<T> ReadAhead<T> {
    pub(crate) fn new(bounds: PipelineBounds) -> Self {
        Self {
            splitter: MessageSplitter::new(),
            bounds,
            held: BytesMut::new(),
            started_bytes: 0,
            checked_bytes: 0,
            is_blocked: false,
            is_wait_counted: false,
            is_closing: false,
            started: VecDeque::new(),
            current: Current::Exclusive,
            arrivals: VecDeque::new(),
            position: 0,
            arrived: None,
        }
    }

    /// Creates the state of a connection whose requests are never started before their turn.
    pub(crate) fn undivided(bounds: PipelineBounds) -> Self {
        let mut read_ahead = Self::new(bounds);
        read_ahead.splitter.give_up();
        read_ahead
    }

    /// Returns whether a request was passed on as a whole and is not answered, so that no bytes may be passed on.
    pub(crate) fn is_running(&self) -> bool {
        self.splitter.is_running()
    }

    /// Returns the number of held bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Returns how many more bytes may be held.
    pub(crate) fn room(&self) -> usize {
        self.bounds.connection_bytes.saturating_sub(self.held.len())
    }

    /// Returns whether a request was started that the HTTP library has not taken.
    pub(crate) fn has_started(&self) -> bool {
        !self.started.is_empty()
    }

    /// Starts no further requests, because the connection closes after those that were started.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
    }

    /// Returns whether the connection closes after the requests that were started.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns how many of `bytes`, which arrive while none are held, may be passed on.
    pub(crate) fn pass(&mut self, bytes: &[u8]) -> usize {
        debug_assert!(self.held.is_empty(), "held bytes come first");
        let passed = self.splitter.pass(bytes).bytes;
        self.position += passed as u64;
        passed
    }

    /// Holds bytes that arrived at `now`.
    pub(crate) fn hold(&mut self, bytes: &[u8], now: Instant) {
        self.held.extend_from_slice(bytes);
        let end = self.position + self.held.len() as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some((last_end, at)) if is_full || now.saturating_duration_since(*at) < ARRIVAL_RESOLUTION => {
                *last_end = end;
            }
            _ => self.arrivals.push_back((end, now)),
        }
    }

    /// Takes up to `max` held bytes of the current request.
    pub(crate) fn take(&mut self, max: usize) -> Bytes {
        let len = max.min(self.held.len());
        let passed = self.splitter.pass(&self.held[..len]);
        let bytes = self.held.split_to(passed.bytes).freeze();
        self.position += bytes.len() as u64;
        if passed.ends_head && !bytes.is_empty() {
            self.arrived = self.arrival_of(self.position - 1);
        }
        while self.arrivals.front().is_some_and(|(end, _)| *end <= self.position) {
            self.arrivals.pop_front();
        }
        if bytes.len() > self.started_bytes {
            self.is_blocked = false;
            self.is_wait_counted = false;
            self.checked_bytes = 0;
        }
        self.started_bytes = self.started_bytes.saturating_sub(bytes.len());
        bytes
    }

    /// Returns when the byte at `position` arrived.
    fn arrival_of(&self, position: u64) -> Option<Instant> {
        self.arrivals
            .iter()
            .find(|(end, _)| position < *end)
            .map(|(_, arrived)| *arrived)
    }

    /// Returns the next request that may be started before its turn; `is_idempotent` decides by method, target and
    /// `Host`.
    pub(crate) fn next_startable(
        &mut self,
        is_idempotent: impl Fn(&Method, &Uri, Option<&HeaderValue>) -> bool,
    ) -> Option<Startable> {
        let rest = &self.held[self.started_bytes..];
        if rest.is_empty() || self.is_blocked || self.is_closing || !self.splitter.is_running() {
            return None;
        }
        if let Current::Unchecked(method, uri, host) = &self.current {
            self.current = if is_idempotent(method, uri, host.as_ref()) {
                Current::Idempotent
            } else {
                Current::Exclusive
            };
        }
        if !matches!(self.current, Current::Idempotent) || !may_complete_head(rest, self.checked_bytes) {
            self.checked_bytes = rest.len();
            return None;
        }
        let (len, framing) = match parse_head(rest) {
            HeadStatus::Partial => {
                self.checked_bytes = rest.len();
                return None;
            }
            HeadStatus::Complete { len, framing } => (len, framing),
            HeadStatus::Invalid => (0, Framing::Unknown),
        };
        let req = build_request(rest)
            .filter(|_| framing == Framing::Bodiless)
            .filter(|req| is_idempotent(req.method(), req.uri(), req.headers().get(HOST)));
        let end = self.position + (self.started_bytes + len) as u64;
        let arrived = self.arrival_of(end.saturating_sub(1));
        let (Some(req), Some(arrived)) = (req, arrived) else {
            self.is_blocked = true;
            return None;
        };
        Some(Startable { req, arrived, len })
    }

    /// Returns whether the connection may run one more request; the running one counts as well.
    pub(crate) fn may_start_more(&self) -> bool {
        self.started.len() + 1 < self.bounds.connection_requests
    }

    /// Records that `startable`, which [`next_startable`](Self::next_startable) returned, is started by `start`.
    pub(crate) fn start(&mut self, startable: Startable, start: impl FnOnce(Request<()>, Instant) -> T) {
        let Startable { req, arrived, len } = startable;
        self.started_bytes += len;
        let head = StartedHead::of(&req);
        self.started.push_back((head, start(req, arrived)));
        self.checked_bytes = 0;
        self.is_wait_counted = false;
    }

    /// Records that the next request has to wait because of a bound; returns whether it is the first time for it.
    pub(crate) fn on_bound(&mut self) -> bool {
        !std::mem::replace(&mut self.is_wait_counted, true)
    }

    /// Records that the HTTP library has taken the next request; returns its arrival, if it was held, and the started
    /// one that it should be.
    pub(crate) fn on_taken<B>(&mut self, req: &Request<B>) -> (Option<Instant>, Option<(StartedHead, T)>) {
        let started = self.started.pop_front();
        self.current = if started.is_some() {
            Current::Idempotent
        } else {
            Current::Unchecked(
                req.method().clone(),
                req.uri().clone(),
                req.headers().get(HOST).cloned(),
            )
        };
        (self.arrived.take(), started)
    }

    /// Records that the HTTP library has taken the whole response to the running request.
    pub(crate) fn on_answered(&mut self) {
        self.splitter.on_answered();
    }
}
