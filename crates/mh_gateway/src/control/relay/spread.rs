use std::sync::Arc;
use std::sync::atomic::Ordering;

use mh_types::VmName;
use tokio::time::Instant;

use super::catch_up::fetch;
use crate::control::feed_states::Accepted;
use crate::control::news::{Changes, News};
use crate::control::{Datagram, encode};
use crate::node::{GatewayNode, lock};
use crate::request::add;
use crate::{Batch, Feed, Plan, PlanChange, Update};

/// Largest datagram with news, in bytes; it fits one packet. Others fetch changes that do not fit.
const MAX_NEWS: usize = 1200;

impl GatewayNode {
    /// Records the outcome of a call of this VM to the store. The others are told at once when it fails, so that another
    /// VM reads for them before they miss this one's news.
    pub(crate) fn on_read(&self, feed: Feed, succeeded: bool, now: Instant) {
        let counters = self.gateway.counters();
        add(if succeeded {
            &counters.store_reads
        } else {
            &counters.store_failures
        });
        let was_reader = self.relay.is_reader();
        if self.relay.set_read(feed, succeeded, now) && was_reader {
            for vm in self.relay.peers() {
                if let Some(addr) = self.peer_addr(&vm) {
                    self.send_to(addr, &Datagram::NoNews);
                }
            }
        }
    }

    /// Records that another VM cannot read the store.
    pub(crate) fn on_no_news(&self, from: &VmName) {
        lock(&self.relay.election).on_silent(from);
    }

    /// Takes in what was read of `feed`, from the store or from another VM, and passes it on.
    pub(crate) fn take_batch(&self, feed: Feed, batch: &Batch, is_whole: bool, now: Instant) {
        // Held while the world takes the batch in, so that nobody is given an older world with newer versions.
        let mut feeds = lock(&self.relay.feeds);
        let accepted = feeds.accept(feed, batch, is_whole, now);
        let is_new = !matches!(accepted, Accepted::Nothing);
        let plan_before = lock(&self.world).plan().cloned();
        if is_new {
            lock(&self.world).apply(feed, batch, is_whole, now);
        }
        drop(feeds);
        if is_new {
            self.rebuild(now);
        }
        if is_new || feed == Feed::Settings {
            let changes = match accepted {
                Accepted::Changes(changes) => Some(changes),
                Accepted::Nothing | Accepted::Whole => None,
            };
            let (changes, plan_change) = told(changes, plan_before.as_deref());
            self.vouch(changes, plan_change, now);
        }
    }

    /// Tells the other VMs of the region what this one holds, if it reads the store.
    fn vouch(&self, changes: Option<Changes>, plan_change: Option<PlanChange>, now: Instant) {
        if !self.relay.is_reader() {
            return;
        }
        let versions = lock(&self.relay.feeds).vouched();
        let clock = lock(&self.world).store_clock(now);
        let (Some(feeds), Some(clock)) = (versions, clock) else {
            return;
        };
        let returned_within = self.gateway.bounds().entry_return;
        let register_down = lock(&self.relay.register_down_at).map(|at| now.saturating_duration_since(at));
        let mut news = News {
            clock,
            feeds,
            register_down: register_down.filter(|age| *age < returned_within),
            changes,
            plan_change,
        };
        let vm = self.gateway.vm();
        let mut bytes = encode(vm, &Datagram::News(news.clone()));
        if bytes.as_ref().is_ok_and(|bytes| bytes.len() > MAX_NEWS) {
            (news.changes, news.plan_change) = (None, None);
            bytes = encode(vm, &Datagram::News(news));
        }
        // Versions and times always have an encoded form.
        let Ok(bytes) = bytes else { return };
        let followers = self.relay.peers();
        let world = lock(&self.world);
        for vm in followers {
            if let Some(addr) = world.vm(&vm).map(|vm| vm.peers) {
                self.send_bytes(addr, &bytes);
            }
        }
    }

    /// Takes in the news of a VM that reads the store.
    pub(crate) fn on_news(self: &Arc<Self>, from: &VmName, mut news: News, now: Instant) {
        if let Some(age) = news.register_down {
            let at = now.checked_sub(age).unwrap_or(now);
            lock(&self.world).on_feed_back(Feed::Servers, at, true);
        }
        if let Some(changes) = news.changes.take() {
            self.take_told(changes, news.plan_change.take(), &news, now);
        }
        let behind = lock(&self.relay.feeds).compare(&news, now);
        if behind.is_empty() {
            self.on_vouched(from, now);
        } else if !behind.iter().any(|feed| self.relay.versions(*feed).is_none())
            && !self.relay.is_fetching.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(fetch(Arc::clone(self), from.clone(), behind, news));
        }
    }

    /// Takes in changes that follow on what this VM holds; others are fetched.
    fn take_told(&self, mut changes: Changes, plan_change: Option<PlanChange>, news: &News, now: Instant) {
        let told = news.feeds[changes.feed as usize];
        let held = self.relay.versions(changes.feed);
        if !held.is_some_and(|held| held.held >= changes.after && held.held < told.changed) {
            return;
        }
        if let Some(change) = plan_change {
            let plan = lock(&self.world).plan().cloned();
            let Some(next) = plan.and_then(|plan| change.apply(&plan)) else {
                return;
            };
            changes.updates.push(Update::Plan(Arc::new(next)));
        }
        let batch = Batch {
            version: told.changed,
            changed: told.changed,
            clock: news.clock,
            updates: changes.updates,
        };
        self.take_batch(changes.feed, &batch, false, now);
    }

    pub(super) fn on_vouched(&self, from: &VmName, now: Instant) {
        lock(&self.relay.election).on_heard(from, now);
    }
}

/// What of `changes` is told in news: a plan as what leads to it from the one before.
fn told(changes: Option<Changes>, plan_before: Option<&Plan>) -> (Option<Changes>, Option<PlanChange>) {
    let Some(mut changes) = changes else {
        return (None, None);
    };
    let plan = changes.updates.iter().rev().find_map(|update| match update {
        Update::Plan(plan) => Some(Arc::clone(plan)),
        _ => None,
    });
    let Some(plan) = plan else {
        return (Some(changes), None);
    };
    let change = plan_before.and_then(|before| PlanChange::between(before, &plan));
    if change.is_some() {
        changes.updates.retain(|update| !matches!(update, Update::Plan(_)));
    }
    (Some(changes), change)
}
