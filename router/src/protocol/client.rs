//! What clients ask, and what they are answered.

use std::fmt::Write;

use super::resp::{self, write_command, write_error};
use super::{Malformed, Read};
use crate::limits::RespLimits;

const IDEMPOTENT: &[u8] = b"Q.ASK";
const OTHERS: &[u8] = b"Q.DO";

#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    Request(Asked<'a>),
    Ping,
    /// A set-up command that many client libraries send, which changes nothing here.
    SetUp,
    Unknown,
}

/// An invocation as a client has written it.
#[derive(Debug, PartialEq, Eq)]
pub struct Asked<'a> {
    /// Sent by the command for idempotent operations.
    pub idempotent: bool,
    pub key: &'a str,
    pub id: &'a [u8],
    pub operation: &'a str,
    pub time_millis: u64,
    pub again: bool,
    /// It carries a mark by which a repeat is known.
    pub fingerprinted: bool,
    words: Vec<&'a [u8]>,
}

pub fn read<'a>(bytes: &'a [u8], limits: &RespLimits) -> Read<Command<'a>> {
    let Some((words, used)) = resp::command(bytes, limits)? else {
        return Ok(None);
    };
    let name = words[0].to_ascii_uppercase();
    let command = match name.as_slice() {
        IDEMPOTENT | OTHERS => Command::Request(asked(words, name == IDEMPOTENT, limits)?),
        b"PING" => Command::Ping,
        b"CLIENT" | b"SELECT" => Command::SetUp,
        _ => Command::Unknown,
    };
    Ok(Some((command, used)))
}

fn asked<'a>(
    words: Vec<&'a [u8]>,
    idempotent: bool,
    limits: &RespLimits,
) -> Result<Asked<'a>, Malformed> {
    let text = |word| std::str::from_utf8(word).map_err(|_| Malformed::new("a word is not UTF-8"));
    let (key, id, list) = match words.as_slice() {
        [_, key, id, list] | [_, key, id, list, _] => (text(*key)?, *id, text(*list)?),
        _ => return Err(Malformed::new("wrong number of words")),
    };
    if id.is_empty() || id.len() > limits.id {
        return Err(Malformed::new("no id, or too long a one"));
    }
    let (mut operation, mut time, mut again, mut mark) = (None, None, None, None);
    for part in list.split(',') {
        let (name, value) = part
            .split_once('=')
            .ok_or_else(|| Malformed::new("a part is not name=value"))?;
        let known = match name {
            "c" => &mut operation,
            "d" => &mut time,
            "r" => &mut again,
            "k" => &mut mark,
            _ => continue,
        };
        // Whoever reads the first of two values would see another command than who reads the second.
        if known.replace(value).is_some() {
            return Err(Malformed::new("a name stands twice"));
        }
    }
    let operation = operation.ok_or_else(|| Malformed::new("no operation (c)"))?;
    let time = time.filter(|time| time.bytes().all(|byte| byte.is_ascii_digit()));
    let time_millis = time.and_then(|time| time.parse().ok());
    let time_millis = time_millis.ok_or_else(|| Malformed::new("no time (d), or no number"))?;
    let (again, fingerprinted) = (
        again == Some("1"),
        mark.is_some_and(|mark| !mark.is_empty()),
    );
    Ok(Asked {
        idempotent,
        key,
        id,
        operation,
        time_millis,
        again,
        fingerprinted,
        words,
    })
}

impl Asked<'_> {
    /// The words, to be kept longer than the buffer they were read into.
    pub fn keep(&self) -> Kept {
        let mut bytes = Vec::with_capacity(self.words.iter().map(|word| word.len()).sum());
        let ends = self.words.iter().map(|word| {
            bytes.extend_from_slice(word);
            bytes.len()
        });
        let ends = ends.collect();
        Kept {
            bytes: bytes.into(),
            ends,
        }
    }
}

/// The words of an invocation's command, one behind another.
#[derive(Debug)]
pub struct Kept {
    bytes: Box<[u8]>,
    ends: Box<[usize]>,
}

/// The id, and the list of names and values, are these words of an invocation's command.
const ID: usize = 2;
const LIST: usize = 3;

impl Kept {
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    pub fn id(&self) -> &[u8] {
        self.ends
            .get(ID)
            .map_or(&[], |end| &self.bytes[self.ends[ID - 1]..*end])
    }

    /// The command as the client sent it, but with this time (`d`).
    pub fn write(&self, out: &mut Vec<u8>, time_millis: u64) {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        let mut words: Vec<_> = starts
            .zip(&self.ends)
            .map(|(from, to)| &self.bytes[from..*to])
            .collect();
        let mut list = String::new();
        if let Some(Ok(text)) = words.get(LIST).map(|word| std::str::from_utf8(word)) {
            for part in text.split(',') {
                list.push_str(if list.is_empty() { "" } else { "," });
                let written = match part.split_once('=') {
                    Some(("d", _)) => write!(list, "d={time_millis}"),
                    _ => write!(list, "{part}"),
                };
                debug_assert!(written.is_ok());
            }
            words[LIST] = list.as_bytes();
        }
        write_command(out, &words);
    }
}

/// A final answer that says no: trying again is harmless, if wished not before so many milliseconds.
pub fn write_throttled(out: &mut Vec<u8>, stay_away_millis: Option<u64>) {
    match stay_away_millis {
        Some(millis) => write_error(out, &format!("BUSY {millis}")),
        None => write_error(out, "BUSY"),
    }
}
