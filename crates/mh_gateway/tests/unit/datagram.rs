//! Messages between VMs that were changed on the way, or come from another version.

use super::*;

fn sent() -> Vec<u8> {
    let loads = vec![("s1".into(), 3), ("s2".into(), 7)];
    encode(&"vm-1".into(), &Datagram::Loads(loads)).expect("it has an encoded form")
}

/// Guards against believing a message of which any byte was changed or lost.
#[test]
fn a_changed_message_is_not_understood() {
    let whole = sent();
    assert!(decode::<Datagram>(&whole).is_ok());
    for place in 0..whole.len() {
        assert!(decode::<Datagram>(&whole[..place]).is_err());
        for change in [1, 0x80, 0xff] {
            let mut changed = whole.clone();
            changed[place] ^= change;
            assert!(decode::<Datagram>(&changed).is_err(), "byte {place}");
        }
    }
}

/// Guards against reading a message of a newer version as something else.
#[test]
fn a_message_of_another_version_is_told_apart() {
    let mut newer = sent();
    newer[0] = WIRE_VERSION + 1;

    let error = decode::<Datagram>(&newer).unwrap_err();

    assert_eq!(error, format!("version {} is not known", WIRE_VERSION + 1));
}
