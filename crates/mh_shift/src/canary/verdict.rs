use std::fmt;

/// Conclusion from the evidence of a [`Canary`](super::Canary).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little evidence; shown as `open`.
    Undecided,
    /// Enough answers and no fault.
    Good,
    /// Too many errors or timeouts.
    Failing,
    /// Responses took too long.
    Slow,
}

impl Verdict {
    /// Whether the shift must be taken back.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Undecided => "open",
            Self::Good => "good",
            Self::Failing => "failing",
            Self::Slow => "slow",
        })
    }
}
