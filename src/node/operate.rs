//! What staff call for at the second address, and clients' connections that a broker lets go.

use std::collections::BTreeSet;

use super::Node;
use super::viewer_conn::{UNFINISHED, ViewerConn};
use crate::api::{Micros, SessionId};
use crate::operate::console::{Answer, BadCall, Call};
use crate::operate::figures::Gauges;
use crate::platform::links::{Command, ConnId};

/// Time between looks at clients' connections while they are let go.
const LET_GO_EVERY: Micros = Micros(25_000);

impl Node {
    /// Answers a call, or what is none.
    pub fn call(&mut self, now: Micros, call: Result<Call, BadCall>) -> String {
        let answer = match call {
            Ok(Call::Check) => match self.phase.unready_reason(now) {
                None => Answer::Success("ready"),
                Some(why) => Answer::Failure(why.text().to_owned()),
            },
            Ok(Call::Vars) => Answer::Metrics(self.read_figures(now)),
            Ok(Call::DrainOn) => {
                let new = self.phase.drain(now);
                self.let_go_at = self.phase.closes_connections_from().unwrap_or(Micros::MAX);
                if let Some(whip) = &mut self.whip {
                    whip.keep(false);
                }
                Answer::Success(if new { "draining" } else { "draining already" })
            }
            Ok(Call::DrainOff) => {
                let over = self.phase.undrain();
                self.let_go_at = Micros::MAX;
                if let Some(whip) = self.whip.as_mut().filter(|_| self.phase.unready_reason(now).is_none()) {
                    whip.keep(true);
                }
                Answer::Success(if over { "serving" } else { "was not draining" })
            }
            Err(reason) => Answer::Failure(reason.to_string()),
        };
        answer.encode()
    }

    /// The figures as they are now.
    fn read_figures(&mut self, now: Micros) -> String {
        self.figures.register_classes(&self.names.classes);
        // A session that plays is a request that has not ended.
        let remaining = self.remaining();
        let gauges = Gauges {
            open_requests: remaining.unanswered + remaining.playing,
            unanswered_requests: remaining.unanswered,
            playing_sessions: remaining.playing,
            client_connections: remaining.clients,
            registry_entries: self.servers.len(),
            out_of_rotation: self.broker.out_of_rotation(now),
        };
        self.figures.render(gauges)
    }

    /// What is marked by these sessions was written whole: attempts on a connection to a server, answers on a client's.
    pub fn written_whole(&mut self, now: Micros, conn: ConnId, marked: &[SessionId]) {
        if self.links.has(conn) || self.pool.has(conn) {
            marked.iter().for_each(|id| self.figures.record_attempt(*id));
        } else if let Some(tracer) = &mut self.tracer {
            marked.iter().for_each(|id| tracer.reply_written(now, *id, conn));
        }
    }

    /// A new configuration was taken in, or turned down.
    pub fn reread(&mut self, taken: bool) {
        self.figures.record_settings_file(taken);
    }

    /// A list is to come from some source: see [`crate::operate::phase::Phase::await_server_list`].
    pub fn awaits_list(&mut self, now: Micros) {
        self.phase.await_server_list(now);
    }

    /// All that was taken is answered and the process ends: from now on what comes is turned away at once, and all
    /// clients' connections are let go.
    pub fn start_refusing(&mut self, out: &mut Vec<Command>) {
        self.phase.start_refusing();
        self.let_all_go(out);
        if let Some(whip) = &mut self.whip {
            whip.keep(false);
        }
        while let Some((_, conn)) = self.whip.as_ref().and_then(|whip| whip.longest_idle()) {
            self.whip(Micros(0), out, |whip, _, wishes| whip.let_go(conn, wishes));
        }
    }

    /// Once the doors are closed and nothing plays whose end is still to be told, lets every connection go on which no
    /// answer is owed.
    pub(super) fn let_all_go(&mut self, out: &mut Vec<Command>) {
        if !self.phase.is_refusing() || self.broker.established() > 0 {
            return;
        }
        for (conn, c) in self.viewers.iter_mut().filter(|(_, c)| !c.closing && c.open.is_empty()) {
            c.closing = true;
            out.push(Command::CloseIfQuiet(*conn, "stopping"));
        }
    }

    /// Lets clients' connections go that the phase has no use for. What stands on none of them plays on.
    pub(super) fn let_go(&mut self, now: Micros, out: &mut Vec<Command>) {
        if now < self.let_go_at {
            return;
        }
        self.let_go_at = now + LET_GO_EVERY;
        let phase = self.phase;
        self.close_clients(out, |c| {
            let quiet = !c.closing && c.open.is_empty() && c.begun.is_none();
            (quiet && phase.closes_connection(now, c.used, c.spoke)).then_some("draining")
        });
    }

    /// Ends clients' connections that there is a reason to end; those that a session was set up on stay.
    pub(super) fn close_clients(
        &mut self,
        out: &mut Vec<Command>,
        why: impl Fn(&ViewerConn) -> Option<&'static str>,
    ) {
        let homes: BTreeSet<ConnId> = self.homes.values().copied().collect();
        for (conn, c) in self.viewers.iter_mut().filter(|(conn, _)| !homes.contains(conn)) {
            if let Some(reason) = why(c) {
                c.closing = true;
                out.push(if reason == UNFINISHED {
                    Command::Close(*conn, reason)
                } else {
                    Command::CloseIfQuiet(*conn, reason)
                });
            }
        }
    }
}
