//! Memory of real VM processes while servers, tunnels and the store send bytes that are no answer, without end.
//!
//! Callers of the faulty servers read what they get or nothing at all. Meanwhile the VM must stay within the memory that the
//! system is designed for, and serve its other callers.
#![allow(dead_code, reason = "parts of the fixtures are unused")]

#[path = "soak/client.rs"]
mod client;
#[path = "../platform/tests/fake_store/mod.rs"]
mod fake_store;
#[path = "soak/ledger.rs"]
mod ledger;
#[path = "../platform/tests/operator/mod.rs"]
mod operator;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/server.rs"]
mod server;
#[path = "soak/step.rs"]
mod step;
mod support;
#[path = "soak/vm.rs"]
mod vm;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fake_store::{FakeStore, Fault};
use operator::{CONFIG_KEY, DEADLINE_MS, HOST, KEY, OPERATOR_TABLE, REQUEST_ID, SERVER_TABLE, STAMP};
use proxy::OpenConnections;
use serde_json::json;
use step::{DOMAINS, FaultSet};
use support::TestSystem;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use vm::Vm;

/// Memory of a VM at the target size, in kilobytes.
const MAX_MEMORY_KB: u64 = 128 * 1024;

/// Faulty servers.
const SERVERS: usize = 24;

/// Callers of faulty servers; every second one reads nothing.
const CALLERS: usize = 80;

/// Time for which they send requests.
const RUN_TIME: Duration = Duration::from_secs(5);

/// Bytes that a faulty server sends at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Rest of a faulty server between two pieces, so that all of them together use a tenth of a link of 1 Gbit/s.
const REST: Duration = Duration::from_millis(100);

/// Answers that another caller must get meanwhile.
const MIN_ANSWERS: usize = 10;

/// Time after which a wait counts as failed; long enough for a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

const API_KEY: &str = "coop-key";

const OK_LINE: &str = "HTTP/1.1 200 OK";

/// What a faulty server sends: a start, in which `ID` stands for the request's id, and bytes that are repeated.
const KINDS: [(&str, &str); 12] = [
    ("", "no answer "),
    ("HTTP/1.1 200 OK\r\n", "x-more: y\r\n"),
    ("HTTP/1.1 200 OK\r\nx-long: ", "yyyyyyyyyyyyyyyy"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nID\r\n\r\n", "body"),
    (
        "HTTP/1.1 200 OK\r\nID\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nID\r\ntransfer-encoding: chunked\r\n\r\n4;",
        "extension",
    ),
    ("HTTP/1.1 200 OK\r\nID\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
    (
        "HTTP/1.1 200 OK\r\nID\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-trailer: y\r\n",
    ),
    ("HTTP/1.1 200 OK\r\nID\r\ncontent-length: 1000000000000\r\n\r\n", "body"),
    ("HTTP/1.1 200 OK\r\nID\r\ncontent-length: 4\r\n\r\nbody", "more"),
    ("HTTP/1.1 503 Busy\r\nID\r\n\r\n", "body"),
];

/// Headers of answers and of requests by which an answer is recognised.
#[derive(Clone, Copy)]
struct Names {
    request_id: &'static str,
    stamp: &'static str,
}

const GATEWAY_NAMES: Names = Names {
    request_id: REQUEST_ID,
    stamp: STAMP,
};

const EDGE_NAMES: Names = Names {
    request_id: "mangohook-request-id",
    stamp: "x-stamp",
};

/// Reads the head of a request; `None` if the connection ends before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = String::new();
    let mut buf = [0; 4096];
    while !head.contains("\r\n\r\n") {
        let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        head.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    Some(head)
}

fn id_lines(head: &str, names: Names) -> String {
    let prefix = format!("{}: ", names.request_id);
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix(&prefix))
        .unwrap_or_default();
    format!("{prefix}{id}\r\n{}: {id}", names.stamp)
}

/// Starts a server that sends bytes without end, of another kind on each connection, and rests for `rest` between pieces.
async fn start_endless_server(names: Names, rest: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    let next_kind = Arc::new(AtomicUsize::new(usize::from(addr.port())));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (start, more) = KINDS[next_kind.fetch_add(1, Ordering::Relaxed) % KINDS.len()];
            tokio::spawn(async move {
                let Some(head) = read_head(&mut stream).await else {
                    return;
                };
                let start = start.replace("ID", &id_lines(&head, names));
                let more = more.repeat(PIECE_BYTES / more.len());
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(more.as_bytes()).await;
                    tokio::time::sleep(rest).await;
                }
            });
        }
    });
    addr
}

/// Starts a server that answers every request.
async fn start_good_server(names: Names) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let ids = id_lines(&head, names);
                    let answer = format!("HTTP/1.1 200 OK\r\n{ids}\r\ncontent-length: 4\r\n\r\ndone");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends requests with the given head, each on a connection of its own, and reads the answers or nothing.
async fn call_endlessly(vm: SocketAddr, head: impl Fn(usize) -> String, first_id: usize, reads: bool) {
    for n in 0.. {
        let Ok(mut stream) = TcpStream::connect(vm).await else {
            return;
        };
        if stream.write_all(head(first_id + n).as_bytes()).await.is_err() {
            continue;
        }
        if reads {
            let _ = tokio::time::timeout(
                Duration::from_secs(2),
                tokio::io::copy(&mut stream, &mut tokio::io::sink()),
            )
            .await;
        } else {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

/// Returns the status line of an answer.
async fn call_once(vm: SocketAddr, head: String) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(vm).await.ok()?;
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        // A connection that is reset ends the answer.
        let _ = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        Some(answer.lines().next().unwrap_or_default().to_owned())
    };
    let answer = tokio::time::timeout(Duration::from_secs(4), exchange).await;
    answer.ok().flatten().unwrap_or_default()
}

fn request_head(method: &str, target: &str, id: usize, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: q{id}\r\n{DEADLINE_MS}: 3000\r\n{KEY}: {API_KEY}\r\n\
         connection: close\r\ncontent-length: 0\r\n{more}\r\n"
    )
}

/// Sends requests to faulty servers for [`RUN_TIME`], and longer until `min_answers` requests to good ones were answered.
async fn run_callers(
    case: &str,
    vm: SocketAddr,
    faulty: impl Fn(usize) -> String + Clone + Send + Sync + 'static,
    good: impl Fn(usize) -> String,
    min_answers: usize,
) {
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        callers.spawn(call_endlessly(
            vm,
            faulty.clone(),
            (n + 1) * 100_000,
            n.is_multiple_of(2),
        ));
    }
    let started = tokio::time::Instant::now();
    let (mut sent, mut served) = (0, 0);
    while started.elapsed() < RUN_TIME || served < min_answers {
        let status = call_once(vm, good(sent)).await;
        sent += 1;
        served += usize::from(status == OK_LINE);
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{case}: {served} of {sent} served, last {status:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    eprintln!("{case}: {served} of {sent} other requests served");
}

/// Returns the peak memory of a process in kilobytes; `None` if it has ended.
fn peak_memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn assert_memory(case: &str, pid: u32) {
    let peak = peak_memory_kb(pid).expect("the process runs");
    eprintln!("{case}: peak {} MB", peak / 1024);
    assert!(peak < MAX_MEMORY_KB, "{case}: peak of {peak} kB");
}

/// Gateway VMs, each with links of its own to faulty servers of the service `stock` and a good one of `pay`.
struct Gateways {
    store: FakeStore,
    vms: Vec<Vm>,
    _folder: tempfile::TempDir,
}

impl Gateways {
    /// Starts `count` VMs; faulty servers rest for `rest` between two pieces of what they send.
    async fn start(count: usize, rest: Duration) -> Self {
        let store = FakeStore::start().await;
        let folder = tempfile::tempdir().expect("a temporary folder");
        let config = operator::config(2, &[("coop", vec![API_KEY.to_owned()], 0.0)]);
        store.put(OPERATOR_TABLE, CONFIG_KEY, &config);
        let mut servers = vec![("pay-1".to_owned(), "pay", start_good_server(GATEWAY_NAMES).await)];
        for n in 0..SERVERS {
            servers.push((
                format!("stock-{n}"),
                "stock",
                start_endless_server(GATEWAY_NAMES, rest).await,
            ));
        }
        for (name, service, addr) in &servers {
            let entry = operator::server_entry(service, *addr, DOMAINS[0], false, 1);
            store.put(SERVER_TABLE, name, &entry);
        }
        let mut vms = Vec::new();
        for (n, domain) in DOMAINS.iter().enumerate().take(count) {
            let name = format!("vm-{n}");
            let mut vm = Vm::new(&name, domain, folder.path(), &store, FaultSet::CutVms).await;
            for (name, _, addr) in &servers {
                vm.add_server(name, *addr).await;
            }
            vm.start();
            vms.push(vm);
        }
        for vm in &vms {
            wait_until_served(vm.caller_addr, good_head).await;
        }
        Self {
            store,
            vms,
            _folder: folder,
        }
    }

    fn pid(&self, vm: usize) -> u32 {
        self.vms[vm].process.as_ref().expect("it runs").id()
    }
}

fn good_head(id: usize) -> String {
    request_head("POST", "/pay/x", id, "")
}

fn faulty_head(id: usize) -> String {
    request_head("GET", "/stock/x", id, "")
}

async fn wait_until_served(vm: SocketAddr, head: impl Fn(usize) -> String) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while call_once(vm, head(0)).await != OK_LINE {
        assert!(tokio::time::Instant::now() < end, "the VM does not serve");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a VM that keeps what many faulty servers send, as fast as they can or beside other callers.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_many_servers_are_not_kept() {
    for rest in [Duration::ZERO, REST] {
        let gateways = Gateways::start(1, rest).await;

        let case = format!("many servers, rest {rest:?}");
        let min_answers = if rest == REST { MIN_ANSWERS } else { 0 };
        run_callers(&case, gateways.vms[0].caller_addr, faulty_head, good_head, min_answers).await;

        assert_memory(&case, gateways.pid(0));
    }
}

/// Guards against the same at both ends of tunnels.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_through_tunnels_are_not_kept() {
    for rest in [Duration::ZERO, REST] {
        let mut gateways = Gateways::start(2, rest).await;
        gateways.vms[0].set_cut(Some(OpenConnections::Reset));
        wait_until_served(gateways.vms[0].caller_addr, good_head).await;

        let case = format!("tunnels, rest {rest:?}");
        let min_answers = if rest == REST { MIN_ANSWERS } else { 0 };
        run_callers(&case, gateways.vms[0].caller_addr, faulty_head, good_head, min_answers).await;

        assert_memory(&format!("{case}, cut-off VM"), gateways.pid(0));
        assert_memory(&format!("{case}, other VM"), gateways.pid(1));
    }
}

/// Guards against a VM that keeps what the store sends, beside faulty servers.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_the_store_are_not_kept() {
    let gateways = Gateways::start(1, REST).await;
    for fault in [Fault::EndlessBody, Fault::EndlessHead] {
        gateways.store.set_outage(Some(fault));

        let case = format!("store, {fault:?}");
        run_callers(&case, gateways.vms[0].caller_addr, faulty_head, good_head, MIN_ANSWERS).await;

        gateways.store.set_outage(None);
        assert_memory(&case, gateways.pid(0));
    }
}

/// Guards against VMs with the product's own interface that keep what faulty servers send, for requests and for operations.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_to_own_requests_and_operations_are_not_kept() {
    let mut system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let addr = start_endless_server(EDGE_NAMES, Duration::ZERO).await;
        servers.push(json!({"name": format!("e{n}"), "addr": addr, "domain": "a", "slots": 5, "connections": 300}));
    }
    let docs = [
        ("/teams/shop/services/faulty", json!({"servers": servers})),
        (
            "/teams/shop/routes/faulty",
            json!({"service": "faulty", "path": "/faulty", "execution": "idempotent"}),
        ),
        (
            "/teams/shop/routes/faulty-order",
            json!({"service": "faulty", "path": "/faulty-order", "execution": "at-most-once"}),
        ),
    ];
    for (path, doc) in docs {
        let reply = system.set(path, &doc).await;
        assert!(reply.status.is_success(), "{path}: {}", reply.text());
    }
    let vm = system.vm(0).caller;
    let auth = format!("authorization: Bearer {key}\r\n");
    let good = {
        let auth = auth.clone();
        move |id| request_head("GET", support::STOCK_PATH, id, &auth)
    };
    let faulty = move |id: usize| {
        if id.is_multiple_of(2) {
            request_head("GET", "/faulty", id, &auth)
        } else {
            request_head(
                "POST",
                "/faulty-order",
                id,
                &format!("{auth}idempotency-key: k{id}\r\n"),
            )
        }
    };

    run_callers("own interface", vm, faulty, good, MIN_ANSWERS).await;

    for n in 0..2 {
        assert_memory(&format!("own interface, vm-{n}"), system.process(n).process().id());
    }
}
