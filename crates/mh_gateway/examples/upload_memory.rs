//! Memory of one gateway VM while many callers upload slowly.
//!
//! Each caller sends half of a body and waits; the gateway holds bodies up to its bound and passes the others on. Prints
//! the resident memory of the process, callers and server included, and the bytes that bodies hold.
//!
//! ```sh
//! cargo run --release -p mh_gateway --example upload_memory
//! ```
#![allow(clippy::unwrap_used, reason = "a measurement that fails ends")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{PortLimits, serve_with};
use mh_gateway::{
    Batch, Bounds, CallerLimits, DeploymentState, Feed, Gateway, HeaderNames, HostRoute, Live, Plan, PlanService,
    RegisteredServer, RequestKind, Target, Update,
};
use mh_types::Revision;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Bytes of one body; the mean of the further site's uploads.
const BODY: usize = 60_000;

/// Bytes of bodies that the gateway holds at most: a quarter of a VM of 160 MB.
const HOLD: usize = 40 * 1024 * 1024;

/// Route timeout, longer than the measurement.
const TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_addr = server.local_addr().unwrap();
    // A server that takes all and answers nothing.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
            });
        }
    });
    let gateway = Gateway::new("vm".into(), HeaderNames::default(), Bounds::default());
    let gateway = Arc::new(gateway.with_hold_bytes(HOLD));
    gateway.publish(live(server_addr));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::clone(&gateway);
    let _server = serve_with(listener, PortLimits::default, move |req| {
        let gateway = Arc::clone(&handler);
        async move { gateway.handle(req).await }
    });
    println!("uploads  held KB  resident KB  more than idle KB");
    let idle = resident_kb();
    println!("{:7}  {:7}  {idle:11}  {:17}", 0, 0, 0);
    for count in [7, 70, 700, 2000] {
        let mut callers = Vec::new();
        for n in 0..count {
            callers.push(half_upload(addr, n).await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let resident = resident_kb();
        let held = gateway.held_bytes() / 1024;
        println!(
            "{count:7}  {held:7}  {resident:11}  {:17}",
            resident.saturating_sub(idle)
        );
        drop(callers);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
}

async fn half_upload(addr: SocketAddr, n: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST /send/{n} HTTP/1.1\r\nhost: shop.example\r\nmangohook-request-id: q{n}\r\ncontent-length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; BODY / 2]).await.unwrap();
    stream
}

fn live(server: SocketAddr) -> Live {
    let now = Instant::now();
    let regions = BTreeMap::from([("a".into(), "north".into())]);
    let mut deployment = DeploymentState::new("north".into(), regions, Bounds::default());
    let route = HostRoute {
        name: "send".into(),
        host: "shop.example".into(),
        prefix: "/send/".into(),
        kind: RequestKind::Upload,
        timeout: TIMEOUT,
        latency_target: Duration::from_secs(1),
        max_attempts: 2,
        priority: 0,
        open: true,
        sticky: false,
        regions: Vec::new(),
        targets: vec![Target {
            service: "vault".into(),
            weight: 1.0,
        }],
    };
    let service = PlanService {
        name: "vault".into(),
        max_connections: 10_000,
        cold_per_s: 0.0,
    };
    let plan = Plan::new(
        Revision(1),
        vec![route],
        vec![service],
        Vec::new(),
        CallerLimits::default(),
    );
    let entry = RegisteredServer {
        service: "vault".into(),
        addr: server,
        domain: "a".into(),
        version: "v1".into(),
        slots: 10_000,
        leaving: false,
        cold_for: Duration::ZERO,
        run: 1,
    };
    let updates = [
        (Feed::Settings, vec![Update::Plan(plan.into())]),
        (Feed::Servers, vec![Update::Server("s1".into(), Some(entry))]),
        (Feed::Shifts, Vec::new()),
        (Feed::Vms, Vec::new()),
    ];
    for (feed, updates) in updates {
        let batch = Batch {
            version: 1,
            changed: 1,
            clock: Duration::ZERO,
            updates,
        };
        deployment.apply(feed, &batch, true, now);
    }
    deployment.live(&Live::default(), 1, now)
}

/// Resident memory of this process.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0)
}
