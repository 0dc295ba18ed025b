use std::io::Read;
use std::path::Path;

use mh_node::Exit;
use serde_json::Value;

use super::print_change;
use crate::output::{Table, cell_text, print_value, to_yaml};
use crate::{Client, CtlError, OutputFormat};

pub(crate) async fn get(client: &Client, format: OutputFormat, path: &str) -> Result<Exit, CtlError> {
    let value = client.get(&format!("/v1/settings{path}")).await?;
    print_value(format, &value, |value| {
        format!(
            "# {path}, revision {}\n{}",
            cell_text(&value["revision"]),
            to_yaml(&value["doc"])
        )
    });
    Ok(Exit::Done)
}

pub(crate) async fn set(
    client: &Client,
    format: OutputFormat,
    path: &str,
    file: &Path,
    if_revision: Option<u64>,
) -> Result<Exit, CtlError> {
    let doc = read_yaml(file)?;
    let reply = client.set(path, &doc, if_revision).await?;
    Ok(print_change(format, &reply))
}

pub(crate) async fn remove(
    client: &Client,
    format: OutputFormat,
    path: &str,
    if_revision: Option<u64>,
) -> Result<Exit, CtlError> {
    let reply = client.remove(path, if_revision).await?;
    Ok(print_change(format, &reply))
}

pub(crate) async fn list(client: &Client, format: OutputFormat, prefix: &str) -> Result<Exit, CtlError> {
    let encoded = percent_encoding::utf8_percent_encode(prefix, percent_encoding::NON_ALPHANUMERIC);
    let value = client.get(&format!("/v1/settings?prefix={encoded}")).await?;
    print_value(format, &value, |value| {
        let mut table = Table::new(&["PATH", "REVISION", "CREATED"]);
        for doc in value["documents"].as_array().into_iter().flatten() {
            table.push_row(vec![
                cell_text(&doc["path"]),
                cell_text(&doc["revision"]),
                cell_text(&doc["created"]),
            ]);
        }
        table.render()
    });
    Ok(Exit::Done)
}

pub(crate) async fn diff(client: &Client, path: &str, file: &Path) -> Result<Exit, CtlError> {
    let new = to_yaml(&read_yaml(file)?);
    let old = match client.get(&format!("/v1/settings{path}")).await {
        Ok(value) => to_yaml(&value["doc"]),
        Err(e) if e.message.starts_with("MH3009") => String::new(),
        Err(e) => return Err(e),
    };
    for change in similar::TextDiff::from_lines(&format!("{old}\n"), &format!("{new}\n")).iter_all_changes() {
        print!("{}{change}", change.tag());
    }
    Ok(Exit::Done)
}

pub(crate) async fn history(client: &Client, format: OutputFormat, path: &str, limit: u32) -> Result<Exit, CtlError> {
    let encoded = percent_encoding::utf8_percent_encode(path, percent_encoding::NON_ALPHANUMERIC);
    let value = client.get(&format!("/v1/history?path={encoded}&limit={limit}")).await?;
    print_value(format, &value, |value| {
        let mut table = Table::new(&["REVISION", "AT", "BY", "PATH", "CHANGE"]);
        for row in value.as_array().into_iter().flatten() {
            let change = if row["doc"].is_null() { "removed" } else { "set" };
            let cells = [&row["revision"], &row["at"], &row["by"], &row["path"]].map(cell_text);
            table.push_row(cells.into_iter().chain([change.to_owned()]).collect());
        }
        table.render()
    });
    Ok(Exit::Done)
}

/// Reads a YAML file, or standard input if `file` is `-`.
fn read_yaml(file: &Path) -> Result<Value, CtlError> {
    let usage_error = |e: String| CtlError::new(Exit::Usage, format!("{}: {e}", file.display()));
    let text = if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    serde_saphyr::from_str(&text.map_err(|e| usage_error(e.to_string()))?).map_err(|e| usage_error(e.to_string()))
}
