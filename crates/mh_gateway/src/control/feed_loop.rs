use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};
use tokio::time::Instant;

use super::announce;
use crate::Feed;
use crate::node::{GatewayNode, lock};

/// Longest wait of one read for changes. A longer one saves calls; the keep-alive of its connection shows a silent one.
const WAIT: Duration = Duration::from_secs(20);

/// First wait after a failed read; it doubles up to a longest wait.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failed read, so that a store that returns is noticed well within the bounds on settings.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Factor on the longest wait where another read is likely to notice the return of the store first: one of the settings
/// by this VM, or one by a VM that is earlier in the order of readers.
const SECONDARY_FACTOR: u32 = 3;

/// Wait of a VM of a fleet that starts between listing itself and its read of the list, so that the list is nearly
/// whole and most VMs need not read the store for anything else.
const SETTLE: Duration = Duration::from_millis(500);

/// Wait between an answer with changes and the next read, in which further changes gather. Every change wakes every
/// reader, so without it a fleet that starts reads the store once for each server that registers.
fn gather(feed: Feed) -> Duration {
    let ms = match feed {
        // Well within the bounds on settings and on the taking back of a bad version.
        Feed::Settings | Feed::Shifts => 100,
        // A server that leaves serves for seconds.
        Feed::Servers => 300,
        // The membership protocol tells which VMs live; the list only names them.
        Feed::Vms => 1500,
    };
    Duration::from_millis(ms)
}

/// Outage after which entries of live servers may have lapsed.
const LAPSE: Duration = Duration::from_secs(2);

/// Reads `feed` for as long as the process runs and applies what it tells. A VM that does not read for its region reads
/// only once, and again when it has to.
pub(crate) async fn follow(node: Arc<GatewayNode>, feed: Feed) {
    let mut epoch = node.epoch();
    let mut backoff = MIN_BACKOFF;
    let mut lost_at: Option<Instant> = None;
    let mut failed_from = Instant::now();
    let mut is_fresh = node.cfg.first_start;
    loop {
        if node.epoch() != epoch {
            epoch = node.epoch();
            node.relay.forget(feed);
        }
        let mut held = node.relay.versions(feed);
        if held.is_none() && feed == Feed::Vms && is_fresh {
            is_fresh = false;
            announce(Arc::clone(&node)).await;
            tokio::time::sleep(SETTLE).await;
        }
        if held.is_none() && feed != Feed::Vms {
            let learnt = tokio::select! {
                learnt = node.learn(feed) => learnt,
                () = node.epoch_changed(epoch) => continue,
            };
            if learnt {
                continue;
            }
            // Another VM may have asked this one to read meanwhile.
            held = node.relay.versions(feed);
        }
        if held.is_some() && !node.relay.is_reader() {
            // The VMs that read vouch to this one.
            if let Some(at) = lost_at.take() {
                back(&node, feed, failed_from, at);
            }
            backoff = MIN_BACKOFF;
            tokio::select! {
                () = node.relay.reading() => {}
                () = node.epoch_changed(epoch) => {}
            }
            continue;
        }
        let started = Instant::now();
        let read = async {
            match held {
                Some(versions) => {
                    let wait = node.relay.wait(feed, WAIT);
                    node.source.changes(feed, versions.held, wait).await
                }
                None => node.source.read(feed).await.map(Some),
            }
        };
        // After a suspension the read may wait on a connection that is long gone.
        let result = tokio::select! {
            result = read => result,
            () = node.epoch_changed(epoch) => continue,
        };
        let now = Instant::now();
        match result {
            Ok(Some(batch)) => {
                if let Some(at) = lost_at.take() {
                    back(&node, feed, failed_from, at);
                }
                backoff = MIN_BACKOFF;
                node.on_read(feed, true, now);
                if held.is_none() && feed == Feed::Vms {
                    node.take_list(&batch, now);
                } else {
                    node.take_batch(feed, &batch, held.is_none(), now);
                }
                if held.is_none() || !batch.updates.is_empty() {
                    tokio::time::sleep(gather(feed)).await;
                }
            }
            Ok(None) => {
                let version = held.unwrap_or_default().held;
                emit!(Event::FeedReset, feed = feed, version = version);
                node.relay.forget(feed);
            }
            Err(e) => {
                failed_from = started;
                if lost_at.is_none() {
                    lock(&node.world).on_feed_lost(feed);
                    emit!(
                        Event::FeedLost,
                        feed = feed,
                        version = held.unwrap_or_default().held,
                        error = e.current_context()
                    );
                    lost_at = Some(now);
                }
                node.on_read(feed, false, now);
                // Spread over the VMs, so that a store that returns does not get them all at once.
                let pause = backoff.mul_f64(0.5 + rand::random::<f64>());
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = node.relay.read_succeeded() => {}
                    () = node.epoch_changed(epoch) => {}
                }
                backoff = (backoff * 2).min(longest_backoff(&node, feed));
            }
        }
    }
}

/// Records that changes of `feed` are told again, which they were not from `lost_at` on.
fn back(node: &GatewayNode, feed: Feed, failed_from: Instant, lost_at: Instant) {
    let was_long = lost_at.elapsed() > LAPSE;
    emit!(Event::FeedBack, feed = feed, after_ms = lost_at.elapsed().as_millis());
    lock(&node.world).on_feed_back(feed, failed_from, was_long);
    if feed == Feed::Servers && was_long {
        node.relay.on_register_back(failed_from);
    }
}

/// Calls that fail cost the store as much as others, so few VMs and feeds try often.
fn longest_backoff(node: &GatewayNode, feed: Feed) -> Duration {
    let is_first = feed == Feed::Settings && node.relay.is_first_choice();
    MAX_BACKOFF * if is_first { 1 } else { SECONDARY_FACTOR }
}
