use bytes::Bytes;

use super::to_response;

/// Guards against passing on an invalid status of a faulty server that a VM of an earlier version has accepted.
#[test]
fn invalid_status_of_another_vm_becomes_502() {
    for (status, expected) in [(0, 502), (101, 502), (199, 502), (600, 502), (999, 502), (1000, 502)] {
        assert_eq!(to_response(status, &[], Bytes::new()).status(), expected, "{status}");
    }
    for status in [200, 299, 404, 418, 599] {
        assert_eq!(to_response(status, &[], Bytes::new()).status(), status);
    }
}
