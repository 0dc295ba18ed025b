//! Overhead of the request path: answers of 1 KiB directly from a backend server, through a minimal hyper forwarder and
//! through a VM.
//!
//! `cargo bench --bench overhead` prints a table. The backend server and the forwarders run as processes of this same
//! program, so that the CPU time of each can be read from `/proc`. Every measurement alternates between the targets in
//! short rounds, so that other load on the machine affects all of them alike.
//!
//! `OVERHEAD_OTHERS` names other builds of the `mangohook` binary, separated by commas, to compare in the same run.
#![allow(clippy::unwrap_used, reason = "a failed setup aborts the bench")]

use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use mh_config::CallerKey;
use mh_platform::VmListing;
use mh_standin::{Caller, Platform, VmProcess};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size of an answer body.
const ANSWER_BYTES: usize = 1024;
/// Pause between the rounds of the latency measurement, each of which sends one request to every target in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
/// Number of requests for the latency of each target.
const LATENCY_REQUESTS: usize = 5000;
/// Number of connections that send without a pause while the CPU time is measured.
const BUSY_CONNECTIONS: usize = 32;
/// Number of rounds of the CPU time measurement.
const BUSY_ROUNDS: usize = 5;
/// Length of a round; much longer than the 10 ms resolution of the CPU time.
const BUSY_ROUND: Duration = Duration::from_millis(1500);
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Numbers of open connections at which the resident memory is measured.
const OPEN_CONNECTIONS: [usize; 3] = [0, 300, 3000];
/// Time within which the VM must serve its first request.
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let to = || args[2].parse().unwrap();
    match args.get(1).map(String::as_str) {
        Some("backend") => single_worker_runtime().block_on(backend()),
        Some("pooled") => single_worker_runtime().block_on(pooled_forwarder(to())),
        Some("paired") => single_worker_runtime().block_on(paired_forwarder(to())),
        _ => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap()
            .block_on(measure()),
    }
}

/// The runtime of a VM process with `threads: 1`.
fn single_worker_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(1).enable_all().build().unwrap()
}

async fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    println!("{}", listener.local_addr().unwrap());
    listener
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn backend() {
    let (listener, body) = (listen().await, Bytes::from(vec![b'x'; ANSWER_BYTES]));
    loop {
        let (stream, body) = (accept(&listener).await, body.clone());
        let service = service_fn(move |_: Request<Incoming>| {
            let body = body.clone();
            async move { Ok::<_, Infallible>(Response::new(Full::new(body))) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Rewrites only the URI; connections come from the pool of hyper-util's client.
async fn pooled_forwarder(to: SocketAddr) {
    let listener = listen().await;
    let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build::<_, Incoming>(connector);
    loop {
        let (stream, client) = (accept(&listener).await, client.clone());
        let service = service_fn(move |mut req: Request<Incoming>| {
            let path = req.uri().path_and_query().unwrap().clone();
            let uri = Uri::builder().scheme("http").authority(to.to_string());
            *req.uri_mut() = uri.path_and_query(path).build().unwrap();
            client.request(req)
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Uses one backend connection for each caller connection, which needs no pool and has the lowest overhead that hyper
/// allows.
async fn paired_forwarder(to: SocketAddr) {
    let listener = listen().await;
    loop {
        let stream = accept(&listener).await;
        let server = TcpStream::connect(to).await.unwrap();
        server.set_nodelay(true).unwrap();
        let (sender, connection) = handshake(TokioIo::new(server)).await.unwrap();
        tokio::spawn(connection);
        let sender = Arc::new(tokio::sync::Mutex::new(sender));
        let service = service_fn(move |req: Request<Incoming>| {
            let sender = Arc::clone(&sender);
            async move {
                let mut sender = sender.lock().await;
                sender.ready().await?;
                sender.send_request(req).await
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// A child process of this program and its address; killed when dropped.
struct ChildServer(Child, SocketAddr);

impl ChildServer {
    fn start(args: &[&str]) -> Self {
        let mut command = Command::new(std::env::current_exe().unwrap());
        let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        Self(child, line.trim().parse().unwrap())
    }
}

impl Drop for ChildServer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A client connection with low overhead, and its read buffer.
struct Conn(TcpStream, Vec<u8>);

impl Conn {
    async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream, vec![0; 64 * 1024])
    }

    async fn get(&mut self, request: &[u8]) {
        self.0.write_all(request).await.unwrap();
        let (mut received, mut expected) = (0, usize::MAX);
        while received < expected {
            let read = self.0.read(&mut self.1[received..]).await.unwrap();
            assert!(read > 0, "the connection was closed");
            received += read;
            if expected == usize::MAX {
                expected = answer_len(&self.1[..received]).unwrap_or(usize::MAX);
            }
        }
        assert!(
            self.1.starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&self.1[..received])
        );
    }
}

/// Length of an answer including its head, once `buf` holds the complete head.
fn answer_len(buf: &[u8]) -> Option<usize> {
    let end = buf.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&buf[..end]).ok()?;
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    Some(end + length.1.parse::<usize>().ok()?)
}

/// A process under measurement, and the request that it is sent.
#[derive(Clone)]
struct Target {
    name: &'static str,
    process: u32,
    addr: SocketAddr,
    request: Arc<[u8]>,
}

/// Resources that a process has used, and the number of requests that it answered.
#[derive(Clone, Copy, Default)]
struct Usage {
    requests: u64,
    cpu_s: f64,
    wall_s: f64,
}

/// Sends requests over [`BUSY_CONNECTIONS`] connections for the time `length`.
async fn generate_load(target: &Target, length: Duration) -> Usage {
    let (start, cpu) = (Instant::now(), cpu_s(target.process));
    let callers: Vec<_> = (0..BUSY_CONNECTIONS)
        .map(|_| {
            let target = target.clone();
            tokio::spawn(async move {
                let mut conn = Conn::open(target.addr).await;
                let mut requests = 0;
                while start.elapsed() < length {
                    conn.get(&target.request).await;
                    requests += 1;
                }
                requests
            })
        })
        .collect();
    let mut requests = 0;
    for caller in callers {
        requests += caller.await.unwrap();
    }
    Usage {
        requests,
        cpu_s: cpu_s(target.process) - cpu,
        wall_s: start.elapsed().as_secs_f64(),
    }
}

/// User and system time of a process with its threads, in seconds.
fn cpu_s(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields = stat.rsplit_once(") ").unwrap().1.split(' ');
    let ticks: u64 = fields.skip(11).take(2).map(|field| field.parse::<u64>().unwrap()).sum();
    ticks as f64 / CLOCK_TICKS_PER_SECOND
}

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

async fn set(vm: &VmProcess, path: &str, doc: &Value) {
    let uri = format!("/v1/settings{path}");
    let (caller, doc) = (Caller::new(None), doc.to_string());
    let reply = caller
        .send(vm.list_entry().admin, "PUT", &uri, &[], &doc)
        .await
        .unwrap();
    assert!(reply.status.is_success(), "{path}: {}", reply.text());
}

/// Starts a VM with one keyed idempotent route; returns it and the key of a caller.
async fn start_vm(binary: &Path, platform: &Platform, server: SocketAddr) -> (VmProcess, String) {
    let folder = tempfile::tempdir().unwrap();
    let extra = "threads: 1\nlog: info\n";
    let vm = VmProcess::start(binary, folder.path(), "vm-0", ("a", "maine"), platform.addr(), extra);
    let vm = vm.await.unwrap();
    let vms = vec![vm.list_entry().clone()];
    platform.set_vms(VmListing { lag_ms: 0, vms });
    let server = json!({"name": "s1", "addr": server, "domain": "a", "slots": 100, "connections": 300});
    let key = CallerKey::new("shop", "till", &[7; 32]);
    for (path, doc) in [
        (
            "/system/topology",
            json!({"domains": [{"name": "a", "region": "maine"}]}),
        ),
        ("/teams/shop/services/stock", json!({"servers": [server]})),
        (
            "/teams/shop/organisations/orchard",
            json!({"rate_per_second": 10_000_000.0, "burst": 10_000_000}),
        ),
        (
            "/teams/shop/routes/stock",
            json!({"service": "stock", "path": "/stock", "execution": "idempotent"}),
        ),
        (
            "/teams/shop/keys/till",
            json!({"organisation": "orchard", "hash": key.hash()}),
        ),
    ] {
        set(&vm, path, &doc).await;
    }
    let caller = Caller::new(Some(key.reveal()));
    let start = Instant::now();
    while !caller
        .get(vm.list_entry().caller, "/stock")
        .await
        .unwrap()
        .status
        .is_success()
    {
        assert!(start.elapsed() < START_TIMEOUT, "the VM does not serve");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    (vm, key.reveal().to_owned())
}

async fn measure() {
    let backend = ChildServer::start(&["backend"]);
    let to = backend.1.to_string();
    let (pooled, paired) = (
        ChildServer::start(&["pooled", &to]),
        ChildServer::start(&["paired", &to]),
    );
    let others = std::env::var("OVERHEAD_OTHERS").unwrap_or_default();
    let others = others.split(',').filter(|path| !path.is_empty());
    let mut vms = Vec::new();
    for binary in std::iter::once(env!("CARGO_BIN_EXE_mangohook")).chain(others) {
        let platform = Platform::start().await.unwrap();
        let (vm, key) = start_vm(Path::new(binary), &platform, backend.1).await;
        vms.push((vm, key, platform));
    }
    let key = vms[0].1.clone();
    let head = |path| format!("GET {path} HTTP/1.1\r\nhost: stock\r\nauthorization: Bearer {key}\r\n\r\n").into_bytes();
    let server_target = |name, server: &ChildServer| Target {
        name,
        process: server.0.id(),
        addr: server.1,
        request: head("/stock/nets?size=4").into(),
    };
    let mut targets = vec![
        server_target("direct", &backend),
        server_target("paired forwarder", &paired),
        server_target("pooled forwarder", &pooled),
    ];
    for (i, (vm, ..)) in vms.iter().enumerate() {
        targets.push(Target {
            name: ["VM", "VM, other build 1", "VM, other build 2", "VM, other build 3"][i],
            process: vm.process().id(),
            addr: vm.list_entry().caller,
            request: head("/stock/nets?size=4").into(),
        });
    }
    let lookup = Target {
        name: "VM, look-ups",
        request: head("/.well-known/mangohook/lookup").into(),
        ..targets[3].clone()
    };
    report_memory(&targets[3]).await;
    report_latency(&targets).await;
    report_cpu_time(&[&targets[1..], &[lookup]].concat()).await;
}

async fn report_memory(target: &Target) {
    let mut open = Vec::new();
    for count in OPEN_CONNECTIONS {
        while open.len() < count {
            let mut conn = Conn::open(target.addr).await;
            conn.get(&target.request).await;
            open.push(conn.0);
        }
        println!(
            "resident memory of the VM with {count:4} open connections: {:6} KiB",
            resident_kb(target.process)
        );
    }
}

async fn report_latency(targets: &[Target]) {
    let mut conns = Vec::new();
    for target in targets {
        conns.push(Conn::open(target.addr).await);
    }
    let mut latencies = vec![Vec::new(); targets.len()];
    for _ in 0..LATENCY_REQUESTS {
        for ((target, conn), times) in targets.iter().zip(&mut conns).zip(&mut latencies) {
            let start = Instant::now();
            conn.get(&target.request).await;
            times.push(start.elapsed());
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let quantiles: Vec<_> = latencies
        .iter_mut()
        .map(|times| {
            times.sort_unstable();
            [50, 90, 99].map(|percent| times[times.len() * percent / 100].as_secs_f64() * 1e6)
        })
        .collect();
    println!("\nlatency at a light pace, us    p50     p90     p99  added p50  added p90  added p99");
    for (target, q) in targets.iter().zip(&quantiles) {
        let added = [0, 1, 2].map(|i| q[i] - quantiles[0][i]);
        println!(
            "{:26} {:7.1} {:7.1} {:7.1}    {:7.1}    {:7.1}    {:7.1}",
            target.name, q[0], q[1], q[2], added[0], added[1], added[2]
        );
    }
}

async fn report_cpu_time(targets: &[Target]) {
    for target in targets {
        generate_load(target, BUSY_ROUND / 3).await;
    }
    let mut sums = vec![Usage::default(); targets.len()];
    for _ in 0..BUSY_ROUNDS {
        for (target, sum) in targets.iter().zip(&mut sums) {
            let usage = generate_load(target, BUSY_ROUND).await;
            sum.requests += usage.requests;
            sum.cpu_s += usage.cpu_s;
            sum.wall_s += usage.wall_s;
        }
    }
    println!("\n{BUSY_CONNECTIONS} busy connections         req/CPU s  CPU us/req  req/s  cores used");
    for (target, sum) in targets.iter().zip(&sums) {
        println!(
            "{:26} {:10.0}  {:10.2}  {:6.0}  {:.2}",
            target.name,
            sum.requests as f64 / sum.cpu_s,
            sum.cpu_s * 1e6 / sum.requests as f64,
            sum.requests as f64 / sum.wall_s,
            sum.cpu_s / sum.wall_s
        );
    }
}
