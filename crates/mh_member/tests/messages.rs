//! Message handling of a single member.

use std::time::Duration;

use mh_member::{Body, Config, Health, MemberState, Membership, Msg, Record};
use mh_types::{DomainName, Incarnation, RegionName, VmName};
use tokio::time::Instant;

fn member(vm: &str, now: Instant) -> Membership {
    let (domain, region) = (DomainName::from("maine-a"), RegionName::from("maine"));
    Membership::new(VmName::from(vm), Incarnation(5), domain, region, now, Config::default())
}

fn record(vm: &str, incarnation: u64, seq: u64, health: Health) -> Record {
    Record {
        vm: VmName::from(vm),
        domain: DomainName::from("maine-a"),
        region: RegionName::from("maine"),
        addr: None,
        incarnation: Incarnation(incarnation),
        seq,
        health,
        leaving: false,
        payload: 0,
    }
}

fn delta(sender: Record, records: Vec<Record>) -> Msg {
    Msg {
        sender,
        body: Body::Delta,
        summaries: vec![],
        records,
    }
}

fn receive_records(member: &mut Membership, now: Instant, records: Vec<Record>) {
    member.on_msg(
        now,
        &VmName::from("b"),
        delta(record("b", 5, 0, Health::Alive), records),
    );
}

/// Guards against a VM that does not refute a suspicion of its current incarnation with a newer record.
#[test]
fn vm_refutes_suspicion_of_its_incarnation() {
    let now = Instant::now();
    for (health, refuted) in [(Health::Alive, 0), (Health::Suspect, 4), (Health::Dead, 4)] {
        let mut local = member("a", now);
        receive_records(
            &mut local,
            now,
            vec![record("a", 5, 3, health), record("a", 4, 9, Health::Dead)],
        );
        assert_eq!(
            local.view().get(&VmName::from("a")).unwrap().record.seq,
            refuted,
            "{health:?}"
        );
    }
}

/// Guards against two processes of one VM that run at the same time unnoticed.
#[test]
fn vm_detects_later_incarnation_of_itself() {
    let now = Instant::now();
    let mut local = member("a", now);
    receive_records(&mut local, now, vec![record("a", 5, 0, Health::Alive)]);
    assert_eq!(local.view().superseded_by(), None);
    receive_records(&mut local, now, vec![record("a", 6, 0, Health::Suspect)]);
    assert_eq!(local.view().superseded_by(), Some(Incarnation(6)));
}

/// Guards against an old record that replaces a newer one, in any order of arrival.
#[test]
fn newest_record_wins_in_any_order() {
    let now = Instant::now();
    let (old, suspect) = (record("c", 5, 1, Health::Alive), record("c", 5, 1, Health::Suspect));
    let (newer, restarted) = (record("c", 5, 2, Health::Alive), record("c", 6, 0, Health::Alive));
    let all = [old, suspect, newer, restarted];
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]] {
        let mut local = member("a", now);
        for index in order {
            receive_records(&mut local, now, vec![all[index].clone()]);
        }
        let vm = VmName::from("c");
        assert_eq!(
            (local.view().state(&vm), &local.view().get(&vm).unwrap().record),
            (Some(MemberState::Alive), &all[3])
        );
    }
}

/// Guards against accepting messages of an earlier incarnation, or whose sender record names another VM.
#[test]
fn messages_of_earlier_incarnation_or_wrong_sender_are_ignored() {
    let now = Instant::now();
    let mut local = member("a", now);
    receive_records(&mut local, now, vec![]);
    let records = || vec![record("c", 1, 0, Health::Alive)];
    local.on_msg(
        now,
        &VmName::from("b"),
        delta(record("b", 4, 7, Health::Alive), records()),
    );
    local.on_msg(
        now,
        &VmName::from("d"),
        delta(record("b", 5, 7, Health::Alive), records()),
    );

    assert_eq!(local.view().members().count(), 2);
}

/// Guards against suspicions raised by a VM that is itself partitioned: without the report of an indirect prober,
/// a VM that does not answer must not become suspect.
#[test]
fn silence_without_failed_indirect_probe_raises_no_suspicion() {
    let now = Instant::now();
    let mut local = member("a", now);
    receive_records(&mut local, now, vec![record("c", 5, 0, Health::Alive)]);
    for tick in 1..90 {
        local.on_tick(now + Duration::from_millis(100) * tick, u64::from(tick));
        assert_eq!(
            local.view().state(&VmName::from("c")),
            Some(MemberState::Alive),
            "tick {tick}"
        );
    }
    // Once the domain silence timeout has passed, the whole domain is considered dead.
    for tick in 90..120 {
        local.on_tick(now + Duration::from_millis(100) * tick, u64::from(tick));
    }
    assert_eq!(local.view().alive().count(), 1);
}

/// Guards against messages that exceed the maximum size, with names of more than 120 bytes, 300 queued records and
/// 100 domains.
#[test]
fn messages_do_not_exceed_max_size() {
    let now = Instant::now();
    let mut local = member("a", now);
    let long = "x".repeat(120);
    for index in 0..300 {
        let mut record = record(&format!("{long}{index}"), u64::MAX, u64::MAX, Health::Suspect);
        record.domain = DomainName::from(format!("{long}{}", index % 100));
        record.region = RegionName::from(long.clone());
        record.addr = Some("[2001:db8:1111:2222:3333:4444:5555:6666]:65535".parse().unwrap());
        record.payload = u64::MAX;
        receive_records(&mut local, now, vec![record]);
    }
    let full_request = Body::Ask {
        domain: local.view().domains().count() as u32,
        low: 0,
        high: u64::MAX,
        entries: vec![],
    };
    let mut outgoing_msgs = local.on_msg(
        now,
        &VmName::from("b"),
        Msg {
            body: full_request,
            ..delta(record("b", 5, 0, Health::Alive), vec![])
        },
    );
    for tick in 1..60 {
        outgoing_msgs.extend(local.on_tick(now + Duration::from_millis(100) * tick, u64::from(tick)));
    }

    assert!(outgoing_msgs.len() > 5);
    for outgoing in outgoing_msgs {
        assert!(postcard::to_stdvec(&outgoing.msg).unwrap().len() <= 1000);
    }
}

/// Guards against a state dump that cannot be serialized, or lacks a member.
#[test]
fn view_serializes_with_ages() {
    let now = Instant::now();
    let mut local = member("a", now);
    receive_records(&mut local, now, vec![]);
    local.on_tick(now + Duration::from_millis(1500), 1);

    let dump = serde_json::to_value(local.view()).unwrap();
    let b = &dump["domains"]["maine-a"]["members"]["b"];
    assert_eq!((b["state"].as_str(), b["age_ms"].as_u64()), (Some("alive"), Some(1500)));
}
