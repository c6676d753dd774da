//! The Set RPC: applies all edits of a request as one transaction, final at once or as a confirmed commit.

use std::sync::atomic::Ordering::Relaxed;

use kestreltide_datastore::CommitOutcome;
use kestreltide_datastore::commit_coordinator::ConfirmedCommit;
use kestreltide_datastore::{Author, Candidate, Key, Source};
use kestreltide_yang::edit::{Operation, apply};
use tonic::{Request, Response, Status};

use super::errors::{commit_error_status, edit_errors_status, invalid_argument};
use super::{GnmiService, unix_nanoseconds};
use crate::proto::gnmi::{SetRequest, SetResponse, Update, UpdateResult, update_result};
use crate::proto::gnmi_ext::commit::Action;
use crate::proto::gnmi_ext::extension::Ext;
use crate::proto::gnmi_ext::{Commit as CommitExt, Extension, MasterArbitration};

/// The default rollback duration of a confirmed commit, in seconds.
const DEFAULT_ROLLBACK_SECONDS: f64 = 600.0;
/// The shortest rollback duration of a confirmed commit, in seconds. An error text contains this number.
const MIN_ROLLBACK_SECONDS: f64 = 0.1;
/// The longest rollback duration of a confirmed commit, in seconds. An error text contains this number.
const MAX_ROLLBACK_SECONDS: f64 = 86_400.0;

impl GnmiService {
    pub(super) async fn handle_set(
        &self,
        request: Request<SetRequest>,
    ) -> Result<Response<SetResponse>, Status> {
        let (key, rights) = self.authenticate(&request)?;
        let request = request.into_inner();
        if let Some(arbitration) = find_extension(&request.extension, as_arbitration) {
            self.check_master(arbitration)?;
        }
        let confirmed_commit = match find_extension(&request.extension, as_commit) {
            Some(commit) if self.confirm_or_cancel(&key, commit).await? => {
                return confirmation_response(&request);
            }
            Some(commit) => Some(parse_confirmed_commit(commit)?),
            None => None,
        };
        let status = self.commit_service.status.load_full();
        let mut candidate = Candidate::new(&status.in_force);
        let response = self.apply_edits(&mut candidate, &request)?;
        let author = self.new_author(&key);
        if let Err(error) = rights.check(&status.in_force.tree.differences(&candidate.tree)) {
            (self.commit_service.submit)(crate::CommitServiceRequest::RecordDeniedEdit {
                author,
                error: error.clone(),
            });
            return Err(Status::permission_denied(error.to_string()));
        }
        let session = if confirmed_commit.is_some() {
            self.confirming_session(&key).await
        } else {
            None
        };
        match self
            .commit_service
            .commit(session, candidate, author, confirmed_commit, None)
            .await
        {
            Ok(CommitOutcome::Applied(_) | CommitOutcome::Unchanged) => {
                let prefix = request.prefix.clone();
                Ok(Response::new(SetResponse {
                    prefix,
                    response,
                    timestamp: unix_nanoseconds(),
                    extension: vec![],
                }))
            }
            Err(error) => Err(commit_error_status(&error)),
        }
    }

    /// Applies the deletes, then the replaces, then the updates of a request to the candidate (gNMI specification,
    /// section 3.4.3).
    fn apply_edits(
        &self,
        candidate: &mut Candidate,
        request: &SetRequest,
    ) -> Result<Vec<UpdateResult>, Status> {
        let prefix = request.prefix.as_ref();
        let mut response = Vec::new();
        let update =
            |update: &Update| (update.path.clone().unwrap_or_default(), update.val.clone());
        let deletes = request.delete.iter().map(|path| {
            (
                (path.clone(), None),
                Operation::Remove,
                update_result::Operation::Delete,
            )
        });
        let replaces = request.replace.iter().map(|entry| {
            (
                update(entry),
                Operation::Replace,
                update_result::Operation::Replace,
            )
        });
        let updates = request.update.iter().map(|entry| {
            (
                update(entry),
                Operation::Merge,
                update_result::Operation::Update,
            )
        });
        for ((path, value), operation, response_operation) in deletes.chain(replaces).chain(updates)
        {
            let edits = self.edits_of_operation(prefix, &path, value.as_ref(), operation)?;
            apply(
                self.schema,
                &self.binding,
                &mut candidate.tree,
                &edits,
                Operation::Merge,
            )
            .map_err(|errors| edit_errors_status(&errors))?;
            response.push(UpdateResult {
                path: Some(path),
                op: response_operation.into(),
            });
        }
        Ok(response)
    }

    /// The author of the revision that a request commits; its version contains the number of the Set request.
    fn new_author(&self, key: &Key) -> Author {
        let number = self.next_set_number.fetch_add(1, Relaxed);
        Author {
            source: Source::Management,
            name: key.name.clone(),
            version: format!("gnmi set {number}"),
        }
    }
}

/// The response to a request that confirms or cancels a commit; rejects a request that also has edits.
fn confirmation_response(request: &SetRequest) -> Result<Response<SetResponse>, Status> {
    let has_no_edits =
        request.delete.is_empty() && request.replace.is_empty() && request.update.is_empty();
    if !has_no_edits {
        return Err(invalid_argument(
            "commit",
            "confirms or cancels, and edits too",
            "edits",
            "one of both",
        ));
    }
    Ok(Response::new(SetResponse {
        prefix: request.prefix.clone(),
        timestamp: unix_nanoseconds(),
        ..SetResponse::default()
    }))
}

/// Parses the rollback duration and the id of a confirmed commit.
fn parse_confirmed_commit(commit: &CommitExt) -> Result<ConfirmedCommit, Status> {
    let rollback_duration = match &commit.action {
        Some(Action::Commit(request)) => request.rollback_duration.as_ref(),
        _ => None,
    };
    let timeout = rollback_duration.map_or(DEFAULT_ROLLBACK_SECONDS, |time| {
        time.seconds as f64 + f64::from(time.nanos) / 1e9
    });
    if !(MIN_ROLLBACK_SECONDS..=MAX_ROLLBACK_SECONDS).contains(&timeout) || commit.id.is_empty() {
        return Err(invalid_argument(
            "commit",
            "has no id, or a time out of range",
            &timeout.to_string(),
            "an id, 0.1 to 86400 seconds",
        ));
    }
    Ok(ConfirmedCommit {
        timeout,
        persist_id: Some(commit.id.clone()),
    })
}

fn as_arbitration(ext: &Ext) -> Option<&MasterArbitration> {
    if let Ext::MasterArbitration(arbitration) = ext {
        Some(arbitration)
    } else {
        None
    }
}

fn as_commit(ext: &Ext) -> Option<&CommitExt> {
    if let Ext::Commit(commit) = ext {
        Some(commit)
    } else {
        None
    }
}

fn find_extension<'a, T>(
    extensions: &'a [Extension],
    select: impl Fn(&'a Ext) -> Option<T>,
) -> Option<T> {
    extensions
        .iter()
        .filter_map(|extension| extension.ext.as_ref())
        .find_map(select)
}
