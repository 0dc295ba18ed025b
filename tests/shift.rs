//! Version shifts with real VM processes.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use mh_standin::{Backend, Caller};
use serde_json::json;
use support::{STOCK_PATH, TestSystem, wait_until};

struct ShiftFixture {
    system: TestSystem,
    old: Backend,
    new: Backend,
    caller: Caller,
}

/// Starts a service with two versions, each listed in both failure domains, and a caller with ample limits.
async fn start_fixture() -> ShiftFixture {
    let system = TestSystem::start(3).await;
    let old = Backend::start("old").await.expect("a free port");
    let new = Backend::start("new").await.expect("a free port");
    // Each stand-in is listed in both failure domains, because a step up needs evidence from a majority of them.
    let server = |domain: &str, addr, version: &str| {
        let name = format!("{version}-{domain}");
        json!({"name": name, "addr": addr, "domain": domain, "version": version, "slots": 500, "connections": 1000})
    };
    let servers: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|domain| [server(domain, old.addr(), "v1"), server(domain, new.addr(), "v2")])
        .collect();
    let service = json!({"version": "v1", "servers": servers});
    assert!(
        system
            .set("/teams/shop/services/stock", &service)
            .await
            .status
            .is_success()
    );
    let organisation = json!({"rate_per_second": 1_000_000.0, "burst": 1_000_000});
    assert!(
        system
            .set("/teams/shop/organisations/crowd", &organisation)
            .await
            .status
            .is_success()
    );
    let caller = Caller::new(Some(&system.grant_key("crowd", "crowd").await));
    for vm in 0..3 {
        wait_until("the VM accepts the organisation's requests", async || {
            caller
                .get(system.vm(vm).caller, STOCK_PATH)
                .await
                .is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
    ShiftFixture {
        system,
        old,
        new,
        caller,
    }
}

impl ShiftFixture {
    async fn start_shift(&self, cap_percent: f64) {
        let deadline = jiff::Timestamp::now() + jiff::SignedDuration::from_mins(10);
        let doc = json!({
            "service": "stock", "from": "v1", "to": "v2", "cap_percent": cap_percent, "deadline": deadline.to_string(),
        });
        let reply = self.system.set("/teams/shop/shifts/v2", &doc).await;
        assert!(reply.status.is_success(), "{}", reply.text());
    }

    async fn shift_state(&self, vm: usize) -> String {
        let status = Caller::new(None)
            .get(self.system.vm(vm).admin, "/v1/status")
            .await
            .expect("the VM answers")
            .json();
        status["shifts"][0]["state"].as_str().unwrap_or("unknown").to_owned()
    }

    /// Sends requests to every VM until the shift has the state `expected` at every VM; returns how many were sent.
    async fn send_until_state(&self, expected: &str) -> usize {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        let senders: Vec<_> = (0..6)
            .map(|i| {
                let (caller, stop, sent) = (self.caller.clone(), Arc::clone(&stop), Arc::clone(&sent));
                let addr = self.system.vm(i % 3).caller;
                tokio::spawn(async move {
                    while !stop.load(Ordering::Relaxed) {
                        let _ = caller.get(addr, STOCK_PATH).await;
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        for vm in 0..3 {
            wait_until("the shift ends at every VM", async || {
                self.shift_state(vm).await == expected
            })
            .await;
        }
        stop.store(true, Ordering::Relaxed);
        for sender in senders {
            sender.await.expect("the sender ends");
        }
        sent.load(Ordering::Relaxed)
    }
}

/// Guards against a failing version that keeps receiving traffic, and against VMs that end a shift in different states.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_version_is_taken_back_at_every_vm() {
    let fixture = start_fixture().await;
    fixture.new.faults().set_status(500);
    fixture.start_shift(50.0).await;

    let sent = fixture.send_until_state("taken-back").await;
    let requests_at_new = fixture.new.received_requests().len();
    let after = fixture
        .caller
        .get(fixture.system.vm(0).caller, STOCK_PATH)
        .await
        .expect("the VM answers");

    assert_eq!(after.status, 200);
    assert_eq!(fixture.new.received_requests().len(), requests_at_new);
    // At most 1% of the requests, and one more at each of the three VMs, which count separately.
    assert!(
        requests_at_new * 100 <= sent + 300,
        "{requests_at_new} of {sent} requests went to the failing version"
    );
}

/// Guards against traffic to the new version after an operator took the shift back.
#[tokio::test(flavor = "multi_thread")]
async fn a_shift_taken_back_by_an_operator_sends_nothing_to_the_new_version() {
    let fixture = start_fixture().await;
    fixture.start_shift(50.0).await;
    let path = "/teams/shop/shifts/v2";
    let found = Caller::new(None)
        .get(fixture.system.vm(0).admin, &format!("/v1/settings{path}"))
        .await;
    let mut doc = found.expect("the VM answers").json()["doc"].clone();
    doc["taken_back"] = true.into();

    assert!(fixture.system.set(path, &doc).await.status.is_success());
    fixture.send_until_state("taken-back").await;
    let requests_at_new = fixture.new.received_requests().len();
    for _ in 0..50 {
        assert_eq!(
            fixture
                .caller
                .get(fixture.system.vm(1).caller, STOCK_PATH)
                .await
                .expect("the VM answers")
                .status,
            200
        );
    }

    assert_eq!(fixture.new.received_requests().len(), requests_at_new);
    assert!(!fixture.old.received_requests().is_empty());
}

/// Guards against a shift to a healthy version that never completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_shift_to_a_healthy_version_completes_at_every_vm() {
    let fixture = start_fixture().await;
    fixture.start_shift(50.0).await;

    fixture.send_until_state("done").await;
    let requests_at_old = fixture.old.received_requests().len();
    for vm in 0..3 {
        assert_eq!(
            fixture
                .caller
                .get(fixture.system.vm(vm).caller, STOCK_PATH)
                .await
                .expect("the VM answers")
                .status,
            200
        );
    }

    assert_eq!(fixture.old.received_requests().len(), requests_at_old);
}
