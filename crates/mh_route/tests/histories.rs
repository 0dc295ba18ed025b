//! Random histories compared with a simple reference model of requests in flight and allowed servers.

mod common;

use std::collections::BTreeMap;

use common::{answered, ms, spec, vm_location};
use mh_route::prelude::*;
use mh_types::{ServerName, VersionName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::time::Instant;

const SERVERS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Pick {
        rnd: u64,
        version: bool,
        exclude: usize,
        idempotent: bool,
    },
    End {
        pick_index: usize,
        outcome_index: u8,
    },
    Drop {
        pick_index: usize,
    },
    Announce {
        server: usize,
        state: AnnouncedState,
    },
    Report {
        server: usize,
        healthy: bool,
        in_flight: u32,
    },
    Change {
        without: usize,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![2 => Just(AnnouncedState::Serving), 1 => Just(AnnouncedState::Leaving), 1 => Just(AnnouncedState::Gone)];
    prop_oneof![
        6 => (any::<u64>(), any::<bool>(), 0..SERVERS, any::<bool>())
            .prop_map(|(rnd, version, exclude, idempotent)| Step::Pick { rnd, version, exclude, idempotent }),
        5 => (any::<usize>(), 0..7_u8).prop_map(|(pick_index, outcome_index)| Step::End { pick_index, outcome_index }),
        1 => any::<usize>().prop_map(|pick_index| Step::Drop { pick_index }),
        1 => (0..SERVERS, state).prop_map(|(server, state)| Step::Announce { server, state }),
        1 => (0..SERVERS, any::<bool>(), 0..9_u32)
            .prop_map(|(server, healthy, in_flight)| Step::Report { server, healthy, in_flight }),
        1 => (0..=SERVERS).prop_map(|without| Step::Change { without }),
        3 => (1..900_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Number of histories to run; set `MH_ROUTE_HISTORIES=10000` for a long run.
fn histories() -> u32 {
    std::env::var("MH_ROUTE_HISTORIES")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(400)
}

fn specs(without: usize) -> Vec<ServerSpec> {
    let domains = ["a1", "a1", "a2", "b1", "b1", "c1"];
    let all = (0..SERVERS).filter(|i| *i != without);
    all.map(|i| ServerSpec {
        version: if i % 2 == 0 { "v1" } else { "v2" }.into(),
        ..spec(&format!("s{i}"), domains[i])
    })
    .collect()
}

proptest! {
    #![proptest_config(Config { cases: histories(), rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Guards against picking a server that is leaving, gone, excluded, removed or of the wrong version, against
    /// exceeding a limit, and against leaking or releasing a slot twice, in any order of failures, announcements,
    /// reports and changes of the server list.
    #[test]
    fn random_histories_match_the_reference_model(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = Instant::now();
        let mut without = SERVERS;
        let mut pool = Pool::new(&vm_location(), &specs(without), now);
        let mut held: Vec<Pick> = Vec::new();
        let mut announced_states: BTreeMap<ServerName, AnnouncedState> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Pick { rnd, version, exclude, idempotent } => {
                    let wanted = VersionName::from("v2");
                    let exclude = [ServerName::from(format!("s{exclude}"))];
                    let request = PickRequest { version: version.then_some(&wanted), exclude: &exclude, idempotent, ..PickRequest::default() };
                    if let Ok(pick) = pool.pick(now, &request, rnd) {
                        let spec = pick.spec();
                        prop_assert!(!version || spec.version == wanted);
                        prop_assert!(spec.name != exclude[0]);
                        prop_assert!(specs(without).iter().any(|s| s.name == spec.name));
                        prop_assert_eq!(announced_states.get(&spec.name).copied().unwrap_or(AnnouncedState::Serving), AnnouncedState::Serving);
                        held.push(pick);
                    }
                }
                Step::End { pick_index, outcome_index } if !held.is_empty() => {
                    let outcome = [answered(10), answered(900), Outcome::Shed, Outcome::Closing, Outcome::Failed,
                        Outcome::TimedOut, Outcome::Cancelled][usize::from(outcome_index)];
                    held.swap_remove(pick_index % held.len()).done(now, outcome);
                }
                Step::Drop { pick_index } if !held.is_empty() => drop(held.swap_remove(pick_index % held.len())),
                Step::Announce { server, state } if server != without => {
                    let name = ServerName::from(format!("s{server}"));
                    pool.set_announced_state(&name, state, now);
                    announced_states.insert(name, state);
                }
                Step::End { .. } | Step::Drop { .. } | Step::Announce { .. } => {}
                Step::Report { server, healthy, in_flight } => {
                    pool.on_report(&format!("s{server}").into(), &LoadReport { healthy, in_flight }, ms(300), now);
                }
                Step::Change { without: next } => {
                    // A removed server returns as a new one, without the announced state and the picks of the old one.
                    let name = ServerName::from(format!("s{next}"));
                    announced_states.remove(&name);
                    held.retain(|p| p.spec().name != name);
                    without = next;
                    pool = pool.with_servers(&specs(without), now);
                }
                Step::Wait { ms: wait } => now += ms(wait),
            }
            for server in pool.view().servers {
                let expected = held.iter().filter(|p| p.spec().name == server.name).count();
                prop_assert_eq!(server.in_flight as usize, expected, "in flight at {}", server.name);
                prop_assert!(server.in_flight <= 13, "3 times the 4 slots and one trial");
            }
        }
    }
}
