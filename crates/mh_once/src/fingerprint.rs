use std::fmt;

use mh_types::OrgName;

use crate::digest::digest128;

/// 128-bit hash of a request's content, which distinguishes a repeat from a different request with the same id.
///
/// It is the same on every VM, because a forwarded operation carries it to its owner.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes the organisation, method, path with query, and body digest.
    ///
    /// `org` is `None` on a route with open access. `body_digest` must come from a collision-resistant hash.
    pub fn new(org: Option<&OrgName>, method: &str, path: &str, body_digest: &[u8]) -> Self {
        let (has_org, org) = org.map_or((0, ""), |org| (1, org.as_str()));
        Self(digest128([
            &[has_org],
            org.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body_digest,
        ]))
    }

    /// Creates a fingerprint from the bits received from a peer.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits to send to a peer.
    pub fn to_bits(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({:032x})", self.0)
    }
}
