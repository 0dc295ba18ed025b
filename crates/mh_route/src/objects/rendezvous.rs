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
