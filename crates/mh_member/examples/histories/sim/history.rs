use std::time::Duration;

use mh_member::Config;
use rand::RngExt;

use super::{Checker, Findings, Protocol, Simulation};

/// Number of ticks of 100 ms during which faults begin.
const FAULT_TICKS: u64 = 900;

/// Number of ticks after the period in which faults begin.
const QUIET_TICKS: u64 = 700;

/// Number of ticks between two comparisons of the views with the simulated state.
const CHECK_TICKS: u64 = 3;

/// Kinds of faults that a history may contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "any combination of faults may be selected")]
pub struct Faults {
    pub kills: bool,
    pub pauses: bool,
    pub one_way_blocks: bool,
    pub partitions: bool,
    pub loss: bool,
    pub list: bool,
}

impl Faults {
    #[allow(dead_code, reason = "not every test or example uses it")]
    pub const ALL: Self = Self {
        kills: true,
        pauses: true,
        one_way_blocks: true,
        partitions: true,
        loss: true,
        list: true,
    };
}

/// Action that ends a fault.
enum FaultEnd {
    Restart(usize),
    Resume(usize),
    UnblockLink((usize, usize)),
    HealPartition,
    ClearLoss,
    RestoreList,
}

/// Runs one random history generated from `seed` and regularly compares every view with the simulated state.
pub fn run_history<P: Protocol>(seed: u64, faults: Faults) -> Findings {
    let cfg = Config {
        list_lag: Duration::from_secs(12),
        ..Config::default()
    };
    let domains = 2 + (seed % 4) as usize;
    let count = domains * 2 + (seed / 4 % 12) as usize;
    let mut sim = Simulation::<P>::new(seed, count, domains, cfg);
    let mut checker = Checker::new(count);
    let mut fault_ends: Vec<(u64, FaultEnd)> = vec![];
    let mut list_faulty = false;
    sim.run_for(Duration::from_secs(15));
    for tick in 0..FAULT_TICKS + QUIET_TICKS {
        let due: Vec<_> = fault_ends.extract_if(.., |(end_tick, _)| *end_tick <= tick).collect();
        for (_, end) in due {
            match end {
                FaultEnd::Restart(index) => sim.restart(index),
                FaultEnd::Resume(index) if sim.vms[index].paused => sim.pause(index, false),
                FaultEnd::Resume(_) => {}
                FaultEnd::UnblockLink(pair) => _ = sim.blocked_links.remove(&pair),
                FaultEnd::HealPartition => sim.partition = None,
                FaultEnd::ClearLoss => (sim.loss, sim.duplication, sim.max_delay_ms) = (0.0, 0.0, 14),
                FaultEnd::RestoreList => {
                    sim.list_available = true;
                    sim.list_omitted.clear();
                    sim.list_phantoms.clear();
                    list_faulty = false;
                }
            }
        }
        if tick < FAULT_TICKS && sim.rng.random_bool(0.02) {
            let until = tick + sim.rng.random_range(5..250);
            let index = sim.rng.random_range(0..count);
            match sim.rng.random_range(0..6) {
                0 if faults.kills && sim.is_running(index) => {
                    sim.kill(index);
                    if sim.rng.random_bool(0.7) {
                        fault_ends.push((tick + sim.rng.random_range(2..90), FaultEnd::Restart(index)));
                    }
                }
                1 if faults.pauses && sim.is_running(index) => {
                    sim.pause(index, true);
                    fault_ends.push((until, FaultEnd::Resume(index)));
                }
                2 if faults.one_way_blocks => {
                    let to = sim.rng.random_range(0..count);
                    sim.blocked_links.insert((index, to));
                    fault_ends.push((until, FaultEnd::UnblockLink((index, to))));
                }
                3 if faults.partitions && sim.partition.is_none() => {
                    let by_domain = sim.rng.random_bool(0.5);
                    let mask: u64 = sim.rng.random();
                    let bit = |index: usize| mask >> (if by_domain { index % domains } else { index } % 64) & 1 == 1;
                    sim.partition = Some((0..count).map(bit).collect());
                    fault_ends.push((until + 100, FaultEnd::HealPartition));
                }
                4 if faults.loss => {
                    sim.loss = sim.rng.random_range(0.0..0.15);
                    sim.duplication = 0.1;
                    sim.max_delay_ms = 250;
                    fault_ends.push((until, FaultEnd::ClearLoss));
                }
                5 if faults.list && !list_faulty => {
                    list_faulty = true;
                    sim.list_available = sim.rng.random_bool(0.5);
                    // A wrong list is corrected within the configured lag.
                    sim.list_omitted.insert(index);
                    let mut phantom = sim.vms[index].list_entry();
                    phantom.vm = mh_types::VmName::from("phantom");
                    sim.list_phantoms.push(phantom);
                    fault_ends.push((tick + sim.rng.random_range(5..100), FaultEnd::RestoreList));
                }
                _ => {}
            }
        }
        sim.tick();
        if tick % CHECK_TICKS == 0 {
            checker.check(&sim);
        }
    }
    checker.finish(&sim)
}
