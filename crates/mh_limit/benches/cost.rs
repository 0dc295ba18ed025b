//! Cost of limits for one VM of a large fleet: time of each step and size of each message.
//!
//! `cargo bench -p mh_limit`

use std::hint::black_box;
use std::time::Duration;

use mh_limit::{Admission, Ask, LimitVm, Limits, Msg, Reply, ServerLimit, Statement, Target, Verdict};
use tokio::time::Instant;

/// VMs per failure domain.
const VMS_PER_DOMAIN: usize = 35;

fn vms(count: usize) -> Vec<LimitVm> {
    let vm = |n: usize| LimitVm {
        vm: format!("front-me-north-{n}").as_str().into(),
        domain: format!("domain-{}", n / VMS_PER_DOMAIN).as_str().into(),
        region: format!("region-{}", n / VMS_PER_DOMAIN / 3).as_str().into(),
    };
    (0..count).map(vm).collect()
}

fn statement(server: usize) -> Statement {
    Statement {
        server: format!("i-{server:010x}").as_str().into(),
        run: 1_796_000_000_000,
        change: 1,
        limit: ServerLimit::parse("4.2").ok(),
    }
}

fn target(server: usize) -> Target {
    let statement = statement(server);
    Target {
        server: statement.server,
        run: statement.run,
        domain: format!("domain-{}", server % 9).as_str().into(),
        region: "region-0".into(),
    }
}

/// Mean time of one call of `step`.
fn time(calls: u32, mut step: impl FnMut(u32)) -> Duration {
    let started = Instant::now();
    for call in 0..calls {
        step(call);
    }
    started.elapsed() / calls
}

fn bytes<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn main() {
    for (vm_count, servers) in [(300, 230), (1500, 1150)] {
        let now = Instant::now() + Duration::from_secs(100);
        let vms = vms(vm_count);
        let mut limits = Limits::new(vms[0].vm.clone());
        limits.set_vms(now, &vms, vm_count);
        let now = now + Duration::from_secs(2);
        let from = vms[1].vm.clone();
        for server in 0..servers {
            limits.on_msg(now, &from, Msg::Statements(vec![statement(server)]), |_| true);
        }
        let targets: Vec<Target> = (0..servers).map(target).collect();
        let pick = |call: u32| &targets[call as usize % servers];
        let admit = time(100_000, |call| drop(black_box(limits.admit(now, pick(call)))));
        let ask = |server: usize| Ask {
            target: target(server),
            statement: statement(server),
        };
        let asks: Vec<Ask> = (0..servers).map(ask).collect();
        let on_ask = time(100_000, |call| {
            drop(black_box(limits.on_ask(now, &asks[call as usize % servers])));
        });
        let owned = targets
            .iter()
            .filter(|target| !matches!(limits.admit(now, target), Admission::Ask(..)))
            .count();
        let first_tick = limits.on_tick(now, 7);
        let spread: usize = first_tick.iter().map(|(_, msg)| bytes(msg)).sum();
        let tick = time(1000, |call| {
            drop(black_box(
                limits.on_tick(now + Duration::from_millis(200) * call, u64::from(call)),
            ));
        });
        let moved = &vms[..vm_count - 1];
        let set_vms = time(100, |call| {
            let alive = if call % 2 == 0 { moved } else { &vms };
            limits.set_vms(now + Duration::from_secs(u64::from(call)), alive, vm_count);
        });
        let reply = Reply {
            verdict: Verdict::Full(Duration::from_millis(200)),
            newer: None,
        };
        println!("{vm_count} VMs, {servers} servers with limits, {owned} of them owned");
        println!("  admit {admit:?}, on_ask {on_ask:?}, tick {tick:?}, set_vms {set_vms:?}");
        println!(
            "  bytes: ask {}, reply {}, statement {}, digest {}, statements of the busiest tick {spread}",
            bytes(&asks[0]),
            bytes(&reply),
            bytes(&statement(0)),
            bytes(&Msg::Digest {
                hash: u64::MAX,
                is_reply: false
            }),
        );
    }
}
