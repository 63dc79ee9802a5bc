//! Edge servers and media servers: the server list, their connections, and their messages.

use std::collections::BTreeSet;

use super::Node;
use crate::api::*;
use crate::broker::{Input, SetUp};
use crate::edge::PoolEvent;
use crate::platform::links::{Command, ServerMessage, Withdrawal, release_status};
use crate::roster::ListUpdate;

impl Node {
    /// Traces each connection to a server that these commands open.
    pub(super) fn trace_dials(&mut self, now: Micros, server: &ServerId, why: &str, commands: &[Command]) {
        if let Some(tracer) = &mut self.tracer {
            let dials = commands.iter().filter(|c| matches!(c, Command::Dial(..)));
            dials.for_each(|_| tracer.connection_opened(now, server, why));
        }
    }

    /// Checks the servers that hold sessions: those that are silent, and those without a connection, as their
    /// notes need one.
    pub(super) fn check_silent_servers(&mut self, now: Micros, out: &mut Vec<Command>) {
        // Servers that speak WHIP or WHEP have no permanent connection that could be silent.
        let platform_servers = self.servers.keys().filter(|s| !self.pool.knows(s));
        let busy: Vec<ServerId> =
            platform_servers.filter(|s| self.broker.has_established_at(s)).cloned().collect();
        let connected = self.links.connected_servers();
        for server in self.links.silent_servers(now, busy.iter().cloned()) {
            self.check_server(now, &server, out);
        }
        for server in busy.into_iter().filter(|s| !connected.contains(s)) {
            self.check_server(now, &server, out);
        }
    }

    /// Closes a connection to a server without sessions when descriptors are short.
    pub fn close_idle_link(&mut self, out: &mut Vec<Command>) {
        let broker = &self.broker;
        self.links.close_idle(|server| broker.has_established_at(server), out);
    }

    /// Opens another connection to find out whether a server is lost.
    pub(super) fn check_server(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) {
        let before = out.len();
        let has_address = self.links.check_server(now, server, out);
        self.trace_dials(now, server, "check", &out[before..]);
        if !has_address {
            self.handle_input(now, Input::ServerLost(server.clone()), out);
        }
    }

    /// Applies an update of the server list.
    pub fn update_server_list(&mut self, now: Micros, update: ListUpdate, out: &mut Vec<Command>) {
        if !update.servers.is_empty() {
            self.phase.server_list_received();
        }
        let mut lost = Vec::new();
        if update.kind == ListKind::Complete {
            let listed: BTreeSet<&ServerId> = update.servers.iter().map(|l| &l.entry.id).collect();
            lost.extend(self.servers.keys().filter(|id| !listed.contains(id)).cloned());
            for id in &lost {
                self.servers.remove(id);
                self.links.forget(id);
                self.pool.forget(id);
            }
        }
        for listed in &update.servers {
            let (id, state, up) = (&listed.entry.id, listed.entry.state, listed.entry.up_since);
            match &listed.paths {
                Some(paths) => {
                    let moved = self.pool.listed(id, listed.address, paths, state, out);
                    let is_replaced = moved || self.links.knows(id);
                    self.links.forget(id);
                    lost.extend(is_replaced.then(|| id.clone()));
                }
                None => {
                    let is_replaced = self.pool.knows(id) && state != ServerState::Gone;
                    self.pool.forget(id);
                    lost.extend(is_replaced.then(|| id.clone()));
                    lost.extend(self.links.listed(id, listed.address, state, out));
                }
            }
            // A server that is gone or has restarted no longer holds its earlier sessions. It may not have
            // reset its connections, which can stay open and silent.
            let before = self.servers.insert(id.clone(), (state, up));
            if state == ServerState::Gone {
                self.servers.remove(id);
            }
            if state == ServerState::Gone || before.is_some_and(|(_, before)| up > before) {
                lost.push(id.clone());
            }
        }
        for server in lost {
            self.pool.server_lost(now, &server, false, out);
            self.handle_input(now, Input::ServerLost(server), out);
        }
        let servers: Vec<ServerEntry> = update.servers.into_iter().map(|l| l.entry).collect();
        let servers = self.apply_barred(servers);
        if let Some(tracer) = &mut self.tracer {
            tracer.update_servers(&servers);
            if update.kind == ListKind::Complete {
                tracer.retain_servers(|id| self.servers.contains_key(id));
            }
        }
        self.handle_input(now, Input::Servers { kind: update.kind, servers }, out);
    }

    /// Handles events of servers that speak WHIP or WHEP.
    pub(super) fn handle_pool_events(&mut self, now: Micros, events: Vec<PoolEvent>, out: &mut Vec<Command>) {
        for event in events {
            match event {
                PoolEvent::Answer(id, server, answer) => {
                    self.handle_input(now, Input::Established { id, server, answer }, out)
                }
                PoolEvent::Ended(id, server, status, load) => {
                    self.handle_input(now, Input::Ended { id, server, status, load }, out);
                }
                PoolEvent::Note(id, server, note) => {
                    self.handle_input(now, Input::Note { id, server, note }, out)
                }
                PoolEvent::Refused(server) => {
                    // A draining server may refuse connections while its sessions play.
                    let ready = self.servers.get(&server).is_some_and(|(s, _)| *s == ServerState::Ready);
                    if ready && self.broker.has_established_at(&server) {
                        self.pool.server_lost(now, &server, true, out);
                        self.handle_input(now, Input::ServerLost(server), out);
                    }
                }
                PoolEvent::Patched(conn, id, answer) => {
                    self.with_whip(now, out, |whip, _, actions| whip.patched(conn, id, answer, actions));
                    self.with_whip(now, out, |whip, nothing_ran, actions| {
                        whip.read_on(now, nothing_ran, actions)
                    });
                }
                PoolEvent::Log(line) => self.log.push(line),
            }
        }
    }

    /// The number of session ends that media servers have not acknowledged.
    pub fn unheard_ends(&self) -> usize {
        self.pool.pending_ends()
    }

    /// Handles a message of an edge server.
    pub(super) fn handle_server_message(
        &mut self,
        now: Micros,
        server: &ServerId,
        message: ServerMessage,
        out: &mut Vec<Command>,
    ) {
        if self.forward_if_handed_over(&message) {
            return;
        }
        let server = server.clone();
        let input = match message {
            ServerMessage::Answer(id, answer) => Input::Established { id, server, answer },
            ServerMessage::Release(id, cause, load) => {
                let status = release_status(cause, self.broker.is_established_at(id, &server));
                Input::Ended { id, server, status, load }
            }
            ServerMessage::Note(id, note) => Input::Note { id, server, note },
        };
        self.handle_input(now, input, out);
    }

    /// Gives up an attempt. WHIP has no message for that, so a media server's late answer is ended when it
    /// arrives.
    pub(super) fn give_up_attempt(
        &mut self,
        now: Micros,
        id: SessionId,
        server: ServerId,
        out: &mut Vec<Command>,
    ) {
        let withdrawal = if self.pool.holds(id) {
            self.pool.give_up(now, id, out);
            Withdrawal::Done
        } else {
            self.links.give_up(now, id, &server, out)
        };
        if withdrawal == Withdrawal::Done {
            self.handle_input(now, Input::Withdrawn { id, server }, out);
        }
    }

    /// Sends a set-up to its server.
    pub(super) fn send_set_up(&mut self, now: Micros, set_up: &SetUp, out: &mut Vec<Command>) {
        let class = self.names.classes.get(set_up.class).cloned().unwrap_or_default();
        if let Some(tracer) = &mut self.tracer {
            tracer.set_up_sent(now, set_up.id, &set_up.server, set_up.rung);
        }
        let before = out.len();
        let sent = if self.pool.knows(&set_up.server) {
            self.pool.set_up(now, set_up, &class, out)
        } else {
            self.links.set_up(now, set_up, &class, out)
        };
        self.trace_dials(now, &set_up.server, "set-up", &out[before..]);
        if let Err(status) = sent {
            let (id, server, load) = (set_up.id, set_up.server.clone(), Load::default());
            self.handle_input(now, Input::Ended { id, server, status, load }, out);
        }
    }
}
