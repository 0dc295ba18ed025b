//! Which broken connections count as a crash of their server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{ConnectionPool, PoisonGate};
use mh_poison::Fingerprint;
use tokio::net::TcpListener;

/// Time within which a loss has been checked; longer than the wait for further losses and the connection attempt.
const CHECK_TIME: Duration = Duration::from_secs(1);

/// Loses one request at each of five servers at `addr`; returns whether the request is still admitted.
async fn is_admitted_after_losses(addr: SocketAddr) -> bool {
    let gate = Arc::new(PoisonGate::new("vm".into()));
    let request = Fingerprint::of(&[b"request"]);
    for server in ["s1", "s2", "s3", "s4", "s5"] {
        let connections = Arc::new(ConnectionPool::new("s".into(), addr, 1));
        gate.on_lost(&server.into(), Some(1), &connections, request);
    }
    tokio::time::sleep(CHECK_TIME).await;
    gate.admit(&request).is_ok()
}

/// Guards against refusing a request whose answers were lost, or whose connections were reset, by servers that are up.
#[tokio::test]
async fn losses_at_servers_that_are_up_count_for_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");

    assert!(is_admitted_after_losses(addr).await);
}

/// Guards against missing the crashes that a request causes.
#[tokio::test]
async fn losses_at_servers_that_refuse_connections_are_crashes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let addr = listener.local_addr().expect("a bound address");
    drop(listener);

    assert!(!is_admitted_after_losses(addr).await);
}
