//! Requests planned by [`FetchPlanner`], and decoding of damaged reports.

mod common;

use common::{BOUND, attesting_vm, ms, report, start, started_vm};
use mh_fresh::ReportError;
use mh_fresh::prelude::*;
use mh_types::{Code, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const VMS: [&str; 7] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1"];

fn new_planner() -> FetchPlanner {
    FetchPlanner::new(FetchConfig::for_bound(BOUND))
}

/// Returns the peers asked with `scope` during one interval, and whether the head row was read.
fn planned_requests(
    planner: &mut FetchPlanner,
    tracker: &FreshnessTracker,
    from: Instant,
    scope: ReportScope,
) -> (Vec<String>, bool) {
    let requests: Vec<FetchRequest> = (0..10)
        .flat_map(|n| planner.plan(from + ms(50 * n), tracker, n))
        .collect();
    let peers = requests.iter().filter_map(|request| match request {
        FetchRequest::Report { peer, scope: planned } if *planned == scope => Some(peer.to_string()),
        _ => None,
    });
    (peers.collect(), requests.contains(&FetchRequest::Head))
}

/// Guards against every VM reading the table, and against attestations that no VM aggregates.
#[test]
fn the_delegate_reads_the_head_and_the_aggregator_asks_the_members() {
    let now = start();
    let plan = |name: &str, scope| planned_requests(&mut new_planner(), &attesting_vm(name, &VMS, now, 4), now, scope);

    assert_eq!(
        plan("a1", ReportScope::Domain),
        (vec!["a2".to_owned(), "b2".to_owned(), "c1".to_owned()], true)
    );
    assert_eq!(
        plan("a2", ReportScope::Own),
        (vec!["a1".to_owned(), "a3".to_owned()], false)
    );
    assert_eq!(plan("a3", ReportScope::Own).0[0], "a1");
    assert_eq!(plan("a3", ReportScope::Domain), (vec![], false));
}

/// Guards against a domain without attestations when peers consider a VM the aggregator and the VM itself does not.
#[test]
fn a_vm_that_is_asked_for_its_attestation_summary_aggregates_it() {
    let now = start();
    let mut planner = new_planner();
    planner.on_report_request(now, ReportScope::Domain);

    // A VM that does not aggregate asks only two peers.
    let (peers, _) = planned_requests(
        &mut planner,
        &attesting_vm("b4", &["a1", "b1", "b2", "b3", "b4"], now, 4),
        now,
        ReportScope::Own,
    );

    assert_eq!(peers, ["b1", "b2", "b3"]);
}

/// Guards against showing an operator VMs as missing only because their attestations were never requested.
#[test]
fn a_vm_where_an_operator_waits_requests_every_summary() {
    let now = start();
    let mut planner = new_planner();
    planner.set_awaiting_acceptance(true);

    let (peers, _) = planned_requests(&mut planner, &attesting_vm("a3", &VMS, now, 4), now, ReportScope::All);

    assert_eq!(peers, ["a1"]);
}

/// Guards against a failure domain without a delegate, and against an unreachable delegate that is never retried.
#[test]
fn the_next_member_replaces_the_delegate_until_it_responds_again() {
    let now = start();
    let (tracker, mut planner) = (attesting_vm("a2", &VMS, now, 4), new_planner());
    planner.on_no_response(now, &"a1".into());
    planner.on_no_response(now, &"a1".into());
    planner.on_no_response(now, &"b2".into());
    planner.on_no_response(now, &"b2".into());

    let (substitutes, head) = planned_requests(&mut planner, &tracker, now, ReportScope::Domain);
    let (retried, _) = planned_requests(&mut planner, &tracker, now + ms(2_500), ReportScope::Domain);
    planner.on_response(&"a1".into(), Revision(4));
    let (after_response, _) = planned_requests(&mut planner, &tracker, now + ms(4_500), ReportScope::Domain);

    assert_eq!(
        (substitutes, head),
        (["a3", "b3", "c1"].map(str::to_owned).to_vec(), true)
    );
    assert!(
        retried.contains(&"a1".to_owned()) && retried.contains(&"b2".to_owned()),
        "{retried:?}"
    );
    assert_eq!(after_response, Vec::<String>::new());
}

/// Guards against a restarted VM loading the settings from the table while a peer holds them.
#[test]
fn changes_are_fetched_from_the_peer_with_the_newest_revision() {
    let now = start();
    let (mut tracker, mut planner) = (started_vm("a3", &VMS), new_planner());
    tracker.on_report(now, now, &report("b1", 4));
    planner.on_response(&"a2".into(), Revision(3));
    planner.on_response(&"b1".into(), Revision(4));

    let first = planner.plan(now, &tracker, 1);
    let soon = planner.plan(now + ms(50), &tracker, 1);
    planner.on_no_changes(&ChangeSource::Peer("b1".into()));
    let second = planner.plan(now + ms(100), &tracker, 1);

    let changes = |from: &str| FetchRequest::Changes {
        from: ChangeSource::Peer(from.into()),
        since: Revision::ZERO,
    };
    assert!(first.contains(&changes("b1")), "{first:?}");
    assert!(
        !soon
            .iter()
            .any(|request| matches!(request, FetchRequest::Changes { .. }))
    );
    assert!(second.contains(&changes("a2")), "{second:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a malformed message from a peer crashing the process, and against reports that change in transit.
    #[test]
    fn any_bytes_decode_to_a_report_or_an_error(
        truncated_len in 0_usize..400,
        flip_at in 0_usize..400,
        flip in 1_u8..
    ) {
        let now = start();
        let mut tracker = attesting_vm("a1", &VMS, now, 4);
        for vm in VMS {
            tracker.on_report(now, now, &report(vm, 4));
        }
        let sent = tracker.report(now + ms(300));
        let bytes = sent.to_bytes();
        let mut damaged = bytes.clone();
        let flip_at = flip_at % bytes.len();
        damaged[flip_at] ^= flip;

        prop_assert_eq!(Report::from_bytes(&bytes), Ok(sent));
        prop_assert!(Report::from_bytes(&bytes[..truncated_len % bytes.len()]).is_err());
        prop_assert!(Report::from_bytes(&[&bytes[..], &[0]].concat()).is_err());
        if let Ok(read) = Report::from_bytes(&damaged) {
            tracker.on_report(now, now + ms(300), &read);
        }
        prop_assert_eq!(Report::from_bytes(&[9]), Err(ReportError::VersionUnknown(9)));
        prop_assert_eq!(ReportError::Malformed.code(), Code::PeerMessageInvalid);
    }
}
