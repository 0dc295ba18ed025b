//! Requests that crash the servers that run them, end to end over separate processes.

mod support;

use std::time::Duration;

use mh_standin::{Caller, DyingServer};
use serde_json::json;
use support::TestSystem;

/// Number of servers; a crashed one is down for a while.
const SERVERS: usize = 4;

/// Time for which a crashed server is down.
const DOWN_FOR: Duration = Duration::from_millis(300);

/// Result code of a request in quarantine.
const QUARANTINED: u64 = 1024;

/// Most crashes until every VM knows: three, one that runs beside the third, and one at each other VM meanwhile.
const MAX_CRASHES: usize = 6;

/// Guards against a request that crashes server after server at every VM, and against refusing other requests for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadly_request_is_refused_by_every_vm() {
    let system = TestSystem::start(3).await;
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(DyingServer::start("deadly", DOWN_FOR).await.unwrap());
    }
    let listed = servers.iter().enumerate();
    let listed = listed.map(|(n, server)| {
        json!({"name": format!("d{n}"), "addr": server.addr(), "domain": "a", "slots": 5, "connections": 300})
    });
    let service = json!({"servers": listed.collect::<Vec<_>>()});
    let route = json!({"service": "dying", "path": "/dying", "execution": "idempotent", "access": "open"});
    for (path, doc) in [
        ("/teams/shop/services/dying", service),
        ("/teams/shop/routes/dying", route),
    ] {
        let reply = system.set(path, &doc).await;
        assert!(reply.status.is_success(), "{}", reply.text());
    }
    let caller = Caller::new(None);
    let send = async |vm: usize, path: &str| {
        let reply = caller.get(system.vm(vm).caller, path).await.unwrap();
        tokio::time::sleep(Duration::from_millis(150)).await;
        reply
    };
    let crashes = || servers.iter().map(DyingServer::crashes).sum::<usize>();

    let mut refused = [0; 3];
    for round in 0..30 {
        let reply = send(round % 3, "/dying/deadly").await;
        refused[round % 3] += usize::from(reply.code() == Some(QUARANTINED));
    }

    assert!(refused.iter().all(|count| *count > 0), "{refused:?}");
    assert!(crashes() <= MAX_CRASHES, "{} crashes", crashes());
    tokio::time::sleep(DOWN_FOR).await;
    let before = crashes();
    for vm in 0..3 {
        let deadly = send(vm, "/dying/deadly").await;
        assert_eq!(
            (deadly.code(), deadly.status.as_u16()),
            (Some(QUARANTINED), 503),
            "{}",
            deadly.text()
        );
        assert_eq!(deadly.json()["run"], "not-run");
        assert_eq!(send(vm, "/dying/other").await.status, 200);
    }
    assert_eq!(crashes(), before);
}
