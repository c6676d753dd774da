//! Master arbitration (gNMI extension `MasterArbitration`): only the client with the highest election id of a role may
//! send Set requests for it.

use std::fmt;
use std::sync::PoisonError;

use tonic::Status;

use super::GnmiService;
use super::errors::invalid_argument;
use crate::proto::gnmi_ext::{MasterArbitration, Uint128};

/// Maximum number of roles with a master. An error text contains this number.
const MAX_ROLES: usize = 64;

/// The election id of a client, of 128 bits. The client with the highest election id of a role is its master.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ElectionId {
    /// The upper 64 bits.
    high: u64,
    /// The lower 64 bits.
    low: u64,
}

impl From<&Uint128> for ElectionId {
    fn from(id: &Uint128) -> Self {
        ElectionId {
            high: id.high,
            low: id.low,
        }
    }
}

impl fmt::Display for ElectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.high, self.low)
    }
}

impl GnmiService {
    /// Rejects a client whose election id is lower than the highest one that its role has had.
    pub(super) fn check_master(&self, arbitration: &MasterArbitration) -> Result<(), Status> {
        let role = arbitration
            .role
            .as_ref()
            .map_or("", |role| role.id.as_str());
        let id = arbitration.election_id.as_ref().map(ElectionId::from);
        let id = id.ok_or_else(|| {
            invalid_argument(
                "master_arbitration",
                "has no election id",
                "nothing",
                "an election id",
            )
        })?;
        let mut highest_election_ids = self
            .highest_election_ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Roles are never removed, so their number is limited to bound the memory.
        if highest_election_ids.len() >= MAX_ROLES && !highest_election_ids.contains_key(role) {
            return Err(Status::resource_exhausted(
                "master_arbitration/role: too many roles (given: one more; taken: 64)",
            ));
        }
        let highest = highest_election_ids.entry(role.into()).or_insert(id);
        if id < *highest {
            let problem = format!(
                "master_arbitration: another client is master (given: {id}; taken: {highest})"
            );
            return Err(Status::permission_denied(problem));
        }
        *highest = id;
        Ok(())
    }
}
