//! Time limits that follow from the settings of a deployment.

use super::longest_deadline;
use crate::api::{Micros, Settings};
use crate::board;

/// A client must be told within this time of the end of a session whose server could send no release
/// (protocol page, rules on sockets).
const SESSION_END_DEADLINE: Micros = Micros(8_000_000);
/// Part of that deadline reserved for the timers between two checks and for the line to the client.
const SESSION_END_MARGIN: Micros = Micros(500_000);
/// A server that has been silent for this time is checked while no notes of other servers arrive.
const MAX_SILENCE: Micros = Micros(6_000_000);
/// A shorter silence never counts, whatever the connect timeout.
const MIN_SILENCE: Micros = Micros(1_000_000);
/// How late a server's notes may be before it is checked.
const NOTE_MARGIN: Micros = Micros(500_000);
/// Time before a server's idle timeout in which a connection carries nothing new: for a set-up that crosses
/// the close of its connection, nothing could prove whether it ran.
const IDLE_MARGIN: Micros = Micros(3_000_000);
/// The margin is at most this part of the idle timeout, for servers that close idle connections early.
const IDLE_MARGIN_DIVISOR: u64 = 4;
/// Lower bound of the stall limit: a client that reads nothing for a shorter time may still be alive, as two
/// and more retransmissions of a segment fit into it.
const MIN_CLIENT_STALL: Micros = Micros(2_000_000);
/// Lower bound of the time for which the names of removed classes are accepted, for short deadlines.
const MIN_OLD_NAMES_ACCEPTED: Micros = Micros(2_000_000);
/// Upper bound of the connect timeout of the notice board. With [`board::SILENCE_TIMEOUT`] and [`board::RETRY_DELAY`]
/// before it, a board that fell silent is heard again within the 4 s after which its events count as told.
const MAX_BOARD_CONNECT: Micros = Micros(1_000_000);

/// Time limits that follow from the settings of a deployment, derived again from each new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The longest deadline of any class.
    pub longest_deadline: Micros,
    /// Connect timeout for edge servers.
    pub connect_timeout: Micros,
    /// Connect timeout for the notice board.
    pub board_connect_timeout: Micros,
    /// Servers close connections that were idle for this time; zero: never.
    pub server_idle_timeout: Micros,
    /// Time before the idle timeout in which a connection carries nothing new.
    pub idle_margin: Micros,
    /// Time between the notes of a server; zero: it sends none.
    pub load_note_interval: Micros,
    /// A server that has been silent for longer is checked while notes of other servers arrive.
    pub note_timeout: Micros,
    /// A server that has been silent for longer is checked in any case.
    pub max_silence: Micros,
    /// A client that reads nothing for this time while writes are pending is disconnected.
    pub client_stall_timeout: Micros,
    /// How long requests that name a removed class are accepted after a reload.
    pub old_names_accepted: Micros,
}

impl Timings {
    /// Derives the limits from the settings, the idle timeout of servers and the connect timeout.
    pub fn new(settings: &Settings, server_idle_timeout: Micros, connect_timeout: Micros) -> Timings {
        let longest_deadline = longest_deadline(settings);
        // A check takes up to the connect timeout until it counts as unanswered.
        let latest = (SESSION_END_DEADLINE - SESSION_END_MARGIN - connect_timeout).max(MIN_SILENCE);
        let due = settings.load_note_interval + settings.note_delay + NOTE_MARGIN;
        // Without notes silence says little, but it is the only sign of a machine that vanished.
        let max_silence = MAX_SILENCE.max(due).min(latest);
        let note_timeout =
            if settings.load_note_interval == Micros(0) { max_silence } else { due.min(latest) };
        Timings {
            longest_deadline,
            connect_timeout,
            board_connect_timeout: board::CONNECT_TIMEOUT.max(connect_timeout).min(MAX_BOARD_CONNECT),
            server_idle_timeout,
            idle_margin: IDLE_MARGIN.min(Micros(server_idle_timeout.0 / IDLE_MARGIN_DIVISOR)),
            load_note_interval: settings.load_note_interval,
            note_timeout,
            max_silence,
            // Pending writes are of use for as long as any answer can be.
            client_stall_timeout: longest_deadline.max(MIN_CLIENT_STALL),
            // Clients that asked under the old configuration have given up by then.
            old_names_accepted: longest_deadline.max(MIN_OLD_NAMES_ACCEPTED),
        }
    }
}

#[cfg(test)]
mod tests;
