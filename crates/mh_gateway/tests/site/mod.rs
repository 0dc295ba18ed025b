//! A gateway on loopback with two scripted backend servers.
#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::header::HeaderName;
use mh_config::KeyHash;
use mh_edge::{PortLimits, serve_with};
use mh_gateway::{
    Bounds, CallerLimits, DeploymentState, Feed, Gateway, HeaderNames, HostRoute, Live, Plan, RegisteredServer,
    RequestKind, Update,
};
use mh_types::Revision;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::fixtures;

/// Time after which a server that answered early reads on.
const READ_ON_AFTER: Duration = Duration::from_millis(50);

/// Pause between two pieces of an endless answer.
const PAUSE: Duration = Duration::from_millis(1);

/// Timeout of the fixture's routes; short, so that the test of it does not take long.
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// What a server does with a request. `ID` in the bytes stands for the request's id.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// Sends the first bytes, and then the others again and again until the connection ends.
    Endless(&'static str, &'static str),
    /// Sends the first bytes, and after this time the others, whatever is going on then.
    Later(&'static str, Duration, &'static str),
    /// Sends these bytes and resets the connection.
    Reset(&'static str),
    /// Sends these bytes and keeps the connection.
    Keep(&'static str),
    /// Sends these bytes and closes the connection.
    Close(&'static str),
    /// Sends these bytes before it reads the body, and reads on later.
    Early(&'static str),
    /// Never answers.
    Hang,
    /// Closes the connection after this time without an answer.
    CutAfter(Duration),
}

/// Header that the fixture's servers mark their answers with.
const MARK: HeaderName = HeaderName::from_static("stamp");

/// Bytes of bodies that the fixture's gateway holds at most.
pub const HOLD_BYTES: usize = 1024 * 1024;

pub const OK: Reply =
    Reply::Keep("HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone");
pub const SHED: Reply =
    Reply::Keep("HTTP/1.1 503 Busy\r\nmangohook-request-id: ID\r\nmangohook-not-run: 1\r\ncontent-length: 0\r\n\r\n");
pub const FAILED: Reply =
    Reply::Keep("HTTP/1.1 500 No\r\nmangohook-request-id: ID\r\nstamp: s\r\ncontent-length: 2\r\n\r\nno");

#[derive(Default)]
struct Script {
    replies: VecDeque<Reply>,
    seen: Vec<String>,
    connections: usize,
    /// Bytes that endless answers have sent.
    endless_bytes: usize,
    /// Endless answers whose connection was closed.
    endless_ended: usize,
    /// Requests without an answer whose connection was closed.
    left: usize,
}

/// A gateway with its servers.
pub struct Site {
    addr: SocketAddr,
    script: Arc<Mutex<Script>>,
    pub gateway: Arc<Gateway>,
    deployment: Mutex<DeploymentState>,
    servers: Vec<SocketAddr>,
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

fn route(name: &str, kind: RequestKind, open: bool) -> HostRoute {
    HostRoute {
        kind,
        open,
        sticky: false,
        timeout: TIMEOUT,
        ..fixtures::route(name)
    }
}

impl Site {
    /// Starts a gateway whose servers answer the requests that arrive in the order of `replies`, then with [`OK`].
    pub async fn start(replies: &[Reply]) -> Self {
        let script = Arc::new(Mutex::new(Script {
            replies: replies.iter().copied().collect(),
            ..Script::default()
        }));
        let servers = [server(&script).await, server(&script).await];
        Self::with_servers(script, &servers).await
    }

    /// Starts a gateway with one server.
    pub async fn start_with_one_server(replies: &[Reply]) -> Self {
        let script = Arc::new(Mutex::new(Script {
            replies: replies.iter().copied().collect(),
            ..Script::default()
        }));
        let servers = [server(&script).await];
        Self::with_servers(script, &servers).await
    }

    /// Starts a gateway one of whose servers cannot be reached.
    pub async fn start_with_a_dead_server() -> Self {
        let script = Arc::new(Mutex::new(Script::default()));
        let dead = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let dead = dead.local_addr().expect("a bound address");
        let servers = [dead, server(&script).await];
        Self::with_servers(script, &servers).await
    }

    async fn with_servers(script: Arc<Mutex<Script>>, servers: &[SocketAddr]) -> Self {
        let headers = HeaderNames {
            mark: Some(MARK),
            ..HeaderNames::default()
        };
        let gateway = Gateway::new("vm".into(), headers, Bounds::default());
        let gateway = Arc::new(gateway.with_hold_bytes(HOLD_BYTES));
        let now = Instant::now();
        let listed = servers.iter().enumerate().map(|(n, addr)| {
            let entry = RegisteredServer {
                addr: *addr,
                ..fixtures::server("v1")
            };
            Update::Server(format!("s{n}").as_str().into(), Some(entry))
        });
        let mut deployment = fixtures::state_with(listed.collect(), now);
        let routes = vec![
            route("safe", RequestKind::Idempotent, true),
            route("pay", RequestKind::NonIdempotent, true),
            route("send", RequestKind::Upload, true),
            route("keyed", RequestKind::Idempotent, false),
        ];
        let org = fixtures::org("coop", 0.0);
        let limits = CallerLimits::default();
        let plan = Plan::new(
            Revision(2),
            routes,
            vec![fixtures::service()],
            vec![(org, vec![KeyHash::of("secret")])],
            limits,
        );
        deployment.apply(
            Feed::Settings,
            &fixtures::batch(9, vec![Update::Plan(plan.into())]),
            false,
            now,
        );
        gateway.publish(deployment.live(&Live::default(), 1, now));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let handler = Arc::clone(&gateway);
        let server = serve_with(listener, PortLimits::default, move |req| {
            let gateway = Arc::clone(&handler);
            async move { gateway.handle(req).await }
        });
        // The port is served until the runtime of the test ends.
        std::mem::forget(server.expect("the listener has an address"));
        Self {
            addr,
            script,
            gateway,
            deployment: Mutex::new(deployment),
            servers: servers.to_vec(),
        }
    }

    /// Sends one request on a connection of its own.
    pub async fn send(&self, method: &str, path: &str, headers: &str) -> Answer {
        let mut stream = self.connect().await;
        let text = format!("{}content-length: 0\r\n{headers}\r\n", head(method, path));
        stream.write_all(text.as_bytes()).await.expect("the gateway reads");
        Self::answer(stream).await
    }

    /// Sends one request with a body of `bytes` bytes.
    pub async fn upload(&self, path: &str, bytes: usize) -> Answer {
        let mut stream = self.connect().await;
        let text = format!("{}content-length: {bytes}\r\n\r\n", head("POST", path));
        stream.write_all(text.as_bytes()).await.expect("the gateway reads");
        // The gateway may answer before it has read all.
        let _ = stream.write_all(&vec![b'x'; bytes]).await;
        Self::answer(stream).await
    }

    /// A connection of a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("the gateway listens")
    }

    /// Reads an answer up to the end of its connection.
    pub async fn answer(mut stream: TcpStream) -> Answer {
        let mut bytes = Vec::new();
        // A connection that is cut shows as a short answer.
        let _ = stream.read_to_end(&mut bytes).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        Answer {
            status: head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0),
            head: head.to_owned(),
            body: body.to_owned(),
        }
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send("GET", path, "").await
    }

    /// Has every server say that it leaves.
    pub fn drain_servers(&self) {
        let leaving = self.servers.iter().enumerate().map(|(n, addr)| {
            let entry = RegisteredServer {
                addr: *addr,
                leaving: true,
                ..fixtures::server("v1")
            };
            Update::Server(format!("s{n}").as_str().into(), Some(entry))
        });
        let batch = fixtures::batch(20, leaving.collect());
        let mut deployment = self.deployment.lock().unwrap_or_else(PoisonError::into_inner);
        deployment.apply(Feed::Servers, &batch, false, Instant::now());
        let live = deployment.live(&self.gateway.live(), 1, Instant::now());
        self.gateway.publish(live);
    }

    /// Heads of the requests that reached a server.
    pub fn seen(&self) -> Vec<String> {
        lock(&self.script).seen.clone()
    }

    /// Endless answers whose connection was closed, and the bytes that they sent.
    pub fn endless(&self) -> (usize, usize) {
        let script = lock(&self.script);
        (script.endless_ended, script.endless_bytes)
    }

    /// Requests without an answer whose connection was closed.
    pub fn left(&self) -> usize {
        lock(&self.script).left
    }

    /// Connections that servers accepted.
    pub fn connections(&self) -> usize {
        lock(&self.script).connections
    }
}

/// Head of a request, without the length of its body.
pub fn head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example:80\r\nmangohook-request-id: q{path}\r\nconnection: close\r\n"
    )
}

fn lock(script: &Mutex<Script>) -> std::sync::MutexGuard<'_, Script> {
    script.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn server(script: &Arc<Mutex<Script>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    let script = Arc::clone(script);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            lock(&script).connections += 1;
            tokio::spawn(answer(stream, Arc::clone(&script)));
        }
    });
    addr
}

async fn answer(mut stream: TcpStream, script: Arc<Mutex<Script>>) {
    let mut buf = String::new();
    loop {
        let mut piece = [0; 4096];
        let Ok(len) = stream.read(&mut piece).await else { return };
        if len == 0 {
            return;
        }
        buf.push_str(&String::from_utf8_lossy(&piece[..len]));
        let Some((head, rest)) = buf.split_once("\r\n\r\n") else {
            continue;
        };
        let (head, rest) = (head.to_owned(), rest.to_owned());
        buf = rest;
        let length: usize = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
            .unwrap_or(0);
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("mangohook-request-id: "))
            .unwrap_or_default();
        let reply = {
            let mut script = lock(&script);
            script.seen.push(head.clone());
            script.replies.pop_front().unwrap_or(OK)
        };
        if let Reply::Early(text) = reply {
            let _ = stream.write_all(text.replace("ID", id).as_bytes()).await;
            tokio::time::sleep(READ_ON_AFTER).await;
        }
        while buf.len() < length {
            let Ok(len @ 1..) = stream.read(&mut piece).await else {
                return;
            };
            buf.push_str(&String::from_utf8_lossy(&piece[..len]));
        }
        buf.drain(..length);
        match reply {
            Reply::Early(_) => {}
            Reply::Hang => {
                while stream.read(&mut piece).await.is_ok_and(|len| len > 0) {}
                lock(&script).left += 1;
                return;
            }
            Reply::CutAfter(time) => {
                tokio::time::sleep(time).await;
                return;
            }
            Reply::Keep(text) => {
                let _ = stream.write_all(text.replace("ID", id).as_bytes()).await;
            }
            Reply::Close(text) => {
                let _ = stream.write_all(text.replace("ID", id).as_bytes()).await;
                return;
            }
            Reply::Reset(text) => {
                let _ = stream.write_all(text.replace("ID", id).as_bytes()).await;
                // The bytes must be on their way before the reset.
                tokio::time::sleep(Duration::from_millis(20)).await;
                let _ = stream.set_zero_linger();
                return;
            }
            Reply::Endless(start, more) => {
                let _ = stream.write_all(start.replace("ID", id).as_bytes()).await;
                while stream.write_all(more.as_bytes()).await.is_ok() {
                    lock(&script).endless_bytes += more.len();
                    tokio::time::sleep(PAUSE).await;
                }
                lock(&script).endless_ended += 1;
                return;
            }
            Reply::Later(text, time, late) => {
                let _ = stream.write_all(text.replace("ID", id).as_bytes()).await;
                let late = late.replace("ID", id);
                tokio::time::sleep(time).await;
                let _ = stream.write_all(late.as_bytes()).await;
            }
        }
    }
}
