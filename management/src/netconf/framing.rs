//! Framing of NETCONF messages over SSH (RFC 6242, section 4): an end-of-message mark until both sides have sent their
//! hello, chunks afterwards. Memory is bounded by the limit of a message, whatever length a chunk announces.

use thiserror::Error;

/// How messages are framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Each message ends with `]]>]]>`.
    EndOfMessage,
    /// Each message is sent in chunks with their lengths.
    Chunked,
}

/// The end-of-message mark.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// Digits of the length of a chunk, at most.
const MAX_CHUNK_SIZE_DIGITS: usize = 10;
/// `LF # # LF`, which ends a message in chunks, in bytes.
const END_OF_CHUNKS_BYTES: usize = 4;

/// Why bytes are not messages; nothing behind them can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A message exceeds the limit.
    #[error("a message is too long")]
    MessageTooLong,
    /// A message in chunks has none.
    #[error("a message has no chunk")]
    EmptyChunkedMessage,
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
    scanned_bytes: usize,
    /// The chunks of the current message so far.
    partial_message: Vec<u8>,
    /// Bytes of the current chunk that are to come.
    chunk_remaining: usize,
    /// Chunks of the current message so far.
    chunk_count: usize,
}

impl FrameDecoder {
    /// A decoder of messages up to a size, framed by end marks at first.
    pub fn new(max_message_bytes: usize) -> Self {
        FrameDecoder {
            framing: Framing::EndOfMessage,
            max_message_bytes,
            buffer: vec![],
            scanned_bytes: 0,
            partial_message: vec![],
            chunk_remaining: 0,
            chunk_count: 0,
        }
    }

    /// The framing of the next message.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Expects chunks from the next message on.
    pub fn use_chunked_framing(&mut self) {
        self.framing = Framing::Chunked;
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
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        match self.framing {
            Framing::EndOfMessage => self.decode_end_of_message(),
            Framing::Chunked => self.decode_chunked(),
        }
    }

    fn decode_end_of_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let position = self.buffer[self.scanned_bytes..]
            .windows(END_OF_MESSAGE.len())
            .position(|window| window == END_OF_MESSAGE);
        let Some(offset) = position else {
            if self.buffer.len() > self.max_message_bytes + END_OF_MESSAGE.len() {
                return Err(FramingError::MessageTooLong);
            }
            self.scanned_bytes = self.buffer.len().saturating_sub(END_OF_MESSAGE.len() - 1);
            return Ok(None);
        };
        let end = self.scanned_bytes + offset;
        if end > self.max_message_bytes {
            return Err(FramingError::MessageTooLong);
        }
        let message = self.buffer[..end].to_vec();
        self.buffer.drain(..end + END_OF_MESSAGE.len());
        self.scanned_bytes = 0;
        Ok(Some(message))
    }

    fn decode_chunked(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let mut consumed = 0;
        let result = self.decode_chunks_from(&mut consumed);
        self.buffer.drain(..consumed);
        result
    }

    /// Decodes chunks from `used` on, which is moved behind each byte that is done with.
    fn decode_chunks_from(
        &mut self,
        consumed: &mut usize,
    ) -> Result<Option<Vec<u8>>, FramingError> {
        loop {
            let unread = &self.buffer[*consumed..];
            if self.chunk_remaining > 0 {
                let available = self.chunk_remaining.min(unread.len());
                self.partial_message.extend_from_slice(&unread[..available]);
                self.chunk_remaining -= available;
                *consumed += available;
                if self.chunk_remaining > 0 {
                    return Ok(None);
                }
                continue;
            }
            let Some(header) = parse_chunk_header(unread)? else {
                return Ok(None);
            };
            *consumed += header.header_bytes;
            match header.kind {
                ChunkHeaderKind::EndOfChunks => return self.finish_message().map(Some),
                ChunkHeaderKind::Chunk(size) => self.begin_chunk(size)?,
            }
        }
    }

    fn begin_chunk(&mut self, size: usize) -> Result<(), FramingError> {
        if size > self.max_message_bytes
            || self.partial_message.len() + size > self.max_message_bytes
        {
            return Err(FramingError::MessageTooLong);
        }
        self.chunk_remaining = size;
        self.chunk_count += 1;
        Ok(())
    }

    fn finish_message(&mut self) -> Result<Vec<u8>, FramingError> {
        if self.chunk_count == 0 {
            return Err(FramingError::EmptyChunkedMessage);
        }
        self.chunk_count = 0;
        Ok(std::mem::take(&mut self.partial_message))
    }
}

/// The header of a chunk, or the end of all chunks.
struct ChunkHeader {
    kind: ChunkHeaderKind,
    /// Bytes of the header itself.
    header_bytes: usize,
}

enum ChunkHeaderKind {
    /// A chunk of so many bytes follows.
    Chunk(usize),
    /// The message is complete.
    EndOfChunks,
}

/// Parses `LF # length LF` or `LF # # LF`; none if more bytes are needed. Anything else fails at its first wrong byte.
fn parse_chunk_header(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    const INVALID_HEADER: FramingError = FramingError::InvalidChunkHeader;
    let expected_start = &b"\n#"[..bytes.len().min(2)];
    if !bytes.starts_with(expected_start) {
        return Err(INVALID_HEADER);
    }
    let Some(first) = bytes.get(2) else {
        return Ok(None);
    };
    if *first == b'#' {
        return match bytes.get(3) {
            Some(b'\n') => Ok(Some(ChunkHeader {
                kind: ChunkHeaderKind::EndOfChunks,
                header_bytes: END_OF_CHUNKS_BYTES,
            })),
            Some(_) => Err(INVALID_HEADER),
            None => Ok(None),
        };
    }
    let digits = bytes[2..]
        .iter()
        .take(MAX_CHUNK_SIZE_DIGITS + 1)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits > MAX_CHUNK_SIZE_DIGITS || *first == b'0' || digits == 0 {
        return Err(INVALID_HEADER);
    }
    match bytes.get(2 + digits) {
        None => Ok(None),
        Some(b'\n') => Ok(Some(ChunkHeader {
            kind: ChunkHeaderKind::Chunk(parse_chunk_size(&bytes[2..2 + digits])?),
            header_bytes: 2 + digits + 1,
        })),
        Some(_) => Err(INVALID_HEADER),
    }
}

fn parse_chunk_size(digits: &[u8]) -> Result<usize, FramingError> {
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::InvalidChunkHeader)?;
    let size: u64 = text.parse().map_err(|_| FramingError::InvalidChunkHeader)?;
    let size = u32::try_from(size).map_err(|_| FramingError::ChunkTooLong)?;
    Ok(size as usize)
}

/// A message with its framing.
pub fn encode_message(framing: Framing, message: &str) -> Vec<u8> {
    match framing {
        Framing::EndOfMessage => [message.as_bytes(), END_OF_MESSAGE].concat(),
        Framing::Chunked => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
    }
}
