//! What a front remembers. Bookkeeping only; every decision is in the files of `module/brain`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::api::*;
use super::deadlines::Deadlines;
pub(crate) use super::gauge::Gauge;
use super::lateness::Lateness;
use super::seats::Seats;
use super::uplinks::UplinkEstimate;
use super::waiting::HeldQueue;

/// A server that is gone is remembered for so long: longer than any request that was sent there waits.
const GONE_SERVER_RETENTION: Micros = Micros(30_000_000);
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) rack: usize,
    pub(crate) link: Gauge,
    pub(crate) sessions: BTreeSet<SessionId>,
    pub(crate) last_sent_at: Option<Micros>,
    pub(crate) consecutive_failures: u32,
    pub(crate) distrust_until: Micros,
    pub(crate) warm_up_until: Micros,
    /// When it would be warm, had it not failed.
    pub(crate) warm_up_until_before_failure: Micros,
    pub(crate) last_failed_at: Micros,
    pub(crate) last_answered_at: Micros,
    /// When it was last told that it delivers less than is asked.
    pub(crate) last_shortfall_at: Option<Micros>,
    /// Part of its last answers that were errors.
    pub(crate) error_rate: f64,
    /// When an answer of it went missing last.
    pub(crate) last_timeout_at: Option<Micros>,
    /// When the list last told of it, for one that is gone.
    pub(crate) last_listed_at: Micros,
    /// It turned a set-up away for want of places: not asked again before this.
    pub(crate) saturated_until: Micros,
    pub(crate) consecutive_saturations: u32,
}

impl Server {
    /// Whether a connection to it is likely up: sessions of this front are there, or one was sent lately.
    pub(crate) fn is_likely_connected(&self, now: Micros, idle: Micros) -> bool {
        let kept =
            |at: Micros| at > self.last_failed_at && (idle == Micros(0) || now - at < Micros(idle.0 / 2));
        !self.sessions.is_empty() || self.last_sent_at.is_some_and(kept)
    }
}

#[derive(Debug)]
pub(crate) struct TitleUsage {
    pub(crate) recent_requests: f64,
    pub(crate) updated_at: Micros,
    pub(crate) duration_hint_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    #[default]
    Held,
    Setup,
    Playing,
    /// Answered, with an attempt still out.
    Answered,
}

#[derive(Debug, Default)]
pub(crate) struct Session {
    pub(crate) request: Request,
    pub(crate) phase: Phase,
    /// Its attempt is given up, and the end of it is not written yet.
    pub(crate) withdrawing: bool,
    pub(crate) arrived_at: Micros,
    pub(crate) started_at: Micros,
    pub(crate) server: usize,
    pub(crate) attempts: u32,
    pub(crate) rung: usize,
    pub(crate) min_rung: usize,
    pub(crate) max_rung: usize,
    pub(crate) worth: f64,
    pub(crate) rung_changed_at: Option<Micros>,
    /// An attempt that may have run: its server and when it was sent.
    pub(crate) possible_run: Option<(usize, Micros)>,
    pub(crate) tried_servers: Vec<usize>,
}

/// What changes its rung as one: a recorded session, or the viewers of a shared stream.
#[derive(Debug)]
pub(crate) struct RungGroup {
    pub(crate) ids: Vec<SessionId>,
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) rung: usize,
    pub(crate) min_rung: usize,
    pub(crate) max_rung: usize,
    pub(crate) worth: f64,
    pub(crate) may_change: bool,
    pub(crate) is_playing: bool,
}

/// The end of this front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When it was told of it.
    pub(crate) announced_at: Micros,
    /// By then each request is answered.
    pub(crate) answer_by: Micros,
}

/// All of it.
#[derive(Debug, Default)]
pub(crate) struct ModuleState {
    pub(crate) now: Micros,
    pub(crate) server_indexes: BTreeMap<ServerId, usize>,
    pub(crate) servers: Vec<Server>,
    /// Servers by cell and by rack, the removed ones left out.
    pub(crate) by_cell: BTreeMap<u64, Vec<usize>>,
    pub(crate) by_rack: Vec<Vec<usize>>,
    /// When the front began.
    pub(crate) started_at: Option<Micros>,
    /// Cold turns that began before this are another process' of the same front.
    pub(crate) warm_up_turns_from: Micros,
    /// This front was told to end.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) mean_utilization: f64,
    pub(crate) mean_utilization_at: Micros,
    pub(crate) uplinks: Vec<Gauge>,
    /// What their uplinks are taken to give.
    pub(crate) uplink_estimates: Vec<UplinkEstimate>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) deadlines: Deadlines,
    pub(crate) lateness: Lateness,
    pub(crate) held: HeldQueue,
    pub(crate) seats: Seats,
    /// Searches for a server so far.
    pub(crate) searches: Cell<u64>,
    pub(crate) titles: BTreeMap<Text, TitleUsage>,
    pub(crate) tenants: Vec<(f64, Micros)>,
    pub(crate) recent_requests: VecDeque<Micros>,
    pub(crate) recent_retries: VecDeque<Micros>,
    pub(crate) mean_setup_s: f64,
    pub(crate) mean_worth: f64,
    pub(crate) is_check_scheduled: bool,
    /// When the next look is due, and when this front last woke from standing still.
    pub(crate) next_check_at: Micros,
    pub(crate) resumed_at: Option<Micros>,
    pub(crate) saturation_logged_at: Micros,
}

impl ModuleState {
    /// Counts a search for a server.
    pub(crate) fn count_search(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Notes a change of what this front asks of a server's link and its rack's uplink.
    pub(crate) fn add_own_change(&mut self, i: usize, kb: f64) {
        let server = &mut self.servers[i];
        server.link.add_own_change(self.now, kb);
        self.uplinks[server.rack].add_own_change(self.now, kb);
    }

    /// Takes a new server in, in the place of one that has been gone for so long that no request can name it any
    /// more: ids come and go all day.
    pub(crate) fn insert_server(&mut self, server: Server) {
        let now = self.now;
        let is_reusable = |s: &Server| {
            s.entry.state == ServerState::Gone
                && s.sessions.is_empty()
                && now - s.last_listed_at > GONE_SERVER_RETENTION
        };
        let i = self.servers.iter().position(is_reusable).unwrap_or(self.servers.len());
        let id = server.entry.id.clone();
        if i < self.servers.len() {
            let old = std::mem::replace(&mut self.servers[i], server);
            self.server_indexes.remove(&old.entry.id);
        } else {
            self.servers.push(server);
        }
        self.server_indexes.insert(id, i);
    }

    /// Sorts the servers by cell and by rack.
    pub(crate) fn index_servers(&mut self, cells: u32) {
        self.by_cell.clear();
        self.by_rack.iter_mut().for_each(Vec::clear);
        for (i, server) in self.servers.iter().enumerate() {
            if server.entry.state != ServerState::Gone {
                self.by_cell.entry(u64::from(server.entry.cell % cells)).or_default().push(i);
            }
            if server.entry.state != ServerState::Gone || !server.sessions.is_empty() {
                self.by_rack[server.rack].push(i);
            }
        }
    }

    /// Streams in use by title: server, rung and, unless viewers share it, the session.
    pub(crate) fn streams_by_title(
        &self,
        is_live: impl Fn(usize) -> bool,
    ) -> BTreeMap<Text, BTreeSet<Stream>> {
        let mut used: BTreeMap<Text, BTreeSet<Stream>> = BTreeMap::new();
        for (id, s) in self.sessions.iter().filter(|(_, s)| matches!(s.phase, Phase::Playing | Phase::Setup))
        {
            let alone = if is_live(s.request.class) { None } else { Some(*id) };
            used.entry(s.request.title.clone()).or_default().insert((s.server, s.rung, alone));
        }
        used
    }

    /// Other sessions at a server with this one's title and class, at a rung.
    pub(crate) fn count_alike(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let Some(s) = self.sessions.get(&id) else { return 0 };
        let others =
            self.servers[i].sessions.iter().filter(|o| **o != id).filter_map(|o| self.sessions.get(o));
        others
            .filter(|o| {
                o.rung == rung && o.request.class == s.request.class && o.request.title == s.request.title
            })
            .count()
    }
}

/// A stream: its server, its rung and, unless viewers share it, its session.
pub(crate) type Stream = (usize, usize, Option<SessionId>);
