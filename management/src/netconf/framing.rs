//! Messages of NETCONF over SSH (RFC 6242, section 4): by an end mark until both sides have said hello, in chunks
//! after. What a length promises is neither waited for beyond the limit nor allocated.

use std::fmt;

/// How messages end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Each message ends with `]]>]]>`.
    EndMark,
    /// Each message comes in chunks with their lengths.
    Chunks,
}

const END: &[u8] = b"]]>]]>";
/// Digits of a chunk's length.
const DIGITS: usize = 10;

/// Why the bytes are no messages; the session is over then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Cuts the bytes of one direction into messages.
#[derive(Debug)]
pub struct Frames {
    framing: Framing,
    most: usize,
    /// Read and not used.
    buffer: Vec<u8>,
    /// Up to here no end mark begins.
    looked: usize,
    /// Chunks of the message so far, and how much of the present chunk is to come.
    message: Vec<u8>,
    chunk: usize,
    chunks: usize,
}

impl Frames {
    /// Messages of so many bytes at most.
    pub fn new(most: usize) -> Self {
        let (buffer, message) = (vec![], vec![]);
        Frames {
            framing: Framing::EndMark,
            most,
            buffer,
            looked: 0,
            message,
            chunk: 0,
            chunks: 0,
        }
    }

    /// How messages end at present.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// From the next message on.
    pub fn use_chunks(&mut self) {
        self.framing = Framing::Chunks;
    }

    /// Adds bytes that have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message; none where its end has not come.
    pub fn message(&mut self) -> Result<Option<Vec<u8>>, Malformed> {
        match self.framing {
            Framing::EndMark => self.by_mark(),
            Framing::Chunks => self.by_chunks(),
        }
    }

    fn by_mark(&mut self) -> Result<Option<Vec<u8>>, Malformed> {
        let found = self.buffer[self.looked..]
            .windows(END.len())
            .position(|window| window == END);
        match found {
            Some(place) => {
                let end = self.looked + place;
                if end > self.most {
                    return Err(Malformed("a message is too long"));
                }
                let message = self.buffer[..end].to_vec();
                self.buffer.drain(..end + END.len());
                self.looked = 0;
                Ok(Some(message))
            }
            None if self.buffer.len() > self.most + END.len() => {
                Err(Malformed("a message is too long"))
            }
            None => {
                self.looked = self.buffer.len().saturating_sub(END.len() - 1);
                Ok(None)
            }
        }
    }

    fn by_chunks(&mut self) -> Result<Option<Vec<u8>>, Malformed> {
        let mut used = 0;
        let done = loop {
            let rest = &self.buffer[used..];
            if self.chunk > 0 {
                let take = self.chunk.min(rest.len());
                self.message.extend_from_slice(&rest[..take]);
                (self.chunk, used) = (self.chunk - take, used + take);
                if self.chunk > 0 {
                    break Ok(None);
                }
                continue;
            }
            match header(rest) {
                Ok(None) => break Ok(None),
                Err(why) => break Err(why),
                Ok(Some((Header::End, length))) => {
                    used += length;
                    if self.chunks == 0 {
                        break Err(Malformed("a message has no chunk"));
                    }
                    self.chunks = 0;
                    break Ok(Some(std::mem::take(&mut self.message)));
                }
                Ok(Some((Header::Chunk(size), length))) => {
                    used += length;
                    if size > self.most || self.message.len() + size > self.most {
                        break Err(Malformed("a message is too long"));
                    }
                    (self.chunk, self.chunks) = (size, self.chunks + 1);
                }
            }
        };
        self.buffer.drain(..used);
        done
    }
}

enum Header {
    Chunk(usize),
    End,
}

/// `LF # length LF` or `LF # # LF`; anything else is certain at its first wrong byte.
fn header(bytes: &[u8]) -> Result<Option<(Header, usize)>, Malformed> {
    const WRONG: Malformed = Malformed("a chunk begins wrongly");
    let begun = &b"\n#"[..bytes.len().min(2)];
    if !bytes.starts_with(begun) {
        return Err(WRONG);
    }
    let Some(first) = bytes.get(2) else {
        return Ok(None);
    };
    if *first == b'#' {
        return match bytes.get(3) {
            Some(b'\n') => Ok(Some((Header::End, 4))),
            Some(_) => Err(WRONG),
            None => Ok(None),
        };
    }
    let digits = bytes[2..]
        .iter()
        .take(DIGITS + 1)
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits > DIGITS || *first == b'0' || digits == 0 {
        return Err(WRONG);
    }
    match bytes.get(2 + digits) {
        None => Ok(None),
        Some(b'\n') => {
            let text = std::str::from_utf8(&bytes[2..2 + digits]).map_err(|_| WRONG)?;
            let size: u64 = text.parse().map_err(|_| WRONG)?;
            let size =
                u32::try_from(size).map_err(|_| Malformed("a chunk is longer than any may be"))?;
            Ok(Some((Header::Chunk(size as usize), 2 + digits + 1)))
        }
        Some(_) => Err(WRONG),
    }
}

/// A message as it goes out.
pub fn write(framing: Framing, message: &str) -> Vec<u8> {
    match framing {
        Framing::EndMark => [message.as_bytes(), END].concat(),
        Framing::Chunks => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
    }
}
