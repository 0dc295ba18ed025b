//! Memory use of one gateway VM during many slow uploads.
//!
//! Each caller sends half of a body and waits; the gateway buffers bodies up to its limit and streams the others.
//! Prints the resident memory of the process, including callers and server, and the memory reserved for buffered
//! bodies.
//!
//! ```sh
//! cargo run --release -p mh_gateway --example upload_memory
//! ```
#![allow(clippy::unwrap_used, reason = "a failed measurement ends the program")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{PortLimits, serve_with};
use mh_gateway::{
    Batch, Bounds, CallerLimits, DeploymentState, Feed, Gateway, HeaderNames, HostRoute, LiveState, Plan, PlanService,
    RegisteredServer, RequestKind, Target, UnusedDuration, Update,
};
use mh_types::{Revision, StoreVersion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Size of one body in bytes, a typical mean size of uploads.
const BODY_BYTES: usize = 60_000;

/// Memory limit of buffered bodies in bytes: a quarter of a VM of 160 MB.
const BUFFER_LIMIT_BYTES: usize = 40 * 1024 * 1024;

/// Route timeout, longer than the measurement.
const ROUTE_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_addr = server.local_addr().unwrap();
    // A server that reads everything and never answers.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
            });
        }
    });
    let gateway = Gateway::new("vm".into(), HeaderNames::default(), Bounds::default());
    let gateway = Arc::new(gateway.with_buffer_limit(BUFFER_LIMIT_BYTES));
    gateway.publish(live_state(server_addr));
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
            callers.push(start_half_upload(addr, n).await);
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

async fn start_half_upload(addr: SocketAddr, n: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST /send/{n} HTTP/1.1\r\nhost: shop.example\r\nmangohook-request-id: q{n}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES / 2]).await.unwrap();
    stream
}

fn live_state(server: SocketAddr) -> LiveState {
    let now = Instant::now();
    let regions = BTreeMap::from([("a".into(), "north".into())]);
    let mut deployment = DeploymentState::new("north".into(), regions, Bounds::default());
    let route = HostRoute {
        name: "send".into(),
        host: "shop.example".into(),
        prefix: "/send/".into(),
        kind: RequestKind::Upload,
        timeout: ROUTE_TIMEOUT,
        unused: UnusedDuration,
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
        sequence: 1,
    };
    let updates = [
        (Feed::Settings, vec![Update::Plan(plan.into())]),
        (Feed::Servers, vec![Update::Server("s1".into(), Some(entry))]),
        (Feed::Shifts, Vec::new()),
        (Feed::Vms, Vec::new()),
    ];
    for (feed, updates) in updates {
        let batch = Batch {
            version: StoreVersion::new(0, 1),
            last_changed_version: StoreVersion::new(0, 1),
            clock: Duration::ZERO,
            updates,
        };
        deployment.apply(feed, &batch, true, now);
    }
    deployment.build_live_state(&LiveState::default(), 1, now)
}

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0)
}
