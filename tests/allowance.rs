//! Rate and burst limits of organisations, enforced across all VMs.

mod support;

use mh_standin::Caller;
use support::{STOCK_PATH, TestSystem, wait_until};

/// Sends requests to the VMs in turn; returns the number of successes and the codes of the refusals.
async fn send_requests(system: &TestSystem, caller: &Caller, vms: usize, count: usize) -> (usize, Vec<u64>) {
    let mut succeeded = 0;
    let mut codes = Vec::new();
    for i in 0..count {
        let answer = caller
            .get(system.vm(i % vms).caller, STOCK_PATH)
            .await
            .expect("the VM answers");
        succeeded += usize::from(answer.status == 200);
        codes.extend(answer.code());
    }
    (succeeded, codes)
}

/// Guards against each VM granting an organisation its whole burst.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_is_shared_by_all_vms() {
    let system = TestSystem::start(3).await;
    let organisation = serde_json::json!({"rate_per_second": 0.001, "burst": 40});
    assert!(
        system
            .set("/teams/shop/organisations/grove", &organisation)
            .await
            .status
            .is_success()
    );
    let key = system.grant_key("grove", "scanner").await;
    let caller = Caller::new(Some(&key));
    wait_until("the VM has a share of the allowance", async || {
        caller.get(system.vm(0).caller, STOCK_PATH).await.unwrap().status == 200
    })
    .await;
    let before = system.received_requests().len();

    let (ran, codes) = send_requests(&system, &caller, 3, 150).await;

    assert!(before + ran <= 40, "{} requests ran with a burst of 40", before + ran);
    assert!(codes.iter().all(|code| *code == 1005), "{codes:?}");
    assert_eq!(system.received_requests().len(), before + ran);
}

/// Guards against splitting the burst of an organisation with small limits into shares of less than one request.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_burst_is_usable_at_any_vm() {
    let system = TestSystem::start(3).await;
    let organisation = serde_json::json!({"rate_per_second": 0.001, "burst": 5});
    assert!(
        system
            .set("/teams/shop/organisations/kiosk", &organisation)
            .await
            .status
            .is_success()
    );
    let key = system.grant_key("kiosk", "kiosk").await;
    let caller = Caller::new(Some(&key));

    let mut ran = 0;
    wait_until("the whole burst is used", async || {
        let (succeeded, _) = send_requests(&system, &caller, 3, 3).await;
        succeeded == 0 && !system.received_requests().is_empty()
    })
    .await;
    ran += system.received_requests().len();

    assert_eq!(ran, 5);
}
