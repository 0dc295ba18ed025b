use std::time::Duration;

/// One request at the server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    /// Whether its VM had passed on a statement half a second before.
    pub is_told: bool,
    /// Whether its VM was cut off within the time that others take to notice.
    pub is_cut: bool,
}
