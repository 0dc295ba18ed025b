use std::sync::Arc;
use std::time::Duration;

use mh_fresh::{ChangeSource, FetchRequest, Report, ReportScope};
use mh_peer::Part;
use mh_types::{Event, VmName, emit};
use tokio::time::Instant;

use crate::Node;
use crate::heartbeat::{REPORT_PART, REPORT_REQUEST_PART};

/// Time between two runs of the fetch planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum random delay of the first read, so that VMs that start together do not all read at the same time.
const MAX_START_JITTER: Duration = Duration::from_millis(200);

/// Keeps the settings confirmed by sending the planner's requests to the table and the other VMs.
pub(crate) async fn run(node: Arc<Node>) {
    tokio::time::sleep(MAX_START_JITTER.mul_f64(rand::random())).await;
    // After a failure, the planner below reads again.
    let _ = node.read_head().await;
    let mut was_current = false;
    loop {
        let requests = node.with_freshness(|state| state.planner.plan(Instant::now(), &state.tracker, rand::random()));
        for request in requests {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.send_fetch_request(request).await });
        }
        let is_current = node.freshness.lock().tracker.status(Instant::now()).is_current();
        if is_current != was_current {
            was_current = is_current;
            emit!(if is_current {
                Event::CurrentAgain
            } else {
                Event::NotCurrent
            });
        }
        tokio::time::sleep(PLAN_INTERVAL).await;
    }
}

impl Node {
    async fn send_fetch_request(self: Arc<Self>, request: FetchRequest) {
        match request {
            FetchRequest::Head
            | FetchRequest::Changes {
                from: ChangeSource::Table,
                ..
            } => {
                // After a failure, the planner applies its own backoff.
                if self.read_head().await.is_ok() {
                    self.resolve_commits().await;
                }
            }
            FetchRequest::Changes {
                from: ChangeSource::Peer(peer),
                ..
            } => {
                if !self.fetch_settings_from(&peer).await {
                    self.with_freshness(|state| state.planner.on_no_changes(&ChangeSource::Peer(peer)));
                }
            }
            FetchRequest::Report { peer, scope } => self.request_report(&peer, scope).await,
        }
    }

    async fn read_head(&self) -> mh_platform::Result<()> {
        let read = self.catch_up().await;
        self.with_freshness(|state| match &read {
            Ok(_) => state.planner.on_table_read(),
            Err(_) => state.planner.on_table_failure(Instant::now(), rand::random()),
        });
        read.map(|_| ())
    }

    async fn request_report(&self, peer: &VmName, scope: ReportScope) {
        let addr = self.peers.lock().addr_of(peer);
        let (Some(addr), Some(net)) = (addr, self.net.get()) else {
            return self.with_freshness(|state| state.planner.on_no_response(Instant::now(), peer));
        };
        let mut parts = self.heartbeat_parts();
        parts.push(Part {
            kind: REPORT_REQUEST_PART,
            body: postcard::to_stdvec(&scope).unwrap_or_default().into(),
        });
        let requested_at = Instant::now();
        let answer = net.exchange(addr, self.hello(), parts).await;
        let now = Instant::now();
        let report = answer.ok().filter(|answer| answer.from.vm == *peer).and_then(|answer| {
            self.on_heartbeat(&answer, requested_at);
            let part = answer.parts.iter().find(|part| part.kind == REPORT_PART)?;
            Report::from_bytes(&part.body)
                .inspect_err(|e| emit!(Event::PeerMessageInvalid, vm = peer, error = e))
                .ok()
        });
        self.with_freshness(|state| match &report {
            Some(report) => {
                state.tracker.on_report(requested_at, now, report);
                state.planner.on_response(peer, report.holding.held);
            }
            None => state.planner.on_no_response(now, peer),
        });
    }

    /// Builds the report for a peer that requested one.
    pub(crate) fn report_part(&self, scope: ReportScope) -> Part {
        let now = Instant::now();
        let report = self.with_freshness(|state| {
            state.planner.on_report_request(now, scope);
            state.tracker.report_for(now, scope)
        });
        Part {
            kind: REPORT_PART,
            body: report.to_bytes().into(),
        }
    }
}
