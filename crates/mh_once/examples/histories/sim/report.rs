/// Results of one history, or the sum over several.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<String>,
    pub operations: usize,
    pub attempts: usize,
    pub executed: usize,
    /// Operations for which a caller got the answer.
    pub ended_answered: usize,
    /// Operations without an answer for which a caller got "unknown" or no reply.
    pub ended_unknown: usize,
    /// Operations for which every request was refused as not run.
    pub ended_not_run: usize,
    /// Operations that ended unknown although none of their requests ran.
    pub unknown_not_executed: usize,
    pub claims: usize,
    pub table_writes: usize,
    /// Replies by result code; 0 is an answer.
    pub codes: std::collections::BTreeMap<u16, usize>,
}

impl Report {
    pub fn add(&mut self, other: Self) {
        self.violations.extend(other.violations);
        self.operations += other.operations;
        self.attempts += other.attempts;
        self.executed += other.executed;
        self.ended_answered += other.ended_answered;
        self.ended_unknown += other.ended_unknown;
        self.ended_not_run += other.ended_not_run;
        self.unknown_not_executed += other.unknown_not_executed;
        self.claims += other.claims;
        self.table_writes += other.table_writes;
        other
            .codes
            .into_iter()
            .for_each(|(code, n)| *self.codes.entry(code).or_default() += n);
    }
}
