//! The `gateway` and `check-gateway` commands.

use std::path::Path;

use mangohook_platform::Deployment;
use mh_gateway::{GatewayNode, StopOutcome, run_until_signal};
use mh_log::{LineLimit, flush_logging, init_logging};
use mh_node::Exit;
use mh_types::{Event, emit};

/// Reads and checks the settings file.
pub(crate) fn load(path: &Path) -> Result<Deployment, Exit> {
    Deployment::load(path).map_err(|problems| {
        eprintln!("{problems}");
        Exit::Usage
    })
}

/// Serves until SIGTERM.
pub(crate) fn run(path: &Path, deployment: Deployment) -> Exit {
    if let Err(e) = init_logging(deployment.settings.log, LineLimit::default(), std::io::stdout()) {
        eprintln!("{e}");
        return Exit::StartFailed;
    }
    let mut builder = match deployment.settings.threads {
        // A current-thread runtime avoids wake-ups between threads.
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        threads => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.worker_threads(threads);
            builder
        }
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{e}");
            return Exit::StartFailed;
        }
    };
    let exit = runtime.block_on(serve(path, deployment));
    flush_logging();
    exit
}

async fn serve(path: &Path, deployment: Deployment) -> Exit {
    let Deployment {
        settings,
        headers,
        interface,
        source,
        reporter,
    } = deployment;
    let (node, server) = match GatewayNode::start(settings, headers, interface, source).await {
        Ok(started) => started,
        Err((code, detail)) => {
            eprintln!("{code} {detail}");
            return Exit::StartFailed;
        }
    };
    if let Some(reporter) = reporter {
        node.report_usage(reporter);
    }
    let reload = |node: &GatewayNode| match Deployment::load(path) {
        Ok(deployment) => node.reload(&deployment.settings),
        // Keeps the settings that are in force.
        Err(problems) => emit!(Event::SettingsRejected, error = problems),
    };
    match run_until_signal(node, server, path, reload).await {
        StopOutcome::Clean => Exit::Done,
        StopOutcome::Forced => Exit::ShutdownIncomplete,
        StopOutcome::NoSignals => Exit::StartFailed,
    }
}
