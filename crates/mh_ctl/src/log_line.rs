use std::path::Path;

use jiff::Timestamp;
use serde_json::{Map, Value, json};

/// One line of a VM's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    pub(crate) at: Timestamp,
    /// Number of the event, such as `E204`.
    pub(crate) event: String,
    /// What the event means.
    pub(crate) title: String,
    /// Pairs in their order.
    pub(crate) pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; `None` for one of another form, such as the rest of a torn one.
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
            pairs: pairs_of(pairs),
        })
    }

    /// The value of a pair.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// The line as a value, with the log that it comes from.
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

/// Pairs of a line. A word without `=` belongs to the value before it, as error texts have spaces.
fn pairs_of(text: &str) -> Vec<(String, String)> {
    let mut out: Vec<(String, String)> = Vec::new();
    for word in text.split_whitespace() {
        let is_key = |key: &str| !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_');
        match (word.split_once('='), out.last_mut()) {
            (Some((key, value)), _) if is_key(key) => out.push((key.to_owned(), value.to_owned())),
            (_, Some((_, last))) => {
                last.push(' ');
                last.push_str(word);
            }
            _ => {}
        }
    }
    out
}
