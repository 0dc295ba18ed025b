use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use mh_node::Exit;
use mh_types::Code;
use serde_json::{Value, json};

use crate::log_line::LogLine;
use crate::output::{Table, cell, print};
use crate::{CtlError, OutputFormat};

/// Tells the story of one request from the logs of VMs, in order.
///
/// The times are those of each VM's clock, which may differ by some milliseconds.
pub(crate) fn explain(format: OutputFormat, request: &str, logs: &[PathBuf]) -> Result<Exit, CtlError> {
    let value = story(request, logs)?;
    print(format, &value, render);
    let is_found = value["lines"].as_array().is_some_and(|lines| !lines.is_empty());
    Ok(if is_found { Exit::Done } else { Exit::Refused })
}

fn story(request: &str, logs: &[PathBuf]) -> Result<Value, CtlError> {
    let unreadable = |log: &PathBuf| {
        let log = log.display().to_string();
        move |e: std::io::Error| CtlError::new(Exit::Usage, format!("{log}: {e}"))
    };
    let mut lines: Vec<(LogLine, &PathBuf)> = Vec::new();
    let mut dropped: u64 = 0;
    for log in logs {
        let file = File::open(log).map_err(unreadable(log))?;
        for bytes in BufReader::new(file).split(b'\n') {
            let bytes = bytes.map_err(unreadable(log))?;
            let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) else {
                continue;
            };
            dropped += line.get("lines").and_then(|count| count.parse().ok()).unwrap_or(0);
            if line.get("request") == Some(request) {
                lines.push((line, log));
            }
        }
    }
    lines.sort_by_key(|(line, _)| line.at);
    let outcome = outcome(lines.iter().map(|(line, _)| line), dropped);
    let lines: Vec<Value> = lines.iter().map(|(line, log)| line.to_value(log)).collect();
    Ok(json!({"request": request, "outcome": outcome, "lines": lines}))
}

/// What the lines say about how the request ended.
fn outcome<'a>(lines: impl Iterator<Item = &'a LogLine>, dropped: u64) -> String {
    let lines: Vec<&LogLine> = lines.collect();
    let code = |line: &LogLine| {
        let number = line.get("code").and_then(|text| text.parse().ok());
        number.and_then(Code::from_number).map_or("no code", Code::title)
    };
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    let after = |line: &LogLine| line.get("after_ms").unwrap_or("?").to_owned();
    if let Some(line) = last("E209") {
        format!("It was refused as not run after {} ms: {}", after(line), code(line))
    } else if let Some(line) = last("E203") {
        format!(
            "It ended without an answer after {} ms and may have run: {}",
            after(line),
            code(line)
        )
    } else if let Some(line) = last("E204") {
        let (status, server) = (line.get("status").unwrap_or("?"), line.get("server").unwrap_or("?"));
        format!("Server {server} answered it with {status} after {} ms.", after(line))
    } else if lines.is_empty() && dropped > 0 {
        format!("No line tells of it; {dropped} lines were left out of these logs.")
    } else if lines.is_empty() {
        "No line tells of it in these logs.".to_owned()
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
            .map(|(key, value)| format!("{key}={}", cell(value)))
            .collect();
        let cells = ["at", "log", "event", "title"].map(|name| cell(&line[name]));
        table.row(cells.into_iter().chain([pairs.join(" ")]).collect());
    }
    format!("{}\n{}", table.render(), cell(&value["outcome"]))
}

#[cfg(test)]
#[path = "../../tests/unit/explain.rs"]
mod tests;
