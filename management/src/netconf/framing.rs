//! Framing of NETCONF messages over SSH (RFC 6242, section 4): end-of-message framing for the hello messages, chunked
//! framing afterwards if both sides support it. The announced size of a chunk is checked against the message limit
//! before its data is stored, so that a client cannot make the decoder allocate more than that limit.

use thiserror::Error;

/// The framing mechanism of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// End-of-message framing: each message ends with `]]>]]>`.
    EndOfMessage,
    /// Chunked framing: each message is a sequence of chunks, each with its size in bytes.
    Chunked,
}

/// The end-of-message delimiter.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// Maximum number of digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 10;
/// Length of `LF # # LF`, which ends a chunked message, in bytes.
const END_OF_CHUNKS_BYTES: usize = 4;

/// A framing error. The bytes after it cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A message exceeds the size limit.
    #[error("message exceeds the size limit")]
    MessageTooLong,
    /// A chunked message ends before its first chunk.
    #[error("chunked message has no chunk")]
    EmptyChunkedMessage,
    /// A chunk does not begin with a valid header.
    #[error("invalid chunk header")]
    InvalidChunkHeader,
    /// A chunk size exceeds 4,294,967,295 bytes, the maximum of RFC 6242, section 4.2.
    #[error("chunk size exceeds 4294967295 bytes")]
    ChunkTooLong,
}

/// Decodes the bytes of one direction into messages.
#[derive(Debug)]
pub struct FrameDecoder {
    framing: Framing,
    max_message_bytes: usize,
    /// Received bytes that are not decoded yet.
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer in which no end-of-message delimiter begins.
    scanned_bytes: usize,
    /// The decoded chunks of the current message.
    partial_message: Vec<u8>,
    /// Bytes of the current chunk that are not received yet.
    chunk_remaining: usize,
    /// Number of chunks of the current message so far.
    chunk_count: usize,
}

impl FrameDecoder {
    /// Creates a decoder that rejects messages above `max_message_bytes` and begins with end-of-message framing.
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

    /// Switches to chunked framing from the next message on.
    pub fn use_chunked_framing(&mut self) {
        self.framing = Framing::Chunked;
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message; none if its end is not received yet.
    ///
    /// # Errors
    ///
    /// When the framing is invalid or the message is too long. The session has to end then.
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

    /// Decodes chunks from the buffer position `consumed` on, and advances it behind each decoded byte.
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

/// A chunk header, or the end-of-chunks marker.
struct ChunkHeader {
    kind: ChunkHeaderKind,
    /// Length of the header itself, in bytes.
    header_bytes: usize,
}

enum ChunkHeaderKind {
    /// A chunk of this size in bytes follows.
    Chunk(usize),
    /// The message has no more chunks.
    EndOfChunks,
}

/// Parses `LF # chunk-size LF` or `LF # # LF`; none if more bytes are needed. Anything else is rejected at its first
/// invalid byte.
fn parse_chunk_header(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    const INVALID_HEADER: FramingError = FramingError::InvalidChunkHeader;
    let expected_prefix = &b"\n#"[..bytes.len().min(2)];
    if !bytes.starts_with(expected_prefix) {
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

/// Encodes a message with the given framing.
pub fn encode_message(framing: Framing, message: &str) -> Vec<u8> {
    match framing {
        Framing::EndOfMessage => [message.as_bytes(), END_OF_MESSAGE].concat(),
        Framing::Chunked => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
    }
}
