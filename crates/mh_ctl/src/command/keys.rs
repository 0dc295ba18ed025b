use mh_config::CallerKey;
use mh_node::Exit;
use serde_json::json;

use super::print_change;
use crate::output::print_value;
use crate::{Client, CtlError, KeyCommand, OutputFormat};

pub(crate) async fn run(client: &Client, format: OutputFormat, command: KeyCommand) -> Result<Exit, CtlError> {
    match command {
        KeyCommand::Grant { team, organisation, id } => {
            let key = CallerKey::new(&team, &id, &rand::random());
            let doc = json!({"organisation": organisation, "hash": key.hash()});
            let reply = client.set(&format!("/teams/{team}/keys/{id}"), &doc, Some(0)).await?;
            let mut value = reply.clone();
            value["key"] = key.reveal().into();
            let accepted = reply["accepted"].as_bool().unwrap_or_default();
            print_value(format, &value, |_| key.reveal().to_owned());
            Ok(if accepted { Exit::Done } else { Exit::NotInForce })
        }
        KeyCommand::Withdraw { team, id } => {
            let reply = client.remove(&format!("/teams/{team}/keys/{id}"), None).await?;
            Ok(print_change(format, &reply))
        }
    }
}
