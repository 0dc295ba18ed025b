use std::fmt;

use mh_limit::{Ask, Reply};
use mh_platform::BoxFuture;
use mh_types::VmName;

/// Access to the VMs that admit requests for servers with a limit.
pub trait LimitPeers: fmt::Debug + Send + Sync {
    /// Asks `vm` to admit one request; `None` if it does not answer in time.
    fn ask<'a>(&'a self, vm: &'a VmName, ask: &'a Ask) -> BoxFuture<'a, Option<Reply>>;
}
