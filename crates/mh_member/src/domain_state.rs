use std::collections::BTreeSet;

use mh_types::VmName;
use tokio::time::Instant;

/// State of one failure domain as seen by the local VM.
#[derive(Clone, Debug)]
pub struct DomainState {
    /// Hash of the domain name, which identifies the domain in messages.
    pub(crate) key: u32,
    /// Members by their key on the ring, including removed members that are not yet forgotten.
    pub(crate) members: BTreeSet<(u64, VmName)>,
    /// Highest heartbeat counter seen.
    pub(crate) heartbeat: u64,
    /// Time at which the heartbeat counter last advanced, shifted forward by pauses of the local process.
    pub(crate) heartbeat_at: Instant,
    /// Time of the last sign of life, shifted forward by pauses of the local process: a message or successful indirect
    /// probe of a member for the local domain, an advanced heartbeat counter for other domains.
    pub(crate) last_heard_adjusted_at: Instant,
    /// Time of the same sign of life, not shifted by pauses; `None` if there was none.
    pub(crate) heard_at: Option<Instant>,
    pub(crate) silent: bool,
    /// Sum of the digests of the members that are neither dead nor removed.
    pub(crate) digest: u32,
    /// The delegate and the fallback delegate.
    pub(crate) delegates: [Option<VmName>; 2],
    /// Lowest ring key of the next [`Body::Ask`](crate::Body::Ask) for this domain.
    pub(crate) next_ask_key: u64,
}

impl DomainState {
    pub(crate) fn new(key: u32, now: Instant) -> Self {
        Self {
            key,
            members: BTreeSet::new(),
            heartbeat: 0,
            heartbeat_at: now,
            last_heard_adjusted_at: now,
            heard_at: None,
            silent: false,
            digest: 0,
            delegates: [None, None],
            next_ask_key: 0,
        }
    }

    /// Returns whether the domain gave no sign of life within
    /// [`Config::domain_silence_timeout`](crate::Config::domain_silence_timeout).
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Returns the delegate and the fallback delegate.
    pub fn delegates(&self) -> &[Option<VmName>; 2] {
        &self.delegates
    }
}
