use std::cmp::Ordering;
use std::hash::Hasher;

use mh_types::ServerName;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ServerLimit;

/// Latest known limit of one server, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Server that stated the limit.
    pub server: ServerName,
    /// Start of the server's process; a restarted server has stated nothing yet.
    pub run: u64,
    /// Number of changes of the limit. A VM that observes a change counts on from the number that it knows.
    pub change: u32,
    /// The limit; `None` once the server no longer states one.
    pub limit: Option<ServerLimit>,
}

impl Statement {
    /// Whether this statement replaces `held`. Of two changes that VMs observed at the same time, the lower limit wins
    /// on every VM; the next answer of the server corrects it.
    pub(crate) fn supersedes(&self, held: &Self) -> bool {
        let rank = |statement: &Self| statement.limit.map_or(f64::INFINITY, ServerLimit::per_s);
        match (self.run, self.change).cmp(&(held.run, held.change)) {
            Ordering::Less => false,
            Ordering::Equal => rank(self) < rank(held),
            Ordering::Greater => true,
        }
    }

    /// Hash for comparing the statements of two VMs.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(self.server.as_str().as_bytes());
        hasher.write_u64(self.run);
        hasher.write_u32(self.change);
        hasher.write_u64(self.limit.map_or(0, |limit| limit.per_s().to_bits()));
        hasher.finish()
    }
}
