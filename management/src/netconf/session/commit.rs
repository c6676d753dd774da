//! `commit` (RFC 6241, section 8.3.4): commits the candidate of the session, for good or until it is confirmed, or
//! confirms the pending commit.

use kestreltide_datastore::Rights;
use kestreltide_datastore::commit_coordinator::ConfirmedCommit;
use kestreltide_yang::xml::Element;

use super::operations::text;
use super::rpc_error::RpcError;
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;

/// The time to confirm a commit if the request has none, in seconds (RFC 6241, section 8.4.5.1).
const DEFAULT_CONFIRM_SECONDS: f64 = 600.0;
/// The longest time to confirm a commit, in seconds.
const MAX_CONFIRM_SECONDS: f64 = 86_400.0;

impl Session {
    pub(super) fn commit(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let persist_id = text(operation, "persist-id");
        let confirm = match operation.child("confirmed") {
            Some(_) => Some(confirmed_commit(operation)?),
            None => None,
        };
        let published = commit_service.status.load();
        let changed = self
            .candidate
            .as_ref()
            .is_some_and(|candidate| !candidate.is_unchanged());
        // Without a change it confirms the pending commit, if there is one.
        if !changed && confirm.is_none() && (published.pending.is_some() || persist_id.is_some()) {
            return Ok(Step::Perform(DatastoreOperation::Confirm { persist_id }));
        }
        let candidate = self.candidate(commit_service).clone();
        self.check_rights(
            candidate.base_tree(),
            &candidate.tree,
            rights,
            commit_service,
        )?;
        Ok(Step::Perform(DatastoreOperation::Commit {
            candidate,
            confirm,
            persist_id,
        }))
    }
}

/// The time and the id of a confirmed commit (RFC 6241, section 8.4).
fn confirmed_commit(operation: &Element) -> Result<ConfirmedCommit, Vec<RpcError>> {
    let value = text(operation, "confirm-timeout");
    let timeout = match &value {
        None => Some(DEFAULT_CONFIRM_SECONDS),
        Some(value) => value
            .parse::<u32>()
            .ok()
            .map(f64::from)
            .filter(|seconds| (1.0..=MAX_CONFIRM_SECONDS).contains(seconds)),
    };
    let invalid = || {
        let expected = format!("1 to {MAX_CONFIRM_SECONDS} seconds");
        vec![RpcError::invalid(
            "confirm-timeout",
            "is out of range",
            value.as_deref().unwrap_or_default(),
            &expected,
        )]
    };
    Ok(ConfirmedCommit {
        timeout: timeout.ok_or_else(invalid)?,
        persist_id: text(operation, "persist"),
    })
}
