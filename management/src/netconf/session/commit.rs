//! `commit`: of the session's candidate, at once or until it is confirmed, or as that confirmation.

use kestreltide_datastore::Rights;
use kestreltide_datastore::commit_coordinator::ConfirmedCommit;
use kestreltide_yang::xml::Element;

use super::operations::text;
use super::rpc_error::RpcError;
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;

/// Seconds: how long a commit waits to be confirmed where nothing is said (RFC 6241, section 8.4.5.1), and at most.
const CONFIRM: [f64; 2] = [600.0, 86_400.0];

impl Session {
    pub(super) fn commit(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let persist_id = text(operation, "persist-id");
        let confirm = match operation.child("confirmed") {
            None => None,
            Some(_) => {
                let value = text(operation, "confirm-timeout");
                let timeout = match &value {
                    None => Some(CONFIRM[0]),
                    Some(value) => value
                        .parse::<u32>()
                        .ok()
                        .map(f64::from)
                        .filter(|time| (1.0..=CONFIRM[1]).contains(time)),
                };
                let invalid = || {
                    let expected = format!("1 to {} seconds", CONFIRM[1]);
                    vec![RpcError::invalid(
                        "confirm-timeout",
                        "is out of range",
                        value.as_deref().unwrap_or_default(),
                        &expected,
                    )]
                };
                Some(ConfirmedCommit {
                    timeout: timeout.ok_or_else(invalid)?,
                    persist_id: text(operation, "persist"),
                })
            }
        };
        let published = commit_service.published.load();
        let changed = self
            .candidate
            .as_ref()
            .is_some_and(|candidate| !candidate.is_unchanged());
        // Without anything to commit it confirms, where something waits for that.
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
