//! Load reports of servers: plausible figures, their age, and momentary speeds.

use std::sync::Arc;
use std::time::Duration;

use mh_route::objects::{
    AgedLoad, ListedServer, ObjectPool, ObjectRequest, Placement, RegionDistribution, ReportClocks, ServerLoad,
    WorkTimes,
};
use mh_route::{Outcome, ServerSpec};
use mh_types::ServerName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pool(servers: usize, now: Instant) -> ObjectPool {
    let listed: Vec<ListedServer> = (0..servers)
        .map(|n| {
            ListedServer::serving(ServerSpec {
                name: format!("s{n}").as_str().into(),
                addr: ([127, 0, 0, 1], 8000).into(),
                domain: "north-1".into(),
                region: "north".into(),
                version: "v1".into(),
                slots: 4,
                connections: 300,
            })
        })
        .collect();
    ObjectPool::new(&listed, None, 0.0, 1, &RegionDistribution::default(), now)
}

fn work_times() -> Arc<WorkTimes> {
    Arc::new(WorkTimes::new(ms(200), ms(600)))
}

fn place(pool: &ObjectPool, now: Instant, work_times: &Arc<WorkTimes>) -> Placement {
    let request = ObjectRequest::new(Some(7), SECOND * 10, work_times);
    pool.place(now, &request, 1).expect("the servers accept requests")
}

fn stated(running: u32, speed: u32) -> ServerLoad {
    ServerLoad {
        running,
        waiting: 0,
        slots: Some(4),
        speed: Some(speed),
    }
}

fn aged(total: u32, speed: u32, age_ms: u64) -> AgedLoad {
    AgedLoad {
        total,
        speed: Some(speed),
        age_ms,
    }
}

fn answered(latency: Duration) -> Outcome {
    Outcome::Answered { status: 200, latency }
}

/// Guards against figures that overflow a sum, and against absurd ones in forecasts.
#[test]
fn implausible_figures_are_ignored() {
    for text in [
        "",
        "1",
        "a,b",
        "-1,2,3",
        "4294967295,4294967295,3",
        "10000,1,3",
        "1,1,0",
        "1,1,99999",
    ] {
        assert_eq!(ServerLoad::parse(text), None, "{text}");
    }
    for text in ["3,4,3,0", "3,4,3,x", "3,4,3,99999999999", "3,4,3,2001", "3,4,3,-100"] {
        let load = ServerLoad::parse(text).expect("the counts are plausible");
        assert_eq!((load.total(), load.slots, load.speed), (7, Some(3), None), "{text}");
    }
    assert_eq!(ServerLoad::parse(" 3, 4 ").map(|load| load.total()), Some(7));
    assert_eq!(ServerLoad::parse("3,4,4,250").and_then(|load| load.speed), Some(250));
}

/// Guards against a speed that outlasts its moment: machines change their speed about every 600 ms.
#[test]
fn a_stated_speed_counts_for_a_moment() {
    let now = Instant::now();
    let (pool, work_times) = (pool(1, now), work_times());
    let usual = place(&pool, now, &work_times).forecast();

    place(&pool, now, &work_times).reported_load(now, &stated(0, 250));

    let slow = place(&pool, now, &work_times).forecast();
    assert!(
        (slow.as_secs_f64() / usual.as_secs_f64() - 2.5).abs() < 0.01,
        "{slow:?} {usual:?}"
    );
    assert_eq!(place(&pool, now + ms(600), &work_times).forecast(), usual);
}

/// Guards against staying on a preferred server in its slow moment while another one would answer earlier.
#[test]
fn the_second_choice_serves_while_the_first_is_slow() {
    let now = Instant::now();
    let (pool, work_times) = (pool(2, now), work_times());
    let first = place(&pool, now, &work_times).spec().name.clone();

    assert!(pool.on_aged_load(now, &first, aged(0, 1_000, 0)));

    assert_ne!(place(&pool, now, &work_times).spec().name, first);
    assert_eq!(place(&pool, now + SECOND, &work_times).spec().name, first);
}

/// Guards against counting a momentary slowdown as the server's own, which would keep requests away for seconds.
#[test]
fn a_momentary_slowdown_is_not_attributed_to_the_server() {
    let start = Instant::now();
    let (pool, work_times) = (pool(1, start), work_times());
    for n in 0..20 {
        let now = start + SECOND * n;
        let placement = place(&pool, now, &work_times);
        let latency = placement.forecast().mul_f64(2.5);
        placement.reported_load(now + latency, &stated(0, 250));
        placement.done(now + latency, answered(latency));
    }
    let view = &pool.view(start + SECOND * 20)[0];
    assert!((view.slowness - 1.0).abs() < 0.05, "{}", view.slowness);
}

/// Guards against hiding that a server is slow all the time while it states the usual speed.
#[test]
fn a_slow_server_that_states_the_usual_speed_counts_as_slow() {
    let start = Instant::now();
    let (pool, work_times) = (pool(1, start), work_times());
    let usual = place(&pool, start, &work_times).forecast();
    for n in 0..10 {
        let now = start + ms(100) * n;
        let placement = place(&pool, now, &work_times);
        placement.reported_load(now + ms(50), &stated(0, 100));
        placement.done(now + ms(50), answered(usual * 3));
    }
    assert!(pool.view(start + SECOND)[0].slowness > 1.3);
}

/// Guards against forgetting that this VM has sent or finished requests since the report.
#[test]
fn own_requests_since_the_report_correct_it() {
    let now = Instant::now();
    let (pool, work_times) = (pool(1, now), work_times());
    let held: Vec<Placement> = (0..3).map(|_| place(&pool, now, &work_times)).collect();
    assert!(pool.on_aged_load(now, &"s0".into(), aged(5, 100, 0)));
    let with_own = place(&pool, now, &work_times).forecast();
    drop(held);

    let without_own = place(&pool, now, &work_times).forecast();

    // 5 + 1 requests at 4 slots wait; 2 + 1 do not.
    assert!(with_own > without_own);
    assert_eq!(pool.view(now)[0].stated.expect("a load is stated").others, 2);
}

/// Guards against restoring an old state from a report that arrives late or again.
#[test]
fn stale_and_repeated_reports_change_nothing() {
    let now = Instant::now() + SECOND;
    let pool = pool(1, now - SECOND);
    let server: ServerName = "s0".into();
    assert!(pool.on_aged_load(now, &server, aged(2, 100, 100)));
    let held = pool.view(now);

    for (stale, age) in [(9, 100), (9, 101), (9, 900), (9, u64::MAX)] {
        assert!(pool.on_aged_load(now, &server, aged(stale, 250, age)));
        // A report of an earlier version has no age and counts as 400 ms old.
        assert!(pool.on_report(now, &server, stale));
        assert_eq!(pool.view(now), held);
    }
    assert!(pool.on_aged_load(now, &server, aged(3, 250, 99)));
    assert_ne!(pool.view(now), held);
}

/// Guards against taking a delayed or repeated datagram for a new one, for example after a VM was stopped and reads what
/// waited in its socket.
#[test]
fn delayed_messages_get_their_true_age() {
    let start = Instant::now();
    let at = |ms_after| start + ms(ms_after);
    let mut clocks = ReportClocks::new(start);
    let vm = "vm-1".into();

    assert_eq!(clocks.age(at(1_000), &vm, 5, 70_000), Some(ms(0)));
    assert_eq!(clocks.age(at(1_400), &vm, 5, 70_400), Some(ms(0)));
    // The same message again, and one that was under way for 300 ms.
    let again = clocks.age(at(1_500), &vm, 5, 70_400).expect("the run is the same");
    assert!(again.abs_diff(ms(100)) < ms(1), "{again:?}");
    let delayed = clocks.age(at(2_100), &vm, 5, 70_800).expect("the run is the same");
    assert!(delayed.abs_diff(ms(300)) < ms(1), "{delayed:?}");
    let stopped = clocks.age(at(32_100), &vm, 5, 71_100).expect("the run is the same");
    assert!(stopped > ms(29_000), "{stopped:?}");
    // A new run has another clock; the one before it is over.
    assert_eq!(clocks.age(at(33_000), &vm, 6, 10), Some(ms(0)));
    assert_eq!(clocks.age(at(33_010), &vm, 5, 71_500), None);
    assert_eq!(clocks.age(at(45_000), &vm, 4, 10), Some(ms(0)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Guards against a header that stops the process, whatever a server writes.
    #[test]
    fn no_header_stops_the_process(text in "[-0-9a,. ]{0,40}") {
        if let Some(load) = ServerLoad::parse(&text) {
            prop_assert!(load.total() <= 10_000);
        }
    }

    /// Guards against forecasts that change in deployments whose servers state no speed: a naive version of the average
    /// over the reports gives the same.
    #[test]
    fn reports_without_a_speed_are_averaged_as_before(
        reports in proptest::collection::vec((any::<bool>(), 0_u32..40, 0_u64..3_000), 1..30),
    ) {
        let start = Instant::now();
        let (pool, work_times) = (pool(1, start), work_times());
        let (mut others, mut last, mut now) = (0.0, start, start);
        for (is_own, total, gap) in reports {
            now += ms(gap);
            let decay = |from: Instant, to: Instant| (-((to - from).as_micros() as f64) / 4e6).exp2();
            let held = others * decay(last, now);
            let own = u32::from(is_own);
            if is_own {
                place(&pool, now, &work_times).reported_load(now, &ServerLoad { running: total, waiting: 0, slots: Some(4), speed: None });
            } else {
                prop_assert!(pool.on_report(now, &"s0".into(), total));
            }
            others = held + (f64::from(total.saturating_sub(own)) - held) * 0.4;
            last = now;
            let view = &pool.view(now)[0];
            prop_assert!((view.others - others).abs() < 0.01, "{} {}", view.others, others);
            let waiting = (others + 1.0 - 4.0_f64).max(0.0) / 4.0 * 200.0;
            let placement = place(&pool, now, &work_times);
            let work = if placement.holds_object() { 200.0 } else { 600.0 };
            prop_assert!((placement.forecast().as_secs_f64() * 1e3 - waiting - work).abs() < 1.0);
            prop_assert!(view.stated.is_none());
        }
    }
}
