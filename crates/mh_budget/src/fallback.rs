use std::sync::atomic::{AtomicU64, Ordering};

use mh_types::VmName;
use smallvec::SmallVec;

/// Maximum number of VMs that the request path can choose from.
pub(crate) const MAX_TARGETS: usize = 4;

/// A VM that may be asked to decide on a request.
#[derive(Debug)]
pub(crate) struct Target {
    pub vm: VmName,
    /// Estimate of the whole tokens that the VM can spare.
    pub credit: AtomicU64,
}

impl Target {
    pub fn new(vm: VmName, credit: u64) -> Self {
        Self {
            vm,
            credit: AtomicU64::new(credit),
        }
    }

    pub fn credit(&self) -> u64 {
        self.credit.load(Ordering::Relaxed)
    }

    /// Deducts `n` tokens from the credit; returns false if the credit is smaller.
    fn spend(&self, n: u32) -> bool {
        let spend = |credit: u64| credit.checked_sub(u64::from(n));
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}

/// VMs that the request path asks when this VM's own tokens do not suffice.
#[derive(Debug)]
pub(crate) enum Fallback {
    /// No VM, as for the owner of an undivided budget.
    Nobody,
    /// The owner of an undivided budget.
    Owner(VmName),
    /// VMs that may have tokens to spare.
    Peers(SmallVec<[Target; MAX_TARGETS]>),
}

impl Fallback {
    /// VM to ask for `n` tokens; deducts them from its credit.
    pub fn target(&self, n: u32) -> Option<&VmName> {
        match self {
            Self::Nobody => None,
            Self::Owner(vm) => Some(vm),
            Self::Peers(targets) => targets.iter().find(|target| target.spend(n)).map(|target| &target.vm),
        }
    }

    /// Sets the estimate of the tokens that `vm` can spare.
    pub fn set_credit(&self, vm: &VmName, credit: u64) {
        if let Self::Peers(targets) = self
            && let Some(target) = targets.iter().find(|target| target.vm == *vm)
        {
            target.credit.store(credit, Ordering::Relaxed);
        }
    }
}
