//! Measures the cost of an operation by size of the operation table, the memory per operation, and claim throughput by
//! load.
//!
//! `cargo run --release -p mh_once --example measure -- --seed 1`

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use mh_once::prelude::*;
use mh_once::{Batch, BatchOutcome, ClaimLimits, PushOutcome};
use mh_types::{Incarnation, OrgName, VmName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const SIZES: [u64; 4] = [10_000, 40_000, 160_000, 640_000];
const OPERATIONS: u64 = 400_000;
const LIFETIME: Duration = Duration::from_mins(15);
const ROUNDS: usize = 5;

fn owner(start: Instant) -> Owner {
    Owner::new(VmName::from("maine-a-1"), Incarnation(5), start)
}

fn limits(max_entries: usize) -> TableLimits {
    TableLimits {
        max_entries,
        max_answer_bytes: 1 << 30,
        lifetime: LIFETIME,
        ..TableLimits::default()
    }
}

fn answer(body: &Bytes) -> Answer {
    let header = (
        Bytes::from_static(b"content-type"),
        Bytes::from_static(b"application/json"),
    );
    Answer {
        status: 201,
        headers: vec![header],
        body: body.clone(),
    }
}

fn run_one(table: &OpTable, now: Instant, id: &OpId, body: &Bytes) {
    let BeginOutcome::Begin(attempt) = table.begin(now, id, Fingerprint::from_bits(7)) else {
        panic!("{id} did not run")
    };
    black_box(attempt.send().finish(now, answer(body)));
}

/// Nanoseconds per operation in an operation table of `size` operations, where one operation expires for each new one.
fn operation_cost(size: u64, rng: &mut StdRng) -> f64 {
    let start = Instant::now();
    let table = OpTable::new(owner(start), limits(2 * size as usize));
    let issuer = OpIdIssuer::new(owner(start));
    let body = Bytes::from(vec![b'x'; 200]);
    let issue_time = |n: u64| start + Duration::from_nanos(n * (LIFETIME.as_nanos() as u64 / size));
    for n in 0..size {
        run_one(&table, issue_time(n), &issuer.issue(issue_time(n), rng.random()), &body);
    }
    let ids: Vec<_> = (size..size + OPERATIONS)
        .map(|n| (issue_time(n), issuer.issue(issue_time(n), rng.random())))
        .collect();
    let timer = std::time::Instant::now();
    for (now, id) in &ids {
        run_one(&table, *now, id, &body);
    }
    let ns = timer.elapsed().as_nanos() as f64 / OPERATIONS as f64;
    let entries = table.usage().entries as u64;
    assert!(
        entries >= size && entries < size + size / 10,
        "the table is not in a steady state: {entries} entries"
    );
    ns
}

/// Nanoseconds per repeat whose answer is kept.
fn repeat_cost(size: u64, rng: &mut StdRng) -> f64 {
    let now = Instant::now();
    let table = OpTable::new(owner(now), limits(size as usize));
    let issuer = OpIdIssuer::new(owner(now));
    let body = Bytes::from(vec![b'x'; 200]);
    let ids: Vec<_> = (0..size).map(|_| issuer.issue(now, rng.random())).collect();
    for id in &ids {
        run_one(&table, now, id, &body);
    }
    let picks: Vec<_> = (0..OPERATIONS).map(|_| rng.random_range(0..ids.len())).collect();
    let timer = std::time::Instant::now();
    for pick in picks {
        black_box(table.begin(now, &ids[pick], Fingerprint::from_bits(7)));
    }
    timer.elapsed().as_nanos() as f64 / OPERATIONS as f64
}

/// Intercept, slope and coefficient of determination of the least-squares line through the points.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - my).powi(2)).sum();
    (my - sxy / sxx * mx, sxy / sxx, sxy * sxy / (sxx * syy))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn print_costs(rng: &mut StdRng) {
    println!("| operations held | begin + send + finish, ns | lowest | highest | repeat, ns |");
    println!("| --- | --- | --- | --- | --- |");
    let mut points = Vec::new();
    for size in SIZES {
        let runs: Vec<_> = (0..ROUNDS).map(|_| operation_cost(size, rng)).collect();
        let repeat = median((0..ROUNDS).map(|_| repeat_cost(size, rng)).collect());
        let (low, high) = (
            runs.iter().copied().fold(f64::MAX, f64::min),
            runs.iter().copied().fold(0.0, f64::max),
        );
        let median_ns = median(runs);
        println!("| {size} | {median_ns:.0} | {low:.0} | {high:.0} | {repeat:.0} |");
        points.push((size as f64, median_ns));
    }
    let (a, b, r2) = fit_line(&points);
    println!(
        "\nlinear fit over the size: {a:.0} ns + {:.1} ns for each 100,000 held, r² {r2:.2}",
        b * 1e5
    );
    let doublings: Vec<_> = points.iter().map(|(x, y)| (x.log2(), *y)).collect();
    let (a, b, r2) = fit_line(&doublings);
    println!("linear fit over log2 of the size: {a:.0} ns + {b:.1} ns for each doubling, r² {r2:.2}\n");
}

/// Prints the operations per second of several threads on one operation table.
fn print_threads(rng: &mut StdRng) {
    println!("| threads | operations a second |");
    println!("| --- | --- |");
    for threads in [1_u64, 2, 4] {
        let now = Instant::now();
        let table = OpTable::new(owner(now), limits(4_000_000));
        let issuer = OpIdIssuer::new(owner(now));
        let body = Bytes::from(vec![b'x'; 200]);
        let parts: Vec<Vec<_>> = (0..threads)
            .map(|_| (0..OPERATIONS).map(|_| issuer.issue(now, rng.random())).collect())
            .collect();
        let timer = std::time::Instant::now();
        std::thread::scope(|scope| {
            for ids in &parts {
                let (table, body) = (&table, &body);
                scope.spawn(move || ids.iter().for_each(|id| run_one(table, now, id, body)));
            }
        });
        println!(
            "| {threads} | {:.0} |",
            (threads * OPERATIONS) as f64 / timer.elapsed().as_secs_f64()
        );
    }
    println!();
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        * 4096.0
}

/// Prints one row of the memory results. A process measures only one body size, because freed memory is not returned to
/// the operating system.
fn print_memory(body_bytes: usize, rng: &mut StdRng) {
    const COUNT: u64 = 400_000;
    let now = Instant::now();
    let table = OpTable::new(owner(now), limits(COUNT as usize));
    let issuer = OpIdIssuer::new(owner(now));
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let before = resident_bytes();
    for _ in 0..COUNT {
        run_one(&table, now, &issuer.issue(now, rng.random()), &body);
    }
    let each = (resident_bytes() - before) / COUNT as f64;
    let usage = table.usage();
    let counted = usage.answer_bytes as f64 / usage.answers.max(1) as f64;
    println!(
        "| {body_bytes} | {each:.0} | {:.0} | {counted:.0} |",
        each - body_bytes as f64 - 28.0
    );
}

/// Prints one row of the claims results: `rate` claims per second for 20 s of simulated time, with a platform table
/// that replies after 20 ms.
fn print_claims(rate: u64) {
    const SECONDS: u64 = 20;
    const REPLY: Duration = Duration::from_millis(20);
    let start = Instant::now();
    let mut batcher = ClaimBatcher::new(owner(start), ClaimLimits::default(), start);
    let org = OrgName::from("sales/acme");
    let mut replies: std::collections::VecDeque<(Instant, Batch)> = std::collections::VecDeque::new();
    let (mut writes, mut claimed, mut refused, mut pushed) = (0_u64, 0_u64, 0_u64, 0_u64);
    let mut waits = Vec::new();
    let timer = std::time::Instant::now();
    for ms in 0..SECONDS * 1_000 {
        let now = start + Duration::from_millis(ms);
        while pushed * 1_000 < rate * ms {
            let Ok(OpId::Caller(id)) = OpId::parse(&format!("order-{pushed}"), Some(&org)) else {
                panic!("a valid id")
            };
            refused += u64::from(matches!(batcher.push(now, &id), PushOutcome::Refuse(..)));
            pushed += 1;
        }
        while replies.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, batch)) = replies.pop_front() else { break };
            claimed += batcher
                .on_outcome(&batch.write_id, BatchOutcome::Committed)
                .settled
                .len() as u64;
            waits.extend(batch.rows.iter().map(|(_, row)| ms as f64 - row.claimed_ms as f64));
        }
        let poll = batcher.poll(now);
        refused += poll.settled.len() as u64;
        if let Some(batch) = poll.batch {
            writes += 1;
            replies.push_back((now + REPLY, batch));
        }
    }
    let cpu = timer.elapsed().as_nanos() as f64 / pushed as f64;
    let per_second = |n: u64| n as f64 / SECONDS as f64;
    println!(
        "| {rate} | {:.0} | {:.1} | {:.1} | {:.0} | {:.0} | {cpu:.0} |",
        per_second(claimed),
        per_second(writes),
        claimed as f64 / writes as f64,
        median(waits),
        per_second(refused),
    );
}

fn argument(name: &str) -> Option<u64> {
    std::env::args()
        .skip_while(|arg| arg != name)
        .nth(1)
        .and_then(|value| value.parse().ok())
}

fn main() {
    let mut rng = StdRng::seed_from_u64(argument("--seed").unwrap_or(1));
    if let Some(body) = argument("--memory") {
        return print_memory(body as usize, &mut rng);
    }
    print_costs(&mut rng);
    print_threads(&mut rng);
    println!(
        "| claims a second | claimed | table writes | claims a write | median wait, ms | refused | CPU ns a claim |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    [5, 20, 100, 500, 1_000, 2_000].into_iter().for_each(print_claims);
}
