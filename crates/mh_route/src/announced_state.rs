use serde::{Deserialize, Serialize};

/// State of a server as announced by the server list or a planned drain.
///
/// Every state but [`Serving`](Self::Serving) excludes the server from new requests. `Serving` ends an earlier state
/// but never overrides failures that this VM detected itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum AnnouncedState {
    /// The server takes new requests.
    Serving = 0,
    /// The server finishes its current requests and takes no new ones.
    Leaving = 1,
    /// The server has stopped; if it returns, its load is ramped up because its caches are cold.
    Gone = 2,
}

impl AnnouncedState {
    pub(crate) fn from_bits(bits: u8) -> Self {
        match bits {
            0 => Self::Serving,
            1 => Self::Leaving,
            _ => Self::Gone,
        }
    }
}
