//! Arrival times of what a client has sent and the router has not taken yet. The time of a request counts from the
//! arrival of its last byte, also where it waits unread because the client's pipeline is full.

use std::collections::VecDeque;

/// Marks of one client. Where there are more, the last one also covers the bytes that come later, so that these
/// count as older than they are and never as younger.
const MAX_SEGMENTS: usize = 128;

/// So many bytes arrived at this time (seconds of the router's clock), or later.
struct Segment {
    bytes: usize,
    arrived_at: f64,
}

/// The arrival times of the bytes in a client's input buffer, in the order of the bytes.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    segments: VecDeque<Segment>,
    /// Bytes were left in the socket by a read, which arrived at this time or later.
    socket_unread_since: Option<f64>,
}

impl ArrivalTimes {
    /// A read took so many bytes, which arrived at this time or later. It emptied the socket, or left bytes in it.
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

    /// When the last of the first so many bytes arrived, if as many are there.
    pub(super) fn arrival_of(&self, mut bytes: usize) -> Option<f64> {
        for segment in &self.segments {
            if bytes <= segment.bytes {
                return Some(segment.arrived_at);
            }
            bytes -= segment.bytes;
        }
        None
    }

    /// The first so many bytes, or all where there are fewer, have been used.
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
