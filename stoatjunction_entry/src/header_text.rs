//! Values of headers as text. A header holds bytes, and callers write letters beyond ASCII as UTF-8 or, like older HTTP libraries,
//! as ISO 8859-1 (RFC 9110, section 5.5).

use std::borrow::Cow;

use http::HeaderValue;

/// Returns the text of a value.
pub fn decode(value: &HeaderValue) -> Cow<'_, str> {
    match std::str::from_utf8(value.as_bytes()) {
        Ok(text) => Cow::Borrowed(text),
        Err(_) => value.as_bytes().iter().map(|b| char::from(*b)).collect(),
    }
}

/// Returns a text as a value. `None` if its reader would get another text: a header holds no control characters, and
/// white space at its ends is not part of it.
pub fn encode(text: &str) -> Option<HeaderValue> {
    let is_whole = !text.is_empty() && text.trim_matches([' ', '\t']) == text;
    let value = is_whole.then(|| HeaderValue::from_bytes(text.as_bytes()));
    value.and_then(Result::ok)
}
