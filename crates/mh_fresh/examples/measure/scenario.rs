//! Simulation of one key withdrawal during one fault.

use crate::simulation::{Operation, Simulation, VmPlacement};

const WARM_UP_MS: u64 = 10_000;
const SAMPLE_MS: u64 = 100;
const FINE_SAMPLE_MS: u64 = 10;
/// Time after the withdrawal during which samples are taken every `FINE_SAMPLE_MS`.
const FINE_MS: u64 = 8_000;
const LEASE_MS: u64 = 2_000;
/// Length of every scenario except the table outage.
const DEFAULT_LENGTH_MS: u64 = 60_000;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    NoFault,
    DomainIsolated,
    RegionLost,
    TableOutage,
}

impl Scenario {
    pub const ALL: [Self; 4] = [Self::NoFault, Self::DomainIsolated, Self::RegionLost, Self::TableOutage];

    fn title(self) -> &'static str {
        match self {
            Self::NoFault => "no fault",
            Self::DomainIsolated => "one failure domain isolated",
            Self::RegionLost => "one region lost",
            Self::TableOutage => "table outage",
        }
    }
}

/// Returns 10 VMs in 6 failure domains of 3 regions.
pub fn today_fleet() -> Vec<VmPlacement> {
    (0..10)
        .map(|index| VmPlacement {
            domain: index % 6,
            region: index % 6 / 2,
            in_roster: true,
        })
        .collect()
}

/// Returns 1,500 VMs in 43 failure domains of 14 regions.
pub fn target_fleet() -> Vec<VmPlacement> {
    (0..1_500)
        .map(|index| VmPlacement {
            domain: index % 43,
            region: (index % 43 / 3).min(13),
            in_roster: true,
        })
        .collect()
}

/// Result of one scheme: when the last VM stopped accepting the key, and the VM time refused.
#[derive(Clone, Copy, Default)]
struct Scheme {
    last_ms: u64,
    still_accepting: usize,
    refused: u64,
}

impl Scheme {
    fn text(&self, samples: u64) -> String {
        let share = 100.0 * self.refused as f64 / samples as f64;
        match self.still_accepting {
            0 => format!("{:.2} s / {share:.2}%", self.last_ms as f64 / 1e3),
            n => format!("still accepted by {n} VMs / {share:.2}%"),
        }
    }
}

/// Commits a withdrawal through the first VM, starts the fault at the moment of the commit, and returns a table row.
pub fn run(seed: u64, fleet: &[VmPlacement], scenario: Scenario, outage_s: u64) -> String {
    let length = if scenario == Scenario::TableOutage {
        outage_s * 1_000
    } else {
        DEFAULT_LENGTH_MS
    };
    let mut sim = Simulation::new(seed, fleet);
    sim.run_until(sim.now + WARM_UP_MS);
    assert!(sim.submit(0, Operation::Plain), "the first VM holds the settings");
    let withdrawal = sim.head().next();
    while sim.head() < withdrawal {
        sim.run_until(sim.now + 1);
    }
    start_fault(&mut sim, scenario);
    let start = sim.now;
    sim.count_bytes = true;
    let reads_before = sim.counts.table_reads;

    let mut schemes = [Scheme::default(); 3];
    let mut samples = 0;
    while sim.now < start + length {
        let step = if sim.now < start + FINE_MS {
            FINE_SAMPLE_MS
        } else {
            SAMPLE_MS
        };
        sim.run_until(sim.now + step);
        for scheme in &mut schemes {
            scheme.still_accepting = 0;
        }
        for (index, vm) in sim.vms.iter().enumerate().filter(|(_, vm)| vm.alive) {
            let leased = vm
                .lease_at
                .is_some_and(|head_read_at| head_read_at + LEASE_MS >= sim.now);
            // The reference schemes follow only their own rule, but also apply the change once the VM holds it.
            let holds = vm.tracker.held() >= withdrawal;
            samples += step;
            for (scheme, serves) in schemes.iter_mut().zip([sim.is_current(index), leased, true]) {
                scheme.refused += if serves { 0 } else { step };
                if serves && !holds {
                    scheme.last_ms = sim.now - start;
                    scheme.still_accepting += 1;
                }
            }
        }
    }
    let seconds = length as f64 / 1e3;
    let reads = (sim.counts.table_reads - reads_before) as f64 / seconds;
    let alive: Vec<usize> = (0..fleet.len()).filter(|&index| sim.vms[index].alive).collect();
    let per_second = |counts: &[u64]| {
        let mean = alive.iter().map(|&index| counts[index]).sum::<u64>() as f64 / alive.len() as f64 / seconds;
        let max = alive.iter().map(|&index| counts[index]).max().unwrap_or_default() as f64 / seconds;
        format!("{mean:.1} / {max:.1}")
    };
    let (msgs, bytes) = (per_second(&sim.counts.msgs_by_vm), per_second(&sim.counts.bytes));
    let [majority, lease, serve_stale] = schemes.map(|scheme| scheme.text(samples));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    let title = scenario.title();
    format!("| {title}, {seconds:.0} s | {majority} | {lease} | {serve_stale} | {reads:.1} | {msgs} | {bytes} |")
}

fn start_fault(sim: &mut Simulation, scenario: Scenario) {
    // The committing VM and the table are in the first region, which no fault affects.
    let domain = sim.vms.iter().map(|vm| vm.placement.domain).max().unwrap_or_default();
    match scenario {
        Scenario::NoFault => {}
        Scenario::DomainIsolated => {
            let table = sim.table_domain();
            sim.isolate(domain, (0..=table).filter(|&other| other != domain));
        }
        Scenario::RegionLost => {
            let region = sim.vms.iter().map(|vm| vm.placement.region).max().unwrap_or_default();
            let gone: Vec<usize> = (0..sim.vms.len())
                .filter(|&index| sim.vms[index].placement.region == region)
                .collect();
            for index in gone {
                sim.kill(index);
            }
        }
        Scenario::TableOutage => sim.faults.table_down = true,
    }
}
