//! Arrival times of what a client has sent and the router has not taken yet. The time of a request counts from the
//! arrival of its last byte, also where it waits unread because the client's pipeline is full.

use std::collections::VecDeque;

/// Marks of one client. Where there are more, the last one also covers the bytes that come later, so that these
/// count as older than they are and never as younger.
const MOST_MARKS: usize = 128;

/// So many bytes arrived at this time (seconds of the router's clock), or later.
struct Mark {
    bytes: usize,
    at: f64,
}

/// The arrival times of the bytes in a client's input buffer, in the order of the bytes.
#[derive(Default)]
pub(super) struct Arrivals {
    marks: VecDeque<Mark>,
    /// Bytes were left in the socket by a read, which arrived at this time or later.
    left_since: Option<f64>,
}

impl Arrivals {
    /// A read took so many bytes, which arrived at this time or later. It emptied the socket, or left bytes in it.
    pub(super) fn read(&mut self, bytes: usize, at: f64, emptied: bool) {
        let at = self.left_since.unwrap_or(at);
        self.left_since = (!emptied).then_some(at);
        if bytes == 0 {
            return;
        }
        let full = self.marks.len() >= MOST_MARKS;
        match self.marks.back_mut() {
            Some(last) if full || last.at == at => last.bytes += bytes,
            _ => self.marks.push_back(Mark { bytes, at }),
        }
    }

    /// When the last of the first so many bytes arrived, if as many are there.
    pub(super) fn of(&self, mut bytes: usize) -> Option<f64> {
        for mark in &self.marks {
            if bytes <= mark.bytes {
                return Some(mark.at);
            }
            bytes -= mark.bytes;
        }
        None
    }

    /// The first so many bytes, or all where there are fewer, have been used.
    pub(super) fn consume(&mut self, mut bytes: usize) {
        while let Some(mark) = self.marks.front_mut() {
            if bytes < mark.bytes {
                mark.bytes -= bytes;
                return;
            }
            bytes -= mark.bytes;
            self.marks.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
