//! Command-line client for operators.

use std::process::ExitCode;

use clap::Parser;
use mh_ctl::{Cli, run};
use mh_node::Exit;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let exit = run(Cli::parse()).await.unwrap_or_else(|e| {
        eprintln!("{e}");
        e.exit
    });
    Exit::into(exit)
}
