mod line_limit;
mod queue;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use log::LevelFilter;

pub use line_limit::LineLimit;
use queue::LineQueue;
pub(crate) use queue::lines_dropped;

/// Longest wait for the last lines when the process ends: the time between two writes and some room.
const LAST_WRITE: Duration = Duration::from_millis(400);

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Writes the lines that wait, as the process is about to end; without it the last ones are lost.
pub fn flush_logging() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(LAST_WRITE);
    }
}

/// Sends log lines to standard output through a bounded queue, at most `limit` lines a second.
///
/// Logging never waits: lines that do not fit the queue are left out and counted in a line of their own.
///
/// # Errors
///
/// The error of setting a logger twice.
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
