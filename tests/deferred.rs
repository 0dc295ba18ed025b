//! Deferrable requests, which may be delivered late but must not be lost.

mod support;

use std::net::SocketAddr;

use mh_standin::{Backend, Caller};
use serde_json::json;
use support::{TestSystem, wait_until};
use tokio::net::TcpSocket;

const LOGS_PATH: &str = "/logs";

/// An address at which nobody listens, and which no other process is given as long as this is held.
struct ReservedAddr {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddr {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        // A server can listen at the address while the socket does not.
        socket.set_reuseaddr(true).expect("a new socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        Self {
            addr: socket.local_addr().expect("a bound address"),
            _socket: socket,
        }
    }
}

/// A system with a deferrable route whose only server is not running yet.
async fn system_without_server() -> (TestSystem, ReservedAddr) {
    let system = TestSystem::start(2).await;
    let reserved = ReservedAddr::new();
    let addr = reserved.addr;
    let server = json!({"name": "logs", "addr": addr, "domain": "a", "slots": 5, "connections": 100});
    assert!(
        system
            .set("/teams/shop/services/logs", &json!({"servers": [server]}))
            .await
            .status
            .is_success()
    );
    let route = json!({
        "service": "logs", "path": LOGS_PATH, "access": "open", "execution": "idempotent", "deferrable": true
    });
    assert!(system.set("/teams/shop/routes/logs", &route).await.status.is_success());
    (system, reserved)
}

/// Guards against losing an acknowledged request while no server is running, or because only the memory of a killed VM
/// held it.
#[tokio::test(flavor = "multi_thread")]
async fn a_deferred_request_survives_a_killed_vm_and_is_delivered_when_a_server_runs() {
    let (mut system, reserved) = system_without_server().await;
    let caller = Caller::new(None);

    let answer = caller
        .send(system.vm(0).caller, "POST", LOGS_PATH, &[], "cleaned")
        .await
        .expect("the VM answers");
    assert_eq!(answer.status, 202, "{}", answer.text());
    system.process(0).process_mut().kill().expect("the VM ends");
    let server = Backend::start_at("logs", reserved.addr)
        .await
        .expect("the port is free again");
    wait_until("the request is delivered", async || {
        !server.received_requests().is_empty()
    })
    .await;

    assert_eq!(&server.received_requests()[0].body[..], b"cleaned");
    assert!(server.received_requests()[0].headers.get("authorization").is_none());
    wait_until("the stored request is removed", async || {
        system.platform().objects().is_empty()
    })
    .await;
}

/// Guards against acknowledging a request that was not stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_be_stored_is_not_acknowledged() {
    let (system, _reserved) = system_without_server().await;
    system.platform().faults().set_down(true);

    let answer = Caller::new(None)
        .send(system.vm(0).caller, "POST", LOGS_PATH, &[], "cleaned")
        .await
        .expect("the VM answers");

    assert!(!answer.status.is_success(), "{}", answer.text());
    assert_eq!(answer.json()["run"], "unknown");
}

/// Guards against taking the invalid status of a faulty server for a delivery, by which the request would be lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_answered_with_an_invalid_status_is_not_delivered() {
    let (system, reserved) = system_without_server().await;
    let server = Backend::start_at("logs", reserved.addr)
        .await
        .expect("the port is free again");
    server.faults().set_status(999);

    let answer = Caller::new(None)
        .send(system.vm(0).caller, "POST", LOGS_PATH, &[], "cleaned")
        .await
        .expect("the VM answers");

    assert_eq!(answer.status, 202, "{}", answer.text());
    let received = server.received_requests().len();
    wait_until("the request is sent again", async || {
        server.received_requests().len() > received
    })
    .await;
    assert!(!system.platform().objects().is_empty());
    server.faults().set_status(200);
    wait_until("the stored request is removed", async || {
        system.platform().objects().is_empty()
    })
    .await;
}
