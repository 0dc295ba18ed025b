use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};
use tokio::time::Instant;

use super::feed_outage::FeedOutage;
use super::reader_report::FeedVersions;
use super::repeated_read::{FeedRead, read_changes};
use super::{Origin, announce};
use crate::node::GatewayNode;
use crate::{ChangesRead, Feed};

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

/// Reads `feed` and applies its changes until the process ends. A VM that is not a reader for its region reads only
/// once, and again after its state was invalidated.
pub(crate) async fn follow_feed(node: Arc<GatewayNode>, feed: Feed) {
    let mut epoch = node.epoch();
    let mut outage = FeedOutage::new(Arc::clone(&node), feed);
    let mut is_first_start = node.cfg.first_start;
    // The other VMs of a region rely on a reader, so what it misses is only in the store.
    let mut must_read_store = false;
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
        if held.is_none() && feed != Feed::Vms && !must_read_store {
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
            outage.stop_reading();
            tokio::select! {
                () = node.relay.became_reader() => {}
                () = node.epoch_changed(epoch) => {}
            }
            continue;
        }
        let started = Instant::now();
        // After a suspension the read may wait on a dead connection; after a restore it may wait for changes that the
        // store has lost; after an outage the store may never answer it.
        let read = tokio::select! {
            biased;
            read = read_feed(&node, feed, held) => read,
            () = node.epoch_changed(epoch) => continue,
            () = node.relay.store_restored(restores) => continue,
            over = node.relay.outage_over(started) => {
                outage.on_unanswered(over.lost_at.min(started));
                continue;
            }
            () = node.must_retry_often(feed), if node.relay.is_failing(feed) => {
                outage.on_unanswered(started);
                continue;
            }
        };
        let now = Instant::now();
        if read.is_repeat {
            outage.on_unanswered(started);
        }
        match read.result {
            Ok(ChangesRead::Changes(batch)) => {
                outage.on_answer(read.sent_at);
                node.on_read(feed, true, now);
                must_read_store = false;
                if held.is_none() && feed == Feed::Vms {
                    node.apply_vm_list(&batch, now);
                } else {
                    node.apply_batch(feed, &batch, held.map(|versions| versions.held), &Origin::Store, now);
                }
                if held.is_none() || !batch.updates.is_empty() {
                    tokio::time::sleep(batching_delay(feed)).await;
                }
            }
            Ok(ChangesRead::HistoryLost { era }) => {
                let version = held.unwrap_or_default().held;
                emit!(Event::FeedReset, feed = feed, version = version, era = era);
                node.relay.note_era(era);
                must_read_store = true;
                if node.relay.versions(feed) == held {
                    node.relay.invalidate(feed);
                }
            }
            Err(e) => {
                outage.on_failure(started, held, &e);
                let pause = outage.next_pause();
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    _ = node.relay.outage_over(started) => {}
                    () = node.must_retry_often(feed) => {}
                    () = node.epoch_changed(epoch) => {}
                }
            }
        }
    }
}

/// Reads the changes of `feed` after the version held, or the full state if none is held.
async fn read_feed(node: &GatewayNode, feed: Feed, held: Option<FeedVersions>) -> FeedRead {
    let Some(versions) = held else {
        return FeedRead {
            sent_at: Instant::now(),
            is_repeat: false,
            result: node.source.read(feed).await.map(ChangesRead::Changes),
        };
    };
    let may_repeat = !node.relay.is_failing(feed) || node.retries_often(feed);
    let wait = node.relay.poll_wait(feed);
    read_changes(node, feed, versions.held, wait, may_repeat).await
}
