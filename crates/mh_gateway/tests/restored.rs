//! What a VM believes after the store was restored from an older copy.

mod fixtures;

use std::time::Duration;

use fixtures::{SERVICE, at, batch, deployment, listed, order, plan, removed, server, state_with, usable};
use mh_gateway::{
    AnnouncedVm, Batch, DeploymentState, Feed, LiveState, RegisteredServer, ShiftOrder, ShiftPhase, ShiftRecord, Update,
};
use mh_types::{StoreVersion, VmName};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a full read of the store after its first restore.
fn restored(number: u64, updates: Vec<Update>) -> Batch {
    Batch {
        version: StoreVersion::new(1, number),
        last_changed_version: StoreVersion::new(1, number),
        ..batch(number, updates)
    }
}

fn entry(sequence: u64, leaving: bool) -> Update {
    let entry = RegisteredServer {
        sequence,
        leaving,
        ..server("v1")
    };
    Update::Server("s1".into(), Some(entry))
}

fn record(order: u64, phase: ShiftPhase) -> ShiftRecord {
    ShiftRecord {
        to: "v2".into(),
        order: at(order),
        started: SECOND,
        phase,
        version: at(order + 1),
        written_in: Some(0),
    }
}

fn recorded(record: ShiftRecord) -> Update {
    Update::Shift(SERVICE.into(), Some(record))
}

fn phase(deployment: &mut DeploymentState, now: Instant) -> ShiftPhase {
    let live = deployment.build_live_state(&LiveState::default(), 1, now);
    live.shifts[SERVICE].phase
}

/// Guards against requests to a server that announced its leaving, by an entry from before the announcement.
#[test]
fn a_leaving_server_does_not_return_with_an_older_entry() {
    let now = Instant::now();
    let mut deployment = state_with(vec![entry(4, false), listed("s2", "v1")], now);
    deployment.apply(Feed::Servers, &batch(9, vec![entry(6, true)]), false, now);

    let copy = vec![entry(5, false), listed("s2", "v1")];
    deployment.apply(Feed::Servers, &restored(7, copy), true, now);
    assert_eq!(usable(&mut deployment, now), ["s2".into()]);

    // The server is up after all: it has withdrawn its announcement.
    deployment.apply(Feed::Servers, &restored(12, vec![entry(7, false)]), false, now);
    assert_eq!(usable(&mut deployment, now), ["s1".into(), "s2".into()]);
}

/// Guards against requests to a server that is gone and is listed in the restored store.
#[test]
fn a_server_that_was_removed_does_not_return_without_a_heartbeat() {
    let now = Instant::now();
    let mut deployment = state_with(vec![entry(4, false), listed("s2", "v1")], now);
    deployment.apply(Feed::Servers, &batch(9, vec![removed("s1")]), false, now);

    let copy = vec![entry(4, false), listed("s2", "v1")];
    deployment.apply(Feed::Servers, &restored(7, copy), true, now);
    assert_eq!(usable(&mut deployment, now), ["s2".into()]);

    deployment.apply(Feed::Servers, &restored(12, vec![entry(5, false)]), false, now);
    assert_eq!(usable(&mut deployment, now), ["s1".into(), "s2".into()]);
}

/// Guards against losing the servers that registered after the copy was taken, and against keeping those that do not
/// register again.
#[test]
fn servers_that_the_store_lost_are_kept_for_the_time_of_their_return() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("s1", "v1"), listed("s2", "v1"), listed("s3", "v1")], now);

    deployment.apply(Feed::Servers, &restored(2, vec![listed("s1", "v1")]), true, now);
    deployment.apply(Feed::Servers, &restored(5, vec![listed("s2", "v1")]), false, now);

    assert_eq!(usable(&mut deployment, now), ["s1".into(), "s2".into(), "s3".into()]);
    assert_eq!(usable(&mut deployment, now + SECOND * 2), ["s1".into(), "s2".into()]);
}

/// Guards against a plan that goes back to the revision of the copy.
#[test]
fn a_plan_does_not_go_back_to_the_copy() {
    let now = Instant::now();
    let mut deployment = state_with(Vec::new(), now);
    deployment.apply(
        Feed::Settings,
        &batch(9, vec![Update::Plan(plan(7).into())]),
        false,
        now,
    );

    deployment.apply(
        Feed::Settings,
        &restored(3, vec![Update::Plan(plan(5).into())]),
        true,
        now,
    );
    assert_eq!(deployment.plan().unwrap().revision.0, 7);
    deployment.apply(
        Feed::Settings,
        &restored(8, vec![Update::Plan(plan(8).into())]),
        false,
        now,
    );

    assert_eq!(deployment.plan().unwrap().revision.0, 8);
}

/// Guards against requests to a drained failure domain while the operator has not yet ordered the drain again.
#[test]
fn a_drain_that_the_store_lost_holds_until_it_is_ordered_again() {
    let now = Instant::now();
    let drained = |is_drained| Update::Drained("a".into(), is_drained);
    let mut deployment = state_with(vec![listed("s1", "v1")], now);
    deployment.apply(Feed::Settings, &batch(9, vec![drained(true)]), false, now);

    deployment.apply(
        Feed::Settings,
        &restored(3, vec![Update::Plan(plan(1).into())]),
        true,
        now,
    );
    assert!(usable(&mut deployment, now + SECOND * 3).is_empty());
    deployment.apply(Feed::Settings, &restored(8, vec![drained(true)]), false, now);
    assert!(usable(&mut deployment, now + SECOND * 60).is_empty());
    deployment.apply(Feed::Settings, &restored(9, vec![drained(false)]), false, now);
    assert_eq!(usable(&mut deployment, now + SECOND * 60), ["s1".into()]);
}

/// Guards against a drain that holds for ever although the operator has not ordered it again.
#[test]
fn a_drain_that_is_not_ordered_again_ends() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("s1", "v1")], now);
    let drained = vec![Update::Drained("a".into(), true)];
    deployment.apply(Feed::Settings, &batch(9, drained), false, now);

    deployment.apply(Feed::Settings, &restored(3, Vec::new()), true, now);

    assert!(deployment.next_change(now).is_some_and(|at| at <= now + SECOND * 10));
    assert_eq!(usable(&mut deployment, now + SECOND * 10), ["s1".into()]);
}

/// Guards against requests to the old servers, which have stopped, because the restored store says that the shift is
/// still running.
#[test]
fn a_shift_that_has_ended_does_not_start_again() {
    let now = Instant::now();
    for lost_record in [true, false] {
        let mut deployment = state_with(vec![listed("s1", "v1"), listed("s2", "v2")], now);
        deployment.apply(Feed::Settings, &batch(5, vec![order("v2", 5)]), false, now);
        deployment.apply(
            Feed::Shifts,
            &batch(9, vec![recorded(record(5, ShiftPhase::Done))]),
            false,
            now,
        );

        let copy = ShiftRecord {
            version: StoreVersion::new(1, 6),
            ..record(5, ShiftPhase::Exposing)
        };
        let copy = if lost_record { Vec::new() } else { vec![recorded(copy)] };
        deployment.apply(Feed::Shifts, &restored(7, copy), true, now);

        assert_eq!(phase(&mut deployment, now), ShiftPhase::Done);
    }
}

/// Guards against a rolled-back version that is exposed again, because its order got another version when the operator
/// wrote it again.
#[test]
fn an_order_that_is_written_again_is_the_same_shift() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("s1", "v1"), listed("s2", "v2")], now);
    deployment.apply(Feed::Settings, &batch(5, vec![order("v2", 5)]), false, now);
    deployment.apply(
        Feed::Shifts,
        &batch(9, vec![recorded(record(5, ShiftPhase::TakenBack))]),
        false,
        now,
    );
    let again = |number| {
        let order = ShiftOrder {
            to: "v2".into(),
            duration: SECOND * 16,
            version: StoreVersion::new(1, number),
        };
        Update::Order(SERVICE.into(), Some(order))
    };

    deployment.apply(Feed::Shifts, &restored(3, Vec::new()), true, now);
    deployment.apply(
        Feed::Settings,
        &restored(3, vec![Update::Plan(plan(1).into())]),
        true,
        now,
    );
    assert_eq!(phase(&mut deployment, now), ShiftPhase::TakenBack);
    deployment.apply(Feed::Settings, &restored(4, vec![again(4)]), false, now);
    assert_eq!(phase(&mut deployment, now), ShiftPhase::TakenBack);

    // A later order of the same version is a new shift.
    deployment.apply(Feed::Settings, &restored(8, vec![again(8)]), false, now);
    assert_eq!(phase(&mut deployment, now), ShiftPhase::Exposing);
}

/// Guards against VMs that fall out of look-ups and quotas because the store lost their entries, and against VMs that
/// have left and are named in look-ups again.
#[test]
fn the_vm_list_does_not_go_back_to_the_copy() {
    let now = Instant::now();
    let mut deployment = deployment();
    deployment.apply(
        Feed::Vms,
        &batch(4, vec![listed_vm("vm-0"), listed_vm("vm-1")]),
        true,
        now,
    );
    deployment.apply(Feed::Vms, &batch(6, vec![listed_vm("vm-2")]), false, now);
    deployment.apply(Feed::Vms, &batch(7, vec![Update::Vm("vm-1".into(), None)]), false, now);

    deployment.apply(
        Feed::Vms,
        &restored(5, vec![listed_vm("vm-0"), listed_vm("vm-1")]),
        true,
        now,
    );

    let vms: Vec<&VmName> = deployment.vms().map(|vm| &vm.vm).collect();
    assert_eq!(vms, [&VmName::from("vm-0"), &VmName::from("vm-2")]);
    let is_stored = |deployment: &DeploymentState| ["vm-0", "vm-2"].map(|vm| deployment.is_vm_stored(&vm.into()));
    assert_eq!(is_stored(&deployment), [true, false]);
    deployment.apply(
        Feed::Vms,
        &restored(9, vec![listed_vm("vm-2"), listed_vm("vm-1")]),
        false,
        now,
    );
    assert_eq!(is_stored(&deployment), [true, true]);
    assert_eq!(deployment.vms().count(), 3);
}

fn listed_vm(name: &str) -> Update {
    let vm = AnnouncedVm {
        vm: name.into(),
        domain: "a".into(),
        region: "north".into(),
        callers: "127.0.0.1:1".parse().expect("a literal address"),
        peers: "127.0.0.1:9".parse().expect("a literal address"),
    };
    Update::Vm(name.into(), Some(vm))
}
