//! Which locks a thread may take while it holds another one.

use std::panic::{AssertUnwindSafe, catch_unwind};

use mh_sync::{Mutex, OuterMutex};

fn is_refused(lock: impl FnOnce()) -> bool {
    catch_unwind(AssertUnwindSafe(lock)).is_err()
}

/// Guards against a path that holds two locks, which could be taken in the opposite order elsewhere.
#[test]
fn a_second_lock_is_refused_whatever_the_order() {
    let (a, b) = (Mutex::new(0), Mutex::new(0));

    for (first, second) in [(&a, &b), (&b, &a), (&a, &a)] {
        let held = first.lock();
        assert!(is_refused(|| drop(second.lock())));
        drop(held);
        drop(second.lock());
    }
}

/// Guards against an outer lock that is taken under an inner one, or under another outer one.
#[test]
fn an_outer_lock_is_taken_first_and_alone() {
    let (outer, other_outer, inner) = (OuterMutex::new(0), OuterMutex::new(0), Mutex::new(0));

    let held = outer.lock();
    drop(inner.lock());
    drop(inner.lock());
    assert!(is_refused(|| drop(other_outer.lock())));
    drop(held);

    let _held = inner.lock();
    assert!(is_refused(|| drop(outer.lock())));
}

/// Guards against a check that remembers a lock after a panic, or in another thread.
#[test]
fn a_lock_is_forgotten_after_a_panic_and_unknown_to_other_threads() {
    let (a, b) = (Mutex::new(0), Mutex::new(0));

    let held = a.lock();
    std::thread::scope(|scope| {
        scope
            .spawn(|| *b.lock() += 1)
            .join()
            .expect("the other thread holds nothing");
    });
    drop(held);
    assert!(is_refused(|| {
        let _held = a.lock();
        panic!("a panic under the lock");
    }));

    let of_a = *a.lock();
    assert_eq!((of_a, *b.lock()), (0, 1));
}
