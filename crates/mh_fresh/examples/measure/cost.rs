//! CPU time, state size and report size of one VM at four fleet sizes.

use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use mh_fresh::prelude::*;
use mh_types::{Incarnation, Revision};
use tokio::time::Instant;

use crate::simulation::{BOUND, domain_name, vm_name};

const SIZES: [(usize, usize); 4] = [(10, 6), (100, 12), (500, 25), (1_500, 43)];
const PERIODS: u32 = 200;
const COPIES: usize = 64;
const PAGE_BYTES: usize = 4_096;

fn roster(vms: usize, domains: usize) -> Roster {
    Roster::new(
        Revision(1),
        (0..vms).map(|index| (vm_name(index), domain_name(index % domains))),
    )
}

fn attesting_vm(index: usize, vms: usize, domains: usize, now: Instant) -> FreshnessTracker {
    let mut tracker = FreshnessTracker::new(vm_name(index), Incarnation(1), BOUND, roster(vms, domains));
    tracker.on_head_read(now, Revision(1));
    tracker.on_apply(now, Revision(1), None);
    tracker
}

/// Creates a delegate that has received the attestations of every VM, and the reports that it received.
fn tracker_with_all_reports(vms: usize, domains: usize, now: Instant) -> (FreshnessTracker, Vec<Report>) {
    let mut responses = Vec::new();
    for domain in 0..domains {
        let members = (domain..vms).step_by(domains);
        let mut delegate = attesting_vm(domain, vms, domains, now);
        for index in members.skip(1) {
            let own = attesting_vm(index, 1, 1, now);
            let report = Report {
                vm: vm_name(index),
                vouched_ms: Some(0),
                ..own.report_for(now, ReportScope::Own)
            };
            delegate.on_report(now, now, &report);
            if domain == 0 {
                responses.push(report);
            }
        }
        if domain > 0 {
            responses.push(delegate.report_for(now, ReportScope::Domain));
        }
    }
    let mut tracker = attesting_vm(0, vms, domains, now);
    for report in &responses {
        tracker.on_report(now, now, report);
    }
    (tracker, responses)
}

/// Resident bytes of this process, from `/proc/self/statm`.
fn resident_bytes() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split_whitespace()
        .nth(1)?
        .parse::<usize>()
        .ok()
        .map(|pages| pages * PAGE_BYTES)
}

fn state_bytes(vms: usize, domains: usize, now: Instant) -> Option<usize> {
    let before = resident_bytes()?;
    let copies: Vec<FreshnessTracker> = (0..COPIES)
        .map(|_| {
            let mut tracker = attesting_vm(0, vms, domains, now);
            // The summaries of another tracker fill in the state of every member.
            let (other, _) = tracker_with_all_reports(vms, domains, now);
            tracker.on_report(now, now, &other.report(now));
            tracker
        })
        .collect();
    let bytes = resident_bytes()?.saturating_sub(before) / COPIES;
    drop(black_box(copies));
    Some(bytes)
}

pub fn run() {
    let now = Instant::now() + Duration::from_mins(1);
    println!(
        "| VMs | failure domains | messages per period | CPU per period, delegate (µs) | state (bytes) | report with every summary / one domain / own (bytes) | same reports as JSON (bytes) |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut points = Vec::new();
    for (vms, domains) in SIZES {
        let (mut tracker, responses) = tracker_with_all_reports(vms, domains, now);
        let mut planner = FetchPlanner::new(FetchConfig::for_bound(BOUND));
        let period = FetchConfig::for_bound(BOUND).report_interval;
        let members = vms / domains;
        let mut spent = Duration::ZERO;
        for n in 1..=PERIODS {
            let at = now + period * n;
            let clock = Clock::now();
            tracker.on_head_read(at, Revision(1));
            black_box(planner.plan(at, &tracker, n.into()));
            for report in &responses {
                tracker.on_report(at, at, report);
            }
            // Per period, two requests from every member of the domain and one from every delegate.
            for _ in 0..2 * members {
                black_box(tracker.report_for(at, ReportScope::Own));
            }
            for _ in 0..domains {
                black_box(tracker.report_for(at, ReportScope::Domain));
            }
            spent += clock.elapsed();
        }
        let micros = spent.as_secs_f64() * 1e6 / f64::from(PERIODS);
        points.push((vms as f64, micros));
        let at = now + period * PERIODS;
        let json = |scope| serde_json::to_vec(&tracker.report_for(at, scope)).map_or(0, |text| text.len());
        let binary = |scope| tracker.report_for(at, scope).to_bytes().len();
        let sizes =
            |of: &dyn Fn(ReportScope) -> usize| [ReportScope::All, ReportScope::Domain, ReportScope::Own].map(of);
        let [all, domain, own] = sizes(&binary);
        let [all_json, domain_json, own_json] = sizes(&json);
        let state = state_bytes(vms, domains, now).map_or("not measured".to_owned(), |bytes| bytes.to_string());
        let msgs = responses.len() + 2 * members + domains;
        println!(
            "| {vms} | {domains} | {msgs} | {micros:.1} | {state} | {all} / {domain} / {own} | {all_json} / {domain_json} / {own_json} |"
        );
    }
    let (slope, intercept, r2) = fit(&points);
    println!("fit: {intercept:.1} µs + {slope:.3} µs per VM, R² = {r2:.3}");
}

/// Fits a line by least squares; returns slope, intercept and coefficient of determination.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    (sxy / sxx, mean_y - sxy / sxx * mean_x, sxy * sxy / sxx / syy)
}
