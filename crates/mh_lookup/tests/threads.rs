//! Concurrent look-ups and changes.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use arc_swap::ArcSwap;
use common::{caller, spec};
use mh_lookup::prelude::*;

/// Guards against look-ups that block, fail or mix two tables while changes are applied, and against lost counts.
#[test]
fn look_ups_continue_during_changes() {
    let shared = ArcSwap::from_pointee(Table::build(spec(3, 4)).unwrap());
    let (stop, found, bad) = (AtomicBool::new(false), AtomicU32::new(0), AtomicU32::new(0));

    std::thread::scope(|scope| {
        for thread in 0..3_u32 {
            let (shared, stop, found, bad) = (&shared, &stop, &found, &bad);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let table = shared.load();
                    let choices = table.find(caller(thread), None, 1);
                    let serving = |c: &Choice<'_>| table.state_of(&c.vm.name) == Some(VmAvailability::Serving);
                    bad.fetch_add(
                        u32::from(choices.len() != 4 || !choices.iter().all(serving)),
                        Ordering::Relaxed,
                    );
                    found.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        for i in 0..600_u32 {
            let state = if i % 2 == 0 {
                VmAvailability::Failed
            } else {
                VmAvailability::Serving
            };
            let vm = Change::State(format!("v{}-{}", i / 2 % 3, i / 6 % 4).into(), state);
            let block = Change::Block("10.0.0.0/16".parse().unwrap(), Some(RankingId(i as u16 % 3)));
            let next = shared
                .load()
                .with_change(&vm)
                .and_then(|t| t.with_change(&block))
                .unwrap();
            shared.store(next.into());
        }
        while found.load(Ordering::Relaxed) < 1000 {
            std::thread::yield_now();
        }
        stop.store(true, Ordering::Relaxed);
    });

    let table = shared.load();
    let counted: u32 = (0..3)
        .flat_map(|s| (0..4).map(move |n| (s, n)))
        .map(|(s, n)| table.first_choice_count(&format!("v{s}-{n}").into()))
        .sum();
    assert_eq!(bad.load(Ordering::Relaxed), 0);
    assert_eq!(counted, found.load(Ordering::Relaxed));
}
