//! Admission: a request is admitted while there is capacity for it, and gets its id.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::*;

use super::Routing;
use super::client_connection::QueuedReply;
use super::metrics::Counter;
use crate::limits::RequestLimits;
use crate::protocol::client::{self, StoredCommand};
use crate::transport::SocketId;

/// A request as its client sent it.
pub(super) struct ParsedRequest {
    pub(super) operation: OperationId,
    pub(super) key: Option<KeyId>,
    /// The hosts that are for it, by the routes in force when it came.
    pub(super) pool: Option<Arc<Pool>>,
    pub(super) time_left: f64,
    pub(super) is_retry: bool,
    pub(super) command: StoredCommand,
}

/// A request that owes its client a response.
struct AdmittedRequest {
    client: SocketId,
    command: StoredCommand,
    attempts: u32,
    /// The client is gone, which the decisions are still to hear.
    is_abandoned: bool,
}

/// The admitted requests, and the clients' ids of those whose clients wait.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, AdmittedRequest>,
    /// As clients named them, and the connection that holds each.
    open_ids: BTreeMap<Box<[u8]>, SocketId>,
    /// Of the commands that are kept.
    stored_bytes: usize,
    last_number: u64,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request with a command of so many bytes can be admitted.
    fn has_capacity(&self, limits: &RequestLimits, command_bytes: usize) -> bool {
        self.requests.len() < limits.in_flight
            && self.stored_bytes + command_bytes <= limits.stored_command_bytes
    }

    fn admit(&mut self, client: SocketId, command: StoredCommand) -> RequestId {
        // The client's own id goes to hosts unchanged; here a number stands for it, which nobody can repeat.
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

    /// Forgets a request, which owes no response any more; returns its client.
    pub(super) fn release(&mut self, request: &RequestId) -> Option<SocketId> {
        let request = self.requests.remove(request)?;
        self.stored_bytes -= request.command.size();
        if !request.is_abandoned {
            self.open_ids.remove(request.command.id());
        }
        Some(request.client)
    }

    /// The client of a request is gone; false where the request is not known.
    pub(super) fn abandon(&mut self, request: &RequestId) -> bool {
        let Some(request) = self.requests.get_mut(request) else {
            return false;
        };
        request.is_abandoned = true;
        // Free at once: it may come again before the decisions have heard of this.
        self.open_ids.remove(request.command.id());
        true
    }

    /// Counts one more attempt; returns its number.
    pub(super) fn begin_attempt(&mut self, request: &RequestId) -> Option<AttemptNumber> {
        let request = self.requests.get_mut(request)?;
        let attempt = AttemptNumber(request.attempts);
        request.attempts += 1;
        Some(attempt)
    }

    /// Whether it is known that the request's client is gone.
    pub(super) fn is_abandoned(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.is_abandoned)
    }

    /// Whether the request's client waits for a response.
    pub(super) fn owes_response(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| !request.is_abandoned)
    }

    pub(super) fn client(&self, request: &RequestId) -> Option<SocketId> {
        self.requests.get(request).map(|request| request.client)
    }

    /// The command to forward.
    pub(super) fn command(&self, request: &RequestId) -> Option<&StoredCommand> {
        self.requests.get(request).map(|request| &request.command)
    }

    /// The connection that holds the open request with this id of a client.
    pub(super) fn open_request_connection(&self, client_id: &[u8]) -> Option<SocketId> {
        self.open_ids.get(client_id).copied()
    }

    /// All requests with the number of their attempts.
    pub(super) fn attempt_counts(&self) -> Vec<(RequestId, u32)> {
        self.requests
            .iter()
            .map(|(id, request)| (id.clone(), request.attempts))
            .collect()
    }
}

impl Routing {
    pub(super) fn admit(&mut self, client: SocketId, request: ParsedRequest) {
        let ParsedRequest {
            operation,
            key,
            pool,
            time_left,
            is_retry,
            command,
        } = request;
        // Nothing has been dispatched: a client may be told that trying again is harmless.
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
                again: is_retry,
                pool,
            }));
    }
}
