//! Confirmed commits (gNMI extension `Commit`): the sessions that own pending commits, and their confirmation and
//! cancellation.

use std::sync::PoisonError;

use kestreltide_datastore::Key;
use kestreltide_datastore::commit_coordinator::SessionId;
use tonic::Status;

use super::GnmiService;
use super::errors::{commit_error_status, invalid_argument};
use crate::proto::gnmi_ext::Commit as CommitExt;
use crate::proto::gnmi_ext::commit::Action;

impl GnmiService {
    /// The session at the commit service that owns the pending commits of the client that authenticated with this key,
    /// opened on first use; none if the commit service does not reply.
    pub(super) async fn confirming_session(&self, key: &Key) -> Option<SessionId> {
        if let Some(session) = self
            .commit_sessions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&key.name)
        {
            return Some(*session);
        }
        let session = self.commit_service.open_session().await?;
        let mut sessions = self
            .commit_sessions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Some(*sessions.entry(key.name.clone()).or_insert(session))
    }

    /// Confirms or cancels the pending commit if the extension requests that; false if it starts a confirmed commit.
    pub(super) async fn confirm_or_cancel(
        &self,
        key: &Key,
        commit: &CommitExt,
    ) -> Result<bool, Status> {
        let persist_id = Some(commit.id.clone());
        match &commit.action {
            Some(Action::Confirm(_)) => {
                let session = self.confirming_session(key).await;
                self.commit_service
                    .confirm_commit(session, persist_id)
                    .await
                    .map_err(|error| commit_error_status(&error))?;
                Ok(true)
            }
            Some(Action::Cancel(_)) => {
                let session = self.confirming_session(key).await;
                self.commit_service
                    .cancel_commit(session, persist_id)
                    .await
                    .map_err(|error| commit_error_status(&error))?;
                Ok(true)
            }
            Some(Action::SetRollbackDuration(_)) => Err(Status::unimplemented(
                "commit/set_rollback_duration: is not served here",
            )),
            Some(Action::Commit(_)) => Ok(false),
            None => Err(invalid_argument(
                "commit",
                "says neither what to do",
                "nothing",
                "commit, confirm or cancel",
            )),
        }
    }
}
