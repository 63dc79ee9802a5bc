//! Time limits that follow from a deployment's settings.

use super::longest_deadline;
use crate::api::{Micros, Settings};
use crate::board;

/// A client must be told within 8 s of the end of a session whose server could send no release (protocol page, rules on
/// sockets).
const END_TOLD_WITHIN: Micros = Micros(8_000_000);
/// What is kept of that for the timers between two checks and for the client's line.
const END_SPARE: Micros = Micros(500_000);
/// While no server's notes come, a server that was not heard of for so long is checked.
const SILENT_MOST: Micros = Micros(6_000_000);
/// No silence shorter than this counts, however long a connection may take to come up.
const SILENT_LEAST: Micros = Micros(1_000_000);
/// How much later than due a server's notes may come before the server is checked.
const NOTES_SPARE: Micros = Micros(500_000);
/// A connection that was idle for nearly as long as servers allow carries nothing new: a set-up that crosses its close
/// could be neither proved nor disproved to have run.
const IDLE_SPARE: Micros = Micros(3_000_000);
/// Where servers close idle connections soon, no more than this part of their time is kept away from.
const IDLE_SPARE_PART: u64 = 4;
/// A client that takes nothing for a shorter time may still be a live one: two retransmissions of a segment and more.
const STALLED_LEAST: Micros = Micros(2_000_000);
/// Requests of a class that went are read for at least so long, however short the deadlines.
const RENAMED_LEAST: Micros = Micros(2_000_000);
/// The longest dial of the notice board: with [`board::SILENCE_TIMEOUT`] and [`board::RETRY_DELAY`] before it, a
/// board that fell silent is heard again within the 4 s after which its events count as told.
const BOARD_CONNECT_MOST: Micros = Micros(1_000_000);

/// Time limits that follow from a deployment's settings; derived anew from each new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The longest time that a viewer of any class waits for an answer.
    pub longest_deadline: Micros,
    /// How long a connection to an edge server may take to come up.
    pub connect: Micros,
    /// How long a connection to the notice board may take to come up.
    pub board_connect: Micros,
    /// Servers close connections that were idle for so long; zero: never.
    pub idle: Micros,
    /// How long before that a connection carries nothing new any more.
    pub idle_spare: Micros,
    /// Time between a server's notes; zero: it writes none.
    pub tell: Micros,
    /// A server that was silent for longer is checked while other servers' notes come.
    pub quiet: Micros,
    /// A server that was silent for longer is checked in any case.
    pub silent_most: Micros,
    /// A client that takes nothing for so long while there is something to write is let go.
    pub client_stalled: Micros,
    /// Requests that name a class that went are read for so long after a new configuration.
    pub renamed: Micros,
}

impl Timings {
    /// The limits that follow from settings, from the time after which servers close idle connections, and from how
    /// long a connection may take to come up.
    pub fn new(settings: &Settings, idle: Micros, connect: Micros) -> Timings {
        let longest_deadline = longest_deadline(settings);
        // A check takes up to `connect` until it is known to have no answer.
        let latest = (END_TOLD_WITHIN - END_SPARE - connect).max(SILENT_LEAST);
        let due = settings.load_note_interval + settings.note_delay + NOTES_SPARE;
        // Without notes silence says little, yet it is all that tells of a machine that vanished.
        let silent_most = SILENT_MOST.max(due).min(latest);
        let quiet = if settings.load_note_interval == Micros(0) { silent_most } else { due.min(latest) };
        Timings {
            longest_deadline,
            connect,
            board_connect: board::CONNECT_TIMEOUT.max(connect).min(BOARD_CONNECT_MOST),
            idle,
            idle_spare: IDLE_SPARE.min(Micros(idle.0 / IDLE_SPARE_PART)),
            tell: settings.load_note_interval,
            quiet,
            silent_most,
            // What waits there is of use for as long as any answer can be.
            client_stalled: longest_deadline.max(STALLED_LEAST),
            // Who asked under the old configuration has given up by then.
            renamed: longest_deadline.max(RENAMED_LEAST),
        }
    }
}

#[cfg(test)]
mod tests;
