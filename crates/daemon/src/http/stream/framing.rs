//! Where the requests on a connection begin and end.
//!
//! The server parses requests itself. This only counts bytes, so that the server is handed
//! one request at a time.

/// Longest line of a chunked body outside its data, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// What the next byte of a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head of the next request.
    Head,
    /// A body of known length, of which so many bytes are left.
    Length(u64),
    /// A body in chunks.
    Chunked(ChunkState),
}

/// Position in a body in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with the size of the next chunk.
    Size {
        /// Digits that were read.
        size: u64,
        /// Whether only extensions follow on the line.
        is_complete: bool,
        /// Length of the line so far.
        line_bytes: usize,
    },
    /// Data of a chunk and the line end after it.
    Data {
        /// Bytes that are left, with the line end.
        left: u64,
    },
    /// Lines after the last chunk.
    Trailer {
        /// Length of the line so far, without its end.
        line_bytes: usize,
    },
}

const FIRST_CHUNK: ChunkState = ChunkState::Size {
    size: 0,
    is_complete: false,
    line_bytes: 0,
};

/// Finds the end of a request head, behind its empty line. The bytes before `from` hold
/// no end.
pub fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    while let Some(offset) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

impl Framing {
    /// The framing of what follows a request head.
    pub fn after_head(head: &[u8]) -> Self {
        let mut framing = Self::Head;
        for line in head.split(|byte| *byte == b'\n') {
            // Most lines are told apart by their first byte.
            if !matches!(line.first(), Some(b'c' | b'C' | b't' | b'T')) {
                continue;
            }
            if let Some(value) = field_value(line, b"content-length") {
                let length = std::str::from_utf8(value).ok();
                let length = length.and_then(|text| text.trim().parse().ok());
                match (framing, length) {
                    (Self::Head, Some(length)) if length > 0 => framing = Self::Length(length),
                    _ => {}
                }
            } else if let Some(value) = field_value(line, b"transfer-encoding") {
                let is_chunked = value
                    .trim_ascii()
                    .to_ascii_lowercase()
                    .ends_with(b"chunked");
                if is_chunked {
                    framing = Self::Chunked(FIRST_CHUNK);
                }
            }
        }
        framing
    }

    /// Counts bytes of a body, and returns how many of them belong to it and to at most
    /// `chunks` more chunks, which is reduced. Afterwards, the framing is [`Self::Head`] if
    /// the body has ended.
    pub fn advance(&mut self, bytes: &[u8], chunks: &mut usize) -> usize {
        match *self {
            Self::Head => 0,
            Self::Length(left) => {
                let taken = left.min(bytes.len() as u64);
                *self = match left - taken {
                    0 => Self::Head,
                    left => Self::Length(left),
                };
                taken as usize
            }
            Self::Chunked(state) => {
                let (state, taken) = advance_chunks(state, bytes, chunks);
                *self = state.map_or(Self::Head, Self::Chunked);
                taken
            }
        }
    }
}

/// Counts bytes of at most `chunks` more chunks. Without a state, the body has ended.
fn advance_chunks(
    mut state: ChunkState,
    bytes: &[u8],
    chunks: &mut usize,
) -> (Option<ChunkState>, usize) {
    let mut taken = 0;
    while let Some(byte) = bytes.get(taken) {
        if state == FIRST_CHUNK {
            if *chunks == 0 {
                break;
            }
            *chunks -= 1;
        }
        state = match state {
            ChunkState::Data { left } => {
                let length = left.min((bytes.len() - taken) as u64);
                taken += length as usize;
                match left - length {
                    0 => FIRST_CHUNK,
                    left => ChunkState::Data { left },
                }
            }
            ChunkState::Size {
                size,
                is_complete,
                line_bytes,
            } => {
                taken += 1;
                let digit = char::from(*byte).to_digit(16).filter(|_| !is_complete);
                match (byte, digit) {
                    (b'\n', _) if size == 0 => ChunkState::Trailer { line_bytes: 0 },
                    (b'\n', _) => ChunkState::Data {
                        left: size.saturating_add(2),
                    },
                    // The server rejects the body.
                    _ if line_bytes > MAX_CHUNK_LINE_BYTES => return (None, taken),
                    (_, Some(digit)) => ChunkState::Size {
                        size: size.saturating_mul(16).saturating_add(u64::from(digit)),
                        is_complete,
                        line_bytes: line_bytes + 1,
                    },
                    (_, None) => ChunkState::Size {
                        size,
                        is_complete: true,
                        line_bytes: line_bytes + 1,
                    },
                }
            }
            ChunkState::Trailer { line_bytes } => {
                taken += 1;
                match byte {
                    b'\n' if line_bytes == 0 => return (None, taken),
                    b'\n' => ChunkState::Trailer { line_bytes: 0 },
                    b'\r' => state,
                    _ => ChunkState::Trailer {
                        line_bytes: line_bytes + 1,
                    },
                }
            }
        };
    }
    (Some(state), taken)
}

/// The value of a header line with this lower-case name.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let (start, rest) = line.split_at_checked(name.len())?;
    let value = rest.strip_prefix(b":")?;
    start.eq_ignore_ascii_case(name).then_some(value)
}
