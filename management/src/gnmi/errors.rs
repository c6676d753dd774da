//! Errors of the datastore and of requests as gRPC statuses.

use kestreltide_datastore::desk::Refused;
use kestreltide_yang::edit::EditFault;
use tonic::Status;

pub(super) fn invalid_argument(path: &str, what: &str, given: &str, taken: &str) -> Status {
    let given = kestreltide_datastore::draft::shown(given);
    Status::invalid_argument(
        kestreltide_datastore::Fault::new(path, what, given, taken).to_string(),
    )
}

pub(super) fn edit_errors_status(faults: &[EditFault]) -> Status {
    let all: Vec<_> = faults.iter().map(|fault| fault.fault.to_string()).collect();
    Status::invalid_argument(all.join("\n"))
}

pub(super) fn refusal_status(refused: &Refused) -> Status {
    match refused {
        // Another's change of the same leaf, or a rule: the request is well, the time or the set is not.
        Refused::Faults(faults)
            if faults
                .first
                .iter()
                .any(|fault| fault.what.starts_with("was changed since")) =>
        {
            Status::aborted(refused.to_string())
        }
        Refused::Faults(_) | Refused::NothingWaits | Refused::NotHeld => {
            Status::failed_precondition(refused.to_string())
        }
        Refused::Locked(_) | Refused::Waiting(_) => Status::unavailable(refused.to_string()),
    }
}
