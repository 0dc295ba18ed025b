use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Faults of the platform services that can be switched on and off while they run.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    lose_replies: AtomicBool,
    corrupt_responses: AtomicBool,
    delay_ms: AtomicU64,
}

impl Faults {
    /// Sets whether every connection is closed without processing the request.
    pub fn set_down(&self, on: bool) {
        self.down.store(on, Ordering::SeqCst);
    }

    /// Sets whether every connection is closed without a response, after the request has been processed.
    pub fn set_lose_replies(&self, on: bool) {
        self.lose_replies.store(on, Ordering::SeqCst);
    }

    /// Sets whether every response has a body that cannot be decoded; requests are still processed.
    pub fn set_corrupt_responses(&self, on: bool) {
        self.corrupt_responses.store(on, Ordering::SeqCst);
    }

    /// Sets the delay of every response.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub(crate) fn loses_replies(&self) -> bool {
        self.lose_replies.load(Ordering::SeqCst)
    }

    pub(crate) fn corrupts_responses(&self) -> bool {
        self.corrupt_responses.load(Ordering::SeqCst)
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }
}
