//! Admission under shortage: single rules, and what callers of each kind get under simulated load.

use std::time::Duration;

use mh_route::ServerSpec;
use mh_route::admission::{Admission, AdmissionRequest, AdmissionRoute};
use mh_route::objects::ListedServer;
use tokio::time::Instant;

mod shortage;

use shortage::{Got, Kind, Model, Simulation};

fn servers(count: usize, slots: usize) -> Vec<ListedServer> {
    let spec = |n: usize| ServerSpec {
        name: format!("s{n}").as_str().into(),
        addr: ([127, 0, 0, 1], 8000).into(),
        domain: "north-1".into(),
        region: "north".into(),
        version: "v1".into(),
        slots: slots as u32,
        connections: 300,
    };
    (0..count).map(|n| ListedServer::serving(spec(n))).collect()
}

fn kind(name: &'static str, rank: u32, per_s: f64, work_ms: u64, target_ms: u64, deadline_ms: u64) -> Kind {
    Kind {
        name,
        rank,
        per_s,
        work_ms,
        target_ms,
        deadline_ms,
        burst: (1.0, 0, 0),
    }
}

/// The second service of deployment C, with both kinds, at `factor` times its rate. The number of objects is assumed.
fn history_and_uploads(factor: f64) -> Model {
    Model {
        kinds: vec![
            kind("history", 0, 383.0 * factor, 344, 250, 1_500),
            kind("uploads", 1, 145.0 * factor, 1_040, 600, 5_000),
        ],
        servers: 38,
        slots: 6,
        queue: 18,
        held_objects: 34,
        objects: 900,
        vms: 20,
        seconds: 40,
        swing: 0.55,
        skew: 1.0,
        uneven: false,
        states_speed: false,
        admission: true,
    }
}

/// A sixth of the first service of deployment A at `factor` times its rate, while charges use it.
fn charges_holds_and_reads(factor: f64) -> Model {
    Model {
        kinds: vec![
            kind("charges", 0, 25.0 * factor, 370, 300, 2_000),
            kind("holds", 1, 47.0 * factor, 710, 600, 4_000),
            kind("reads", 2, 92.0 * factor, 540, 400, 3_000),
        ],
        servers: 39,
        slots: 3,
        queue: 9,
        held_objects: 14,
        objects: 600,
        vms: 15,
        uneven: true,
        states_speed: true,
        ..history_and_uploads(1.0)
    }
}

/// Runs the model without and with admission.
fn compare(title: &str, mut model: Model) -> [Vec<Got>; 2] {
    [false, true].map(|admission| {
        model.admission = admission;
        let got = Simulation::run(&model).got;
        for (kind, got) in model.kinds.iter().zip(&got) {
            println!(
                "{title}, admission {admission}, {}: value {:.3}, served {:.3}, {got:?}",
                kind.name,
                got.value(),
                got.served()
            );
        }
        got
    })
}

fn total_value(got: &[Got]) -> f64 {
    let requests: usize = got.iter().map(|got| got.requests).sum();
    got.iter().map(|got| got.value() * got.requests as f64).sum::<f64>() / requests as f64
}

/// Asserts the bound between kinds; `got` is in order of urgency.
fn assert_no_urgent_kind_is_behind(got: &[Got]) {
    for (n, less_urgent) in got.iter().enumerate() {
        for urgent in &got[..n] {
            assert!(
                less_urgent.served() <= urgent.served() + 0.05,
                "{less_urgent:?} {urgent:?}"
            );
        }
    }
}

/// Guards against urgent requests with short deadlines being refused while less urgent ones with long deadlines fill the
/// queues: at 1.6 times the rates, 75 in 100 of the first and all of the latter were served.
#[test]
fn urgent_kinds_are_served_as_often_as_others_under_shortage() {
    for (title, model) in [
        ("C x 1.6", history_and_uploads(1.6)),
        ("A x 2", charges_holds_and_reads(2.0)),
    ] {
        let [without, with] = compare(title, model);

        assert!(without[0].served() < without[1].served() - 0.05, "{without:?}");
        assert_no_urgent_kind_is_behind(&with);
        assert!(with[0].value() > without[0].value(), "{title}");
        assert!(total_value(&with) > total_value(&without), "{title}");
    }
}

/// Guards against objects spreading over servers once these are short, which makes most work three times as long.
#[test]
fn objects_stay_with_their_servers_under_shortage() {
    let [without, with] = compare("C x 1.3", history_and_uploads(1.3));

    assert!(total_value(&with) > total_value(&without) * 1.3);
}

/// Guards against stated speeds that make forecasts worse than the averaged reports of servers that state none.
#[test]
fn stated_speeds_answer_more_requests_in_time() {
    let value = |states_speed| {
        let model = Model {
            states_speed,
            admission: false,
            ..charges_holds_and_reads(0.8)
        };
        total_value(&Simulation::run(&model).got)
    };
    let (averaged, stated) = (value(false), value(true));

    println!("value with averaged reports {averaged:.3}, with stated speeds {stated:.3}");
    assert!(stated > averaged, "{stated} {averaged}");
}

/// Guards against treating a few busy objects as a shortage of servers, which would keep their requests from idle ones.
#[test]
fn popular_objects_lose_little() {
    let model = Model {
        skew: 2.5,
        ..history_and_uploads(1.0)
    };

    let [without, with] = compare("C with popular objects", model);

    assert!(total_value(&with) > total_value(&without) * 0.95);
}

/// Guards against a refusal while nobody is late.
#[test]
fn nothing_is_refused_without_a_shortage() {
    let model = Model {
        swing: 0.0,
        ..history_and_uploads(0.6)
    };

    let [without, with] = compare("C x 0.6", model);

    assert_eq!((without[0].refusals, without[1].refusals), (0, 0));
    assert_eq!((with[0].refusals, with[1].refusals), (0, 0));
}

/// Guards against a burst of an urgent kind starving a less urgent one.
#[test]
fn a_burst_of_an_urgent_kind_starves_no_other() {
    let mut model = history_and_uploads(1.2);
    model.swing = 0.0;
    model.kinds[0].burst = (3.0, 5, 35);

    let [_, with] = compare("C with a burst of history reads", model);

    assert!(with[1].served() > 0.25, "{with:?}");
    assert_no_urgent_kind_is_behind(&with);
}

const TARGET: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn admission(org_priorities: &[u32], now: Instant) -> Admission {
    let route = |name: &str, priority| AdmissionRoute {
        name: name.into(),
        priority,
        target: TARGET,
    };
    Admission::new(
        vec![route("urgent", 0), route("other", 1)],
        org_priorities.to_vec(),
        now,
    )
    .expect("the priorities differ")
}

fn request(admission: &Admission, route: &str, org_priority: u32, org: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank: admission.rank(&route.into(), org_priority).expect("the route is known"),
        org,
        waited: Duration::ZERO,
        remaining: Duration::from_secs(3),
    }
}

/// Makes `by` late 20 times.
fn make_late(admission: &Admission, now: Instant, by: &AdmissionRequest) {
    for n in 0..20 {
        assert!(admission.judge(now, by, ms(300), ms(600), n).is_ok());
    }
}

/// Serves some requests in time, so that the minimum is no reason to admit the next ones.
fn serve(admission: &Admission, now: Instant, by: &AdmissionRequest) {
    for n in 0..20 {
        assert!(admission.judge(now, by, ms(0), ms(200), n).is_ok());
    }
}

/// Guards against an effect on services whose routes all have the same priority.
#[test]
fn routes_of_one_priority_need_no_admission() {
    let route = |name: &str| AdmissionRoute {
        name: name.into(),
        priority: 1,
        target: TARGET,
    };
    assert!(Admission::new(vec![route("a"), route("b")], vec![0, 1], Instant::now()).is_none());
    assert!(Admission::new(Vec::new(), Vec::new(), Instant::now()).is_none());
}

/// Guards against refusing requests that harm nobody: those that need not wait, those in time, and the most urgent ones;
/// and against refusals that outlast the shortage.
#[test]
fn only_late_requests_that_delay_more_urgent_ones_are_refused() {
    let now = Instant::now();
    let admission = admission(&[0], now);
    let (urgent, other) = (request(&admission, "urgent", 0, 1), request(&admission, "other", 0, 2));
    serve(&admission, now, &other);
    assert!(admission.judge(now, &other, ms(300), ms(600), 1).is_ok());

    make_late(&admission, now, &urgent);

    assert!(admission.judge(now, &other, ms(300), ms(600), 1).is_err());
    assert!(admission.judge(now, &other, ms(0), ms(600), 1).is_ok());
    assert!(admission.judge(now, &other, ms(300), ms(390), 1).is_ok());
    assert!(admission.judge(now, &urgent, ms(300), ms(900), 1).is_ok());
    assert_eq!(admission.shortage_change(now), Some(true));
    let later = now + Duration::from_secs(4);
    assert!(admission.judge(later, &other, ms(300), ms(600), 1).is_ok());
    assert_eq!(admission.shortage_change(later), Some(false));
}

/// Guards against refusing callers that returned when they were asked to, while newcomers are admitted.
#[test]
fn returning_callers_come_before_newcomers() {
    let now = Instant::now();
    let admission = admission(&[0], now);
    let (urgent, newcomer) = (request(&admission, "urgent", 0, 1), request(&admission, "other", 0, 2));
    let returning = AdmissionRequest {
        waited: ms(300),
        ..newcomer
    };
    serve(&admission, now, &newcomer);
    make_late(&admission, now, &urgent);

    assert!(admission.judge(now, &newcomer, ms(300), ms(600), 1).is_err());
    assert!(admission.judge(now, &returning, ms(300), ms(600), 1).is_ok());
}

/// Guards against refused callers that return all at once, and against asking them to wait longer than they can.
#[test]
fn refused_callers_return_one_by_one() {
    let now = Instant::now();
    let admission = admission(&[0], now);
    let (urgent, other) = (request(&admission, "urgent", 0, 1), request(&admission, "other", 0, 2));
    serve(&admission, now, &other);
    make_late(&admission, now, &urgent);

    let waits = (0..40_u64).filter_map(|n| {
        let rnd = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        admission.judge(now, &other, ms(300), ms(600), rnd).err()
    });
    let mut waits: Vec<Duration> = waits.collect();

    waits.sort();
    assert!(waits.len() >= 20 && waits[0] >= ms(200), "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= ms(900)), "{waits:?}");
    // No more than two fifths of them within any tenth of a second of the 0.9 s.
    let busiest = waits.iter().map(|from| {
        let within = waits.iter().filter(|wait| **wait >= *from && **wait < *from + ms(100));
        within.count()
    });
    assert!(
        busiest.max().is_some_and(|most| most <= waits.len() * 2 / 5),
        "{waits:?}"
    );
}

/// Guards against starving an organisation whose requests are always the late ones.
#[test]
fn every_organisation_keeps_a_share() {
    let now = Instant::now();
    let admission = admission(&[0], now);
    let (urgent, busy) = (request(&admission, "urgent", 0, 1), request(&admission, "other", 0, 2));
    let unlucky = request(&admission, "other", 0, 3);
    for _ in 0..10 {
        serve(&admission, now, &busy);
    }
    make_late(&admission, now, &urgent);

    let admitted = (0..40).filter(|n| admission.judge(now, &unlucky, ms(300), ms(600), *n).is_ok());

    assert!((8..20).contains(&admitted.count()));
}

/// Guards against starving callers that always have less time than their route, and look like callers that returned.
#[test]
fn callers_with_short_deadlines_keep_a_share() {
    let now = Instant::now();
    let admission = admission(&[0], now);
    let urgent = request(&admission, "urgent", 0, 1);
    let hurried = AdmissionRequest {
        waited: ms(100),
        ..request(&admission, "other", 0, 2)
    };
    make_late(&admission, now, &urgent);

    let admitted = (0..40).filter(|n| admission.judge(now, &hurried, ms(300), ms(600), *n).is_ok());

    assert!((8..20).contains(&admitted.count()));
}

/// Guards against a route's priority counting before that of an organisation.
#[test]
fn an_organisations_priority_precedes_the_routes() {
    let now = Instant::now();
    let admission = admission(&[1, 3], now);
    let first_org = request(&admission, "other", 1, 1);
    let other_org = request(&admission, "urgent", 3, 2);
    serve(&admission, now, &other_org);

    make_late(&admission, now, &first_org);

    assert!(admission.judge(now, &other_org, ms(300), ms(600), 1).is_err());
    assert!(admission.judge(now, &first_org, ms(300), ms(600), 1).is_ok());
    // Requests without an organisation, and of unknown priorities, have the rank of the nearest known priority.
    assert_eq!(
        admission.rank(&"other".into(), u32::MAX),
        admission.rank(&"other".into(), 3)
    );
    assert_eq!(admission.rank(&"other".into(), 0), admission.rank(&"other".into(), 1));
}
