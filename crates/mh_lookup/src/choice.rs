use std::time::Duration;

use serde::Serialize;

use crate::VmSpec;

/// A VM that a caller may use.
///
/// Callers use the first choice and try the next one when it does not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Choice<'a> {
    /// The VM with its address and its weight relative to the other VMs of its site, for callers that distribute their
    /// requests.
    ///
    /// It is borrowed from the table, which avoids copies and reference counts that CPU cores would contend for.
    pub vm: &'a VmSpec,
    /// Time for which the caller may use the result.
    pub lifetime: Duration,
}
