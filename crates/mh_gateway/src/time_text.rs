//! Times as a number with the unit `ms` or `s`.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time that is read, about thirty years; longer ones could not be added to a clock.
const LONGEST: Duration = Duration::from_secs(1_000_000_000);

/// Reads a time like `1500ms` or `2.5s`; `None` for any other text.
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|time| *time <= LONGEST)
}

/// Writes a time in milliseconds.
pub fn write(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

/// For fields that hold a time as text.
///
/// # Errors
///
/// The error of the format when the field is no such text.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(from)?;
    parse(&text).ok_or_else(|| serde::de::Error::custom(format!("{text:?} is not a time such as 1500ms or 2.5s")))
}

/// For fields that hold a time as text or nothing.
///
/// # Errors
///
/// The error of the format when the field is neither.
pub fn deserialize_option<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
    let text = Option::<String>::deserialize(from)?;
    let read = |text: String| {
        parse(&text).ok_or_else(|| serde::de::Error::custom(format!("{text:?} is not a time such as 1500ms or 2.5s")))
    };
    text.map(read).transpose()
}
