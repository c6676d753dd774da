//! The operation `commit` (RFC 6241, sections 8.3.4 and 8.4): commits the candidate of the session, at once or as a
//! confirmed commit, or confirms the pending commit.

use kestreltide_datastore::Rights;
use kestreltide_datastore::commit_coordinator::ConfirmedCommit;
use kestreltide_yang::xml::Element;

use super::operations::child_text;
use super::rpc_error::RpcError;
use super::{DatastoreOperation, Session, SessionAction};
use crate::commit_service::CommitServiceHandle;

/// The default of `confirm-timeout`, in seconds (RFC 6241, section 8.4.5.1).
const DEFAULT_CONFIRM_TIMEOUT_SECONDS: f64 = 600.0;
/// The maximum of `confirm-timeout`, in seconds.
const MAX_CONFIRM_TIMEOUT_SECONDS: f64 = 86_400.0;

impl Session {
    pub(super) fn commit(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        let persist_id = child_text(operation, "persist-id");
        let confirmed_commit = match operation.child("confirmed") {
            Some(_) => Some(parse_confirmed_commit(operation)?),
            None => None,
        };
        let status = commit_service.status.load();
        let changed = self
            .candidate
            .as_ref()
            .is_some_and(|candidate| !candidate.is_unchanged());
        // A final commit of an unchanged candidate confirms the pending commit.
        if !changed
            && confirmed_commit.is_none()
            && (status.pending.is_some() || persist_id.is_some())
        {
            return Ok(SessionAction::Perform(DatastoreOperation::ConfirmCommit {
                persist_id,
            }));
        }
        let candidate = self.candidate_mut(commit_service).clone();
        self.check_rights(
            candidate.base_tree(),
            &candidate.tree,
            rights,
            commit_service,
        )?;
        Ok(SessionAction::Perform(DatastoreOperation::Commit {
            candidate,
            confirmed_commit,
            persist_id,
        }))
    }
}

/// Parses `confirm-timeout` and `persist` of a confirmed commit (RFC 6241, section 8.4).
fn parse_confirmed_commit(operation: &Element) -> Result<ConfirmedCommit, Vec<RpcError>> {
    let value = child_text(operation, "confirm-timeout");
    let timeout = match &value {
        None => Some(DEFAULT_CONFIRM_TIMEOUT_SECONDS),
        Some(value) => value
            .parse::<u32>()
            .ok()
            .map(f64::from)
            .filter(|seconds| (1.0..=MAX_CONFIRM_TIMEOUT_SECONDS).contains(seconds)),
    };
    let invalid = || {
        let expected = format!("1 to {MAX_CONFIRM_TIMEOUT_SECONDS} seconds");
        vec![RpcError::invalid_value(
            "confirm-timeout",
            "is out of range",
            value.as_deref().unwrap_or_default(),
            &expected,
        )]
    };
    Ok(ConfirmedCommit {
        timeout: timeout.ok_or_else(invalid)?,
        persist_id: child_text(operation, "persist"),
    })
}
