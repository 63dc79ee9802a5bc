//! Edge servers and media servers: the list of them, their connections, and what they tell.

use std::collections::BTreeSet;

use super::Node;
use crate::api::*;
use crate::broker::{Input, SetUp};
use crate::edge::PoolEvent;
use crate::platform::links::{Command, ServerMessage, Withdrawal, status};
use crate::roster::ListUpdate;

impl Node {
    /// Tells of the connections to a server that are among fresh commands.
    pub(super) fn dialled(&mut self, now: Micros, server: &ServerId, why: &str, fresh: &[Command]) {
        if let Some(tracer) = &mut self.tracer {
            let dials = fresh.iter().filter(|c| matches!(c, Command::Dial(..)));
            dials.for_each(|_| tracer.connection_opened(now, server, why));
        }
    }

    /// Servers with sessions must be heard of: one that is silent is tried, and each needs a way for its notes.
    pub(super) fn look(&mut self, now: Micros, out: &mut Vec<Command>) {
        // Those that speak WHIP or WHEP have no connection of their own to be heard on.
        let spoken = self.servers.keys().filter(|s| !self.pool.serves(s));
        let busy: Vec<ServerId> = spoken.filter(|s| self.broker.has_established_at(s)).cloned().collect();
        let connected = self.links.connected();
        for server in self.links.silent(now, busy.iter().cloned()) {
            self.check(now, &server, out);
        }
        for server in busy.into_iter().filter(|s| !connected.contains(s)) {
            self.check(now, &server, out);
        }
    }

    /// Descriptors are short: a connection to a server where nothing plays makes room.
    pub fn close_idle_link(&mut self, out: &mut Vec<Command>) {
        let broker = &self.broker;
        self.links.close_idle(|server| broker.has_established_at(server), out);
    }

    /// Finds out by one more connection whether a server is lost.
    pub(super) fn check(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) {
        let before = out.len();
        let there = self.links.check(now, server, out);
        self.dialled(now, server, "check", &out[before..]);
        if !there {
            self.tell(now, Input::ServerLost(server.clone()), out);
        }
    }

    /// News of the list of servers.
    pub fn news(&mut self, now: Micros, news: ListUpdate, out: &mut Vec<Command>) {
        if !news.servers.is_empty() {
            self.phase.server_list_received();
        }
        let mut lost = Vec::new();
        if news.kind == ListKind::Complete {
            let named: BTreeSet<&ServerId> = news.servers.iter().map(|l| &l.entry.id).collect();
            lost.extend(self.servers.keys().filter(|id| !named.contains(id)).cloned());
            for id in &lost {
                self.servers.remove(id);
                self.links.forget(id);
                self.pool.forget(id);
            }
        }
        for listed in &news.servers {
            let (id, state, up) = (&listed.entry.id, listed.entry.state, listed.entry.up_since);
            match &listed.paths {
                Some(paths) => {
                    let moved = self.pool.listed(id, listed.address, paths, state, out);
                    let other = moved || self.links.knows(id);
                    self.links.forget(id);
                    lost.extend(other.then(|| id.clone()));
                }
                None => {
                    let other = self.pool.serves(id) && state != ServerState::Gone;
                    self.pool.forget(id);
                    lost.extend(other.then(|| id.clone()));
                    lost.extend(self.links.listed(id, listed.address, state, out));
                }
            }
            // One that is gone, or has started anew, holds nothing of what stood there before. It need not have
            // reset its connections: they may stay open and silent.
            let before = self.servers.insert(id.clone(), (state, up));
            if state == ServerState::Gone {
                self.servers.remove(id);
            }
            if state == ServerState::Gone || before.is_some_and(|(_, before)| up > before) {
                lost.push(id.clone());
            }
        }
        for server in lost {
            self.pool.lost(now, &server, false, out);
            self.tell(now, Input::ServerLost(server), out);
        }
        let servers: Vec<ServerEntry> = news.servers.into_iter().map(|l| l.entry).collect();
        let servers = self.allowed(servers);
        if let Some(tracer) = &mut self.tracer {
            tracer.update_servers(&servers);
            if news.kind == ListKind::Complete {
                tracer.retain_servers(|id| self.servers.contains_key(id));
            }
        }
        self.tell(now, Input::Servers { kind: news.kind, servers }, out);
    }

    /// What servers that speak WHIP or WHEP tell.
    pub(super) fn told(&mut self, now: Micros, told: Vec<PoolEvent>, out: &mut Vec<Command>) {
        for told in told {
            match told {
                PoolEvent::Answer(id, server, answer) => {
                    self.tell(now, Input::Established { id, server, answer }, out)
                }
                PoolEvent::Ended(id, server, status, load) => {
                    self.tell(now, Input::Ended { id, server, status, load }, out);
                }
                PoolEvent::Note(id, server, note) => self.tell(now, Input::Note { id, server, note }, out),
                PoolEvent::Refused(server) => {
                    // One that drains may turn connections down while its sessions play.
                    let ready = self.servers.get(&server).is_some_and(|(s, _)| *s == ServerState::Ready);
                    if ready && self.broker.has_established_at(&server) {
                        self.pool.lost(now, &server, true, out);
                        self.tell(now, Input::ServerLost(server), out);
                    }
                }
                PoolEvent::Patched(conn, id, answer) => {
                    self.whip(now, out, |whip, _, wishes| whip.patched(conn, id, answer, wishes));
                    self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
                }
                PoolEvent::Log(line) => self.log.push(line),
            }
        }
    }

    /// Ends that servers have not heard yet.
    pub fn ending(&self) -> usize {
        self.pool.ending()
    }

    pub(super) fn heard(
        &mut self,
        now: Micros,
        server: &ServerId,
        heard: ServerMessage,
        out: &mut Vec<Command>,
    ) {
        if self.passes_on(&heard) {
            return;
        }
        let server = server.clone();
        let input = match heard {
            ServerMessage::Answer(id, answer) => Input::Established { id, server, answer },
            ServerMessage::Release(id, cause, load) => {
                let status = status(cause, self.broker.is_established_at(id, &server));
                Input::Ended { id, server, status, load }
            }
            ServerMessage::Note(id, note) => Input::Note { id, server, note },
        };
        self.tell(now, input, out);
    }

    /// Gives an attempt up. Media servers that speak WHIP know no such word: what they answer late is ended then.
    pub(super) fn give_up(&mut self, now: Micros, id: SessionId, server: ServerId, out: &mut Vec<Command>) {
        let withdrawal = if self.pool.holds(id) {
            self.pool.give_up(now, id, out);
            Withdrawal::Done
        } else {
            self.links.give_up(now, id, &server, out)
        };
        if withdrawal == Withdrawal::Done {
            self.tell(now, Input::Withdrawn { id, server }, out);
        }
    }

    pub(super) fn send(&mut self, now: Micros, set_up: &SetUp, out: &mut Vec<Command>) {
        let class = self.names.classes.get(set_up.class).cloned().unwrap_or_default();
        if let Some(tracer) = &mut self.tracer {
            tracer.set_up_sent(now, set_up.id, &set_up.server, set_up.rung);
        }
        let before = out.len();
        let sent = if self.pool.serves(&set_up.server) {
            self.pool.set_up(now, set_up, &class, out)
        } else {
            self.links.set_up(now, set_up, &class, out)
        };
        self.dialled(now, &set_up.server, "set-up", &out[before..]);
        if let Err(status) = sent {
            let (id, server, load) = (set_up.id, set_up.server.clone(), Load::default());
            self.tell(now, Input::Ended { id, server, status, load }, out);
        }
    }
}
