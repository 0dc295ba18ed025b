use tokio::time::Instant;

use crate::{Health, MemberState, Record};

/// State of one member as seen by the local VM.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest known record.
    pub record: Record,
    /// Time of the last message from the member, indirect probe that reached it or newer version of its record.
    pub heard_at: Option<Instant>,
    /// Whether the last list of the platform marks the VM as leaving.
    pub listed_leaving: bool,
    pub(crate) suspected_at: Instant,
    pub(crate) dead_at: Instant,
    /// Time of the first read of the platform's list that lacked the VM after one that contained it.
    pub(crate) unlisted_at: Option<Instant>,
    pub(crate) listed: bool,
    /// Whether the VM was removed because the platform's list lacked it.
    pub(crate) removed: bool,
    /// Number of times the record was sent since it changed; `None` if it is not in the gossip queue.
    pub(crate) transmissions: Option<u32>,
}

impl Member {
    pub(crate) fn new(record: Record, now: Instant) -> Self {
        Self {
            record,
            heard_at: None,
            listed_leaving: false,
            suspected_at: now,
            dead_at: now,
            unlisted_at: None,
            listed: false,
            removed: false,
            transmissions: None,
        }
    }

    /// Returns the state without regard to the silence of the failure domain.
    pub(crate) fn individual_state(&self) -> MemberState {
        match self.record.health {
            Health::Dead => MemberState::Dead,
            _ if self.removed => MemberState::Dead,
            Health::Suspect => MemberState::Suspect,
            Health::Alive if self.record.leaving || self.listed_leaving => MemberState::Leaving,
            Health::Alive => MemberState::Alive,
        }
    }

    /// Returns whether the member is included in the digest of its domain.
    pub(crate) fn counts_in_digest(&self) -> bool {
        !self.removed && self.record.health != Health::Dead
    }
}
