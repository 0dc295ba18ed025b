//! VMs whose store leaves calls unanswered for a time.

#[path = "fixtures/mod.rs"]
mod fixtures;
#[path = "fleet/mod.rs"]
mod fleet;
mod store;

use std::time::Duration;

use fleet::{Fleet, SMALL_REGION_VMS};
use mh_gateway::{BoundSettings, Feed, Update};
use tokio::time::Instant;

/// Lengths of the silence.
const SILENCES: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_secs(2),
    Duration::from_secs(6),
];

/// Time within which a VM sends no more requests to a server that leaves.
const DRAIN_NOTICED: Duration = Duration::from_secs(5);

/// Makes the store silent for `silence` after a change, so that every VM's next call for changes is lost.
async fn silence_after_change(fleet: &Fleet, silence: Duration, change: impl FnOnce()) {
    tokio::time::sleep(Duration::from_secs(2)).await;
    change();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.store.set_silent(true);
    tokio::time::sleep(silence).await;
    fleet.store.set_silent(false);
}

/// Guards against VMs that keep old settings because they wait for the answer to a call that the store has lost.
#[tokio::test(start_paused = true)]
async fn settings_are_in_force_in_time_after_calls_without_an_answer() {
    for count in [1, 2, 3, SMALL_REGION_VMS] {
        for silence in SILENCES {
            let fleet = Fleet::start_with(count).await;
            fleet.wait_for_revision(1).await;
            let second = || fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
            silence_after_change(&fleet, silence, second).await;

            fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(3).into()));
            tokio::time::sleep(BoundSettings::default().bounds().settings_in_force).await;

            let revisions = fleet.revisions();
            assert!(
                revisions.iter().all(|revision| *revision == Some(3)),
                "{count} VMs, {silence:?}: {revisions:?}"
            );
        }
    }
}

/// Guards against VMs that send requests to a server that has left because they wait for the answer to a lost call.
#[tokio::test(start_paused = true)]
async fn a_leaving_server_is_noticed_after_calls_without_an_answer() {
    for count in [1, 2, 3, SMALL_REGION_VMS] {
        for silence in SILENCES {
            let fleet = Fleet::start_with(count).await;
            fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
            fleet.wait_for_revision(1).await;
            let joined = || fleet.store.put(Feed::Servers, fixtures::listed("s2", "v1"));
            // The servers are read again a little later than the settings.
            silence_after_change(&fleet, silence.max(Duration::from_secs(1)), joined).await;

            fleet.store.put(Feed::Servers, fixtures::removed("s1"));
            tokio::time::sleep(DRAIN_NOTICED).await;

            for vm in &fleet.vms {
                let live = vm.gateway().live();
                let view = live.backends[fixtures::SERVICE].pool.view(Instant::now());
                assert!(
                    view.iter().all(|server| server.name.as_str() == "s2"),
                    "{count} VMs, {silence:?}: {view:?}"
                );
            }
        }
    }
}

/// Guards against the loss of all live servers whose entries expired while the store left calls unanswered.
#[tokio::test(start_paused = true)]
async fn live_servers_are_kept_until_their_expired_entries_are_back() {
    let fleet = Fleet::start_with(2).await;
    fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    fleet.wait_for_revision(1).await;
    fleet.store.set_silent(true);
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.store.put_unseen(Feed::Servers, fixtures::removed("s1"));
    fleet.store.set_silent(false);

    let mut slots = Vec::new();
    for n in 0..30 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if n == 15 {
            fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
        }
        let of_vm =
            |vm: &std::sync::Arc<mh_gateway::GatewayNode>| vm.gateway().live().backends[fixtures::SERVICE].pool.slots();
        slots.extend(fleet.vms.iter().map(of_vm));
    }

    assert!(slots.iter().all(|slots| *slots == 4), "{slots:?}");
}

/// Guards against store calls that grow with the time for which the store is silent, from every VM of a region.
#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_few_calls() {
    let fleet = Fleet::start_with(SMALL_REGION_VMS).await;
    fleet.wait_for_revision(1).await;
    fleet.wait_for_readers(2).await;
    fleet.store.set_silent(true);
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.store.take_calls();

    tokio::time::sleep(Duration::from_secs(20)).await;

    let calls = fleet.store.take_calls();
    let of_all: usize = calls.values().sum();
    // One call of each of the four feeds in two seconds, and two more for the settings at the two preferred readers.
    let allowed = SMALL_REGION_VMS * 4 * 10 + 2 * 2 * 10;
    assert!(of_all <= allowed, "{calls:?}");
}
