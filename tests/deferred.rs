//! Requests that may be late but must never be lost.

mod support;

use mh_standin::{Backend, Caller};
use serde_json::json;
use support::{Site, eventually};

const LOGS: &str = "/logs";

/// A site with a deferrable route whose one server does not run yet.
async fn site_without_server() -> (Site, std::net::SocketAddr) {
    let site = Site::start(2).await;
    let addr = Backend::start("logs").await.expect("a free port").addr();
    let server = json!({"name": "logs", "addr": addr, "domain": "a", "slots": 5, "connections": 100});
    assert!(
        site.set("/teams/shop/services/logs", &json!({"servers": [server]}))
            .await
            .status
            .is_success()
    );
    let route = json!({
        "service": "logs", "path": LOGS, "access": "open", "execution": "idempotent", "deferrable": true
    });
    assert!(site.set("/teams/shop/routes/logs", &route).await.status.is_success());
    (site, addr)
}

/// Guards against a hygiene log that is lost while no server takes it, or that outlives its VM only in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_deferred_request_survives_its_vm_and_is_delivered_once_a_server_runs() {
    let (mut site, addr) = site_without_server().await;
    let caller = Caller::new(None);

    let answer = caller
        .send(site.vm(0).caller, "POST", LOGS, &[], "cleaned")
        .await
        .expect("the VM answers");
    assert_eq!(answer.status, 202, "{}", answer.text());
    site.process(0).process_mut().kill().expect("the VM ends");
    let server = Backend::start_at("logs", addr).await.expect("the port is free again");
    eventually("the log is delivered", async || !server.seen().is_empty()).await;

    assert_eq!(&server.seen()[0].body[..], b"cleaned");
    assert!(server.seen()[0].headers.get("authorization").is_none());
    eventually("the stored log is removed", async || {
        site.platform().objects().is_empty()
    })
    .await;
}

/// Guards against an acknowledgement of a log that lies nowhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_be_stored_is_not_acknowledged() {
    let (site, _) = site_without_server().await;
    site.platform().faults().set_down(true);

    let answer = Caller::new(None)
        .send(site.vm(0).caller, "POST", LOGS, &[], "cleaned")
        .await
        .expect("the VM answers");

    assert!(!answer.status.is_success(), "{}", answer.text());
    assert_eq!(answer.json()["run"], "unknown");
}
