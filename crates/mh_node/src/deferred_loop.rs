use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{DeferredRequest, DeliveryOutcome};
use mh_types::{Event, emit};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::Node;

/// Key prefix of stored requests.
const OBJECT_KEY_PREFIX: &str = "deferred/";
/// Mean time between two list requests to the object store.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two list requests while nothing is stored or the store fails.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(8);
/// Keys per list request.
const PAGE_KEYS: u32 = 100;
/// Attempts to store a request; the store may be slow or lose a reply.
const MAX_PUT_ATTEMPTS: u32 = 2;

/// Delivers stored requests until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut interval = POLL_INTERVAL;
    let mut after = String::new();
    loop {
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
        let Ok(keys) = node.objects.list(OBJECT_KEY_PREFIX, &after, PAGE_KEYS).await else {
            interval = (interval * 2).min(MAX_POLL_INTERVAL);
            continue;
        };
        interval = if keys.is_empty() {
            (interval * 2).min(MAX_POLL_INTERVAL)
        } else {
            POLL_INTERVAL
        };
        // A full page may contain only requests that cannot be delivered now, so the next list request continues after
        // it.
        after = if keys.len() < PAGE_KEYS as usize {
            String::new()
        } else {
            keys.last().cloned().unwrap_or_default()
        };
        for key in keys.iter().filter(|key| node.is_deliverer_of(key)) {
            node.deliver(key).await;
        }
    }
}

impl Node {
    /// Stores a request; returns `false` on failure.
    ///
    /// A second attempt writes the same content under the same key, so it is safe after a lost reply.
    pub(crate) async fn defer(&self, req: &DeferredRequest) -> bool {
        let key = format!(
            "{OBJECT_KEY_PREFIX}{:016}-{}",
            jiff::Timestamp::now().as_microsecond(),
            req.request_id
        );
        let Ok(body) = serde_json::to_vec(req) else {
            return false;
        };
        for _ in 0..MAX_PUT_ATTEMPTS {
            if self.objects.put(&key, body.clone().into()).await.is_ok() {
                emit!(Event::RequestDeferred, request = req.request_id, route = req.route);
                return true;
            }
        }
        false
    }

    /// Returns whether this VM, among the usable VMs, delivers the request, so that they do not all attempt it.
    fn is_deliverer_of(&self, key: &str) -> bool {
        let peers = self.peers.lock();
        let usable = peers.usable(&self.cfg.vm, (&self.cfg.domain, &self.cfg.region), Instant::now());
        let weight = |vm: &str| {
            let mut hasher = SipHasher13::new();
            (vm, key).hash(&mut hasher);
            hasher.finish()
        };
        let deliverer = usable
            .iter()
            .map(|vm| &vm.name)
            .max_by_key(|name| weight(name.as_str()));
        deliverer.is_none_or(|deliverer| *deliverer == self.cfg.vm)
    }

    async fn deliver(&self, key: &str) {
        let Ok(Some(body)) = self.objects.get(key).await else {
            return;
        };
        let stored = match serde_json::from_slice::<DeferredRequest>(&body) {
            Ok(stored) if stored.is_readable() => stored,
            _ => {
                emit!(Event::DeferredUnreadable, key = key);
                return;
            }
        };
        if self.edge.deliver(&stored).await == DeliveryOutcome::Delivered {
            emit!(
                Event::DeferredDelivered,
                request = stored.request_id,
                route = stored.route
            );
            // If this fails, the request is delivered again, which an idempotent route allows.
            let _ = self.objects.delete(key).await;
        }
    }
}
