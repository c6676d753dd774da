//! Commands of clients, and the responses that are made here.

use std::fmt::Write;

use super::resp::{self, write_command, write_error};
use super::{Malformed, ParseResult};
use crate::limits::RespLimits;

/// The command for idempotent operations.
const IDEMPOTENT_COMMAND: &[u8] = b"Q.ASK";
/// The command for all other operations.
const NON_IDEMPOTENT_COMMAND: &[u8] = b"Q.DO";
/// The place of the request's id among the words of its command.
const ID: usize = 2;
/// The place of the list of names and values among the words of a request's command.
const PARAMETERS: usize = 3;

/// A command of a client.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// A request.
    Request(RequestCommand<'a>),
    /// A health check of this router.
    Ping,
    /// A set-up command that many client libraries send, which changes nothing here.
    SetUp,
    /// Any other command.
    Unknown,
}

/// A request as a client has written it.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestCommand<'a> {
    /// It came by the command for idempotent operations.
    pub idempotent: bool,
    /// The key by which hosts are chosen; may be empty.
    pub key: &'a str,
    /// What the client calls the request.
    pub id: &'a [u8],
    /// The operation's name.
    pub operation: &'a str,
    /// How long the client waits, in milliseconds.
    pub time_limit_millis: u64,
    /// The client has sent the request before.
    pub is_retry: bool,
    /// It carries a key by which hosts recognize a repeated request.
    pub has_idempotency_key: bool,
    words: Vec<&'a [u8]>,
}

/// Parses a command.
///
/// # Errors
///
/// Where the bytes are no RESP command, or a request's words are not of its form.
pub fn parse_command<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<Command<'a>> {
    let Some((words, length)) = resp::parse_command(bytes, limits)? else {
        return Ok(None);
    };
    let name = words[0].to_ascii_uppercase();
    let command = match name.as_slice() {
        IDEMPOTENT_COMMAND | NON_IDEMPOTENT_COMMAND => {
            Command::Request(request(words, name == IDEMPOTENT_COMMAND, limits)?)
        }
        b"PING" => Command::Ping,
        b"CLIENT" | b"SELECT" => Command::SetUp,
        _ => Command::Unknown,
    };
    Ok(Some((command, length)))
}

/// The values of a request's `name=value` list that are known here.
#[derive(Default)]
struct Parameters<'a> {
    operation: Option<&'a str>,
    time: Option<&'a str>,
    retry: Option<&'a str>,
    idempotency_key: Option<&'a str>,
}

impl<'a> Parameters<'a> {
    fn parse(list: &'a str) -> Result<Self, Malformed> {
        let mut parameters = Parameters::default();
        for part in list.split(',') {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| Malformed::new("a part is not name=value"))?;
            let known = match name {
                "c" => &mut parameters.operation,
                "d" => &mut parameters.time,
                "r" => &mut parameters.retry,
                "k" => &mut parameters.idempotency_key,
                _ => continue,
            };
            // Who reads the first of two values would see another command than who reads the second.
            if known.replace(value).is_some() {
                return Err(Malformed::new("a name stands twice"));
            }
        }
        Ok(parameters)
    }

    fn time_limit_millis(&self) -> Option<u64> {
        // The parser would also take a sign.
        let digits = |time: &&str| time.bytes().all(|byte| byte.is_ascii_digit());
        self.time.filter(digits)?.parse().ok()
    }
}

fn request<'a>(
    words: Vec<&'a [u8]>,
    idempotent: bool,
    limits: &RespLimits,
) -> Result<RequestCommand<'a>, Malformed> {
    let text = |word| std::str::from_utf8(word).map_err(|_| Malformed::new("a word is not UTF-8"));
    let (key, id, list) = match words.as_slice() {
        [_, key, id, list] | [_, key, id, list, _] => (text(*key)?, *id, text(*list)?),
        _ => return Err(Malformed::new("wrong number of words")),
    };
    if id.is_empty() || id.len() > limits.id {
        return Err(Malformed::new("no id, or too long a one"));
    }
    let parameters = Parameters::parse(list)?;
    let operation = parameters
        .operation
        .ok_or_else(|| Malformed::new("no operation (c)"))?;
    let time_limit_millis = parameters
        .time_limit_millis()
        .ok_or_else(|| Malformed::new("no time (d), or no number"))?;
    Ok(RequestCommand {
        idempotent,
        key,
        id,
        operation,
        time_limit_millis,
        is_retry: parameters.retry == Some("1"),
        has_idempotency_key: parameters
            .idempotency_key
            .is_some_and(|key| !key.is_empty()),
        words,
    })
}

impl RequestCommand<'_> {
    /// A copy of the command that outlives the buffer it was read into.
    pub fn to_stored(&self) -> StoredCommand {
        let mut bytes = Vec::with_capacity(self.words.iter().map(|word| word.len()).sum());
        let mut ends = Vec::with_capacity(self.words.len());
        for word in &self.words {
            bytes.extend_from_slice(word);
            ends.push(bytes.len());
        }
        StoredCommand {
            bytes: bytes.into(),
            ends: ends.into(),
        }
    }
}

/// The words of a request's command, one after another.
#[derive(Debug)]
pub struct StoredCommand {
    bytes: Box<[u8]>,
    /// Where each word ends.
    ends: Box<[usize]>,
}

impl StoredCommand {
    /// Bytes of all words.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// What the client calls the request.
    pub fn id(&self) -> &[u8] {
        self.ends
            .get(ID)
            .map_or(&[], |end| &self.bytes[self.ends[ID - 1]..*end])
    }

    /// Writes the command as the client sent it, but with `time_limit_millis` as the time limit that is left (`d`).
    pub fn write(&self, out: &mut Vec<u8>, time_limit_millis: u64) {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        let mut words: Vec<_> = starts
            .zip(&self.ends)
            .map(|(start, end)| &self.bytes[start..*end])
            .collect();
        let parameters = words
            .get(PARAMETERS)
            .and_then(|word| std::str::from_utf8(word).ok())
            .map(|list| with_time(list, time_limit_millis));
        if let Some(parameters) = &parameters {
            words[PARAMETERS] = parameters.as_bytes();
        }
        write_command(out, &words);
    }
}

/// A list of names and values with another time.
fn with_time(list: &str, time_limit_millis: u64) -> String {
    let mut replaced = String::new();
    for part in list.split(',') {
        if !replaced.is_empty() {
            replaced.push(',');
        }
        let written = match part.split_once('=') {
            Some(("d", _)) => write!(replaced, "d={time_limit_millis}"),
            _ => write!(replaced, "{part}"),
        };
        debug_assert!(written.is_ok());
    }
    replaced
}

/// Writes the response to a rejected request, which the client may send again, not before `retry_after_millis` if
/// that is given.
pub fn write_busy(out: &mut Vec<u8>, retry_after_millis: Option<u64>) {
    match retry_after_millis {
        Some(millis) => write_error(out, &format!("BUSY {millis}")),
        None => write_error(out, "BUSY"),
    }
}
