//! Texts of others in URIs.

use stoatjunction_net::uri_text::{escape, unescape};
use yare::parameterized;

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
    let escaped = escape(text).to_string();

    assert_eq!(escaped, expected);
    assert_eq!(unescape(&escaped).as_deref(), Some(text));
}
