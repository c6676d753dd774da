//! A connection to a host and its current use.

use std::io;
use std::net::SocketAddr;

use kestreltide::interface::*;

use super::response_history::ResponseHistory;
use crate::protocol::client::StoredCommand;
use crate::protocol::host::{self, HostResponse};
use crate::transport::{ReadStatus, Stream, TimerId};

const MILLIS_PER_SECOND: f64 = 1e3;

/// An attempt whose outcome is not known yet.
pub(super) struct AttemptInFlight {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
}

/// What a connection is used for.
pub(super) enum ConnectionUse {
    Idle,
    Attempt(AttemptInFlight),
    HealthCheck,
}

/// How far the command of a use is written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No byte of it. What is written, and with which time limit, is determined at the first write.
    NotStarted,
    /// Part of it may be written.
    Started {
        /// The time limit that the host is told, in milliseconds.
        response_millis: u64,
        /// Bytes of the command that are written.
        written: usize,
    },
    /// All of it, so the host may execute it.
    Complete,
}

/// The deadlines of a use, in Unix seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct UseDeadlines {
    /// After this nothing of the command may be written.
    pub(super) write_by: f64,
    /// After this the response is of no use.
    pub(super) response_by: f64,
}

impl UseDeadlines {
    /// The deadlines of an attempt that was decided at `decided_at`, with its timeout and the timeout of its write in
    /// seconds. They count from the decision, not from the start of the use: the process may be stopped in between.
    pub(super) fn of_attempt(
        decided_at: f64,
        (timeout, write_timeout): (f64, f64),
        client_deadline: f64,
    ) -> Self {
        UseDeadlines {
            write_by: decided_at + write_timeout,
            response_by: client_deadline.min(decided_at + timeout),
        }
    }

    /// The time limit that the host is told, in milliseconds: what the router still waits, rounded up to at least 1 ms.
    pub(super) fn response_millis(&self, now: f64) -> u64 {
        ((self.response_by - now) * MILLIS_PER_SECOND)
            .ceil()
            .max(1.0) as u64
    }
}

/// Whether the responses on a connection are told from surplus ones by a barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Barrier {
    /// No barrier was written since the current use began.
    None,
    /// A barrier was written. The last response before its reply is the response to the current command.
    Pending {
        /// Surplus responses received since the barrier was written.
        surplus_responses: usize,
    },
}

/// A connection to a host, which carries one attempt or health check at a time.
pub(super) struct UpstreamConnection {
    pub(super) stream: Stream,
    pub(super) host: HostId,
    pub(super) address: SocketAddr,
    pub(super) current_use: ConnectionUse,
    /// Counts the uses, so that a timer of an earlier use is ignored.
    pub(super) use_number: u64,
    /// The timers of the current use. They are cancelled when it ends, as their number would grow with the rate of
    /// attempts.
    pub(super) timers: Vec<TimerId>,
    /// When the current use began, in Unix seconds.
    pub(super) use_began_at: f64,
    /// Seconds that it had been idle before the current use; 0 for a new connection.
    pub(super) idle_time: f64,
    pub(super) deadlines: UseDeadlines,
    pub(super) progress: WriteProgress,
    /// The socket did not take the whole command when the use began.
    pub(super) is_deferred: bool,
    pub(super) barrier: Barrier,
    /// The responses to earlier commands.
    pub(super) history: ResponseHistory,
}

impl UpstreamConnection {
    pub(super) fn new(stream: Stream, host: HostId, address: SocketAddr, now: f64) -> Self {
        UpstreamConnection {
            stream,
            host,
            address,
            current_use: ConnectionUse::Idle,
            use_number: 0,
            timers: vec![],
            use_began_at: now,
            idle_time: 0.0,
            deadlines: UseDeadlines {
                write_by: now,
                response_by: now,
            },
            progress: WriteProgress::NotStarted,
            is_deferred: false,
            barrier: Barrier::None,
            history: ResponseHistory::default(),
        }
    }

    /// Begins a use and returns its number.
    pub(super) fn begin_use(
        &mut self,
        current_use: ConnectionUse,
        deadlines: UseDeadlines,
        now: f64,
    ) -> u64 {
        self.current_use = current_use;
        self.use_number += 1;
        self.use_began_at = now;
        self.deadlines = deadlines;
        self.progress = WriteProgress::NotStarted;
        self.is_deferred = false;
        self.barrier = Barrier::None;
        self.use_number
    }

    /// Whether the last byte of the command is written to the socket, so that the host may execute it.
    pub(super) fn is_written(&self) -> bool {
        self.progress == WriteProgress::Complete
    }

    /// Writes as much as the socket takes of the command of an attempt. Returns whether all of it is written.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub(super) fn write_attempt(&mut self, command: &StoredCommand, now: f64) -> io::Result<bool> {
        let (response_millis, before) = match self.progress {
            WriteProgress::NotStarted => (self.deadlines.response_millis(now), 0),
            WriteProgress::Started {
                response_millis,
                written,
            } => (response_millis, written),
            WriteProgress::Complete => return Ok(true),
        };
        let encoded = command.encode(response_millis);
        let parts = encoded.parts();
        let length: usize = parts.iter().map(|part| part.len()).sum();
        let written = self.stream.write_parts(&parts, before)?;
        self.progress = match written {
            0 => WriteProgress::NotStarted,
            _ if written == length => WriteProgress::Complete,
            _ => WriteProgress::Started {
                response_millis,
                written,
            },
        };
        Ok(self.is_written())
    }

    /// Writes as much as the socket takes of a health check. Returns whether all of it is written.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub(super) fn write_probe(&mut self, with_report: bool) -> io::Result<bool> {
        if self.progress == WriteProgress::NotStarted {
            host::write_probe(self.stream.output(), with_report);
            self.progress = WriteProgress::Started {
                response_millis: 0,
                written: 0,
            };
        }
        if self.stream.flush()? {
            self.progress = WriteProgress::Complete;
        }
        Ok(self.is_written())
    }

    /// The request of the current attempt, if its command is not fully written, so that the host has not executed it.
    pub(super) fn unwritten_request(&self) -> Option<&RequestId> {
        match &self.current_use {
            ConnectionUse::Attempt(attempt) if !self.is_written() => Some(&attempt.request),
            _ => None,
        }
    }

    /// Whether it carries this attempt.
    pub(super) fn carries(&self, request: &RequestId, attempt: AttemptNumber) -> bool {
        match &self.current_use {
            ConnectionUse::Attempt(in_flight) => {
                in_flight.request == *request && in_flight.attempt == attempt
            }
            _ => false,
        }
    }

    /// Whether a response may be a surplus one to an earlier command, so that a barrier has to tell. A value that differs
    /// from those of the earlier responses is no copy of them; an error has nothing that would tell.
    pub(super) fn may_be_surplus(&self, response: &HostResponse) -> bool {
        match response {
            HostResponse::Value { value, .. } => self.history.contains(value),
            _ => !self.history.is_empty(),
        }
    }

    /// Writes a barrier behind the current command; where that is not fully written, the barrier follows with the rest.
    /// Where writing fails, the next read shows that the connection broke.
    pub(super) fn write_barrier(&mut self) {
        self.barrier = Barrier::Pending {
            surplus_responses: 0,
        };
        host::write_barrier(self.stream.output());
        if self.is_written() {
            let _ = self.stream.flush();
        }
    }

    /// Whether the connection is open and no input waits. Input that is on its way cannot be seen.
    pub(super) fn has_no_input(&mut self) -> bool {
        self.stream.read_available(1, 1) == ReadStatus::Exhausted && self.stream.input().is_empty()
    }

    /// Whether input has been read that no request or health check was waiting for. For idle connections only.
    pub(super) fn has_surplus_input(&self) -> bool {
        !self.stream.input().is_empty()
    }
}

#[cfg(test)]
mod tests;
