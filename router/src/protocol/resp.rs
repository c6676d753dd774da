//! RESP2, the protocol of clients and hosts: parsing and writing of replies and commands.
//!
//! An invalid message is an error as soon as its first wrong byte has been received, not only at its end.

use std::io::Write;

use super::{Malformed, ParseResult};
use crate::limits::RespLimits;

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A simple string, which is a status.
    Simple(&'a [u8]),
    /// An error.
    Error(&'a [u8]),
    /// An integer.
    Number(i64),
    /// A bulk string; `None` for the null string.
    Bulk(Option<&'a [u8]>),
    /// An array; `None` for the null array.
    Array(Option<Vec<Reply<'a>>>),
}

/// Maximum nesting depth of a reply: an array of values that are not arrays.
const MAX_DEPTH: usize = 2;
/// The length that marks a null string or array.
const NULL_LENGTH: i64 = -1;
/// The line terminator, CR LF.
const LINE_END: &[u8] = b"\r\n";

/// Parses the rest of a line of at most `max_bytes` bytes.
fn parse_text_line(bytes: &[u8], max_bytes: usize) -> ParseResult<&[u8]> {
    match bytes.iter().take(max_bytes).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some((&bytes[..end - 1], end + 1))),
        Some(_) => Err(Malformed::new("a line does not end in CR LF")),
        None if bytes.len() >= max_bytes => Err(Malformed::new("a line is too long")),
        None => Ok(None),
    }
}

/// Parses a length or number and its line terminator.
fn parse_number_line(bytes: &[u8], max_digits: usize) -> ParseResult<i64> {
    let sign = usize::from(bytes.first() == Some(&b'-'));
    let digits = bytes[sign..]
        .iter()
        .take(max_digits + 1)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    let (text, rest) = bytes.split_at(sign + digits);
    let may_be_number = digits <= max_digits
        && (digits > 0 || rest.is_empty())
        && LINE_END.starts_with(&rest[..rest.len().min(LINE_END.len())]);
    if !may_be_number {
        return Err(not_a_number());
    }
    if rest.len() < LINE_END.len() {
        return Ok(None);
    }
    Ok(Some((parse_number(text)?, text.len() + LINE_END.len())))
}

/// Parses an integer, which unlike in Rust must not begin with a `+`.
fn parse_number(text: &[u8]) -> Result<i64, Malformed> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    let has_only_digits = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(text)
        .ok()
        .filter(|_| has_only_digits)
        .and_then(|text| text.parse().ok());
    parsed.ok_or_else(not_a_number)
}

fn not_a_number() -> Malformed {
    Malformed::new("a length or number is not one")
}

/// Parses the content of a bulk string and its line terminator, which follow the line with its length. `offset` is
/// their position in the message.
fn parse_bulk_string<'a>(
    bytes: &'a [u8],
    length: i64,
    offset: usize,
    limits: &RespLimits,
) -> ParseResult<&'a [u8]> {
    let fits = |length: &usize| {
        *length <= limits.value && offset + length + LINE_END.len() <= limits.message
    };
    let length = usize::try_from(length)
        .ok()
        .filter(fits)
        .ok_or_else(|| Malformed::new("a bulk string is too long"))?;
    let end = bytes.get(length..).unwrap_or_default();
    match &end[..end.len().min(LINE_END.len())] {
        b"\r\n" => Ok(Some((&bytes[..length], length + LINE_END.len()))),
        b"" | b"\r" => Ok(None),
        _ => Err(Malformed::new("a bulk string does not end where it says")),
    }
}

/// Parses a reply.
///
/// # Errors
///
/// If the bytes are not a RESP reply, or the reply exceeds the limits.
pub fn parse_reply<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<Reply<'a>> {
    parse_nested(bytes, 0, limits, MAX_DEPTH)
}

/// Parses the reply at `offset` in the message. `depth` is the remaining nesting depth.
fn parse_nested<'a>(
    message: &'a [u8],
    offset: usize,
    limits: &RespLimits,
    depth: usize,
) -> ParseResult<Reply<'a>> {
    let bytes = &message[offset..];
    let Some(type_byte) = bytes.first() else {
        return Ok(None);
    };
    match type_byte {
        b'+' | b'-' => {
            let line = parse_text_line(&bytes[1..], limits.line)?;
            let reply = |text| match type_byte {
                b'+' => Reply::Simple(text),
                _ => Reply::Error(text),
            };
            Ok(line.map(|(text, length)| (reply(text), 1 + length)))
        }
        b':' | b'$' | b'*' => {
            let Some((number, length)) = parse_number_line(&bytes[1..], limits.digits)? else {
                return Ok(None);
            };
            let header = 1 + length;
            match type_byte {
                b':' => Ok(Some((Reply::Number(number), header))),
                b'$' => parse_bulk_reply(message, offset, header, number, limits),
                _ => parse_array(message, offset, header, number, limits, depth),
            }
        }
        _ => Err(Malformed::new("a reply begins with an unknown type byte")),
    }
}

/// Parses a bulk string at `offset` whose length line takes `header` bytes.
fn parse_bulk_reply<'a>(
    message: &'a [u8],
    offset: usize,
    header: usize,
    length: i64,
    limits: &RespLimits,
) -> ParseResult<Reply<'a>> {
    if length == NULL_LENGTH {
        return Ok(Some((Reply::Bulk(None), header)));
    }
    let start = offset + header;
    let string = parse_bulk_string(&message[start..], length, start, limits)?;
    Ok(string.map(|(value, length)| (Reply::Bulk(Some(value)), header + length)))
}

/// Parses an array at `offset` whose length line takes `header` bytes.
fn parse_array<'a>(
    message: &'a [u8],
    offset: usize,
    header: usize,
    length: i64,
    limits: &RespLimits,
    depth: usize,
) -> ParseResult<Reply<'a>> {
    if length == NULL_LENGTH {
        return Ok(Some((Reply::Array(None), header)));
    }
    let count = usize::try_from(length)
        .ok()
        .filter(|count| *count <= limits.words && depth > 1)
        .ok_or_else(|| Malformed::new("an array is too long or nested too deeply"))?;
    let mut used = header;
    let mut items = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((item, length)) = parse_nested(message, offset + used, limits, depth - 1)? else {
            return Ok(None);
        };
        used += length;
        items.push(item);
    }
    Ok(Some((Reply::Array(Some(items)), used)))
}

/// Parses a command, which is an array of one or more bulk strings.
///
/// # Errors
///
/// If the bytes are not a RESP command, or the command exceeds the limits.
pub fn parse_command<'a>(bytes: &'a [u8], limits: &RespLimits) -> ParseResult<Vec<&'a [u8]>> {
    let Some(type_byte) = bytes.first() else {
        return Ok(None);
    };
    if *type_byte != b'*' {
        return Err(Malformed::new("a command is an array of bulk strings"));
    }
    let Some((count, length)) = parse_number_line(&bytes[1..], limits.digits)? else {
        return Ok(None);
    };
    let mut used = 1 + length;
    let count = usize::try_from(count)
        .ok()
        .filter(|count| (1..=limits.words).contains(count))
        .ok_or_else(|| Malformed::new("a command has no words or too many"))?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((word, length)) = parse_word(bytes, used, limits)? else {
            return Ok(None);
        };
        used += length;
        words.push(word);
    }
    Ok(Some((words, used)))
}

/// Parses the word of a command at `offset` in the message.
fn parse_word<'a>(bytes: &'a [u8], offset: usize, limits: &RespLimits) -> ParseResult<&'a [u8]> {
    match bytes.get(offset) {
        Some(b'$') => {}
        Some(_) => return Err(Malformed::new("a word of a command is no bulk string")),
        None => return Ok(None),
    }
    let Some((length, line)) = parse_number_line(&bytes[offset + 1..], limits.digits)? else {
        return Ok(None);
    };
    let header = 1 + line;
    let start = offset + header;
    let string = parse_bulk_string(&bytes[start..], length, start, limits)?;
    Ok(string.map(|(word, length)| (word, header + length)))
}

/// A command to be written. Its words are not copied.
pub struct EncodedCommand<'a> {
    /// What stands before each slice of `words`: ends of words, and the lengths of the next ones.
    headers: Vec<String>,
    words: Vec<&'a [u8]>,
    /// The end of the last word and the headers that follow it.
    next_header: String,
}

impl<'a> EncodedCommand<'a> {
    /// The beginning of a command of so many words.
    pub fn new(words: usize) -> Self {
        EncodedCommand {
            headers: Vec::with_capacity(words),
            words: Vec::with_capacity(words),
            next_header: format!("*{words}\r\n"),
        }
    }

    /// Adds a word.
    pub fn push(&mut self, word: &'a [u8]) {
        self.next_header.push_str(&format!("${}\r\n", word.len()));
        self.push_slice(word);
        self.next_header.push_str("\r\n");
    }

    /// Adds a word that consists of `before`, a short text and `after`.
    pub fn push_replaced(&mut self, before: &'a [u8], text: &str, after: &'a [u8]) {
        let length = before.len() + text.len() + after.len();
        self.next_header.push_str(&format!("${length}\r\n"));
        self.push_slice(before);
        self.next_header.push_str(text);
        self.push_slice(after);
        self.next_header.push_str("\r\n");
    }

    /// The parts of the command in their order.
    pub fn parts(&self) -> Vec<&[u8]> {
        let mut parts = Vec::with_capacity(2 * self.words.len() + 1);
        for (header, word) in self.headers.iter().zip(&self.words) {
            parts.push(header.as_bytes());
            parts.push(word);
        }
        parts.push(self.next_header.as_bytes());
        parts
    }

    fn push_slice(&mut self, slice: &'a [u8]) {
        self.headers.push(std::mem::take(&mut self.next_header));
        self.words.push(slice);
    }
}

// The functions below ignore the results of writing, since writing to a buffer cannot fail.

/// Writes a command.
pub fn write_command(out: &mut impl Write, words: &[&[u8]]) {
    let _ = write!(out, "*{}\r\n", words.len());
    for word in words {
        write_bulk(out, word);
    }
}

/// Calls `write` with the parts of a bulk string, whose value is not copied.
pub fn with_bulk_parts<T>(value: &[u8], write: impl FnOnce(&[&[u8]]) -> T) -> T {
    let header = format!("${}\r\n", value.len());
    write(&[header.as_bytes(), value, LINE_END])
}

/// Writes a bulk string.
pub fn write_bulk(out: &mut impl Write, value: &[u8]) {
    let _ = write!(out, "${}\r\n", value.len());
    let _ = out.write_all(value);
    let _ = out.write_all(LINE_END);
}

/// Writes a simple string.
pub fn write_simple(out: &mut impl Write, text: &str) {
    let _ = write!(out, "+{text}\r\n");
}

/// Writes an error.
pub fn write_error(out: &mut impl Write, text: &str) {
    let _ = write!(out, "-{text}\r\n");
}
