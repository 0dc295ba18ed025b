//! Distribution of the store's changes among the VMs of a region.

#[path = "fixtures/mod.rs"]
mod fixtures;
#[path = "fleet/mod.rs"]
mod fleet;
mod store;

use std::time::Duration;

use fleet::{Fleet, LARGE_REGION_VMS, SMALL_REGION_VMS, settings, start_vm, wait_until};
use mh_gateway::{AnnouncedVm, BoundSettings, Feed, Update};
use mh_poison::{Fingerprint, ServerRun};
use store::MemoryStore;

/// Guards against store calls that grow with the number of VMs, for example 85, instead of the number of regions.
#[tokio::test]
async fn two_vms_read_for_their_region() {
    let fleet = Fleet::start().await;
    fleet.wait_for_revision(1).await;
    let readers = fleet.wait_for_readers(2).await;
    assert_eq!(readers.len(), 2, "{readers:?}");

    fleet.store.take_calls();
    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
    fleet.wait_for_revision(2).await;

    let calls = fleet.store.take_calls();
    assert!(calls.keys().all(|vm| readers.contains(vm)), "{calls:?}");
}

/// Guards against a region that keeps old settings because the store refuses its readers.
#[tokio::test]
async fn other_vms_take_over_from_refused_readers() {
    let fleet = Fleet::start().await;
    fleet.wait_for_revision(1).await;
    for reader in fleet.wait_for_readers(2).await {
        fleet.store.refuse(&reader);
    }

    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));

    fleet.wait_for_revision(2).await;
}

/// Guards against a region that keeps old settings because its only reader, for which the store has no history, reads
/// them from VMs that rely on it.
#[tokio::test(start_paused = true)]
async fn a_reader_without_history_reads_the_store_and_not_the_vms_that_rely_on_it() {
    let fleet = Fleet::start_with(LARGE_REGION_VMS).await;
    fleet.wait_for_revision(1).await;
    let preferred = fleet.wait_for_readers(2).await;
    let names = || fleet.vms.iter().map(|vm| vm.gateway().vm());
    let reader = names().find(|vm| !preferred.contains(vm)).expect("a follower");
    for vm in names().filter(|vm| *vm != reader) {
        fleet.store.refuse(vm);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;

    fleet
        .store
        .put_unseen(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
    fleet.store.drop_history();
    tokio::time::sleep(BoundSettings::default().bounds().settings_in_force).await;

    let revisions = fleet.revisions();
    assert!(revisions.iter().all(|revision| *revision == Some(2)), "{revisions:?}");
}

/// Guards against a fleet in which every starting VM reads everything from the store.
#[tokio::test]
async fn a_starting_vm_learns_from_peers() {
    let mut fleet = Fleet::start_with(LARGE_REGION_VMS).await;
    fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    fleet.wait_for_revision(1).await;
    let readers = fleet.wait_for_readers(2).await;
    fleet.store.take_calls();

    let (started, caller_port) = start_vm(&fleet.store, LARGE_REGION_VMS).await;
    std::mem::forget(caller_port);
    let name = started.gateway().vm().clone();
    fleet.vms.push(started);
    fleet.wait_for_revision(1).await;

    let calls = fleet.store.take_calls();
    // One read of the VM list and one write of the VM's own entry.
    assert!(calls[&name] <= 2, "{calls:?}");
    assert!(!readers.contains(&name));
    let live = fleet.vms[LARGE_REGION_VMS].gateway().live();
    assert_eq!(live.backends[fixtures::SERVICE].pool.slots(), 4);
}

/// Guards against a starting VM that loads entries which were removed before its start, from a VM that has not received
/// the removal yet.
#[tokio::test]
async fn a_starting_vm_learns_no_removed_entries() {
    let fleet = Fleet::start_with(LARGE_REGION_VMS).await;
    fleet.store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    fleet.wait_for_revision(1).await;
    for round in 0..3 {
        let name = format!("left-{round}");
        fleet.store.put(Feed::Servers, fixtures::listed(&name, "v1"));
        fleet.store.put(Feed::Servers, fixtures::removed(&name));
        fleet
            .store
            .put(Feed::Settings, Update::Plan(fixtures::plan(round + 2).into()));

        let (started, caller_port) = start_vm(&fleet.store, LARGE_REGION_VMS + round as usize).await;
        std::mem::forget(caller_port);
        wait_until(|| started.gateway().live().ready).await;

        let live = started.gateway().live();
        assert_eq!(live.plan.as_ref().unwrap().revision.0, round + 2);
        let view = live.backends[fixtures::SERVICE].pool.view(tokio::time::Instant::now());
        assert!(view.iter().all(|server| server.name.as_str() != name), "{view:?}");
    }
}

/// Guards against a VM that never becomes ready because the other VMs of its region are listed but dead, as after a
/// loss of all VMs.
#[tokio::test]
async fn a_starting_vm_with_dead_peers_reads_the_store() {
    let store = MemoryStore::new();
    store.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
    store.put(Feed::Servers, fixtures::listed("s1", "v1"));
    for n in 1..LARGE_REGION_VMS {
        let cfg = settings(n);
        let vm = AnnouncedVm {
            vm: cfg.vm.clone(),
            domain: cfg.domain,
            region: cfg.region,
            callers: cfg.listen.callers,
            peers: cfg.listen.peers,
        };
        store.put(Feed::Vms, Update::Vm(cfg.vm, Some(vm)));
    }

    let (node, caller_port) = start_vm(&store, 0).await;
    std::mem::forget(caller_port);

    wait_until(|| node.gateway().live().ready).await;
    assert_eq!(node.gateway().live().backends[fixtures::SERVICE].pool.slots(), 4);
}

/// Guards against VMs that take numbers which a restored store gives out again for versions that they hold: they miss
/// changes, and never ask for them if other VMs read the store for them.
#[tokio::test]
async fn every_vm_follows_a_restored_store() {
    for count in [SMALL_REGION_VMS, LARGE_REGION_VMS] {
        let fleet = Fleet::start_with(count).await;
        fleet.wait_for_revision(1).await;
        fleet.wait_for_readers(2).await;
        let copy = fleet.store.version();
        for n in 0..40 {
            fleet.store.put(Feed::Servers, fixtures::listed(&format!("s{n}"), "v1"));
        }
        fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
        fleet.wait_for_revision(2).await;

        fleet.store.restore(copy);
        fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
        fleet.store.put(Feed::Servers, fixtures::listed("again", "v1"));
        fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(3).into()));

        fleet.wait_for_revision(3).await;
        // Servers that do not register again are gone.
        wait_until(|| {
            fleet.vms.iter().all(|vm| {
                let live = vm.gateway().live();
                let view = live.backends[fixtures::SERVICE].pool.view(tokio::time::Instant::now());
                view.iter().map(|server| server.name.as_str()).eq(["again"])
            })
        })
        .await;
    }
}

/// Guards against VMs that fall out of look-ups and quotas because a restored store has lost their entries, and against
/// VMs that are listed again after they have left.
#[tokio::test]
async fn the_vm_list_is_written_again_after_a_restore() {
    let fleet = Fleet::start().await;
    fleet.wait_for_revision(1).await;
    wait_until(|| fleet.store.listed_vms().len() == SMALL_REGION_VMS).await;
    let listed = fleet.store.listed_vms();
    let left = settings(SMALL_REGION_VMS);
    let left = AnnouncedVm {
        vm: left.vm,
        domain: left.domain,
        region: left.region,
        callers: left.listen.callers,
        peers: left.listen.peers,
    };
    let copy_with_all = {
        let name = left.vm.clone();
        fleet.store.put(Feed::Vms, Update::Vm(name, Some(left.clone())));
        fleet.store.version()
    };
    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(2).into()));
    fleet.wait_for_revision(2).await;
    fleet.store.put(Feed::Vms, Update::Vm(left.vm.clone(), None));
    fleet.store.put(Feed::Settings, Update::Plan(fixtures::plan(3).into()));
    fleet.wait_for_revision(3).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    fleet.store.restore(copy_with_all);
    wait_until(|| fleet.store.listed_vms() == listed).await;
    fleet.store.restore(1);
    assert!(fleet.store.listed_vms().is_empty());

    wait_until(|| fleet.store.listed_vms() == listed).await;
}

/// Guards against a request that crashes servers again after all VMs, and all that they knew of it, were lost.
#[tokio::test]
async fn a_quarantine_outlasts_the_vms_that_began_it() {
    let now = tokio::time::Instant::now();
    let deadly = Fingerprint::of(&[b"deadly"]);
    let store = {
        let fleet = Fleet::start_with(2).await;
        fleet.wait_for_revision(1).await;
        let poison = fleet.vms[0].gateway().poison();
        for n in 0..3 {
            poison.with(|guard, answered| guard.on_crash(now, ServerRun::new("s", n), &[deadly], answered));
        }
        wait_until(|| fleet.store.quarantined().len() == 1).await;
        fleet.store.clone()
    };
    // A store with the same contents, and none of the VMs.
    let later = MemoryStore::new();
    later.put(Feed::Settings, Update::Plan(fixtures::plan(1).into()));
    for stored in store.quarantined() {
        later.put(Feed::Vms, Update::Quarantine(stored.fingerprint, Some(stored)));
    }

    let (started, caller_port) = start_vm(&later, 7).await;
    std::mem::forget(caller_port);
    wait_until(|| started.gateway().live().ready).await;

    let admitted = started.gateway().poison().with(|guard, _| guard.admit(now, &deadly));
    assert!(admitted.is_err(), "{admitted:?}");
}

/// Guards against quarantines that stay in the store after a server has answered the request.
#[tokio::test]
async fn a_cleared_quarantine_leaves_the_store() {
    let now = tokio::time::Instant::now();
    let cleared = Fingerprint::of(&[b"cleared"]);
    let fleet = Fleet::start_with(2).await;
    fleet.wait_for_revision(1).await;
    let poison = fleet.vms[0].gateway().poison();
    for n in 0..3 {
        poison.with(|guard, answered| guard.on_crash(now, ServerRun::new("s", n), &[cleared], answered));
    }
    wait_until(|| fleet.store.quarantined().len() == 1).await;

    tokio::time::sleep(Duration::from_millis(300)).await;
    for vm in &fleet.vms {
        vm.gateway().poison().with(|guard, answered| {
            answered.record(tokio::time::Instant::now(), &cleared);
            guard.on_answer(&cleared)
        });
    }

    wait_until(|| fleet.store.quarantined().is_empty()).await;
}
