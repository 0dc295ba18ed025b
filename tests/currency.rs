//! Settings in force and withdrawn keys, while parts of the system are out of reach.

mod support;

use support::{STOCK, Site, eventually};

/// Guards against keyed traffic that stops because the table is down while the VMs still confirm each other.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_go_on_while_the_table_is_down() {
    let mut site = Site::start(3).await;
    let key = site.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));

    site.platform().faults().set_down(true);
    site.process(2).process_mut().kill().unwrap();
    // Longer than the bound of 2 s, so that evidence from the table has lapsed.
    let end = tokio::time::Instant::now() + std::time::Duration::from_secs(4);
    let mut refusals = Vec::new();
    while tokio::time::Instant::now() < end {
        for vm in [0, 1] {
            let answer = caller.get(site.vm(vm).caller, STOCK).await.unwrap();
            refusals.extend(answer.code());
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }

    assert_eq!(refusals, Vec::<u64>::new());
}

/// Guards against a cut-off VM that goes on accepting a key which may have been withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_table_and_majority_refuses_keyed_requests_and_serves_open_routes() {
    let mut site = Site::start(3).await;
    let key = site.grant_key("orchard", "till").await;
    let open = serde_json::json!({
        "service": "stock", "path": "/catalogue", "access": "open", "execution": "idempotent"
    });
    assert_eq!(site.set("/teams/shop/routes/catalogue", &open).await.status, 200);
    let caller = mh_standin::Caller::new(Some(&key));

    site.platform().faults().set_down(true);
    site.process(1).process_mut().kill().unwrap();
    site.process(2).process_mut().kill().unwrap();
    let addr = site.vm(0).caller;
    eventually("keyed requests are refused", async || {
        caller.get(addr, STOCK).await.unwrap().code() == Some(1013)
    })
    .await;
    let refused = caller.get(addr, STOCK).await.unwrap();

    assert_eq!(refused.json()["run"], "not-run");
    assert_eq!(caller.get(addr, "/catalogue").await.unwrap().status, 200);
    assert_eq!(
        caller.get(addr, "/.well-known/mangohook/lookup").await.unwrap().status,
        200
    );

    site.platform().faults().set_down(false);
    eventually("keyed requests run again", async || {
        caller.get(addr, STOCK).await.unwrap().status == 200
    })
    .await;
}

/// Guards against a paused VM that runs a withdrawn key's request when it wakes.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_vm_does_not_honour_a_key_withdrawn_meanwhile() {
    let mut site = Site::start(3).await;
    let key = site.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let addr = site.vm(2).caller;
    assert_eq!(caller.get(addr, STOCK).await.unwrap().status, 200);

    site.process(2).process().pause().await.unwrap();
    let waiting = tokio::spawn({
        let caller = caller.clone();
        async move { caller.get(addr, STOCK).await }
    });
    let reply = site.withdraw_key("till").await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    site.process(2).process().resume().unwrap();
    let answer = waiting.await.unwrap().unwrap();

    assert!(reply["accepted"].as_bool().unwrap());
    assert!(matches!(answer.code(), Some(1003 | 1013)), "{}", answer.text());
}

/// Guards against racing operators who both believe that their change stands.
#[tokio::test(flavor = "multi_thread")]
async fn racing_changes_of_one_document_conflict_and_of_two_teams_do_not() {
    let site = Site::start(2).await;
    let set = async |vm: usize, team: &str, rate: f64, if_revision: u64| {
        let doc = serde_json::json!({"rate_per_second": rate, "burst": 5}).to_string();
        let target = format!("/v1/settings/teams/{team}/organisations/grove?if_revision={if_revision}");
        mh_standin::Caller::new(None)
            .send(site.vm(vm).admin, "PUT", &target, &[], &doc)
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

/// Guards against a change that is lost, doubled or reported wrongly when the table's reply is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_reply_is_resolved() {
    let site = Site::start(3).await;
    let key = site.grant_key("orchard", "till").await;
    let caller = mh_standin::Caller::new(Some(&key));
    let doc = serde_json::json!({"rate_per_second": 3.0, "burst": 5});

    site.platform().faults().set_lose_replies(true);
    let (reply, ()) = tokio::join!(site.set("/teams/shop/organisations/grove", &doc), async {
        site.platform().faults().set_lose_replies(false);
    });
    eventually("the VM is current again", async || {
        caller.get(site.vm(0).caller, STOCK).await.unwrap().status == 200
    })
    .await;
    let history = mh_standin::Caller::new(None)
        .get(
            site.vm(0).admin,
            "/v1/history?path=%2Fteams%2Fshop%2Forganisations%2Fgrove",
        )
        .await
        .unwrap()
        .json();

    // Whatever the operator was told, the table holds at most one such change, and a success means exactly one.
    let changes = history.as_array().unwrap().len();
    assert!(
        changes == 1 || (changes == 0 && !reply.status.is_success()),
        "{} {changes}",
        reply.text()
    );
}

/// Guards against a key that is checked before the body arrives and withdrawn while it does.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_during_the_upload_does_not_run_the_request() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = Site::start(2).await;
    let key = site.grant_key("orchard", "till").await;
    let mut stream = tokio::net::TcpStream::connect(site.vm(1).caller).await.unwrap();
    let head = format!(
        "POST {STOCK} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: 6\r\nconnection: close\r\n\r\nabc"
    );
    stream.write_all(head.as_bytes()).await.unwrap();

    let reply = site.withdraw_key("till").await;
    stream.write_all(b"def").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();

    assert!(reply["accepted"].as_bool().unwrap());
    assert!(answer.contains("\"code\":1003"), "{answer}");
    assert!(site.seen().is_empty());
}
