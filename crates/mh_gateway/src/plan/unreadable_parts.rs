use std::collections::BTreeSet;

use mh_config::KeyHash;
use serde::{Deserialize, Serialize};

/// Parts of a plan that could not be read. Requests that depend on them are refused as not run; everything else is in
/// force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableParts {
    /// Whether there are routes with unknown host or prefix, to which an unmatched request may belong.
    pub routes: bool,
    /// Whether there are organisations with unknown keys, to which an unknown key may belong.
    pub orgs: bool,
    /// Keys of organisations of which only the keys could be read.
    pub keys: BTreeSet<KeyHash>,
}

impl UnreadableParts {
    /// Returns whether a key may belong to an organisation that could not be read.
    pub fn may_hold(&self, key: &str) -> bool {
        self.orgs || (!self.keys.is_empty() && self.keys.contains(&KeyHash::of(key)))
    }
}
