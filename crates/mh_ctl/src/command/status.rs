use mh_node::Exit;

use crate::output::{Table, cell_text, print_value, to_yaml};
use crate::{Client, CtlError, OutputFormat};

pub(crate) async fn status(client: &Client, format: OutputFormat) -> Result<Exit, CtlError> {
    let value = client.get("/v1/status").await?;
    print_value(format, &value, |value| {
        let mut table = Table::new(&["VM", "DOMAIN", "REGION", "LISTED", "REVISION", "LEAVING", "HEARD"]);
        let vm_cells = [&value["vm"], &value["domain"], &value["region"]].map(cell_text);
        let state_cells = [
            "(asked)".to_owned(),
            cell_text(&value["revision"]),
            cell_text(&value["leaving"]),
            "now".to_owned(),
        ];
        table.push_row(vm_cells.into_iter().chain(state_cells).collect());
        for peer in value["peers"].as_array().into_iter().flatten() {
            let cells = ["vm", "domain", "region", "listed", "revision", "leaving"].map(|name| cell_text(&peer[name]));
            let heard = peer["heard_ms_ago"]
                .as_u64()
                .map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
            table.push_row(cells.into_iter().chain([heard]).collect());
        }
        table.render()
    });
    Ok(Exit::Done)
}

pub(crate) async fn dump(client: &Client, format: OutputFormat) -> Result<Exit, CtlError> {
    let value = client.get("/v1/dump").await?;
    print_value(format, &value, to_yaml);
    Ok(Exit::Done)
}
