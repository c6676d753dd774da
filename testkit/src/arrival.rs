//! Reads from a socket together with the time at which the kernel received the bytes.
//!
//! On a busy machine, a server's thread may read a command long after it has arrived. Tests that check when the router
//! sent an attempt use the time of arrival, which does not depend on when the server's thread runs.

use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime};

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;

/// Makes the kernel record when bytes arrive on the connections that this listener accepts from now on
/// (`SO_TIMESTAMPNS`).
pub fn record_arrival_times(listener: &impl AsFd) {
    setsockopt(listener, ReceiveTimestampns, &true).expect("the socket records arrival times");
}

/// A connection that returns the arrival time of the bytes that were read last.
pub struct ArrivalReader {
    stream: TcpStream,
    last_arrival: SystemTime,
}

impl ArrivalReader {
    /// Wraps a connection of a listener that records arrival times.
    pub fn new(stream: TcpStream) -> Self {
        ArrivalReader {
            stream,
            last_arrival: SystemTime::now(),
        }
    }

    /// Returns when the bytes that were read last had arrived, or when they were read if the kernel has not recorded
    /// it.
    pub fn last_arrival(&self) -> SystemTime {
        self.last_arrival
    }
}

impl Read for ArrivalReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut slices = [IoSliceMut::new(buffer)];
        let mut control = nix::cmsg_space!(TimeSpec);
        let message = recvmsg::<()>(
            self.stream.as_raw_fd(),
            &mut slices,
            Some(&mut control),
            MsgFlags::empty(),
        )?;
        let arrival = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
            _ => None,
        });
        self.last_arrival = arrival.map_or_else(SystemTime::now, |since_epoch| {
            SystemTime::UNIX_EPOCH + since_epoch
        });
        Ok(message.bytes)
    }
}

#[cfg(test)]
mod tests;
