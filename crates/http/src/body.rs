//! Message content: incremental decoding of each framing, and encoding of chunks.

use crate::{HttpError, Limits};

/// How a message's content is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// The content ends when the connection closes; responses only.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    /// Expects a chunk's size line.
    ChunkSize,
    ChunkData(u64),
    /// Expects the CRLF after a chunk's data.
    ChunkDataEnd,
    /// Reads and drops trailer fields; holds the number of bytes read so far.
    Trailer(usize),
    UntilClose,
    End,
}

/// Decodes the content of one message.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    remaining: usize,
    max_trailer_bytes: usize,
}

/// A step of decoding.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece<'b> {
    /// More input is needed.
    NeedMore,
    /// The number of input bytes consumed, and the content bytes among them.
    Data(usize, &'b [u8]),
    /// The content is complete, after consuming this number of further input bytes.
    End(usize),
}

/// Maximum length of a chunk's size line. Chunk extensions are ignored.
const MAX_SIZE_LINE_BYTES: usize = 128;

impl BodyDecoder {
    /// Creates a decoder. Fails immediately if a `Content-Length` exceeds the limit.
    pub fn new(framing: Framing, limits: &Limits) -> Result<BodyDecoder, HttpError> {
        if matches!(framing, Framing::Length(n) if n > limits.body as u64) {
            return Err(HttpError::new(413, "content over the limit"));
        }
        Ok(BodyDecoder {
            remaining: limits.body,
            max_trailer_bytes: limits.head,
            ..BodyDecoder::unbounded(framing)
        })
    }

    /// Creates a decoder without a limit on the content's total size, for event streams. The size of each piece is
    /// limited by the size of a read.
    pub fn unbounded(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder {
            state,
            remaining: usize::MAX,
            max_trailer_bytes: 16 * 1024,
        }
    }

    /// Whether the content is complete if the connection closes now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(
            self.state,
            State::UntilClose | State::End | State::Length(0)
        )
    }

    fn data<'b>(&mut self, buf: &'b [u8], max: u64) -> Result<Piece<'b>, HttpError> {
        let n = buf.len().min(usize::try_from(max).unwrap_or(usize::MAX));
        if n > self.remaining {
            return Err(HttpError::new(413, "content over the limit"));
        }
        if self.remaining != usize::MAX {
            self.remaining -= n;
        }
        Ok(Piece::Data(n, &buf[..n]))
    }

    /// Decodes the next piece from unconsumed input. Call it again with the input after the consumed bytes until it
    /// returns [`Piece::End`] or [`Piece::NeedMore`].
    pub fn next<'b>(&mut self, buf: &'b [u8]) -> Result<Piece<'b>, HttpError> {
        match self.state {
            State::End | State::Length(0) => Ok(Piece::End(0)),
            _ if buf.is_empty() => Ok(Piece::NeedMore),
            State::Length(n) => {
                let piece = self.data(buf, n)?;
                if let Piece::Data(used, _) = piece {
                    self.state = State::Length(n - used as u64);
                }
                Ok(piece)
            }
            State::UntilClose => self.data(buf, u64::MAX),
            State::ChunkSize => {
                let Some(end) = buf
                    .iter()
                    .take(MAX_SIZE_LINE_BYTES)
                    .position(|b| *b == b'\n')
                else {
                    let is_too_long = buf.len() >= MAX_SIZE_LINE_BYTES;
                    return if is_too_long {
                        Err(HttpError::new(400, "chunk size line too long"))
                    } else {
                        Ok(Piece::NeedMore)
                    };
                };
                let line = &buf[..end];
                let line = line
                    .strip_suffix(b"\r")
                    .ok_or(HttpError::new(400, "a line ends without CR"))?;
                let size = line.split(|b| *b == b';').next().unwrap_or_default();
                if size.is_empty() || !size.iter().all(u8::is_ascii_hexdigit) {
                    return Err(HttpError::new(400, "chunk size is not hex digits"));
                }
                if size.len() > 15 {
                    return Err(HttpError::new(413, "chunk size over the limit"));
                }
                let digit = |d: &u8| u64::from((*d as char).to_digit(16).unwrap_or(0));
                let size = size.iter().fold(0, |n, d| n * 16 + digit(d));
                if size > self.remaining as u64 {
                    return Err(HttpError::new(413, "content over the limit"));
                }
                self.state = if size == 0 {
                    State::Trailer(0)
                } else {
                    State::ChunkData(size)
                };
                Ok(Piece::Data(end + 1, &[]))
            }
            State::ChunkData(n) => {
                let piece = self.data(buf, n)?;
                if let Piece::Data(used, _) = piece {
                    let rest = n - used as u64;
                    self.state = if rest == 0 {
                        State::ChunkDataEnd
                    } else {
                        State::ChunkData(rest)
                    };
                }
                Ok(piece)
            }
            State::ChunkDataEnd => match buf {
                [b'\r', b'\n', ..] => {
                    self.state = State::ChunkSize;
                    Ok(Piece::Data(2, &[]))
                }
                [b'\r'] => Ok(Piece::NeedMore),
                _ => Err(HttpError::new(400, "chunk data runs past its size")),
            },
            State::Trailer(consumed) => {
                let Some(end) = buf.iter().position(|b| *b == b'\n') else {
                    let is_too_long = consumed + buf.len() > self.max_trailer_bytes;
                    return if is_too_long {
                        Err(HttpError::new(431, "trailer too large"))
                    } else {
                        Ok(Piece::NeedMore)
                    };
                };
                if consumed + end > self.max_trailer_bytes {
                    return Err(HttpError::new(431, "trailer too large"));
                }
                if end == 0 || buf[end - 1] != b'\r' {
                    return Err(HttpError::new(400, "a line ends without CR"));
                }
                if end == 1 {
                    self.state = State::End;
                    return Ok(Piece::End(2));
                }
                self.state = State::Trailer(consumed + end + 1);
                Ok(Piece::Data(end + 1, &[]))
            }
        }
    }
}

/// Writes one chunk. Writes nothing for empty data, because an empty chunk would end the content.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk, which ends chunked content.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
