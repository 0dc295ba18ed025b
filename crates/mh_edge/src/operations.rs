mod answer;
mod links;

use std::sync::Arc;

use mh_once::{
    Attempt, BeginOutcome, ClaimStep, Decision, Fingerprint, OpId, OpIdIssuer, OpTable, Owner, Ready, Router,
    TableLimits, WaitOutcome,
};
use mh_peer::{Operation, OperationAnswer};
use mh_types::{Code, Run};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

pub(crate) use answer::{MAX_ANSWERS_BYTES, read_answer, to_response};
pub use links::{BoxFuture, EdgeLinks};

use crate::operations::answer::to_operation_answer;
use crate::refusal::Refusal;

/// Runs each operation of an at-most-once route at most once and stores its answer.
#[derive(Debug)]
pub struct Operations {
    owner: Owner,
    table: OpTable,
    issuer: OpIdIssuer,
}

/// Sends an operation to a backend server at most once.
pub(crate) trait OperationRunner: Send + 'static {
    /// Sends the operation; an attempt that fails before sending is abandoned as not run.
    fn run(self, attempt: Attempt<Ready>) -> impl Future<Output = Result<Arc<mh_once::Answer>, Refusal>> + Send;
}

impl Operations {
    /// Creates the operation table and the id issuer of one incarnation of a VM.
    pub fn new(owner: Owner, limits: TableLimits) -> Self {
        Self {
            table: OpTable::new(owner.clone(), limits),
            issuer: OpIdIssuer::new(owner.clone()),
            owner,
        }
    }

    /// Issues an id for an operation that this VM owns.
    pub fn issue(&self, now: Instant) -> String {
        self.issuer.issue(now, rand::random()).to_string()
    }

    /// Returns the number of stored operations and the bytes of their stored answers.
    pub fn usage(&self) -> mh_once::TableUsage {
        self.table.usage()
    }

    /// Removes operations whose ids have expired.
    pub fn on_tick(&self, now: Instant) {
        self.table.on_tick(now);
    }

    /// Runs an operation received from a caller at most once: on this VM, or on the VM that owns it.
    pub(crate) async fn execute(
        &self,
        links: Option<&Arc<dyn EdgeLinks>>,
        operation: Operation,
        runner: impl OperationRunner,
    ) -> OperationAnswer {
        let unreachable = || refused(Code::OwnerUnreachable, Run::Unknown);
        let id = match OpId::parse(&operation.id, operation.org.as_ref()) {
            Ok(id) => id,
            Err(e) => return refused(e.code(), Run::NotRun),
        };
        match Router::decide(self.owner.vm(), self.owner.incarnation(), &id) {
            Decision::Local => self.run(&id, &operation, runner).await,
            Decision::Forward(vm) => match links {
                Some(links) => links.forward(&vm, operation).await.unwrap_or_else(|_| unreachable()),
                None => unreachable(),
            },
            Decision::Claim => {
                let (OpId::Caller(caller_id), Some(links)) = (&id, links) else {
                    return refused(Code::TableUnreachable, Run::NotRun);
                };
                let claimed = tokio::time::timeout(operation.deadline, links.claim(caller_id)).await;
                // On a timeout the outcome of the claim is unknown, but this request has not run.
                match claimed.unwrap_or(ClaimStep::Refuse(Code::TableTimeout, Run::NotRun)) {
                    ClaimStep::Local(row) => {
                        self.run(
                            &id,
                            &Operation {
                                claim: Some(row),
                                ..operation
                            },
                            runner,
                        )
                        .await
                    }
                    ClaimStep::Forward(row) => {
                        let vm = row.vm.clone();
                        let operation = Operation {
                            claim: Some(row),
                            ..operation
                        };
                        links.forward(&vm, operation).await.unwrap_or_else(|_| unreachable())
                    }
                    ClaimStep::Refuse(code, run) => refused(code, run),
                    ClaimStep::Create(_) | ClaimStep::ReadBack => refused(Code::OutcomeUnknown, Run::NotRun),
                }
            }
            Decision::Refuse(code, run) => refused(code, run),
        }
    }

    /// Runs an operation that another VM forwarded at most once.
    pub(crate) async fn execute_forwarded(
        &self,
        operation: Operation,
        runner: impl OperationRunner,
    ) -> OperationAnswer {
        let id = match OpId::parse(&operation.id, operation.org.as_ref()) {
            Ok(id) => id,
            Err(e) => return refused(e.code(), Run::NotRun),
        };
        let (vm, incarnation) = (self.owner.vm(), self.owner.incarnation());
        match Router::decide_forwarded(vm, incarnation, &id, operation.claim.as_ref()) {
            Decision::Local => self.run(&id, &operation, runner).await,
            Decision::Refuse(code, run) => refused(code, run),
            Decision::Forward(_) | Decision::Claim => refused(Code::OwnerUnreachable, Run::Unknown),
        }
    }

    fn begin(&self, id: &OpId, operation: &Operation, fingerprint: Fingerprint) -> BeginOutcome {
        let now = Instant::now();
        match (id, &operation.claim) {
            (OpId::Caller(id), Some(row)) => self.table.begin_claimed(now, id, row, fingerprint),
            _ => self.table.begin(now, id, fingerprint),
        }
    }

    async fn run(&self, id: &OpId, operation: &Operation, runner: impl OperationRunner) -> OperationAnswer {
        let body_digest = Sha256::digest(&operation.body);
        let fingerprint = Fingerprint::new(
            operation.org.as_ref(),
            &operation.method,
            &operation.target,
            &body_digest,
        );
        let until = Instant::now() + operation.deadline;
        loop {
            let begin = self.begin(id, operation, fingerprint);
            if let Some((code, run)) = begin.refusal() {
                return refused(code, run);
            }
            match begin {
                BeginOutcome::Begin(attempt) => {
                    // The task continues when the caller disconnects, so that a repeated request finds the answer.
                    let task = tokio::spawn(runner.run(attempt));
                    return match task.await {
                        Ok(Ok(answer)) => to_operation_answer(&answer),
                        Ok(Err(refusal)) => refused(refusal.code(), refusal.run()),
                        Err(_) => refused(Code::Internal, Run::Unknown),
                    };
                }
                BeginOutcome::Done(answer) => return to_operation_answer(&answer),
                BeginOutcome::InProgress(waiter) => match tokio::time::timeout_at(until, waiter.wait()).await {
                    Ok(WaitOutcome::Answer(answer)) => return to_operation_answer(&answer),
                    Ok(WaitOutcome::Unknown) => return refused(Code::OperationUnresolved, Run::Unknown),
                    Ok(WaitOutcome::Abandoned) => {}
                    Err(_) => return refused(Code::OperationInProgress, Run::Unknown),
                },
                _ => return refused(Code::Internal, Run::Unknown),
            }
        }
    }
}

fn refused(code: Code, run: Run) -> OperationAnswer {
    OperationAnswer::Refused { code, run }
}
