use std::time::Duration;

use mh_admin::{AdminError, ChangeReply, SetRequest};
use mh_config::{Change, ChangeRow, Doc, DocPath, FORMAT};
use mh_platform::{Commit, CommitOutcome, Expect, PlatformError, Row, Write, commit_with_retries};
use mh_types::{Code, Event, Revision, emit};
use tokio::time::Instant;

use crate::Node;
use crate::freshness::ROSTER_PATH;
use crate::settings_store::{HEAD_PATH, Head, doc_path, head_value, log_path};

/// Maximum attempts of a commit that conflicts with changes of other paths.
const MAX_COMMIT_ATTEMPTS: u32 = 20;
/// Maximum attempts of a commit with an unknown outcome before that is reported to the operator.
const MAX_RESOLVE_ATTEMPTS: u32 = 6;
/// Maximum wait for a change to be accepted before the answer reports that it is not accepted yet.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks of which VMs hold a change.
const ACCEPTANCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Commit whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedCommit {
    revision: Revision,
    commit: Commit,
    write_id: String,
}

impl Node {
    /// Commits an operator's change and waits for it to be accepted.
    pub(crate) async fn change(&self, req: SetRequest) -> Result<ChangeReply, AdminError> {
        if req.path == ROSTER_PATH {
            return Err(AdminError::new(
                Code::PathInvalid,
                "the roster is written by the VMs themselves",
            ));
        }
        let revision = self.commit(req).await?;
        Ok(self.await_acceptance(revision).await)
    }

    /// Commits a change and returns its revision.
    pub(crate) async fn commit(&self, req: SetRequest) -> Result<Revision, AdminError> {
        let path = DocPath::parse(&req.path)?;
        let change = match &req.doc {
            Some(json) => Change::set(path.clone(), Doc::from_json(&path, json)?),
            None => Change::remove(path.clone()),
        };
        let write_id = hex::encode(rand::random::<[u8; 16]>());
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            if let Some(revision) = self.try_commit(&req, &path, &change, &write_id).await? {
                emit!(Event::ChangeCommitted, revision = revision, path = path, by = req.by);
                return Ok(revision);
            }
        }
        Err(AdminError::new(
            Code::RevisionConflict,
            "too many changes at the same time; try again",
        ))
    }

    /// Attempts a commit once; returns `None` if a change of another path was committed first.
    async fn try_commit(
        &self,
        req: &SetRequest,
        path: &DocPath,
        change: &Change,
        write_id: &str,
    ) -> Result<Option<Revision>, AdminError> {
        let head = self.catch_up().await.map_err(|e| platform_error(&e))?;
        let row = self
            .store
            .table
            .read(&doc_path(path.as_str()))
            .await
            .map_err(|e| platform_error(&e))?;
        let found = row
            .as_ref()
            .map(|row| ChangeRow::decode(path.as_str(), &row.value))
            .transpose()?;
        check_revision(req.if_revision, path, found.as_ref())?;
        // A restored table may lack changes that other VMs hold; they write them back first.
        let known = self.freshness.lock().tracker.highest_committed();
        {
            let local_settings = self.local_settings.lock();
            if local_settings.revision() != head.revision || known > head.revision {
                return Ok(None);
            }
            local_settings.settings().check(change)?;
        }
        let revision = head.revision.next();
        let stored = ChangeRow {
            format: FORMAT,
            path: path.to_string(),
            revision,
            created: found.map_or(revision, |found| found.created),
            write_id: write_id.to_owned(),
            by: req.by.clone(),
            at: jiff::Timestamp::now().to_string(),
            doc: change
                .doc()
                .and_then(|doc| serde_json::value::RawValue::from_string(doc.to_json()).ok()),
        };
        let commit = build_commit(path, &stored, row.as_ref(), head);
        match commit_with_retries(&*self.store.table, &commit, MAX_RESOLVE_ATTEMPTS).await {
            Ok(CommitOutcome::Done { .. }) => {}
            // The conflict may be with an earlier attempt of the same commit whose reply was lost.
            Ok(CommitOutcome::Conflict { .. }) => {
                if !self.is_own_commit(revision, write_id).await? {
                    return Ok(None);
                }
            }
            Err(e) => {
                if e.current_context().0 == Code::OutcomeUnknown {
                    self.with_freshness(|state| state.tracker.on_commit_unknown(revision));
                    self.unresolved.lock().push(UnresolvedCommit {
                        revision,
                        commit,
                        write_id: write_id.to_owned(),
                    });
                }
                return Err(platform_error(&e));
            }
        }
        // The change is committed in the table; if this read fails, the freshness loop reads again.
        let _ = self.catch_up().await;
        Ok(Some(revision))
    }

    /// Resolves commits whose outcome is unknown by sending each of them again.
    ///
    /// Until the outcome is known, this VM cannot be current: the change may be in force elsewhere.
    pub(crate) async fn resolve_commits(&self) {
        let pending = std::mem::take(&mut *self.unresolved.lock());
        for unresolved in pending {
            let UnresolvedCommit {
                revision,
                commit,
                write_id,
            } = &unresolved;
            let committed = match self.store.table.commit(commit).await {
                Ok(CommitOutcome::Done { .. }) => Ok(true),
                Ok(CommitOutcome::Conflict { .. }) => self.is_own_commit(*revision, write_id).await,
                Err(e) => Err(platform_error(&e)),
            };
            match committed {
                Ok(committed) => {
                    self.with_freshness(|state| state.tracker.on_commit_resolved(*revision, committed));
                }
                Err(_) => self.unresolved.lock().push(unresolved),
            }
        }
    }

    async fn is_own_commit(&self, revision: Revision, write_id: &str) -> Result<bool, AdminError> {
        let row = self.store.table.read(&log_path(revision)).await;
        let row = row.map_err(|_| {
            AdminError::new(
                Code::OutcomeUnknown,
                format!("the commit's outcome is unknown; search the history for write id {write_id}"),
            )
        })?;
        let Some(row) = row else { return Ok(false) };
        Ok(ChangeRow::decode(&row.path, &row.value)?.write_id == write_id)
    }

    async fn await_acceptance(&self, revision: Revision) -> ChangeReply {
        let deadline = Instant::now() + ACCEPTANCE_TIMEOUT;
        loop {
            self.heartbeat_now.notify_one();
            let missing = self.vms_lacking(revision);
            let accepted = self.freshness.lock().tracker.acceptance(revision).is_accepted();
            if (accepted && missing.is_empty()) || Instant::now() >= deadline {
                return ChangeReply {
                    revision,
                    accepted,
                    missing,
                };
            }
            tokio::time::sleep(ACCEPTANCE_POLL_INTERVAL).await;
        }
    }

    /// Returns the listed VMs that have not yet reported that they hold `revision`.
    fn vms_lacking(&self, revision: Revision) -> Vec<String> {
        let peers = self.peers.lock();
        let lacks = |name| {
            peers
                .heartbeats
                .get(name)
                .is_none_or(|heartbeat| heartbeat.revision < revision)
        };
        peers
            .others(&self.cfg.vm)
            .filter(|vm| lacks(&vm.name))
            .map(|vm| vm.name.to_string())
            .collect()
    }
}

fn check_revision(expected: Option<Revision>, path: &DocPath, found: Option<&ChangeRow>) -> Result<(), AdminError> {
    let actual = found.map_or(Revision::ZERO, |found| found.revision);
    match expected {
        Some(expected) if expected != actual => {
            let actual_state = found.map_or_else(
                || "no document exists".to_owned(),
                |found| {
                    let content = found.doc.as_ref().map_or("removed", |doc| doc.get());
                    format!(
                        "it has revision {actual}, written by {:?} at {}: {content}",
                        found.by, found.at
                    )
                },
            );
            Err(AdminError::new(
                Code::RevisionConflict,
                format!("{path}: expected revision {expected}, but {actual_state}"),
            ))
        }
        _ => Ok(()),
    }
}

fn build_commit(path: &DocPath, stored: &ChangeRow, row: Option<&Row>, head: Head) -> Commit {
    let expect = |version: Option<u64>| version.map_or(Expect::Absent, Expect::Version);
    let doc_path = doc_path(path.as_str());
    let doc_expect = expect(row.map(|row| row.version));
    let doc = match &stored.doc {
        Some(_) => Write::set(doc_path, stored.encode(), doc_expect),
        None => Write::remove(doc_path, doc_expect),
    };
    Commit::new()
        .with(Write::set(HEAD_PATH, head_value(stored.revision), expect(head.version)))
        .with(Write::set(log_path(stored.revision), stored.encode(), Expect::Absent))
        .with(doc)
}

fn platform_error(e: &error_stack::Report<PlatformError>) -> AdminError {
    AdminError::new(
        e.current_context().0,
        format!("{e:?}").lines().next().unwrap_or_default(),
    )
}
