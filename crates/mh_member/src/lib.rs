//! Membership and failure detection between VMs.
//!
//! Each VM probes a few successors on the hash ring of its own failure domain. A VM that does not answer becomes
//! suspect only if another VM could not reach it either, and dead only if it does not refute the suspicion in time.
//!
//! VMs of other domains are not probed. The delegates of a domain advance its heartbeat counter, named *beat* in
//! messages and in the state dump, and exchange it with a few other domains. All VMs of a domain whose counter stands
//! still are considered dead, and they recover together once the counter advances again.
//!
//! Membership updates are piggybacked on probes and answers, and digests of each domain detect updates that were
//! missed. The cost of a VM does not grow with the fleet, except for one digest per domain.
//!
//! [`Membership`] does no I/O: the caller passes in the time, random numbers and received messages, and sends the
//! messages that it returns.
//!
//! ```
//! use mh_member::prelude::*;
//! use mh_types::prelude::*;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let new = |vm: &str, addr| {
//!     let cfg = Config { addr, ..Config::default() };
//!     let (domain, region) = (DomainName::from("maine-a"), RegionName::from("maine"));
//!     Membership::new(VmName::from(vm), Incarnation(1), domain, region, now, cfg)
//! };
//! let mut first = new("maine-a-1", None);
//! let mut second = new("maine-a-2", None);
//! first.add_seed_vm(now, &second.list_entry());
//!
//! let later = now + Config::default().probe_interval;
//! for sent in first.on_tick(later, 7) {
//!     second.on_msg(later, &VmName::from("maine-a-1"), sent.msg);
//! }
//! assert_eq!(second.view().alive().count(), 2);
//! ```

mod body;
mod config;
mod domain_state;
mod domain_summary;
mod gossip;
mod hash;
mod health;
mod list_updates;
mod member;
mod member_state;
mod membership;
mod merge;
mod msg;
mod outgoing;
mod pending_probe;
mod probing;
mod record;
mod view;
mod view_dump;
mod vm_list;

pub use body::Body;
pub use config::Config;
pub use domain_state::DomainState;
pub use domain_summary::DomainSummary;
pub use health::Health;
pub use member::Member;
pub use member_state::MemberState;
pub use membership::{Membership, Outbox};
pub use msg::Msg;
pub use outgoing::Outgoing;
pub use record::Record;
pub use view::View;
pub use vm_list::{VmList, VmListEntry};

/// Types that most callers need.
pub mod prelude {
    pub use crate::{Config, Member, MemberState, Membership, Msg, View, VmList, VmListEntry};
}
