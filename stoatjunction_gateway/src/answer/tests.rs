use super::*;

fn chunk(off: u64, len: usize) -> Chunk {
    Chunk {
        id: "r".to_owned(),
        off,
        data: "x".repeat(len),
        end: false,
    }
}

/// Guards against chunks behind a gap that are kept until memory is used up.
#[test]
fn large_chunks_behind_a_gap_are_not_all_kept() {
    let mut assembler = AnswerAssembler::new("r");

    for n in 0..64 {
        assembler.add(chunk(1 + n * MAX_LINE_BYTES as u64, MAX_LINE_BYTES));
    }

    let pending: usize = assembler.pending.values().map(Bytes::len).sum();
    assert!(pending <= MAX_PENDING_BYTES, "{pending} bytes");
    let forwarded = assembler.add(chunk(0, MAX_LINE_BYTES));
    assert_eq!(forwarded.first().map(Bytes::len), Some(MAX_LINE_BYTES));
}

#[test]
fn a_line_without_end_is_no_chunk() {
    let mut parser = ChunkParser::default();

    let mut parsed = Ok(Vec::new());
    for _ in 0..=MAX_LINE_BYTES {
        parsed = parser.parse(b"x");
    }

    assert_eq!(parsed, Err(LineTooLong));
}

#[test]
fn chunks_are_read_from_lines_in_parts() {
    let mut parser = ChunkParser::default();
    let text = "no chunk\n{\"id\":\"r\",\"off\":0,\"data\":\"ab\"}\n{\"id\":\"r\",\"off\":2}\n";

    let parsed: Vec<Chunk> = text
        .as_bytes()
        .chunks(7)
        .flat_map(|part| parser.parse(part).unwrap_or_default())
        .collect();

    let offsets: Vec<u64> = parsed.iter().map(|c| c.off).collect();
    assert_eq!(offsets, [0, 2]);
}
