use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use mh_types::{Event, StoreVersion, emit};
use tokio::time::Instant;

use crate::node::GatewayNode;
use crate::{ChangesRead, Feed};

/// Time past the wait of a call after which the call is repeated; a slow store answers within half of it. It doubles
/// with each further call.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(500);

/// Most calls for one read.
const MAX_CALLS: usize = 3;

/// Result of a read of a feed.
#[derive(Debug)]
pub(crate) struct FeedRead {
    /// When the call that decided the result was sent.
    pub(crate) sent_at: Instant,
    /// Whether an earlier call was not answered in time.
    pub(crate) is_repeat: bool,
    pub(crate) result: mh_platform::Result<ChangesRead>,
}

/// Reads the changes of `feed` after the version `held`, waiting up to `wait` if there are none yet. If `may_repeat`, a
/// call that is not answered in time is sent again without a wait, and the first answer counts.
///
/// A store may leave single calls unanswered, for example those that arrive during an outage. Only an answer shows
/// that a call was not lost: keep-alive shows that the connection works.
pub(super) async fn read_changes(
    node: &GatewayNode,
    feed: Feed,
    held: StoreVersion,
    wait: Duration,
    may_repeat: bool,
) -> FeedRead {
    let call = |is_repeat: bool, wait: Duration| async move {
        FeedRead {
            sent_at: Instant::now(),
            is_repeat,
            result: node.source.changes(feed, held, wait).await,
        }
    };
    let first_sent_at = Instant::now();
    let mut calls = FuturesUnordered::from_iter([call(false, wait)]);
    let mut repeat_delay = FIRST_REPEAT_DELAY;
    let mut repeat_at = first_sent_at + wait + repeat_delay;
    loop {
        tokio::select! {
            Some(read) = calls.next() => return read,
            () = tokio::time::sleep_until(repeat_at), if may_repeat && calls.len() < MAX_CALLS => {
                node.relay.on_call_lost(first_sent_at);
                emit!(Event::FeedUnanswered, feed = feed, version = held, waited_ms = first_sent_at.elapsed().as_millis());
                calls.push(call(true, Duration::ZERO));
                repeat_delay *= 2;
                repeat_at += repeat_delay;
            }
        }
    }
}
