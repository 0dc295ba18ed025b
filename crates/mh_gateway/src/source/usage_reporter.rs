use std::fmt;

use mh_platform::BoxFuture;
use mh_types::VmName;
use mh_usage::{CallOutcome, Token, WindowRecord};

/// Reports usage to the platform.
pub trait UsageReporter: fmt::Debug + Send + Sync {
    /// Sends the report of one window in the name of `holder`. A call without a response may still take effect.
    fn report<'a>(&'a self, holder: &'a VmName, token: Token, record: &'a WindowRecord) -> BoxFuture<'a, CallOutcome>;
}
