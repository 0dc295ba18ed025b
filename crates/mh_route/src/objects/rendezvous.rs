use std::hash::Hasher;

use mh_types::ServerName;
use siphasher::sip::SipHasher13;

/// Weight of `server` for `object`; the server with the highest weight is the object's first choice.
///
/// Every VM computes the same weights, and the loss of a server moves only the objects that it was the first choice of.
pub(crate) fn weight(object: u64, server: &ServerName) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(object, 0);
    hasher.write(server.as_str().as_bytes());
    hasher.finish()
}

/// Minimum of a server's fraction, so that servers with a fraction of zero still have an order.
const MIN_FRACTION: f64 = 1e-9;

/// Score of a server with the weight `weight` that is to be the first choice of `fraction` of the objects.
///
/// The logarithm makes the probability of the highest score proportional to `fraction` (weighted rendezvous hashing).
pub(crate) fn score(weight: u64, fraction: f64) -> f64 {
    let uniform = (weight as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -fraction.max(MIN_FRACTION) / uniform.ln()
}
