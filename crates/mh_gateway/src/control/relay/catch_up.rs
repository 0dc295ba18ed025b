use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use mh_types::{Code, Event, VmName, emit};
use tokio::time::Instant;

use crate::control::datagram::decode;
use crate::control::encode;
use crate::control::news::{Fetched, News};
use crate::node::{GatewayNode, lock};
use crate::request::add;
use crate::{Batch, Feed};

/// Path under which a VM gives changes to others of its region.
pub(crate) const CHANGES_PATH: &str = "/changes";

/// Longest time for which a VM that is asked brings itself up to date before it answers, within the wait of the other.
const SERVE_WAIT: Duration = Duration::from_millis(300);

/// Time between two looks whether this VM's own first read has ended.
const START_POLL: Duration = Duration::from_millis(20);

/// Longest wait of a starting VM for its read of the list of VMs; a store that is slower is read for everything.
const LIST_WAIT: Duration = Duration::from_secs(3);

/// Other VMs of a region from which on a starting VM learns from them. In a smaller region the few calls that it saves
/// the store are not worth the longer way.
const MIN_PEERS: usize = 8;

/// Time for which a VM of a fleet that starts tries to learn from others before it reads the store.
const LEARN_WAIT: Duration = Duration::from_millis(1500);

/// Pause between two such tries.
const LEARN_PAUSE: Duration = Duration::from_millis(50);

impl GatewayNode {
    /// What this VM gives one that holds `feed` up to `version` and needs it up to `min`; `None` when it does not hold
    /// that much within the time that the other waits.
    pub(crate) async fn fetched(self: &Arc<Self>, feed: Feed, version: u64, min: u64) -> Option<Bytes> {
        // After a loss of all VMs the others start too, and waiting for them would only add to the outage. The VMs of a
        // fleet that starts have time, and wait for the first reads.
        if self.relay.versions(feed).is_none() && !self.cfg.first_start {
            return None;
        }
        let brought = async {
            while self.relay.versions(feed).is_none() {
                tokio::time::sleep(START_POLL).await;
            }
            if self.relay.is_reader() {
                self.read_up_to(feed, min).await
            } else {
                self.catch_up(feed, min, None).await
            }
        };
        if !self.relay.holds(feed, min) && !tokio::time::timeout(SERVE_WAIT, brought).await.unwrap_or(false) {
            return None;
        }
        self.snapshot(feed, version)
    }

    fn snapshot(&self, feed: Feed, version: u64) -> Option<Bytes> {
        let now = Instant::now();
        let feeds = lock(&self.relay.feeds);
        let versions = feeds.versions(feed)?;
        let changes = feeds.since(feed, version);
        let world = lock(&self.world);
        let fetched = Fetched {
            clock: world.store_clock(now)?,
            versions,
            is_whole: changes.is_none(),
            updates: changes.unwrap_or_else(|| world.snapshot(feed, now)),
        };
        encode(self.gateway.vm(), &fetched).ok().map(Bytes::from)
    }

    /// Brings `feed` up to the version `min` from other VMs of the region; returns whether it is. `told_by` is a VM that
    /// said that it holds it.
    ///
    /// Each VM fetches from the one before it in a tree, so that no VM gives more than a few copies.
    pub(crate) async fn catch_up(&self, feed: Feed, min: u64, told_by: Option<&VmName>) -> bool {
        let _turn = self.relay.turns[feed as usize].lock().await;
        if self.relay.holds(feed, min) {
            return true;
        }
        let sources = lock(&self.relay.election).sources();
        let told_by = told_by.filter(|vm| !sources.contains(vm));
        for vm in sources.iter().chain(told_by) {
            let Some(addr) = self.peer_addr(vm) else { continue };
            match self.fetch_feed(addr, feed, min).await {
                Ok(()) if self.relay.holds(feed, min) => return true,
                Ok(()) => {}
                Err(e) => emit!(Event::FetchFailed, vm = vm, feed = feed, error = e),
            }
        }
        false
    }

    async fn fetch_feed(&self, addr: SocketAddr, feed: Feed, min: u64) -> Result<(), String> {
        let held = self.relay.versions(feed).map_or(0, |versions| versions.held);
        let path = format!("{CHANGES_PATH}?{}&{held}&{min}", feed as usize);
        let client = self.relay.client(addr);
        let answer = client.send(Method::GET, &path, None, Code::PeerUnreachable).await;
        let answer = answer.and_then(|answer| answer.expect_ok(Code::PeerUnreachable));
        let answer = answer.map_err(|e| e.current_context().to_string())?;
        let (_, fetched) = decode::<Fetched>(&answer.body)?;
        add(&self.gateway.counters().fetches);
        let batch = Batch {
            version: fetched.versions.held,
            changed: fetched.versions.changed,
            clock: fetched.clock,
            updates: fetched.updates,
        };
        self.take_batch(feed, &batch, fetched.is_whole, Instant::now());
        Ok(())
    }

    /// Brings `feed` up to the version `min` from the store, once for all VMs that ask for it at a time.
    async fn read_up_to(&self, feed: Feed, min: u64) -> bool {
        let _turn = self.relay.turns[feed as usize].lock().await;
        if self.relay.holds(feed, min) {
            return true;
        }
        if let Err(e) = self.read_once(feed).await {
            emit!(
                Event::FetchFailed,
                vm = "store",
                feed = feed,
                error = e.current_context()
            );
        }
        self.relay.holds(feed, min)
    }

    /// Reads the changes of `feed` from the store, beside the calls that wait for changes.
    async fn read_once(&self, feed: Feed) -> mh_platform::Result<()> {
        let held = self.relay.versions(feed).unwrap_or_default().held;
        let (batch, is_whole) = match self.source.changes(feed, held, Duration::ZERO).await? {
            Some(batch) => (batch, false),
            None => (self.source.read(feed).await?, true),
        };
        self.take_batch(feed, &batch, is_whole, Instant::now());
        Ok(())
    }

    /// Learns all of `feed` from other VMs of the region; returns whether it did.
    ///
    /// What they give is at least as new as this VM's own read of the list of VMs, so that nothing returns that was gone
    /// when this process started.
    pub(crate) async fn learn(&self, feed: Feed) -> bool {
        let Ok(floor) = tokio::time::timeout(LIST_WAIT, self.relay.floor()).await else {
            return false;
        };
        if self.relay.is_first_choice() || self.relay.peers().len() < MIN_PEERS {
            return false;
        }
        let end = Instant::now() + LEARN_WAIT;
        loop {
            if self.catch_up(feed, floor, None).await {
                return true;
            }
            if !self.cfg.first_start || Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(LEARN_PAUSE).await;
        }
    }

    /// Takes in the first read of the list of VMs, which tells whom to learn the rest from.
    pub(crate) fn take_list(&self, batch: &Batch, now: Instant) {
        self.take_batch(Feed::Vms, batch, true, now);
        let world = lock(&self.world);
        let region = world.vms().filter(|vm| vm.region == self.cfg.region);
        let region = region.map(|vm| (vm.vm.clone(), vm.domain.clone()));
        self.relay.set_vms(region.collect(), now);
        drop(world);
        self.relay.floor.send_replace(Some(batch.version));
    }
}

/// Fetches the changes of the feeds `behind` that the VM `from` told of in `news`.
pub(super) async fn fetch(node: Arc<GatewayNode>, from: VmName, behind: Vec<Feed>, news: News) {
    for feed in behind {
        let min = news.feeds[feed as usize].changed;
        if !node.catch_up(feed, min, Some(&from)).await && !node.read_up_to(feed, min).await {
            break;
        }
    }
    node.relay.is_fetching.store(false, Ordering::Release);
    let now = Instant::now();
    if lock(&node.relay.feeds).compare(&news, now).is_empty() {
        node.on_vouched(&from, now);
    }
}

/// Reads the query of [`CHANGES_PATH`]: the place of the feed, the version that the asking VM holds, and the one that it
/// needs.
pub(crate) fn parse_query(query: &str) -> Option<(Feed, u64, u64)> {
    let mut parts = query.split('&');
    let feed = Feed::ALL.get(parts.next()?.parse::<usize>().ok()?)?;
    let (held, min) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((*feed, held, min))
}
