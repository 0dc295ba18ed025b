//! Decoding of corrupted messages and of messages of another format version.

use super::*;

fn encoded_message() -> Vec<u8> {
    let loads = vec![("s1".into(), 3), ("s2".into(), 7)];
    encode(&"vm-1".into(), &Datagram::Loads(loads)).expect("the message encodes")
}

/// Guards against accepting a message of which any byte was changed or lost.
#[test]
fn a_corrupted_message_is_rejected() {
    let whole = encoded_message();
    assert!(decode::<Datagram>(&whole).is_ok());
    for index in 0..whole.len() {
        assert!(decode::<Datagram>(&whole[..index]).is_err());
        for change in [1, 0x80, 0xff] {
            let mut changed = whole.clone();
            changed[index] ^= change;
            assert!(decode::<Datagram>(&changed).is_err(), "byte {index}");
        }
    }
}

/// Guards against decoding a message of a newer version as one of this version.
#[test]
fn a_message_of_another_version_is_rejected() {
    let mut newer = encoded_message();
    newer[0] = WIRE_VERSION + 1;

    let error = decode::<Datagram>(&newer).unwrap_err();

    assert_eq!(error, format!("message version {} is not supported", WIRE_VERSION + 1));
}

/// Guards against a report that no longer fits one packet, or that costs much more than `Loads` for each server.
#[test]
fn a_full_report_of_stated_loads_fits_one_packet() {
    let loads = (0..40).map(|n| StatedLoad {
        server: format!("server-{n:02}").as_str().into(),
        total: 12,
        age_10ms: 40,
        speed_10: 25,
    });
    let stated = StatedLoads {
        run: 1_790_000_000_000_000,
        sent_ms: 86_400_000,
        loads: loads.collect(),
    };
    let plain = stated.loads.iter().map(|load| (load.server.clone(), load.total));
    let plain = encode(&"vm-1".into(), &Datagram::Loads(plain.collect())).expect("the message encodes");

    let bytes = encode(&"vm-1".into(), &Datagram::StatedLoads(stated)).expect("the message encodes");

    assert!(bytes.len() <= 1_200, "{}", bytes.len());
    assert!(
        bytes.len() <= plain.len() + 40 * 2 + 16,
        "{} {}",
        bytes.len(),
        plain.len()
    );
}

/// Guards against a change of the messages that earlier versions decode: their numbers are part of the format.
#[test]
fn the_new_message_is_appended_at_the_end() {
    let loads = postcard::to_stdvec(&Datagram::Loads(vec![("s1".into(), 3)])).expect("the message encodes");
    let stated = postcard::to_stdvec(&Datagram::StatedLoads(StatedLoads {
        run: 1,
        sent_ms: 1,
        loads: Vec::new(),
    }));

    assert_eq!(loads, [3, 1, 2, b's', b'1', 3]);
    assert_eq!(stated.expect("the message encodes")[0], 12);
}

/// Guards against messages about demand that do not fit one packet in a fleet of 43 domains with many services.
#[test]
fn demand_messages_fit_one_packet() {
    use std::collections::{BTreeMap, BTreeSet};

    use mh_route::objects::{DemandDistribution, FleetDemandView, ServiceCapacity};
    use tokio::time::Instant;

    let domain = |n: usize| mh_types::DomainName::from(format!("vermont-{n:02}").as_str());
    let vms = |n: usize| -> BTreeSet<VmName> {
        (0..35)
            .map(|vm| format!("vermont-{n:02}-{vm:02}").as_str().into())
            .collect()
    };
    let regions: BTreeMap<_, _> = (0..43)
        .map(|n| (domain(n), format!("r{}", n % 14).as_str().into()))
        .collect();
    let even: BTreeMap<_, f64> = (0..43).map(|n| (domain(n), 1.0 / 43.0)).collect();
    let service = |n: usize| mh_types::ServiceName::from(format!("service-{n:02}").as_str());
    let fleet = FleetDemandView {
        alive: (0..43).map(|n| (domain(n), vms(n))).collect(),
        listed: (0..43).map(|n| (domain(n), 35.0)).collect(),
        services: (0..20)
            .map(|n| ServiceCapacity {
                service: service(n),
                slots: even.keys().map(|domain| (domain.clone(), 100.0)).collect(),
                first_choices: even.clone(),
            })
            .collect(),
    };
    let mut now = Instant::now();
    let first = vms(0).first().cloned().expect("a VM");
    let mut leader = DemandDistribution::new(first, domain(0), regions, now);

    let (mut most, mut sent, rounds) = (0, 0, 40);
    for _ in 0..rounds {
        now += DemandDistribution::ROUND;
        let own: BTreeMap<_, _> = (0..20).map(|n| (service(n), 9.0)).collect();
        for (vm, msg) in leader.on_round(now, &own, &fleet).out {
            let bytes = encode(&vm, &Datagram::Demand(msg)).expect("the message encodes").len();
            most = most.max(bytes);
            sent += bytes + 28;
        }
    }

    assert!(most <= 1400, "{most} bytes");
    let per_second = sent as f64 / (f64::from(rounds) * DemandDistribution::ROUND.as_secs_f64());
    assert!(per_second <= 21_000.0, "{per_second} bytes a second");
}
