use clap::CommandFactory;
use mh_node::Exit;

use crate::command::{drains, explain, gateway, keys, settings, shifts, status};
use crate::{Cli, Client, Command, CtlError};

/// Runs one command and returns the exit code of the process.
///
/// # Errors
///
/// [`CtlError`] with the exit code of the process.
pub async fn run(cli: Cli) -> Result<Exit, CtlError> {
    let client = Client::new(cli.admin, cli.operator);
    let format = cli.output;
    match cli.command {
        Command::Get { path } => settings::get(&client, format, &path).await,
        Command::Set {
            path,
            file,
            if_revision,
        } => settings::set(&client, format, &path, &file, if_revision).await,
        Command::Remove { path, if_revision } => settings::remove(&client, format, &path, if_revision).await,
        Command::List { prefix } => settings::list(&client, format, &prefix).await,
        Command::Diff { path, file } => settings::diff(&client, &path, &file).await,
        Command::History { path, limit } => settings::history(&client, format, &path, limit).await,
        Command::Keys(command) => keys::run(&client, format, command).await,
        Command::Shifts(command) => shifts::run(&client, format, command).await,
        Command::Drains(command) => drains::run(&client, format, command).await,
        Command::Status => status::status(&client, format).await,
        Command::Dump => status::dump(&client, format).await,
        Command::Explain { request, logs } => explain::explain(format, &request, &logs),
        Command::Gateway { servers } => gateway::gateway(&client, format, servers).await,
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "mangohookctl", &mut std::io::stdout());
            Ok(Exit::Done)
        }
    }
}
