//! What a VM believes of plans, servers and shifts.

mod fixtures;

use std::time::Duration;

use fixtures::{batch, listed, order, plan, removed, server, usable, world_with};
use mh_gateway::{Feed, Live, Update};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a plan that an old copy of the store tells taking a newer one back.
#[test]
fn a_revision_never_goes_down() {
    let now = Instant::now();
    let mut world = world_with(Vec::new(), now);
    world.apply(
        Feed::Settings,
        &batch(9, vec![Update::Plan(plan(7).into())]),
        false,
        now,
    );

    world.apply(
        Feed::Settings,
        &batch(10, vec![Update::Plan(plan(3).into())]),
        true,
        now,
    );

    assert_eq!(world.live(&Live::default(), 1, now).plan.unwrap().revision.0, 7);
}

/// Guards against a VM that serves before it knows servers, shifts and VMs, and so sends requests to an unproven version
/// or exceeds a quota.
#[test]
fn a_vm_is_ready_only_when_every_feed_was_read() {
    let now = Instant::now();
    let mut world = fixtures::world();
    let ready = |world: &mut mh_gateway::World| world.live(&Live::default(), 1, now).ready;

    world.apply(Feed::Settings, &batch(1, vec![Update::Plan(plan(1).into())]), true, now);
    assert!(!ready(&mut world));
    world.apply(Feed::Servers, &batch(2, Vec::new()), true, now);
    assert!(!ready(&mut world));
    world.apply(Feed::Shifts, &batch(3, Vec::new()), true, now);
    assert!(!ready(&mut world));
    world.apply(Feed::Vms, &batch(4, Vec::new()), true, now);
    assert!(ready(&mut world));
}

/// Guards against requests to a bad version by a VM that lost contact between the entries of its servers and its order.
/// Seen on Granite Coast scale-2, seed 109794659601: 443 requests of 3,306 went to the bad version.
#[test]
fn a_version_without_an_order_waits_while_the_settings_are_not_told() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);
    world.on_feed_lost(Feed::Settings);
    world.apply(Feed::Servers, &batch(5, vec![listed("s2", "v2")]), false, now);

    assert_eq!(usable(&mut world, now + SECOND * 60), ["s1".into()]);

    world.on_feed_back(Feed::Settings, now + SECOND * 60, true);
    assert_eq!(usable(&mut world, now + SECOND * 60), ["s1".into(), "s2".into()]);
}

/// Guards against a new version that gets requests in the moment before its order is read.
#[test]
fn an_ordered_version_is_left_to_its_shift() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);
    world.apply(Feed::Servers, &batch(5, vec![listed("s2", "v2")]), false, now);
    assert_eq!(usable(&mut world, now), ["s1".into()]);

    world.apply(Feed::Settings, &batch(6, vec![order("v2", 6)]), false, now);

    assert_eq!(usable(&mut world, now), ["s1".into(), "s2".into()]);
    let live = world.live(&Live::default(), 1, now);
    let shift = &live.shifts[fixtures::SERVICE];
    assert_eq!((shift.to.as_str(), shift.canary.is_none()), ("v2", true));
}

/// Guards against a service without servers because all of them were replaced by a version without an order.
#[test]
fn a_version_without_an_order_serves_when_no_other_is_left() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);

    world.apply(
        Feed::Servers,
        &batch(5, vec![listed("s2", "v2"), removed("s1")]),
        false,
        now,
    );

    assert_eq!(usable(&mut world, now), ["s2".into()]);
}

/// Guards against losing live servers whose entries lapsed while the store was away, and against keeping servers that
/// are gone for longer than the store promises. Seen on Granite Coast scale-2, seed 872193835526: a VM that had been cut
/// off sent requests to a server that had left 12 s before.
#[test]
fn an_entry_that_is_missing_after_an_outage_is_kept_for_the_promised_time() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1"), listed("s2", "v1")], now);
    let last_failure = now + SECOND * 10;
    let back = last_failure + SECOND;
    world.on_feed_lost(Feed::Servers);
    world.on_feed_back(Feed::Servers, last_failure, true);

    world.apply(Feed::Servers, &batch(9, vec![listed("s2", "v1")]), true, back);

    assert_eq!(usable(&mut world, back), ["s1".into(), "s2".into()]);
    assert_eq!(usable(&mut world, last_failure + SECOND * 2), ["s2".into()]);
}

/// Guards against dropping a live server at the end of the wait although its entry came back.
#[test]
fn an_entry_that_returns_after_an_outage_stays() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);
    world.on_feed_back(Feed::Servers, now, true);
    world.apply(Feed::Servers, &batch(8, Vec::new()), true, now);

    world.apply(Feed::Servers, &batch(9, vec![listed("s1", "v1")]), false, now + SECOND);

    assert_eq!(usable(&mut world, now + SECOND * 10), ["s1".into()]);
}

/// Guards against new requests to a server that said that it leaves, also when its entry is missing after an outage.
#[test]
fn a_server_that_leaves_is_gone_at_once() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1"), listed("s2", "v1")], now);
    let mut leaving = server("v1");
    leaving.leaving = true;

    world.apply(
        Feed::Servers,
        &batch(5, vec![Update::Server("s1".into(), Some(leaving))]),
        false,
        now,
    );
    assert_eq!(usable(&mut world, now), ["s2".into()]);

    world.on_feed_back(Feed::Servers, now, true);
    world.apply(Feed::Servers, &batch(6, vec![removed("s1")]), false, now);
    assert_eq!(usable(&mut world, now), ["s2".into()]);
}

/// Guards against requests to the servers of a drained failure domain, and against losing them when it is taken back.
#[test]
fn a_drained_domain_gets_nothing_until_it_is_taken_back() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);

    world.apply(
        Feed::Settings,
        &batch(5, vec![Update::Drained("a".into(), true)]),
        false,
        now,
    );
    assert!(usable(&mut world, now).is_empty());

    world.apply(
        Feed::Settings,
        &batch(6, vec![Update::Drained("a".into(), false)]),
        false,
        now,
    );
    assert_eq!(usable(&mut world, now), ["s1".into()]);
}

/// Guards against a server that started anew under its old name keeping what was observed of the earlier one.
#[test]
fn a_restart_under_the_same_name_is_a_new_server() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);
    let first = world.live(&Live::default(), 1, now);
    let mut again = server("v1");
    again.run = 2;
    again.cold_for = SECOND * 3;

    world.apply(
        Feed::Servers,
        &batch(5, vec![Update::Server("s1".into(), Some(again))]),
        false,
        now,
    );

    let live = world.live(&first, 1, now);
    let view = live.backends[fixtures::SERVICE].pool.view(now);
    assert!(view[0].cold);
}

/// Guards against making the servers of every service anew, with all their indexes, for a change of one.
#[test]
fn only_the_servers_of_a_changed_service_are_made_anew() {
    let now = Instant::now();
    let mut world = world_with(vec![listed("s1", "v1")], now);
    let first = world.live(&Live::default(), 3, now);

    let unchanged = world.live(&first, 3, now);
    world.apply(Feed::Servers, &batch(30, vec![listed("s2", "v1")]), false, now);
    let changed = world.live(&unchanged, 3, now);
    let shared_by_more = world.live(&changed, 4, now);

    let of = |live: &Live| std::sync::Arc::clone(&live.backends[fixtures::SERVICE]);
    assert!(std::sync::Arc::ptr_eq(&of(&first), &of(&unchanged)));
    assert!(!std::sync::Arc::ptr_eq(&of(&unchanged), &of(&changed)));
    assert!(!std::sync::Arc::ptr_eq(&of(&changed), &of(&shared_by_more)));
    assert_eq!(changed.backends[fixtures::SERVICE].pool.slots(), 8);
}
