use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Operates a mangohook system: settings, keys, shifts, drains and status.
#[derive(Clone, Debug, Parser)]
#[command(name = "mangohookctl", version)]
pub struct Cli {
    /// Admin addresses of VMs; the first that accepts a connection is used
    #[arg(long, env = "MANGOHOOK_ADMIN", value_delimiter = ',', global = true)]
    pub admin: Vec<SocketAddr>,
    /// Output format
    #[arg(long, value_enum, default_value_t, global = true)]
    pub output: OutputFormat,
    /// Operator name recorded in the history of changes
    #[arg(long, env = "USER", default_value = "", hide_env_values = true, global = true)]
    pub operator: String,
    /// Command to run
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Tables for reading on a terminal.
    #[default]
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

/// Command to run.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Prints the document at a path
    Get {
        /// Settings path
        path: String,
    },
    /// Sets the document at a path from a YAML file
    Set {
        /// Settings path
        path: String,
        /// YAML file, or - for standard input
        #[arg(short, long)]
        file: PathBuf,
        /// Refuses the change unless the document has this revision; 0 if it must not exist
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Removes the document at a path
    Remove {
        /// Settings path
        path: String,
        /// Refuses the change unless the document has this revision
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Lists the documents below a path
    List {
        /// Prefix of the settings paths
        #[arg(default_value = "/")]
        prefix: String,
    },
    /// Shows how a YAML file differs from the document at a path
    Diff {
        /// Settings path
        path: String,
        /// YAML file, or - for standard input
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Shows the changes of a path, newest first
    History {
        /// Settings path; all paths if omitted
        #[arg(default_value = "")]
        path: String,
        /// Maximum number of entries
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Grants and withdraws caller keys
    #[command(subcommand)]
    Keys(KeyCommand),
    /// Starts, watches and takes back version shifts
    #[command(subcommand)]
    Shifts(ShiftCommand),
    /// Starts, watches and ends drains of backend servers
    #[command(subcommand)]
    Drains(DrainCommand),
    /// Shows the entry VMs and the settings revision in force on each
    Status,
    /// Prints the internal state of one entry VM's process
    Dump,
    /// Shows the log lines and the outcome of a request, from the logs of gateway VMs
    Explain {
        /// Id of the request
        request: String,
        /// Log files of the VMs
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Shows the state of a gateway VM; `--admin` takes the address of its health port
    Gateway {
        /// Also lists every backend server, and the servers of recently requested objects
        #[arg(long)]
        servers: bool,
    },
    /// Prints a completion script for a shell
    Completions {
        /// Shell
        shell: clap_complete::Shell,
    },
}

/// Grants and withdraws caller keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Creates a key for an organisation and prints it; it cannot be shown again
    Grant {
        /// Team
        team: String,
        /// Organisation within the team
        organisation: String,
        /// Id of the key within the team
        id: String,
    },
    /// Withdraws a key
    Withdraw {
        /// Team
        team: String,
        /// Id of the key within the team
        id: String,
    },
}

/// Starts, watches and takes back version shifts.
#[derive(Clone, Debug, Subcommand)]
pub enum ShiftCommand {
    /// Starts a shift
    Start {
        /// Team
        team: String,
        /// Name of the shift within the team
        name: String,
        /// Service within the team
        #[arg(long)]
        service: String,
        /// Version that serves now
        #[arg(long)]
        from: String,
        /// Version that takes over
        #[arg(long)]
        to: String,
        /// Maximum share of requests for the new version, in percent
        #[arg(long)]
        cap_percent: f64,
        /// Time by which the shift must be done or is taken back, in RFC 3339 format
        #[arg(long)]
        deadline: jiff::Timestamp,
    },
    /// Shows a shift
    Watch {
        /// Team
        team: String,
        /// Name of the shift
        name: String,
    },
    /// Takes a shift back to the old version
    TakeBack {
        /// Team
        team: String,
        /// Name of the shift
        name: String,
    },
}

/// Starts, watches and ends drains of backend servers.
#[derive(Clone, Debug, Subcommand)]
pub enum DrainCommand {
    /// Starts a drain of one server or one failure domain
    Start {
        /// Team
        team: String,
        /// Name of the drain within the team
        name: String,
        /// Service within the team
        #[arg(long)]
        service: String,
        /// Backend server
        #[arg(long, conflicts_with = "domain", required_unless_present = "domain")]
        server: Option<String>,
        /// Failure domain
        #[arg(long)]
        domain: Option<String>,
    },
    /// Shows a drain
    Watch {
        /// Team
        team: String,
        /// Name of the drain
        name: String,
    },
    /// Ends a drain, so that its servers get requests again
    End {
        /// Team
        team: String,
        /// Name of the drain
        name: String,
    },
}
