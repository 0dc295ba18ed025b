use mh_edge::{BodyObserver, Connection};
use mh_route::Outcome;
use mh_route::objects::Placement;
use mh_types::Code;
use tokio::time::Instant;

/// Server and connection of a long answer whose remainder is still being streamed to the caller.
#[derive(Debug)]
pub(super) struct StreamedAnswer {
    pub(super) connection: Connection,
    pub(super) placement: Placement,
    pub(super) outcome: Outcome,
    pub(super) reuse_for: Option<std::time::Duration>,
}

impl BodyObserver for StreamedAnswer {
    fn on_complete(self: Box<Self>) {
        if let Some(reuse_for) = self.reuse_for {
            self.connection.release_for(reuse_for);
        }
        self.placement.done(Instant::now(), self.outcome);
    }

    fn on_abort(self: Box<Self>, _code: Code) {
        self.placement.done(Instant::now(), Outcome::Failed);
    }
}
