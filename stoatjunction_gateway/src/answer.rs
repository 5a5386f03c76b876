//! Assembly of an answer from chunks that may arrive late, twice, out of order, or for another
//! request.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;

/// Maximum number of chunks that are buffered until an earlier one arrives.
const MAX_PENDING_CHUNKS: usize = 1_024;
/// Maximum size of the buffered chunks together in bytes.
const MAX_PENDING_BYTES: usize = 1 << 20;
/// Largest line of a chunk in bytes.
const MAX_LINE_BYTES: usize = 256 << 10;

#[cfg(test)]
mod tests;

/// A chunk as engines send it, one JSON object per line.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Chunk {
    /// Request the chunk belongs to.
    pub(crate) id: String,
    /// Offset of its data in the answer, in bytes.
    pub(crate) off: u64,
    /// Text, which may be empty.
    #[serde(default)]
    pub(crate) data: String,
    /// True for the last chunk, whose offset plus the length of its data is the length of the
    /// answer.
    #[serde(default)]
    pub(crate) end: bool,
}

/// Assembler of the answer to one request.
#[derive(Debug, Default)]
pub(crate) struct AnswerAssembler {
    id: String,
    offset: u64,
    tokens: u32,
    pending: BTreeMap<u64, Bytes>,
    length: Option<u64>,
}

impl AnswerAssembler {
    pub(crate) fn new(id: &str) -> AnswerAssembler {
        AnswerAssembler {
            id: id.to_owned(),
            ..AnswerAssembler::default()
        }
    }

    /// Returns the number of bytes that were assembled without a gap.
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the number of chunks whose text was used, which is taken for the number of tokens.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns true when the answer is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.length == Some(self.offset)
    }

    /// Adds a chunk and returns the text that can be forwarded now.
    pub(crate) fn add(&mut self, chunk: Chunk) -> Vec<Bytes> {
        if chunk.id != self.id {
            return Vec::new();
        }
        let data = Bytes::from(chunk.data);
        if chunk.end {
            self.length = Some(chunk.off + data.len() as u64);
        }
        if !data.is_empty() && self.has_room(chunk.off, data.len()) {
            let is_longer = self
                .pending
                .get(&chunk.off)
                .is_none_or(|known| known.len() < data.len());
            if is_longer {
                self.pending.insert(chunk.off, data);
            }
        }
        self.drain_ready()
    }

    /// Returns whether a chunk can be buffered. One that continues the answer is forwarded at once.
    fn has_room(&self, off: u64, len: usize) -> bool {
        let pending: usize = self.pending.values().map(Bytes::len).sum();
        let fits = self.pending.len() < MAX_PENDING_CHUNKS && pending + len <= MAX_PENDING_BYTES;
        off <= self.offset || fits
    }

    fn drain_ready(&mut self) -> Vec<Bytes> {
        let mut chunks = Vec::new();
        while let Some(entry) = self.pending.first_entry() {
            let off = *entry.key();
            if off > self.offset {
                break;
            }
            let data = entry.remove();
            let overlap = (self.offset - off) as usize;
            if overlap >= data.len() {
                continue;
            }
            let new_data = data.slice(overlap..);
            self.offset += new_data.len() as u64;
            self.tokens += 1;
            chunks.push(new_data);
        }
        chunks
    }
}

/// Error of a line that is too long to be a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LineTooLong;

/// Parser of a stream of chunks, one per line.
#[derive(Debug, Default)]
pub(crate) struct ChunkParser {
    partial_line: Vec<u8>,
}

impl ChunkParser {
    /// Adds bytes and returns the chunks of all lines that are complete now. Lines that are not
    /// chunks are skipped.
    ///
    /// # Errors
    ///
    /// A line is too long to be a chunk.
    pub(crate) fn parse(&mut self, bytes: &[u8]) -> Result<Vec<Chunk>, LineTooLong> {
        let end = bytes.iter().rposition(|b| *b == b'\n');
        let complete = end.map_or(0, |end| end + 1);
        let mut lines = Vec::new();
        if complete > 0 {
            lines = std::mem::take(&mut self.partial_line);
            lines.extend_from_slice(&bytes[..complete]);
        }
        self.partial_line.extend_from_slice(&bytes[complete..]);
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        let lines = lines.split(|b| *b == b'\n');
        Ok(lines
            .filter_map(|l| serde_json::from_slice(l).ok())
            .collect())
    }
}
