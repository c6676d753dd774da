//! Responses to clients: each client's replies are written in the order of its commands.

use std::rc::Rc;

use kestreltide::interface::RequestId;

use super::Routing;
use super::client_connection::{Client, Lingering, QueuedReply};
use crate::transport::{Buffer, BufferOwner, MemoryLedger, SocketId};

/// The bytes of a short message.
fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

/// A reply that waits for those before it.
fn queued_reply(parts: &[&[u8]], memory: &Rc<MemoryLedger>) -> QueuedReply {
    let mut bytes = Buffer::new(BufferOwner::Replies, memory);
    bytes.reserve_exact(parts.iter().map(|part| part.len()).sum());
    parts.iter().for_each(|part| bytes.append(part));
    QueuedReply::Ready(bytes)
}

impl Routing {
    /// Sends the response to a request, which consists of these parts, and releases the request. False where its client
    /// is gone or has its response.
    pub(super) fn respond(&mut self, request: &RequestId, parts: &[&[u8]]) -> bool {
        let Some(id) = self.requests.release(request) else {
            return false;
        };
        let now = self.event_loop.now();
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        client.last_used = now;
        let position = client
            .queue
            .iter()
            .position(|reply| matches!(reply, QueuedReply::Pending(pending) if pending == request));
        match position {
            Some(0) => {
                client.queue.pop_front();
                client.send(parts);
            }
            Some(position) => {
                client.queue[position] = queued_reply(parts, self.event_loop.memory());
            }
            None => return false,
        }
        self.write_and_resume(id);
        true
    }

    /// Sends an error or another short response to a request, like [`Routing::respond`].
    pub(super) fn respond_briefly(
        &mut self,
        request: &RequestId,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> bool {
        self.respond(request, &[&encoded(write)])
    }

    /// Replies to a command that is not a request, or to a request that was not admitted.
    pub(super) fn reply(&mut self, id: SocketId, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let reply = encoded(write);
        if client.queue.is_empty() {
            client.send(&[&reply]);
        } else {
            let queued = queued_reply(&[&reply], self.event_loop.memory());
            client.queue.push_back(queued);
        }
        self.write_client(id);
    }

    /// Writes a client's replies and has it read again, as its pipeline may have room.
    fn write_and_resume(&mut self, id: SocketId) {
        if self.write_client(id) {
            self.schedule_read(id);
        }
    }

    /// Writes the replies that are next in order as far as the socket takes them; false where the client is gone.
    pub(super) fn write_client(&mut self, id: SocketId) -> bool {
        let is_open = self.write_next_replies(id);
        if !is_open || !self.event_loop.memory().is_over_limit(BufferOwner::Replies) {
            return is_open;
        }
        self.close_client_with_most_unread();
        self.clients.contains_key(&id)
    }

    fn write_next_replies(&mut self, id: SocketId) -> bool {
        let now = self.event_loop.now();
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        while let Some(bytes) = client.next_ready_reply() {
            client.send(&[bytes.data()]);
        }
        let flushed = client.flush();
        let Client {
            stream,
            queue,
            is_closing,
            unread_since,
            lingering,
            ..
        } = client;
        match flushed {
            Ok(true) => *unread_since = None,
            Ok(false) => *unread_since = unread_since.or(Some(now)),
            Err(_) => {
                self.close_client(id);
                return false;
            }
        }
        let is_all_written = queue.is_empty() && stream.unwritten() == 0;
        // A client that is being closed gets the end of the stream, and time to read the error reply.
        if is_all_written && *is_closing && lingering.is_none() && stream.shutdown_write().is_ok() {
            *lingering = Some(Lingering {
                until: now + self.event_loop.limits.clients.lingering_close,
                bytes_left: self.event_loop.limits.clients.discarded_bytes,
            });
        }
        if is_all_written && *is_closing && lingering.is_none() {
            self.close_client(id);
            return false;
        }
        true
    }
}
