//! What a front remembers. Bookkeeping only; every decision is in the files of `module/brain`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::api::*;
use super::deadlines::Deadlines;
pub(crate) use super::gauge::Gauge;
use super::lateness::Lateness;
use super::seats::Seats;
use super::uplinks::Uplink;
use super::waiting::Waiting;

/// A server that is gone is remembered for so long: longer than any request that was sent there waits.
const GONE_KEPT: Micros = Micros(30_000_000);
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) rack: usize,
    pub(crate) link: Gauge,
    pub(crate) own: BTreeSet<SessionId>,
    pub(crate) sent_at: Option<Micros>,
    pub(crate) fails: u32,
    pub(crate) distrust_until: Micros,
    pub(crate) cold_until: Micros,
    /// When it would be warm, had it not failed.
    pub(crate) warm_from: Micros,
    pub(crate) failed_at: Micros,
    pub(crate) answered_at: Micros,
    /// When it was last told that it delivers less than is asked.
    pub(crate) short_at: Option<Micros>,
    /// Part of its last answers that were errors.
    pub(crate) errors: f64,
    /// When an answer of it went missing last.
    pub(crate) missed_at: Option<Micros>,
    /// When the list last told of it, for one that is gone.
    pub(crate) gone_at: Micros,
    /// It turned a set-up away for want of places: not asked again before this.
    pub(crate) packed_until: Micros,
    pub(crate) packed: u32,
}

impl Server {
    /// Whether a connection to it is likely up: sessions of this front are there, or one was sent lately.
    pub(crate) fn linked(&self, now: Micros, idle: Micros) -> bool {
        let kept = |at: Micros| at > self.failed_at && (idle == Micros(0) || now - at < Micros(idle.0 / 2));
        !self.own.is_empty() || self.sent_at.is_some_and(kept)
    }
}

#[derive(Debug)]
pub(crate) struct Title {
    pub(crate) weight: f64,
    pub(crate) at: Micros,
    pub(crate) hint: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    #[default]
    Held,
    Setup,
    Playing,
    /// Answered, with an attempt still out.
    Done,
}

#[derive(Debug, Default)]
pub(crate) struct Session {
    pub(crate) req: Request,
    pub(crate) phase: Phase,
    /// Its attempt is given up, and the end of it is not written yet.
    pub(crate) withdrawing: bool,
    pub(crate) arrived: Micros,
    pub(crate) started: Micros,
    pub(crate) server: usize,
    pub(crate) attempts: u32,
    pub(crate) rung: usize,
    pub(crate) lo: usize,
    pub(crate) hi: usize,
    pub(crate) weight: f64,
    pub(crate) changed: Option<Micros>,
    /// An attempt that may have run: its server and when it was sent.
    pub(crate) ran: Option<(usize, Micros)>,
    pub(crate) tried: Vec<usize>,
}

/// What changes its rung as one: a recorded session, or the viewers of a shared stream.
#[derive(Debug)]
pub(crate) struct Unit {
    pub(crate) ids: Vec<SessionId>,
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) rung: usize,
    pub(crate) lo: usize,
    pub(crate) hi: usize,
    pub(crate) weight: f64,
    pub(crate) free: bool,
    pub(crate) playing: bool,
}

/// The end of this front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    /// When it was told of it.
    pub(crate) told_at: Micros,
    /// By then each request is answered.
    pub(crate) answer_by: Micros,
}

/// All of it.
#[derive(Debug, Default)]
pub(crate) struct Book {
    pub(crate) now: Micros,
    pub(crate) names: BTreeMap<ServerId, usize>,
    pub(crate) servers: Vec<Server>,
    /// Servers by cell and by rack, the removed ones left out.
    pub(crate) by_cell: BTreeMap<u64, Vec<usize>>,
    pub(crate) by_rack: Vec<Vec<usize>>,
    /// When the front began.
    pub(crate) born: Option<Micros>,
    /// Cold turns that began before this are another process' of the same front.
    pub(crate) turns_from: Micros,
    /// This front was told to end.
    pub(crate) end: Option<End>,
    pub(crate) usual: f64,
    pub(crate) usual_at: Micros,
    pub(crate) racks: Vec<Gauge>,
    /// What their uplinks are taken to give.
    pub(crate) uplinks: Vec<Uplink>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) deadlines: Deadlines,
    pub(crate) lateness: Lateness,
    pub(crate) waiting: Waiting,
    pub(crate) seats: Seats,
    /// Searches for a server so far.
    pub(crate) searches: Cell<u64>,
    pub(crate) titles: BTreeMap<Text, Title>,
    pub(crate) tenants: Vec<(f64, Micros)>,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) extra: VecDeque<Micros>,
    pub(crate) setup_s: f64,
    pub(crate) mean_worth: f64,
    pub(crate) ticking: bool,
    /// When the next look is due, and when this front last woke from standing still.
    pub(crate) look_due: Micros,
    pub(crate) stood: Option<Micros>,
    pub(crate) full_logged: Micros,
}

impl Book {
    /// Counts a search for a server.
    pub(crate) fn searched(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Notes a change of what this front asks of a server's link and its rack's uplink.
    pub(crate) fn shift(&mut self, i: usize, kb: f64) {
        let server = &mut self.servers[i];
        server.link.shift(self.now, kb);
        self.racks[server.rack].shift(self.now, kb);
    }

    /// Takes a new server in, in the place of one that has been gone for so long that no request can name it any
    /// more: ids come and go all day.
    pub(crate) fn place(&mut self, server: Server) {
        let now = self.now;
        let free = |s: &Server| {
            s.entry.state == ServerState::Gone && s.own.is_empty() && now - s.gone_at > GONE_KEPT
        };
        let i = self.servers.iter().position(free).unwrap_or(self.servers.len());
        let id = server.entry.id.clone();
        if i < self.servers.len() {
            let old = std::mem::replace(&mut self.servers[i], server);
            self.names.remove(&old.entry.id);
        } else {
            self.servers.push(server);
        }
        self.names.insert(id, i);
    }

    /// Sorts the servers by cell and by rack.
    pub(crate) fn index(&mut self, cells: u32) {
        self.by_cell.clear();
        self.by_rack.iter_mut().for_each(Vec::clear);
        for (i, server) in self.servers.iter().enumerate() {
            if server.entry.state != ServerState::Gone {
                self.by_cell.entry(u64::from(server.entry.cell % cells)).or_default().push(i);
            }
            if server.entry.state != ServerState::Gone || !server.own.is_empty() {
                self.by_rack[server.rack].push(i);
            }
        }
    }

    /// Streams in use by title: server, rung and, unless viewers share it, the session.
    pub(crate) fn streams(&self, live: impl Fn(usize) -> bool) -> BTreeMap<Text, BTreeSet<Stream>> {
        let mut used: BTreeMap<Text, BTreeSet<Stream>> = BTreeMap::new();
        for (id, s) in self.sessions.iter().filter(|(_, s)| matches!(s.phase, Phase::Playing | Phase::Setup))
        {
            let alone = if live(s.req.class) { None } else { Some(*id) };
            used.entry(s.req.title.clone()).or_default().insert((s.server, s.rung, alone));
        }
        used
    }

    /// Other sessions at a server with this one's title and class, at a rung.
    pub(crate) fn alike(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let Some(s) = self.sessions.get(&id) else { return 0 };
        let others = self.servers[i].own.iter().filter(|o| **o != id).filter_map(|o| self.sessions.get(o));
        others.filter(|o| o.rung == rung && o.req.class == s.req.class && o.req.title == s.req.title).count()
    }
}

/// A stream: its server, its rung and, unless viewers share it, its session.
pub(crate) type Stream = (usize, usize, Option<SessionId>);
