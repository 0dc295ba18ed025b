//! Measures the time and memory of look-ups and changes at four table sizes.
//!
//! ```sh
//! cargo run --release -p mh_lookup --example sizes -- --seed 1 [--size 0|1|2|3]
//! ```

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

use mh_lookup::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of blocks, sites and VMs of each size; the last is the target size.
const SIZES: [(usize, u16, usize); 4] = [
    (1_000, 6, 9),
    (30_000, 43, 150),
    (300_000, 150, 750),
    (1_800_000, 300, 1_500),
];

/// Fraction of the blocks that are IPv6.
const V6_FRACTION: f64 = 0.25;

/// Rankings per site, which differ in the sites after the nearest one.
const RANKINGS_PER_SITE: usize = 16;

/// Number of timed look-ups.
const LOOK_UPS: usize = 2_000_000;

/// Number of timed changes of each kind.
const CHANGES: usize = 200;

fn random_block(rng: &mut StdRng) -> Block {
    loop {
        let block = if rng.random_bool(V6_FRACTION) {
            let len = [32, 40, 44, 48, 48, 48, 56][rng.random_range(0..7)];
            let bits = 0x2000_0000_0000_0000 | (rng.random::<u64>() >> 3);
            Block::new(
                Ipv6Addr::from_bits(u128::from(bits & (u64::MAX << (64 - len))) << 64).into(),
                len,
            )
        } else {
            let len = [16, 19, 20, 22, 22, 23, 24, 24, 24, 24, 24, 24][rng.random_range(0..12)];
            Block::new(
                Ipv4Addr::from_bits(rng.random::<u32>() & (u32::MAX << (32 - len))).into(),
                len,
            )
        };
        if let Ok(block) = block {
            return block;
        }
    }
}

fn random_address(rng: &mut StdRng, blocks: &[(Block, RankingId)]) -> IpAddr {
    match blocks[rng.random_range(0..blocks.len())].0.addr() {
        IpAddr::V4(a) => Ipv4Addr::from_bits(a.to_bits() | rng.random_range(0..256)).into(),
        IpAddr::V6(a) => Ipv6Addr::from_bits(a.to_bits() | u128::from(rng.random::<u64>())).into(),
    }
}

fn spec(blocks: usize, sites: u16, vms: usize, rng: &mut StdRng) -> TableSpec {
    let all: Vec<SiteId> = (0..sites).map(SiteId).collect();
    let mut rankings = vec![all];
    for site in 0..sites {
        for _ in 0..RANKINGS_PER_SITE {
            let mut near = vec![SiteId(site)];
            near.extend((0..5).map(|_| SiteId(rng.random_range(0..sites))));
            rankings.push(near);
        }
    }
    let vm = |i: usize| VmSpec {
        name: format!("vm-{i}").into(),
        addr: ([127, 0, 0, 1], 8080).into(),
        site: SiteId((i % usize::from(sites)) as u16),
        weight: rng.random_range(1..5),
        state: VmAvailability::Serving,
        headroom: u32::MAX,
    };
    let vms = (0..vms).map(vm).collect();
    let count = rankings.len() as u16;
    let mut distinct: Vec<(Block, RankingId)> = Vec::with_capacity(blocks + blocks / 8);
    while distinct.len() < blocks {
        let missing = blocks - distinct.len();
        distinct.extend((0..missing).map(|_| (random_block(rng), RankingId(rng.random_range(0..count)))));
        distinct.sort_by_key(|(block, _)| *block);
        distinct.dedup_by_key(|(block, _)| *block);
    }
    TableSpec {
        lifetime: Duration::from_secs(30),
        vms,
        rankings,
        blocks: distinct,
        homes: vec![("team/small".into(), vec!["vm-1".into(), "vm-2".into()])],
    }
}

/// Returns a memory value of this process in bytes, by the name of its line in `/proc/self/status`.
fn memory(line: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(line)).unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse::<usize>().ok())
        .unwrap_or(0)
        * 1024
}

/// Returns the CPU time of this thread, in nanoseconds; zero where the system does not report it.
///
/// On a busy machine the wall clock also includes the time of other processes.
fn cpu_nanos() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0)
}

/// Returns the number after the option `name` on the command line.
fn argument(name: &str) -> Option<u64> {
    let mut args = std::env::args().skip_while(|a| a != name).skip(1);
    args.next().and_then(|v| v.parse().ok())
}

/// Returns the median and the maximum time of `CHANGES` changes, in microseconds.
fn time_changes(table: &Table, mut change: impl FnMut(usize) -> Change) -> (f64, f64) {
    let mut table = table.clone();
    let mut times: Vec<f64> = (0..CHANGES)
        .map(|i| {
            let change = change(i);
            let start = Instant::now();
            table = black_box(table.with_change(&change).expect("the change is valid"));
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}

fn main() {
    let seed = argument("--seed").unwrap_or(1);
    // The peak memory is only meaningful if the process runs a single size.
    let only = argument("--size").map(|i| i as usize);
    let columns = [
        "blocks",
        "sites",
        "VMs",
        "CPU ns per lookup",
        "wall-clock ns per lookup",
        "CPU ns in block search",
        "lookups per second per core",
        "p99 ns",
        "bytes a block",
        "block memory MB",
        "growth of the process MB",
        "peak RSS without caller list, MB",
        "build ms",
        "block change us, median / max",
        "VM state change us, median / max",
    ];
    println!("| {} |", columns.join(" | "));
    println!("|{}", " --- |".repeat(columns.len()));
    for (_, (blocks, sites, vms)) in SIZES
        .into_iter()
        .enumerate()
        .filter(|(i, _)| only.is_none_or(|o| o == *i))
    {
        let mut rng = StdRng::seed_from_u64(seed);
        let spec = spec(blocks, sites, vms, &mut rng);
        let callers: Vec<IpAddr> = (0..LOOK_UPS).map(|_| random_address(&mut rng, &spec.blocks)).collect();
        let count = spec.rankings.len() as u16;
        let freed = spec.blocks.capacity() * size_of::<(Block, RankingId)>();
        let before = memory("VmRSS:").saturating_sub(freed);
        let start = Instant::now();
        let table = Table::build(spec).expect("the specification is valid");
        let build_ms = start.elapsed().as_secs_f64() * 1e3;
        let growth = memory("VmRSS:").saturating_sub(before);
        let peak = memory("VmHWM:").saturating_sub(size_of_val(&*callers));

        let (start, cpu_start) = (Instant::now(), cpu_nanos());
        for (i, addr) in callers.iter().enumerate() {
            black_box(table.find(*addr, None, i as u64).first().map(|c| c.vm.addr));
        }
        let nanos = start.elapsed().as_secs_f64() * 1e9 / LOOK_UPS as f64;
        let core = (cpu_nanos() - cpu_start) / LOOK_UPS as f64;

        let cpu_start = cpu_nanos();
        for addr in &callers {
            black_box(table.ranking_of(*addr));
        }
        let search_nanos = (cpu_nanos() - cpu_start) / LOOK_UPS as f64;
        let mut single: Vec<u128> = callers
            .iter()
            .take(LOOK_UPS / 10)
            .map(|addr| {
                let start = Instant::now();
                black_box(table.find(*addr, None, 1));
                start.elapsed().as_nanos()
            })
            .collect();
        single.sort_unstable();

        let block_times = time_changes(&table, |i| {
            Change::Block(random_block(&mut rng), Some(RankingId(i as u16 % count)))
        });
        let state_times = time_changes(&table, |i| {
            let state = if i % 2 == 0 {
                VmAvailability::Leaving
            } else {
                VmAvailability::Serving
            };
            Change::State(format!("vm-{}", i % vms).into(), state)
        });
        println!(
            "| {} | {sites} | {vms} | {core:.0} | {nanos:.0} | {search_nanos:.0} | {:.2} M | {} | {:.1} | {:.1} | {:.1} | {:.1} | {build_ms:.1} | {:.0} / {:.0} | {:.0} / {:.0} |",
            table.block_count(),
            1e3 / core,
            single[single.len() * 99 / 100],
            table.block_bytes() as f64 / table.block_count() as f64,
            table.block_bytes() as f64 / 1e6,
            growth as f64 / 1e6,
            peak as f64 / 1e6,
            block_times.0,
            block_times.1,
            state_times.0,
            state_times.1,
        );
    }
}
