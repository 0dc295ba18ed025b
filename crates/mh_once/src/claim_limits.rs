use std::time::Duration;

/// Limits of a [`ClaimBatcher`](crate::ClaimBatcher).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Minimum time between two writes (transactions) to the platform table by this VM.
    pub write_interval: Duration,
    /// Maximum number of claims in one write.
    pub max_batch: usize,
    /// Maximum number of claims queued or in flight; further claims are refused as not run.
    pub max_pending: usize,
    /// Maximum time a claim is queued before its write; after that it is refused as not run.
    pub max_wait: Duration,
}

impl Default for ClaimLimits {
    /// 50 ms between writes, 64 claims per write, 4,096 pending claims, 2 s maximum wait.
    ///
    /// Ten VMs with at most 20 writes/s each stay within the platform table's capacity of several hundred writes/s.
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(50),
            max_batch: 64,
            max_pending: 4096,
            max_wait: Duration::from_secs(2),
        }
    }
}
