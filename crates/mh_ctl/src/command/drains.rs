use mh_node::Exit;
use serde_json::json;

use super::{print_change, settings};
use crate::{Client, CtlError, DrainCommand, OutputFormat};

pub(crate) async fn run(client: &Client, format: OutputFormat, command: DrainCommand) -> Result<Exit, CtlError> {
    match command {
        DrainCommand::Start {
            team,
            name,
            service,
            server,
            domain,
        } => {
            let doc = json!({"service": service, "server": server, "domain": domain});
            let reply = client
                .set(&format!("/teams/{team}/drains/{name}"), &doc, Some(0))
                .await?;
            Ok(print_change(format, &reply))
        }
        DrainCommand::Watch { team, name } => {
            settings::get(client, format, &format!("/teams/{team}/drains/{name}")).await
        }
        DrainCommand::End { team, name } => {
            let reply = client.remove(&format!("/teams/{team}/drains/{name}"), None).await?;
            Ok(print_change(format, &reply))
        }
    }
}
