use tokio::sync::watch;

use crate::wait_outcome::WaitOutcome;

/// Handle for a repeat to wait for the attempt in progress.
///
/// A repeat that stops waiting is refused with [`Code::OperationInProgress`](mh_types::Code::OperationInProgress) and
/// [`Run::Unknown`](mh_types::Run::Unknown): the operation may still run.
#[derive(Clone, Debug)]
pub struct Waiter {
    rx: watch::Receiver<Option<WaitOutcome>>,
}

impl Waiter {
    pub(crate) fn new(rx: watch::Receiver<Option<WaitOutcome>>) -> Self {
        Self { rx }
    }

    /// Outcome of the attempt, if it has ended.
    pub fn peek(&self) -> Option<WaitOutcome> {
        let outcome = self.rx.borrow().clone();
        // The channel is closed without a result only if the operation table was dropped.
        outcome.or_else(|| self.rx.has_changed().is_err().then_some(WaitOutcome::Unknown))
    }

    /// Waits until the attempt ends.
    pub async fn wait(mut self) -> WaitOutcome {
        match self.rx.wait_for(Option::is_some).await {
            Ok(outcome) => outcome.clone().unwrap_or(WaitOutcome::Unknown),
            Err(_) => WaitOutcome::Unknown,
        }
    }
}
