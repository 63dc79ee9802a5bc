//! What is counted, as one row of numbers that adds up.

use amberspindle::trace::Event;

/// Declares the columns once, in their order.
macro_rules! columns {
    ($($(#[$doc:meta])* $Column:ident $name:literal,)*) => {
        /// A column.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Column { $($(#[$doc])* $Column,)* }

        /// The names of the columns, in their order.
        pub const NAMES: &[&str] = &[$($name,)*];
    };
}

columns! {
    /// Requests.
    Offered "offered",
    /// Requests of clients who came again.
    Again "again",
    /// Attempts.
    Tries "tries",
    /// Sessions set up.
    Plays "plays",
    /// Attempts turned away as full.
    Full "full",
    /// Attempts that a server answered with an error.
    Error "error",
    /// Attempts without an answer in time.
    Late "late",
    /// Attempts whose connection did not come up.
    Unconnected "unconnected",
    /// Attempts whose connection broke.
    Reset "reset",
    /// Attempts that ended otherwise.
    Ended "ended",
    /// Requests refused after a server was full.
    RefusedFull "refused_full",
    /// Requests refused that were never sent.
    RefusedUnsent "refused_unsent",
    /// Requests refused for other reasons.
    RefusedOther "refused_other",
    /// Requests that failed and were never sent.
    FailedUnsent "failed_unsent",
    /// Requests that failed otherwise.
    Failed "failed",
    /// Connections opened for a set-up.
    DialSetUp "dial_set_up",
    /// Connections opened to hear of sessions that play there.
    DialNotes "dial_notes",
    /// Connections opened to find out whether a server is lost.
    DialCheck "dial_check",
    /// Attempts at servers that had just started.
    Cold "cold",
    /// Attempts at servers that had never been heard.
    Unheard "unheard",
    /// Rungs of all attempts, added up.
    Rungs "rungs",
    /// Highest rungs that could have been asked, added up.
    Tops "tops",
    /// Raises of playing sessions.
    Up "up",
    /// Cuts of playing sessions.
    Down "down",
    /// Sessions over.
    Over "over",
}

/// A row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts([u64; NAMES.len()]);

impl Default for Counts {
    fn default() -> Counts {
        Counts([0; NAMES.len()])
    }
}

impl Counts {
    /// One number.
    pub fn get(&self, column: Column) -> u64 {
        self.0[column as usize]
    }

    /// All of them, in their order.
    pub fn all(&self) -> &[u64] {
        &self.0
    }

    /// Adds another row.
    pub fn add(&mut self, other: &Counts) {
        self.0.iter_mut().zip(other.0).for_each(|(a, b)| *a = a.saturating_add(b));
    }

    fn put(&mut self, column: Column, n: u64) {
        self.0[column as usize] = n;
    }

    /// What one event counts. A server counts as just started for `cold_ms`.
    pub fn of(event: &Event, cold_ms: u64) -> Counts {
        let mut c = Counts::default();
        match event {
            Event::Asked { again, .. } => {
                c.put(Column::Offered, 1);
                c.put(Column::Again, u64::from(*again));
            }
            Event::Sent { rung, top, heard_ms, up_ms, .. } => {
                c.put(Column::Tries, 1);
                c.put(Column::Rungs, *rung);
                c.put(Column::Tops, *top);
                c.put(Column::Unheard, u64::from(*heard_ms < 0));
                c.put(Column::Cold, u64::from(u64::try_from(*up_ms).is_ok_and(|up| up < cold_ms)));
            }
            Event::Turned { how, .. } => c.put(turned(how), 1),
            Event::Plays { .. } => c.put(Column::Plays, 1),
            Event::Refused { reason, .. } => c.put(
                match reason.as_str() {
                    "unsent" => Column::RefusedUnsent,
                    "full" => Column::RefusedFull,
                    _ => Column::RefusedOther,
                },
                1,
            ),
            Event::Failed { reason, .. } if reason == "unsent" => c.put(Column::FailedUnsent, 1),
            Event::Failed { .. } => c.put(Column::Failed, 1),
            Event::Rung { from, rung, .. } => c.put(if rung > from { Column::Up } else { Column::Down }, 1),
            Event::Over { .. } => c.put(Column::Over, 1),
            Event::Dial { why, .. } => c.put(
                match why.as_str() {
                    "set-up" => Column::DialSetUp,
                    "notes" => Column::DialNotes,
                    _ => Column::DialCheck,
                },
                1,
            ),
            Event::Opened { .. }
            | Event::Withdrawn { .. }
            | Event::Released { .. }
            | Event::ReplyQueued { .. }
            | Event::ReplyWritten { .. }
            | Event::ReplyDropped { .. }
            | Event::Told { .. }
            | Event::Dropped { .. } => {}
        }
        c
    }
}

fn turned(how: &str) -> Column {
    match how {
        "full" => Column::Full,
        "error" => Column::Error,
        "late" => Column::Late,
        "refused" => Column::Unconnected,
        "reset" => Column::Reset,
        _ => Column::Ended,
    }
}
