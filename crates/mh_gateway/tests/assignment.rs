//! Stable assignment of objects in a deployment: planned drains, leaving servers and the setting.

mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{SERVICE, batch, server, state_with};
use mh_gateway::{Assignment, DeploymentState, Feed, LiveState, PlacementSettings, Update};
use mh_route::objects::{ObjectRequest, WorkTimes};
use tokio::time::Instant;

const SPREAD: Duration = Duration::from_secs(1);
const OBJECTS: u64 = 1000;

/// Twenty servers, every second one in failure domain b.
fn deployment(now: Instant) -> DeploymentState {
    let servers = (0..20).map(|n| {
        let mut entry = server("v1");
        entry.domain = if n % 2 == 0 { "a" } else { "b" }.into();
        entry.addr.set_port(8000 + n);
        Update::Server(format!("s{n}").as_str().into(), Some(entry))
    });
    let placement = PlacementSettings {
        assignment: Assignment::Stable,
        drain_spread: SPREAD,
        ..PlacementSettings::default()
    };
    // Without a listed VM, the servers of both regions have equal weights.
    state_with(servers.collect(), now).with_placement(placement)
}

/// Objects whose requests go to domain a at `at`.
fn objects_in_a(live: &LiveState, at: Instant) -> u64 {
    let work_times = Arc::new(WorkTimes::new(Duration::from_millis(200), Duration::from_millis(600)));
    let in_a = (0..OBJECTS).filter(|object| {
        let request = ObjectRequest::new(Some(*object), Duration::from_secs(2), &work_times);
        let placement = live.backends[SERVICE]
            .pool
            .place(at, &request, 1)
            .expect("idle servers");
        placement.spec().domain.as_str() == "a"
    });
    in_a.count() as u64
}

fn drain(deployment: &mut DeploymentState, is_whole: bool, now: Instant) {
    let mut updates = vec![Update::Drained("a".into(), true)];
    if is_whole {
        updates.push(Update::Plan(fixtures::plan(1).into()));
    }
    deployment.apply(Feed::Settings, &batch(6, updates), is_whole, now);
}

/// Guards against a planned drain of a failure domain sending all of its objects to cold caches at one moment, and
/// against requests to it after the bound.
#[test]
fn objects_of_a_drained_domain_move_in_steps_within_the_spread() {
    let now = Instant::now();
    let mut deployment = deployment(now);
    let mut live = deployment.build_live_state(&LiveState::default(), 1, now);
    let before = objects_in_a(&live, now);
    drain(&mut deployment, false, now);

    let mut counts = Vec::new();
    let mut at = now;
    loop {
        live = deployment.build_live_state(&live, 1, at);
        counts.push(objects_in_a(&live, at));
        let Some(next) = deployment.next_change(at).filter(|next| *next < now + SPREAD) else {
            break;
        };
        at = next;
    }

    assert_eq!(counts.len(), 5, "{counts:?}");
    assert_eq!(counts.last(), Some(&0));
    let moves = std::iter::once(&before)
        .chain(&counts)
        .zip(&counts)
        .map(|(old, new)| old - new);
    for moved in moves {
        // Each step moves a fifth of the domain's objects.
        assert!((before / 8..=before / 3).contains(&moved), "{before} {counts:?}");
    }
}

/// Guards against requests to a server whose own entry says that it leaves, and to a domain whose drain may have begun
/// long ago.
#[test]
fn leaving_servers_and_earlier_drains_get_no_requests_at_once() {
    let now = Instant::now();
    let mut drained = deployment(now);
    drain(&mut drained, true, now);
    assert_eq!(
        objects_in_a(&drained.build_live_state(&LiveState::default(), 1, now), now),
        0
    );

    let mut leaving = deployment(now);
    drain(&mut leaving, false, now);
    let entries = (0..20).step_by(2).map(|n| {
        let mut entry = server("v1");
        entry.addr.set_port(8000 + n);
        entry.leaving = true;
        Update::Server(format!("s{n}").as_str().into(), Some(entry))
    });
    leaving.apply(Feed::Servers, &batch(7, entries.collect()), false, now);
    assert_eq!(
        objects_in_a(&leaving.build_live_state(&LiveState::default(), 1, now), now),
        0
    );
}

/// Guards against the stable assignment taking effect where the settings do not ask for it.
#[test]
fn assignment_is_off_without_the_setting() {
    let now = Instant::now();
    let mut deployment =
        state_with(vec![fixtures::listed("s1", "v1")], now).with_placement(PlacementSettings::default());
    let live = deployment.build_live_state(&LiveState::default(), 1, now);

    assert!(live.backends[SERVICE].pool.moves().is_none());
    assert!(live.backends[SERVICE].pool.object_views(now).is_empty());
}
