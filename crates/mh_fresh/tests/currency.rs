//! Freshness status of a VM, and the evidence that confirms it.

mod common;

use common::{BOUND, attesting_vm, ms, report, roster, start, started_vm};
use mh_fresh::prelude::*;
use mh_types::{Incarnation, Revision};

const THREE: [&str; 3] = ["a", "b", "c"];

/// Guards against evidence that does not expire, and against a VM that treats it as recent after a pause.
#[test]
fn evidence_expires_during_a_pause() {
    let now = start();
    let tracker = attesting_vm("a", &THREE, now, 4);
    let gate = FreshnessGate::new(now);
    gate.publish(tracker.current_until(now));

    assert_eq!(
        tracker.status(now + ms(1_500)),
        FreshnessStatus::Current { age: ms(1_500) }
    );
    assert_eq!(
        tracker.status(now + ms(2_001)),
        FreshnessStatus::Unconfirmed { age: ms(2_001) }
    );
    assert!(gate.is_open(now + ms(1_999)) && !gate.is_open(now + ms(2_001)));
}

/// Guards against measuring the age of a response from its arrival: the request was sent before a pause of 3 s.
#[test]
fn response_age_counts_from_the_request() {
    let now = start();
    let mut tracker = attesting_vm("a", &THREE, now, 4);

    tracker.on_report(now + ms(10), now + ms(3_010), &report("b", 4));

    assert_eq!(
        tracker.status(now + ms(3_010)),
        FreshnessStatus::Unconfirmed { age: ms(3_000) }
    );
}

/// Guards against losing the age of relayed evidence.
#[test]
fn a_relayed_confirmation_keeps_its_age() {
    let now = start();
    let mut tracker = started_vm("z", &THREE);
    tracker.on_apply(now, Revision(4), None);
    let relayed = Report {
        confirmed_ms: Some(700),
        vouched_ms: None,
        ..report("b", 4)
    };

    tracker.on_report(now, now + ms(30), &relayed);

    assert_eq!(tracker.status(now + ms(30)), FreshnessStatus::Current { age: ms(730) });
    assert_eq!(tracker.report(now + ms(30)).confirmed_ms, Some(731));
}

/// Guards against a restarted VM that attests because of attestations made before its start.
///
/// `a` and `b` held revision 5; `a` restarted, and `d` relays an attestation that `b` made before the restart.
#[test]
fn evidence_from_before_the_start_does_not_let_a_vm_attest() {
    let (now, names) = (start(), ["a", "b", "c", "d"]);
    let mut tracker = started_vm("a", &names);
    tracker.on_apply(now, Revision(4), None);
    let old = Report {
        confirmed_ms: Some(500),
        ..report("d", 4)
    };

    tracker.on_report(now, now, &old);
    let (current, attests) = (tracker.status(now).is_current(), tracker.report(now).vouched_ms);
    tracker.on_report(now + ms(600), now + ms(600), &old);

    assert!(current, "evidence from before the start still confirms the VM");
    assert_eq!(attests, None);
    assert_eq!(tracker.report(now + ms(600)).vouched_ms, Some(0));
}

/// Guards against counting a restarted VM that is not yet current, or an attestation of its previous run.
#[test]
fn only_the_newest_run_that_attests_counts() {
    let now = start();
    let later = now + ms(3_000);
    let mut tracker = attesting_vm("a", &["a", "b", "c", "d"], now, 4);

    tracker.on_report(later, later, &report("b", 4));
    let restarted = Report {
        incarnation: Incarnation(2),
        vouched_ms: None,
        ..report("b", 0)
    };
    tracker.on_report(later, later, &restarted);
    tracker.on_report(later, later, &report("b", 4));
    tracker.on_report(later, later, &report("c", 4));

    assert!(!tracker.status(later).is_current(), "only two of four VMs attest");
}

/// Guards against a VM that draws conclusions from its roster although it may have missed roster changes.
#[test]
fn a_vm_that_is_behind_draws_no_conclusion() {
    let now = start();
    let later = now + ms(3_000);
    let mut tracker = attesting_vm("a", &THREE, now, 4);

    tracker.on_report(later, later, &report("b", 5));
    tracker.on_report(later, later, &report("c", 4));

    assert_eq!(
        tracker.status(later),
        FreshnessStatus::Behind {
            known: Revision(5),
            held: Revision(4)
        }
    );
    assert_eq!(tracker.report(later).confirmed_ms, Some(3_001));
}

/// Guards against treating a lost commit reply as "not committed", and against reporting that commit to peers.
#[test]
fn a_commit_of_unknown_outcome_counts_as_newer_until_it_is_resolved() {
    let now = start();
    let mut tracker = attesting_vm("a", &THREE, now, 4);

    tracker.on_commit_unknown(Revision(5));
    let unknown = (tracker.status(now), tracker.highest_known(), tracker.report(now).known);
    tracker.on_commit_resolved(Revision(5), false);
    let not_committed = tracker.status(now);
    tracker.on_commit_unknown(Revision(5));
    tracker.on_commit_resolved(Revision(5), true);

    assert_eq!(
        unknown,
        (
            FreshnessStatus::Behind {
                known: Revision(5),
                held: Revision(4)
            },
            Revision(5),
            Revision(4)
        )
    );
    assert!(not_committed.is_current());
    assert_eq!(
        tracker.status(now),
        FreshnessStatus::Behind {
            known: Revision(5),
            held: Revision(4)
        }
    );
}

/// Guards against replacing the held revision by an older one.
#[test]
fn an_older_revision_is_not_applied() {
    let now = start();
    let mut tracker = attesting_vm("a", &THREE, now, 4);

    tracker.on_apply(now, Revision(3), Some(roster(&["a"])));

    assert_eq!(tracker.held(), Revision(4));
    assert_eq!(tracker.roster().members().len(), 3);
}

/// Guards against a receiver with a different roster mapping an attestation summary to the wrong VMs.
#[test]
fn an_attestation_summary_is_read_only_with_the_same_members() {
    let now = start();
    let later = now + ms(3_000);
    let mut relay = attesting_vm("a1", &["a1", "b1", "b2", "c1"], now, 4);
    relay.on_report(later, later, &report("b1", 4));
    relay.on_report(later, later, &report("b2", 4));
    let relayed = relay.report(later);
    let mut same = attesting_vm("c1", &["a1", "b1", "b2", "c1"], now, 4);
    let mut other = attesting_vm("c1", &["a1", "b0", "b2", "c1"], now, 4);

    let own_only = Report {
        confirmed_ms: None,
        vouched_ms: None,
        ..relayed
    };
    same.on_report(later, later, &own_only);
    other.on_report(later, later, &own_only);

    assert!(same.status(later).is_current());
    assert!(!other.status(later).is_current(), "only two of four VMs attest");
}

/// Guards against a report that changes when it is encoded and decoded, and against a changed JSON format.
#[test]
fn a_report_round_trips_through_json_and_binary() {
    let now = start();
    let mut tracker = attesting_vm("a", &THREE, now, 4);
    tracker.on_report(now, now + ms(5), &report("b", 4));
    let sent = tracker.report(now + ms(9));

    let text = serde_json::to_string(&sent).unwrap();

    expect_test::expect![[r#"{"vm":"a","incarnation":1,"known":4,"accepted":4,"holding":{"h":4,"f":9,"s":0},"vouched_ms":0,"confirmed_ms":10,"sums":[{"t":8716586794990120857,"g":[{"m":[1],"a":0,"h":4,"f":9,"s":0}]},{"t":16332624673364404453,"g":[{"m":[1],"a":10,"h":4,"f":10000,"s":4}]}]}"#]]
    .assert_eq(&text);
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), sent);
    assert_eq!(Report::from_bytes(&sent.to_bytes()).unwrap(), sent);
    assert_eq!(tracker.bound(), BOUND);
}
