//! Percent-encoding of path segments (RFC 3986, 2.1).

use std::fmt::Write as _;

/// Decodes percent-encoding. Returns `None` if an escape is malformed or the result is not UTF-8.
pub fn decode(part: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = part.as_bytes();
    while let [first, after @ ..] = rest {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits =
            std::str::from_utf8(after.get(..2)?).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).ok()
}

/// Percent-encodes a path segment.
pub fn encode(part: &str) -> String {
    let mut out = String::new();
    for b in part.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            out.push(char::from(b));
        } else {
            // Writing to a String cannot fail.
            let _ = write!(out, "%{b:02X}");
        }
    }
    out
}

/// Whether a text is valid as the path and query of a request target.
pub fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}
