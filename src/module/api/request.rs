//! A viewer's request for a session.

use super::{Micros, Rung, SessionId, Text};

/// A viewer's request for a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifies this request.
    pub id: SessionId,
    /// An index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// An index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The viewer; the same for all its requests.
    pub viewer: Text,
    /// The title that the viewer wants to watch.
    pub title: Text,
    /// When the viewer stops waiting for an answer.
    pub due: Micros,
    /// An estimate of the session's duration, in seconds.
    pub duration_hint_s: Option<f64>,
    /// The first cell that holds the title.
    pub home: u32,
    /// The number of consecutive cells that hold the title.
    pub copies: u32,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// Whether the viewer marks the request as a repeat.
    pub retry: bool,
    /// Whether the viewer asks again after its session was moved.
    pub moved: bool,
    /// Whether the viewer has asked before.
    pub is_returning: bool,
}

impl Request {
    /// Returns a viewer's first request, of class and tenant 0, for a title held from cell 0 on.
    pub fn new(id: SessionId, title: Text, due: Micros, copies: u32, top: usize) -> Request {
        Request {
            id,
            class: 0,
            tenant: 0,
            viewer: Text::from(""),
            title,
            due,
            duration_hint_s: None,
            home: 0,
            copies,
            top: Rung(top),
            retry: false,
            moved: false,
            is_returning: false,
        }
    }
}
