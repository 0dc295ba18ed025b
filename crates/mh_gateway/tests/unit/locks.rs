//! Locks of the control loops. [`mh_sync`] refuses a second lock at its acquisition, so that one pass over a code path
//! is enough: no second thread and no interleaving are needed.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;
use crate::control::Origin;

async fn health_answer(node: &GatewayNode, path: &str) -> String {
    let mut stream = TcpStream::connect(node.cfg.listen.health)
        .await
        .expect("the port is open");
    let head = format!("GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

fn plan_changes() -> Changes {
    Changes {
        feed: Feed::Settings,
        after: StoreVersion::new(0, 10),
        updates: vec![Update::Plan(plan(2, 50.0, 1.0).into())],
    }
}

/// Guards against two threads that wait for each other's lock forever, so that the process answers nothing: one applied
/// or served a change of the settings while another passed the list of VMs to the membership protocol.
#[tokio::test]
async fn settings_changes_and_membership_ticks_take_no_second_lock() {
    let node = start_node().await;
    let now = Instant::now();
    let served_from = StoreVersion::new(0, 10);

    update_membership(&node, now);
    node.apply_batch(
        Feed::Settings,
        &batch(11, plan_changes().updates),
        Some(StoreVersion::new(0, 10)),
        &Origin::Store,
        now,
    );
    let served = node
        .fetch_response(Feed::Settings, served_from, StoreVersion::new(0, 11))
        .await;
    node.apply_batch(
        Feed::Vms,
        &batch(12, vec![Update::Vm("vm-2".into(), Some(listed("vm-2")))]),
        Some(StoreVersion::new(0, 10)),
        &Origin::Store,
        now,
    );
    update_membership(&node, now);
    on_tick(&node, now);

    assert!(served.is_some());
    assert_eq!(
        node.gateway.live().plan.as_ref().map(|plan| plan.revision),
        Some(Revision(2))
    );
    assert_eq!(node.control.lock().membership.view().members().count(), 3);
}

/// Guards against a second lock in the exchange of demand, loads, capacities, quotas, limits, crashes and usage, in the
/// state dump, at a reload and while a shift runs.
#[tokio::test]
async fn periodic_work_and_reports_take_no_second_lock() {
    let node = start_node().await;
    let now = Instant::now();
    let order = ShiftOrder {
        to: "v2".into(),
        duration: Duration::from_secs(8),
        version: StoreVersion::new(0, 11),
    };
    node.apply_batch(
        Feed::Settings,
        &batch(11, vec![Update::Order("stock".into(), Some(order))]),
        Some(StoreVersion::new(0, 10)),
        &Origin::Store,
        now,
    );

    for round in 1..4 {
        on_tick(&node, now + TICK_INTERVAL * round);
        node.send_load_reports(round as usize);
        node.send_capacity(now);
        node.run_demand_round(now);
    }
    node.remove_stored_quarantines();
    node.reload(&node.cfg);
    node.start_epoch();
    let dump = health_answer(&node, "/state").await;
    let metrics = health_answer(&node, "/metrics").await;

    assert!(dump.contains("\"listed_vms\":2"), "{dump}");
    assert!(metrics.starts_with("HTTP/1.1 200"), "{metrics}");
}
