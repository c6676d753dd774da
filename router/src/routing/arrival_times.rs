//! Arrival times of the input that a client has sent and the router has not consumed yet.
//!
//! The time limit of a request counts from the arrival of its last byte, even if the request then waits because the
//! client's pipeline is full.

use std::collections::VecDeque;

/// Segments of one client. At this limit the last segment also takes the bytes that arrive later, so that they count
/// as older than they are and never as newer.
const MAX_SEGMENTS: usize = 128;

/// Consecutive bytes with one arrival time, in Unix seconds. They arrived then or later.
struct Segment {
    bytes: usize,
    arrived_at: f64,
}

/// The arrival times of the bytes in a client's input buffer.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    /// In the order of the bytes.
    segments: VecDeque<Segment>,
    /// Where the last read left bytes in the socket: the earliest time at which they may have arrived.
    socket_unread_since: Option<f64>,
}

impl ArrivalTimes {
    /// Records a read of `bytes` bytes, which arrived at `arrived_at` or later. `drained` says whether the read
    /// emptied the socket.
    pub(super) fn record_read(&mut self, bytes: usize, arrived_at: f64, drained: bool) {
        let arrived_at = self.socket_unread_since.unwrap_or(arrived_at);
        self.socket_unread_since = (!drained).then_some(arrived_at);
        if bytes == 0 {
            return;
        }
        let full = self.segments.len() >= MAX_SEGMENTS;
        match self.segments.back_mut() {
            Some(last) if full || last.arrived_at == arrived_at => last.bytes += bytes,
            _ => self.segments.push_back(Segment { bytes, arrived_at }),
        }
    }

    /// When the last of the first `bytes` bytes arrived; `None` where the buffer holds fewer.
    pub(super) fn arrival_of(&self, mut bytes: usize) -> Option<f64> {
        for segment in &self.segments {
            if bytes <= segment.bytes {
                return Some(segment.arrived_at);
            }
            bytes -= segment.bytes;
        }
        None
    }

    /// Removes the first `bytes` bytes, or all where there are fewer.
    pub(super) fn consume(&mut self, mut bytes: usize) {
        while let Some(segment) = self.segments.front_mut() {
            if bytes < segment.bytes {
                segment.bytes -= bytes;
                return;
            }
            bytes -= segment.bytes;
            self.segments.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
