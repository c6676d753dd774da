//! Responses of hosts to requests, health checks, and the barrier that tells responses from surplus ones.
//!
//! Responses carry no id: a response belongs to a command only by its place in the order. A surplus response, such as a
//! second copy of the last one, shifts that order. The reply to the barrier, a command without an effect, shows where the
//! responses to all earlier commands end.

use std::io::Write;

use super::resp::{self, Reply, write_command};
use super::{Malformed, ParseResult};
use crate::limits::RespLimits;

/// A host's response to a request. `load` is the host's load report, if it sent one.
#[derive(Debug, PartialEq, Eq)]
pub enum HostResponse<'a> {
    /// The request succeeded.
    Value {
        /// The response's value.
        value: &'a [u8],
        /// The load report.
        load: Option<&'a str>,
    },
    /// The request failed; the host may have executed it.
    Error {
        /// The load report.
        load: Option<&'a str>,
    },
    /// The host was at capacity and has not executed the request.
    Rejected {
        /// The load report.
        load: Option<&'a str>,
    },
    /// The host does not accept the command's format, which is a defect of this router. Holds the host's error.
    UnknownCommand(&'a str),
}

impl<'a> HostResponse<'a> {
    /// The value, if the request succeeded.
    pub fn value(&self) -> Option<&'a [u8]> {
        match self {
            HostResponse::Value { value, .. } => Some(value),
            _ => None,
        }
    }
}

/// The barrier; hosts reply to it with [`BARRIER_REPLY`].
const BARRIER: [&[u8]; 1] = [b"PING"];
/// The simple string that hosts reply to the barrier.
const BARRIER_REPLY: &[u8] = b"PONG";

/// What follows a response, on a connection on which the reply to the barrier is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarrierInput {
    /// The reply to the barrier, of this length: the response before it is the last one to the commands before the
    /// barrier.
    BarrierReply(usize),
    /// The beginning of a further response: the one before it was surplus.
    Response,
}

/// A host's response to a health check.
#[derive(Debug, PartialEq, Eq)]
pub struct ProbeResponse<'a> {
    /// Whether the host reports that it is healthy.
    pub is_healthy: bool,
    /// The load report.
    pub load: Option<&'a str>,
}

/// The bytes as text; empty if they are not UTF-8.
fn text_or_empty(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}

/// The load report at the end of an error: its last word, if that contains a `=`.
fn trailing_load_report(line: &str) -> Option<&str> {
    line.rsplit(' ').next().filter(|word| word.contains('='))
}

/// Parses a response to a request.
///
/// # Errors
///
/// If the bytes are not a RESP reply, or not one that a host may send.
pub fn parse_response<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<HostResponse<'a>> {
    let Some((reply, length)) = resp::parse_reply(bytes, limits)? else {
        return Ok(None);
    };
    let response = match reply {
        Reply::Array(Some(items)) => value_response(&items)?,
        Reply::Error(line) => error_response(text_or_empty(line)),
        _ => {
            return Err(Malformed::new(
                "a response is neither an array nor an error",
            ));
        }
    };
    Ok(Some((response, length)))
}

fn value_response<'a>(items: &[Reply<'a>]) -> Result<HostResponse<'a>, Malformed> {
    let [Reply::Bulk(Some(value)), rest @ ..] = items else {
        return Err(Malformed::new("a response does not begin with a value"));
    };
    let report = rest.iter().rev().find_map(|item| match item {
        Reply::Bulk(report) => Some(report.map(text_or_empty)),
        _ => None,
    });
    Ok(HostResponse::Value {
        value,
        load: report.flatten(),
    })
}

fn error_response(line: &str) -> HostResponse<'_> {
    let load = trailing_load_report(line);
    match line.split(' ').next().unwrap_or_default() {
        "BUSY" => HostResponse::Rejected { load },
        "ERR" => HostResponse::Error { load },
        _ => HostResponse::UnknownCommand(line),
    }
}

/// Parses what follows a response on a connection on which the reply to the barrier is awaited; `None` where too little
/// was received to tell.
///
/// # Errors
///
/// If it is neither a response to a request nor a reply to the barrier, or may be both, as an error may.
pub fn parse_barrier_input(
    bytes: &[u8],
    limits: &RespLimits,
) -> Result<Option<BarrierInput>, Malformed> {
    // A long response need not be complete, so that its predecessor can be discarded to make room for it.
    if bytes.first() == Some(&b'*') {
        return Ok(Some(BarrierInput::Response));
    }
    let Some((reply, length)) = resp::parse_reply(bytes, limits)? else {
        return Ok(None);
    };
    match reply {
        Reply::Simple(BARRIER_REPLY) => Ok(Some(BarrierInput::BarrierReply(length))),
        Reply::Error(line) => match error_response(text_or_empty(line)) {
            HostResponse::Rejected { .. } => Ok(Some(BarrierInput::Response)),
            _ => Err(Malformed::new(
                "an error in place of the reply to a barrier",
            )),
        },
        _ => Err(Malformed::new(
            "a reply to a barrier has an unexpected type",
        )),
    }
}

/// Writes the barrier, which goes behind a command whose response may be a surplus one.
pub fn write_barrier(out: &mut impl Write) {
    write_command(out, &BARRIER);
}

/// Parses a response to a health check.
///
/// # Errors
///
/// If the bytes are not a RESP reply, or not one that a host may send.
pub fn parse_probe_response<'a>(
    bytes: &'a [u8],
    limits: &RespLimits,
) -> ParseResult<ProbeResponse<'a>> {
    let Some((reply, length)) = resp::parse_reply(bytes, limits)? else {
        return Ok(None);
    };
    let (is_healthy, load) = match reply {
        Reply::Simple(_) => (true, None),
        Reply::Bulk(report) => (true, report.map(text_or_empty)),
        Reply::Error(line) => (false, trailing_load_report(text_or_empty(line))),
        _ => {
            return Err(Malformed::new(
                "a response to a probe has an unexpected type",
            ));
        }
    };
    Ok(Some((ProbeResponse { is_healthy, load }, length)))
}

/// Writes a health check, which asks for a load report if `with_report` is set.
pub fn write_probe(out: &mut impl Write, with_report: bool) {
    if with_report {
        write_command(out, &[b"INFO", b"load"]);
    } else {
        write_command(out, &[b"PING"]);
    }
}
