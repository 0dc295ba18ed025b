mod line_limit;
mod queue;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use log::LevelFilter;

pub use line_limit::LineLimit;
use queue::LineQueue;
pub(crate) use queue::lines_dropped;

/// Longest wait for the last lines at exit: the interval between two writes and a margin.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Writes the queued lines before the process exits; without this call they are lost.
pub fn flush_logging() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FINAL_FLUSH_TIMEOUT);
    }
}

/// Sends log lines to standard output through a bounded queue, at most `limit` lines per second.
///
/// Logging never blocks: lines that don't fit into the queue are dropped, and a separate line reports their number.
///
/// # Errors
///
/// [`log::SetLoggerError`] if a logger is already set.
pub fn init_logging(level: LevelFilter, limit: LineLimit) -> Result<(), log::SetLoggerError> {
    let queue = Arc::new(LineQueue::start(limit, std::io::stdout()));
    // A second call fails below, where the logger is set.
    let _ = QUEUE.set(Arc::clone(&queue));
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("mangohook", level)
        .chain(fern::Output::call(move |record| {
            queue.push(
                format!("{} {:5} {}\n", jiff::Timestamp::now(), record.level(), record.args()),
                record.level(),
            );
        }))
        .apply()
}
