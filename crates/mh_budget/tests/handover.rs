//! When slots that follow from a list of VMs may be used by a new owner.

use std::time::Duration;

use mh_budget::{EarlierUse, Handover, HandoverMsg, LendingSettings, StageNumber};
use mh_types::VmName;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Stage of the first list.
const STAGE: StageNumber = 1;

fn names(vms: &[&str]) -> Vec<VmName> {
    vms.iter().map(|vm| (*vm).into()).collect()
}

fn handover(now: Instant, local: &str, vms: &[&str]) -> Handover {
    let mut handover = Handover::new(&LendingSettings::default());
    handover.set_list(now, &local.into(), names(vms).iter());
    handover
}

fn wait() -> Duration {
    LendingSettings::default().takeover_wait()
}

fn nearly_wait() -> Duration {
    wait().saturating_sub(SECOND / 10)
}

/// Guards against a VM that uses slots which another one with a different list, or with a loan, still uses.
#[test]
fn slots_wait_for_the_lists_and_loans_of_others() {
    let now = Instant::now();
    let fresh = handover(now, "b", &["a", "b"]).msg(now, EarlierUse::Ended, true);
    let other_list = handover(now, "b", &["b"]).msg(now, EarlierUse::Ended, true);
    let borrowing = handover(now, "b", &["a", "b"]).msg(now, EarlierUse::BorrowsFromReceiver, true);
    let settled_after = |msg: &HandoverMsg, time: Duration| {
        let mut handover = handover(now, "a", &["b", "a"]);
        handover.on_tick(now, |_| false);
        handover.on_msg(now, &"b".into(), msg);
        handover.is_settled(STAGE, now + time)
    };

    assert!(settled_after(&fresh, Duration::ZERO));
    assert!(!settled_after(&other_list, SECOND * 3600));
    assert!(!settled_after(&borrowing, nearly_wait()));
    assert!(settled_after(&borrowing, wait()));
}

/// Guards against slots of a VM that left the list which are used before its loans have ended.
#[test]
fn slots_of_a_vm_that_left_wait_for_its_loans() {
    let now = Instant::now();
    let mut handover = handover(now, "a", &["a", "b"]);

    let stage = handover.set_list(now, &"a".into(), names(&["a"]).iter());

    assert!(!handover.is_settled(stage, now + nearly_wait()));
    assert!(handover.is_settled(stage, now + wait()));
}

/// Guards against slots that nobody uses because a VM is gone, and against taking one for gone that may only be paused.
#[test]
fn a_vm_that_is_gone_is_waited_for_as_long_as_a_pause_may_last() {
    let now = Instant::now();
    let mut handover = handover(now, "a", &["a", "b"]);
    handover.on_tick(now, |_| true);

    handover.on_tick(now + nearly_wait(), |_| true);
    let is_early = handover.is_settled(STAGE, now + wait());
    handover.on_tick(now + wait(), |_| true);

    assert!(!is_early);
    assert!(handover.is_settled(STAGE, now + wait()));
}

/// Guards against a VM of an earlier version, which answers no question, that is waited for although it has this VM in its
/// list.
#[test]
fn a_vm_of_an_earlier_version_is_asked_in_another_way() {
    let now = Instant::now();
    let mut handover = handover(now, "a", &["a", "b"]);
    handover.on_tick(now, |_| false);
    let later = now + SECOND * 2;

    let unanswered: Vec<VmName> = handover.unanswered(later).cloned().collect();
    handover.on_listed_by(later, &"b".into());

    assert_eq!(unanswered, names(&["b"]));
    assert!(!handover.is_settled(STAGE, later));
    assert!(handover.is_settled(STAGE, later + wait()));
}

/// Guards against slots that nobody uses for as long as the list goes on changing.
#[test]
fn later_changes_of_the_list_do_not_delay_earlier_ones() {
    let now = Instant::now();
    let mut handover = handover(now, "a", &["a", "b"]);
    let confirmed = self::handover(now, "b", &["b", "a"]).msg(now, EarlierUse::Ended, false);
    handover.on_msg(now, &"b".into(), &confirmed);

    let second = handover.set_list(now, &"a".into(), names(&["a", "b", "c"]).iter());
    let third = handover.set_list(now, &"a".into(), names(&["a", "b", "c", "d"]).iter());
    let later = self::handover(now, "b", &["a", "b", "c", "d"]).msg(now, EarlierUse::Ended, false);
    handover.on_msg(now, &"b".into(), &later);

    assert!(handover.is_settled(STAGE, now));
    assert!(!handover.is_settled(second, now));
    assert!(!handover.is_settled(third, now));
    for vm in ["c", "d"] {
        handover.on_msg(now, &vm.into(), &later);
    }
    assert!(handover.is_settled(second, now));
    assert!(handover.is_settled(third, now));
}

/// Guards against slots that wait because the lists of VMs that have used none change, as while many VMs are started; and
/// against slots that do not wait for loans which a VM has since an earlier list.
#[test]
fn a_changed_list_delays_slots_only_after_an_earlier_use() {
    let now = Instant::now();
    let mut other = handover(now, "b", &["b"]);
    other.set_list(now, &"b".into(), names(&["a", "b"]).iter());
    let settled_after = |earlier_use: EarlierUse, time: Duration| {
        let mut handover = handover(now, "a", &["a", "b"]);
        handover.on_tick(now, |_| false);
        handover.on_msg(now, &"b".into(), &other.msg(now, earlier_use, false));
        handover.is_settled(STAGE, now + time)
    };

    assert!(settled_after(EarlierUse::Ended, Duration::ZERO));
    assert!(!settled_after(EarlierUse::Possible, nearly_wait()));
    assert!(settled_after(EarlierUse::Possible, wait()));
}

/// Guards against waiting for the longest time that a loan may last, although it was returned sooner.
#[test]
fn a_vm_is_asked_again_until_its_earlier_use_has_ended() {
    let now = Instant::now();
    let later = now + SECOND;
    let mut handover = handover(now, "a", &["a", "b"]);
    let other = self::handover(now, "b", &["a", "b"]);
    handover.on_tick(now, |_| false);
    handover.on_msg(
        now,
        &"b".into(),
        &other.msg(now, EarlierUse::BorrowsFromReceiver, false),
    );

    let asked = handover.on_tick(later, |_| false);
    handover.on_msg(later, &"b".into(), &other.msg(later, EarlierUse::Ended, false));

    assert_eq!(asked.to_vec(), names(&["b"]));
    assert!(handover.is_settled(STAGE, later));
    assert!(handover.on_tick(later + SECOND, |_| false).is_empty());
}
