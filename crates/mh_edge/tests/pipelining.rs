//! Concurrent execution of pipelined requests on real connections, with a handler that answers on demand.
#![allow(clippy::unwrap_used, reason = "a failed set-up fails its test")]

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use mh_edge::{BoxFuture, CallerPort, PipelineBounds, PipelineLoad, Pipelining, PortLimits, ResponseBody, StartAhead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Handler whose requests run until the test answers them. Requests of paths that begin with `/safe` are idempotent.
#[derive(Debug, Default)]
struct Backend {
    state: Mutex<BackendState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct BackendState {
    /// Paths of the requests in the order in which they were started.
    begun: Vec<String>,
    /// Paths of the requests that were dropped before they were answered.
    cancelled: BTreeSet<String>,
    /// Whether to answer with `Connection: close`, by path; absent while the request runs.
    answers: HashMap<String, bool>,
    arrivals: HashMap<String, Instant>,
}

/// Records a request that is dropped before its answer.
struct Run<'a>(&'a Backend, String, bool);

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.2 {
            self.0.state.lock().unwrap().cancelled.insert(self.1.clone());
            self.0.changed.notify_waiters();
        }
    }
}

impl Backend {
    async fn handle<B>(&self, req: Request<B>, arrived: Instant) -> Response<ResponseBody> {
        let path = req.uri().path().to_owned();
        {
            let mut state = self.state.lock().unwrap();
            state.begun.push(path.clone());
            state.arrivals.insert(path.clone(), arrived);
        }
        self.changed.notify_waiters();
        let mut run = Run(self, path.clone(), false);
        let closes = self.wait(|state| state.answers.get(&path).copied()).await;
        run.2 = true;
        let mut response = Response::new(ResponseBody::buffered(Bytes::from(format!("<{path}>"))));
        if closes {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn wait<T>(&self, read: impl Fn(&BackendState) -> Option<T>) -> T {
        loop {
            let changed = self.changed.notified();
            if let Some(value) = read(&self.state.lock().unwrap()) {
                return value;
            }
            changed.await;
        }
    }

    /// Waits until `count` requests were started, and returns their paths.
    async fn begun(&self, count: usize) -> Vec<String> {
        self.wait(|state| (state.begun.len() >= count).then(|| state.begun.clone()))
            .await
    }

    fn answer(&self, path: &str) {
        self.answer_with(path, false);
    }

    fn answer_with(&self, path: &str, closes: bool) {
        self.state.lock().unwrap().answers.insert(path.to_owned(), closes);
        self.changed.notify_waiters();
    }
}

#[derive(Debug)]
struct Ahead(Arc<Backend>);

impl StartAhead for Ahead {
    fn may_start(&self, _method: &Method, uri: &Uri, _host: Option<&HeaderValue>) -> bool {
        uri.path().starts_with("/safe")
    }

    fn start(&self, req: Request<()>, arrived: Instant) -> BoxFuture<'static, Response<ResponseBody>> {
        let backend = Arc::clone(&self.0);
        Box::pin(async move { backend.handle(req, arrived).await })
    }
}

struct Fixture {
    backend: Arc<Backend>,
    load: Arc<PipelineLoad>,
    port: CallerPort,
}

impl Fixture {
    async fn start(bounds: PipelineBounds) -> Self {
        let backend = Arc::new(Backend::default());
        let load = Arc::new(PipelineLoad::new(bounds));
        let pipelining = Pipelining {
            handler: Arc::new(Ahead(Arc::clone(&backend))),
            load: Arc::clone(&load),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let handler = Arc::clone(&backend);
        let handle = move |req, arrived: Option<Instant>| {
            let backend = Arc::clone(&handler);
            async move { backend.handle(req, arrived.unwrap_or_else(Instant::now)).await }
        };
        let port = mh_edge::serve_pipelined(listener, PortLimits::default, handle, Some(pipelining)).unwrap();
        Self { backend, load, port }
    }

    async fn connect(&self) -> Caller {
        Caller(TcpStream::connect(self.port.addr()).await.unwrap(), String::new())
    }
}

struct Caller(TcpStream, String);

impl Caller {
    async fn send(&mut self, paths: &[&str]) {
        let text: String = paths.iter().map(|path| head(path)).collect();
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the body of the response to `path`.
    async fn read_answer(&mut self, path: &str) {
        let mut buf = [0; 1024];
        while !self.1.contains(&format!("<{path}>")) {
            let len = self.0.read(&mut buf).await.unwrap();
            assert!(len > 0, "ended before {path}: {}", self.1);
            self.1.push_str(std::str::from_utf8(&buf[..len]).unwrap());
        }
    }

    /// Reads until the connection ends; returns the paths of the responses in order, and the heads that close.
    async fn read_all(mut self) -> (Vec<String>, usize) {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).await.unwrap();
        self.1.push_str(std::str::from_utf8(&rest).unwrap());
        let bodies = self.1.split('<').skip(1);
        let paths = bodies.map(|body| body.split('>').next().unwrap_or_default().to_owned());
        (paths.collect(), self.1.matches("connection: close").count())
    }
}

fn head(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Lets tasks run that would start a request wrongly; a request that should start is awaited instead.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

/// Guards against running pipelined requests one after another, and against responses in the order of completion.
#[tokio::test]
async fn idempotent_requests_run_together_and_are_answered_in_order() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.send(&["/safe/1", "/safe/2", "/safe/3", "/safe/4"]).await;

    // All four reach the handler before the first is answered.
    assert_eq!(
        port.backend.begun(4).await,
        ["/safe/1", "/safe/2", "/safe/3", "/safe/4"]
    );
    assert_eq!((port.load.started(), port.load.requests_ahead()), (3, 3));
    for path in ["/safe/3", "/safe/4", "/safe/2", "/safe/1"] {
        port.backend.answer(path);
    }
    caller.read_answer("/safe/4").await;
    assert_eq!((port.load.held_bytes(), port.load.requests_ahead()), (0, 0));
    assert!(port.port.shutdown(Duration::from_secs(5)).await);

    let (answered, _) = caller.read_all().await;
    assert_eq!(answered, ["/safe/1", "/safe/2", "/safe/3", "/safe/4"]);
}

/// Guards against losing requests whose bytes arrive one at a time, some of them while others run.
#[tokio::test]
async fn requests_in_single_bytes_run_together() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.0.set_nodelay(true).unwrap();
    let text: String = ["/safe/1", "/safe/2", "/safe/3"]
        .iter()
        .map(|path| head(path))
        .collect();
    for byte in text.as_bytes() {
        caller.0.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }

    port.backend.begun(3).await;
    for path in ["/safe/3", "/safe/1", "/safe/2"] {
        port.backend.answer(path);
    }
    caller.read_answer("/safe/3").await;

    // A request that follows later on the same connection is served as well.
    caller.send(&["/pay/4"]).await;
    port.backend.answer("/pay/4");
    caller.read_answer("/pay/4").await;
}

/// Guards against running a non-idempotent request, or one behind it, before the requests ahead are answered.
#[tokio::test]
async fn non_idempotent_request_waits_for_those_ahead() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.send(&["/safe/1", "/safe/2", "/pay/3", "/safe/4"]).await;
    port.backend.begun(2).await;
    settle().await;
    assert_eq!(port.backend.begun(2).await.len(), 2);
    let sent_by = Instant::now();

    port.backend.answer("/safe/2");
    settle().await;
    assert_eq!(port.backend.begun(2).await.len(), 2);
    port.backend.answer("/safe/1");
    port.backend.begun(3).await;
    settle().await;
    assert_eq!(port.backend.begun(3).await, ["/safe/1", "/safe/2", "/pay/3"]);
    // Deadlines count from the arrival, not from the turn.
    assert!(port.backend.state.lock().unwrap().arrivals["/pay/3"] <= sent_by);

    port.backend.answer("/pay/3");
    port.backend.begun(4).await;
    port.backend.answer("/safe/4");
    caller.read_answer("/safe/4").await;
}

/// Guards against an unread request that has reached a server: the caller sends it again. The response that closes is
/// the last one that was started.
#[tokio::test]
async fn response_that_closes_is_withheld_until_the_last_started_request() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.send(&["/safe/1", "/safe/2", "/pay/3", "/safe/4"]).await;
    port.backend.begun(2).await;

    port.backend.answer_with("/safe/1", true);
    caller.read_answer("/safe/1").await;
    caller.send(&["/safe/5"]).await;
    port.backend.answer("/safe/2");
    let (answered, closing) = caller.read_all().await;

    assert_eq!((answered.len(), closing), (2, 1));
    assert_eq!(port.backend.begun(2).await, ["/safe/1", "/safe/2"]);
}

/// Guards against requests that keep using backend servers after their caller has left.
#[tokio::test]
async fn all_requests_are_cancelled_when_the_caller_leaves() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.send(&["/safe/1", "/safe/2", "/safe/3"]).await;
    port.backend.begun(3).await;

    drop(caller);

    port.backend
        .wait(|state| (state.cancelled.len() == 3).then_some(()))
        .await;
}

/// Guards against a caller that is not noticed to have left while its unread bytes fill the bound.
#[tokio::test]
async fn caller_that_leaves_behind_unread_bytes_is_noticed() {
    let bounds = PipelineBounds {
        connection_bytes: 64,
        ..PipelineBounds::default()
    };
    let port = Fixture::start(bounds).await;
    let mut caller = port.connect().await;
    caller.send(&["/pay/1", "/safe/2", "/safe/3", "/safe/4"]).await;
    port.backend.begun(1).await;

    drop(caller);

    port.backend
        .wait(|state| (state.cancelled.len() == 1).then_some(()))
        .await;
}

/// Guards against a shutdown that closes a connection while started requests are unanswered.
#[tokio::test]
async fn shutdown_answers_started_requests_and_starts_no_others() {
    let port = Fixture::start(PipelineBounds::default()).await;
    let mut caller = port.connect().await;
    caller.send(&["/safe/1", "/safe/2", "/safe/3", "/pay/4"]).await;
    port.backend.begun(3).await;
    let backend = Arc::clone(&port.backend);
    let shutdown = tokio::spawn(port.port.shutdown(Duration::from_secs(10)));
    // Longer than the time for which connections are still accepted.
    tokio::time::sleep(Duration::from_millis(400)).await;

    backend.answer("/safe/1");
    caller.read_answer("/safe/1").await;
    caller.send(&["/safe/5"]).await;
    settle().await;
    backend.answer("/safe/3");
    backend.answer("/safe/2");
    let (answered, closing) = caller.read_all().await;

    assert!(shutdown.await.unwrap());
    assert_eq!((answered.len(), closing), (3, 1));
    assert_eq!(backend.begun(3).await, ["/safe/1", "/safe/2", "/safe/3"]);
}

/// Guards against more concurrent requests or bytes than the bounds allow, and against requests that the bounds lose.
#[tokio::test]
async fn bounds_make_requests_wait() {
    let paths: Vec<String> = (0..6).map(|n| format!("/safe/{n}")).collect();
    let sent: Vec<&str> = paths.iter().map(String::as_str).collect();
    let default = PipelineBounds::default();
    let cases = [
        (
            PipelineBounds {
                connection_requests: 3,
                ..default
            },
            3,
        ),
        (PipelineBounds { requests: 1, ..default }, 2),
        (
            PipelineBounds {
                connection_bytes: 40,
                ..default
            },
            2,
        ),
        (PipelineBounds { bytes: 0, ..default }, 1),
        (
            PipelineBounds {
                connection_requests: 1,
                ..default
            },
            1,
        ),
    ];
    for (bounds, together) in cases {
        let port = Fixture::start(bounds).await;
        let mut caller = port.connect().await;
        // The others arrive while the first runs, so that the bounds on bytes apply to all of them.
        caller.send(&sent[..1]).await;
        port.backend.begun(1).await;
        caller.send(&sent[1..]).await;
        port.backend.begun(together).await;
        settle().await;

        assert_eq!(port.backend.begun(1).await.len(), together, "{bounds:?}");
        assert!(port.load.held_bytes() <= bounds.connection_bytes, "{bounds:?}");
        for path in &sent {
            port.backend.answer(path);
        }
        caller.read_answer("/safe/5").await;
        assert_eq!(port.backend.begun(6).await, paths, "{bounds:?}");
        let counts_waits = bounds.connection_requests == 3 || bounds.requests == 1;
        assert_eq!(port.load.waited() > 0, counts_waits, "{bounds:?}");
    }
}

/// Guards against taking the body of a request for the next request, and against starting requests behind one whose
/// response may close the connection.
#[tokio::test]
async fn requests_behind_a_body_wait() {
    let nested = head("/safe/nested");
    let bodies = [
        format!(
            "POST /safe/1 HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{nested}",
            nested.len()
        ),
        format!(
            "POST /safe/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{nested}\r\n0\r\n\r\n",
            nested.len()
        ),
    ];
    for first in bodies {
        let port = Fixture::start(PipelineBounds::default()).await;
        let mut caller = port.connect().await;
        caller.0.write_all(first.as_bytes()).await.unwrap();
        caller.send(&["/pay/2", "/safe/3"]).await;
        port.backend.begun(1).await;
        settle().await;
        assert_eq!(port.backend.begun(1).await.len(), 1);

        for path in ["/safe/1", "/pay/2", "/safe/3"] {
            port.backend.answer(path);
        }
        caller.read_answer("/safe/3").await;
        assert_eq!(port.backend.begun(3).await, ["/safe/1", "/pay/2", "/safe/3"]);
    }
}
