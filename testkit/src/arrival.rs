//! Reading from a socket together with the time at which this machine received the bytes.
//!
//! On a busy machine a server's thread may read a command long after it came. What a test asserts about the time of an
//! attempt is about when the router sent it, not about when the server's thread got a processor.

use std::io::{self, IoSliceMut, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, SystemTime};

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;

/// Makes the machine note when bytes come on the connections that this listener accepts from now on.
pub fn record_arrival_times(listener: &TcpListener) {
    setsockopt(listener, ReceiveTimestampns, &true).expect("a socket notes when bytes come");
}

/// A connection that tells when the bytes that were read last had come.
pub struct ArrivalReader {
    stream: TcpStream,
    last_arrival: SystemTime,
}

impl ArrivalReader {
    /// Reads from a connection of a listener that notes arrivals.
    pub fn new(stream: TcpStream) -> Self {
        ArrivalReader {
            stream,
            last_arrival: SystemTime::now(),
        }
    }

    /// When the last of the bytes that were read had come; the time of the read, where the machine does not know.
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
