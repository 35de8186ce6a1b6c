//! Framing of records: magic number, length, checksum, content.

/// First bytes of every record.
const MAGIC: [u8; 4] = *b"SPR1";
/// Bytes before the content: magic number, length and CRC-32, little endian.
const HEADER_BYTES: usize = 12;

/// Result of decoding at a position of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Framed<'a> {
    /// An intact record and the position after it.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// Damaged or incomplete data.
    Broken,
}

/// Encodes `content` as a record.
pub(crate) fn encode(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Decodes the record at `position`.
pub(crate) fn decode_at(bytes: &[u8], position: usize) -> Framed<'_> {
    if position == bytes.len() {
        return Framed::End;
    }
    let Some(header) = bytes.get(position..position + HEADER_BYTES) else {
        return Framed::Broken;
    };
    if header[..4] != MAGIC {
        return Framed::Broken;
    }
    let u32_at = |from: usize| {
        u32::from_le_bytes([header[from], header[from + 1], header[from + 2], header[from + 3]])
    };
    let start = position + HEADER_BYTES;
    let end = start + u32_at(4) as usize;
    match bytes.get(start..end) {
        Some(content) if crc32fast::hash(content) == u32_at(8) => Framed::Record(content, end),
        _ => Framed::Broken,
    }
}

/// Whether an intact record begins anywhere after `position`.
pub(crate) fn has_record_after(bytes: &[u8], position: usize) -> bool {
    (position + 1..bytes.len()).any(|start| matches!(decode_at(bytes, start), Framed::Record(_, _)))
}
