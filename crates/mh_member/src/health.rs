use serde::{Deserialize, Serialize};

/// Reachability of a VM with respect to one version of its record; when reports conflict, the later variant wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Reported by the VM itself, or not contradicted by any other VM.
    #[default]
    Alive,
    /// The VM that probed it and at least one indirect prober could not reach it.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}
