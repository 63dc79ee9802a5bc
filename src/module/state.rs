//! The state of the decision module. Bookkeeping only; every decision is made in the files of `module/brain`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use super::api::*;
use super::deadlines::Deadlines;
pub(crate) use super::gauge::Gauge;
use super::lateness::Lateness;
use super::recent_times::RecentTimes;
use super::seats::Seats;
use super::streams::ServerStreams;
use super::titles::TitleTable;
pub(crate) use super::titles::TitleUsage;
use super::uplinks::UplinkEstimate;
use super::waiting::HeldQueue;

/// How long a removed server is kept: longer than any request that was sent there waits.
const GONE_SERVER_RETENTION: Micros = Micros(30_000_000);

/// A server, with what its answers and notes have shown.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) rack: usize,
    /// The utilization of its link.
    pub(crate) link: Gauge,
    /// The sessions of this broker at the server.
    pub(crate) sessions: BTreeSet<SessionId>,
    /// The streams of these sessions.
    pub(crate) streams: ServerStreams,
    /// When a set-up was last sent there.
    pub(crate) last_sent_at: Option<Micros>,
    pub(crate) consecutive_failures: u32,
    pub(crate) distrust_until: Micros,
    /// When it will have warmed up; [`Micros::MAX`] while it may have restarted unnoticed.
    pub(crate) warm_up_until: Micros,
    /// When it would have warmed up without its last failure.
    pub(crate) warm_up_until_before_failure: Micros,
    pub(crate) last_failed_at: Micros,
    pub(crate) last_answered_at: Micros,
    /// When it last reported that it delivers less than requested.
    pub(crate) last_shortfall_at: Option<Micros>,
    /// The share of its recent answers that were errors.
    pub(crate) error_rate: f64,
    /// When an attempt there last timed out.
    pub(crate) last_timeout_at: Option<Micros>,
    /// When it was last listed; for a removed server, when its removal was noticed.
    pub(crate) last_listed_at: Micros,
    /// It rejected a set-up as saturated and gets none before this time.
    pub(crate) saturated_until: Micros,
    pub(crate) consecutive_saturations: u32,
}

impl Server {
    /// Whether a connection to it is probably open: it has sessions of this broker, or one was sent there
    /// recently.
    pub(crate) fn is_likely_connected(&self, now: Micros, idle: Micros) -> bool {
        let kept =
            |at: Micros| at > self.last_failed_at && (idle == Micros(0) || now - at < Micros(idle.0 / 2));
        !self.sessions.is_empty() || self.last_sent_at.is_some_and(kept)
    }
}

/// The phase of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    #[default]
    Held,
    Setup,
    Playing,
    /// The final answer was sent or the viewer left, but an attempt is still outstanding.
    Answered,
}

/// A request and, once it was sent, its session.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub(crate) request: Request,
    pub(crate) phase: Phase,
    /// Whether its attempt is withdrawn and the withdrawal is not written to the server yet.
    pub(crate) withdrawing: bool,
    pub(crate) arrived_at: Micros,
    /// When its last attempt was sent or, later, when its set-up was done.
    pub(crate) started_at: Micros,
    pub(crate) server: usize,
    pub(crate) attempts: u32,
    pub(crate) rung: usize,
    pub(crate) min_rung: usize,
    pub(crate) max_rung: usize,
    pub(crate) worth: f64,
    /// When its rung last changed, as long as it may not change again.
    pub(crate) rung_changed_at: Option<Micros>,
    /// Whether viewers of its class and title share streams.
    pub(crate) shares_stream: bool,
    /// An attempt that may have run: its server and when it was sent.
    pub(crate) possible_run: Option<(usize, Micros)>,
    pub(crate) tried_servers: Vec<usize>,
}

/// A shutdown of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When it was announced.
    pub(crate) announced_at: Micros,
    /// When each request must be answered.
    pub(crate) answer_by: Micros,
}

/// The whole state of the decision module.
#[derive(Debug, Default)]
pub(crate) struct ModuleState {
    pub(crate) now: Micros,
    pub(crate) server_indexes: BTreeMap<ServerId, usize>,
    pub(crate) servers: Vec<Server>,
    /// Servers by cell and by rack, without the removed ones; a rack keeps those that still have sessions.
    pub(crate) by_cell: BTreeMap<u64, Vec<usize>>,
    pub(crate) by_rack: Vec<Vec<usize>>,
    /// When the module handled its first event.
    pub(crate) started_at: Option<Micros>,
    /// Warm-up turns that began before this belong to another process with the same broker index.
    pub(crate) warm_up_turns_from: Micros,
    /// The shutdown, once it is announced.
    pub(crate) shutdown: Option<Shutdown>,
    /// The mean utilization of all links, and when it was computed.
    pub(crate) mean_utilization: f64,
    pub(crate) mean_utilization_at: Micros,
    /// The utilization of each rack's uplink.
    pub(crate) uplinks: Vec<Gauge>,
    /// Estimated capacities of the racks' uplinks.
    pub(crate) uplink_estimates: Vec<UplinkEstimate>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    /// Sessions at servers whose rung has changed and may not change yet, by the time of the change.
    pub(crate) settling: BTreeSet<(Micros, SessionId)>,
    /// The number of streams in use.
    pub(crate) stream_count: usize,
    pub(crate) deadlines: Deadlines,
    pub(crate) lateness: Lateness,
    pub(crate) held: HeldQueue,
    pub(crate) seats: Seats,
    /// The number of searches for a server so far.
    pub(crate) searches: Cell<u64>,
    pub(crate) titles: TitleTable,
    /// Each tenant's decayed number of requests and when it was updated.
    pub(crate) tenants: Vec<(f64, Micros)>,
    /// Times of accepted requests, for the retry budget.
    pub(crate) recent_requests: RecentTimes,
    /// Times of the attempts beyond the first of each session, for the retry budget.
    pub(crate) recent_retries: RecentTimes,
    pub(crate) mean_setup_s: f64,
    pub(crate) mean_worth: f64,
    pub(crate) is_check_scheduled: bool,
    /// When the next periodic check is due, and when this process last resumed after a stall.
    pub(crate) next_check_at: Micros,
    pub(crate) resumed_at: Option<Micros>,
    pub(crate) saturation_logged_at: Micros,
}

impl ModuleState {
    /// Counts a search for a server.
    pub(crate) fn count_search(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Records a change of this broker's demand on a server's link and its rack's uplink.
    pub(crate) fn add_own_change(&mut self, i: usize, kb: f64) {
        let server = &mut self.servers[i];
        server.link.add_own_change(self.now, kb);
        self.uplinks[server.rack].add_own_change(self.now, kb);
    }

    /// Adds a new server. It takes the place of one that was removed so long ago that no request can refer to
    /// it any more, as server ids come and go all day.
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

    /// Rebuilds the indexes of servers by cell and by rack.
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
}
