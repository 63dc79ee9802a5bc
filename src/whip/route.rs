//! Which resource a request's target names.

use crate::api::SessionId;
use crate::http::uri::decode;
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
    /// `/sessions/ID/events`: what happens to it, as server-sent events.
    Events(SessionId),
}

/// Longest name of a booking.
const LONGEST_BOOKING: usize = 200;

impl Route {
    /// Reads a target; none: it names nothing here.
    pub fn parse(target: &str) -> Option<Route> {
        // The absolute form too (RFC 9112, 3.2.2): whom it names is not looked at.
        let scheme = target.split_once("://").filter(|(s, _)| s.eq_ignore_ascii_case("http"));
        let target = scheme.map_or(target, |(_, rest)| rest.find('/').map_or("", |at| &rest[at..]));
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
            ["sessions", id, "events"] => parse_id(id).map(Route::Events),
            _ => None,
        }
    }

    /// The methods that the resource knows, for `Allow`.
    pub fn methods(&self) -> &'static str {
        match self {
            Route::Title(_) => "POST, OPTIONS",
            Route::Booking(..) => "POST, DELETE, OPTIONS",
            Route::Session(_) => "PATCH, DELETE, OPTIONS",
            Route::Events(_) => "GET, POST, OPTIONS",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::uri::encode;

    #[test]
    fn targets_name_titles_bookings_and_sessions() {
        let booking = Route::Booking("blue sofa".into(), "b/7".into());
        let target = format!("/whip/{}/bookings/{}?x=1", encode("blue sofa"), encode("b/7"));
        assert_eq!(Route::parse(&target), Some(booking));
        assert_eq!(Route::parse("/whep/sofa"), Some(Route::Title("sofa".into())));
        assert_eq!(Route::parse("http://any:80/whep/sofa"), Some(Route::Title("sofa".into())));
        assert_eq!(Route::parse("/sessions/00000000000000ff"), Some(Route::Session(SessionId(255))));
        for nothing in
            ["", "*", "/", "/whip/", "/whip", "/sessions/ff", "/whip/a%2", "/whip/%ff", "/whip/a/b"]
        {
            assert_eq!(Route::parse(nothing), None, "{nothing}");
        }
    }
}
