//! Texts of others in URIs.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

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

#[cfg(test)]
mod tests {
    use yare::parameterized;

    use super::escape;

    #[parameterized(
        plain = { "i-7f3a_91.c2~", "i-7f3a_91.c2~" },
        space = { "a ", "a%20" },
        plus = { "a+", "a%2B" },
        percent = { "a%20", "a%2520" },
        ends_a_segment = { "a/b?c#d", "a%2Fb%3Fc%23d" },
        ends_a_value = { "a&b=", "a%26b%3D" },
        beyond_ascii = { "é", "%C3%A9" },
        line_end = { "a\r\n", "a%0D%0A" },
    )]
    fn a_text_is_escaped_for_paths_and_queries(text: &str, expected: &str) {
        assert_eq!(escape(text).to_string(), expected);
    }
}
