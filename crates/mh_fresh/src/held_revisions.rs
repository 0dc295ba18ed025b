use mh_types::Revision;
use serde::{Deserialize, Serialize};

/// Revisions that one process holds, and for how long, at the time of its attestation.
///
/// The durations let a receiver find a moment at which a majority held a revision simultaneously. Two reports from
/// different moments do not show that: the process may have restarted, and lost the settings, in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRevisions {
    /// Revision held.
    #[serde(rename = "h")]
    pub held: Revision,
    /// Milliseconds for which at least `held` has been held, rounded down; 10,000 stands for any longer time.
    #[serde(rename = "f")]
    pub held_ms: u32,
    /// Revision held for at least [`STEADY_DURATION`](crate::STEADY_DURATION).
    ///
    /// During a burst of changes `held_ms` stays near zero; this field still confirms the older changes.
    #[serde(rename = "s")]
    pub steady: Revision,
}
