//! Master arbitration: which client of a role may set (gNMI extension `MasterArbitration`).

use std::sync::PoisonError;

use tonic::Status;

use super::Service;
use super::errors::invalid_argument;
use crate::proto::gnmi_ext::MasterArbitration;

impl Service {
    /// Only who has the highest election id of a role may set.
    pub(super) fn check_master(&self, arbitration: &MasterArbitration) -> Result<(), Status> {
        let role = arbitration
            .role
            .as_ref()
            .map_or("", |role| role.id.as_str());
        let id = arbitration.election_id.as_ref().map(|id| (id.high, id.low));
        let id = id.ok_or_else(|| {
            invalid_argument(
                "master_arbitration",
                "has no election id",
                "nothing",
                "an election id",
            )
        })?;
        let mut masters = self.masters.lock().unwrap_or_else(PoisonError::into_inner);
        // Roles that nobody has are not kept without end.
        if masters.len() >= 64 && !masters.contains_key(role) {
            return Err(Status::resource_exhausted(
                "master_arbitration/role: too many roles (given: one more; taken: 64)",
            ));
        }
        let highest = masters.entry(role.into()).or_insert(id);
        if id < *highest {
            let problem = format!(
                "master_arbitration: another client is master (given: {}.{}; taken: {}.{})",
                id.0, id.1, highest.0, highest.1
            );
            return Err(Status::permission_denied(problem));
        }
        *highest = id;
        Ok(())
    }
}
