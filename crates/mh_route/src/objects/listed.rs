use tokio::time::Instant;

use crate::ServerSpec;

/// A server as the register lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Address, place and size.
    pub spec: ServerSpec,
    /// Start of the server's process as the server states it, so that a restart under the same name is a new server.
    pub run: u64,
    /// Whether the server takes no new requests.
    pub leaving: bool,
    /// Until when the server is cold and must get few requests.
    pub cold_until: Option<Instant>,
}

impl Listed {
    /// A warm server that takes requests.
    pub fn serving(spec: ServerSpec) -> Self {
        Self {
            spec,
            run: 0,
            leaving: false,
            cold_until: None,
        }
    }
}
