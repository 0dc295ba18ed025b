use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};
use tokio::time::Instant;

use super::announce;
use super::reader_report::FeedVersions;
use crate::node::{GatewayNode, lock};
use crate::{ChangesRead, Feed};

/// Longest wait of one call for changes. Longer waits mean fewer calls; keep-alive on the connection detects a dead
/// peer.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Wait after the first failed read; it doubles up to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failed read, short enough to notice a recovered store well within the bounds on settings.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Factor on the maximum backoff where another read is likely to notice the store's recovery first: this VM's read of
/// the settings, or a read by a VM earlier in the reader order.
const SECONDARY_BACKOFF_FACTOR: u32 = 3;

/// Wait of a VM in a starting fleet between registering itself and reading the VM list. The list is then nearly
/// complete, and most VMs need not read anything else from the store.
const FIRST_START_DELAY: Duration = Duration::from_millis(500);

/// Returns the wait between an answer with changes and the next read, during which further changes accumulate. Every
/// change wakes every reader, so without it a starting fleet would read the store once for each server that registers.
fn batching_delay(feed: Feed) -> Duration {
    let ms = match feed {
        // Well within the bounds on settings and on the rollback of a bad version.
        Feed::Settings | Feed::Shifts => 100,
        // A server that leaves keeps serving for seconds.
        Feed::Servers => 300,
        // The membership protocol tracks which VMs are alive; the list only names them.
        Feed::Vms => 1500,
    };
    Duration::from_millis(ms)
}

/// Shortest outage after which entries of live servers may have expired.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(2);

/// Reads `feed` and applies its changes until the process ends. A VM that is not a reader for its region reads only
/// once, and again after its state was invalidated.
pub(crate) async fn follow_feed(node: Arc<GatewayNode>, feed: Feed) {
    let mut epoch = node.epoch();
    let mut backoff = MIN_BACKOFF;
    let mut lost_at: Option<Instant> = None;
    let mut last_failed_read_at = Instant::now();
    let mut is_first_start = node.cfg.first_start;
    loop {
        if node.epoch() != epoch {
            epoch = node.epoch();
            node.relay.invalidate(feed);
        }
        let restores = node.relay.restores();
        // The other VMs of a region fetch what the readers have read anew.
        if node.relay.is_reader() {
            node.relay.invalidate_outdated(feed);
        }
        let mut held = node.relay.versions(feed);
        if held.is_none() && feed == Feed::Vms && is_first_start {
            is_first_start = false;
            announce(Arc::clone(&node)).await;
            tokio::time::sleep(FIRST_START_DELAY).await;
        }
        if held.is_none() && feed != Feed::Vms {
            let is_loaded = tokio::select! {
                is_loaded = node.load_from_peers(feed) => is_loaded,
                () = node.epoch_changed(epoch) => continue,
            };
            if is_loaded {
                continue;
            }
            // A request from another VM may have caused a read of the feed meanwhile.
            held = node.relay.versions(feed);
        }
        if held.is_some() && !node.relay.is_reader() {
            // The readers of the region keep this VM up to date.
            if let Some(at) = lost_at.take() {
                on_recovered(&node, feed, last_failed_read_at, at);
            }
            backoff = MIN_BACKOFF;
            tokio::select! {
                () = node.relay.became_reader() => {}
                () = node.epoch_changed(epoch) => {}
            }
            continue;
        }
        let started = Instant::now();
        // After a suspension the read may wait on a dead connection; after a restore it may wait for changes that the
        // store has lost.
        let result = tokio::select! {
            result = read_feed(&node, feed, held) => result,
            () = node.epoch_changed(epoch) => continue,
            () = node.relay.store_restored(restores) => continue,
        };
        let now = Instant::now();
        match result {
            Ok(ChangesRead::Changes(batch)) => {
                if let Some(at) = lost_at.take() {
                    on_recovered(&node, feed, last_failed_read_at, at);
                }
                backoff = MIN_BACKOFF;
                node.on_read(feed, true, now);
                if held.is_none() && feed == Feed::Vms {
                    node.apply_vm_list(&batch, now);
                } else {
                    node.apply_batch(feed, &batch, held.is_none(), now);
                }
                if held.is_none() || !batch.updates.is_empty() {
                    tokio::time::sleep(batching_delay(feed)).await;
                }
            }
            Ok(ChangesRead::HistoryLost { era }) => {
                let version = held.unwrap_or_default().held;
                emit!(Event::FeedReset, feed = feed, version = version, era = era);
                node.relay.note_era(era);
                if node.relay.versions(feed) == held {
                    node.relay.invalidate(feed);
                }
            }
            Err(e) => {
                last_failed_read_at = started;
                if lost_at.is_none() {
                    lock(&node.deployment).on_feed_lost(feed);
                    emit!(
                        Event::FeedLost,
                        feed = feed,
                        version = held.unwrap_or_default().held,
                        waited_ms = (now - started).as_millis(),
                        error = e.current_context()
                    );
                    lost_at = Some(now);
                }
                node.on_read(feed, false, now);
                // Random jitter, so that the VMs do not all call a recovering store at once.
                let pause = backoff.mul_f64(0.5 + rand::random::<f64>());
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = node.relay.store_recovered() => {}
                    () = node.epoch_changed(epoch) => {}
                }
                backoff = (backoff * 2).min(max_backoff(&node, feed));
            }
        }
    }
}

/// Reads the changes of `feed` after the version held, or the full state if none is held.
async fn read_feed(node: &GatewayNode, feed: Feed, held: Option<FeedVersions>) -> mh_platform::Result<ChangesRead> {
    match held {
        Some(versions) => {
            let wait = node.relay.poll_wait(feed, LONG_POLL_WAIT);
            node.source.changes(feed, versions.held, wait).await
        }
        None => node.source.read(feed).await.map(ChangesRead::Changes),
    }
}

/// Records that `feed` can be read again after an outage that began at `lost_at`.
fn on_recovered(node: &GatewayNode, feed: Feed, last_failed_read_at: Instant, lost_at: Instant) {
    let entries_may_have_expired = lost_at.elapsed() > MIN_EXPIRY_OUTAGE;
    emit!(Event::FeedBack, feed = feed, after_ms = lost_at.elapsed().as_millis());
    lock(&node.deployment).on_feed_recovered(feed, last_failed_read_at, entries_may_have_expired);
    if feed == Feed::Servers && entries_may_have_expired {
        node.relay.on_registry_recovered(last_failed_read_at);
    }
}

/// Returns the maximum backoff. Failed calls cost the store as much as others, so only few VMs and feeds retry often.
fn max_backoff(node: &GatewayNode, feed: Feed) -> Duration {
    let is_first = feed == Feed::Settings && node.relay.is_preferred_reader();
    MAX_BACKOFF * if is_first { 1 } else { SECONDARY_BACKOFF_FACTOR }
}
