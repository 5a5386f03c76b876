//! Splits the text of a bundle into parts that are stored under the hash of their content, so that
//! a change to one organisation changes one part only, and no part exceeds the size limit of the
//! platform for a value.

use sha2::{Digest, Sha256};
use stoatjunction_core::hash::hash_parts;

/// Target size of a part, in bytes, from which the number of parts is computed.
const TARGET_PART_BYTES: usize = 32 * 1024;

/// Returns the SHA-256 hash of `text` in hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Splits the text of a bundle into parts. The first part holds all sections except organisations
/// and credentials; those are distributed over the other parts by a hash of their section header.
pub fn split_parts(text: &str) -> Vec<String> {
    let sections = split_sections(text);
    let organisation_bytes: usize = sections
        .iter()
        .filter(|s| is_organisation_section(s))
        .map(|s| s.len())
        .sum();
    let buckets = organisation_bytes
        .div_ceil(TARGET_PART_BYTES)
        .next_power_of_two();
    let mut parts = vec![String::new(); buckets + 1];
    for section in sections {
        let header = section.lines().next().unwrap_or("");
        let hash = hash_parts(&[header.as_bytes()]) as usize;
        let part = if is_organisation_section(section) {
            1 + hash % buckets
        } else {
            0
        };
        parts[part].push_str(section);
    }
    parts.retain(|p| !p.is_empty());
    parts
}

/// Returns true for the section of an organisation or of one of its credentials.
fn is_organisation_section(section: &str) -> bool {
    section.starts_with("[organisation ") || section.starts_with("[credential ")
}

/// Joins parts to the text of a bundle.
pub fn join_parts(parts: &[String]) -> String {
    parts.concat()
}

/// Splits `text` at its section headers. Text before the first header is an item of its own;
/// the last item is expected to end with a line break.
fn split_sections(text: &str) -> Vec<&str> {
    let mut starts = vec![0];
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && offset > 0 {
            starts.push(offset);
        }
        offset += line.len();
    }
    starts.push(text.len());
    starts
        .windows(2)
        .map(|w| &text[w[0]..w[1]])
        .filter(|s| !s.is_empty())
        .collect()
}
