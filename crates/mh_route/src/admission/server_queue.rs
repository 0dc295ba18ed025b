use std::time::Duration;

use super::CallerAges;

/// What a request finds at the server that it is placed at.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerQueue {
    /// Predicted wait for a slot.
    pub wait: Duration,
    /// Time by which the request's work delays those that wait behind it: the work divided by the server's slots.
    pub delay: Duration,
    /// Whether the server's queue has no room for another request behind this one.
    pub is_full_behind: bool,
    /// Times since callers of each level could last have been sent to this server.
    pub callers: CallerAges,
}
