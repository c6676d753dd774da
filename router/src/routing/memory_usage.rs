//! The bytes that the router's buffers hold, by owner, beside the memory of the process.

use std::fmt;

use crate::transport::{BufferOwner, MemoryLedger, ProcessMemory};

/// Bytes of a KiB.
const KIB: usize = 1024;

/// The owners with their names in the log line.
const OWNERS: [(BufferOwner, &str); 6] = [
    (BufferOwner::ClientInput, "client_input"),
    (BufferOwner::Commands, "commands"),
    (BufferOwner::HostInput, "host_input"),
    (BufferOwner::HostOutput, "host_output"),
    (BufferOwner::Replies, "replies"),
    (BufferOwner::Control, "control"),
];

/// The bytes that are held.
pub(super) struct MemoryUsage<'a> {
    buffers: &'a MemoryLedger,
    /// The process; `None` where the operating system does not report it.
    process: Option<ProcessMemory>,
}

impl<'a> MemoryUsage<'a> {
    /// The bytes that these buffers and the process hold now.
    pub(super) fn now(buffers: &'a MemoryLedger) -> Self {
        MemoryUsage {
            buffers,
            process: ProcessMemory::read(),
        }
    }
}

impl fmt::Display for MemoryUsage<'_> {
    /// Writes all values in KiB.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (owner, name) in OWNERS {
            write!(f, "{name} {} ", self.buffers.held(owner).div_ceil(KIB))?;
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
