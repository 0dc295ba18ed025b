//! Measures the detection of faulty versions, the time to finish with good ones, and the cost of evidence.
//!
//! `cargo run --release -p mh_shift --example shift_measure -- --runs 40 --seed 1 --part bad|good|cost --rate 100`

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::hint::black_box;

use mh_shift::{
    Evidence, Fraction, Sample, Settings, Shift, ShiftSpec, Side, TakeBackReason, TerminalState, VmContext,
};
use mh_types::{DomainName, Incarnation, RouteName, VmName};
use sim::scenario::{DomainFault, Scenario, VersionFault};
use sim::{Report, Sim};
use tokio::time::{Duration, Instant};

fn arg(name: &str) -> Option<String> {
    let args: Vec<String> = std::env::args().collect();
    args.iter()
        .position(|a| a == name)
        .and_then(|at| args.get(at + 1))
        .cloned()
}

fn run_all(scenarios: &[Scenario]) -> Vec<Report> {
    let chunk = scenarios.len().div_ceil(3).max(1);
    std::thread::scope(|scope| {
        let job = |c: &[Scenario]| c.iter().cloned().map(|p| Sim::new(p).run()).collect::<Vec<_>>();
        let jobs: Vec<_> = scenarios.chunks(chunk).map(|c| scope.spawn(move || job(c))).collect();
        jobs.into_iter()
            .flat_map(|j| j.join().expect("no panic in a run"))
            .collect()
    })
}

fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let at = ((values.len() as f64 * q) as usize).min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or(f64::NAN)
}

fn kinds() -> Vec<(&'static str, VersionFault)> {
    let bad = |errors, slow, route, from_s, min_share| VersionFault {
        from_s,
        errors,
        slow,
        route,
        min_share: Fraction::from_millionths(min_share),
    };
    vec![
        ("all requests fail", bad(1.0, 1.0, None, 0.0, 0)),
        ("20% fail", bad(0.2, 1.0, None, 0.0, 0)),
        ("5% fail", bad(0.05, 1.0, None, 0.0, 0)),
        ("5 times as slow", bad(0.0, 5.0, None, 0.0, 0)),
        ("2.5 times as slow", bad(0.0, 2.5, None, 0.0, 0)),
        ("route of 50% fails", bad(1.0, 1.0, Some(0), 0.0, 0)),
        ("route of 20% fails", bad(1.0, 1.0, Some(2), 0.0, 0)),
        ("route of 20%, 30% fail", bad(0.3, 1.0, Some(2), 0.0, 0)),
        ("route of 20% 5 times as slow", bad(0.0, 5.0, Some(2), 0.0, 0)),
        ("50% fail from 10% share", bad(0.5, 1.0, None, 0.0, 100_000)),
        ("4 times as slow from 50% share", bad(0.0, 4.0, None, 0.0, 500_000)),
        ("all fail after 60 s", bad(1.0, 1.0, None, 60.0, 0)),
        ("20% fail after 80 s", bad(0.2, 1.0, None, 80.0, 0)),
    ]
}

fn bad(runs: u64, seed: u64, rate: f64) {
    println!(
        "| fault | taken back | bad requests p50 / max | of all, max | to detect p50 / p95, s | later than 2 s p50 / max | new in total, max |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, kind) in kinds() {
        let scenario = |n| Scenario {
            version_fault: Some(kind.clone()),
            rate,
            ..Scenario::fault_free(seed + n)
        };
        let reports = run_all(&(0..runs).map(scenario).collect::<Vec<_>>());
        let back = reports
            .iter()
            .filter(|r| matches!(r.end, Some(TerminalState::TakenBack(TakeBackReason::Fault(_)))))
            .count();
        let took = |r: &Report| Some(r.detected_s? - r.shown_s?);
        let detect: Vec<f64> = reports.iter().filter_map(took).collect();
        let of = |f: &dyn Fn(&Report) -> f64| reports.iter().map(f).collect::<Vec<f64>>();
        let bad = of(&|r| r.faulty_requests as f64);
        let late = of(&|r| r.late_faulty_requests as f64);
        println!(
            "| {name} | {back}/{runs} | {} / {} | {:.3}% | {:.2} / {:.2} | {} / {} | {:.2}% |",
            quantile(bad.clone(), 0.5),
            quantile(bad, 1.0),
            quantile(of(&|r| r.faulty_requests as f64 / r.requests as f64 * 100.0), 1.0),
            quantile(detect.clone(), 0.5),
            quantile(detect, 0.95),
            quantile(late.clone(), 0.5),
            quantile(late, 1.0),
            quantile(of(&|r| r.new_before_end as f64 / r.requests as f64 * 100.0), 1.0),
        );
    }
}

fn good(runs: u64, seed: u64) {
    let domain_fault = |errors, slow| DomainFault {
        domain: 2,
        from_s: 20.0,
        to_s: 400.0,
        errors,
        slow,
    };
    let rotating_faults = |n: u64| -> Vec<DomainFault> {
        let at = |k: u64| 15.0 + 20.0 * k as f64 + (n % 7) as f64;
        (0..20)
            .map(|k| DomainFault {
                domain: (k % 6) as usize,
                from_s: at(k),
                to_s: at(k) + 10.0,
                errors: 0.4,
                slow: 5.0,
            })
            .collect()
    };
    let cases: [(&str, &dyn Fn(u64) -> Scenario); 8] = [
        ("no faults", &|n| Scenario::fault_free(seed + n)),
        ("one domain, 30% errors", &|n| Scenario {
            domain_faults: vec![domain_fault(0.3, 1.0)],
            ..Scenario::fault_free(seed + n)
        }),
        ("one domain, 5 times as slow", &|n| Scenario {
            domain_faults: vec![domain_fault(0.0, 5.0)],
            ..Scenario::fault_free(seed + n)
        }),
        ("every domain, 5 times as slow", &|n| {
            let all = (0..6)
                .map(|domain| DomainFault {
                    domain,
                    ..domain_fault(0.0, 5.0)
                })
                .collect();
            Scenario {
                domain_faults: all,
                ..Scenario::fault_free(seed + n)
            }
        }),
        ("domains fail in turn, 10 s each", &|n| Scenario {
            domain_faults: rotating_faults(n),
            ..Scenario::fault_free(seed + n)
        }),
        ("10% errors on the route of 20%", &|n| Scenario {
            base_errors: [0.001, 0.001, 0.1],
            ..Scenario::fault_free(seed + n)
        }),
        ("10% errors on the route of 50%", &|n| Scenario {
            base_errors: [0.1, 0.001, 0.001],
            ..Scenario::fault_free(seed + n)
        }),
        ("one domain cut off", &|n| {
            let mut scenario = Scenario::fault_free(seed + n);
            scenario.cut_domain(1, 30.0, 200.0);
            scenario
        }),
    ];
    println!("| case | done by the deadline | taken back for a fault | time to finish p50 / max, s |");
    println!("| --- | --- | --- | --- |");
    for (name, scenario) in cases {
        let reports = run_all(&(0..runs).map(scenario).collect::<Vec<_>>());
        let done: Vec<f64> = reports
            .iter()
            .filter(|r| r.end == Some(TerminalState::Done))
            .filter_map(|r| r.end_s)
            .collect();
        let taken_back = reports
            .iter()
            .filter(|r| matches!(r.end, Some(TerminalState::TakenBack(TakeBackReason::Fault(_)))))
            .count();
        let n = done.len();
        println!(
            "| {name} | {n}/{runs} | {taken_back} | {:.0} / {:.0} |",
            quantile(done.clone(), 0.5),
            quantile(done, 1.0)
        );
    }
}

fn cost() {
    println!("| VMs | bytes of one VM's evidence | bytes of all VMs | merge of all VMs, µs | control step, µs |");
    println!("| --- | --- | --- | --- | --- |");
    let mut points = vec![];
    for n in [10_usize, 100, 500, 1_500] {
        let now = Instant::now();
        let mut shifts: Vec<Shift> = (0..n).map(|v| shift(now, v)).collect();
        let wall = "2026-12-04T12:00:00Z".parse().expect("a valid time");
        let load = |s: &mut Shift, at: Instant| {
            for i in 0..100_u32 {
                let route = RouteName::from(format!("nets/r{}", i % 3));
                let side = if i % 10 == 0 { Side::New } else { Side::Old };
                let domain = DomainName::from("d00");
                let latency = Duration::from_millis(10);
                s.observe(&Sample {
                    route: &route,
                    side,
                    domain: &domain,
                    ok: i % 50 != 0,
                    latency,
                });
            }
            s.evaluate(at, wall);
            s.evidence()
        };
        let later = now + Duration::from_secs(1);
        let all: Vec<Evidence> = shifts.iter_mut().map(|s| load(s, later)).collect();
        let bytes: usize = all.iter().map(Evidence::wire_bytes).sum();
        let rounds = (20_000 / n).max(5) as u32;
        let mut spent = Duration::ZERO;
        let mut one = shift(now, 0);
        for round in 0..rounds {
            let with_new_requests = |e: &Evidence| {
                let mut e = Evidence {
                    seq: u64::from(round) + 10,
                    ..e.clone()
                };
                e.scores.iter_mut().for_each(|s| s.new += round);
                e
            };
            let newer: Vec<Evidence> = all.iter().map(with_new_requests).collect();
            let start = Instant::now();
            for e in &newer {
                one.merge(later, later, &e.vm, black_box(e));
            }
            spent += start.elapsed();
        }
        let merge = spent.as_secs_f64() / f64::from(rounds) * 1e6;
        let start = Instant::now();
        for i in 0..1_000_u32 {
            black_box(one.evaluate(later + Duration::from_millis(u64::from(i) * 100), wall));
        }
        let step = start.elapsed().as_secs_f64() * 1e6 / 1_000.0;
        println!("| {n} | {} | {bytes} | {merge:.1} | {step:.2} |", bytes / n);
        points.push((n as f64, bytes as f64, merge));
    }
    let fit = |y: &dyn Fn(&(f64, f64, f64)) -> f64| {
        let k = points.len() as f64;
        let (mx, my) = (
            points.iter().map(|p| p.0).sum::<f64>() / k,
            points.iter().map(y).sum::<f64>() / k,
        );
        let b = points.iter().map(|p| (p.0 - mx) * (y(p) - my)).sum::<f64>()
            / points.iter().map(|p| (p.0 - mx).powi(2)).sum::<f64>();
        (my - b * mx, b)
    };
    let (a, b) = fit(&|p| p.1);
    println!("\nbytes of all VMs = {a:.0} + {b:.1} * VMs");
    let (a, b) = fit(&|p| p.2);
    println!("merge of all VMs, µs = {a:.1} + {b:.3} * VMs");
}

fn shift(now: Instant, v: usize) -> Shift {
    let spec = ShiftSpec {
        name: "nets/stock-v2".into(),
        service: "nets/stock".into(),
        from: "v1".into(),
        to: "v2".into(),
        cap: Fraction::from_millionths(500_000),
        deadline: "2026-12-04T13:00:00Z".parse().expect("a valid time"),
        guard: mh_shift::Guard::default(),
        steps: ShiftSpec::default_steps(),
    };
    let context = VmContext {
        vm: VmName::from(format!("vm{v}")),
        incarnation: Incarnation(1),
        domain: DomainName::from(format!("d{:02}", v % 43)),
        rank: v as u32,
        routes: (0..3).map(|r| RouteName::from(format!("nets/r{r}"))).collect(),
        domains: (0..43).map(|d| DomainName::from(format!("d{d:02}"))).collect(),
    };
    Shift::new(now, spec, Settings::default(), context).expect("a valid specification")
}

fn main() {
    let number = |name, default| arg(name).and_then(|v| v.parse().ok()).unwrap_or(default);
    let (runs, seed) = (number("--runs", 40), number("--seed", 1));
    match arg("--part").as_deref() {
        Some("good") => good(runs, seed),
        Some("cost") => cost(),
        _ => bad(runs, seed, number("--rate", 100) as f64),
    }
}
