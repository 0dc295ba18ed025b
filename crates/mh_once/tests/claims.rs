//! Tests of claims of caller-supplied ids, claim batching, and the window of forwarded requests.

use std::collections::HashSet;
use std::time::Duration;

use mh_once::{
    BatchOutcome, BatchProgress, CallerChosenId, Claim, ClaimBatcher, ClaimLimits, ClaimRow, ClaimStep, Decision,
    FORWARD_WINDOW_SERIALS, ForwardId, ForwardWindow, OpId, Owner, PushOutcome, Router, RowKey, WriteOutcome,
};
use mh_types::{Code, Incarnation, OrgName, Run, VmName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

const LIMITS: ClaimLimits = ClaimLimits {
    write_interval: Duration::from_millis(100),
    max_batch: 3,
    max_pending: 8,
    max_wait: Duration::from_millis(500),
};

fn owner(start: Instant) -> Owner {
    Owner::new(VmName::from("vm-1"), Incarnation(5), start)
}

fn caller(n: usize) -> CallerChosenId {
    match OpId::parse(&format!("order-{n}"), Some(&OrgName::from("sales/acme"))) {
        Ok(OpId::Caller(id)) => id,
        other => panic!("{other:?}"),
    }
}

fn row(vm: &str, incarnation: u64) -> ClaimRow {
    ClaimRow {
        vm: VmName::from(vm),
        incarnation: Incarnation(incarnation),
        claimed_ms: 3,
    }
}

/// Guards against a claim whose outcome routes the operation to the wrong owner, or runs it while the outcome is
/// unknown.
#[test]
fn claim_outcome_determines_owner() {
    let start = Instant::now();
    let owner_unreachable = ClaimStep::Refuse(Code::OwnerUnreachable, Run::Unknown);
    let claim = || Claim::new(&owner(start), start + Duration::from_millis(9), &caller(1));
    let own = ClaimRow {
        claimed_ms: 9,
        ..row("vm-1", 5)
    };
    let cases = [
        (WriteOutcome::Committed, ClaimStep::Local(own)),
        (
            WriteOutcome::Conflict(Some(row("vm-1", 5))),
            ClaimStep::Local(row("vm-1", 5)),
        ),
        (
            WriteOutcome::Conflict(Some(row("vm-2", 5))),
            ClaimStep::Forward(row("vm-2", 5)),
        ),
        (WriteOutcome::Conflict(Some(row("vm-1", 4))), owner_unreachable),
        (
            WriteOutcome::Conflict(None),
            ClaimStep::Refuse(Code::RowUndecodable, Run::Unknown),
        ),
        (
            WriteOutcome::NotApplied(Code::TableUnreachable),
            ClaimStep::Refuse(Code::TableUnreachable, Run::NotRun),
        ),
        (WriteOutcome::Unknown, ClaimStep::ReadBack),
    ];

    for (outcome, step) in cases {
        assert_eq!(claim().on_outcome(outcome), step);
    }
    let mut unresolved = claim();
    let last = (0..9).map(|_| unresolved.on_outcome(WriteOutcome::Unknown)).last();
    assert_eq!(last, Some(ClaimStep::Refuse(Code::OutcomeUnknown, Run::NotRun)));
    assert_eq!(
        unresolved.on_outcome(WriteOutcome::Committed),
        last.unwrap(),
        "a refused claim must not run later"
    );
}

/// Guards against forwarding a forwarded operation again, and against a restarted VM that decides for its earlier
/// incarnation.
#[test]
fn forwarded_operation_is_not_forwarded_again() {
    let (vm, incarnation) = (VmName::from("vm-1"), Incarnation(5));
    let caller = OpId::Caller(caller(1));
    let owner_unreachable = Decision::Refuse(Code::OwnerUnreachable, Run::Unknown);

    assert_eq!(
        Router::decide_forwarded(&vm, incarnation, &caller, Some(&row("vm-1", 5))),
        Decision::Local
    );
    for row in [Some(row("vm-1", 4)), Some(row("vm-2", 5)), None] {
        assert_eq!(
            Router::decide_forwarded(&vm, incarnation, &caller, row.as_ref()),
            owner_unreachable
        );
    }
}

/// Guards against a conflict on one row that loses or runs the other claims of the write, and against an id that
/// appears twice in one write.
#[test]
fn conflict_settles_its_row_and_retries_other_claims() {
    let start = Instant::now();
    let mut batcher = ClaimBatcher::new(owner(start), LIMITS, start);
    let keys: Vec<_> = (0..3).map(|n| RowKey::new(&caller(n))).collect();
    for n in [0, 1, 2, 1] {
        assert_eq!(batcher.push(start, &caller(n)), PushOutcome::Pending(keys[n]));
    }

    let batch = batcher.poll(start).batch.unwrap();
    let progress = batcher.on_outcome(
        &batch.write_id,
        BatchOutcome::Conflict(vec![(keys[1], Some(row("vm-2", 7)))]),
    );
    let early = batcher.poll(start + Duration::from_millis(99)).batch;
    let second = batcher.poll(start + Duration::from_millis(100)).batch.unwrap();
    let lost = batcher.on_outcome(&second.write_id, BatchOutcome::Unknown);
    let found = batcher.on_outcome(&second.write_id, BatchOutcome::Committed);

    assert_eq!(batch.rows.iter().map(|(key, _)| *key).collect::<Vec<_>>(), keys);
    assert_eq!(progress.settled, vec![(keys[1], ClaimStep::Forward(row("vm-2", 7)))]);
    assert_eq!(early, None);
    assert_eq!(
        second.rows.iter().map(|(key, _)| *key).collect::<Vec<_>>(),
        vec![keys[0], keys[2]]
    );
    assert_eq!(
        lost,
        BatchProgress {
            settled: vec![],
            read_back: true
        }
    );
    assert!(
        found
            .settled
            .iter()
            .all(|(_, step)| matches!(step, ClaimStep::Local(_)))
    );
    assert_eq!((found.settled.len(), batcher.pending()), (2, 0));
    assert_eq!(
        batcher.on_outcome(&second.write_id, BatchOutcome::Committed),
        BatchProgress::default()
    );
}

/// Guards against an unbounded number or age of pending claims, and against endless retries after a conflict that names
/// no row.
#[test]
fn pending_claims_are_bounded_and_time_out() {
    let start = Instant::now();
    let mut batcher = ClaimBatcher::new(owner(start), LIMITS, start);
    for n in 0..8 {
        batcher.push(start, &caller(n));
    }

    assert_eq!(
        batcher.push(start, &caller(8)),
        PushOutcome::Refuse(Code::BudgetUsedUp, Run::NotRun)
    );
    let batch = batcher.poll(start).batch.unwrap();
    let refused = batcher.on_outcome(&batch.write_id, BatchOutcome::Conflict(vec![]));
    let late = batcher.poll(start + Duration::from_millis(501));

    let not_run = |code| move |(_, step): &(RowKey, ClaimStep)| *step == ClaimStep::Refuse(code, Run::NotRun);
    assert!(refused.settled.iter().all(not_run(Code::OutcomeUnknown)));
    assert!(late.settled.iter().all(not_run(Code::BudgetUsedUp)));
    assert_eq!(
        (refused.settled.len(), late.settled.len(), batcher.pending()),
        (3, 5, 0)
    );
}

/// Guards against a batcher that exceeds its write rate, or loses a claim between writes.
#[test]
fn write_rate_stays_within_limit() {
    let start = Instant::now();
    let limits = ClaimLimits {
        max_pending: 10_000,
        max_wait: Duration::from_hours(1),
        ..LIMITS
    };
    let mut batcher = ClaimBatcher::new(owner(start), limits, start);
    let (mut writes, mut settled) = (0, 0);

    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if ms % 40 == 0 {
            batcher.push(now, &caller(ms as usize));
        }
        if let Some(batch) = batcher.poll(now).batch {
            writes += 1;
            settled += batcher
                .on_outcome(&batch.write_id, BatchOutcome::Committed)
                .settled
                .len();
        }
    }

    assert!(writes <= 1 + 10 * 10, "{writes} writes in 10 s");
    assert_eq!(settled + batcher.pending(), 250);
    assert!(batcher.pending() <= 3);
}

/// Guards against admitting a duplicate of a forwarded request, and against rejecting a new request within the window.
#[test]
fn forward_window_matches_set_model() {
    let step = (
        0..2_u64,
        prop_oneof![0..9_000_u64, 8_000..8_200_u64, Just(1 << 40), Just(u64::MAX)],
    );
    let cfg = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(cfg, rng)
        .run(&prop::collection::vec(step, 1..200), |steps| {
            let mut window = ForwardWindow::new(1);
            let mut seen = HashSet::new();
            let mut highest = (0, 0);
            for (incarnation, serial) in steps {
                let id = ForwardId {
                    vm: VmName::from("vm-2"),
                    incarnation: Incarnation(incarnation),
                    serial,
                };
                let admitted = window.admit(&id);
                let fresh = !seen.contains(&(incarnation, serial));
                let in_window = incarnation > highest.0
                    || incarnation == highest.0 && serial.saturating_add(FORWARD_WINDOW_SERIALS) > highest.1;
                prop_assert_eq!(admitted, fresh && in_window && serial != u64::MAX);
                // A refused request of a newer incarnation still shows that the older incarnation has ended.
                highest = highest.max((incarnation, 0));
                if admitted {
                    seen.insert((incarnation, serial));
                    highest = highest.max((incarnation, serial));
                }
            }
            let unknown_sender = ForwardId {
                vm: VmName::from("vm-3"),
                incarnation: Incarnation(1),
                serial: 0,
            };
            prop_assert!(
                !window.admit(&unknown_sender),
                "a sender beyond `max_senders` was admitted"
            );
            Ok(())
        })
        .unwrap();
}
