//! A viewer's request for a session.

use super::{Micros, Rung, SessionId, Text};

/// A viewer asking for a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Names this try.
    pub id: SessionId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The viewer; the same over all its tries.
    pub viewer: Text,
    /// What it wants to watch.
    pub title: Text,
    /// When the viewer gives this try up.
    pub due: Micros,
    /// A guess of the session's length, seconds.
    pub duration_hint_s: Option<f64>,
    /// First cell that holds the title.
    pub home: u32,
    /// So many cells in a row hold it.
    pub copies: u32,
    /// Highest rung that the viewer can use.
    pub top: Rung,
    /// The viewer says that it repeats.
    pub retry: bool,
    /// It is back from a move.
    pub moved: bool,
    /// It is not the viewer's first try.
    pub is_returning: bool,
}

impl Request {
    /// A first try of class and tenant 0, held from cell 0 on.
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
