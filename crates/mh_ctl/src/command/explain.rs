use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use mh_node::Exit;
use mh_types::Code;
use serde_json::{Value, json};

use crate::log_line::LogLine;
use crate::output::{Table, cell_text, print_value};
use crate::{CtlError, OutputFormat};

/// Prints the log lines and the outcome of one request, collected from the logs of VMs and sorted by time.
///
/// The timestamps come from each VM's own clock, and these may differ by some milliseconds.
pub(crate) fn explain(format: OutputFormat, request: &str, logs: &[PathBuf]) -> Result<Exit, CtlError> {
    let value = trace_request(request, logs)?;
    print_value(format, &value, render);
    let is_found = value["lines"].as_array().is_some_and(|lines| !lines.is_empty());
    Ok(if is_found { Exit::Done } else { Exit::Refused })
}

/// Collects the log lines of one request and its outcome.
fn trace_request(request: &str, logs: &[PathBuf]) -> Result<Value, CtlError> {
    let read_error = |log: &PathBuf| {
        let log = log.display().to_string();
        move |e: std::io::Error| CtlError::new(Exit::Usage, format!("{log}: {e}"))
    };
    let mut lines: Vec<(LogLine, &PathBuf)> = Vec::new();
    let mut dropped_lines: u64 = 0;
    for log in logs {
        let file = File::open(log).map_err(read_error(log))?;
        for bytes in BufReader::new(file).split(b'\n') {
            let bytes = bytes.map_err(read_error(log))?;
            let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) else {
                continue;
            };
            dropped_lines += line.get("lines").and_then(|count| count.parse().ok()).unwrap_or(0);
            if line.get("request") == Some(request) {
                lines.push((line, log));
            }
        }
    }
    lines.sort_by_key(|(line, _)| line.at);
    let outcome = describe_outcome(lines.iter().map(|(line, _)| line), dropped_lines);
    let lines: Vec<Value> = lines.iter().map(|(line, log)| line.to_value(log)).collect();
    Ok(json!({"request": request, "outcome": outcome, "lines": lines}))
}

/// Describes how the request ended according to its log lines.
fn describe_outcome<'a>(lines: impl Iterator<Item = &'a LogLine>, dropped_lines: u64) -> String {
    let lines: Vec<&LogLine> = lines.collect();
    let code_title = |line: &LogLine| {
        let number = line.get("code").and_then(|text| text.parse().ok());
        number.and_then(Code::from_number).map_or("no code", Code::title)
    };
    let last_line = |event: &str| lines.iter().rev().find(|line| line.event == event);
    let elapsed_ms = |line: &LogLine| line.get("after_ms").unwrap_or("?").to_owned();
    if let Some(line) = last_line("E209") {
        format!(
            "It was refused as not run after {} ms: {}",
            elapsed_ms(line),
            code_title(line)
        )
    } else if let Some(line) = last_line("E203") {
        format!(
            "It ended without an answer after {} ms and may have run: {}",
            elapsed_ms(line),
            code_title(line)
        )
    } else if let Some(line) = last_line("E204") {
        let (status, server) = (line.get("status").unwrap_or("?"), line.get("server").unwrap_or("?"));
        format!(
            "Server {server} answered it with {status} after {} ms.",
            elapsed_ms(line)
        )
    } else if lines.is_empty() && dropped_lines > 0 {
        format!("No log line mentions it; {dropped_lines} lines were left out of these logs.")
    } else if lines.is_empty() {
        "No line in these logs mentions it.".to_owned()
    } else {
        "Its end is not in these logs.".to_owned()
    }
}

fn render(value: &Value) -> String {
    let mut table = Table::new(&["TIME", "LOG", "EVENT", "WHAT", "WITH"]);
    for line in value["lines"].as_array().into_iter().flatten() {
        let pairs = line["pairs"].as_object().into_iter().flatten();
        let pairs: Vec<String> = pairs
            .filter(|(key, _)| *key != "request")
            .map(|(key, value)| format!("{key}={}", cell_text(value)))
            .collect();
        let cells = ["at", "log", "event", "title"].map(|name| cell_text(&line[name]));
        table.push_row(cells.into_iter().chain([pairs.join(" ")]).collect());
    }
    format!("{}\n{}", table.render(), cell_text(&value["outcome"]))
}

#[cfg(test)]
#[path = "../../tests/unit/explain.rs"]
mod tests;
