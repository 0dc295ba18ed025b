pub(crate) mod drains;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod keys;
pub(crate) mod settings;
pub(crate) mod shifts;
pub(crate) mod status;

use mh_node::Exit;
use serde_json::Value;

use crate::OutputFormat;
use crate::output::{cell_text, print_value};

/// Prints the result of a change and returns the exit code, which shows whether the change is accepted.
fn print_change(format: OutputFormat, reply: &Value) -> Exit {
    let accepted = reply["accepted"].as_bool().unwrap_or_default();
    print_value(format, reply, |reply| {
        let revision = cell_text(&reply["revision"]);
        let missing: Vec<String> = reply["missing"]
            .as_array()
            .into_iter()
            .flatten()
            .map(cell_text)
            .collect();
        match (accepted, missing.is_empty()) {
            (true, true) => format!("revision {revision} is in force on every VM"),
            (true, false) => format!(
                "revision {revision} is accepted, not yet confirmed by {}",
                missing.join(", ")
            ),
            (false, _) => format!(
                "revision {revision} is committed, not yet in force at {}",
                missing.join(", ")
            ),
        }
    });
    if accepted { Exit::Done } else { Exit::NotInForce }
}
