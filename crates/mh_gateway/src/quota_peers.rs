use std::fmt;

use mh_budget::Answer;
use mh_platform::BoxFuture;
use mh_types::{OrgName, VmName};

/// Access to the VMs that may have some of an organisation's quota left.
pub trait QuotaPeers: fmt::Debug + Send + Sync {
    /// Asks `vm` to take one request from its share; `None` if it does not answer in time.
    fn ask<'a>(&'a self, vm: &'a VmName, org: &'a OrgName) -> BoxFuture<'a, Option<Answer>>;
}
