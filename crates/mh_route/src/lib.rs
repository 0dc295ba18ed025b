//! Choice of the backend server for a request.
//!
//! A [`Pool`] holds what one VM knows about the servers of one service. [`Pool::pick`] chooses a server: own failure
//! domain first, then own region, then the others by predicted wait. What the VM itself observed outranks what
//! servers report. The request path uses atomics only; a change of the server list makes a new pool that shares the
//! observations of the servers that stay.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_route::prelude::*;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let home = Home { domain: "maine-a".into(), region: "maine".into() };
//! let server = ServerSpec {
//!     name: "stock-1".into(),
//!     addr: "127.0.0.1:8001".parse().expect("a literal address"),
//!     domain: "maine-a".into(),
//!     region: "maine".into(),
//!     version: "v1".into(),
//!     slots: 4,
//!     connections: 330,
//! };
//! let pool = Pool::new(&home, &[server], now);
//!
//! let pick = pool.pick(now, &Ask::default(), 7).expect("the server is idle");
//! assert_eq!(pick.spec().name.as_str(), "stock-1");
//! pick.done(now, Outcome::Answered { status: 200, latency: Duration::from_millis(9) });
//! ```

mod ask;
mod breaker;
mod charge;
mod clock;
mod entry;
pub mod fair;
mod home;
mod latency;
mod load_report;
mod mark;
mod no_server;
pub mod objects;
mod outcome;
mod pick;
mod place;
mod pool;
mod rank;
mod retry_budget;
mod seen;
mod server_spec;
mod share;
mod shared;
mod tier;
mod view;
mod window_count;

pub use ask::Ask;
pub use charge::Charge;
pub use home::Home;
pub use load_report::LoadReport;
pub use mark::Mark;
pub use no_server::NoServer;
pub use outcome::Outcome;
pub use pick::Pick;
pub use pool::Pool;
pub use retry_budget::RetryBudget;
pub use server_spec::ServerSpec;
pub use share::Share;
pub use tier::Tier;
pub use view::{DomainView, PoolView, ServerState, ServerView};

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Ask, Charge, Home, LoadReport, Mark, NoServer, Outcome, Pick, Pool, RetryBudget, ServerSpec, Share,
    };
}
