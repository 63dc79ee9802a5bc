//! One connection to an edge server: its write queue and its decoder.

use std::collections::BTreeMap;

use super::{Command, ConnId, ServerMessage};
use crate::api::{Micros, Note, Rung, ServerId, SessionId};
use crate::broker::Description;
use crate::message::binary::{Decoder, Packet, code};
use crate::message::{Kind, Malformed};
use crate::platform::parse_load_report;

/// Bytes that wait to be written.
#[derive(Debug)]
pub(super) struct Queued {
    /// The session, if this is its set-up.
    pub(super) set_up: Option<SessionId>,
    pub(super) bytes: Vec<u8>,
    /// The earliest time to write them.
    pub(super) not_before: Micros,
}

/// A connection to an edge server.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) decoder: Decoder,
    pub(super) server: ServerId,
    pub(super) is_open: bool,
    /// A set-up on it timed out with nothing received since: nothing new goes out on it until bytes arrive.
    pub(super) is_suspect: bool,
    /// It received a malformed message, or its server moved or is gone: nothing more is read or written.
    pub(super) is_broken: bool,
    /// Another connection has replaced it, or it is being closed: nothing more is written, but it is read to
    /// its end.
    pub(super) is_retired: bool,
    /// When the incomplete message began, if there is one.
    pub(super) partial_since: Option<Micros>,
    /// Writes that wait for the connection to open, or for their time.
    pub(super) queue: Vec<Queued>,
    /// Unanswered set-ups, with the time at which each was written.
    pub(super) set_ups: BTreeMap<SessionId, Micros>,
    /// When bytes were last received.
    pub(super) last_received: Micros,
    /// When something was last written or queued.
    pub(super) last_used: Micros,
}

impl Link {
    /// Whether it is open and not retired.
    pub(super) fn is_up(&self) -> bool {
        self.is_open && !self.is_retired
    }

    /// Writes what has waited for the connection or for its time.
    pub(super) fn write_due(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if !self.is_open || self.is_broken {
            return;
        }
        let (due, later) = self.queue.drain(..).partition(|queued| queued.not_before <= now);
        self.queue = later;
        for Queued { set_up, bytes, .. } in due {
            if let Some(id) = set_up {
                self.set_ups.insert(id, now);
            }
            out.push(Command::Write(conn, bytes, set_up));
        }
    }

    /// Decodes the complete messages.
    pub(super) fn read_messages(&mut self, messages: &mut Vec<ServerMessage>) -> Result<(), Malformed> {
        while let Some(packet) = self.decoder.next_packet()? {
            let id = packet.id;
            match packet.kind {
                Kind::Answer => {
                    // An answer without a description is malformed, and no later answer may replace it.
                    let description = packet.value(code::DESCRIPTION).filter(|d| !d.is_empty());
                    let description = Description::from(description.ok_or(Malformed::BadField)?);
                    self.set_ups.remove(&id);
                    messages.push(ServerMessage::Answer(id, description));
                }
                Kind::Release => {
                    let cause = packet.cause().ok_or(Malformed::BadField)?;
                    self.set_ups.remove(&id);
                    let load = packet.text(code::LOAD).map(parse_load_report).unwrap_or_default();
                    messages.push(ServerMessage::Release(id, cause, load));
                }
                Kind::Note => messages.extend(parse_note(&packet).map(|note| ServerMessage::Note(id, note))),
                Kind::Progress | Kind::Released | Kind::Pong | Kind::Ping | Kind::Move | Kind::Rate => {}
                Kind::SetUp => return Err(Malformed::UnknownType),
            }
        }
        Ok(())
    }
}

/// Parses a note; unknown notes and invalid values are ignored.
fn parse_note(packet: &Packet<'_>) -> Option<Note> {
    let figure = packet.text(code::FIGURE)?.trim().parse::<f64>().ok().filter(|x| x.is_finite())?;
    Some(match packet.text(code::NOTE)? {
        "kept_up" => Note::Delivered(figure),
        "tier" => Note::Rung(Rung(figure.max(0.0) as usize)),
        "wire" => Note::Link(figure),
        "trunk" => Note::Uplink(figure),
        _ => return None,
    })
}
