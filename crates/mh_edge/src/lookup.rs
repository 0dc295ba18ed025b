use serde::Serialize;

use crate::{LiveState, VmChoice};

/// URL path of the look-up.
pub const LOOKUP_PATH: &str = "/.well-known/mangohook/lookup";

/// Maximum operation ids in one response.
const MAX_OPERATION_IDS: usize = 100;

/// Body of a look-up response: the VMs that the caller may use.
#[derive(Debug, Serialize)]
pub struct LookupResponse<'a> {
    /// Time for which the response may be used, in seconds.
    pub lifetime_s: u64,
    /// VMs in order of preference; a caller tries the next one when one does not respond.
    pub vms: &'a [VmChoice],
    /// Operation ids, as many as `?operations=N` requested, up to 100.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub operation_ids: Vec<String>,
}

impl<'a> LookupResponse<'a> {
    pub(crate) fn new(live: &'a LiveState, lifetime_s: u64, operation_ids: Vec<String>) -> Self {
        Self {
            lifetime_s,
            vms: &live.vms,
            operation_ids,
        }
    }
}

/// Returns the number of operation ids that the query of a look-up requests.
pub(crate) fn requested_id_count(query: Option<&str>) -> usize {
    let requested = query
        .into_iter()
        .flat_map(|query| query.split('&'))
        .find_map(|pair| pair.strip_prefix("operations="));
    requested
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
        .min(MAX_OPERATION_IDS)
}
