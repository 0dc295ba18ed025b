/// Counters of a [`BudgetHolder`](crate::BudgetHolder), all since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetHolderStats {
    /// Loan requests sent.
    pub loan_requests_sent: u64,
    /// Loan requests from other VMs that were answered.
    pub loan_requests_answered: u64,
    /// Received loans that were returned before their lease ended.
    pub loans_returned: u64,
    /// Granted loans that ended by lease expiry instead of a return.
    pub loans_expired: u64,
    /// Tokens dropped because they exceeded the burst after a change of share, in millionths.
    pub overflow_microtokens: u64,
}
