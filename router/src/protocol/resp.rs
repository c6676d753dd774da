//! RESP2: replies, commands, and writing both.

use std::io::Write;

use super::{Malformed, Read};
use crate::limits::RespLimits;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    Simple(&'a [u8]),
    Error(&'a [u8]),
    Number(i64),
    Bulk(Option<&'a [u8]>),
    Array(Option<Vec<Reply<'a>>>),
}

/// An answer is an array of plain values.
const DEPTH: usize = 2;

fn line(bytes: &[u8], most: usize) -> Read<&[u8]> {
    match bytes.iter().take(most).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some((&bytes[..end - 1], end + 1))),
        Some(_) => Err(Malformed::new("a line does not end in CR LF")),
        None if bytes.len() >= most => Err(Malformed::new("a line is too long")),
        None => Ok(None),
    }
}

/// A length or number and its line end: anything else is certain at its first wrong byte.
fn digits(bytes: &[u8], most: usize) -> Read<i64> {
    let sign = usize::from(bytes.first() == Some(&b'-'));
    let count = bytes[sign..]
        .iter()
        .take(most + 1)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    let (text, rest) = bytes.split_at(sign + count);
    let fits = count <= most
        && (count > 0 || rest.is_empty())
        && b"\r\n".starts_with(&rest[..rest.len().min(2)]);
    match rest.len() {
        _ if !fits => Err(Malformed::new("a length or number is not one")),
        0 | 1 => Ok(None),
        _ => Ok(Some((number(text)?, text.len() + 2))),
    }
}

fn number(text: &[u8]) -> Result<i64, Malformed> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(text)
        .ok()
        .filter(|_| plain)
        .and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| Malformed::new("a length or number is not one"))
}

/// The bytes of a bulk string of this length and its line end; so much of the message came before it.
fn bulk<'a>(bytes: &'a [u8], length: i64, before: usize, limits: &RespLimits) -> Read<&'a [u8]> {
    let fits = |length: &usize| *length <= limits.value && before + length + 2 <= limits.message;
    let length = usize::try_from(length).ok().filter(fits);
    let length = length.ok_or_else(|| Malformed::new("a bulk string is too long"))?;
    let end = bytes.get(length..).unwrap_or_default();
    let end = &end[..end.len().min(2)];
    match end {
        b"\r\n" => Ok(Some((&bytes[..length], length + 2))),
        b"" | b"\r" => Ok(None),
        _ => Err(Malformed::new("a bulk string does not end where it says")),
    }
}

pub fn reply<'a>(bytes: &'a [u8], limits: &RespLimits) -> Read<Reply<'a>> {
    nested(bytes, 0, limits, DEPTH)
}

/// The reply that begins after so many bytes of the message.
fn nested<'a>(
    message: &'a [u8],
    before: usize,
    limits: &RespLimits,
    depth: usize,
) -> Read<Reply<'a>> {
    let bytes = &message[before..];
    let Some(kind) = bytes.first() else {
        return Ok(None);
    };
    if !b"+-:$*".contains(kind) {
        return Err(Malformed::new(
            "a reply begins with none of the known marks",
        ));
    }
    if b"+-".contains(kind) {
        let read = line(&bytes[1..], limits.line)?;
        let reply = |text| {
            if *kind == b'+' {
                Reply::Simple(text)
            } else {
                Reply::Error(text)
            }
        };
        return Ok(read.map(|(text, after)| (reply(text), 1 + after)));
    }
    let Some((number, after)) = digits(&bytes[1..], limits.digits)? else {
        return Ok(None);
    };
    let mut used = 1 + after;
    let reply = match kind {
        b':' => Reply::Number(number),
        b'$' => match number {
            -1 => Reply::Bulk(None),
            length => {
                let Some((value, after)) = bulk(&bytes[used..], length, before + used, limits)?
                else {
                    return Ok(None);
                };
                used += after;
                Reply::Bulk(Some(value))
            }
        },
        _ => match number {
            -1 => Reply::Array(None),
            count => {
                let count = usize::try_from(count)
                    .ok()
                    .filter(|count| *count <= limits.words && depth > 1);
                let count =
                    count.ok_or_else(|| Malformed::new("an array is too long or too deep"))?;
                let mut items = Vec::with_capacity(count);
                for _ in 0..count {
                    let read = nested(message, before + used, limits, depth - 1)?;
                    let Some((item, after)) = read else {
                        return Ok(None);
                    };
                    used += after;
                    items.push(item);
                }
                Reply::Array(Some(items))
            }
        },
    };
    Ok(Some((reply, used)))
}

/// A command: an array of bulk strings, at least one.
pub fn command<'a>(bytes: &'a [u8], limits: &RespLimits) -> Read<Vec<&'a [u8]>> {
    let Some(kind) = bytes.first() else {
        return Ok(None);
    };
    if *kind != b'*' {
        return Err(Malformed::new("a command is an array of bulk strings"));
    }
    let Some((count, after)) = digits(&bytes[1..], limits.digits)? else {
        return Ok(None);
    };
    let mut used = 1 + after;
    let count = usize::try_from(count)
        .ok()
        .filter(|count| (1..=limits.words).contains(count));
    let count = count.ok_or_else(|| Malformed::new("a command has no words or too many"))?;
    let mut read = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(used) {
            Some(b'$') => {}
            Some(_) => return Err(Malformed::new("a word of a command is no bulk string")),
            None => return Ok(None),
        }
        let Some((length, after)) = digits(&bytes[used + 1..], limits.digits)? else {
            return Ok(None);
        };
        used += 1 + after;
        let Some((word, after)) = bulk(&bytes[used..], length, used, limits)? else {
            return Ok(None);
        };
        used += after;
        read.push(word);
    }
    Ok(Some((read, used)))
}

// Writing to a vector does not fail.

pub fn write_command(out: &mut Vec<u8>, words: &[&[u8]]) {
    let _ = write!(out, "*{}\r\n", words.len());
    words.iter().for_each(|word| write_bulk(out, word));
}

pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

pub fn write_simple(out: &mut Vec<u8>, text: &str) {
    let _ = write!(out, "+{text}\r\n");
}

pub fn write_error(out: &mut Vec<u8>, text: &str) {
    let _ = write!(out, "-{text}\r\n");
}
