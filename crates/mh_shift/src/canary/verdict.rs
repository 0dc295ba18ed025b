use std::fmt;

/// What the evidence of a [`Canary`](super::Canary) says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little evidence.
    Open,
    /// No fault was seen.
    Good,
    /// Too many answers were bad.
    Failing,
    /// Answers took too long.
    Slow,
}

impl Verdict {
    /// Whether the version must be taken back.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Good => "good",
            Self::Failing => "failing",
            Self::Slow => "slow",
        })
    }
}
