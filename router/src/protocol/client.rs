//! Commands of clients, and the responses that the router itself makes.

use std::io::Write;
use std::rc::Rc;

use super::resp::{self, EncodedCommand, write_error};
use super::{Malformed, ParseResult};
use crate::limits::RespLimits;
use crate::transport::{Buffer, BufferOwner, MemoryLedger};

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
    /// Total length of the words, in bytes.
    pub fn size(&self) -> usize {
        self.words.iter().map(|word| word.len()).sum()
    }

    /// Copies the command out of the receive buffer.
    pub fn to_stored(&self, memory: &Rc<MemoryLedger>) -> StoredCommand {
        let mut bytes = Buffer::new(BufferOwner::Commands, memory);
        bytes.reserve_exact(self.size());
        let mut word_ends = Vec::with_capacity(self.words.len());
        for word in &self.words {
            bytes.append(word);
            word_ends.push(bytes.len());
        }
        StoredCommand {
            bytes,
            word_ends: word_ends.into(),
        }
    }
}

/// A copy of the words of a request's command, in one buffer.
pub struct StoredCommand {
    bytes: Buffer,
    /// The end of each word in `bytes`.
    word_ends: Box<[usize]>,
}

impl StoredCommand {
    /// The request id, chosen by the client.
    pub fn id(&self) -> &[u8] {
        self.words().nth(REQUEST_ID_INDEX).unwrap_or_default()
    }

    fn words(&self) -> impl Iterator<Item = &[u8]> {
        let starts = std::iter::once(0).chain(self.word_ends.iter().copied());
        starts
            .zip(&self.word_ends)
            .map(|(start, end)| &self.bytes.data()[start..*end])
    }

    /// The command as the client sent it, but with `time_limit_millis` as the remaining time limit (`d`).
    pub fn encode(&self, time_limit_millis: u64) -> EncodedCommand<'_> {
        let mut encoded = EncodedCommand::new(self.word_ends.len());
        for (index, word) in self.words().enumerate() {
            let parameters = (index == PARAMETERS_INDEX)
                .then(|| std::str::from_utf8(word).ok())
                .flatten();
            match parameters.and_then(split_at_time_limit) {
                Some((before, after)) => {
                    let time_limit = format!("d={time_limit_millis}");
                    encoded.push_replaced(before.as_bytes(), &time_limit, after.as_bytes());
                }
                None => encoded.push(word),
            }
        }
        encoded
    }
}

/// Splits a list of parameters around its time limit (`d`).
fn split_at_time_limit(list: &str) -> Option<(&str, &str)> {
    let mut start = 0;
    for part in list.split(',') {
        let end = start + part.len();
        if part.split_once('=').is_some_and(|(name, _)| name == "d") {
            return Some((&list[..start], &list[end..]));
        }
        start = end + 1;
    }
    None
}

/// Writes the response to a rejected request. The client may retry it, after `retry_after_millis` if that is given.
pub fn write_busy(out: &mut impl Write, retry_after_millis: Option<u64>) {
    match retry_after_millis {
        Some(millis) => write_error(out, &format!("BUSY {millis}")),
        None => write_error(out, "BUSY"),
    }
}
