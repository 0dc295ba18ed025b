use std::time::Duration;

use mh_member::MemberState;
use mh_types::Incarnation;
use tokio::time::Instant;

use super::{Protocol, Simulation};

/// Results of a history.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Longest time for which a VM considered another one dead or unknown while both could reach each other.
    pub longest_false_death: Duration,
    /// Longest time for which a VM did not consider a stopped one dead.
    pub longest_late_death: Duration,
    /// Number of checks of a pair that found a live, reachable VM considered dead or unknown.
    pub false_deaths: u64,
    /// Number of all checks of a pair.
    pub checks: u64,
    /// Pairs whose state differs from the simulated state at the end.
    pub final_mismatches: Vec<String>,
    pub peak_msgs: u64,
    pub peak_bytes: u64,
    pub largest_msg: usize,
}

/// Compares the views of all VMs with the simulated state and records since when each pair is wrong.
pub struct Checker {
    wrong_since: Vec<Vec<Option<Instant>>>,
    pub findings: Findings,
}

impl Checker {
    pub fn new(count: usize) -> Self {
        Self {
            wrong_since: vec![vec![None; count]; count],
            findings: Findings::default(),
        }
    }

    /// Compares every view with the simulated state.
    pub fn check<P: Protocol>(&mut self, sim: &Simulation<P>) {
        let count = self.wrong_since.len();
        let reachable_from: Vec<Vec<bool>> = (0..count).map(|from| reachable(sim, from)).collect();
        for a in (0..count).filter(|index| sim.is_running(*index)) {
            let Some(peer) = sim.peer(a) else { continue };
            for b in (0..count).filter(|b| *b != a) {
                let observed = peer.state(&sim.vms[b].vm);
                let considered_alive = observed.is_some_and(|state| state != MemberState::Dead);
                let mutual = sim.is_running(b) && reachable_from[a][b] && reachable_from[b][a];
                let is_false_death = mutual && !considered_alive;
                let is_late_death = !sim.vms[b].up && considered_alive;
                let since_cell = &mut self.wrong_since[a][b];
                self.findings.checks += 1;
                if !is_false_death && !is_late_death {
                    *since_cell = None;
                    continue;
                }
                let since = (*since_cell.get_or_insert(sim.now)).max(sim.vms[b].changed_at);
                let since = since.max(sim.vms[a].changed_at);
                let lasted = sim.now.saturating_duration_since(since);
                let longest = if is_late_death {
                    &mut self.findings.longest_late_death
                } else {
                    &mut self.findings.longest_false_death
                };
                *longest = lasted.max(*longest);
                self.findings.false_deaths += u64::from(is_false_death);
            }
        }
        for a in (0..count).filter(|index| !sim.is_running(*index)) {
            self.wrong_since[a].fill(None);
        }
    }

    /// Ends the history, a quiet period after the last fault, and records each pair that is still wrong.
    pub fn finish<P: Protocol>(mut self, sim: &Simulation<P>) -> Findings {
        for (a, peer) in sim.peers.iter().enumerate() {
            let Some(peer) = peer else { continue };
            for (b, sim_vm) in sim.vms.iter().enumerate() {
                let observed = peer.state(&sim_vm.vm);
                let is_correct = match observed {
                    Some(MemberState::Alive) => {
                        sim_vm.up && peer.incarnation(&sim_vm.vm) == Some(Incarnation(sim_vm.incarnation))
                    }
                    Some(MemberState::Dead) | None => !sim_vm.up,
                    Some(_) => false,
                } || (a == b);
                if !is_correct {
                    let observer = &sim.vms[a].vm;
                    self.findings.final_mismatches.push(format!(
                        "{observer} considers {} {observed:?}, up: {}",
                        sim_vm.vm, sim_vm.up
                    ));
                }
            }
        }
        self.findings.peak_msgs = sim.peak.msgs;
        self.findings.peak_bytes = sim.peak.bytes;
        self.findings.largest_msg = sim.largest_msg;
        self.findings
    }
}

/// Returns which VMs gossip from `from` can reach.
fn reachable<P: Protocol>(sim: &Simulation<P>, from: usize) -> Vec<bool> {
    let mut seen = vec![false; sim.vms.len()];
    let mut queue = vec![from];
    seen[from] = true;
    while let Some(index) = queue.pop() {
        for (to, seen) in seen.iter_mut().enumerate() {
            if !*seen && sim.is_running(to) && sim.link_is_open(index, to) {
                *seen = true;
                queue.push(to);
            }
        }
    }
    seen
}
