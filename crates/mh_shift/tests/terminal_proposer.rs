//! Agreement on a single terminal state.

use std::time::Duration;

use jiff::Timestamp;
use mh_shift::{
    Change, EndRow, Rows, Settings, TakeBackReason, TerminalProposer, TerminalState, VmContext, Write, WriteOutcome,
};
use mh_types::{DomainName, Incarnation, VmName};
use tokio::time::Instant;

fn terminal(vm: &str) -> TerminalProposer {
    let context = VmContext {
        vm: VmName::from(vm),
        incarnation: Incarnation(1),
        domain: DomainName::from("d0"),
        rank: 0,
        routes: vec![],
        domains: vec![],
    };
    TerminalProposer::new(wall("12:10:00"), &context, &Settings::default())
}

fn wall(time: &str) -> Timestamp {
    format!("2026-12-04T{time}Z").parse().expect("a valid time")
}

fn end_of(write: &Write) -> EndRow {
    match &write.change {
        Change::End(row) => row.clone(),
        Change::Step(_) => panic!("a terminal write"),
    }
}

/// Guards against proposing `Done` too late for every VM to learn of it before the deadline.
#[test]
fn done_is_not_proposed_within_the_margin() {
    let now = Instant::now();
    let mut t = terminal("a");
    t.request(TerminalState::Done);

    assert!(t.propose(now, wall("12:09:54.6"), 6).is_none());
    let write = t
        .propose(now, wall("12:09:54.4"), 6)
        .expect("a write before the margin");

    assert_eq!(write.expect_step, Some(6));
    assert_eq!(write.not_after, Some(wall("12:09:54.5")));
}

/// Guards against a shift that stays without a terminal state when no VM could finish it.
#[test]
fn taken_back_is_proposed_when_overdue() {
    let now = Instant::now();
    let mut t = terminal("a");

    assert!(t.propose(now, wall("12:09:56"), 1).is_none());
    let write = t
        .propose(now, wall("12:09:57.1"), 1)
        .expect("a write within the margin");

    assert_eq!(end_of(&write).end, TerminalState::TakenBack(TakeBackReason::Deadline));
}

/// Guards against a VM that takes a write with unknown outcome for committed, or for failed.
#[test]
fn unknown_outcome_is_read_back_by_id() {
    let now = Instant::now();
    let mut t = terminal("a");
    t.request(TerminalState::Done);
    let write = t.propose(now, wall("12:00:00"), 6).expect("a write");

    t.on_outcome(&write.id, &WriteOutcome::Unknown);
    assert_eq!(t.known(), None);
    assert!(t.propose(now, wall("12:00:01"), 6).is_none());
    assert_eq!(t.read_back(now), Some(write.id.clone()));
    t.on_outcome(&write.id, &WriteOutcome::Committed);

    assert_eq!(t.known().map(|r| &r.end), Some(&TerminalState::Done));
}

/// Guards against a late `Done` that replaces `TakenBack`: the second write conflicts with the row, and both VMs accept
/// the existing state.
#[test]
fn late_done_conflicts_with_taken_back() {
    let now = Instant::now();
    let (mut a, mut b) = (terminal("a"), terminal("b"));
    a.request(TerminalState::Done);
    let done = a.propose(now, wall("12:09:54"), 6).expect("a write");
    let back = b.propose(now, wall("12:09:58"), 6).expect("a write");

    b.on_outcome(&back.id, &WriteOutcome::Committed);
    let rows = Rows {
        step: None,
        end: Some(end_of(&back)),
    };
    a.on_outcome(&done.id, &WriteOutcome::Conflict(rows));

    assert_eq!(a.known(), b.known());
    assert_eq!(
        a.known().map(|r| r.end.clone()),
        Some(TerminalState::TakenBack(TakeBackReason::Deadline))
    );
}

/// Guards against an operator's take-back that waits for a `Done` without a reply, or is replaced by a later request.
#[test]
fn take_back_request_overrides_done() {
    let now = Instant::now();
    let mut t = terminal("a");
    t.request(TerminalState::Done);
    t.propose(now, wall("12:00:00"), 6).expect("a write");

    t.request(TerminalState::TakenBack(TakeBackReason::Operator));
    t.request(TerminalState::Done);
    let write = t.propose(now, wall("12:00:00.1"), 6).expect("a second write");

    assert_eq!(end_of(&write).end, TerminalState::TakenBack(TakeBackReason::Operator));
    assert!(
        t.propose(now + Duration::from_millis(1), wall("12:00:00.2"), 6)
            .is_none()
    );
}

/// Guards against VMs that disagree on the terminal state when news of a write arrives late. Timers at each VM, without
/// the shared row, disagree in this case.
#[test]
fn vms_agree_where_local_timers_disagree() {
    let timer = |now: Timestamp, done_learned_at: Option<Timestamp>| {
        if done_learned_at.is_some_and(|at| at <= now.min(wall("12:10:00"))) {
            TerminalState::Done
        } else {
            TerminalState::TakenBack(TakeBackReason::Deadline)
        }
    };
    let now = Instant::now();
    let (mut a, mut b) = (terminal("a"), terminal("b"));
    a.request(TerminalState::Done);

    // A learns at 12:09:59 that its write took effect, and cannot reach B before 12:10:01.
    let done = a.propose(now, wall("12:09:50"), 6).expect("a write");
    a.on_outcome(&done.id, &WriteOutcome::Committed);
    let back = b.propose(now, wall("12:09:58"), 6).expect("a write");
    b.on_outcome(
        &back.id,
        &WriteOutcome::Conflict(Rows {
            step: None,
            end: Some(end_of(&done)),
        }),
    );

    let ends = [Some(wall("12:09:59")), Some(wall("12:10:01"))].map(|at| timer(wall("12:10:02"), at));
    assert_ne!(ends[0], ends[1]);
    assert_eq!(a.known(), b.known());
    assert_eq!(a.known().map(|r| &r.end), Some(&TerminalState::Done));
}
