//! Calls on the operators' console, and the closing of client connections while the broker drains or ends.

use super::Node;
use super::viewer_conn::{UNFINISHED_REASON, ViewerConn};
use crate::api::{Micros, SessionId};
use crate::operate::console::{Answer, BadCall, Call};
use crate::operate::figures::Gauges;
use crate::platform::links::{Command, ConnId};

/// Time between checks for client connections to close during a drain.
const DRAIN_CHECK_INTERVAL: Micros = Micros(25_000);

impl Node {
    /// Answers a console call, or an invalid one.
    pub fn call(&mut self, now: Micros, call: Result<Call, BadCall>) -> String {
        let answer = match call {
            Ok(Call::Check) => match self.phase.unready_reason(now) {
                None => Answer::Success("ready"),
                Some(why) => Answer::Failure(why.text().to_owned()),
            },
            Ok(Call::Vars) => Answer::Metrics(self.read_metrics(now)),
            Ok(Call::DrainOn) => {
                let new = self.phase.drain(now);
                self.next_drain_check = self.phase.closes_connections_from().unwrap_or(Micros::MAX);
                if let Some(whip) = &mut self.whip {
                    whip.keep(false);
                }
                Answer::Success(if new { "draining" } else { "draining already" })
            }
            Ok(Call::DrainOff) => {
                let over = self.phase.undrain();
                self.next_drain_check = Micros::MAX;
                if let Some(whip) = self.whip.as_mut().filter(|_| self.phase.unready_reason(now).is_none()) {
                    whip.keep(true);
                }
                Answer::Success(if over { "serving" } else { "was not draining" })
            }
            Err(reason) => Answer::Failure(reason.to_string()),
        };
        answer.encode()
    }

    /// Returns the current metrics as text.
    fn read_metrics(&mut self, now: Micros) -> String {
        self.metrics.register_classes(&self.names.classes);
        // A playing session counts as an open request, as it has not ended.
        let remaining = self.remaining();
        let gauges = Gauges {
            open_requests: remaining.unanswered + remaining.playing,
            unanswered_requests: remaining.unanswered,
            playing_sessions: remaining.playing,
            client_connections: remaining.clients,
            registry_entries: self.servers.len(),
            out_of_rotation: self.broker.out_of_rotation(now),
            session_bytes: self.broker.session_bytes(),
            memory_refusals: self.broker.memory_refusals(),
            unconfirmed: self.broker.unconfirmed_stats(),
            titles: self.broker.title_stats(),
            hook: self.hook_stats(),
        };
        self.metrics.render(gauges)
    }

    /// Records that everything marked with these sessions was written: attempts on a server connection,
    /// answers on a client connection.
    pub fn record_fully_written(&mut self, now: Micros, conn: ConnId, marked: &[SessionId]) {
        if self.links.has(conn) || self.pool.has(conn) {
            marked.iter().for_each(|id| self.metrics.record_attempt(*id));
        } else if let Some(tracer) = &mut self.tracer {
            marked.iter().for_each(|id| tracer.reply_written(now, *id, conn));
        }
    }

    /// Records that a new configuration was accepted or rejected.
    pub fn record_reload(&mut self, taken: bool) {
        self.metrics.record_settings_file(taken);
    }

    /// Waits for a server list that a source is expected to deliver: see
    /// [`crate::operate::phase::Phase::await_server_list`].
    pub fn await_list(&mut self, now: Micros) {
        self.phase.await_server_list(now);
    }

    /// Refuses every new request from now on and closes the client connections, as all accepted requests are
    /// answered and the process ends.
    pub fn start_refusing(&mut self, out: &mut Vec<Command>) {
        self.phase.start_refusing();
        self.close_clients_when_stopping(out);
        if let Some(whip) = &mut self.whip {
            whip.keep(false);
        }
        while let Some((_, conn)) = self.whip.as_ref().and_then(|whip| whip.longest_idle()) {
            self.with_whip(Micros(0), out, |whip, _, actions| whip.let_go(conn, actions));
        }
    }

    /// Closes every client connection without unanswered requests, once the process refuses requests and no
    /// session plays whose end has to be sent.
    pub(super) fn close_clients_when_stopping(&mut self, out: &mut Vec<Command>) {
        if !self.phase.is_refusing() || self.broker.established() > 0 {
            return;
        }
        for (conn, c) in self.viewers.iter_mut().filter(|(_, c)| !c.is_closing && c.unanswered.is_empty()) {
            c.is_closing = true;
            out.push(Command::CloseIfQuiet(*conn, "stopping"));
        }
    }

    /// Closes client connections that the current phase does not need. Connections that hold a session stay
    /// open.
    pub(super) fn close_unneeded_clients(&mut self, now: Micros, out: &mut Vec<Command>) {
        if now < self.next_drain_check {
            return;
        }
        self.next_drain_check = now + DRAIN_CHECK_INTERVAL;
        let phase = self.phase;
        self.close_clients_where(out, |c| {
            let quiet = !c.is_closing && c.unanswered.is_empty() && c.partial_since.is_none();
            (quiet && phase.closes_connection(now, c.last_used, c.has_spoken)).then_some("draining")
        });
    }

    /// Closes client connections for which `why` gives a reason. Connections that a session was set up on
    /// stay open.
    pub(super) fn close_clients_where(
        &mut self,
        out: &mut Vec<Command>,
        why: impl Fn(&ViewerConn) -> Option<&'static str>,
    ) {
        let sessions = &self.session_conns;
        for (conn, c) in self.viewers.iter_mut().filter(|(conn, _)| !sessions.has_session_on(**conn)) {
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
