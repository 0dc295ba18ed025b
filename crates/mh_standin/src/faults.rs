use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Faults of the platform services that can be switched on and off while they run.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    lose_replies: AtomicBool,
    garble: AtomicBool,
    delay_ms: AtomicU64,
}

impl Faults {
    /// Closes every connection without processing the request.
    pub fn set_down(&self, on: bool) {
        self.down.store(on, Ordering::SeqCst);
    }

    /// Closes every connection without a response, after the request has been processed.
    pub fn set_lose_replies(&self, on: bool) {
        self.lose_replies.store(on, Ordering::SeqCst);
    }

    /// Responds with a body that cannot be decoded, after the request has been processed.
    pub fn set_garble(&self, on: bool) {
        self.garble.store(on, Ordering::SeqCst);
    }

    /// Delays every response.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub(crate) fn loses_replies(&self) -> bool {
        self.lose_replies.load(Ordering::SeqCst)
    }

    pub(crate) fn garbles(&self) -> bool {
        self.garble.load(Ordering::SeqCst)
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }
}
