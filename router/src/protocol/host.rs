//! Responses of hosts, and health checks.

use super::resp::{self, Reply, write_command};
use super::{Malformed, ParseResult};
use crate::limits::RespLimits;

/// A host's response to a request. `load` is its load report, if it sent one.
#[derive(Debug, PartialEq, Eq)]
pub enum HostResponse<'a> {
    /// The request succeeded.
    Value {
        /// The response's value.
        value: &'a [u8],
        /// The load report.
        load: Option<&'a str>,
    },
    /// The request failed; it may have run.
    Error {
        /// The load report.
        load: Option<&'a str>,
    },
    /// The host was full; the request has not run.
    Rejected {
        /// The load report.
        load: Option<&'a str>,
    },
    /// The host does not know a command of this form, which is a defect of this router.
    UnknownCommand(&'a str),
}

/// A host's response to a health check.
#[derive(Debug, PartialEq, Eq)]
pub struct ProbeResponse<'a> {
    /// Whether the host says that it is well.
    pub is_healthy: bool,
    /// The load report.
    pub load: Option<&'a str>,
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}

/// The last word of an error line, which is the load report if it holds a `=`.
fn trailing_load_report(line: &str) -> Option<&str> {
    line.rsplit(' ').next().filter(|word| word.contains('='))
}

/// Parses a response to a request.
///
/// # Errors
///
/// Where the bytes are no RESP reply, or none that a host sends.
pub fn parse_response<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<HostResponse<'a>> {
    let Some((reply, length)) = resp::parse_reply(bytes, limits)? else {
        return Ok(None);
    };
    let response = match reply {
        Reply::Array(Some(items)) => value_response(&items)?,
        Reply::Error(line) => error_response(text(line)),
        _ => return Err(Malformed::new("an answer is neither an array nor an error")),
    };
    Ok(Some((response, length)))
}

fn value_response<'a>(items: &[Reply<'a>]) -> Result<HostResponse<'a>, Malformed> {
    let [Reply::Bulk(Some(value)), rest @ ..] = items else {
        return Err(Malformed::new("an answer begins with no value"));
    };
    let report = rest.iter().rev().find_map(|item| match item {
        Reply::Bulk(report) => Some(report.map(text)),
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

/// Parses a response to a health check.
///
/// # Errors
///
/// Where the bytes are no RESP reply, or none that a host sends.
pub fn parse_probe_response<'a>(
    bytes: &'a [u8],
    limits: &RespLimits,
) -> ParseResult<ProbeResponse<'a>> {
    let Some((reply, length)) = resp::parse_reply(bytes, limits)? else {
        return Ok(None);
    };
    let (is_healthy, load) = match reply {
        Reply::Simple(_) => (true, None),
        Reply::Bulk(report) => (true, report.map(text)),
        Reply::Error(line) => (false, trailing_load_report(text(line))),
        _ => return Err(Malformed::new("an answer to a probe is of no known form")),
    };
    Ok(Some((ProbeResponse { is_healthy, load }, length)))
}

/// Writes a health check, which asks for a load report or not.
pub fn write_probe(out: &mut Vec<u8>, with_report: bool) {
    if with_report {
        write_command(out, &[b"INFO", b"load"]);
    } else {
        write_command(out, &[b"PING"]);
    }
}
