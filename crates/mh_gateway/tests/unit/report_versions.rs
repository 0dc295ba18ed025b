//! Reports of a VM that applies two changes at the same time, as the threads of a runtime may.

use std::cell::RefCell;
use std::sync::Once;

use tokio::net::UdpSocket;

use super::*;
use crate::control::Origin;

thread_local! {
    /// Runs once, between applying a plan and reporting it.
    static AFTER_PLAN: RefCell<Option<Box<dyn FnOnce()>>> = RefCell::default();
}

/// Runs the action of the thread when a plan is logged as applied.
struct PlanObserver;

impl log::Log for PlanObserver {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        AFTER_PLAN.with_borrow(Option::is_some)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata())
            && record.args().to_string().starts_with("E405")
            && let Some(action) = AFTER_PLAN.with_borrow_mut(Option::take)
        {
            action();
        }
    }

    fn flush(&self) {}
}

fn observe_plans() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&PlanObserver).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Guards against VMs that count as holding a plan which they have not received: a report with the changes of one answer
/// named the version of a later one.
#[tokio::test]
async fn a_report_names_the_versions_of_its_changes() {
    observe_plans();
    let node = start_node().await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.expect("a loopback port");
    let entry = AnnouncedVm {
        peers: peer.local_addr().expect("a bound address"),
        ..listed("vm-1")
    };
    let now = Instant::now();
    let vms = batch(11, vec![Update::Vm("vm-1".into(), Some(entry))]);
    node.apply_batch(Feed::Vms, &vms, Some(StoreVersion::new(0, 10)), &Origin::Store, now);
    let other = Arc::clone(&node);
    let later = batch(13, vec![Update::Plan(plan(3, 50.0, 3.0).into())]);
    AFTER_PLAN.set(Some(Box::new(move || {
        other.apply_batch(
            Feed::Settings,
            &later,
            Some(StoreVersion::new(0, 10)),
            &Origin::Store,
            now,
        );
    })));

    let first = batch(12, vec![Update::Plan(plan(2, 50.0, 2.0).into())]);
    node.apply_batch(
        Feed::Settings,
        &first,
        Some(StoreVersion::new(0, 10)),
        &Origin::Store,
        now,
    );

    let mut reported = Vec::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    while reported.len() < 2 {
        let (len, _) = peer.recv_from(&mut buf).await.expect("a datagram");
        let Ok((_, Datagram::News(report))) = decode::<Datagram>(&buf[..len]) else {
            continue;
        };
        if let Some(change) = report.plan_change {
            let version = report.feeds[Feed::Settings as usize].changed.number;
            reported.push((change.revision().0, version));
        }
    }
    reported.sort_unstable();
    assert_eq!(reported, [(2, 12), (3, 13)]);
}
