use mh_edge::{BodyObserver, Connection};
use mh_route::Outcome;
use mh_route::objects::Placement;
use mh_types::Code;
use tokio::time::Instant;

/// A server and its connection while the rest of a long answer is passed on.
#[derive(Debug)]
pub(super) struct Answering {
    pub(super) connection: Connection,
    pub(super) placed: Placement,
    pub(super) outcome: Outcome,
    pub(super) keep_for: Option<std::time::Duration>,
}

impl BodyObserver for Answering {
    fn on_complete(self: Box<Self>) {
        if let Some(keep_for) = self.keep_for {
            self.connection.release_for(keep_for);
        }
        self.placed.done(Instant::now(), self.outcome);
    }

    fn on_abort(self: Box<Self>, _code: Code) {
        self.placed.done(Instant::now(), Outcome::Failed);
    }
}
