use std::time::Duration;

use mh_types::{Event, emit};

/// Delay before a failed loop is restarted, so that a loop that fails at once does not saturate a core.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs the loop that `start` creates and restarts it when it panics.
///
/// Without the restart, one unexpected message would end the communication with all other VMs.
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
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

#[cfg(test)]
#[path = "../../tests/unit/supervise.rs"]
mod tests;
