use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{DeferredRequest, DeliveryOutcome};
use mh_types::{Event, emit};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::Node;
use crate::node::lock;

/// Keys of stored requests.
const PREFIX: &str = "deferred/";
/// Time between two looks at the store.
const POLL: Duration = Duration::from_secs(1);
/// Longest time between two looks while nothing is stored or the store fails.
const MAX_POLL: Duration = Duration::from_secs(8);
/// Requests looked at in one go.
const PAGE: u32 = 100;
/// Tries to store a request; the store may be slow or lose a reply.
const STORE_TRIES: u32 = 2;

/// Delivers stored requests until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut wait = POLL;
    let mut after = String::new();
    loop {
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.8..1.2))).await;
        let Ok(keys) = node.objects.list(PREFIX, &after, PAGE).await else {
            wait = (wait * 2).min(MAX_POLL);
            continue;
        };
        wait = if keys.is_empty() {
            (wait * 2).min(MAX_POLL)
        } else {
            POLL
        };
        // A full page may hold only requests that cannot be delivered now, so the next look goes on behind it.
        after = if keys.len() < PAGE as usize {
            String::new()
        } else {
            keys.last().cloned().unwrap_or_default()
        };
        for key in keys.iter().filter(|key| node.is_first_for(key)) {
            node.deliver(key).await;
        }
    }
}

impl Node {
    /// Stores a request; the same content is stored under the same key again after a lost reply.
    pub(crate) async fn defer(&self, req: &DeferredRequest) -> bool {
        let key = format!(
            "{PREFIX}{:016}-{}",
            jiff::Timestamp::now().as_microsecond(),
            req.request_id
        );
        let Ok(body) = serde_json::to_vec(req) else {
            return false;
        };
        for _ in 0..STORE_TRIES {
            if self.objects.put(&key, body.clone().into()).await.is_ok() {
                emit!(Event::RequestDeferred, request = req.request_id, route = req.route);
                return true;
            }
        }
        false
    }

    /// Whether this VM is the one of those alive that delivers the request, so that they do not all try.
    fn is_first_for(&self, key: &str) -> bool {
        let peers = lock(&self.peers);
        let usable = peers.usable(&self.cfg.vm, (&self.cfg.domain, &self.cfg.region), Instant::now());
        let weight = |vm: &str| {
            let mut hasher = SipHasher13::new();
            (vm, key).hash(&mut hasher);
            hasher.finish()
        };
        let first = usable
            .iter()
            .map(|vm| &vm.name)
            .max_by_key(|name| weight(name.as_str()));
        first.is_none_or(|first| *first == self.cfg.vm)
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
            // When this fails the request is delivered again, which an idempotent route allows.
            let _ = self.objects.delete(key).await;
        }
    }
}
