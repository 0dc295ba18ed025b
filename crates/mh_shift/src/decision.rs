use crate::{Fraction, TakeBackReason};

/// Next change to the shift that a VM proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No change.
    Hold,
    /// Raise the share to this value.
    StepTo(Fraction),
    /// Finish the shift by writing `Done`.
    Finish,
    /// Take the shift back; this VM already sends nothing to the new version.
    TakeBack(TakeBackReason),
}
