use std::io::{self, ErrorKind, IoSlice};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use hyper::{Request, Response};
use mh_sync::{Mutex, MutexGuard};
use rustix::net::{Shutdown, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::ResponseBody;
use crate::pipeline::{PipelineBounds, Pipelining, ReadAhead, StartPermit, StartedHead};

/// Time between two checks whether the caller of a running request has left, where a read does not tell.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Bytes that are read from the connection at a time.
const CHUNK_BYTES: usize = 1024;

/// A request that was started before its turn; dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct StartedRequest {
    task: AbortOnDropHandle<Response<ResponseBody>>,
    _permit: StartPermit,
}

impl StartedRequest {
    /// Waits for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler panicked.
    pub(crate) async fn response(self) -> io::Result<Response<ResponseBody>> {
        self.task.await.map_err(io::Error::other)
    }
}

/// Connection of a caller, shared by the HTTP library and the running requests.
///
/// While a request runs, the library gets none of the bytes behind it. They are read ahead instead, and idempotent
/// requests among them are started.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    pipelining: Option<Pipelining>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    read_ahead: ReadAhead<StartedRequest>,
    /// Task of the HTTP library that waits for bytes.
    reader: Option<Waker>,
    /// Whether the bounds stopped reading, so that arriving bytes do not wake the reader.
    is_paused: bool,
}

impl CallerSocket {
    pub(crate) fn new(stream: TcpStream, pipelining: Option<Pipelining>) -> Arc<Self> {
        let read_ahead = match &pipelining {
            Some(pipelining) => ReadAhead::new(pipelining.load.bounds()),
            None => ReadAhead::undivided(PipelineBounds::default()),
        };
        let state = State {
            read_ahead,
            reader: None,
            is_paused: false,
        };
        Arc::new(Self {
            stream,
            pipelining,
            state: Mutex::new(state),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The bytes stay consistent if another thread panics.
        self.state.lock()
    }

    /// Waits until the caller has closed its connection.
    ///
    /// The HTTP library itself notices this while a request runs, except if bytes behind the request were not read or are
    /// in its own buffer.
    pub(crate) async fn left(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let mut state = self.state();
            let has_left = if state.read_ahead.is_running() {
                self.is_read_closed()
            } else {
                self.fill(&mut state)
            };
            if has_left {
                return;
            }
        }
    }

    /// Returns whether the end of the connection has arrived, also behind bytes that were not read.
    fn is_read_closed(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Reads what has arrived, as far as the bounds allow; returns whether the connection has ended.
    fn fill(&self, state: &mut State) -> bool {
        let before = state.read_ahead.held_bytes();
        let mut chunk = [0; CHUNK_BYTES];
        let mut has_ended = false;
        let mut now = None;
        while self.may_hold_more(&state.read_ahead) {
            let room = state.read_ahead.room().min(CHUNK_BYTES);
            match self.stream.try_read(&mut chunk[..room]) {
                Ok(0) => {
                    has_ended = true;
                    break;
                }
                Ok(len) => {
                    let now = *now.get_or_insert_with(Instant::now);
                    self.hold(state, &chunk[..len], now);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    has_ended = true;
                    break;
                }
            }
        }
        // While a request runs, the library's task reads ahead itself.
        if state.read_ahead.held_bytes() > before && !state.read_ahead.is_running() {
            wake(state);
        }
        has_ended
    }

    /// Returns whether the bounds of the connection and of the VM have room for more bytes.
    fn may_hold_more(&self, read_ahead: &ReadAhead<StartedRequest>) -> bool {
        let load = self.pipelining.as_ref().map(|pipelining| &pipelining.load);
        read_ahead.room() > 0 && load.is_none_or(|load| load.has_room())
    }

    fn hold(&self, state: &mut State, bytes: &[u8], now: Instant) {
        state.read_ahead.hold(bytes, now);
        if let Some(pipelining) = &self.pipelining {
            pipelining.load.on_held(bytes.len());
        }
    }

    /// Starts the requests among the held bytes that may run now.
    fn start_requests(&self, read_ahead: &mut ReadAhead<StartedRequest>) {
        let Some(Pipelining { handler, load }) = &self.pipelining else {
            return;
        };
        while let Some(startable) = read_ahead.next_startable(|method, uri, host| handler.may_start(method, uri, host))
        {
            let permit = if read_ahead.may_start_more() {
                load.try_start()
            } else {
                None
            };
            let Some(permit) = permit else {
                if read_ahead.on_bound() {
                    load.count_wait();
                }
                return;
            };
            read_ahead.start(startable, |req, arrived| StartedRequest {
                task: AbortOnDropHandle::new(tokio::spawn(handler.start(req, arrived))),
                _permit: permit,
            });
        }
    }

    /// Takes held bytes of the current request.
    fn take(&self, state: &mut State, buf: &mut ReadBuf<'_>) -> usize {
        let bytes = state.read_ahead.take(buf.remaining());
        buf.put_slice(&bytes);
        if let Some(pipelining) = &self.pipelining {
            pipelining.load.on_released(bytes.len());
        }
        bytes.len()
    }

    /// Records that the HTTP library has taken `req`; returns its arrival, if it was held, and the request that was started
    /// for it.
    pub(crate) fn on_taken<B>(&self, req: &Request<B>) -> (Option<Instant>, Option<(StartedHead, StartedRequest)>) {
        self.state().read_ahead.on_taken(req)
    }

    /// Records that the HTTP library has taken the whole response to the running request.
    pub(crate) fn on_answered(&self) {
        let mut state = self.state();
        state.read_ahead.on_answered();
        if state.read_ahead.held_bytes() > 0 || state.is_paused {
            wake(&mut state);
        }
    }

    /// Starts no further requests; returns whether the response that is sent now has to close the connection.
    pub(crate) fn close(&self) -> bool {
        let mut state = self.state();
        state.read_ahead.close();
        !state.read_ahead.has_started()
    }

    /// Returns whether the connection closes and no request behind the one that the HTTP library has taken was started.
    pub(crate) fn is_last(&self) -> bool {
        let state = self.state();
        state.read_ahead.is_closing() && !state.read_ahead.has_started()
    }
}

fn wake(state: &mut State) {
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        let held = self.state().read_ahead.held_bytes();
        if let Some(pipelining) = &self.pipelining {
            pipelining.load.on_released(held);
        }
    }
}

/// The stream that the HTTP library reads and writes.
#[derive(Debug)]
pub(crate) struct CallerStream(pub(crate) Arc<CallerSocket>);

impl CallerStream {
    /// Reads bytes of the current request into `buf`; an error of the kind `WouldBlock` if none have arrived.
    fn try_read(&self, state: &mut State, buf: &mut ReadBuf<'_>) -> io::Result<()> {
        let filled = buf.filled().len();
        let len = self.0.stream.try_read(buf.initialize_unfilled())?;
        let bytes = &buf.initialized_mut()[filled..filled + len];
        let passed = state.read_ahead.pass(bytes);
        if passed < len {
            self.0.hold(state, &bytes[passed..], Instant::now());
        }
        buf.advance(passed);
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        // Excludes other reads, so that no bytes overtake others.
        let mut state = socket.state();
        let state = &mut *state;
        if state.read_ahead.is_running() {
            socket.start_requests(&mut state.read_ahead);
        } else if state.read_ahead.held_bytes() > 0 {
            socket.take(state, buf);
            return Poll::Ready(Ok(()));
        }
        state.is_paused = false;
        loop {
            if state.read_ahead.is_running() && !socket.may_hold_more(&state.read_ahead) {
                state.is_paused = true;
                break;
            }
            if socket.stream.poll_read_ready(cx)?.is_pending() {
                break;
            }
            if state.read_ahead.is_running() {
                if socket.fill(state) {
                    // The end of the connection; the library then cancels the running request.
                    return Poll::Ready(Ok(()));
                }
                socket.start_requests(&mut state.read_ahead);
                continue;
            }
            match self.try_read(state, buf) {
                Ok(()) => return Poll::Ready(Ok(())),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
        // Bytes that are read ahead, or may be passed on from here on, wake the task.
        match &mut state.reader {
            Some(reader) => reader.clone_from(cx.waker()),
            reader => *reader = Some(cx.waker().clone()),
        }
        Poll::Pending
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(bufs) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match shutdown(&self.0.stream, Shutdown::Write) {
            // The connection has ended already.
            Ok(()) | Err(rustix::io::Errno::NOTCONN) => Poll::Ready(Ok(())),
            Err(e) => Poll::Ready(Err(e.into())),
        }
    }
}
