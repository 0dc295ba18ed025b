use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use mh_types::{Code, Event, StoreVersion, VmName, emit};
use tokio::time::Instant;

use crate::control::datagram::decode;
use crate::control::reader_report::{FetchResponse, ReaderReport};
use crate::control::repeated_read::read_changes;
use crate::control::{Origin, encode};
use crate::node::GatewayNode;
use crate::request::increment;
use crate::{Batch, ChangesRead, Feed};

/// Path that serves changes to other VMs of the region.
pub(crate) const CHANGES_PATH: &str = "/changes";

/// Longest time for which a VM catches up before it answers a request; it is shorter than the requesting VM's timeout.
const SERVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two checks whether this VM's own first read has completed.
const FIRST_READ_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait of a starting VM for its read of the VM list; if the store is slower, everything is read from the
/// store.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Smallest number of other VMs in a region at which a starting VM loads feeds from them. In a smaller region the
/// detour costs more than the few saved store calls.
const MIN_PEERS_TO_LOAD_FROM: usize = 8;

/// Time for which a VM of a starting fleet tries to load a feed from others before it reads the store.
const PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between two such attempts.
const PEER_LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl GatewayNode {
    /// Returns the encoded response to a VM that holds `feed` up to `version` and needs it up to `min`; `None` if this
    /// VM does not reach `min` within the time that the other VM waits.
    pub(crate) async fn fetch_response(
        self: &Arc<Self>,
        feed: Feed,
        version: StoreVersion,
        min: StoreVersion,
    ) -> Option<Bytes> {
        // If all VMs were lost, the others are starting too, and waiting for them would prolong the outage. The VMs of
        // a fleet that starts for the first time have the time to wait for the first reads.
        if self.relay.versions(feed).is_none() && !self.awaits_first_load(feed) {
            return None;
        }
        let catch_up = async {
            while self.relay.versions(feed).is_none() {
                tokio::time::sleep(FIRST_READ_POLL_INTERVAL).await;
            }
            if self.relay.is_reader() {
                self.read_up_to(feed, min).await
            } else {
                self.catch_up(feed, min, None).await
            }
        };
        if !self.relay.holds(feed, min) && !tokio::time::timeout(SERVE_TIMEOUT, catch_up).await.unwrap_or(false) {
            return None;
        }
        self.encode_changes(feed, version)
    }

    fn encode_changes(&self, feed: Feed, version: StoreVersion) -> Option<Bytes> {
        let now = Instant::now();
        let fetched = {
            let control = self.control.lock();
            let versions = control.feeds.versions(feed)?;
            let changes = control.feeds.since(feed, version);
            FetchResponse {
                clock: control.deployment.store_clock(now)?,
                versions,
                is_whole: changes.is_none(),
                updates: changes.unwrap_or_else(|| control.deployment.snapshot(feed, now)),
            }
        };
        encode(self.gateway.vm(), &fetched).ok().map(Bytes::from)
    }

    /// Brings `feed` up to the version `min` from other VMs of the region; returns whether it is. `reported_by` is a VM
    /// that reported to hold that version.
    ///
    /// The VMs form a tree in which each fetches from its parent, so that no VM sends more than a few copies.
    pub(crate) async fn catch_up(&self, feed: Feed, min: StoreVersion, reported_by: Option<&VmName>) -> bool {
        let _lock = self.relay.catch_up_locks[feed as usize].lock().await;
        if self.relay.holds(feed, min) {
            return true;
        }
        let sources = self.relay.election.lock().sources();
        let reported_by = reported_by.filter(|vm| !sources.contains(vm));
        for vm in sources.iter().chain(reported_by) {
            let Some(addr) = self.peer_addr(vm) else { continue };
            match self.fetch_feed(addr, feed, min).await {
                Ok(()) if self.relay.holds(feed, min) => return true,
                Ok(()) => {}
                Err(e) => emit!(Event::FetchFailed, vm = vm, feed = feed, error = e),
            }
        }
        false
    }

    async fn fetch_feed(&self, addr: SocketAddr, feed: Feed, min: StoreVersion) -> Result<(), String> {
        let held = self
            .relay
            .versions(feed)
            .map_or(StoreVersion::ZERO, |versions| versions.held);
        let path = format!("{CHANGES_PATH}?{}&{held}&{min}", feed as usize);
        let client = self.relay.client(addr);
        let answer = client.send(Method::GET, &path, None, Code::PeerUnreachable).await;
        let answer = answer.and_then(|answer| answer.error_for_status(Code::PeerUnreachable));
        let answer = answer.map_err(|e| e.current_context().to_string())?;
        let (from, fetched) = decode::<FetchResponse>(&answer.body)?;
        increment(&self.gateway.counters().fetches);
        let batch = Batch {
            version: fetched.versions.held,
            last_changed_version: fetched.versions.changed,
            clock: fetched.clock,
            updates: fetched.updates,
        };
        let after = (!fetched.is_whole).then_some(held);
        self.apply_batch(feed, &batch, after, &Origin::Vm(from), Instant::now());
        Ok(())
    }

    /// Brings `feed` up to the version `min` from the store, with one read for all VMs that ask at the same time.
    async fn read_up_to(&self, feed: Feed, min: StoreVersion) -> bool {
        let _lock = self.relay.catch_up_locks[feed as usize].lock().await;
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

    /// Reads the changes of `feed` from the store without waiting, in parallel with the calls that wait for changes.
    async fn read_once(&self, feed: Feed) -> mh_platform::Result<()> {
        let held = self.relay.versions(feed).unwrap_or_default().held;
        let (batch, after) = match read_changes(self, feed, held, Duration::ZERO, true).await.result? {
            ChangesRead::Changes(batch) => (batch, Some(held)),
            ChangesRead::HistoryLost { era } => {
                self.relay.note_era(era);
                (self.source.read(feed).await?, None)
            }
        };
        self.apply_batch(feed, &batch, after, &Origin::Store, Instant::now());
        Ok(())
    }

    /// Loads `feed` in full from other VMs of the region; returns whether that succeeded.
    ///
    /// The result is at least as new as this VM's own read of the VM list, so that nothing reappears that was removed
    /// before this process started.
    pub(crate) async fn load_from_peers(&self, feed: Feed) -> bool {
        let Ok(vm_list_version) = tokio::time::timeout(VM_LIST_TIMEOUT, self.relay.vm_list_version()).await else {
            return false;
        };
        if self.relay.is_preferred_reader() || self.relay.peers().len() < MIN_PEERS_TO_LOAD_FROM {
            return false;
        }
        let is_first_load = self.awaits_first_load(feed);
        let end = Instant::now() + PEER_LOAD_TIMEOUT;
        loop {
            if self.catch_up(feed, vm_list_version, None).await {
                return true;
            }
            if !is_first_load || Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(PEER_LOAD_RETRY_INTERVAL).await;
        }
    }

    /// Returns whether this VM belongs to a fleet that starts for the first time and has not loaded `feed` yet.
    fn awaits_first_load(&self, feed: Feed) -> bool {
        self.cfg.first_start && !self.control.lock().deployment.has_read(feed)
    }

    /// Applies the first read of the VM list, which names the VMs to load the other feeds from.
    pub(crate) fn apply_vm_list(&self, batch: &Batch, now: Instant) {
        self.apply_batch(Feed::Vms, batch, None, &Origin::Store, now);
        let region = self.control.lock().deployment.vms_of_region(&self.cfg.region);
        self.relay.set_vms(region, now);
        self.relay.vm_list_version.send_replace(Some(batch.version));
    }
}

/// Fetches the changes of the feeds `behind`, in which the VM `from` is ahead according to its report.
pub(super) async fn fetch_missing(node: Arc<GatewayNode>, from: VmName, behind: Vec<Feed>, report: ReaderReport) {
    for feed in behind {
        let min = report.feeds[feed as usize].changed;
        if !node.catch_up(feed, min, Some(&from)).await && !node.read_up_to(feed, min).await {
            break;
        }
    }
    node.relay.is_fetching.store(false, Ordering::Release);
    let now = Instant::now();
    if node.control.lock().feeds.compare(&report, &from, now).is_empty() {
        node.on_report_confirmed(&from, &report, now);
    }
}

/// Parses the query of [`CHANGES_PATH`]: the index of the feed, the version that the requesting VM holds, and the
/// version that it needs.
pub(crate) fn parse_changes_query(query: &str) -> Option<(Feed, StoreVersion, StoreVersion)> {
    let mut parts = query.split('&');
    let feed = Feed::ALL.get(parts.next()?.parse::<usize>().ok()?)?;
    let (held, min) = (parse_version(parts.next()?)?, parse_version(parts.next()?)?);
    Some((*feed, held, min))
}

/// Parses a version in its display format.
fn parse_version(text: &str) -> Option<StoreVersion> {
    let (era, number) = text.split_once('.')?;
    Some(StoreVersion::new(era.parse().ok()?, number.parse().ok()?))
}
