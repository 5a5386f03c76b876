//! Decoding of paths and queries as servers do it that take nothing else than what the protocol allows.

use percent_encoding::percent_decode_str;

/// A part of a URI that is not well-formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

/// Decodes one segment of a path.
///
/// # Errors
///
/// [`Malformed`] if it holds a `%` without two hexadecimal digits, or bytes that are no UTF-8.
pub(crate) fn decode_segment(text: &str) -> Result<String, Malformed> {
    check_escapes(text)?;
    let decoded = percent_decode_str(text).decode_utf8();
    decoded.map(String::from).map_err(|_| Malformed)
}

/// Decodes a query into its parameters. A `+` stands for a space.
///
/// # Errors
///
/// [`Malformed`] if a parameter is named twice, is named by none of `names`, or cannot be decoded.
pub(crate) fn decode_query(
    query: &str,
    names: &[&str],
) -> Result<Vec<(String, String)>, Malformed> {
    let mut decoded: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(Malformed)?;
        let is_known = names.contains(&name) && decoded.iter().all(|(n, _)| n != name);
        if !is_known {
            return Err(Malformed);
        }
        decoded.push((name.to_owned(), decode_segment(&value.replace('+', " "))?));
    }
    Ok(decoded)
}

fn check_escapes(text: &str) -> Result<(), Malformed> {
    let mut rest = text;
    while let Some((_, after)) = rest.split_once('%') {
        let digits = after.get(..2).ok_or(Malformed)?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        rest = &after[2..];
    }
    Ok(())
}
