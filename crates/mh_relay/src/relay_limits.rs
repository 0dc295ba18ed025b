use std::time::Duration;

/// Part of the time in which a change must be in force everywhere after which a silent reader is no longer relied on.
/// The other half is for the VM that takes over.
const FRESH_PART: f64 = 0.5;

/// Longest wait of a reader's call as a part of the time for which it is relied on, so that a slow answer or a small
/// delay of its news does not make others read.
const WAIT_PART: f64 = 0.55;

/// Times of the relaying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLimits {
    /// Age of a reader's news up to which it is relied on.
    pub fresh: Duration,
    /// Longest wait of one call of a reader to the store; it vouches after each.
    pub wait: Duration,
    /// Time by which each VM of the order waits longer than the one before it until it reads.
    pub stagger: Duration,
    /// Time after which a second reader is replaced, or one too many stops.
    pub settle: Duration,
    /// Time after which a reader whose calls fail, and that hears another reader, tries again.
    pub retry: Duration,
}

impl RelayLimits {
    /// Times with which a change is known to every VM within `in_force`, also when both readers stop at the change.
    pub fn within(in_force: Duration) -> Self {
        let fresh = in_force.mul_f64(FRESH_PART);
        Self {
            fresh,
            wait: fresh.mul_f64(WAIT_PART),
            // Longer than a read of the store and the news of it take.
            stagger: Duration::from_millis(100),
            settle: Duration::from_secs(1),
            retry: Duration::from_secs(2),
        }
    }
}
