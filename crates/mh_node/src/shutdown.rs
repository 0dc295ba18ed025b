use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_edge::CallerPort;
use mh_types::{Event, emit};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{Exit, Node};

/// Serves until SIGTERM or SIGINT, then shuts down gracefully; a second signal ends the process immediately.
///
/// The VM first leaves the lookup answers. It goes on serving requests until the last answer that names it has expired,
/// and then waits for the running requests until the shutdown deadline.
pub async fn run_until_signal(node: Arc<Node>, caller_port: CallerPort) -> Exit {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return Exit::StartFailed;
    };
    either_signal(&mut term, &mut int).await;
    emit!(Event::Stopping, vm = node.cfg.vm);
    let is_complete = tokio::select! {
        is_complete = shut_down(&node, caller_port) => is_complete,
        () = either_signal(&mut term, &mut int) => false,
    };
    let running = node.edge.counters().running.load(Ordering::Relaxed);
    if is_complete {
        emit!(Event::Stopped);
        Exit::Done
    } else {
        emit!(Event::StoppedHard, running = running);
        Exit::ShutdownIncomplete
    }
}

async fn either_signal(first: &mut Signal, second: &mut Signal) {
    tokio::select! {
        _ = first.recv() => {}
        _ = second.recv() => {}
    }
}

async fn shut_down(node: &Node, caller_port: CallerPort) -> bool {
    node.leaving.store(true, Ordering::Release);
    node.publish();
    node.heartbeat_now.notify_one();
    tokio::time::sleep(Duration::from_secs(node.cfg.lookup_lifetime_s.value)).await;
    caller_port
        .shutdown(Duration::from_secs(node.cfg.shutdown.deadline_s.value))
        .await
}
