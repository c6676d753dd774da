//! Responses to clients: each client's replies are written in the order of its commands.

use kestreltide::interface::RequestId;

use super::Routing;
use super::client_connection::{Client, Lingering, QueuedReply};
use crate::transport::SocketId;

impl Routing {
    /// Sends the response to a request and releases the request. False where its client is gone or has its response.
    pub(super) fn respond(
        &mut self,
        request: &RequestId,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> bool {
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
                write(client.stream.output());
                client.queue.pop_front();
            }
            Some(position) => {
                let mut bytes = Vec::new();
                write(&mut bytes);
                client.queue[position] = QueuedReply::Ready(bytes);
            }
            None => return false,
        }
        self.write_and_resume(id);
        true
    }

    /// Replies to a command that is not a request, or to a request that was not admitted.
    pub(super) fn reply(&mut self, id: SocketId, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.queue.is_empty() {
            write(client.stream.output());
        } else {
            let mut bytes = Vec::new();
            write(&mut bytes);
            client.queue.push_back(QueuedReply::Ready(bytes));
        }
        self.write_client(id);
    }

    /// Writes a client's replies and marks it to be read again, as its pipeline may have room.
    fn write_and_resume(&mut self, id: SocketId) {
        if self.write_client(id) && !self.resumed_clients.contains(&id) {
            self.resumed_clients.push(id);
        }
    }

    /// Writes the replies that are next in order as far as the socket takes them; false where the client is gone.
    pub(super) fn write_client(&mut self, id: SocketId) -> bool {
        let now = self.event_loop.now();
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        while let Some(QueuedReply::Ready(bytes)) = client.queue.front_mut() {
            client.stream.output().append(bytes);
            client.queue.pop_front();
        }
        let Client {
            stream,
            queue,
            is_closing,
            unread_since,
            lingering,
            ..
        } = client;
        match stream.flush() {
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
