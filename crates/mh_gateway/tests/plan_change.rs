//! Differences between plans, which VMs send instead of whole plans.

mod fixtures;

use std::time::Duration;

use mh_config::KeyHash;
use mh_gateway::{CallerLimits, HostRoute, Plan, PlanChange, PlanOrg, PlanService, RequestKind};
use mh_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Creates a plan with one number for each route, service and organisation; 0 leaves it out.
fn plan(revision: u64, routes: &[u8], services: &[u8], orgs: &[u8]) -> Plan {
    let present =
        |list: &[u8]| -> Vec<(usize, u8)> { list.iter().copied().enumerate().filter(|(_, v)| *v > 0).collect() };
    let route = |(n, value): (usize, u8)| HostRoute {
        timeout: Duration::from_millis(u64::from(value)),
        kind: if value % 2 == 0 {
            RequestKind::Upload
        } else {
            RequestKind::Idempotent
        },
        ..fixtures::route(&format!("r{n}"))
    };
    let service = |(n, value): (usize, u8)| PlanService {
        name: format!("s{n}").as_str().into(),
        max_connections: u32::from(value),
        cold_per_s: 1.0,
    };
    let org = |(n, value): (usize, u8)| -> (PlanOrg, Vec<KeyHash>) {
        let keys = (0..value % 3).map(|key| KeyHash::of(&format!("{n}/{key}/{value}")));
        (fixtures::org(&format!("o{n}"), f64::from(value)), keys.collect())
    };
    Plan::new(
        Revision(revision),
        present(routes).into_iter().map(route).collect(),
        present(services).into_iter().map(service).collect(),
        present(orgs).into_iter().map(org).collect(),
        CallerLimits::default(),
    )
}

/// Formats a plan independently of the order of its parts.
fn canonical_form(plan: &Plan) -> String {
    let mut routes: Vec<String> = plan.routes().map(|route| format!("{route:?}")).collect();
    let mut services: Vec<String> = plan.services.values().map(|service| format!("{service:?}")).collect();
    let mut orgs: Vec<String> = plan.orgs.values().map(|org| format!("{org:?}")).collect();
    for list in [&mut routes, &mut services, &mut orgs] {
        list.sort_unstable();
    }
    format!("{:?} {routes:?} {services:?} {orgs:?} {:?}", plan.revision, plan.limits)
}

/// Guards against a change of one organisation that does not fit a datagram in a large deployment.
#[test]
fn a_change_of_one_organisation_fits_a_datagram() {
    let orgs: Vec<u8> = (0..190).map(|n| n % 100 + 1).collect();
    let mut changed = orgs.clone();
    changed[17] = 200;
    let before = plan(1, &[1; 30], &[1; 4], &orgs);

    let change = PlanChange::between(&before, &plan(2, &[1; 30], &[1; 4], &changed)).unwrap();

    let plan_len = postcard::to_stdvec(&before).unwrap().len();
    let change_len = postcard::to_stdvec(&change).unwrap().len();
    assert!(change_len < 300 && plan_len > 5000, "{change_len} of {plan_len}");
}

/// Guards against applying a change to a plan other than the one that it was computed from.
#[test]
fn a_change_of_another_plan_is_rejected() {
    let change = PlanChange::between(&plan(1, &[1], &[1], &[1]), &plan(3, &[2], &[1], &[1])).unwrap();

    assert!(change.apply(&plan(2, &[1], &[1], &[1])).is_none());
    // The same revision with other parts, as after an incomplete read.
    assert!(change.apply(&plan(1, &[1], &[1], &[1, 1])).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against VMs whose plan differs from the store's after a change.
    #[test]
    fn applying_a_change_gives_the_next_plan(
        routes in prop::collection::vec((0_u8..4, 0_u8..4), 0..12),
        services in prop::collection::vec((0_u8..3, 0_u8..3), 0..5),
        orgs in prop::collection::vec((0_u8..5, 0_u8..5), 0..12),
    ) {
        let split = |pairs: &[(u8, u8)]| -> (Vec<u8>, Vec<u8>) { pairs.iter().copied().unzip() };
        let ((r0, r1), (s0, s1), (o0, o1)) = (split(&routes), split(&services), split(&orgs));
        let (before, after) = (plan(4, &r0, &s0, &o0), plan(9, &r1, &s1, &o1));

        let change = PlanChange::between(&before, &after).expect("names are unique");
        let decoded: PlanChange = postcard::from_bytes(&postcard::to_stdvec(&change).unwrap()).unwrap();
        let applied = decoded.apply(&before).expect("the change is for this plan");

        prop_assert_eq!(canonical_form(&applied), canonical_form(&after));
        for n in 0..12 {
            for key in 0..3 {
                for value in 0..5 {
                    let key = format!("{n}/{key}/{value}");
                    let holder = |plan: &Plan| plan.org_of_key(&key).map(|org| org.name.clone());
                    prop_assert_eq!(holder(&applied), holder(&after));
                }
            }
        }
    }
}
