//! Texts of others in URIs.

use std::borrow::Cow;

use percent_encoding::{
    AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_decode_str, utf8_percent_encode,
};

/// Bytes that do not stand for themselves everywhere in a path and a query: all but the unreserved ones.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns a text as it is written in one segment of a path, or as a value in a query.
pub fn escape(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, RESERVED)
}

/// Returns the path of a key, whose segments stay apart.
pub fn escape_path(key: &str) -> String {
    let segments: Vec<String> = key.split('/').map(|s| escape(s).to_string()).collect();
    segments.join("/")
}

/// Returns the text that [`escape`] was given; `None` if it is no UTF-8.
pub fn unescape(text: &str) -> Option<Cow<'_, str>> {
    percent_decode_str(text).decode_utf8().ok()
}
