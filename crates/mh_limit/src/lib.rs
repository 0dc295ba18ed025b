//! Keeps to the request rates that backend servers state, over all VMs together.
//!
//! A server in need states in its answers how many requests per second it accepts from all VMs together. In a large
//! fleet that is less than one request per VM in several seconds, so the rate can neither be divided evenly nor be
//! estimated from what one VM observes.
//!
//! Instead, one VM admits the requests for a server: the *owner*, chosen by rendezvous hashing among the live VMs of the
//! server's failure domain. It holds a token bucket, and every other VM asks it before each request to that server. The
//! answer "full" comes with the time until the next request, so that a VM doesn't ask again before, and callers get
//! a true `Retry-After` if no server is left.
//!
//! - Every listed VM has an equal part of each limit, and the VMs that see each other pool their parts at the owner. The
//!   parts of a fleet that is split add up to the limit at most, with no agreement between the halves.
//! - A VM that becomes the owner starts with an empty bucket, and only after the others had time to notice. So do a
//!   restarted VM and one that was paused.
//! - A lost message refuses a request and never admits a second one.
//! - Limits spread between the VMs by gossip, and each VM repairs what it missed by comparing digests. Only an answer
//!   to a request that was sent after the last statement ends or raises a limit.
//!
//! [`Limits`] decides and does no I/O; its user sends an [`Ask`] to the owner and each [`Msg`] to its receiver.
//!
//! ```
//! use mh_limit::{Admission, LimitVm, Limits, Stated, Target};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let start = Instant::now();
//! let vm = |name: &str| LimitVm { vm: name.into(), domain: "maine-a".into(), region: "maine".into() };
//! let mut limits = Limits::new("vm-1".into());
//! limits.set_vms(start, &[vm("vm-1")], 1);
//!
//! let now = start + Duration::from_secs(2);
//! limits.on_answer(now, &"stock-1".into(), 1, start, Stated::from_values([Some("4")]));
//!
//! let target = Target { server: "stock-1".into(), run: 1, domain: "maine-a".into(), region: "maine".into() };
//! // The bucket is empty at first; at four requests per second, the next request may be sent after 250 ms.
//! assert_eq!(limits.admit(now, &target), Admission::Full(Duration::from_millis(250)));
//! assert_eq!(limits.admit(now + Duration::from_millis(250), &target), Admission::Admitted);
//! ```

mod admission;
mod entry;
mod limit_change;
mod limit_view;
mod limits;
mod msg;
mod pacer;
mod server_limit;
mod stated;
mod statement;
mod target;
mod view;
mod vm;

pub use admission::Admission;
pub use limit_change::LimitChange;
pub use limit_view::LimitView;
pub use limits::{Limits, Outbox};
pub use msg::{Ask, Msg, Reply, Verdict};
pub use server_limit::{InvalidLimit, ServerLimit};
pub use stated::Stated;
pub use statement::Statement;
pub use target::Target;
pub use vm::LimitVm;
