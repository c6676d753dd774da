//! The bytes that the router's buffers hold, by owner, beside the memory of the process.

use std::fmt;

use super::Routing;
use super::client_connection::{Client, QueuedReply};
use crate::transport::ProcessMemory;

/// Bytes of a KiB.
const KIB: usize = 1024;

/// The bytes that are held, by owner. Buffers count with their capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MemoryUsage {
    /// Input of clients that is not consumed.
    client_input: usize,
    /// Commands of admitted requests.
    commands: usize,
    /// Commands that are not written to hosts yet.
    host_output: usize,
    /// Responses of hosts that are not complete yet.
    host_input: usize,
    /// Replies that clients have not read.
    replies: usize,
    /// The process; `None` where the operating system does not report it.
    process: Option<ProcessMemory>,
}

impl fmt::Display for MemoryUsage {
    /// Writes all values in KiB.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let owners = [
            ("client_input", self.client_input),
            ("commands", self.commands),
            ("host_output", self.host_output),
            ("host_input", self.host_input),
            ("replies", self.replies),
        ];
        for (name, bytes) in owners {
            write!(f, "{name} {} ", bytes.div_ceil(KIB))?;
        }
        match self.process {
            Some(process) => write!(
                f,
                "anonymous {} resident {}",
                process.anonymous_bytes / KIB,
                process.resident_bytes / KIB
            ),
            None => write!(f, "resident unknown"),
        }
    }
}

/// Bytes of the replies that a client has not read.
fn reply_bytes(client: &Client) -> usize {
    let queued = client.queue.iter().map(|reply| match reply {
        QueuedReply::Pending(_) => 0,
        QueuedReply::Ready(bytes) => bytes.capacity(),
    });
    client.stream.output_capacity() + queued.sum::<usize>()
}

impl Routing {
    /// The bytes that are held now.
    pub(super) fn memory_usage(&self) -> MemoryUsage {
        let clients = || self.clients.values();
        let upstreams = || self.upstreams.connections();
        MemoryUsage {
            client_input: clients().map(|client| client.stream.input_capacity()).sum(),
            commands: self.requests.stored_bytes(),
            host_output: upstreams()
                .map(|upstream| upstream.stream.output_capacity())
                .sum(),
            host_input: upstreams()
                .map(|upstream| upstream.stream.input_capacity())
                .sum(),
            replies: clients().map(reply_bytes).sum(),
            process: ProcessMemory::read(),
        }
    }
}
