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
