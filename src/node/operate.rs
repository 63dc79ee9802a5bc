//! What staff call for at the second address, and clients' connections that a broker lets go.

use std::collections::BTreeSet;

use super::Node;
use super::viewer_conn::{UNFINISHED_REASON, ViewerConn};
use crate::api::{Micros, SessionId};
use crate::operate::console::{Answer, BadCall, Call};
use crate::operate::figures::Gauges;
use crate::platform::links::{Command, ConnId};

/// Time between looks at clients' connections while they are let go.
const DRAIN_CHECK_INTERVAL: Micros = Micros(25_000);

impl Node {
    /// Answers a call, or what is none.
    pub fn call(&mut self, now: Micros, call: Result<Call, BadCall>) -> String {
        let answer = match call {
            Ok(Call::Check) => match self.phase.unready(now) {
                None => Answer::Success("ready"),
                Some(why) => Answer::Failure(why.word().to_owned()),
            },
            Ok(Call::Vars) => Answer::Metrics(self.read_metrics(now)),
            Ok(Call::DrainOn) => {
                let new = self.phase.drain(now);
                self.next_drain_check = self.phase.lets_go_from().unwrap_or(Micros::MAX);
                if let Some(whip) = &mut self.whip {
                    whip.keep(false);
                }
                Answer::Success(if new { "draining" } else { "draining already" })
            }
            Ok(Call::DrainOff) => {
                let over = self.phase.undrain();
                self.next_drain_check = Micros::MAX;
                if let Some(whip) = self.whip.as_mut().filter(|_| self.phase.unready(now).is_none()) {
                    whip.keep(true);
                }
                Answer::Success(if over { "serving" } else { "was not draining" })
            }
            Err(reason) => Answer::Failure(reason.to_string()),
        };
        answer.encode()
    }

    /// The figures as they are now.
    fn read_metrics(&mut self, now: Micros) -> String {
        self.metrics.classes(&self.names.classes);
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
        self.metrics.lines(gauges)
    }

    /// What is marked by these sessions was written whole: attempts on a connection to a server, answers on a client's.
    pub fn record_fully_written(&mut self, now: Micros, conn: ConnId, marked: &[SessionId]) {
        if self.links.has(conn) || self.pool.has(conn) {
            marked.iter().for_each(|id| self.metrics.relayed(*id));
        } else if let Some(tracer) = &mut self.tracer {
            marked.iter().for_each(|id| tracer.reply_written(now, *id, conn));
        }
    }

    /// A new configuration was taken in, or turned down.
    pub fn record_reload(&mut self, taken: bool) {
        self.metrics.file(taken);
    }

    /// A list is to come from some source: see [`crate::operate::phase::Phase::awaits_list`].
    pub fn await_list(&mut self, now: Micros) {
        self.phase.awaits_list(now);
    }

    /// All that was taken is answered and the process ends: from now on what comes is turned away at once, and all
    /// clients' connections are let go.
    pub fn start_refusing(&mut self, out: &mut Vec<Command>) {
        self.phase.close();
        self.close_clients_when_stopping(out);
        if let Some(whip) = &mut self.whip {
            whip.keep(false);
        }
        while let Some((_, conn)) = self.whip.as_ref().and_then(|whip| whip.longest_idle()) {
            self.with_whip(Micros(0), out, |whip, _, actions| whip.let_go(conn, actions));
        }
    }

    /// Once the doors are closed and nothing plays whose end is still to be told, lets every connection go on which no
    /// answer is owed.
    pub(super) fn close_clients_when_stopping(&mut self, out: &mut Vec<Command>) {
        if !self.phase.closed() || self.broker.established() > 0 {
            return;
        }
        for (conn, c) in self.viewers.iter_mut().filter(|(_, c)| !c.is_closing && c.unanswered.is_empty()) {
            c.is_closing = true;
            out.push(Command::CloseIfQuiet(*conn, "stopping"));
        }
    }

    /// Lets clients' connections go that the phase has no use for. What stands on none of them plays on.
    pub(super) fn close_unneeded_clients(&mut self, now: Micros, out: &mut Vec<Command>) {
        if now < self.next_drain_check {
            return;
        }
        self.next_drain_check = now + DRAIN_CHECK_INTERVAL;
        let phase = self.phase;
        self.close_clients_where(out, |c| {
            let quiet = !c.is_closing && c.unanswered.is_empty() && c.partial_since.is_none();
            (quiet && phase.lets_go(now, c.last_used, c.has_spoken)).then_some("draining")
        });
    }

    /// Ends clients' connections that there is a reason to end; those that a session was set up on stay.
    pub(super) fn close_clients_where(
        &mut self,
        out: &mut Vec<Command>,
        why: impl Fn(&ViewerConn) -> Option<&'static str>,
    ) {
        let with_session: BTreeSet<ConnId> = self.session_conns.values().copied().collect();
        for (conn, c) in self.viewers.iter_mut().filter(|(conn, _)| !with_session.contains(conn)) {
            if let Some(reason) = why(c) {
                c.is_closing = true;
                out.push(if reason == UNFINISHED_REASON {
                    Command::Close(*conn, reason)
                } else {
                    Command::CloseIfQuiet(*conn, reason)
                });
            }
        }
    }
}
