//! Framing of NETCONF messages over SSH (RFC 6242, section 4): an end-of-message mark until both sides have sent their
//! hello, chunks afterwards. Memory is bounded by the limit of a message, whatever length a chunk announces.

use thiserror::Error;

/// How messages are framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Each message ends with `]]>]]>`.
    EndMark,
    /// Each message is sent in chunks with their lengths.
    Chunks,
}

/// The end-of-message mark.
const END_MARK: &[u8] = b"]]>]]>";
/// Digits of the length of a chunk, at most.
const MAX_CHUNK_DIGITS: usize = 10;
/// `LF # # LF`, which ends a message in chunks, in bytes.
const END_OF_CHUNKS_LENGTH: usize = 4;

/// Why bytes are not messages; nothing behind them can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A message exceeds the limit.
    #[error("a message is too long")]
    MessageTooLong,
    /// A message in chunks has none.
    #[error("a message has no chunk")]
    NoChunk,
    /// A chunk does not begin with a valid header.
    #[error("a chunk begins wrongly")]
    InvalidChunkHeader,
    /// A chunk is longer than any may be (RFC 6242, section 4.2).
    #[error("a chunk is longer than any may be")]
    ChunkTooLong,
}

/// Decodes the bytes of one direction into messages.
#[derive(Debug)]
pub struct FrameDecoder {
    framing: Framing,
    max_message_bytes: usize,
    /// Bytes that have been received and not decoded.
    buffer: Vec<u8>,
    /// Bytes of the buffer in which no end mark begins.
    scanned: usize,
    /// The chunks of the current message so far.
    message: Vec<u8>,
    /// Bytes of the current chunk that are to come.
    chunk_remaining: usize,
    /// Chunks of the current message so far.
    chunk_count: usize,
}

impl FrameDecoder {
    /// A decoder of messages up to a size, framed by end marks at first.
    pub fn new(max_message_bytes: usize) -> Self {
        FrameDecoder {
            framing: Framing::EndMark,
            max_message_bytes,
            buffer: vec![],
            scanned: 0,
            message: vec![],
            chunk_remaining: 0,
            chunk_count: 0,
        }
    }

    /// The framing of the next message.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Expects chunks from the next message on.
    pub fn use_chunks(&mut self) {
        self.framing = Framing::Chunks;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message; none if its end has not been received.
    ///
    /// # Errors
    ///
    /// When the bytes are no message or it is too long; the session has to end then.
    pub fn message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        match self.framing {
            Framing::EndMark => self.decode_to_end_mark(),
            Framing::Chunks => self.decode_chunks(),
        }
    }

    fn decode_to_end_mark(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let mark = self.buffer[self.scanned..]
            .windows(END_MARK.len())
            .position(|window| window == END_MARK);
        let Some(offset) = mark else {
            if self.buffer.len() > self.max_message_bytes + END_MARK.len() {
                return Err(FramingError::MessageTooLong);
            }
            self.scanned = self.buffer.len().saturating_sub(END_MARK.len() - 1);
            return Ok(None);
        };
        let end = self.scanned + offset;
        if end > self.max_message_bytes {
            return Err(FramingError::MessageTooLong);
        }
        let message = self.buffer[..end].to_vec();
        self.buffer.drain(..end + END_MARK.len());
        self.scanned = 0;
        Ok(Some(message))
    }

    fn decode_chunks(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let mut used = 0;
        let result = self.decode_chunks_from(&mut used);
        self.buffer.drain(..used);
        result
    }

    /// Decodes chunks from `used` on, which is moved behind each byte that is done with.
    fn decode_chunks_from(&mut self, used: &mut usize) -> Result<Option<Vec<u8>>, FramingError> {
        loop {
            let rest = &self.buffer[*used..];
            if self.chunk_remaining > 0 {
                let available = self.chunk_remaining.min(rest.len());
                self.message.extend_from_slice(&rest[..available]);
                self.chunk_remaining -= available;
                *used += available;
                if self.chunk_remaining > 0 {
                    return Ok(None);
                }
                continue;
            }
            let Some(header) = parse_header(rest)? else {
                return Ok(None);
            };
            *used += header.length;
            match header.kind {
                HeaderKind::EndOfChunks => return self.finish_message().map(Some),
                HeaderKind::Chunk(size) => self.begin_chunk(size)?,
            }
        }
    }

    fn begin_chunk(&mut self, size: usize) -> Result<(), FramingError> {
        if size > self.max_message_bytes || self.message.len() + size > self.max_message_bytes {
            return Err(FramingError::MessageTooLong);
        }
        self.chunk_remaining = size;
        self.chunk_count += 1;
        Ok(())
    }

    fn finish_message(&mut self) -> Result<Vec<u8>, FramingError> {
        if self.chunk_count == 0 {
            return Err(FramingError::NoChunk);
        }
        self.chunk_count = 0;
        Ok(std::mem::take(&mut self.message))
    }
}

/// The header of a chunk, or the end of all chunks.
struct Header {
    kind: HeaderKind,
    /// Bytes of the header itself.
    length: usize,
}

enum HeaderKind {
    /// A chunk of so many bytes follows.
    Chunk(usize),
    /// The message is complete.
    EndOfChunks,
}

/// Parses `LF # length LF` or `LF # # LF`; none if more bytes are needed. Anything else fails at its first wrong byte.
fn parse_header(bytes: &[u8]) -> Result<Option<Header>, FramingError> {
    const INVALID: FramingError = FramingError::InvalidChunkHeader;
    let expected_start = &b"\n#"[..bytes.len().min(2)];
    if !bytes.starts_with(expected_start) {
        return Err(INVALID);
    }
    let Some(first) = bytes.get(2) else {
        return Ok(None);
    };
    if *first == b'#' {
        return match bytes.get(3) {
            Some(b'\n') => Ok(Some(Header {
                kind: HeaderKind::EndOfChunks,
                length: END_OF_CHUNKS_LENGTH,
            })),
            Some(_) => Err(INVALID),
            None => Ok(None),
        };
    }
    let digits = bytes[2..]
        .iter()
        .take(MAX_CHUNK_DIGITS + 1)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits > MAX_CHUNK_DIGITS || *first == b'0' || digits == 0 {
        return Err(INVALID);
    }
    match bytes.get(2 + digits) {
        None => Ok(None),
        Some(b'\n') => Ok(Some(Header {
            kind: HeaderKind::Chunk(parse_chunk_size(&bytes[2..2 + digits])?),
            length: 2 + digits + 1,
        })),
        Some(_) => Err(INVALID),
    }
}

fn parse_chunk_size(digits: &[u8]) -> Result<usize, FramingError> {
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::InvalidChunkHeader)?;
    let size: u64 = text.parse().map_err(|_| FramingError::InvalidChunkHeader)?;
    let size = u32::try_from(size).map_err(|_| FramingError::ChunkTooLong)?;
    Ok(size as usize)
}

/// A message with its framing.
pub fn encode(framing: Framing, message: &str) -> Vec<u8> {
    match framing {
        Framing::EndMark => [message.as_bytes(), END_MARK].concat(),
        Framing::Chunks => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
    }
}
