use std::collections::BTreeSet;

use mh_config::KeyHash;
use serde::{Deserialize, Serialize};

/// Parts of a plan that could not be read. What needs them is refused as not run, and everything else is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// Whether there are routes of which host or prefix is not known, so that a request without a route may be theirs.
    pub routes: bool,
    /// Whether there are organisations whose keys are not known, so that an unknown key may be theirs.
    pub orgs: bool,
    /// Keys of organisations that cannot be read otherwise.
    pub keys: BTreeSet<KeyHash>,
}

impl Unreadable {
    /// Whether a key may belong to an organisation that could not be read.
    pub fn may_hold(&self, key: &str) -> bool {
        self.orgs || (!self.keys.is_empty() && self.keys.contains(&KeyHash::of(key)))
    }
}
