//! Admission of requests: the table of admitted requests, and their limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::*;

use super::Routing;
use super::client_connection::QueuedReply;
use super::metrics::Counter;
use crate::limits::RequestLimits;
use crate::protocol::client::{self, StoredCommand};
use crate::transport::SocketId;

/// A request that a client has sent and that is not admitted yet.
pub(super) struct ParsedRequest {
    pub(super) operation: OperationId,
    pub(super) key: Option<KeyId>,
    /// The hosts that the route in force at its arrival allows; `None` allows all.
    pub(super) pool: Option<Arc<HostPool>>,
    /// Seconds until its time limit.
    pub(super) time_left: f64,
    /// Whether the client marked it as sent before.
    pub(super) is_retry: bool,
    pub(super) command: StoredCommand,
}

/// A request from its admission to its final outcome.
struct AdmittedRequest {
    client: SocketId,
    command: StoredCommand,
    /// Attempts started.
    attempts: u32,
    /// The client has disconnected, and the decisions have not processed that event yet.
    is_abandoned: bool,
}

/// The admitted requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, AdmittedRequest>,
    /// The ids that clients gave to the requests they wait for, each with its client's connection.
    open_ids: BTreeMap<Box<[u8]>, SocketId>,
    /// Bytes of the commands of all requests.
    stored_bytes: usize,
    /// The number that is the id of the request admitted last.
    last_number: u64,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request with a command of `command_bytes` bytes can be admitted.
    fn has_capacity(&self, limits: &RequestLimits, command_bytes: usize) -> bool {
        self.requests.len() < limits.in_flight
            && self.stored_bytes + command_bytes <= limits.stored_command_bytes
    }

    /// Adds a request and returns the id by which the router knows it.
    fn admit(&mut self, client: SocketId, command: StoredCommand) -> RequestId {
        // Hosts get the client's id unchanged. The router uses a number, which no client can make ambiguous.
        self.last_number += 1;
        let id = RequestId(self.last_number.to_string().into());
        self.stored_bytes += command.size();
        self.open_ids.insert(command.id().into(), client);
        let request = AdmittedRequest {
            client,
            command,
            attempts: 0,
            is_abandoned: false,
        };
        self.requests.insert(id.clone(), request);
        id
    }

    /// Removes a request that needs no response any more; returns its client.
    pub(super) fn release(&mut self, request: &RequestId) -> Option<SocketId> {
        let request = self.requests.remove(request)?;
        self.stored_bytes -= request.command.size();
        if !request.is_abandoned {
            self.open_ids.remove(request.command.id());
        }
        Some(request.client)
    }

    /// Marks a request whose client has disconnected; false where there is no such request.
    pub(super) fn abandon(&mut self, request: &RequestId) -> bool {
        let Some(request) = self.requests.get_mut(request) else {
            return false;
        };
        request.is_abandoned = true;
        // The id is free at once: the client may send the request again before the decisions process the disconnect.
        self.open_ids.remove(request.command.id());
        true
    }

    /// Counts one more attempt and returns its number, from 0.
    pub(super) fn begin_attempt(&mut self, request: &RequestId) -> Option<AttemptNumber> {
        let request = self.requests.get_mut(request)?;
        let attempt = AttemptNumber(request.attempts);
        request.attempts += 1;
        Some(attempt)
    }

    /// Whether the request's client is known to have disconnected.
    pub(super) fn is_abandoned(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.is_abandoned)
    }

    /// Whether the request's client still waits for a response.
    pub(super) fn owes_response(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| !request.is_abandoned)
    }

    /// The connection of the request's client.
    pub(super) fn client(&self, request: &RequestId) -> Option<SocketId> {
        self.requests.get(request).map(|request| request.client)
    }

    /// The command to forward to hosts.
    pub(super) fn command(&self, request: &RequestId) -> Option<&StoredCommand> {
        self.requests.get(request).map(|request| &request.command)
    }

    /// The connection of the client that waits for the request to which clients gave this id.
    pub(super) fn open_request_connection(&self, client_id: &[u8]) -> Option<SocketId> {
        self.open_ids.get(client_id).copied()
    }

    /// All requests, each with the number of attempts started.
    pub(super) fn attempt_counts(&self) -> Vec<(RequestId, u32)> {
        self.requests
            .iter()
            .map(|(id, request)| (id.clone(), request.attempts))
            .collect()
    }
}

impl Routing {
    /// Admits a request and passes it to the decisions; rejects it where there is no capacity or the shutdown has given
    /// up open requests.
    pub(super) fn admit(&mut self, client: SocketId, request: ParsedRequest) {
        let ParsedRequest {
            operation,
            key,
            pool,
            time_left,
            is_retry,
            command,
        } = request;
        // No attempt has been started, so the reply BUSY is correct: a retry is safe.
        let limits = &self.event_loop.limits.requests;
        if !self.requests.has_capacity(limits, command.size()) || self.shutdown.has_given_up() {
            self.event_loop.metrics.increment(Counter::RequestsRejected);
            return self.reply(client, |out| client::write_busy(out, None));
        }
        let id = self.requests.admit(client, command);
        self.event_loop.metrics.increment(Counter::RequestsAdmitted);
        if let Some(client) = self.clients.get_mut(&client) {
            client.queue.push_back(QueuedReply::Pending(id.clone()));
        }
        self.event_loop
            .notify_decisions(Event::RequestReceived(Request {
                id,
                operation,
                key,
                time_left,
                work: None,
                is_retry,
                pool,
            }));
    }
}
