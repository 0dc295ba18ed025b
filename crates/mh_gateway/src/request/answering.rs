use mh_edge::{Connection, Ending};
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

impl Ending for Answering {
    fn whole(self: Box<Self>) {
        if let Some(keep_for) = self.keep_for {
            self.connection.give_back_for(keep_for);
        }
        self.placed.done(Instant::now(), self.outcome);
    }

    fn cut(self: Box<Self>, _code: Code) {
        self.placed.done(Instant::now(), Outcome::Failed);
    }
}
