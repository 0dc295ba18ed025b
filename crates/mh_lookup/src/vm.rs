use std::sync::Arc;

use crate::window_counter::WindowCounter;
use crate::{VmAvailability, VmSpec, rendezvous};

/// An entry VM in a table.
#[derive(Clone, Debug)]
pub(crate) struct Vm {
    pub(crate) spec: VmSpec,
    pub(crate) hash: u64,
    pub(crate) first_choices: Arc<WindowCounter>,
}

impl Vm {
    pub(crate) fn new(spec: VmSpec) -> Self {
        Self {
            hash: rendezvous::hash(spec.name.as_str().as_bytes()),
            spec,
            first_choices: Arc::default(),
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.spec.state == VmAvailability::Serving && self.spec.weight > 0
    }
}
