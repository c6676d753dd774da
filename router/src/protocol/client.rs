//! Commands of clients, and the responses that the router itself makes.

use std::fmt::Write;

use super::resp::{self, write_command, write_error};
use super::{Malformed, ParseResult};
use crate::limits::RespLimits;

/// The command for idempotent operations.
const IDEMPOTENT_COMMAND: &[u8] = b"Q.ASK";
/// The command for all other operations.
const NON_IDEMPOTENT_COMMAND: &[u8] = b"Q.DO";
/// Index of the request id among the words of a request's command.
const REQUEST_ID_INDEX: usize = 2;
/// Index of the list of parameters (`name=value`) among the words of a request's command.
const PARAMETERS_INDEX: usize = 3;

/// A command of a client.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// A request.
    Request(RequestCommand<'a>),
    /// A health check of this router.
    Ping,
    /// `CLIENT` or `SELECT`, which many client libraries send after connecting and which has no effect here.
    SetUp,
    /// Any other command.
    Unknown,
}

/// A request as sent by a client.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestCommand<'a> {
    /// Whether the client used the command for idempotent operations.
    pub idempotent: bool,
    /// The key for choosing a host by affinity; may be empty.
    pub key: &'a str,
    /// The request id, chosen by the client.
    pub id: &'a [u8],
    /// The operation's name.
    pub operation: &'a str,
    /// How long the client waits for the response, in milliseconds.
    pub time_limit_millis: u64,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// Whether the request carries an idempotency key, by which hosts recognize a repeated request.
    pub has_idempotency_key: bool,
    words: Vec<&'a [u8]>,
}

/// Parses a command.
///
/// # Errors
///
/// If the bytes are not a RESP command, or the words of a request are invalid.
pub fn parse_command<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<Command<'a>> {
    let Some((words, length)) = resp::parse_command(bytes, limits)? else {
        return Ok(None);
    };
    let name = words[0].to_ascii_uppercase();
    let command = match name.as_slice() {
        IDEMPOTENT_COMMAND | NON_IDEMPOTENT_COMMAND => {
            Command::Request(parse_request(words, name == IDEMPOTENT_COMMAND, limits)?)
        }
        b"PING" => Command::Ping,
        b"CLIENT" | b"SELECT" => Command::SetUp,
        _ => Command::Unknown,
    };
    Ok(Some((command, length)))
}

/// The parameters of a request that the router uses; others are passed on to the host unread.
#[derive(Default)]
struct Parameters<'a> {
    operation: Option<&'a str>,
    time_limit: Option<&'a str>,
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
                "d" => &mut parameters.time_limit,
                "r" => &mut parameters.retry,
                "k" => &mut parameters.idempotency_key,
                _ => continue,
            };
            // With two values, the router and the host could disagree on which one is valid.
            if known.replace(value).is_some() {
                return Err(Malformed::new("a name stands twice"));
            }
        }
        Ok(parameters)
    }

    fn time_limit_millis(&self) -> Option<u64> {
        // Rust's parser would also accept a leading `+`.
        let has_only_digits =
            |time_limit: &&str| time_limit.bytes().all(|byte| byte.is_ascii_digit());
        self.time_limit.filter(has_only_digits)?.parse().ok()
    }
}

/// Builds a request from the words of its command.
fn parse_request<'a>(
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
    /// Copies the command out of the receive buffer.
    pub fn to_stored(&self) -> StoredCommand {
        let mut bytes = Vec::with_capacity(self.words.iter().map(|word| word.len()).sum());
        let mut word_ends = Vec::with_capacity(self.words.len());
        for word in &self.words {
            bytes.extend_from_slice(word);
            word_ends.push(bytes.len());
        }
        StoredCommand {
            bytes: bytes.into(),
            word_ends: word_ends.into(),
        }
    }
}

/// A copy of the words of a request's command, in one buffer.
#[derive(Debug)]
pub struct StoredCommand {
    bytes: Box<[u8]>,
    /// The end of each word in `bytes`.
    word_ends: Box<[usize]>,
}

impl StoredCommand {
    /// Total length of the words, in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// The request id, chosen by the client.
    pub fn id(&self) -> &[u8] {
        self.word_ends.get(REQUEST_ID_INDEX).map_or(&[], |end| {
            &self.bytes[self.word_ends[REQUEST_ID_INDEX - 1]..*end]
        })
    }

    /// Writes the command as the client sent it, but with `time_limit_millis` as the remaining time limit (`d`).
    pub fn write(&self, out: &mut Vec<u8>, time_limit_millis: u64) {
        let starts = std::iter::once(0).chain(self.word_ends.iter().copied());
        let mut words: Vec<_> = starts
            .zip(&self.word_ends)
            .map(|(start, end)| &self.bytes[start..*end])
            .collect();
        let parameters = words
            .get(PARAMETERS_INDEX)
            .and_then(|word| std::str::from_utf8(word).ok())
            .map(|list| with_time_limit(list, time_limit_millis));
        if let Some(parameters) = &parameters {
            words[PARAMETERS_INDEX] = parameters.as_bytes();
        }
        write_command(out, &words);
    }
}

/// A list of parameters with its time limit (`d`) replaced.
fn with_time_limit(list: &str, time_limit_millis: u64) -> String {
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

/// Writes the response to a rejected request. The client may retry it, after `retry_after_millis` if that is given.
pub fn write_busy(out: &mut Vec<u8>, retry_after_millis: Option<u64>) {
    match retry_after_millis {
        Some(millis) => write_error(out, &format!("BUSY {millis}")),
        None => write_error(out, "BUSY"),
    }
}
