use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, emit};
use tokio::time::Instant;

use crate::Feed;
use crate::node::{GatewayNode, lock};

/// Longest wait of one read for changes. A longer one saves calls; the keep-alive of its connection shows a silent one.
const WAIT: Duration = Duration::from_secs(20);

/// First wait after a failed read; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failed read, so that a store that returns is noticed well within the bounds on settings.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Wait between an answer with changes and the next read, in which further changes gather. Every change wakes every VM,
/// so without it a fleet that starts reads the store once for each server that registers.
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

/// Reads `feed` for as long as the process runs and applies what it tells.
pub(crate) async fn follow(node: Arc<GatewayNode>, feed: Feed) {
    let mut held: Option<u64> = None;
    let mut backoff = MIN_BACKOFF;
    let mut lost_at: Option<Instant> = None;
    let mut failed_from = Instant::now();
    loop {
        let epoch = node.epoch();
        let started = Instant::now();
        let read = async {
            match held {
                Some(version) => node.source.changes(feed, version, WAIT).await,
                None => node.source.read(feed).await.map(Some),
            }
        };
        // After a suspension the read may wait on a connection that is long gone.
        let result = tokio::select! {
            result = read => result,
            () = node.epoch_changed(epoch) => {
                held = None;
                continue;
            }
        };
        let now = Instant::now();
        match result {
            Ok(Some(batch)) => {
                let is_whole = held.is_none();
                // An answer from an old copy of the store must not take anything back.
                if held.is_some_and(|held| batch.version < held) {
                    tokio::time::sleep(MIN_BACKOFF).await;
                    continue;
                }
                if let Some(at) = lost_at.take() {
                    emit!(Event::FeedBack, feed = feed, after_ms = at.elapsed().as_millis());
                    lock(&node.world).on_feed_back(feed, failed_from, at.elapsed() > LAPSE);
                }
                backoff = MIN_BACKOFF;
                held = Some(batch.version);
                if is_whole || !batch.updates.is_empty() {
                    lock(&node.world).apply(feed, &batch, is_whole, now);
                    node.rebuild(now);
                    tokio::time::sleep(gather(feed)).await;
                }
            }
            Ok(None) => {
                emit!(Event::FeedReset, feed = feed, version = held.unwrap_or_default());
                held = None;
            }
            Err(e) => {
                failed_from = started;
                if lost_at.is_none() {
                    lock(&node.world).on_feed_lost(feed);
                    emit!(
                        Event::FeedLost,
                        feed = feed,
                        version = held.unwrap_or_default(),
                        error = e.current_context()
                    );
                    lost_at = Some(now);
                }
                // Spread over the VMs, so that a store that returns does not get them all at once.
                tokio::time::sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
