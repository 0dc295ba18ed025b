/// Bound on the volume of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimit {
    /// Lines a second of level info or below.
    pub info_per_s: u32,
    /// Lines a second in all, so that faults are still told when requests fill the other part.
    pub all_per_s: u32,
}

impl Default for LineLimit {
    /// About two lines a request of a small VM in its busiest seconds; one line costs some 10 microseconds.
    fn default() -> Self {
        Self {
            info_per_s: 150,
            all_per_s: 200,
        }
    }
}
