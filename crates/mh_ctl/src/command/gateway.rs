use mh_node::Exit;
use serde_json::Value;

use crate::output::{Table, cell, print};
use crate::{Client, CtlError, OutputFormat};

/// Path of the state, on a gateway's port for checks.
const STATE_PATH: &str = "/state";

/// Shows what a gateway VM believes, and how old it is.
pub(crate) async fn gateway(client: &Client, format: OutputFormat, servers: bool) -> Result<Exit, CtlError> {
    let value = client.get(STATE_PATH).await?;
    print(format, &value, |value| render(value, servers));
    Ok(Exit::Done)
}

fn render(value: &Value, servers: bool) -> String {
    let mut vm = Table::new(&[
        "VM",
        "READY",
        "REVISION",
        "READS",
        "VMS USABLE",
        "VMS LISTED",
        "HELD BYTES",
    ]);
    let names = [
        "vm",
        "ready",
        "revision",
        "reads",
        "usable_vms",
        "listed_vms",
        "held_bytes",
    ];
    vm.row(names.map(|name| cell(&value[name])).into());
    let sections = [
        vm.render(),
        section(
            value,
            "feeds",
            &["FEED", "HELD", "CHANGED", "AGE MS", "FAILING"],
            &["feed", "held", "changed", "age_ms", "failing"],
        ),
        section(
            value,
            "services",
            &["SERVICE", "SERVERS", "LEAVING", "COLD", "CLOSED", "SLOTS"],
            &["service", "servers", "leaving", "cold", "closed", "slots"],
        ),
        section(
            value,
            "shifts",
            &["SHIFT OF", "TO", "PHASE"],
            &["service", "to", "phase"],
        ),
        section(
            value,
            "quotas",
            &["ORGANISATION", "LEFT HERE"],
            &["organisation", "left"],
        ),
    ];
    let mut out: Vec<String> = sections.into_iter().filter(|text| !text.is_empty()).collect();
    if servers {
        out.push(section(
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

fn section(value: &Value, list: &str, head: &'static [&'static str], fields: &[&str]) -> String {
    let rows = value[list].as_array().map_or(&[][..], Vec::as_slice);
    if rows.is_empty() {
        return String::new();
    }
    let mut table = Table::new(head);
    for row in rows {
        table.row(fields.iter().map(|field| cell(&row[*field])).collect());
    }
    table.render()
}

#[cfg(test)]
#[path = "../../tests/unit/gateway.rs"]
mod tests;
