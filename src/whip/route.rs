//! Which resource a request's target names.

use std::fmt::Write as _;

use crate::api::SessionId;
use crate::message::line::parse_id;

/// A resource of this front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `/whip/TITLE` or `/whep/TITLE`: where sessions of a title are set up.
    Title(String),
    /// `/whip/TITLE/bookings/BOOKING`, or under `/whep`: where a paid session is set up, once.
    Booking(String, String),
    /// `/sessions/ID`: a session that stands.
    Session(SessionId),
}

/// Longest name of a booking.
const LONGEST_BOOKING: usize = 200;

impl Route {
    /// Reads a target; none: it names nothing here.
    pub fn parse(target: &str) -> Option<Route> {
        let path = target.split(['?', '#']).next().unwrap_or("");
        let parts: Vec<String> = path.strip_prefix('/')?.split('/').map(decode).collect::<Option<_>>()?;
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match parts.as_slice() {
            ["whip" | "whep", title] if !title.is_empty() => Some(Route::Title((*title).to_owned())),
            ["whip" | "whep", title, "bookings", booking]
                if !title.is_empty() && !booking.is_empty() && booking.len() <= LONGEST_BOOKING =>
            {
                Some(Route::Booking((*title).to_owned(), (*booking).to_owned()))
            }
            ["sessions", id] => parse_id(id).map(Route::Session),
            _ => None,
        }
    }

    /// The methods that the resource knows, for `Allow`.
    pub fn methods(&self) -> &'static str {
        match self {
            Route::Title(_) => "POST, OPTIONS",
            Route::Booking(..) => "POST, DELETE, OPTIONS",
            Route::Session(_) => "DELETE, OPTIONS",
        }
    }
}

/// Undoes percent-encoding.
fn decode(part: &str) -> Option<String> {
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

/// Encodes a part of a path.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn targets_name_titles_bookings_and_sessions() {
        let booking = Route::Booking("blue sofa".into(), "b/7".into());
        let target = format!("/whip/{}/bookings/{}?x=1", encode("blue sofa"), encode("b/7"));
        assert_eq!(Route::parse(&target), Some(booking));
        assert_eq!(Route::parse("/whep/sofa"), Some(Route::Title("sofa".into())));
        assert_eq!(Route::parse("/sessions/00000000000000ff"), Some(Route::Session(SessionId(255))));
        for nothing in
            ["", "*", "/", "/whip/", "/whip", "/sessions/ff", "/whip/a%2", "/whip/%ff", "/whip/a/b"]
        {
            assert_eq!(Route::parse(nothing), None, "{nothing}");
        }
    }
}
