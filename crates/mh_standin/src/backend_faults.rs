use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

/// Faults of a backend server that can be switched on and off while it runs.
#[derive(Debug, Default)]
pub struct BackendFaults {
    status: AtomicU16,
    delay_ms: AtomicU64,
    close_before_answer: AtomicBool,
    truncate: AtomicBool,
    wrong_request_id: AtomicBool,
}

impl BackendFaults {
    /// Sets the status of every response; 0 means 200.
    pub fn set_status(&self, status: u16) {
        self.status.store(status, Ordering::SeqCst);
    }

    /// Sets the delay of every response.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets whether the connection is closed without a response, after the request has been recorded.
    pub fn set_close_before_answer(&self, on: bool) {
        self.close_before_answer.store(on, Ordering::SeqCst);
    }

    /// Sets whether the connection is closed in the middle of the response body.
    pub fn set_truncate(&self, on: bool) {
        self.truncate.store(on, Ordering::SeqCst);
    }

    /// Sets whether responses contain the id of another request.
    pub fn set_wrong_request_id(&self, on: bool) {
        self.wrong_request_id.store(on, Ordering::SeqCst);
    }

    pub(crate) fn status(&self) -> u16 {
        match self.status.load(Ordering::SeqCst) {
            0 => 200,
            status => status,
        }
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    pub(crate) fn closes_before_answer(&self) -> bool {
        self.close_before_answer.load(Ordering::SeqCst)
    }

    pub(crate) fn truncates(&self) -> bool {
        self.truncate.load(Ordering::SeqCst)
    }

    pub(crate) fn sends_wrong_request_id(&self) -> bool {
        self.wrong_request_id.load(Ordering::SeqCst)
    }
}
