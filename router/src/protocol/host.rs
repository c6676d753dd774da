//! What hosts answer.

use super::resp::{self, Reply, write_command};
use super::{Malformed, Read};
use crate::limits::RespLimits;

#[derive(Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    Value {
        value: &'a [u8],
        load: Option<&'a str>,
    },
    /// It may have run.
    Error { load: Option<&'a str> },
    /// It has never run.
    Full { load: Option<&'a str> },
    /// The host does not know a command of this form: a defect here.
    Refused(&'a str),
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}

/// The load report is the last word of an error line, if it looks like one.
fn last_report(line: &str) -> Option<&str> {
    line.rsplit(' ').next().filter(|word| word.contains('='))
}

/// The answer to an invocation.
pub fn answer<'a>(bytes: &'a [u8], limits: &RespLimits) -> Read<Answer<'a>> {
    let Some((reply, used)) = resp::reply(bytes, limits)? else {
        return Ok(None);
    };
    let answer = match reply {
        Reply::Array(Some(items)) => match items.as_slice() {
            [Reply::Bulk(Some(value)), rest @ ..] => {
                let report = rest.iter().rev().find_map(|item| match item {
                    Reply::Bulk(report) => Some(report.map(text)),
                    _ => None,
                });
                Answer::Value {
                    value,
                    load: report.flatten(),
                }
            }
            _ => return Err(Malformed::new("an answer begins with no value")),
        },
        Reply::Error(line) => {
            let line = text(line);
            let load = last_report(line);
            match line.split(' ').next().unwrap_or_default() {
                "BUSY" => Answer::Full { load },
                "ERR" => Answer::Error { load },
                _ => Answer::Refused(line),
            }
        }
        _ => return Err(Malformed::new("an answer is neither an array nor an error")),
    };
    Ok(Some((answer, used)))
}

/// The answer to a probe: whether the host is well, and its report.
pub fn probed<'a>(bytes: &'a [u8], limits: &RespLimits) -> Read<(bool, Option<&'a str>)> {
    let Some((reply, used)) = resp::reply(bytes, limits)? else {
        return Ok(None);
    };
    let answer = match reply {
        Reply::Simple(_) => (true, None),
        Reply::Bulk(report) => (true, report.map(text)),
        Reply::Error(line) => (false, last_report(text(line))),
        _ => return Err(Malformed::new("an answer to a probe is of no known form")),
    };
    Ok(Some((answer, used)))
}

/// A probe, with or without a request for the report.
pub fn write_probe(out: &mut Vec<u8>, with_report: bool) {
    if with_report {
        write_command(out, &[b"INFO", b"load"])
    } else {
        write_command(out, &[b"PING"])
    }
}
