//! Authentication and authorization of requests by the client certificate of the TLS connection.

use kestreltide_datastore::{Credential, Key, Rights};
use tonic::{Request, Status};

use super::GnmiService;

impl GnmiService {
    /// Looks up the client certificate of a request in the file of keys, and returns its key and rights.
    pub(super) fn authenticate<T>(&self, request: &Request<T>) -> Result<(Key, Rights), Status> {
        let denied = || {
            Status::unauthenticated(
                "certificate: is not in the file of keys (given: another; taken: one of it)",
            )
        };
        let certificates = request.peer_certs().ok_or_else(denied)?;
        let first = certificates.first().ok_or_else(denied)?;
        let mut hash = [0; 32];
        hash.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, first).as_ref());
        let key = self
            .commit_service
            .keys
            .load()
            .find(&Credential::Certificate(hash))
            .cloned()
            .ok_or_else(denied)?;
        let rights = key.rights;
        Ok((key, rights))
    }

    /// Authenticates the client of a request and checks its right to read.
    pub(super) fn authorize_read<T>(&self, request: &Request<T>) -> Result<Key, Status> {
        let (key, rights) = self.authenticate(request)?;
        let denied = format!(
            "reading: is beyond the rights of this key (given: {rights}; taken: the right read)"
        );
        if rights.read {
            Ok(key)
        } else {
            Err(Status::permission_denied(denied))
        }
    }
}
