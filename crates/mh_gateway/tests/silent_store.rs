//! VMs whose store leaves calls unanswered for a time.

#[path = "fixtures/mod.rs"]
mod fixtures;
#[path = "fleet/mod.rs"]
mod fleet;
mod store;

use std::time::Duration;

use fleet::{Fleet, SMALL_REGION_VMS};
use mh_gateway::{AnnouncedVm, BoundSettings, Feed, Update};
use mh_relay::{Election, RelayTimings};
use mh_types::{DomainName, VmName};
use store::MemoryStore;
use tokio::time::Instant;

/// Lengths of the silence.
const SILENCES: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_secs(2),
    Duration::from_secs(6),
];

/// Time within which a change of the settings is in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time within which a VM sends no more requests to a server that leaves.
const DRAIN_NOTICED: Duration = Duration::from_secs(5);

/// Returns the entry of a VM that is listed in the region and does not run.
fn dead_vm(name: &str, domain: &DomainName) -> AnnouncedVm {
    let cfg = fleet::settings(0);
    AnnouncedVm {
        vm: name.into(),
        domain: domain.clone(),
        region: cfg.region,
        callers: cfg.listen.callers,
        peers: cfg.listen.peers,
    }
}

/// Lists `count` VMs of the region that do not run, of which at least two come before the VM `n` in the order of readers.
fn list_dead_vms(store: &MemoryStore, n: usize, count: usize) {
    let own = fleet::settings(n);
    let is_before = |name: &String| {
        let mut election = Election::new(own.vm.clone(), RelayTimings::for_deadline(IN_FORCE), Instant::now());
        let vms = [own.vm.as_str(), name, "other"].map(VmName::from);
        let domains = [own.domain.clone(), own.domain.clone(), "other".into()];
        election.set_vms(vms.into_iter().zip(domains), Instant::now());
        !election.is_preferred_reader()
    };
    let first = (0..1000).map(|k| format!("dead-{k}")).find(is_before);
    let mut vms = vec![dead_vm(&first.expect("a name that comes first"), &own.domain)];
    vms.extend((1..count).map(|k| dead_vm(&format!("other-{k}"), &"other".into())));
    for vm in vms {
        store.put(Feed::Vms, Update::Vm(vm.vm.clone(), Some(vm)));
    }
}

/// Leaves calls for `feeds` unanswered until the VM has failed several times, and its next call for changes of the settings
/// is lost. The store then answers calls for the settings again, and no other answer shows that it is back.
async fn silence_until_call_is_lost(store: &MemoryStore, vm: &VmName, feeds: &[Feed]) {
    for feed in feeds {
        store.set_feed_silent(*feed, true);
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calls = store.change_calls(vm, Feed::Settings);
    fleet::wait_until(|| store.change_calls(vm, Feed::Settings) > calls).await;
    store.set_feed_silent(Feed::Settings, false);
}

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
    for count in [1, 2, 3, SMALL_REGION_VMS, 30] {
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

/// Guards against a VM that keeps old settings because it leaves the calls after an outage to readers that are gone.
#[tokio::test(start_paused = true)]
async fn settings_are_in_force_in_time_at_a_vm_whose_readers_are_gone() {
    for dead in [2, 29] {
        let store = MemoryStore::new();
        store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
        list_dead_vms(&store, 0, dead);
        let fleet = Fleet::start_on(store, 1).await;
        fleet.wait_for_revision(1).await;
        silence_until_call_is_lost(&fleet.store, fleet.vms[0].gateway().vm(), &Feed::ALL).await;

        fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
        tokio::time::sleep(IN_FORCE).await;

        assert_eq!(fleet.revisions(), [Some(2)], "{dead} VMs are gone");
    }
}

/// Guards against a VM that keeps old settings because the store, when it is back, leaves out just the VMs that call often.
#[tokio::test(start_paused = true)]
async fn settings_are_in_force_in_time_although_the_store_leaves_out_the_preferred_readers() {
    for count in [3, 4] {
        let fleet = Fleet::start_with(count).await;
        fleet.wait_for_revision(1).await;
        let preferred = fleet.wait_for_readers(2).await;
        let names = fleet.vms.iter().map(|vm| vm.gateway().vm());
        let others: Vec<&VmName> = names.filter(|vm| !preferred.contains(vm)).collect();
        for vm in &preferred {
            for feed in Feed::ALL {
                fleet.store.silence_vm(vm, feed);
            }
        }
        silence_until_call_is_lost(&fleet.store, others[0], &[Feed::Settings]).await;

        fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
        tokio::time::sleep(IN_FORCE).await;

        let revisions = fleet.revisions();
        assert!(
            revisions.iter().all(|revision| *revision == Some(2)),
            "{count} VMs: {revisions:?}"
        );
    }
}

/// Guards against VMs that rely on readers whose calls for the settings have no answer, because these report other changes.
#[tokio::test(start_paused = true)]
async fn reports_of_other_changes_are_no_proof_of_the_settings() {
    let fleet = Fleet::start_with(SMALL_REGION_VMS).await;
    fleet.wait_for_revision(1).await;
    let store = &fleet.store;
    for vm in fleet.wait_for_readers(2).await {
        store.silence_vm(&vm, Feed::Settings);
        let calls = store.change_calls(&vm, Feed::Settings);
        fleet::wait_until(|| store.change_calls(&vm, Feed::Settings) > calls).await;
    }

    store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
    let end = Instant::now() + IN_FORCE;
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        store.put(Feed::Servers, fixtures::listed(&format!("s{n}"), "v1"));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    let revisions = fleet.revisions();
    assert!(revisions.iter().all(|revision| *revision == Some(2)), "{revisions:?}");
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
