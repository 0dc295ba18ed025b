//! Durations as text: a number with the unit `ms` or `s`.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest accepted duration, about thirty years; adding a longer one to a clock could overflow.
const MAX_DURATION: Duration = Duration::from_secs(1_000_000_000);

/// Parses a duration such as `1500ms` or `2.5s`; `None` for any other text.
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|time| *time <= MAX_DURATION)
}

/// Formats a duration in milliseconds.
pub fn write(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

/// Deserialises a duration from text.
///
/// # Errors
///
/// The error of the format if the field is not such a text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text).ok_or_else(|| serde::de::Error::custom(format!("{text:?} is not a time such as 1500ms or 2.5s")))
}

/// Deserialises an optional duration from text.
///
/// # Errors
///
/// The error of the format if the field is neither absent nor such a text.
pub fn deserialize_option<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    let parse_duration = |text: String| {
        parse(&text).ok_or_else(|| serde::de::Error::custom(format!("{text:?} is not a time such as 1500ms or 2.5s")))
    };
    text.map(parse_duration).transpose()
}
