//! Speed of the request path and of a holder's tick.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mh_budget::prelude::*;
use mh_budget::{Allowance, Ask, Body, MICROTOKENS_PER_TOKEN, Meter, TokenMove};
use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

/// Numbers of VMs that own slots; up to 64 of them ask for a loan, the most borrowers that a holder accepts.
const PEERS: [u16; 4] = [10, 100, 500, 1_500];

fn holder(now: Instant, peers: u16) -> BudgetHolder {
    let identity = Arc::new(VmIdentity {
        vm: "vm-0".into(),
        domain: "domain-0".into(),
        incarnation: Incarnation(1),
    });
    let budget = Arc::new(Budget::new("org/a/b".into(), 10_000.0, 20_000.0).expect("valid budget"));
    let mut holder = BudgetHolder::new(now, identity, budget, Arc::new(LendingSettings::default()), 43, 0);
    let owner = |vm| Owner {
        vm: VmName::from(format!("vm-{vm}")),
        domain: format!("domain-{}", vm % 43).as_str().into(),
    };
    holder.set_owners(now, Arc::new((0..peers).map(owner).collect()));
    holder.adopt_slots(now, now, &(0..4).collect(), Adoption::New);
    for vm in 1..peers.min(65) {
        let one = Share::of_tokens(1);
        let ask = Ask {
            number: 1,
            lender: Incarnation(1),
            held: Share::EMPTY,
            returned: 0,
            need: one,
            want: one,
            elsewhere: Share::EMPTY,
            level: 0,
        };
        let msg = Msg {
            budget: "org/a/b".into(),
            incarnation: Incarnation(1),
            body: Body::Ask(ask),
        };
        holder.on_msg(now, &VmName::from(format!("vm-{vm}")), &msg);
    }
    holder
}

fn budget(c: &mut Criterion) {
    let start = Instant::now();
    let (meter, mut writer) = Meter::new(start, 200_000_000 * MICROTOKENS_PER_TOKEN);
    let until = start + Duration::from_secs(16);
    let allowance = Allowance::own(1_000_000_000_000, 200_000_000 * MICROTOKENS_PER_TOKEN, until);
    writer.set_share(start, &allowance, TokenMove::Add(200_000_000 * MICROTOKENS_PER_TOKEN));
    c.bench_function("try_take, given now", |b| {
        b.iter(|| black_box(meter.try_take(black_box(start), 1)));
    });
    c.bench_function("try_take_with, reading the clock twice", |b| {
        writer.set_share(start, &allowance, TokenMove::Keep);
        b.iter(|| black_box(meter.try_take_with(Instant::now, 1)));
    });
    let mut group = c.benchmark_group("holder tick");
    for peers in PEERS {
        let mut holder = holder(start, peers);
        println!(
            "{peers} peers: {} lent, {} bytes",
            holder.lent_share().0 / MICROTOKENS_PER_TOKEN,
            holder.memory_bytes()
        );
        group.bench_function(BenchmarkId::from_parameter(peers), |b| {
            let mut now = start;
            b.iter(|| {
                // The time advances by 100 ns only, so that no loan ends and each tick tries to borrow.
                now += Duration::from_nanos(100);
                let _ = holder.limiter().decide(|| now, 100);
                black_box(holder.on_tick(now))
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = budget
}
criterion_main!(benches);
