//! Test harness: a gateway on loopback with scripted backend servers.
#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::header::HeaderName;
use mh_config::KeyHash;
use mh_edge::{CallerPort, PortLimits};
use mh_gateway::{
    Bounds, CallerLimits, DeploymentState, Feed, Gateway, HeaderNames, HostRoute, LiveState, Plan, RegisteredServer,
    RequestKind, Update, serve_gateway,
};
use mh_limit::LimitVm;
use mh_types::Revision;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::fixtures;

/// Time after which a server that answered early continues reading.
const EARLY_READ_DELAY: Duration = Duration::from_millis(50);

/// Time between two chunks of an endless answer.
const ENDLESS_CHUNK_INTERVAL: Duration = Duration::from_millis(1);

/// Timeout of the harness's routes; short, to keep the timeout tests fast.
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// Behaviour of a server for one request. `ID` in the bytes is replaced by the request's id.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// Sends the first bytes, and then the second repeatedly until the connection ends.
    Endless(&'static str, &'static str),
    /// Sends the first bytes, and the second after this time, regardless of other requests on the connection.
    Later(&'static str, Duration, &'static str),
    /// Sends these bytes and resets the connection.
    Reset(&'static str),
    /// Sends these bytes and keeps the connection open.
    Keep(&'static str),
    /// Sends these bytes and closes the connection.
    Close(&'static str),
    /// Sends these bytes before reading the body, and continues reading later.
    Early(&'static str),
    /// Never answers.
    Hang,
    /// Closes the connection after this time without an answer.
    CloseAfter(Duration),
}

/// Last chunk of a body in chunks.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Header that the servers set on every answer.
const SERVER_STAMP: HeaderName = HeaderName::from_static("stamp");

/// Memory limit of buffered bodies of the gateway, in bytes.
pub const BUFFER_LIMIT_BYTES: usize = 1024 * 1024;

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
    /// Bodies of these requests as received, with their framing.
    bodies: Vec<String>,
    connections: usize,
    /// Bytes sent by endless answers.
    endless_bytes: usize,
    /// Endless answers whose connection was closed.
    endless_closed: usize,
    /// Unanswered requests whose connection was closed.
    abandoned: usize,
}

/// Gateway with its scripted servers.
pub struct GatewayHarness {
    addr: SocketAddr,
    script: Arc<Mutex<Script>>,
    pub gateway: Arc<Gateway>,
    deployment: Mutex<DeploymentState>,
    servers: Vec<SocketAddr>,
    port: Mutex<Option<CallerPort>>,
}

/// Answer as received by a caller.
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

impl GatewayHarness {
    /// Starts a gateway with two servers. They answer requests in order of arrival from `replies`, then with [`OK`].
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

    /// Starts a gateway with one reachable and one unreachable server.
    pub async fn start_with_unreachable_server() -> Self {
        let script = Arc::new(Mutex::new(Script::default()));
        let dead = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let dead = dead.local_addr().expect("a bound address");
        let servers = [dead, server(&script).await];
        Self::with_servers(script, &servers).await
    }

    async fn with_servers(script: Arc<Mutex<Script>>, servers: &[SocketAddr]) -> Self {
        let headers = HeaderNames {
            server_stamp: Some(SERVER_STAMP),
            ..HeaderNames::default()
        };
        let gateway = Gateway::new("vm".into(), headers, Bounds::default());
        let gateway = Arc::new(gateway.with_buffer_limit(BUFFER_LIMIT_BYTES));
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
        gateway.publish(deployment.build_live_state(&LiveState::default(), 1, now));
        let own = LimitVm {
            vm: "vm".into(),
            domain: "maine-a".into(),
            region: "maine".into(),
        };
        gateway.limits().with(|limits| limits.set_vms(now, &[own], 1));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let server = serve_gateway(listener, PortLimits::default, Arc::clone(&gateway));
        let port = server.expect("the listener has an address");
        Self {
            addr,
            script,
            gateway,
            deployment: Mutex::new(deployment),
            servers: servers.to_vec(),
            port: Mutex::new(Some(port)),
        }
    }

    /// Stops accepting callers, and lets running requests finish.
    pub fn close_port(&self) {
        drop(self.port.lock().unwrap_or_else(PoisonError::into_inner).take());
    }

    /// Sends one request on a new connection.
    pub async fn send(&self, method: &str, path: &str, headers: &str) -> Answer {
        send_to(self.addr, method, path, headers).await
    }

    /// Sends one request with a body of `bytes` bytes.
    pub async fn upload(&self, path: &str, bytes: usize) -> Answer {
        let mut stream = self.connect().await;
        let text = format!("{}content-length: {bytes}\r\n\r\n", head("POST", path));
        stream.write_all(text.as_bytes()).await.expect("the gateway reads");
        // The gateway may answer before it has read the whole body.
        let _ = stream.write_all(&vec![b'x'; bytes]).await;
        Self::answer(stream).await
    }

    /// Opens a connection as a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("the gateway listens")
    }

    /// Reads an answer until the connection ends.
    pub async fn answer(mut stream: TcpStream) -> Answer {
        let mut bytes = Vec::new();
        // A truncated connection yields a short answer.
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

    /// Marks every server as leaving.
    pub fn mark_servers_leaving(&self) {
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
        let live = deployment.build_live_state(&self.gateway.live(), 1, Instant::now());
        self.gateway.publish(live);
    }

    /// Returns the heads of the requests that reached a server.
    pub fn seen(&self) -> Vec<String> {
        lock(&self.script).seen.clone()
    }

    /// Returns the bodies that reached a server as a whole, with their framing.
    pub fn bodies(&self) -> Vec<String> {
        lock(&self.script).bodies.clone()
    }

    /// Returns the number of endless answers whose connection was closed, and the bytes that they sent.
    pub fn endless(&self) -> (usize, usize) {
        let script = lock(&self.script);
        (script.endless_closed, script.endless_bytes)
    }

    /// Returns the number of unanswered requests whose connection was closed.
    pub fn abandoned(&self) -> usize {
        lock(&self.script).abandoned
    }

    /// Returns the number of connections that the servers accepted.
    pub fn connections(&self) -> usize {
        lock(&self.script).connections
    }
}

/// Sends one request to the gateway at `addr` on a new connection.
pub async fn send_to(addr: SocketAddr, method: &str, path: &str, headers: &str) -> Answer {
    let mut stream = TcpStream::connect(addr).await.expect("the gateway listens");
    let text = format!("{}content-length: 0\r\n{headers}\r\n", head(method, path));
    stream.write_all(text.as_bytes()).await.expect("the gateway reads");
    GatewayHarness::answer(stream).await
}

/// A scripted server that is used without a [`GatewayHarness`].
pub struct ScriptedServer {
    pub addr: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl ScriptedServer {
    /// Starts a server that answers from `replies`, then with [`OK`].
    pub async fn start(replies: &[Reply]) -> Self {
        let script = Arc::new(Mutex::new(Script {
            replies: replies.iter().copied().collect(),
            ..Script::default()
        }));
        Self {
            addr: server(&script).await,
            script,
        }
    }

    /// Returns the heads of the requests that reached the server.
    pub fn seen(&self) -> Vec<String> {
        lock(&self.script).seen.clone()
    }

    /// Returns the number of unanswered requests whose connection was closed.
    pub fn abandoned(&self) -> usize {
        lock(&self.script).abandoned
    }
}

/// Returns the head of a request, without the length of its body.
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
            tokio::time::sleep(EARLY_READ_DELAY).await;
        }
        // No server is read from after a broken body, and those that hang read nothing themselves.
        let is_chunked = head.contains("\r\ntransfer-encoding: chunked") && !matches!(reply, Reply::Hang);
        while buf.len() < length || (is_chunked && !buf.ends_with(LAST_CHUNK)) {
            let Ok(len @ 1..) = stream.read(&mut piece).await else {
                return;
            };
            buf.push_str(&String::from_utf8_lossy(&piece[..len]));
        }
        let body = buf.drain(..if is_chunked { buf.len() } else { length }).collect();
        lock(&script).bodies.push(body);
        match reply {
            Reply::Early(_) => {}
            Reply::Hang => {
                while stream.read(&mut piece).await.is_ok_and(|len| len > 0) {}
                lock(&script).abandoned += 1;
                return;
            }
            Reply::CloseAfter(time) => {
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
                // The bytes must leave the socket before the reset.
                tokio::time::sleep(Duration::from_millis(20)).await;
                let _ = stream.set_zero_linger();
                return;
            }
            Reply::Endless(start, more) => {
                let _ = stream.write_all(start.replace("ID", id).as_bytes()).await;
                while stream.write_all(more.as_bytes()).await.is_ok() {
                    lock(&script).endless_bytes += more.len();
                    tokio::time::sleep(ENDLESS_CHUNK_INTERVAL).await;
                }
                lock(&script).endless_closed += 1;
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
