use std::path::Path;

use jiff::Timestamp;
use serde_json::{Map, Value, json};

/// Parsed line of a VM's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    pub(crate) at: Timestamp,
    /// Event number, such as `E204`.
    pub(crate) event: String,
    /// Title of the event.
    pub(crate) title: String,
    /// Key-value pairs in the order of the line.
    pub(crate) pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it has another format, such as the rest of a partly written line.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let (at, rest) = line.split_once(' ')?;
        let at = at.parse().ok()?;
        let (_level, rest) = rest.trim_start().split_once(' ')?;
        let (event, rest) = rest.trim_start().split_once(' ')?;
        let is_event = event
            .strip_prefix('E')
            .is_some_and(|number| number.parse::<u16>().is_ok());
        let (title, pairs) = rest.split_once(". ").unwrap_or((rest.trim_end_matches('.'), ""));
        is_event.then(|| Self {
            at,
            event: event.to_owned(),
            title: title.to_owned(),
            pairs: parse_pairs(pairs),
        })
    }

    /// Returns the value of the first pair with this key.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Converts the line to JSON and adds the path of its log.
    pub(crate) fn to_value(&self, log: &Path) -> Value {
        let pairs: Map<String, Value> = self
            .pairs
            .iter()
            .map(|(key, value)| (key.clone(), json!(value)))
            .collect();
        json!({"at": self.at.to_string(), "log": log.display().to_string(), "event": self.event, "title": self.title,
            "pairs": pairs})
    }
}

/// Parses the key-value pairs of a line. A word without `key=` continues the previous value, since error messages
/// contain spaces.
fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut out: Vec<(String, String)> = Vec::new();
    for word in text.split_whitespace() {
        let is_key = |key: &str| !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_');
        match (word.split_once('='), out.last_mut()) {
            (Some((key, value)), _) if is_key(key) => out.push((key.to_owned(), value.to_owned())),
            (_, Some((_, last_value))) => {
                last_value.push(' ');
                last_value.push_str(word);
            }
            _ => {}
        }
    }
    out
}
