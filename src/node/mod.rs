//! One broker without its sockets: carries what the fronts hear to the core and what the core decides to the
//! fronts. Fed connections and bytes, gives [`Command`]s.

mod connections;
mod effects;
mod ending;
mod handover;
mod http;
mod leaving;
mod operate;
mod ruled;
mod servers;
mod settings;
mod viewer_conn;
mod viewers;

use std::collections::{BTreeMap, VecDeque};

use crate::api::*;
use crate::broker::{Broker, Input};
use crate::config::Config;
use crate::edge::Pool;
use crate::hook::Hook;
use crate::operate::{figures::Metrics, handover::Message, phase::Phase};
use crate::platform::links::{Command, ConnId, Links};
use crate::platform::timings::Timings;
use crate::quorum::frame::Counts;
use crate::roster::SettingNames;
use crate::trace::{Event as Traced, Tracer};
use crate::whip::{self, Title};
pub use ending::{HeldRequest, Remaining};
use viewer_conn::ViewerConn;

/// The part of the memory that sessions and their descriptions may take: the latter lie in the queues to servers
/// once more, and the program and its buffers need the rest.
const SESSIONS_PART: usize = 4;
/// Keeps the ids of the second front apart from the module's random numbers.
const WHIP_SEED: u64 = 0x5748_4950;
/// Time between looks at connections.
const LOOK_EVERY: Micros = Micros(250_000);

/// What a connection that was accepted speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's JSON lines.
    Platform,
    /// WHIP and WHEP over HTTP.
    Whip,
}

impl Protocol {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Platform => "viewer",
            Protocol::Whip => "http",
        }
    }
}

/// One broker without its sockets.
pub struct Node {
    broker: Broker,
    names: SettingNames,
    settings: Settings,
    links: Links,
    /// Servers that speak WHIP or WHEP.
    pool: Pool,
    viewers: BTreeMap<ConnId, ViewerConn>,
    whip: Option<whip::WhipFront>,
    hook: Option<Hook>,
    /// The connection that a session was set up on.
    homes: BTreeMap<SessionId, ConnId>,
    /// Lines that no connection was open for.
    owed: VecDeque<(Micros, Vec<u8>)>,
    owed_most: usize,
    /// What the list says of the servers, and when they started last.
    servers: BTreeMap<ServerId, (ServerState, Option<Micros>)>,
    look_at: Micros,
    /// Whether it serves, drains or ends, and when clients' connections are looked at for that.
    phase: Phase,
    let_go_at: Micros,
    figures: Metrics,
    /// Sessions that were passed to another process, and their servers; and what it is to hear.
    passed: BTreeMap<SessionId, ServerId>,
    messages: Vec<Message>,
    /// When new settings were taken in last.
    renamed_at: Micros,
    log: Vec<String>,
    /// Requests refused and attempts sent since the start.
    refusals: u64,
    attempts: u64,
    /// What is told of each request, where that is asked for.
    tracer: Option<Tracer>,
    /// The rules that the brokers agree on, once there are any.
    ruled: Option<ruled::Ruled>,
    /// Time limits that follow from the settings in use.
    timings: Timings,
}

/// What the settings name the `i`th of a list; nothing if there is none.
fn named(list: &[String], i: usize) -> &str {
    list.get(i).map_or("", String::as_str)
}

impl Node {
    /// A node that knows its configuration.
    pub fn new(config: &Config) -> Node {
        let timings = Timings::new(&config.settings, config.idle, config.connect_timeout);
        Node {
            broker: Broker::new(config.settings.clone(), config.seed)
                .with_memory_limit(config.memory / SESSIONS_PART, config.settings.max_retry_after),
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
            hook: config.hook.as_ref().and_then(|(text, operations)| Hook::new(text, *operations).ok()),
            homes: BTreeMap::new(),
            owed: VecDeque::new(),
            owed_most: viewers::owed_most(config.memory),
            servers: BTreeMap::new(),
            look_at: Micros(0),
            phase: Phase::default(),
            let_go_at: Micros::MAX,
            figures: Metrics::default(),
            passed: BTreeMap::new(),
            messages: Vec::new(),
            renamed_at: Micros(0),
            log: Vec::new(),
            refusals: 0,
            attempts: 0,
            tracer: None,
            ruled: None,
            timings,
        }
    }

    /// Tells of each request from now on, so many lines a second at most; nothing for 0.
    pub fn trace(&mut self, lines_per_s: u32) {
        self.tracer = (lines_per_s > 0).then(|| Tracer::new(lines_per_s));
    }

    /// What is to be told of requests since the last call, and when each was.
    pub fn take_trace(&mut self) -> Vec<(Micros, Traced)> {
        self.tracer.as_mut().map(Tracer::take).unwrap_or_default()
    }

    /// Requests that are owed an answer, and sessions that stand.
    pub fn held(&self) -> (usize, usize) {
        (self.broker.unanswered(), self.broker.established())
    }

    /// What the fleet's record tells of this broker.
    pub fn counts(&self) -> Counts {
        let sessions = self.broker.established() as u64;
        Counts { sessions, refusals: self.refusals, attempts: self.attempts }
    }

    /// How many fronts share the fleet, and which of them this one is.
    pub fn set_fleet_position(&mut self, now: Micros, count: u32, place: u32, out: &mut Vec<Command>) {
        self.tell(now, Input::FleetPosition(count, place), out);
    }

    /// Time limits that follow from the settings in use.
    pub fn timings(&self) -> Timings {
        self.timings
    }

    /// Takes new titles in; sessions of titles that are no longer there play on.
    pub fn replace_titles(&mut self, titles: BTreeMap<String, Title>) {
        if let Some(whip) = &mut self.whip {
            whip.replace_titles(titles);
        }
    }

    /// Takes a new script in. False if it can't be used: the old one stays.
    pub fn replace_script(&mut self, text: &str, operations: u64) -> bool {
        let hook = Hook::new(text, operations).ok();
        let good = hook.is_some();
        self.hook = hook.or(self.hook.take());
        good
    }

    /// Whether anything is set up, or waits for it, at a server.
    pub fn busy(&self, server: &ServerId) -> bool {
        self.broker.has_established_at(server)
    }

    /// Servers, sessions, attempts and clients' connections that anything is remembered of, at its fullest place.
    pub fn tracked_entries(&self) -> usize {
        let own = [self.servers.len(), self.homes.len(), self.owed.len(), self.viewers.len()];
        let own = own.into_iter().chain([self.figures.tracked_entries()]);
        let told = self.tracer.as_ref().map_or(0, Tracer::tracked_entries);
        let others = [
            self.links.tracked_entries(),
            self.links.len(),
            self.pool.tracked_entries(),
            self.broker.tracked_entries(),
            told,
        ];
        own.chain(others).max().unwrap_or(0)
    }

    /// Lines for the log since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// When [`Node::tick`] is wanted next.
    pub fn next_alarm(&self) -> Micros {
        let alarms = [self.broker.next_alarm(), self.links.next_due(), self.pool.next_due()];
        alarms.into_iter().flatten().fold(self.look_at.min(self.let_go_at), Micros::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.links.write_due(now, out);
        self.pool.tick(now, out);
        self.let_go(now, out);
        self.tell(now, Input::Tick, out);
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.names.recently_changed &= now < self.renamed_at + self.timings.renamed;
            self.owed.retain(|(until, _)| *until > now);
            self.look(now, out);
            self.links.tick(now, out);
            self.close_clients(out, |c| c.overdue(now));
            self.whip(now, out, |whip, sure, wishes| whip.tick(now, sure, wishes));
        }
    }
}
