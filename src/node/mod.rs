//! A broker without sockets: passes client and server events to the core, and carries out the core's
//! decisions. Its input is connections and bytes, its output [`Command`]s for the driver.

mod connections;
mod effects;
mod ending;
mod handover;
mod hook;
mod http;
mod leaving;
mod operate;
mod ruled;
mod servers;
mod session_conns;
mod session_ends;
mod settings;
mod viewer_conn;
mod viewers;

use std::collections::{BTreeMap, VecDeque};

use crate::api::*;
use crate::broker::{Broker, Input};
use crate::config::Config;
use crate::edge::Pool;
use crate::hook::HookQueue;
use crate::operate::{figures::Metrics, handover::Message, phase::Phase};
use crate::platform::links::{Command, ConnId, Links};
use crate::platform::timings::Timings;
use crate::quorum::frame::Counts;
use crate::roster::SettingNames;
use crate::trace::{Event as Traced, Tracer};
use crate::whip::{self, Title};
pub use ending::{Remaining, UnansweredRequest};
use session_conns::SessionConns;
use viewer_conn::ViewerConn;

/// Share of the memory for sessions and their descriptions. Set-ups that wait for a server hold their
/// description once more, and the program and its buffers need the rest.
const SESSION_MEMORY_DIVISOR: usize = 4;
/// Share of the memory for requests that wait for the operator's script.
const HOOK_MEMORY_DIVISOR: usize = 32;
/// Separates the random ids of the WHIP front from the random numbers of the module.
const WHIP_SEED: u64 = 0x5748_4950;
/// Time between inspections of connections and silent servers.
const INSPECTION_INTERVAL: Micros = Micros(250_000);

/// The protocol of an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's JSON lines.
    Platform,
    /// WHIP and WHEP over HTTP.
    Whip,
}

impl Protocol {
    /// The name of the protocol in the log.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Platform => "viewer",
            Protocol::Whip => "http",
        }
    }
}

/// A broker without sockets.
pub struct Node {
    broker: Broker,
    names: SettingNames,
    settings: Settings,
    links: Links,
    /// Connections to media servers, which speak WHIP or WHEP.
    pool: Pool,
    viewers: BTreeMap<ConnId, ViewerConn>,
    whip: Option<whip::WhipFront>,
    /// Requests that wait for the operator's script.
    hook: HookQueue,
    /// The client connection on which each session was set up.
    session_conns: SessionConns,
    /// Session ends that could not be sent as no suitable connection was open, with the time at which each
    /// expires.
    pending_ends: VecDeque<(Micros, Vec<u8>)>,
    /// The number of session ends that may wait.
    max_pending_ends: usize,
    /// The listed state of each server and the time of its last start.
    servers: BTreeMap<ServerId, (ServerState, Option<Micros>)>,
    /// When connections and silent servers are inspected next.
    next_inspection: Micros,
    /// Whether the broker serves, drains or ends.
    phase: Phase,
    /// When client connections are next checked for closing.
    next_drain_check: Micros,
    metrics: Metrics,
    /// Sessions handed over to another process, with their servers.
    handed_over: BTreeMap<SessionId, ServerId>,
    /// Messages for the other process of a hand-over.
    messages: Vec<Message>,
    /// When the settings were last reloaded.
    reloaded_at: Micros,
    log: Vec<String>,
    /// Requests refused since the start.
    refusals: u64,
    /// Attempts sent since the start.
    attempts: u64,
    /// Writes the trace of requests, where it is enabled.
    tracer: Option<Tracer>,
    /// The rules that the brokers agree on, once there are any.
    rules: Option<ruled::NodeRules>,
    /// Time limits that follow from the settings in use.
    timings: Timings,
}

/// Returns the name at an index of a list from the settings, or an empty string.
fn name_at(list: &[String], i: usize) -> &str {
    list.get(i).map_or("", String::as_str)
}

impl Node {
    /// Creates a node from its configuration.
    pub fn new(config: &Config) -> Node {
        let timings = Timings::new(&config.settings, config.idle, config.connect_timeout);
        Node {
            broker: Broker::new(config.settings.clone(), config.seed)
                .with_memory_limit(config.memory / SESSION_MEMORY_DIVISOR, config.settings.max_retry_after),
            names: config.names.clone(),
            settings: config.settings.clone(),
            links: Links::new(timings),
            pool: Pool::default(),
            viewers: BTreeMap::new(),
            whip: config.whip.as_ref().map(|w| {
                whip::WhipFront::new(
                    w.setup.clone(),
                    config.settings.classes.clone(),
                    config.seed ^ WHIP_SEED,
                )
            }),
            hook: HookQueue::new(config.memory / HOOK_MEMORY_DIVISOR),
            session_conns: SessionConns::default(),
            pending_ends: VecDeque::new(),
            max_pending_ends: session_ends::max_pending_ends(config.memory),
            servers: BTreeMap::new(),
            next_inspection: Micros(0),
            phase: Phase::default(),
            next_drain_check: Micros::MAX,
            metrics: Metrics::default(),
            handed_over: BTreeMap::new(),
            messages: Vec::new(),
            reloaded_at: Micros(0),
            log: Vec::new(),
            refusals: 0,
            attempts: 0,
            tracer: None,
            rules: None,
            timings,
        }
    }

    /// Enables the trace of requests with at most this number of lines per second; 0 disables it.
    pub fn trace(&mut self, lines_per_s: u32) {
        self.tracer = (lines_per_s > 0).then(|| Tracer::new(lines_per_s));
    }

    /// Returns the trace events since the last call, each with its time.
    pub fn take_trace(&mut self) -> Vec<(Micros, Traced)> {
        self.tracer.as_mut().map(Tracer::take_events).unwrap_or_default()
    }

    /// Returns the number of unanswered requests and the number of established sessions.
    pub fn open_counts(&self) -> (usize, usize) {
        (self.broker.unanswered() + self.hook.waiting(), self.broker.established())
    }

    /// Returns the counts of this broker for the record of the fleet.
    pub fn counts(&self) -> Counts {
        let sessions = self.broker.established() as u64;
        Counts { sessions, refusals: self.refusals, attempts: self.attempts }
    }

    /// Sets the number of brokers that share the fleet, and the index of this one.
    pub fn set_fleet_position(&mut self, now: Micros, count: u32, place: u32, out: &mut Vec<Command>) {
        self.handle_input(now, Input::FleetPosition(count, place), out);
    }

    /// Returns the time limits that follow from the settings in use.
    pub fn timings(&self) -> Timings {
        self.timings
    }

    /// Replaces the titles. Sessions of removed titles play on.
    pub fn replace_titles(&mut self, titles: BTreeMap<String, Title>) {
        if let Some(whip) = &mut self.whip {
            whip.replace_titles(titles);
        }
    }

    /// Whether any session is established at a server.
    pub fn has_sessions_at(&self, server: &ServerId) -> bool {
        self.broker.has_established_at(server)
    }

    /// The size of the largest table of servers, sessions, attempts or connections, for checks against
    /// unbounded growth.
    pub fn tracked_entries(&self) -> usize {
        let own = [self.servers.len(), self.session_conns.len(), self.pending_ends.len(), self.viewers.len()];
        let own = own.into_iter().chain([self.metrics.tracked_entries()]);
        let traced = self.tracer.as_ref().map_or(0, Tracer::tracked_entries);
        let others = [
            self.links.tracked_entries(),
            self.links.len(),
            self.pool.tracked_entries(),
            self.broker.tracked_entries(),
            traced,
        ];
        own.chain(others).max().unwrap_or(0)
    }

    /// Returns the log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// The time at which [`Node::tick`] must be called next.
    pub fn next_alarm(&self) -> Micros {
        let alarms =
            [self.broker.next_alarm(), self.links.next_due(), self.pool.next_due(), self.hook.next_due()];
        alarms.into_iter().flatten().fold(self.next_inspection.min(self.next_drain_check), Micros::min)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.links.write_due(now, out);
        self.expire_script_calls(now, out);
        self.pool.tick(now, out);
        self.close_unneeded_clients(now, out);
        self.handle_input(now, Input::Tick, out);
        if now >= self.next_inspection {
            self.next_inspection = now + INSPECTION_INTERVAL;
            self.names.recently_changed &= now < self.reloaded_at + self.timings.old_names_accepted;
            self.pending_ends.retain(|(until, _)| *until > now);
            self.check_silent_servers(now, out);
            self.links.tick(now, out);
            self.close_clients_where(out, |c| c.overdue(now));
            self.with_whip(now, out, |whip, nothing_ran, actions| whip.tick(now, nothing_ran, actions));
        }
    }
}
