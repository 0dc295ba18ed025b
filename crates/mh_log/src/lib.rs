//! Log lines through a bounded queue, so that no thread of the runtime waits for whoever reads them.
//!
//! A pipe that nobody reads, or a slow terminal, would otherwise stop the threads that serve requests, also while they hold
//! a lock. [`init_logging`] gives each line to a thread of its own. Lines that do not fit are left out and counted.
//!
//! ```
//! use log::LevelFilter;
//! use mh_log::{LineLimit, flush_logging, init_logging};
//!
//! init_logging(LevelFilter::Info, LineLimit::NONE, std::io::sink()).expect("no logger is set yet");
//! log::info!(target: "mangohook", "E100 started");
//! flush_logging();
//! ```

mod line_limit;
mod queue;

use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use log::LevelFilter;

pub use line_limit::LineLimit;
pub use queue::lines_dropped;

use queue::LineQueue;

/// Longest wait for the last lines at exit: the interval between two writes and a margin.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Writes the queued lines before the process exits; without this call they are lost.
pub fn flush_logging() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FINAL_FLUSH_TIMEOUT);
    }
}

/// Sends log lines to `out` through a bounded queue, at most `limit` lines per second, each with a UTC timestamp.
///
/// Logging never blocks: lines that don't fit into the queue are dropped, and a separate line reports their number.
///
/// # Errors
///
/// [`log::SetLoggerError`] if a logger is already set.
pub fn init_logging(
    level: LevelFilter,
    limit: LineLimit,
    out: impl Write + Send + 'static,
) -> Result<(), log::SetLoggerError> {
    let queue = Arc::new(LineQueue::start(limit, out));
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
