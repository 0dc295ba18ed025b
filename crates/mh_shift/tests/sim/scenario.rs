use mh_shift::{Fraction, Guard, Settings, ShiftSpec};

use super::rng::Rng;

/// Fault of the new version.
#[derive(Clone, Debug, Default)]
pub struct VersionFault {
    pub from_s: f64,
    /// Probability that a request fails.
    pub errors: f64,
    /// Factor on the latency.
    pub slow: f64,
    /// Affected route; `None` for all.
    pub route: Option<usize>,
    /// Smallest share, at any VM, at which the fault shows.
    pub min_share: Fraction,
}

/// Fault of a failure domain that affects both versions.
#[derive(Clone, Debug)]
pub struct DomainFault {
    pub domain: usize,
    pub from_s: f64,
    pub to_s: f64,
    pub errors: f64,
    pub slow: f64,
}

/// Network cut in which messages from VM `from` to VM `to` are lost; [`TABLE`] stands for the table.
#[derive(Clone, Debug)]
pub struct LinkCut {
    pub from: usize,
    pub to: usize,
    pub from_s: f64,
    pub to_s: f64,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Kill {
        vm: usize,
        for_s: f64,
    },
    Pause {
        vm: usize,
        for_s: f64,
    },
    TakeBack {
        vm: usize,
    },
    /// Kills the next VM that writes a terminal row, right after it has sent the write.
    KillWriter {
        for_s: f64,
    },
}

/// Simulated scenario: the fleet, its traffic and the injected faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub vms: usize,
    pub domains: usize,
    /// Requests per second at each VM.
    pub rate: f64,
    pub deadline_s: f64,
    pub end_s: f64,
    pub cap: Fraction,
    pub guard: Guard,
    pub steps: Vec<Fraction>,
    pub settings: Settings,
    pub exchange_s: f64,
    /// Error probability of both versions by route.
    pub base_errors: [f64; 3],
    pub version_fault: Option<VersionFault>,
    pub domain_faults: Vec<DomainFault>,
    pub link_cuts: Vec<LinkCut>,
    pub actions: Vec<(f64, Action)>,
    /// Table outages; a write that arrives in one is lost or takes effect when it ends.
    pub outages: Vec<(f64, f64)>,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub delay_rate: f64,
    pub reply_loss_rate: f64,
    pub slow_table_rate: f64,
    pub has_clock_skew: bool,
}

/// Index that stands for the table in place of a VM.
pub const TABLE: usize = usize::MAX;

impl Scenario {
    /// Ten VMs in six failure domains, with clock skew but no faults.
    pub fn fault_free(seed: u64) -> Self {
        Self {
            seed,
            vms: 10,
            domains: 6,
            rate: 100.0,
            deadline_s: 600.0,
            end_s: 601.0,
            cap: Fraction::from_millionths(500_000),
            guard: Guard::default(),
            steps: ShiftSpec::default_steps(),
            settings: Settings::default(),
            exchange_s: 0.25,
            base_errors: [0.001; 3],
            version_fault: None,
            domain_faults: vec![],
            link_cuts: vec![],
            actions: vec![],
            outages: vec![],
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_rate: 0.0,
            reply_loss_rate: 0.0,
            slow_table_rate: 0.0,
            has_clock_skew: true,
        }
    }

    /// Fleet of [`fault_free`](Self::fault_free) with a short shift.
    pub fn short(seed: u64) -> Self {
        let mut scenario = Self::fault_free(seed);
        scenario.rate = 30.0;
        scenario.deadline_s = 16.0;
        scenario.end_s = 21.0;
        scenario.exchange_s = 0.4;
        scenario.guard.min_samples = 6;
        scenario.steps = [20_000, 100_000, 500_000].map(Fraction::from_millionths).to_vec();
        scenario.settings.min_dwell = std::time::Duration::from_millis(500);
        scenario.settings.write_margin = std::time::Duration::from_secs(4);
        scenario
    }

    /// Short shift with a random mix of all faults.
    pub fn random(seed: u64) -> Self {
        let mut r = Rng(seed ^ 0x5eed);
        let mut scenario = Self::short(seed);
        scenario.cap = Fraction::from_millionths([50_000, 300_000, 500_000, 1_000_000][r.below(4)]);
        scenario.loss_rate = [0.0, 0.02, 0.2][r.below(3)];
        scenario.duplicate_rate = [0.0, 0.1][r.below(2)];
        scenario.delay_rate = [0.0, 0.05, 0.3][r.below(3)];
        scenario.reply_loss_rate = [0.0, 0.1, 0.5][r.below(3)];
        scenario.slow_table_rate = [0.0, 0.2, 0.5][r.below(3)];
        let end_s = scenario.end_s;
        for _ in 0..r.below(4) {
            let at = r.between(0.0, end_s);
            let vm = r.below(scenario.vms);
            let for_s = r.between(0.3, 6.0);
            let action = match r.below(4) {
                0 => Action::Kill { vm, for_s },
                1 => Action::KillWriter { for_s },
                _ => Action::Pause { vm, for_s },
            };
            scenario.actions.push((at, action));
        }
        if r.chance(0.25) {
            // The take-back falls mostly into the time in which the shift finishes.
            scenario.actions.push((
                r.between(2.0, scenario.deadline_s),
                Action::TakeBack {
                    vm: r.below(scenario.vms),
                },
            ));
        }
        for _ in 0..r.below(3) {
            let end = [TABLE, r.below(scenario.vms)][r.below(2)];
            let (a, b) = (r.below(scenario.vms), end);
            let (from, to) = if r.chance(0.5) { (a, b) } else { (b, a) };
            let from_s = r.between(0.0, end_s);
            scenario.link_cuts.push(LinkCut {
                from,
                to,
                from_s,
                to_s: from_s + r.between(1.0, 10.0),
            });
        }
        match r.below(4) {
            0 => scenario.outages.push((
                scenario.deadline_s - r.between(0.0, 9.0),
                scenario.deadline_s + r.between(0.0, 4.0),
            )),
            1 => scenario.outages.push((r.between(0.0, 8.0), r.between(8.0, 14.0))),
            _ => {}
        }
        if r.chance(0.3) {
            let errors = [0.3, 0.0][r.below(2)];
            scenario.domain_faults.push(DomainFault {
                domain: r.below(6),
                from_s: r.between(0.0, 8.0),
                to_s: 20.0,
                errors,
                slow: 4.0,
            });
        }
        if r.chance(0.5) {
            let min_share = Fraction::from_millionths([0, 0, 400_000][r.below(3)]);
            let route = [None, None, Some(r.below(3))][r.below(3)];
            let (errors, slow) = [(1.0, 1.0), (0.4, 1.0), (0.0, 6.0)][r.below(3)];
            scenario.version_fault = Some(VersionFault {
                from_s: [0.0, 0.0, 4.0][r.below(3)],
                errors,
                slow,
                route,
                min_share,
            });
        }
        scenario
    }

    pub fn cut_domain(&mut self, domain: usize, from_s: f64, to_s: f64) {
        for a in (0..self.vms).filter(|v| v % self.domains == domain) {
            for b in (0..self.vms).filter(|v| v % self.domains != domain).chain([TABLE]) {
                self.link_cuts.push(LinkCut {
                    from: a,
                    to: b,
                    from_s,
                    to_s,
                });
                self.link_cuts.push(LinkCut {
                    from: b,
                    to: a,
                    from_s,
                    to_s,
                });
            }
        }
    }
}
