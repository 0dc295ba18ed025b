use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use mh_edge::Server;
use mh_types::{Event, emit};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use super::{GatewayNode, lock};
use crate::control::withdraw;

/// Part of the grace in which requests are still taken, so that callers that hold an old look-up's answer are served.
const SERVE_PART: f64 = 0.42;

/// Part of the grace after which the process ends, whatever still runs.
const END_PART: f64 = 0.93;

/// Time between two looks at whether every request has ended.
const POLL: Duration = Duration::from_millis(50);

/// Time between two looks at whether the settings file has changed.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// Every request was answered.
    Whole,
    /// Requests were still running.
    Cut,
    /// Signals cannot be received.
    NoSignals,
}

/// Serves until SIGTERM, then leaves: callers are sent elsewhere, requests go on for a part of the grace, and the
/// process ends when the last one has its answer. `reload` is called on SIGHUP and when the settings file changes.
pub async fn run_until_signal(
    node: Arc<GatewayNode>,
    server: Server,
    settings: &Path,
    mut reload: impl FnMut(&GatewayNode),
) -> Stopped {
    let (Ok(mut term), Ok(mut hup)) = (signal(SignalKind::terminate()), signal(SignalKind::hangup())) else {
        return Stopped::NoSignals;
    };
    let mut looks = tokio::time::interval(LOOK_EVERY);
    let mut seen = stamp(settings);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {
                seen = stamp(settings);
                reload(&node);
            }
            _ = looks.tick() => {
                let found = stamp(settings);
                // A file that is missing for a moment is being replaced.
                if found.is_some() && found != seen {
                    seen = found;
                    reload(&node);
                }
            }
        }
    }
    emit!(Event::Stopping, vm = node.cfg.vm);
    stop(&node, server).await
}

/// Time of the last change and size of a file.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let found = std::fs::metadata(path).ok()?;
    Some((found.modified().ok()?, found.len()))
}

async fn stop(node: &Arc<GatewayNode>, server: Server) -> Stopped {
    let started = Instant::now();
    let grace = node.gateway.bounds().shutdown_grace;
    node.gateway.leave();
    let out = lock(&node.members).leave(started);
    node.send(out);
    let leaving = Arc::clone(node);
    tokio::spawn(async move { withdraw(&leaving).await });
    tokio::time::sleep_until(started + grace.mul_f64(SERVE_PART)).await;
    node.gateway.close();
    let running = || node.gateway.counters().running.load(Ordering::Relaxed);
    let end = started + grace.mul_f64(END_PART);
    while running() > 0 && Instant::now() < end {
        tokio::time::sleep(POLL).await;
    }
    let whole = server.shutdown(end.saturating_duration_since(Instant::now())).await;
    if whole && running() == 0 {
        emit!(Event::Stopped, after_ms = started.elapsed().as_millis());
        Stopped::Whole
    } else {
        emit!(Event::StoppedHard, running = running());
        Stopped::Cut
    }
}
