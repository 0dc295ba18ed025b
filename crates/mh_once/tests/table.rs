//! Tests of the owner's operation table: attempt life cycle, limits, lifetime, waiting and concurrency.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use mh_once::prelude::*;
use mh_types::{Code, Incarnation, OrgName, Run, VmName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

const LIFETIME: Duration = Duration::from_secs(10);

fn table(start: Instant, max_entries: usize) -> OpTable {
    let owner = Owner::new(VmName::from("vm-1"), Incarnation(5), start);
    let limits = TableLimits {
        max_entries,
        max_answer_bytes: 16 * 600,
        max_one_answer_bytes: 400,
        lifetime: LIFETIME,
    };
    OpTable::new(owner, limits)
}

fn id(issued: Duration, nonce: u64) -> OpId {
    let issued_ms = issued.as_millis() as u64;
    OpId::Issued(IssuedId {
        vm: VmName::from("vm-1"),
        incarnation: Incarnation(5),
        issued_ms,
        nonce,
    })
}

fn fingerprint(n: u8) -> Fingerprint {
    Fingerprint::new(None, "POST", "/orders", &[n])
}

fn answer(len: usize) -> Answer {
    Answer {
        status: 201,
        headers: vec![("a".into(), "b".into())],
        body: Bytes::from(vec![b'x'; len]),
    }
}

fn attempt(begin: BeginOutcome) -> Attempt<Ready> {
    match begin {
        BeginOutcome::Begin(attempt) => attempt,
        other => panic!("expected an attempt, got {other:?}"),
    }
}

/// Guards against an unsent attempt whose drop blocks its id, and against a sent one whose drop releases it.
#[test]
fn drop_releases_the_id_of_an_unsent_attempt_only() {
    let now = Instant::now();
    let table = table(now, 4);
    let id = id(Duration::ZERO, 1);

    drop(attempt(table.begin(now, &id, fingerprint(1))));
    let (code, run) = attempt(table.begin(now, &id, fingerprint(1)))
        .abandon()
        .refusal(Code::NoServer);
    let panicked = std::panic::catch_unwind(|| {
        let _sending = attempt(table.begin(now, &id, fingerprint(1))).send();
        panic!("the handler failed");
    });

    assert_eq!((code, run), (Code::NoServer, Run::NotRun));
    assert!(panicked.is_err());
    assert_eq!(
        table.begin(now, &id, fingerprint(1)).refusal(),
        Some((Code::OperationUnresolved, Run::Unknown))
    );
}

/// Guards against a full table that evicts an unexpired record, or does not free space when lifetimes expire.
#[test]
fn full_table_refuses_new_ids_and_keeps_old_ones() {
    let start = Instant::now();
    let table = table(start, 3);
    let ids: Vec<_> = (0..4).map(|n| id(Duration::ZERO, n)).collect();
    attempt(table.begin(start, &ids[0], fingerprint(1)))
        .send()
        .finish(start, answer(10));
    attempt(table.begin(start, &ids[1], fingerprint(1)))
        .send()
        .unknown(start);
    let running = attempt(table.begin(start, &ids[2], fingerprint(1))).send();

    assert_eq!(
        table.begin(start, &ids[3], fingerprint(1)).refusal(),
        Some((Code::OperationTableFull, Run::NotRun))
    );
    assert!(matches!(
        table.begin(start, &ids[0], fingerprint(1)),
        BeginOutcome::Done(_)
    ));
    assert!(matches!(
        table.begin(start, &ids[1], fingerprint(1)),
        BeginOutcome::Unresolved
    ));
    assert!(matches!(
        table.begin(start, &ids[2], fingerprint(1)),
        BeginOutcome::InProgress(_)
    ));

    let later = start + LIFETIME;
    let fresh = attempt(table.begin(later, &id(LIFETIME, 9), fingerprint(1)));
    assert_eq!(table.usage().entries, 2, "the running attempt and the new one stay");
    running.finish(later, answer(10));
    drop(fresh);
    assert_eq!(table.usage(), mh_once::TableUsage::default());
}

/// Guards against a request that read its clock before a pause and reruns an operation whose record was removed
/// meanwhile.
#[test]
fn stale_clock_reading_does_not_rerun_an_expired_id() {
    let start = Instant::now();
    let table = table(start, 4);
    let id = id(Duration::ZERO, 1);
    attempt(table.begin(start, &id, fingerprint(1)))
        .send()
        .finish(start, answer(10));

    table.on_tick(start + LIFETIME);

    assert!(matches!(
        table.begin(start + LIFETIME / 2, &id, fingerprint(1)),
        BeginOutcome::Expired
    ));
}

/// Guards against a table that decides an id of another VM or an earlier incarnation, an id not yet issued, or an
/// unclaimed id.
#[test]
fn table_decides_only_its_own_ids() {
    let now = Instant::now();
    let table = table(now, 4);
    let OpId::Issued(own_id) = id(Duration::ZERO, 1) else {
        unreachable!()
    };
    let other_vm = OpId::Issued(IssuedId {
        vm: VmName::from("vm-2"),
        ..own_id.clone()
    });
    let other_incarnation = OpId::Issued(IssuedId {
        incarnation: Incarnation(4),
        ..own_id
    });
    let caller = OpId::parse("order-17", Some(&OrgName::from("sales/acme"))).unwrap();
    let OpId::Caller(caller_id) = &caller else {
        unreachable!()
    };
    let row = ClaimRow {
        vm: VmName::from("vm-1"),
        incarnation: Incarnation(4),
        claimed_ms: 0,
    };

    for id in [&other_vm, &other_incarnation, &id(Duration::from_millis(1), 1), &caller] {
        assert!(
            matches!(table.begin(now, id, fingerprint(1)), BeginOutcome::NotOwner),
            "{id:?}"
        );
    }
    assert!(matches!(
        table.begin_claimed(now, caller_id, &row, fingerprint(1)),
        BeginOutcome::NotOwner
    ));
    let row = ClaimRow {
        incarnation: Incarnation(5),
        ..row
    };
    drop(attempt(table.begin_claimed(now, caller_id, &row, fingerprint(1))).send());
    assert!(matches!(
        table.begin(now, &caller, fingerprint(1)),
        BeginOutcome::Unresolved
    ));
    assert!(matches!(
        table.begin_claimed(now + LIFETIME, caller_id, &row, fingerprint(1)),
        BeginOutcome::Expired
    ));
}

/// Guards against kept answers that exceed the byte limit, and against an evicted answer whose operation runs again.
#[test]
fn answers_are_evicted_to_stay_within_the_byte_limit() {
    let now = Instant::now();
    let table = table(now, 500);
    for n in 0..200 {
        attempt(table.begin(now, &id(Duration::ZERO, n), fingerprint(1)))
            .send()
            .finish(now, answer(100));
        assert!(table.usage().answer_bytes <= 16 * 600, "{:?}", table.usage());
    }

    let repeats = (0..200).map(|n| table.begin(now, &id(Duration::ZERO, n), fingerprint(1)));
    let (held, gone): (Vec<_>, Vec<_>) = repeats.partition(|begin| matches!(begin, BeginOutcome::Done(_)));

    assert!(held.len() >= 16 && gone.iter().all(|begin| matches!(begin, BeginOutcome::AnswerGone)));
    assert_eq!((held.len(), table.usage().entries), (table.usage().answers, 200));
}

/// Guards against a kept answer that keeps the connection's whole read buffer in memory, which the byte limit does not
/// count.
#[test]
fn kept_answer_does_not_retain_the_read_buffer() {
    let now = Instant::now();
    let table = table(now, 4);
    let buf = Bytes::from(vec![b'x'; 1 << 20]);
    let body = buf.slice(100..110);

    attempt(table.begin(now, &id(Duration::ZERO, 1), fingerprint(1)))
        .send()
        .finish(now, Answer { body, ..answer(0) });

    assert!(buf.is_unique());
}

/// Guards against a concurrent repeat that misses the first answer, is not notified of an abandoned attempt, or waits
/// forever.
#[tokio::test]
async fn repeat_waits_for_the_first_attempt() {
    let now = Instant::now();
    let table = table(now, 4);
    let id = id(Duration::ZERO, 1);
    let waiter = |begin| match begin {
        BeginOutcome::InProgress(waiter) => waiter,
        other => panic!("expected a wait, got {other:?}"),
    };

    let first = attempt(table.begin(now, &id, fingerprint(1)));
    let abandoned = waiter(table.begin(now, &id, fingerprint(1)));
    drop(first);
    let second = attempt(table.begin(now, &id, fingerprint(1))).send();
    let answered = waiter(table.begin(now, &id, fingerprint(1)));
    assert!(matches!(table.begin(now, &id, fingerprint(2)), BeginOutcome::Mismatch));
    assert_eq!(answered.peek(), None);
    // An answer too large to keep still reaches the waiters.
    let first = second.finish(now, answer(1_000));

    assert_eq!(abandoned.wait().await, WaitOutcome::Abandoned);
    assert_eq!(answered.wait().await, WaitOutcome::Answer(first));
    assert!(matches!(
        table.begin(now, &id, fingerprint(1)),
        BeginOutcome::AnswerGone
    ));
    let third = self::id(Duration::ZERO, 2);
    let in_flight = attempt(table.begin(now, &third, fingerprint(1))).send();
    let unknown = waiter(table.begin(now, &third, fingerprint(1)));
    drop(in_flight);
    assert_eq!(unknown.wait().await, WaitOutcome::Unknown);
}

/// Guards against threads racing for one id that get more than one attempt, and against a wrong entry count.
#[test]
fn racing_threads_get_one_attempt_per_id() {
    let now = Instant::now();
    let table = table(now, 200);
    let runs = Arc::new((0..200).map(|_| AtomicUsize::new(0)).collect::<Vec<_>>());

    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (table, runs) = (table.clone(), Arc::clone(&runs));
            scope.spawn(move || {
                for (n, count) in runs.iter().enumerate() {
                    let id = id(Duration::ZERO, n as u64);
                    if thread == 0 {
                        drop(table.begin(now, &id, fingerprint(1)));
                    } else if let BeginOutcome::Begin(attempt) = table.begin(now, &id, fingerprint(1)) {
                        count.fetch_add(1, Ordering::Relaxed);
                        attempt.send().finish(now, answer(1));
                    }
                }
            });
        }
    });

    assert!(runs.iter().all(|count| count.load(Ordering::Relaxed) <= 1));
    let done = runs.iter().map(|count| count.load(Ordering::Relaxed)).sum::<usize>();
    assert_eq!((table.usage().entries, table.usage().running), (done, 0));
}

/// State of an id in the reference model, which has no limits and keeps every id.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Model {
    Running,
    Answered,
    Unknown,
}

/// Guards against a table that differs from an unbounded reference model in anything other than its documented limits.
#[test]
fn table_matches_unbounded_model() {
    let step = (0..10_u64, 0..6_u8, 0..1_500_u64, 0..500_usize, 1..=2_u8);
    let cfg = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    TestRunner::new_with_rng(cfg, rng)
        .run(&prop::collection::vec(step, 1..120), |steps| {
            let start = Instant::now();
            let table = table(start, 5);
            let mut now = start;
            let mut model: HashMap<u64, (Model, u8, usize)> = HashMap::new();
            let mut ready: HashMap<u64, Attempt<Ready>> = HashMap::new();
            let mut in_flight: HashMap<u64, Attempt<InFlight>> = HashMap::new();
            for (n, action, wait, len, body) in steps {
                now += Duration::from_millis(wait);
                // Ids are issued one second apart, so that they expire at different times.
                let issued = Duration::from_secs(n);
                let age = now.saturating_duration_since(start + issued);
                match action {
                    0 => {
                        if ready.remove(&n).is_some() {
                            model.remove(&n);
                        }
                    }
                    1 => drop(ready.remove(&n).map(|attempt| in_flight.insert(n, attempt.send()))),
                    2 if in_flight.contains_key(&n) => {
                        in_flight.remove(&n).unwrap().finish(now, answer(len));
                        model.get_mut(&n).unwrap().0 = Model::Answered;
                        model.get_mut(&n).unwrap().2 = len;
                    }
                    3 if in_flight.contains_key(&n) => {
                        drop(in_flight.remove(&n));
                        model.get_mut(&n).unwrap().0 = Model::Unknown;
                    }
                    _ => {
                        let prior = model.get(&n).copied();
                        match table.begin(now, &id(issued, n), fingerprint(body)) {
                            BeginOutcome::NotOwner => prop_assert!(now < start + issued),
                            BeginOutcome::Expired => prop_assert!(age >= LIFETIME),
                            _ if age >= LIFETIME => prop_assert!(false, "an id older than its lifetime was decided"),
                            BeginOutcome::Mismatch => prop_assert!(prior.is_some_and(|(_, first, _)| first != body)),
                            BeginOutcome::Full => {
                                prop_assert_eq!(prior, None);
                                prop_assert!(table.usage().entries >= 5);
                            }
                            BeginOutcome::Begin(attempt) => {
                                prop_assert_eq!(prior, None);
                                model.insert(n, (Model::Running, body, 0));
                                ready.insert(n, attempt);
                            }
                            BeginOutcome::InProgress(_) => prop_assert_eq!(prior, Some((Model::Running, body, 0))),
                            BeginOutcome::Done(answer) => {
                                prop_assert_eq!(prior, Some((Model::Answered, body, answer.body.len())));
                            }
                            BeginOutcome::AnswerGone => prop_assert!(matches!(prior, Some((Model::Answered, ..)))),
                            BeginOutcome::Unresolved => prop_assert!(matches!(prior, Some((Model::Unknown, ..)))),
                        }
                    }
                }
                let usage = table.usage();
                prop_assert!(usage.entries <= 5 && usage.answer_bytes <= 16 * 600, "{:?}", usage);
                prop_assert_eq!(usage.running, ready.len() + in_flight.len());
            }
            Ok(())
        })
        .unwrap();
}
