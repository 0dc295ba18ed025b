use log::LevelFilter;

/// Sends log lines to standard error, each with a UTC timestamp.
///
/// # Errors
///
/// [`log::SetLoggerError`] if a logger is already set.
pub fn init_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:5} {message}",
                jiff::Timestamp::now(),
                record.level()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("mangohook", level)
        .chain(std::io::stderr())
        .apply()
}
