use mh_node::Exit;
use serde_json::json;

use super::print_change;
use crate::output::{Table, cell_text, print_value};
use crate::{Client, CtlError, OutputFormat, ShiftCommand};

pub(crate) async fn run(client: &Client, format: OutputFormat, command: ShiftCommand) -> Result<Exit, CtlError> {
    match command {
        ShiftCommand::Start {
            team,
            name,
            service,
            from,
            to,
            cap_percent,
            deadline,
        } => {
            let doc = json!({
                "service": service, "from": from, "to": to, "cap_percent": cap_percent,
                "deadline": deadline.to_string(),
            });
            let reply = client
                .set(&format!("/teams/{team}/shifts/{name}"), &doc, Some(0))
                .await?;
            Ok(print_change(format, &reply))
        }
        ShiftCommand::Watch { team, name } => {
            let status = client.get("/v1/status").await?;
            let full_name = format!("{team}/{name}");
            let found = status["shifts"]
                .as_array()
                .into_iter()
                .flatten()
                .find(|shift| shift["name"] == full_name.as_str());
            let found = found.ok_or_else(|| CtlError::new(Exit::Refused, format!("there is no shift {full_name}")))?;
            print_value(format, found, |shift| {
                let mut table = Table::new(&["SHIFT", "STATE", "SHARE %", "CAP %", "DEADLINE", "STOPPED"]);
                let cells = ["name", "state", "share_percent", "cap_percent", "deadline", "stopped"];
                table.push_row(cells.map(|name| cell_text(&shift[name])).to_vec());
                table.render()
            });
            Ok(Exit::Done)
        }
        ShiftCommand::TakeBack { team, name } => {
            let path = format!("/teams/{team}/shifts/{name}");
            let current = client.get(&format!("/v1/settings{path}")).await?;
            let mut doc = current["doc"].clone();
            doc["taken_back"] = true.into();
            let reply = client.set(&path, &doc, current["revision"].as_u64()).await?;
            Ok(print_change(format, &reply))
        }
    }
}
