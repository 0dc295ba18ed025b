use std::time::Duration;

use mh_types::{Event, emit};

/// Wait before a loop that failed is started again, so that one that fails at once does not use up the processor.
const RESTART: Duration = Duration::from_millis(500);

/// Runs the loop that `start` makes, and starts it again when it panics.
///
/// One unexpected message must not end the exchange with all other VMs.
pub(super) fn supervise<F>(what: &'static str, mut start: impl FnMut() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(e) = tokio::spawn(start()).await {
            if !e.is_panic() {
                return;
            }
            emit!(Event::LoopFailed, what = what, error = e);
            tokio::time::sleep(RESTART).await;
        }
    });
}

#[cfg(test)]
#[path = "../../tests/unit/supervise.rs"]
mod tests;
