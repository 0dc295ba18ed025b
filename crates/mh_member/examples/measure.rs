//! Prints the cost of a member by fleet size, and the time until all VMs detect a stopped one.
//!
//! Arguments: `--seed S --sizes 10,100`.

#[path = "histories/sim/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "the other items are used by the histories example"
)]
mod sim;

use std::time::Duration;

use mh_member::{Config, MemberState, Membership, Msg, VmList};
use mh_types::{Incarnation, VmName};
use sim::{Protocol, SimVm, Simulation, TICK};
use tokio::time::Instant;

/// Membership protocol that encodes and decodes its messages and measures its processing time.
struct TimedMembership {
    membership: Membership,
    cpu_time: Duration,
    longest_tick: Duration,
}

impl TimedMembership {
    fn encode(&mut self, started_at: std::time::Instant, out: mh_member::Outbox) -> Vec<(VmName, Vec<u8>)> {
        let encode = |outgoing: mh_member::Outgoing| {
            (
                outgoing.to,
                postcard::to_stdvec(&outgoing.msg).expect("a message encodes"),
            )
        };
        let out = out.into_iter().map(encode).collect();
        self.cpu_time += started_at.elapsed();
        out
    }
}

impl Protocol for TimedMembership {
    type Msg = Vec<u8>;

    fn start(sim_vm: &SimVm, incarnation: Incarnation, now: Instant, cfg: &Config) -> Self {
        let membership = Membership::start(sim_vm, incarnation, now, cfg);
        Self {
            membership,
            cpu_time: Duration::ZERO,
            longest_tick: Duration::ZERO,
        }
    }

    fn tick(&mut self, now: Instant, entropy: u64) -> Vec<(VmName, Vec<u8>)> {
        let started_at = std::time::Instant::now();
        let out = self.membership.on_tick(now, entropy);
        let out = self.encode(started_at, out);
        self.longest_tick = self.longest_tick.max(started_at.elapsed());
        out
    }

    fn receive(&mut self, now: Instant, from: &VmName, msg: Vec<u8>) -> Vec<(VmName, Vec<u8>)> {
        let started_at = std::time::Instant::now();
        let msg: Msg = postcard::from_bytes(&msg).expect("a message decodes");
        let out = self.membership.on_msg(now, from, msg);
        self.encode(started_at, out)
    }

    fn list(&mut self, now: Instant, list: &VmList) {
        self.membership.on_list(now, list);
    }

    fn add_seed_vm(&mut self, now: Instant, sim_vm: &SimVm) {
        self.membership.add_seed_vm(now, &sim_vm.list_entry());
    }

    fn state(&self, vm: &VmName) -> Option<MemberState> {
        self.membership.view().state(vm)
    }

    fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        Protocol::incarnation(&self.membership, vm)
    }
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .map_or(0, |pages| pages * 4096)
}

/// Returns the slope, the intercept and the largest residual of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|p| p.0).sum::<f64>() / n,
        points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    (slope, intercept, residual)
}

/// Kills the VM `index` and returns the time in seconds until every running VM considers it dead, 120 s at most.
fn detection_seconds(sim: &mut Simulation<TimedMembership>, index: usize) -> f64 {
    sim.kill(index);
    let vm = sim.vms[index].vm.clone();
    let killed_at = sim.now;
    let considers_alive = |peer: &TimedMembership| peer.state(&vm).is_some_and(|state| state != MemberState::Dead);
    while sim.peers.iter().flatten().any(considers_alive) && sim.now - killed_at < Duration::from_mins(2) {
        sim.tick();
    }
    (sim.now - killed_at).as_secs_f64()
}

fn arg(name: &str) -> Option<String> {
    let args: Vec<String> = std::env::args().collect();
    let index = args.iter().position(|arg| arg == name)?;
    args.get(index + 1).cloned()
}

fn main() {
    let seed = arg("--seed").map_or(1, |text| text.parse().expect("a number"));
    let sizes = arg("--sizes").unwrap_or_else(|| "10,100,500,1500".into());
    let (warm, measured) = (Duration::from_secs(45), Duration::from_secs(30));
    println!(
        "| VMs | domains | messages/s | highest VM | bytes/s | highest VM | peak bytes in a second | CPU µs a tick | % of a core | longest tick, µs | state bytes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut series: [Vec<(f64, f64)>; 4] = Default::default();
    let mut detection_times = vec![];
    for size in sizes.split(',').map(|size| size.parse::<usize>().expect("a number")) {
        let domains = match size {
            0..50 => 6,
            50..300 => 14,
            _ => 43,
        };
        let before = resident_bytes();
        let mut sim = Simulation::<TimedMembership>::new(seed, size, domains, Config::default());
        sim.run_for(warm);
        let peak_start = sim.peak.bytes;
        sim.traffic.fill(sim::Traffic::default());
        sim.peak = sim::Traffic::default();
        for peer in sim.peers.iter_mut().flatten() {
            (peer.cpu_time, peer.longest_tick) = (Duration::ZERO, Duration::ZERO);
        }
        sim.run_for(measured);
        let seconds = measured.as_secs_f64();
        let mean =
            |field: fn(&sim::Traffic) -> u64| sim.traffic.iter().map(field).sum::<u64>() as f64 / size as f64 / seconds;
        let high = |field: fn(&sim::Traffic) -> u64| sim.traffic.iter().map(field).max().unwrap_or(0) as f64 / seconds;
        let cpu_time: Duration = sim.peers.iter().flatten().map(|peer| peer.cpu_time).sum();
        let longest = sim
            .peers
            .iter()
            .flatten()
            .map(|peer| peer.longest_tick)
            .max()
            .unwrap_or_default();
        let cpu_time = cpu_time.as_secs_f64() / size as f64;
        let per_tick = cpu_time / (seconds / TICK.as_secs_f64()) * 1e6;
        let state = resident_bytes().saturating_sub(before) as f64 / size as f64;
        let (msgs, bytes) = (mean(|t| t.msgs), mean(|t| t.bytes));
        println!(
            "| {size} | {domains} | {msgs:.1} | {:.1} | {bytes:.0} | {:.0} | {} | {per_tick:.1} | {:.3} | {} | {state:.0} |",
            high(|t| t.msgs),
            high(|t| t.bytes),
            sim.peak.bytes,
            cpu_time / seconds * 100.0,
            longest.as_micros(),
        );
        eprintln!("{size} VMs: peak while starting {peak_start} bytes in a second");
        for (series, value) in series.iter_mut().zip([msgs, bytes, per_tick, state]) {
            series.push((size as f64, value));
        }
        if [10, 500, 1500].contains(&size) {
            sim.list_available = false;
            let times: Vec<f64> = (0..4).map(|index| detection_seconds(&mut sim, index)).collect();
            detection_times.push((size, times));
        }
    }
    println!();
    for (name, points) in ["messages/s", "bytes/s", "CPU µs a tick", "state bytes"]
        .iter()
        .zip(&series)
    {
        let (slope, intercept, residual) = fit(points);
        println!("- {name}: {intercept:.1} + {slope:.4} for each VM, largest residual {residual:.1}");
    }
    for (size, times) in detection_times {
        println!("- {size} VMs: seconds until all VMs detect a stopped one: {times:?}");
    }
}
