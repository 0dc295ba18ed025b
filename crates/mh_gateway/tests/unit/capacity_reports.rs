//! Size and spare capacity of a VM.

use super::*;

fn capacities(cores: f64, link_mbps: f64) -> Capacities {
    Capacities {
        size: 1.0,
        cores: Some(cores),
        link_mbps: Some(link_mbps),
        descriptors: 4100,
        measured: None,
        spare: 1.0,
        logged_spare: 1.0,
        told: HashMap::new(),
        rounds: 0,
    }
}

/// Spare capacity after 20 s in which each second takes `cpu` and `bytes`.
fn spare_after(mut capacities: Capacities, cpu: Duration, bytes: u64, open: usize, is_cut_off: bool) -> f64 {
    let start = Instant::now();
    for n in 0..20 {
        let at = start + Duration::from_secs(n);
        capacities.measure(at, cpu * n as u32, bytes * n, open, is_cut_off);
    }
    capacities.spare()
}

/// Guards against a VM whose processor, link or descriptors are used up, or that reaches no server, and that look-ups
/// return as if it were idle. The VM has 0.1 core and 10 Mbit/s.
#[test]
fn the_scarcest_resource_counts() {
    let small = || capacities(0.1, 10.0);
    let idle = Duration::ZERO;

    assert!(spare_after(small(), idle, 0, 41, false) > 0.95);
    let by_cpu = spare_after(small(), Duration::from_millis(90), 0, 41, false);
    assert!((0.09..0.15).contains(&by_cpu), "{by_cpu}");
    let by_link = spare_after(small(), idle, 1_125_000, 41, false);
    assert!((0.09..0.15).contains(&by_link), "{by_link}");
    let by_descriptors = spare_after(small(), idle, 0, 3690, false);
    assert!((0.09..0.15).contains(&by_descriptors), "{by_descriptors}");
    assert!(spare_after(small(), idle, 0, 41, true) < 0.05);
}

/// Guards against moving callers for a burst of one second.
#[test]
fn a_short_burst_takes_a_part_only() {
    let mut capacities = capacities(0.1, 10.0);
    let start = Instant::now();
    capacities.measure(start, Duration::ZERO, 0, 0, false);
    capacities.measure(start + Duration::from_secs(1), Duration::from_secs(1), 0, 0, false);

    assert!(capacities.spare() > 0.5, "{}", capacities.spare());
}
