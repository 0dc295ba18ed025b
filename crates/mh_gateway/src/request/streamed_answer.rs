use mh_edge::{Connection, Ending};
use mh_route::Outcome;
use mh_route::objects::Placement;
use mh_types::Code;
use tokio::time::Instant;

/// Server and connection of a long answer whose remainder is still being streamed to the caller.
#[derive(Debug)]
pub(super) struct StreamedAnswer {
    pub(super) connection: Connection,
    pub(super) placed: Placement,
    pub(super) outcome: Outcome,
    pub(super) reuse_for: Option<std::time::Duration>,
}

impl Ending for StreamedAnswer {
    fn whole(self: Box<Self>) {
        if let Some(reuse_for) = self.reuse_for {
            self.connection.give_back_for(reuse_for);
        }
        self.placed.done(Instant::now(), self.outcome);
    }

    fn cut(self: Box<Self>, _code: Code) {
        self.placed.done(Instant::now(), Outcome::Failed);
    }
}
