//! Which requests are quarantined, for how long, and what clears them.

use std::time::Duration;

use mh_poison::{AnsweredTable, CrashGuard, Fingerprint, Msg, ServerRun};
use mh_types::VmName;
use proptest::prelude::*;
use tokio::time::Instant;

const MINUTE: Duration = Duration::from_mins(1);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(&[b"GET", b"shop.example", name.as_bytes(), b"coop"])
}

fn server(n: u64) -> ServerRun {
    ServerRun::new("s", n)
}

fn guard() -> CrashGuard {
    CrashGuard::new("vm-0".into())
}

/// Crashes server `n` with the requests.
fn crash(guard: &mut CrashGuard, now: Instant, n: u64, lost: &[Fingerprint]) {
    guard.on_crash(now, server(n), lost, &AnsweredTable::new(now));
}

/// Guards against a request that crashes server after server.
#[test]
fn a_request_is_quarantined_after_three_crashes() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));

    for n in 0..3 {
        assert!(guard.admit(now, &deadly).is_ok());
        crash(&mut guard, now, n, &[deadly]);
    }

    assert_eq!(guard.admit(now, &deadly).unwrap_err().retry_after, MINUTE);
    assert!(guard.admit(now + MINUTE, &deadly).is_ok());
}

/// Guards against a quarantine for one crash of one server that several VMs or attempts report.
#[test]
fn reports_of_the_same_crash_count_once() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));

    for _ in 0..10 {
        crash(&mut guard, now, 1, &[deadly]);
    }

    assert!(guard.admit(now, &deadly).is_ok());
}

/// Guards against crashes that are taken for one because the VMs have not read yet that the server was restarted.
#[test]
fn a_server_that_crashes_again_counts_again() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));

    for n in 0..3 {
        assert!(guard.admit(now, &deadly).is_ok());
        crash(&mut guard, now + Duration::from_millis(n * 1200), 1, &[deadly]);
    }

    assert!(guard.admit(now + Duration::from_millis(2400), &deadly).is_err());
}

/// Guards against a request that crashes servers again after each quarantine, and against one that is refused for ever
/// although the servers have been repaired.
#[test]
fn a_further_crash_doubles_the_quarantine_up_to_an_hour() {
    let (mut guard, mut now, deadly) = (guard(), Instant::now(), request("/deadly"));
    for n in 0..3 {
        crash(&mut guard, now, n, &[deadly]);
    }
    let mut expected = MINUTE;

    for n in 3..12 {
        assert_eq!(guard.admit(now, &deadly).unwrap_err().retry_after, expected);
        now += expected;
        guard.on_tick(now, 0);
        assert!(guard.admit(now, &deadly).is_ok());
        crash(&mut guard, now, n, &[deadly]);
        expected = (expected * 2).min(MINUTE * 60);
    }
}

/// Guards against records that are kept for ever.
#[test]
fn records_end() {
    let (mut guard, now) = (guard(), Instant::now());
    crash(&mut guard, now, 0, &[request("/once")]);
    for n in 0..3 {
        crash(&mut guard, now, n, &[request("/deadly")]);
    }

    guard.on_tick(now + MINUTE * 10, 0);
    assert_eq!(guard.len(), 1);
    guard.on_tick(now + MINUTE * 11, 0);
    assert!(guard.is_empty());
}

/// Guards against refusing the requests that ran beside a request that crashes servers.
#[test]
fn requests_beside_a_suspect_are_not_held_responsible() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));
    let others: Vec<Fingerprint> = (0..20).map(|n| request(&format!("/other/{n}"))).collect();
    crash(&mut guard, now, 0, &[deadly]);

    for n in 1..9 {
        let mut lost = others.clone();
        lost.push(deadly);
        crash(&mut guard, now, n, &lost);
    }

    assert!(guard.admit(now, &deadly).is_err());
    assert!(others.iter().all(|other| guard.admit(now, other).is_ok()));
    assert!(others.iter().all(|other| guard.may_retry(other)));
}

/// Guards against refusing a popular request that was hit by crashes of other causes.
#[test]
fn an_answer_clears_a_request() {
    let (mut guard, now, popular) = (guard(), Instant::now(), request("/popular"));
    let answered = AnsweredTable::new(now);
    let later = |ms| now + Duration::from_millis(ms);

    for n in 0..20 {
        guard.on_crash(later(n * 1000), server(n), &[popular], &answered);
        answered.record(later(n * 1000 + 500), &popular);
    }
    assert!(guard.admit(later(20_000), &popular).is_ok());

    for n in 20..24 {
        guard.on_crash(later(n * 1000), server(n), &[popular], &answered);
    }
    assert!(guard.admit(later(24_000), &popular).is_err());
    guard.on_answer(&popular);
    assert!(guard.admit(later(24_000), &popular).is_ok());
}

/// Guards against a quarantine that one VM begins although another one sees answers to the request.
#[test]
fn a_vm_that_saw_an_answer_objects() {
    let (now, popular) = (Instant::now(), request("/popular"));
    let mut counting = guard();
    counting.set_vms(vec!["vm-0".into(), "vm-1".into()]);
    let mut other = CrashGuard::new("vm-1".into());
    other.set_vms(vec!["vm-0".into(), "vm-1".into()]);
    let answered = AnsweredTable::new(now);
    let later = |s| now + Duration::from_secs(s);
    answered.record(later(3), &popular);
    let mut out = Vec::new();
    for n in 0..3 {
        out = counting.on_crash(later(n * 2), server(n), &[popular], &AnsweredTable::new(now));
    }
    let told = out.into_iter().find(|(_, msg)| matches!(msg, Msg::Quarantine(_)));

    let objection = other.on_msg(later(4), told.expect("the other VM is told").1, &answered);

    assert!(other.admit(later(4), &popular).is_ok());
    let [(to, msg)] = &objection[..] else {
        panic!("{objection:?}")
    };
    assert_eq!(*to, VmName::from("vm-0"));
    counting.on_msg(later(4), msg.clone(), &AnsweredTable::new(now));
    assert!(counting.admit(later(4), &popular).is_ok());
}

/// Guards against one attempt of a caller that takes down one server after the other.
#[test]
fn a_suspect_is_not_repeated_at_another_server() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));

    crash(&mut guard, now, 0, &[deadly]);
    assert!(guard.may_retry(&deadly));
    crash(&mut guard, now, 1, &[deadly]);

    assert!(!guard.may_retry(&deadly));
    assert!(guard.admit(now, &deadly).is_ok());
}

/// Guards against a caller that gets another caller's request refused.
#[test]
fn callers_do_not_share_a_fingerprint() {
    let of = |parts: [&str; 2]| Fingerprint::of(&parts.map(str::as_bytes));

    assert_ne!(of(["/a", "coop"]), of(["/a", "small"]));
    assert_ne!(of(["/ac", "oop"]), of(["/a", "coop"]));
    assert_eq!(of(["/a", "coop"]), of(["/a", "coop"]));
}

/// Guards against memory that grows with the number of requests that are lost, and against a flood of harmless losses
/// that pushes out a quarantine.
#[test]
fn memory_is_bounded_and_keeps_quarantines() {
    let (mut guard, now, deadly) = (guard(), Instant::now(), request("/deadly"));
    for n in 0..3 {
        crash(&mut guard, now, n, &[deadly]);
    }

    for n in 0..300_u64 {
        let lost: Vec<Fingerprint> = (0..100).map(|k| request(&format!("/{n}/{k}"))).collect();
        crash(&mut guard, now + Duration::from_millis(n), 10 + n, &lost);
    }

    assert!(guard.len() <= 2048, "{}", guard.len());
    assert!(guard.admit(now, &deadly).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against messages of a faulty VM that stop the process or begin a quarantine without an end.
    #[test]
    fn any_message_leaves_a_bounded_state(
        first_crash_ms in any::<u64>(), remaining_ms in any::<u64>(), count in any::<u32>(), wait_s in 0_u64..100_000,
    ) {
        let (mut guard, now) = (guard(), Instant::now());
        let entry = mh_poison::QuarantineEntry { fingerprint: request("/x"), first_crash_ms, remaining_ms, count };
        let msg = Msg::Quarantine([entry].into_iter().collect());

        guard.on_msg(now, msg, &AnsweredTable::new(now));
        crash(&mut guard, now + Duration::from_secs(wait_s), 1, &[request("/x")]);

        let remaining = guard.admit(now + Duration::from_secs(wait_s), &request("/x")).err();
        prop_assert!(remaining.is_none_or(|refusal| refusal.retry_after <= MINUTE * 60));
        guard.on_tick(now + Duration::from_secs(wait_s) + MINUTE * 140, 0);
        prop_assert!(guard.is_empty());
    }
}
