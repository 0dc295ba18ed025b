use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// One run of one backend server. A server that is started again is another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerRun(u64);

impl ServerRun {
    /// Creates the identifier of the run of `server` that began at `run`.
    pub fn new(server: &str, run: u64) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(server.as_bytes());
        hasher.write_u64(run);
        Self(hasher.finish())
    }
}
