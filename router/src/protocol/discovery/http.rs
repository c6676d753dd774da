//! Parsing of HTTP/1.1 responses (RFC 9112) with a content length or chunked encoding.

use std::borrow::Cow;

use crate::limits::ResponseLimits;
use crate::protocol::{Malformed, ParseResult};

/// The line terminator after a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Cow<'a, [u8]>,
    /// Whether the server keeps the connection open.
    pub stays_open: bool,
}

/// The part of a chunked body that has been received. Each chunk is decoded once, regardless of how many reads the body
/// takes.
#[derive(Debug, Default)]
pub struct ChunkedBody {
    /// Bytes after the head that have been decoded.
    consumed: usize,
    body: Vec<u8>,
}

/// Parses a response. `received` keeps the decoded part of a chunked body between calls, and is a new one for each
/// response.
///
/// # Errors
///
/// If the bytes are not an HTTP response, it exceeds the limits, or it has neither a content length nor chunked
/// encoding: such a response cannot be distinguished from a truncated one.
pub fn parse_response<'a>(
    bytes: &'a [u8],
    limits: &ResponseLimits,
    received: &mut ChunkedBody,
) -> ParseResult<Response<'a>> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head
        .parse(bytes)
        .map_err(|e| Malformed::new(e.to_string()))?;
    let head_length = match parsed {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => bytes.len(),
    };
    if head_length > limits.head {
        return Err(too_long("head", head_length, limits.head));
    }
    if parsed.is_partial() {
        return Ok(None);
    }
    let is_chunked = header(&head, "transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let body = if is_chunked {
        received
            .read(&bytes[head_length..], limits)?
            .map(|(body, length)| (Cow::Owned(body), length))
    } else {
        let length = content_length(&head, limits)?;
        bytes
            .get(head_length..head_length + length)
            .map(|body| (Cow::Borrowed(body), length))
    };
    let status = head.code.unwrap_or_default();
    let stays_open =
        !header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok(body.map(|(body, length)| {
        let response = Response {
            status,
            body,
            stays_open,
        };
        (response, head_length + length)
    }))
}

/// The value of a header; empty if it is not UTF-8.
fn header<'a>(head: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    Some(std::str::from_utf8(header.value).unwrap_or_default().trim())
}

fn content_length(head: &httparse::Response, limits: &ResponseLimits) -> Result<usize, Malformed> {
    let length = header(head, "content-length").and_then(|value| value.parse::<usize>().ok());
    let length =
        length.ok_or_else(|| Malformed::new("content-length is missing or not a number"))?;
    if length > limits.body {
        return Err(too_long("content-length", length, limits.body));
    }
    Ok(length)
}

fn too_long(what: &str, bytes: usize, maximum: usize) -> Malformed {
    Malformed::new(format!(
        "{what}: the answer is too long ({bytes} bytes; {maximum} at most)"
    ))
}

/// The sizes of a chunk, in bytes.
struct ChunkSize {
    /// The line with the chunk's size.
    line: usize,
    /// The data of the chunk.
    size: usize,
}

impl ChunkedBody {
    /// Decodes the received chunks. Returns the body and its encoded length once the last chunk has been received.
    fn read(&mut self, bytes: &[u8], limits: &ResponseLimits) -> ParseResult<Vec<u8>> {
        loop {
            let unread = bytes.get(self.consumed..).unwrap_or_default();
            let Some(chunk) = chunk_size(unread, limits)? else {
                return Ok(None);
            };
            let body_length = chunk.size.saturating_add(self.body.len());
            if body_length > limits.body {
                return Err(too_long("chunks", body_length, limits.body));
            }
            let end = chunk.line + chunk.size + CHUNK_END.len();
            let Some(data) = unread.get(chunk.line..end) else {
                return Ok(None);
            };
            if !data.ends_with(CHUNK_END) {
                return Err(Malformed::new("a chunk does not end at its declared size"));
            }
            self.body.extend_from_slice(&data[..chunk.size]);
            self.consumed += end;
            if chunk.size == 0 {
                return Ok(Some((std::mem::take(&mut self.body), self.consumed)));
            }
            let maximum = limits.max_response_bytes();
            if self.consumed > maximum {
                return Err(too_long("chunks with their sizes", self.consumed, maximum));
            }
        }
    }
}

/// The size of the next chunk; `None` if the line with the size has not been received completely.
fn chunk_size(unread: &[u8], limits: &ResponseLimits) -> Result<Option<ChunkSize>, Malformed> {
    let parsed = httparse::parse_chunk_size(unread)
        .map_err(|_| Malformed::new("a chunk's size is not a number"))?;
    match parsed {
        httparse::Status::Complete((line, size)) => Ok(Some(ChunkSize {
            line,
            size: size as usize,
        })),
        httparse::Status::Partial if unread.len() > limits.head => {
            Err(too_long("a chunk's size", unread.len(), limits.head))
        }
        httparse::Status::Partial => Ok(None),
    }
}
