//! A bundle's text in parts, each kept under the hash of its content, so that a change of one
//! organisation moves one part and no part outgrows the platform's limit for a value.

use sha2::{Digest, Sha256};
use stoatjunction_core::hash::hash_parts;

/// Length of a part in bytes that the number of parts is chosen for.
const PART_BYTES: usize = 32 * 1024;

/// SHA-256 of `text` in hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Splits a bundle's text: the first part holds all but organisations and credentials, the others
/// hold those by a hash of the section's name.
pub fn split_parts(text: &str) -> Vec<String> {
    let sections = sections_of(text);
    let bulk: usize = sections
        .iter()
        .filter(|s| is_bulk(s))
        .map(|s| s.len())
        .sum();
    let buckets = bulk.div_ceil(PART_BYTES).next_power_of_two();
    let mut parts = vec![String::new(); buckets + 1];
    for section in sections {
        let header = section.lines().next().unwrap_or("");
        let hash = hash_parts(&[header.as_bytes()]) as usize;
        let part = if is_bulk(section) {
            1 + hash % buckets
        } else {
            0
        };
        parts[part].push_str(section);
    }
    parts.retain(|p| !p.is_empty());
    parts
}

fn is_bulk(section: &str) -> bool {
    section.starts_with("[organisation ") || section.starts_with("[credential ")
}

/// Joins parts back to a bundle's text.
pub fn join_parts(parts: &[String]) -> String {
    parts.concat()
}

/// Pieces of `text`, each from a section header up to the next; the last ends with a line break.
fn sections_of(text: &str) -> Vec<&str> {
    let mut starts = vec![0];
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && at > 0 {
            starts.push(at);
        }
        at += line.len();
    }
    starts.push(text.len());
    starts
        .windows(2)
        .map(|w| &text[w[0]..w[1]])
        .filter(|s| !s.is_empty())
        .collect()
}
