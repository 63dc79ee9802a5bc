//! One connection to an edge server: what waits for it, and what is read on it.

use std::collections::BTreeMap;

use super::{Command, ConnId, ServerMessage};
use crate::api::{Micros, Note, Rung, ServerId, SessionId};
use crate::broker::Description;
use crate::message::binary::{Decoder, Packet, code};
use crate::message::{Kind, Malformed};
use crate::platform::parse_load_report;

/// What waits to be written.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) set_up: Option<SessionId>,
    pub(super) bytes: Vec<u8>,
    /// Not before this.
    pub(super) not_before: Micros,
}

#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) decoder: Decoder,
    pub(super) server: ServerId,
    pub(super) is_open: bool,
    pub(super) is_suspect: bool,
    /// It brought what can't be read: nothing more is read or written there.
    pub(super) is_broken: bool,
    /// Another has taken its place: nothing more is written there, but it is read to its end.
    pub(super) is_retired: bool,
    /// When the message began that is not whole yet.
    pub(super) partial_since: Option<Micros>,
    /// Waits for the connection to come up, or for its time.
    pub(super) queue: Vec<Queued>,
    /// Set-ups that wait for an answer, and when they were written.
    pub(super) set_ups: BTreeMap<SessionId, Micros>,
    pub(super) last_received: Micros,
    pub(super) last_used: Micros,
}

impl Link {
    /// Whether it is up and in use.
    pub(super) fn is_up(&self) -> bool {
        self.is_open && !self.is_retired
    }

    /// Writes what has waited for the connection, or for its time.
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

    /// Reads the messages that are whole.
    pub(super) fn read_messages(&mut self, messages: &mut Vec<ServerMessage>) -> Result<(), Malformed> {
        while let Some(packet) = self.decoder.next_packet()? {
            let id = packet.id;
            match packet.kind {
                Kind::Answer => {
                    // An answer without its description is not whole, and no other may stand in for it.
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
