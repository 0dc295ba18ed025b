use std::sync::Arc;
use std::time::Duration;

use mh_fresh::{ChangeSource, FetchRequest, Report, ReportScope};
use mh_peer::Part;
use mh_types::{Event, VmName, emit};
use tokio::time::Instant;

use crate::Node;
use crate::heartbeat::{ASK, REPORT};
use crate::node::lock;

/// Time between two looks at what has to be asked.
const TICK: Duration = Duration::from_millis(25);
/// Spread of the first read after a start, so that many VMs that start together do not read at once.
const START_SPREAD: Duration = Duration::from_millis(200);

/// Keeps the settings confirmed: asks the table and the other VMs what the planner wants asked.
pub(crate) async fn run(node: Arc<Node>) {
    tokio::time::sleep(START_SPREAD.mul_f64(rand::random())).await;
    // A failure here is mended by the planner below.
    let _ = node.read_head().await;
    let mut was_current = false;
    loop {
        let asks = node.with_currency(|state| state.fetch.plan(Instant::now(), &state.fresh, rand::random()));
        for ask in asks {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.ask(ask).await });
        }
        let is_current = lock(&node.currency).fresh.status(Instant::now()).is_current();
        if is_current != was_current {
            was_current = is_current;
            emit!(if is_current {
                Event::CurrentAgain
            } else {
                Event::NotCurrent
            });
        }
        tokio::time::sleep(TICK).await;
    }
}

impl Node {
    async fn ask(self: Arc<Self>, ask: FetchRequest) {
        match ask {
            FetchRequest::Head
            | FetchRequest::Changes {
                from: ChangeSource::Table,
                ..
            } => {
                // The planner backs off by itself after a failure.
                if self.read_head().await.is_ok() {
                    self.resolve_commits().await;
                }
            }
            FetchRequest::Changes {
                from: ChangeSource::Peer(peer),
                ..
            } => {
                if !self.fetch_from(&peer).await {
                    self.with_currency(|state| state.fetch.on_no_changes(&ChangeSource::Peer(peer)));
                }
            }
            FetchRequest::Report { peer, scope } => self.ask_report(&peer, scope).await,
        }
    }

    async fn read_head(&self) -> mh_platform::Result<()> {
        let read = self.catch_up().await;
        self.with_currency(|state| match &read {
            Ok(_) => state.fetch.on_table_read(),
            Err(_) => state.fetch.on_table_failure(Instant::now(), rand::random()),
        });
        read.map(|_| ())
    }

    async fn ask_report(&self, peer: &VmName, scope: ReportScope) {
        let addr = lock(&self.peers).addr_of(peer);
        let (Some(addr), Some(net)) = (addr, self.net.get()) else {
            return self.with_currency(|state| state.fetch.on_no_response(Instant::now(), peer));
        };
        let mut parts = self.parts();
        parts.push(Part {
            kind: ASK,
            body: postcard::to_stdvec(&scope).unwrap_or_default().into(),
        });
        let asked_at = Instant::now();
        let answer = net.exchange(addr, self.hello(), parts).await;
        let now = Instant::now();
        let report = answer.ok().filter(|answer| answer.from.vm == *peer).and_then(|answer| {
            self.hear(&answer, asked_at);
            let part = answer.parts.iter().find(|part| part.kind == REPORT)?;
            Report::from_bytes(&part.body)
                .inspect_err(|e| emit!(Event::PeerMessageInvalid, vm = peer, error = e))
                .ok()
        });
        self.with_currency(|state| match &report {
            Some(report) => {
                state.fresh.on_report(asked_at, now, report);
                state.fetch.on_response(peer, report.holding.held);
            }
            None => state.fetch.on_no_response(now, peer),
        });
    }

    /// The report for a peer that asked for one.
    pub(crate) fn report_part(&self, scope: ReportScope) -> Part {
        let now = Instant::now();
        let report = self.with_currency(|state| {
            state.fetch.on_report_request(now, scope);
            state.fresh.report_for(now, scope)
        });
        Part {
            kind: REPORT,
            body: report.to_bytes().into(),
        }
    }
}
