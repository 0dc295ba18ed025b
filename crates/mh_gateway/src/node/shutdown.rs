use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use mh_edge::CallerPort;
use mh_types::{Event, emit};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use super::GatewayNode;
use crate::control::withdraw;

/// Interval of the checks whether every request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the checks whether the settings file has changed.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Outcome of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request was answered, and every tunnel of another VM was closed.
    Clean,
    /// Requests were still running, or tunnels of other VMs were open.
    Forced,
    /// Signal handlers could not be installed.
    NoSignals,
}

/// Serves until SIGTERM and then shuts down: callers are redirected to other VMs, requests are served until the look-up
/// answers that name this VM have expired, and the process exits when the last one is answered and no tunnel of another VM is open.
/// `reload` is called on SIGHUP and when the settings file changes.
pub async fn run_until_signal(
    node: Arc<GatewayNode>,
    caller_port: CallerPort,
    settings: &Path,
    mut reload: impl FnMut(&GatewayNode),
) -> StopOutcome {
    let (Ok(mut term), Ok(mut hup)) = (signal(SignalKind::terminate()), signal(SignalKind::hangup())) else {
        return StopOutcome::NoSignals;
    };
    let mut settings_checks = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
    let mut current = file_version(settings);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {
                current = file_version(settings);
                reload(&node);
            }
            _ = settings_checks.tick() => {
                let found = file_version(settings);
                // A file that is missing for a moment is being replaced.
                if found.is_some() && found != current {
                    current = found;
                    reload(&node);
                }
            }
        }
    }
    emit!(Event::Stopping, vm = node.cfg.vm);
    stop(&node, caller_port).await
}

/// Returns the modification time and the size of a file.
fn file_version(path: &Path) -> Option<(SystemTime, u64)> {
    let found = std::fs::metadata(path).ok()?;
    Some((found.modified().ok()?, found.len()))
}

async fn stop(node: &Arc<GatewayNode>, caller_port: CallerPort) -> StopOutcome {
    let started = Instant::now();
    let bounds = node.gateway.bounds();
    let end = started + bounds.exit_after_stop();
    node.gateway.leave(end);
    let out = node.control.lock().membership.leave(started);
    node.send_membership(out);
    let withdrawing = Arc::clone(node);
    tokio::spawn(async move { withdraw(&withdrawing).await });
    tokio::time::sleep_until(started + bounds.serving_after_stop()).await;
    node.gateway.close();
    let running = || node.gateway.counters().running.load(Ordering::Relaxed);
    let tunnels = || node.open_tunnels.load(Ordering::Relaxed);
    // A tunnel may carry an answer that its server has not finished. Other VMs close those that carry none.
    while (running() > 0 || tunnels() > 0) && Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let is_clean = caller_port
        .shutdown(end.saturating_duration_since(Instant::now()))
        .await;
    node.hand_over_usage().await;
    if is_clean && running() == 0 && tunnels() == 0 {
        emit!(Event::Stopped, after_ms = started.elapsed().as_millis());
        StopOutcome::Clean
    } else {
        emit!(Event::StoppedHard, running = running(), tunnels = tunnels());
        StopOutcome::Forced
    }
}
