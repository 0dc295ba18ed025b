//! Compares ways to assign objects to servers, for `docs/design/few-moves.md`.
//!
//! `cargo run --release --offline -p mh_route --example few_moves`

mod assigners;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assigners::{Assigner, Server, mix};
use mh_route::ServerSpec;
use mh_route::objects::{ListedServer, ObjectPool, ObjectRequest, RegionDistribution, WorkTimes};

const OBJECTS: u64 = 10_000;
const SERVERS: u64 = 300;

fn servers(count: u64) -> Vec<Server> {
    (0..count).map(server).collect()
}

fn server(id: u64) -> Server {
    Server {
        id,
        slots: if id.is_multiple_of(3) { 6 } else { 3 },
    }
}

/// First choices of all objects, as server ids.
fn choices(assigner: &dyn Assigner) -> Vec<u64> {
    (0..OBJECTS).map(mix).map(|object| assigner.choose(object)[0]).collect()
}

/// Fraction of the objects that every assignment with shares proportional to the slots has to move.
fn minimum(before: &[Server], after: &[Server]) -> f64 {
    let shares = |servers: &[Server]| -> BTreeMap<u64, f64> {
        let all: f64 = servers.iter().map(|server| f64::from(server.slots)).sum();
        servers
            .iter()
            .map(|server| (server.id, f64::from(server.slots) / all))
            .collect()
    };
    let (before, after) = (shares(before), shares(after));
    let gains = after
        .iter()
        .map(|(id, share)| (share - before.get(id).copied().unwrap_or(0.0)).max(0.0));
    gains.sum()
}

fn moved(before: &[u64], after: &[u64]) -> f64 {
    let differing = before.iter().zip(after).filter(|(before, after)| before != after);
    differing.count() as f64 / before.len() as f64
}

/// Largest load of a server relative to its slots. Demand of the objects differs by a factor of up to 30. With `two`,
/// each request goes to the less loaded of the object's two servers.
fn busiest(assigner: &dyn Assigner, servers: &[Server], two: bool) -> f64 {
    let slots: BTreeMap<u64, f64> = servers
        .iter()
        .map(|server| (server.id, f64::from(server.slots)))
        .collect();
    let mut load: BTreeMap<u64, f64> = slots.keys().map(|id| (*id, 0.0)).collect();
    let mut sent = 0.0;
    // Ten rounds in which the objects' requests arrive interleaved.
    for _ in 0..10 {
        for object in (0..OBJECTS).map(|object| mix(object * 7 + 1)) {
            let uniform = (mix(object) >> 11) as f64 / (1_u64 << 53) as f64;
            let demand = (1.0 / (uniform + 0.033)).min(30.0);
            let choices = assigner.choose(object);
            let relative = |id: &u64| load[id] / slots[id];
            let chosen = if two {
                *choices
                    .iter()
                    .min_by(|a, b| relative(a).total_cmp(&relative(b)))
                    .expect("two servers")
            } else {
                choices[0]
            };
            *load.get_mut(&chosen).expect("a listed server") += demand;
            sent += demand;
        }
    }
    let all: f64 = slots.values().sum();
    let relative = load.iter().map(|(id, load)| load / sent / (slots[id] / all));
    relative.fold(0.0, f64::max)
}

fn main() {
    println!("{SERVERS} servers of 3 and 6 slots, {OBJECTS} objects; moves as a multiple of the minimum by sizes");
    println!(
        "{:24} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>9} {:>7}",
        "way",
        "+1",
        "-1",
        "+10%",
        "in turn",
        "at once",
        "lo",
        "hi",
        "load 1",
        "load 2",
        "ns 300",
        "ns 3000",
        "build ms",
        "differ"
    );
    for (name, build) in assigners::ALL {
        let base = servers(SERVERS);
        let first = build(&base, None);
        let held = choices(first.as_ref());
        let change = |after: &[Server]| {
            let assigner = build(after, Some(first.as_ref()));
            moved(&held, &choices(assigner.as_ref())) / minimum(&base, after)
        };
        // Mean over ten single changes, because one of them moves only about 30 objects.
        let more = (0..10)
            .map(|n| change(&[base.clone(), vec![server(1000 + n)]].concat()))
            .sum::<f64>()
            / 10.0;
        let less = (0..10)
            .map(|n| change(&[&base[..n * 29], &base[n * 29 + 1..]].concat()))
            .sum::<f64>()
            / 10.0;
        let tenth = change(&servers(SERVERS + SERVERS / 10));

        // A new server is added and an old one removed, as two changes of the list.
        let (mut sum_moved, mut sum_minimum) = (0.0, 0.0);
        let (mut list, mut assigner, mut placed) = (base.clone(), build(&base, None), held.clone());
        for n in 0..60 {
            let mut replaced = list.clone();
            replaced[n].id += 3000;
            let both = [list.clone(), vec![replaced[n]]].concat();
            for next in [both, replaced] {
                let changed = build(&next, Some(assigner.as_ref()));
                let now = choices(changed.as_ref());
                sum_moved += moved(&placed, &now);
                sum_minimum += minimum(&list, &next);
                (list, assigner, placed) = (next, changed, now);
            }
        }
        let at_once = (0..10)
            .map(|n| {
                let mut after = base.clone();
                after[n * 29].id += 3000;
                change(&after)
            })
            .sum::<f64>()
            / 10.0;

        // Of 1,000,000 objects, so that the shares show the method and not the sample.
        let few = &base[..30];
        let assigner = build(few, None);
        let all: f64 = few.iter().map(|server| f64::from(server.slots)).sum();
        let mut counts: BTreeMap<u64, f64> = few.iter().map(|server| (server.id, 0.0)).collect();
        for object in (0..1_000_000).map(mix) {
            *counts.get_mut(&assigner.choose(object)[0]).expect("a listed server") += 1e-6;
        }
        let relative: Vec<f64> = few
            .iter()
            .map(|server| counts[&server.id] / (f64::from(server.slots) / all))
            .collect();
        let low = relative.iter().copied().fold(f64::MAX, f64::min);
        let high = relative.iter().copied().fold(0.0, f64::max);

        let cost = |assigner: &dyn Assigner| {
            let start = Instant::now();
            for object in (0..OBJECTS).map(|object| mix(object + 99)) {
                black_box(assigner.choose(object));
            }
            start.elapsed().as_nanos() as f64 / OBJECTS as f64
        };
        let large = servers(3000);
        let at_300 = cost(first.as_ref());
        let start = Instant::now();
        let assigner = build(&large, None);
        let build_ms = start.elapsed().as_secs_f64() * 1e3;
        let at_3000 = cost(assigner.as_ref());

        // Two VMs that began with different lists and then agree, except that the second one lacks three servers.
        let older = build(&servers(SERVERS - 20), None);
        let other_vm = build(&base[3..], Some(older.as_ref()));
        let differ = moved(&held, &choices(other_vm.as_ref())) / minimum(&base[3..], &base);

        println!(
            "{name:24} {more:7.2} {less:7.2} {tenth:7.2} {:8.2} {at_once:8.2} {low:7.3} {high:7.3} {:7.2} {:7.2} {at_300:7.0} {at_3000:8.0} {build_ms:9.1} {differ:7.2}",
            sum_moved / sum_minimum,
            busiest(first.as_ref(), &base, false),
            busiest(first.as_ref(), &base, true),
        );
    }

    print_pool_moves();
    for count in [30, 100, 300, 3000] {
        let [today, stable] = [false, true].map(|is_stable| place_cost(count, is_stable));
        println!("ObjectPool::place at {count} servers: today {today:.0} ns, stable {stable:.0} ns");
    }
}

/// Prints the moves of the product's pool in a region with 24 of 234 servers and a third of the callers,
/// for single changes of the list and for one VM more.
fn print_pool_moves() {
    let listed = |ids: &[u64]| -> Vec<ListedServer> {
        let region = |id: u64| ["north", "south", "east"][if id % 234 < 24 { 0 } else { 1 + id as usize % 2 }];
        ids.iter().map(|id| listed_server(*id, 3, region(*id))).collect()
    };
    let base: Vec<u64> = (0..234).collect();
    let changes = [
        ("one more in the region", (0..235).collect::<Vec<u64>>(), 1),
        ("one more elsewhere", [base.clone(), vec![234 + 30]].concat(), 1),
        ("one less in the region", base[1..].to_vec(), 1),
        ("one less elsewhere", base[..233].to_vec(), 1),
        (
            "ten replaced",
            [&base[10..], &(234..244).collect::<Vec<u64>>()].concat(),
            10,
        ),
    ];
    let now = tokio::time::Instant::now();
    let work_times = Arc::new(WorkTimes::new(Duration::from_millis(200), Duration::from_millis(600)));
    for (change, after, servers) in changes {
        let moves = [false, true].map(|is_stable| {
            let place = |ids: &[u64], vms: u32| -> Vec<String> {
                let distribution = RegionDistribution {
                    local_region: Some("north".into()),
                    vms: [("north".into(), vms), ("south".into(), 30), ("east".into(), 30)].into(),
                    ..RegionDistribution::default()
                };
                let pool = ObjectPool::new(&listed(ids), None, 0.0, 90, &distribution, now);
                let pool = if is_stable {
                    pool.with_stable_assignment(None)
                } else {
                    pool
                };
                let chosen = (0..OBJECTS).map(mix).map(|object| {
                    let request = ObjectRequest::new(Some(object), Duration::from_secs(2), &work_times);
                    let placement = pool.place(now, &request, 1).expect("idle servers");
                    placement.spec().name.to_string()
                });
                chosen.collect()
            };
            let held = place(&base, 30);
            let with_vm = place(&base, 31);
            let differing = |other: &[String]| held.iter().zip(other).filter(|(a, b)| a != b).count();
            (differing(&place(&after, 30)), differing(&with_vm))
        });
        let [(today, today_vm), (stable, stable_vm)] = moves;
        println!(
            "pool, {change} ({servers} of 234): moves of {OBJECTS} objects today {today}, stable {stable}; one VM more: today {today_vm}, stable {stable_vm}"
        );
    }
}

fn listed_server(id: u64, slots: u32, region: &str) -> ListedServer {
    ListedServer::serving(ServerSpec {
        name: format!("server-{id}").as_str().into(),
        addr: ([127, 0, 0, 1], 8000).into(),
        domain: format!("{region}-1").as_str().into(),
        region: region.into(),
        version: "v1".into(),
        slots,
        connections: 300,
    })
}

/// Nanoseconds of a choice by the product's pool.
fn place_cost(count: u64, is_stable: bool) -> f64 {
    let listed: Vec<ListedServer> = servers(count)
        .into_iter()
        .map(|server| listed_server(server.id, server.slots, "north"))
        .collect();
    let now = tokio::time::Instant::now();
    let pool = ObjectPool::new(&listed, None, 0.0, 1, &RegionDistribution::default(), now);
    let pool = if is_stable {
        pool.with_stable_assignment(None)
    } else {
        pool
    };
    if is_stable {
        let fewer = ObjectPool::new(&listed[1..], Some(&pool), 0.0, 1, &RegionDistribution::default(), now);
        let start = Instant::now();
        black_box(fewer.with_stable_assignment(Some(&pool)));
        println!(
            "rebuild and count of moves at {count} servers after one change: {:.2} ms",
            start.elapsed().as_secs_f64() * 1e3
        );
    }
    let work_times = Arc::new(WorkTimes::new(Duration::from_millis(200), Duration::from_millis(600)));
    let start = Instant::now();
    for object in (0..OBJECTS).map(mix) {
        let request = ObjectRequest::new(Some(object), Duration::from_secs(2), &work_times);
        drop(black_box(pool.place(now, &request, 1)));
    }
    start.elapsed().as_nanos() as f64 / OBJECTS as f64
}
