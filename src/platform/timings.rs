//! Time limits that follow from a deployment's settings.

use super::longest_deadline;
use crate::api::{Micros, Settings};
use crate::board;

/// A client must be told within 8 s of the end of a session whose server could send no release (protocol page, rules on
/// sockets).
const SESSION_END_DEADLINE: Micros = Micros(8_000_000);
/// What is kept of that for the timers between two checks and for the client's line.
const SESSION_END_MARGIN: Micros = Micros(500_000);
/// While no server's notes come, a server that was not heard of for so long is checked.
const MAX_SILENCE: Micros = Micros(6_000_000);
/// No silence shorter than this counts, however long a connection may take to come up.
const MIN_SILENCE: Micros = Micros(1_000_000);
/// How much later than due a server's notes may come before the server is checked.
const NOTE_MARGIN: Micros = Micros(500_000);
/// A connection that was idle for nearly as long as servers allow carries nothing new: a set-up that crosses its close
/// could be neither proved nor disproved to have run.
const IDLE_MARGIN: Micros = Micros(3_000_000);
/// Where servers close idle connections soon, no more than this part of their time is kept away from.
const IDLE_MARGIN_DIVISOR: u64 = 4;
/// A client that takes nothing for a shorter time may still be a live one: two retransmissions of a segment and more.
const MIN_CLIENT_STALL: Micros = Micros(2_000_000);
/// Requests of a class that went are read for at least so long, however short the deadlines.
const MIN_OLD_NAMES_ACCEPTED: Micros = Micros(2_000_000);
/// The longest dial of the notice board: with [`board::SILENCE`] and [`board::RETRY`] before it, a board that fell silent
/// is heard again within the 4 s after which its events count as told.
const MAX_BOARD_CONNECT: Micros = Micros(1_000_000);

/// Time limits that follow from a deployment's settings; derived anew from each new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The longest time that a viewer of any class waits for an answer.
    pub longest_deadline: Micros,
    /// How long a connection to an edge server may take to come up.
    pub connect_timeout: Micros,
    /// How long a connection to the notice board may take to come up.
    pub board_connect_timeout: Micros,
    /// Servers close connections that were idle for so long; zero: never.
    pub server_idle_timeout: Micros,
    /// How long before that a connection carries nothing new any more.
    pub idle_margin: Micros,
    /// Time between a server's notes; zero: it writes none.
    pub load_note_interval: Micros,
    /// A server that was silent for longer is checked while other servers' notes come.
    pub note_timeout: Micros,
    /// A server that was silent for longer is checked in any case.
    pub max_silence: Micros,
    /// A client that takes nothing for so long while there is something to write is let go.
    pub client_stall_timeout: Micros,
    /// Requests that name a class that went are read for so long after a new configuration.
    pub old_names_accepted: Micros,
}

impl Timings {
    /// The limits that follow from settings, from the time after which servers close idle connections, and from how
    /// long a connection may take to come up.
    pub fn new(settings: &Settings, server_idle_timeout: Micros, connect_timeout: Micros) -> Timings {
        let longest_deadline = longest_deadline(settings);
        // A check takes up to `connect` until it is known to have no answer.
        let latest = (SESSION_END_DEADLINE - SESSION_END_MARGIN - connect_timeout).max(MIN_SILENCE);
        let due = settings.load_note_interval + settings.note_delay + NOTE_MARGIN;
        // Without notes silence says little, yet it is all that tells of a machine that vanished.
        let max_silence = MAX_SILENCE.max(due).min(latest);
        let note_timeout =
            if settings.load_note_interval == Micros(0) { max_silence } else { due.min(latest) };
        Timings {
            longest_deadline,
            connect_timeout,
            board_connect_timeout: board::CONNECT.max(connect_timeout).min(MAX_BOARD_CONNECT),
            server_idle_timeout,
            idle_margin: IDLE_MARGIN.min(Micros(server_idle_timeout.0 / IDLE_MARGIN_DIVISOR)),
            load_note_interval: settings.load_note_interval,
            note_timeout,
            max_silence,
            // What waits there is of use for as long as any answer can be.
            client_stall_timeout: longest_deadline.max(MIN_CLIENT_STALL),
            // Who asked under the old configuration has given up by then.
            old_names_accepted: longest_deadline.max(MIN_OLD_NAMES_ACCEPTED),
        }
    }
}

#[cfg(test)]
mod tests;
