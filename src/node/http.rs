//! The WHIP and WHEP front: carries out the actions that it asks for.

use super::Node;
use crate::api::*;
use crate::broker::Input;
use crate::platform::links::{Command, ConnId};
use crate::whip::{self, FrontAction};

impl Node {
    /// Calls the WHIP front, then carries out the actions that it returned.
    pub(super) fn with_whip(
        &mut self,
        now: Micros,
        out: &mut Vec<Command>,
        act: impl FnOnce(&mut whip::WhipFront, &dyn Fn(SessionId) -> bool, &mut Vec<FrontAction>),
    ) {
        let mut actions = Vec::new();
        if let Some(whip) = &mut self.whip {
            let (broker, links, pool, hook) = (&self.broker, &self.links, &self.pool, &self.hook);
            let nothing_ran =
                |id| broker.has_no_attempt(id) || links.waits(id) || pool.waits(id) || hook.contains(id);
            act(whip, &nothing_ran, &mut actions);
        }
        for action in actions {
            match action {
                FrontAction::Tell(Input::Request(request, offer)) => {
                    self.submit_request(now, request, offer, out)
                }
                FrontAction::Tell(input) => self.handle_input(now, input, out),
                FrontAction::Write(conn, pieces, tag) => {
                    out.extend(pieces.into_iter().map(|piece| Command::Write(conn, piece, tag)));
                }
                FrontAction::Close(conn, reason) => out.push(Command::Close(conn, reason)),
                FrontAction::CloseIfQuiet(conn, reason) => out.push(Command::CloseIfQuiet(conn, reason)),
                FrontAction::Patch { conn, id, any, body } => {
                    self.forward_patch(now, conn, id, any, &body, out)
                }
            }
        }
    }

    /// Passes a trickle ICE fragment to the server of the session, if that server accepts any.
    pub(super) fn forward_patch(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        any: bool,
        body: &[u8],
        out: &mut Vec<Command>,
    ) {
        if !self.pool.patch(now, conn, id, any, body, out) {
            self.with_whip(now, out, |whip, _, actions| whip.unpatchable(conn, id, actions));
        }
    }

    /// Whether a session belongs to the WHIP front.
    pub(super) fn is_whip_session(&self, id: SessionId) -> bool {
        self.whip.as_ref().is_some_and(|whip| whip.owns(id))
    }
}
