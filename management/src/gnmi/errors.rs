//! Converts errors of the datastore and of requests to gRPC statuses.

use kestreltide_datastore::commit_coordinator::CommitError;
use kestreltide_yang::edit::EditError;
use tonic::Status;

pub(super) fn invalid_argument(path: &str, problem: &str, found: &str, expected: &str) -> Status {
    let found = kestreltide_datastore::tree_builder::printable(found);
    Status::invalid_argument(
        kestreltide_datastore::ValidationError::new(path, problem, found, expected).to_string(),
    )
}

pub(super) fn edit_errors_status(errors: &[EditError]) -> Status {
    let messages: Vec<_> = errors
        .iter()
        .map(|error| error.validation.to_string())
        .collect();
    Status::invalid_argument(messages.join("\n"))
}

pub(super) fn commit_error_status(error: &CommitError) -> Status {
    match error {
        // Another client changed the same leaf since this request read it: the client can read again and retry.
        CommitError::Invalid(errors)
            if errors
                .first
                .iter()
                .any(|error| error.problem.starts_with("was changed since")) =>
        {
            Status::aborted(error.to_string())
        }
        CommitError::Invalid(_) | CommitError::NoPendingCommit | CommitError::LockNotHeld => {
            Status::failed_precondition(error.to_string())
        }
        CommitError::Locked(_) | CommitError::CommitPending(_) => {
            Status::unavailable(error.to_string())
        }
    }
}
