//! Settings in force and withdrawn keys while the table or other VMs are unreachable.

mod support;

use support::{STOCK_PATH, TestSystem, wait_until};

/// Guards against refusing keyed requests because the table is down while the VMs still confirm each other.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_succeed_while_the_table_is_down() {
    let mut system = TestSystem::start(3).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));

    system.platform().faults().set_down(true);
    system.process(2).process_mut().kill().unwrap();
    // Longer than the freshness bound of 2 s, so that the last confirmation from the table has expired.
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(4);
    let mut refusals = Vec::new();
    while tokio::time::Instant::now() < deadline {
        for vm in [0, 1] {
            let answer = caller.get(system.vm(vm).caller, STOCK_PATH).await.unwrap();
            refusals.extend(answer.code());
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }

    assert_eq!(refusals, Vec::<u64>::new());
}

/// Guards against an isolated VM that keeps accepting a key which may have been withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_table_or_majority_refuses_keyed_requests_but_serves_open_routes() {
    let mut system = TestSystem::start(3).await;
    let key = system.grant_key("orchard", "till").await;
    let open = serde_json::json!({
        "service": "stock", "path": "/catalogue", "access": "open", "execution": "idempotent"
    });
    assert_eq!(system.set("/teams/shop/routes/catalogue", &open).await.status, 200);
    let caller = mh_standin::Caller::new(Some(&key));

    system.platform().faults().set_down(true);
    system.process(1).process_mut().kill().unwrap();
    system.process(2).process_mut().kill().unwrap();
    let addr = system.vm(0).caller;
    wait_until("keyed requests are refused", async || {
        caller.get(addr, STOCK_PATH).await.unwrap().code() == Some(1013)
    })
    .await;
    let refused = caller.get(addr, STOCK_PATH).await.unwrap();

    assert_eq!(refused.json()["run"], "not-run");
    assert_eq!(caller.get(addr, "/catalogue").await.unwrap().status, 200);
    assert_eq!(
        caller.get(addr, "/.well-known/mangohook/lookup").await.unwrap().status,
        200
    );

    system.platform().faults().set_down(false);
    wait_until("keyed requests succeed again", async || {
        caller.get(addr, STOCK_PATH).await.unwrap().status == 200
    })
    .await;
}

/// Guards against a VM that resumes from a pause and accepts a key that was withdrawn meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_vm_rejects_a_key_withdrawn_during_the_pause() {
    let mut system = TestSystem::start(3).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let addr = system.vm(2).caller;
    assert_eq!(caller.get(addr, STOCK_PATH).await.unwrap().status, 200);

    system.process(2).process().pause().await.unwrap();
    let pending = tokio::spawn({
        let caller = caller.clone();
        async move { caller.get(addr, STOCK_PATH).await }
    });
    let reply = system.withdraw_key("till").await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    system.process(2).process().resume().unwrap();
    let answer = pending.await.unwrap().unwrap();

    assert!(reply["accepted"].as_bool().unwrap());
    assert!(matches!(answer.code(), Some(1003 | 1013)), "{}", answer.text());
}

/// Guards against accepting both of two concurrent changes to the same document, or refusing concurrent changes of
/// different teams.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_conflict_within_a_document_but_not_across_teams() {
    let system = TestSystem::start(2).await;
    let set = async |vm: usize, team: &str, rate: f64, if_revision: u64| {
        let doc = serde_json::json!({"rate_per_second": rate, "burst": 5}).to_string();
        let target = format!("/v1/settings/teams/{team}/organisations/grove?if_revision={if_revision}");
        mh_standin::Caller::new(None)
            .send(system.vm(vm).admin, "PUT", &target, &[], &doc)
            .await
            .unwrap()
    };

    let (first, second) = tokio::join!(set(0, "shop", 1.0, 0), set(1, "shop", 2.0, 0));
    let (left, right) = tokio::join!(set(0, "left", 1.0, 0), set(1, "right", 2.0, 0));

    let mut codes = [first.code(), second.code()];
    codes.sort_unstable();
    assert_eq!(codes, [None, Some(3006)], "{} {}", first.text(), second.text());
    assert!(
        left.status.is_success() && right.status.is_success(),
        "{} {}",
        left.text(),
        right.text()
    );
}

/// Guards against a change that is lost, applied twice or reported wrongly when the table's reply is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_reply_is_resolved() {
    let system = TestSystem::start(3).await;
    let key = system.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let doc = serde_json::json!({"rate_per_second": 3.0, "burst": 5});

    system.platform().faults().set_lose_replies(true);
    let (reply, ()) = tokio::join!(system.set("/teams/shop/organisations/grove", &doc), async {
        system.platform().faults().set_lose_replies(false);
    });
    wait_until("the VM accepts keyed requests again", async || {
        caller.get(system.vm(0).caller, STOCK_PATH).await.unwrap().status == 200
    })
    .await;
    let history = mh_standin::Caller::new(None)
        .get(
            system.vm(0).admin,
            "/v1/history?path=%2Fteams%2Fshop%2Forganisations%2Fgrove",
        )
        .await
        .unwrap()
        .json();

    // The table holds at most one such change, and exactly one if the reply reported success.
    let changes = history.as_array().unwrap().len();
    assert!(
        changes == 1 || (changes == 0 && !reply.status.is_success()),
        "{} {changes}",
        reply.text()
    );
}

/// Guards against running a request whose key is checked before the body arrives and withdrawn during the upload.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_during_the_upload_does_not_run_the_request() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let system = TestSystem::start(2).await;
    let key = system.grant_key("orchard", "till").await;
    let mut stream = tokio::net::TcpStream::connect(system.vm(1).caller).await.unwrap();
    let head = format!(
        "POST {STOCK_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: 6\r\nconnection: close\r\n\r\nabc"
    );
    stream.write_all(head.as_bytes()).await.unwrap();

    let reply = system.withdraw_key("till").await;
    stream.write_all(b"def").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();

    assert!(reply["accepted"].as_bool().unwrap());
    assert!(answer.contains("\"code\":1003"), "{answer}");
    assert!(system.received_requests().is_empty());
}
