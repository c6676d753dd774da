//! A call to discovery: a connection with one request at a time, and the response as far as it has been received.

use super::event_loop::EventLoop;
use crate::limits::ResponseLimits;
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, ChunkedBody, Response};
use crate::transport::{ReadStatus, Stream};

const HTTP_STATUS_OK: u16 = 200;

/// What a call requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Query {
    /// The full list, with which a watch begins.
    InitialFull,
    /// The changes since the known version; discovery holds the request until there are some.
    Changes,
    /// The full list once, outside the watch.
    SingleFull,
}

/// A connection to discovery with one request at a time.
pub(super) struct Call {
    pub(super) stream: Stream,
    pub(super) query: Query,
    /// Identifies the request to its timers; 0 before the first request.
    pub(super) request_number: u64,
    /// When the request was sent, in Unix seconds.
    pub(super) requested_at: f64,
    /// How long discovery may hold the request, in seconds.
    pub(super) hold: f64,
    /// Discovery serves this request after those of other routers, and does not hold it.
    pub(super) is_served_in_turn: bool,
    /// Since when the request has been late, in Unix seconds; `None` while its response is expected.
    pub(super) late_since: Option<f64>,
    /// How many lists had been accepted when the request was sent.
    pub(super) accepted_before: u64,
    /// When connecting began, in Unix seconds.
    pub(super) connected_at: f64,
    /// The progress of a response that is not complete.
    pub(super) partial: Option<PartialResponse>,
    /// What has been parsed of a chunked response.
    pub(super) chunks: ChunkedBody,
    /// Discovery has closed the connection.
    pub(super) is_closed: bool,
}

/// How much of a response has been received.
pub(super) struct PartialResponse {
    pub(super) bytes: usize,
    /// When its last bytes were received, in Unix seconds.
    pub(super) last_received: f64,
}

/// The end of a complete response.
pub(super) struct ResponseEnd {
    /// Length of the response in the input.
    pub(super) bytes: usize,
    /// Whether discovery keeps the connection open.
    pub(super) stays_open: bool,
    /// Whether it holds no changes, so that discovery has held the request for its whole hold time.
    pub(super) is_unchanged: bool,
}

impl Call {
    /// Whether the call is part of the watch, and not for a single list.
    pub(super) fn is_watch(&self) -> bool {
        self.query != Query::SingleFull
    }

    /// Whether the response is late, so that the request has been repeated on another connection.
    pub(super) fn is_late(&self) -> bool {
        self.late_since.is_some()
    }

    /// Whether discovery has not begun to respond to a request that it serves after those of other routers.
    pub(super) fn awaits_its_turn(&self) -> bool {
        self.is_served_in_turn && self.partial.is_none()
    }

    /// The response in the input and its length in bytes; `None` where it is incomplete.
    ///
    /// # Errors
    ///
    /// Where it is malformed, too long or has another status than 200.
    pub(super) fn response(
        &mut self,
        limits: &ResponseLimits,
    ) -> Result<Option<(Response<'_>, usize)>, Malformed> {
        let input = self.stream.input();
        let Some((response, bytes)) = discovery::parse_response(input, limits, &mut self.chunks)?
        else {
            // The input buffer is full, so the rest would never be read.
            if input.len() >= limits.max_response_bytes() {
                return Err(Malformed::new(format!(
                    "the response is longer than {} bytes",
                    limits.max_response_bytes()
                )));
            }
            return Ok(None);
        };
        if response.status != HTTP_STATUS_OK {
            return Err(Malformed::new(format!("HTTP status {}", response.status)));
        }
        Ok(Some((response, bytes)))
    }

    /// Writes the request. True once all is written; false where the connection is not established or the socket takes
    /// no more.
    pub(super) fn flush(&mut self) -> std::io::Result<bool> {
        Ok(self.stream.is_connected()? && self.stream.flush()?)
    }

    /// Reads all available input, up to the size of the longest response.
    pub(super) fn read(&mut self, event_loop: &EventLoop) {
        let max_bytes = event_loop.limits.discovery.response.max_response_bytes();
        let bytes_per_turn = event_loop.limits.event_loop.read_bytes_per_turn;
        let mut status = ReadStatus::More;
        while status == ReadStatus::More && self.stream.input().len() < max_bytes {
            status = self.stream.read_available(max_bytes, bytes_per_turn);
        }
        self.is_closed = status == ReadStatus::Closed;
    }
}
