use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use mh_platform::PlatformError;
use mh_types::{Code, Event, emit};
use tokio::time::Instant;

use super::reader_report::FeedVersions;
use crate::Feed;
use crate::node::GatewayNode;

/// Wait after the first failed read; it doubles up to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failed read, short enough to notice a recovered store well within the bounds on settings.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Factor on the maximum backoff where another read is likely to notice the store's recovery first: this VM's read of
/// the settings, or a read by a VM earlier in the reader order that is heard to call.
const SECONDARY_BACKOFF_FACTOR: u32 = 3;

/// Shortest outage after which entries of live servers may have expired.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(2);

/// Failed and unanswered reads of one feed.
#[derive(Debug)]
pub(super) struct FeedOutage {
    node: Arc<GatewayNode>,
    feed: Feed,
    /// When the first read was lost since the last answer.
    lost_at: Option<Instant>,
    last_failed_read_at: Instant,
    backoff: Duration,
}

impl FeedOutage {
    pub(super) fn new(node: Arc<GatewayNode>, feed: Feed) -> Self {
        Self {
            node,
            feed,
            lost_at: None,
            last_failed_read_at: Instant::now(),
            backoff: MIN_BACKOFF,
        }
    }

    /// Records that a call sent at `lost_at` was not answered.
    pub(super) fn on_unanswered(&mut self, lost_at: Instant) {
        self.last_failed_read_at = Instant::now();
        self.lost_at.get_or_insert(lost_at);
    }

    /// Records that a read that began at `started` with the versions `held` has failed.
    pub(super) fn on_failure(&mut self, started: Instant, held: Option<FeedVersions>, e: &Report<PlatformError>) {
        let now = Instant::now();
        if !self.node.relay.is_failing(self.feed) {
            self.node.control.lock().deployment.on_feed_lost(self.feed);
            emit!(
                Event::FeedLost,
                feed = self.feed,
                version = held.unwrap_or_default().held,
                waited_ms = (now - started).as_millis(),
                error = e.current_context()
            );
        }
        // A call without an answer may have been lost when it was sent.
        let is_unanswered = e.current_context().0 == Code::TableTimeout;
        let lost_at = if is_unanswered { started } else { now };
        self.on_unanswered(lost_at);
        self.node.relay.on_call_lost(lost_at);
        self.node.on_read(self.feed, false, now);
    }

    /// Returns the pause before the next read, with random jitter, so that the VMs do not all call a recovering store at
    /// once.
    pub(super) fn next_pause(&mut self) -> Duration {
        let is_first = self.node.retries_often(self.feed);
        let max_backoff = MAX_BACKOFF * if is_first { 1 } else { SECONDARY_BACKOFF_FACTOR };
        // The maximum is lower if other VMs have stopped calling since the last failure.
        let backoff = self.backoff.min(max_backoff);
        self.backoff = (backoff * 2).min(max_backoff);
        backoff.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Records that the store answered a call sent at `sent_at`.
    pub(super) fn on_answer(&mut self, sent_at: Instant) {
        self.backoff = MIN_BACKOFF;
        if let Some(lost_at) = self.lost_at.take() {
            let lost_at = self.node.relay.on_answered_again(lost_at, sent_at);
            self.on_recovered(lost_at);
        }
    }

    /// Records that this VM no longer reads the feed, which the readers of the region keep up to date.
    pub(super) fn stop_reading(&mut self) {
        self.backoff = MIN_BACKOFF;
        if let Some(lost_at) = self.lost_at.take() {
            self.node.relay.clear_lost_calls();
            self.on_recovered(lost_at);
        }
    }

    fn on_recovered(&self, lost_at: Instant) {
        let Self { node, feed, .. } = self;
        let entries_may_have_expired = lost_at.elapsed() > MIN_EXPIRY_OUTAGE;
        emit!(Event::FeedBack, feed = feed, after_ms = lost_at.elapsed().as_millis());
        node.control
            .lock()
            .deployment
            .on_feed_recovered(*feed, self.last_failed_read_at, entries_may_have_expired);
        if *feed == Feed::Servers && entries_may_have_expired {
            node.relay.on_registry_recovered(self.last_failed_read_at);
        }
    }
}

impl GatewayNode {
    /// Returns whether this VM calls the store often for `feed` while it cannot be read. Failed calls cost the store as
    /// much as others, so only few VMs and feeds do.
    pub(super) fn retries_often(&self, feed: Feed) -> bool {
        feed == Feed::Settings && self.relay.is_leading_caller()
    }

    /// Waits until this VM must call the store often for `feed`; it never ends if it already does.
    pub(super) async fn must_retry_often(&self, feed: Feed) {
        if feed != Feed::Settings || self.relay.is_leading_caller() {
            return std::future::pending().await;
        }
        self.relay.became_leading_caller().await;
    }
}
