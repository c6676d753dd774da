//! A connection to a host, and what it is used for.

use std::net::SocketAddr;

use kestreltide::interface::*;

use crate::transport::{ReadStatus, Stream};

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

/// A connection to a host, which carries one attempt or health check at a time.
pub(super) struct UpstreamConnection {
    pub(super) stream: Stream,
    pub(super) host: HostId,
    pub(super) address: SocketAddr,
    pub(super) current_use: ConnectionUse,
    /// Counts the uses, so that a timer of an earlier one is known.
    pub(super) use_number: u64,
    /// When the current use began.
    pub(super) use_began_at: f64,
    /// How long, in seconds, it had been idle before.
    pub(super) idle_time: f64,
    /// The last byte of the command is written: from then on it may have run.
    pub(super) is_written: bool,
}

impl UpstreamConnection {
    pub(super) fn new(stream: Stream, host: HostId, address: SocketAddr, now: f64) -> Self {
        UpstreamConnection {
            stream,
            host,
            address,
            current_use: ConnectionUse::Idle,
            use_number: 0,
            use_began_at: now,
            idle_time: 0.0,
            is_written: false,
        }
    }

    /// Begins a use; returns its number.
    pub(super) fn begin_use(&mut self, current_use: ConnectionUse, now: f64) -> u64 {
        self.current_use = current_use;
        self.use_number += 1;
        self.use_began_at = now;
        self.is_written = false;
        self.use_number
    }

    /// The request whose command is not written completely, so that no host has begun it.
    pub(super) fn unwritten_request(&self) -> Option<&RequestId> {
        match &self.current_use {
            ConnectionUse::Attempt(attempt) if !self.is_written => Some(&attempt.request),
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

    /// Whether nothing lies on it, which would become the next answer; a late copy may have come since the last look.
    pub(super) fn is_clean(&mut self) -> bool {
        self.stream.read_available(1, 1) == ReadStatus::Drained && self.stream.input().is_empty()
    }

    /// Writes what can be written now; true where all of the command is written.
    ///
    /// # Errors
    ///
    /// Where the connection broke, or does not come up.
    pub(super) fn flush(&mut self) -> std::io::Result<bool> {
        Ok(self.stream.is_connected()? && self.stream.flush()?)
    }
}
