mod line_limit;
mod queue;

use log::LevelFilter;

pub use line_limit::LineLimit;
use queue::LineQueue;
pub(crate) use queue::lines_dropped;

/// Sends log lines to standard output through a bounded queue, at most `limit` lines a second.
///
/// Logging never waits: lines that do not fit the queue are left out and counted in a line of their own.
///
/// # Errors
///
/// The error of setting a logger twice.
pub fn init_logging(level: LevelFilter, limit: LineLimit) -> Result<(), log::SetLoggerError> {
    let queue = LineQueue::start(limit, std::io::stdout());
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
