use mh_node::Exit;
use serde_json::Value;

use crate::output::{Table, cell_text, print_value};
use crate::{Client, CtlError, OutputFormat};

/// Path of the state on the health port of a gateway VM.
const STATE_PATH: &str = "/state";

/// Prints the state of a gateway VM and the age of its feeds.
pub(crate) async fn gateway(client: &Client, format: OutputFormat, with_servers: bool) -> Result<Exit, CtlError> {
    let value = client.get(STATE_PATH).await?;
    print_value(format, &value, |value| render(value, with_servers));
    Ok(Exit::Done)
}

fn render(value: &Value, with_servers: bool) -> String {
    let mut vm_table = Table::new(&[
        "VM",
        "READY",
        "REVISION",
        "READS",
        "VMS USABLE",
        "VMS LISTED",
        "HELD BYTES",
    ]);
    let fields = [
        "vm",
        "ready",
        "revision",
        "reads",
        "usable_vms",
        "listed_vms",
        "held_bytes",
    ];
    vm_table.push_row(fields.map(|name| cell_text(&value[name])).into());
    let sections = [
        vm_table.render(),
        render_section(
            value,
            "feeds",
            &["FEED", "HELD", "CHANGED", "AGE MS", "FAILING"],
            &["feed", "held", "changed", "age_ms", "failing"],
        ),
        render_section(
            value,
            "services",
            &["SERVICE", "SERVERS", "LEAVING", "COLD", "CLOSED", "SLOTS"],
            &["service", "servers", "leaving", "cold", "closed", "slots"],
        ),
        render_section(
            value,
            "shifts",
            &["SHIFT OF", "TO", "PHASE"],
            &["service", "to", "phase"],
        ),
        render_section(
            value,
            "quotas",
            &["ORGANISATION", "LEFT HERE"],
            &["organisation", "left"],
        ),
    ];
    let mut out: Vec<String> = sections.into_iter().filter(|text| !text.is_empty()).collect();
    if with_servers {
        let objects = render_section(
            value,
            "objects",
            &["OBJECT", "SERVICE", "CHOICES"],
            &["object", "service", "servers"],
        );
        out.extend(Some(objects).filter(|text| !text.is_empty()));
        out.push(render_section(
            value,
            "servers",
            &[
                "SERVER",
                "SERVICE",
                "VERSION",
                "LEAVING",
                "COLD",
                "CLOSED",
                "HERE",
                "ELSEWHERE",
                "ERRORS",
                "SLOWNESS",
            ],
            &[
                "name",
                "service",
                "version",
                "leaving",
                "cold",
                "closed",
                "in_flight",
                "others",
                "error_rate",
                "slowness",
            ],
        ));
    }
    out.join("\n\n")
}

/// Renders the list under `key` as a table; an empty string if the list is empty or missing.
fn render_section(value: &Value, key: &str, headings: &'static [&'static str], fields: &[&str]) -> String {
    let rows = value[key].as_array().map_or(&[][..], Vec::as_slice);
    if rows.is_empty() {
        return String::new();
    }
    let mut table = Table::new(headings);
    for row in rows {
        table.push_row(fields.iter().map(|field| cell_text(&row[*field])).collect());
    }
    table.render()
}

#[cfg(test)]
#[path = "../../tests/unit/gateway.rs"]
mod tests;
