//! VM process that serves callers, peers and operators as configured by a settings file.

mod gateway;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use mh_log::{LineLimit, flush_logging, init_logging};
use mh_node::{Exit, Node, VmSettings, run_until_signal};

/// Steers callers' requests to backend servers.
#[derive(Debug, Parser)]
#[command(name = "mangohook", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry VM, which serves routes from settings documents, until SIGTERM or SIGINT
    Run {
        /// YAML file with the VM's settings
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs a gateway VM, which serves routes by host name from a register of backend servers, until SIGTERM
    Gateway {
        /// YAML file with the VM's settings
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks the settings file of a gateway VM
    CheckGateway {
        /// YAML file with the VM's settings
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks the settings file of an entry VM
    Check {
        /// YAML file with the VM's settings
        #[arg(long)]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    let exit = match Cli::parse().command {
        Command::Check { settings } => load(&settings).map_or_else(|exit| exit, |_| Exit::Done),
        Command::Gateway { settings } => {
            gateway::load(&settings).map_or_else(|exit| exit, |deployment| gateway::run(&settings, deployment))
        }
        Command::CheckGateway { settings } => gateway::load(&settings).map_or_else(|exit| exit, |_| Exit::Done),
        Command::Run { settings } => load(&settings).map_or_else(|exit| exit, run),
    };
    exit.into()
}

fn load(path: &std::path::Path) -> Result<VmSettings, Exit> {
    VmSettings::load(path).map_err(|problems| {
        eprintln!("{problems}");
        Exit::Usage
    })
}

fn run(settings: VmSettings) -> Exit {
    if let Err(e) = init_logging(settings.log, LineLimit::NONE, std::io::stderr()) {
        eprintln!("{e}");
        return Exit::StartFailed;
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.threads.value > 0 {
        builder.worker_threads(settings.threads.value);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{e}");
            return Exit::StartFailed;
        }
    };
    let exit = runtime.block_on(async {
        match Node::start(settings).await {
            Ok((node, server)) => run_until_signal(node, server).await,
            Err((code, detail)) => {
                eprintln!("{code} {detail}");
                Exit::StartFailed
            }
        }
    });
    flush_logging();
    exit
}
