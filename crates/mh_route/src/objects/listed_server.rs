use tokio::time::Instant;

use crate::ServerSpec;

/// Entry of the server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Address, location and capacity.
    pub spec: ServerSpec,
    /// Start time of the server's process as reported by the server, which makes a restart under the same name a new
    /// server.
    pub run: u64,
    /// Whether the server takes no new requests.
    pub leaving: bool,
    /// Part of its objects that the server keeps while a planned drain moves them to others, in percent; 100 without a
    /// drain. Only the stable assignment uses it.
    pub kept_percent: u8,
    /// End of the time in which the server is cold and must get few requests.
    pub cold_until: Option<Instant>,
}

impl ListedServer {
    /// Creates the entry of a server that takes requests and is not cold.
    pub fn serving(spec: ServerSpec) -> Self {
        Self {
            spec,
            run: 0,
            leaving: false,
            kept_percent: 100,
            cold_until: None,
        }
    }
}
