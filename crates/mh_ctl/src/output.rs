use serde_json::Value;

use crate::OutputFormat;

/// Text table with a heading for each column.
#[derive(Debug)]
pub(crate) struct Table {
    headings: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &'static [&'static str]) -> Self {
        Self {
            headings,
            rows: Vec::new(),
        }
    }

    pub(crate) fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders the table with columns aligned to their widest cell.
    pub(crate) fn render(&self) -> String {
        let heading_row: Vec<String> = self.headings.iter().map(ToString::to_string).collect();
        let lines: Vec<&Vec<String>> = std::iter::once(&heading_row).chain(&self.rows).collect();
        let column_width = |col: usize| {
            lines
                .iter()
                .filter_map(|cells| cells.get(col))
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.headings.len()).map(column_width).collect();
        let format_line = |cells: &Vec<String>| {
            let padded: Vec<String> = cells
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            padded.join("  ").trim_end().to_owned()
        };
        lines.into_iter().map(format_line).collect::<Vec<_>>().join("\n")
    }
}

/// Prints `value` in the given format; `render_table` renders it as a table.
pub(crate) fn print_value(format: OutputFormat, value: &Value, render_table: impl FnOnce(&Value) -> String) {
    println!("{}", render(format, value, render_table));
}

fn render(format: OutputFormat, value: &Value, render_table: impl FnOnce(&Value) -> String) -> String {
    match format {
        OutputFormat::Table => render_table(value),
        OutputFormat::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        OutputFormat::Yaml => to_yaml(value),
    }
}

/// Converts a JSON value to YAML.
pub(crate) fn to_yaml(value: &Value) -> String {
    serde_saphyr::to_string(value).unwrap_or_default().trim_end().to_owned()
}

/// Converts a JSON value to the text of a table cell; null becomes `-`.
pub(crate) fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
