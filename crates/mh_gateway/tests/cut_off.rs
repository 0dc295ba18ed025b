//! A VM that cannot reach the backend servers itself, beside one that can.

#[path = "fixtures/mod.rs"]
mod fixtures;
#[path = "fleet/mod.rs"]
mod fleet;
#[path = "harness/mod.rs"]
mod harness;
mod store;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{Fleet, settings, wait_until};
use harness::{OK, Reply, ScriptedServer, head, send_to};
use mh_gateway::{CallerLimits, Feed, Plan, RegisteredServer, RequestKind, Update};
use mh_types::Revision;
use store::MemoryStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Index of the VM that is cut off.
const CUT_OFF: usize = 0;

/// Answer without a length, which is reset before its end.
const RESET_WITHOUT_LENGTH: Reply = Reply::Reset("HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\n\r\nhalf");

/// Complete answer without a length.
const WITHOUT_LENGTH: Reply = Reply::Close("HTTP/1.1 200 OK\r\nmangohook-request-id: ID\r\nstamp: s\r\n\r\nwhole");

/// How a link is cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// New connections are refused.
    Refuse,
    /// New connections hang.
    Hang,
}

/// Two VMs and one server. Each of the VMs `cut_off` sees the server at an address that does not answer.
struct CutFleet {
    fleet: Fleet,
    server: ScriptedServer,
    /// Connections that fill the queue of the address that hangs.
    _held: (TcpListener, Vec<TcpStream>),
    /// Socket of the address that refuses connections.
    _refusing: TcpSocket,
}

impl CutFleet {
    async fn start(cut: Cut, cut_off: &[usize], replies: &[Reply]) -> Self {
        let server = ScriptedServer::start(replies).await;
        let (listener, filling) = full_listener().await;
        let hanging = listener.local_addr().expect("a bound address");
        // A bound socket that does not listen refuses connections, and no other test gets its port.
        let refusing_socket = TcpSocket::new_v4().expect("a socket");
        refusing_socket
            .bind(([127, 0, 0, 1], 0).into())
            .expect("a loopback port");
        let refusing = refusing_socket.local_addr().expect("a bound address");
        let store = MemoryStore::new();
        for vm in cut_off {
            let addr = match cut {
                Cut::Refuse => refusing,
                Cut::Hang => hanging,
            };
            store.set_seen_addr(&settings(*vm).vm, "s1", addr);
        }
        store.put(Feed::Settings, Update::Plan(plan().into()));
        let entry = RegisteredServer {
            addr: server.addr,
            ..fixtures::server("v1")
        };
        store.put(Feed::Servers, Update::Server("s1".into(), Some(entry)));
        let fleet = Fleet::start_on(store, 2).await;
        fleet.wait_for_revision(1).await;
        // Each VM then knows that the other one is alive.
        wait_until(|| fleet.vms.iter().all(|vm| vm.gateway().live().vms.len() == 2)).await;
        Self {
            fleet,
            server,
            _held: (listener, filling),
            _refusing: refusing_socket,
        }
    }

    fn addr(&self) -> SocketAddr {
        self.fleet.listen[CUT_OFF].callers
    }

    fn tunnels(&self) -> u64 {
        let counters = self.fleet.vms[CUT_OFF].gateway().counters();
        counters.tunnels.load(Ordering::Relaxed)
    }
}

fn plan() -> Plan {
    let route = |name: &str, kind| mh_gateway::HostRoute {
        kind,
        timeout: Duration::from_secs(5),
        ..fixtures::route(name)
    };
    let routes = vec![
        route("safe", RequestKind::Idempotent),
        route("pay", RequestKind::NonIdempotent),
    ];
    Plan::new(
        Revision(1),
        routes,
        vec![fixtures::service()],
        Vec::new(),
        CallerLimits::default(),
    )
}

/// Returns a listener whose queue is full, so that further connections hang.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a loopback port");
    let listener = socket.listen(1).expect("a listener");
    let addr = listener.local_addr().expect("a bound address");
    let mut filling = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(addr)).await {
        filling.push(stream);
    }
    (listener, filling)
}

/// Guards against callers of a cut-off VM who are not served although another VM reaches the servers.
#[tokio::test(start_paused = true)]
async fn requests_to_a_cut_off_vm_are_served_through_another_vm() {
    for cut in [Cut::Refuse, Cut::Hang] {
        let cut_fleet = CutFleet::start(cut, &[CUT_OFF], &[]).await;

        for n in 0..10 {
            for (method, path) in [("GET", "safe"), ("POST", "pay")] {
                let answer = send_to(cut_fleet.addr(), method, &format!("/{path}/{n}"), "").await;
                assert_eq!(
                    (answer.status, answer.body.as_str()),
                    (200, "done"),
                    "{cut:?}: {answer:?}"
                );
            }
        }

        assert!(cut_fleet.tunnels() > 0);
        let seen = cut_fleet.server.seen();
        assert_eq!(seen.len(), 20, "{cut:?}: each request runs once");
        assert!(
            seen.iter().all(|head| head.contains("mangohook-expected-server: s1")),
            "{seen:?}"
        );
    }
}

/// Guards against connections that VMs without a link to the servers pass to each other, and against requests that wait
/// although no VM can serve them.
#[tokio::test(start_paused = true)]
async fn cut_off_vms_refuse_requests_as_not_run() {
    for cut in [Cut::Refuse, Cut::Hang] {
        let cut_fleet = CutFleet::start(cut, &[0, 1], &[]).await;
        // The VMs notice that they are cut off.
        for listen in &cut_fleet.fleet.listen {
            send_to(listen.callers, "GET", "/safe/first", "").await;
        }

        let answer = send_to(cut_fleet.addr(), "POST", "/pay/x", "").await;

        assert_eq!(answer.status, 503, "{cut:?}: {answer:?}");
        assert!(
            answer.body.contains("1025") && answer.body.contains("not-run"),
            "{answer:?}"
        );
        assert!(answer.head.contains("retry-after: 0.050"), "{answer:?}");
        assert!(cut_fleet.server.seen().is_empty());
        assert_eq!(cut_fleet.tunnels(), 0);
    }
}

/// Guards against an answer that looks complete although its server reset the connection behind the tunnel.
#[tokio::test(start_paused = true)]
async fn a_reset_passes_through_the_tunnel() {
    let cut_fleet = CutFleet::start(Cut::Refuse, &[CUT_OFF], &[OK, RESET_WITHOUT_LENGTH]).await;
    send_to(cut_fleet.addr(), "POST", "/pay/first", "").await;

    let answer = send_to(cut_fleet.addr(), "POST", "/pay/x", "").await;

    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(cut_fleet.server.seen().len(), 2);
}

/// Guards against refusing complete answers because the end of a tunnel is taken for a loss.
#[tokio::test(start_paused = true)]
async fn an_answer_without_a_length_is_complete_through_a_tunnel() {
    let cut_fleet = CutFleet::start(Cut::Refuse, &[CUT_OFF], &[OK, WITHOUT_LENGTH]).await;
    send_to(cut_fleet.addr(), "POST", "/pay/first", "").await;

    let answer = send_to(cut_fleet.addr(), "POST", "/pay/x", "").await;

    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"), "{answer:?}");
}

/// Opens a tunnel as a VM of a version that knows no frames does, sends a request through it and reads to its end.
async fn read_unframed_tunnel(reply: Reply) -> (String, std::io::Result<usize>) {
    let cut_fleet = CutFleet::start(Cut::Refuse, &[CUT_OFF], &[reply]).await;
    let mut stream = TcpStream::connect(cut_fleet.fleet.listen[1].peers)
        .await
        .expect("the VM listens");
    let addr = cut_fleet.server.addr;
    let connect = format!("CONNECT {addr} HTTP/1.1\r\nhost: {addr}\r\nmangohook-server: s1\r\n\r\n");
    stream.write_all(connect.as_bytes()).await.expect("the VM reads");
    let mut opened = [0; 15];
    stream.read_exact(&mut opened).await.expect("an answer");
    assert_eq!(&opened, b"HTTP/1.1 200 OK");
    let request = format!("{}content-length: 0\r\n\r\n", head("GET", "/safe/x"));
    stream.write_all(request.as_bytes()).await.expect("the VM reads");
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer).await;
    (String::from_utf8_lossy(&answer).into_owned(), ended)
}

/// Guards against an answer that looks complete to a VM of an earlier version, which takes the end of a tunnel for that
/// of the answer.
#[tokio::test(start_paused = true)]
async fn a_tunnel_without_frames_is_reset_unless_the_server_ends_it() {
    let (whole, ended) = read_unframed_tunnel(WITHOUT_LENGTH).await;
    let (half, reset) = read_unframed_tunnel(RESET_WITHOUT_LENGTH).await;

    assert!(ended.is_ok() && whole.ends_with("whole"), "{ended:?}: {whole}");
    assert!(reset.is_err(), "{half}");
}

/// Guards against a server that works for a caller which has left, behind the tunnel.
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_ends_the_tunnel() {
    let cut_fleet = CutFleet::start(Cut::Refuse, &[CUT_OFF], &[OK, Reply::Hang]).await;
    send_to(cut_fleet.addr(), "GET", "/safe/first", "").await;
    let mut caller = TcpStream::connect(cut_fleet.addr()).await.expect("the VM listens");
    let text = format!("{}content-length: 0\r\n\r\n", head("GET", "/safe/x"));
    caller.write_all(text.as_bytes()).await.expect("the VM reads");
    wait_until(|| cut_fleet.server.seen().len() == 2).await;

    drop(caller);

    wait_until(|| cut_fleet.server.abandoned() == 1).await;
}

/// Guards against tunnels to addresses that are no backend servers.
#[tokio::test(start_paused = true)]
async fn tunnels_lead_to_listed_servers_only() {
    let cut_fleet = CutFleet::start(Cut::Refuse, &[CUT_OFF], &[]).await;
    let other = ScriptedServer::start(&[]).await;
    let vm = cut_fleet.fleet.listen[1].peers;
    for header in ["", "mangohook-server: unlisted\r\n"] {
        let mut stream = TcpStream::connect(vm).await.expect("the VM listens");
        let text = format!(
            "CONNECT {addr} HTTP/1.1\r\nhost: {addr}\r\n{header}connection: close\r\n\r\n",
            addr = other.addr
        );
        stream.write_all(text.as_bytes()).await.expect("the VM reads");

        let answer = harness::GatewayHarness::answer(stream).await;

        assert_eq!(answer.status, 502, "{answer:?}");
    }
    assert!(other.seen().is_empty());
}
