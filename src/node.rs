//! One broker without its sockets: carries what the fronts hear to the core and what the core decides to the
//! fronts. Fed connections and bytes, gives [`Command`]s.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;
use crate::broker::{Broker, Description, Effect, Input, SetUp};
use crate::config::Config;
use crate::edge::{Pool, Told};
use crate::hook::{Hook, HookError, Verdict};
use crate::message::line::Line;
use crate::platform::links::{Broken, Closed, Command, ConnId, Heard, Links, Server, status};
use crate::platform::viewer::{self, Said, Viewer};
use crate::roster::{Names, News};
use crate::trace::{Event as Traced, Tracer};
use crate::watch::judge::Role;
use crate::whip::{self, Title, Wish};

/// The part of the memory that sessions and their descriptions may take: the latter lie in the queues to servers
/// once more, and the program and its buffers need the rest.
const SESSIONS_PART: usize = 4;
/// How long a release waits for a connection that it could go out on.
const OWED_KEPT: Micros = Micros(8_000_000);
/// Keeps the ids of the second front apart from the module's random numbers.
const WHIP_SEED: u64 = 0x5748_4950;
/// Time between looks at connections.
const LOOK_EVERY: Micros = Micros(250_000);

/// What a connection that was accepted speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The platform's JSON lines.
    Platform,
    /// WHIP and WHEP over HTTP.
    Whip,
}

impl Front {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Front::Platform => "viewer",
            Front::Whip => "http",
        }
    }
}

/// A viewer's connection that has said nothing whole for so long after it was accepted is closed, and one that
/// leaves a message unfinished for so long: the platform's clients connect when they have something to ask.
const SILENT: Micros = Micros(2_000_000);
/// A connection that no set-up waits on and no session was set up on is closed after so long. Clients let such a
/// one go after 4 s themselves; one that asked for what has no answer is owed a close within 3 s.
const IDLE: Micros = Micros(2_250_000);

#[derive(Default)]
struct ViewerConn {
    viewer: Viewer,
    /// Set-ups of this connection that are owed an answer.
    open: BTreeSet<SessionId>,
    /// When it last said something whole, or was answered.
    used: Micros,
    /// When the message began that is not whole yet.
    begun: Option<Micros>,
    /// It has said something whole.
    spoke: bool,
    /// It has used the id of a session that is held already: it ends once all it waits for is answered, as an
    /// answer of its own to the second set-up could be taken for that of the first.
    repeats: bool,
    /// It is being closed: what it still says is not heard.
    closing: bool,
}

impl ViewerConn {
    /// Why it is to be closed, if it is.
    fn overdue(&self, now: Micros) -> Option<&'static str> {
        if self.closing || !self.open.is_empty() {
            None
        } else if !self.spoke && now - self.used >= SILENT {
            Some(if self.begun.is_some() { "unfinished" } else { "silent" })
        } else if self.begun.is_some_and(|at| now - at >= SILENT) {
            Some("unfinished")
        } else if now - self.used >= IDLE {
            Some("idle")
        } else {
            None
        }
    }
}

/// One broker without its sockets.
pub struct Node {
    broker: Broker,
    names: Names,
    settings: Settings,
    links: Links,
    /// Servers that speak WHIP or WHEP.
    pool: Pool,
    viewers: BTreeMap<ConnId, ViewerConn>,
    whip: Option<whip::Front>,
    hook: Option<Hook>,
    /// The connection that a session was set up on.
    homes: BTreeMap<SessionId, ConnId>,
    /// Lines that no connection was open for.
    owed: VecDeque<(Micros, Line)>,
    /// What the list says of the servers, and when they started last.
    servers: BTreeMap<ServerId, (ServerState, Option<Micros>)>,
    look_at: Micros,
    stopping: bool,
    log: Vec<String>,
    /// What is told of each request, where that is asked for.
    tracer: Option<Tracer>,
}

/// What the settings name the `i`th of a list; nothing if there is none.
fn named(list: &[String], i: usize) -> &str {
    list.get(i).map_or("", String::as_str)
}

impl Node {
    /// A node that knows its configuration.
    pub fn new(config: &Config) -> Node {
        let (tell, see) = (config.settings.tell, config.settings.see);
        Node {
            broker: Broker::new(config.settings.clone(), config.seed)
                .bounded(config.memory / SESSIONS_PART, config.settings.max_retry_after),
            names: config.names.clone(),
            settings: config.settings.clone(),
            links: Links::new(config.idle, tell, see),
            pool: Pool::default(),
            viewers: BTreeMap::new(),
            whip: config.whip.as_ref().map(|w| {
                whip::Front::new(w.setup.clone(), config.settings.classes.clone(), config.seed ^ WHIP_SEED)
            }),
            hook: config.hook.as_ref().and_then(|(text, operations)| Hook::new(text, *operations).ok()),
            homes: BTreeMap::new(),
            owed: VecDeque::new(),
            servers: BTreeMap::new(),
            look_at: Micros(0),
            stopping: false,
            log: Vec::new(),
            tracer: None,
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

    /// Tells of the connections to a server that are among fresh commands.
    fn dialled(&mut self, now: Micros, server: &ServerId, why: &str, fresh: &[Command]) {
        if let Some(tracer) = &mut self.tracer {
            let dials = fresh.iter().filter(|c| matches!(c, Command::Dial(..)));
            dials.for_each(|_| tracer.dial(now, server, why));
        }
    }

    /// Requests that are owed an answer, and sessions that stand.
    pub fn held(&self) -> (usize, usize) {
        (self.broker.unanswered(), self.broker.standing())
    }

    /// Takes in what a new configuration says of the front and the script; what waits or plays is untouched.
    /// Titles and a script that are watched stay as their files have them.
    pub fn reload(&mut self, config: &Config) {
        let watch = config.watch.as_ref();
        if watch.is_none_or(|w| w.script.is_none()) {
            self.hook = config.hook.as_ref().and_then(|(text, operations)| Hook::new(text, *operations).ok());
        }
        if let (Some(whip), Some(new)) = (&mut self.whip, &config.whip) {
            let mut setup = new.setup.clone();
            if watch.is_some_and(|w| w.lists.iter().any(|f| f.role == Role::Titles)) {
                setup.titles = whip.titles().clone();
            }
            whip.reload(setup);
        }
    }

    /// Takes new titles in; sessions of titles that are no longer there play on.
    pub fn retitle(&mut self, titles: BTreeMap<String, Title>) {
        if let Some(whip) = &mut self.whip {
            whip.retitle(titles);
        }
    }

    /// Takes a new script in. False if it can't be used: the old one stays.
    pub fn rescript(&mut self, text: &str, operations: u64) -> bool {
        let hook = Hook::new(text, operations).ok();
        let good = hook.is_some();
        self.hook = hook.or(self.hook.take());
        good
    }

    /// Whether anything is set up, or waits for it, at a server.
    pub fn busy(&self, server: &ServerId) -> bool {
        self.broker.stands_any(server)
    }

    /// Servers, sessions, attempts and clients' connections that anything is remembered of, at its fullest place.
    pub fn remembered(&self) -> usize {
        let own = [self.servers.len(), self.homes.len(), self.owed.len(), self.viewers.len()];
        let told = self.tracer.as_ref().map_or(0, Tracer::remembered);
        let others = [
            self.links.remembered(),
            self.links.len(),
            self.pool.remembered(),
            self.broker.remembered(),
            told,
        ];
        own.into_iter().chain(others).max().unwrap_or(0)
    }

    /// From now on tests fail and no HTTP connection is kept, so that clients go elsewhere.
    pub fn stop(&mut self) {
        self.stopping = true;
        if let Some(whip) = &mut self.whip {
            whip.stop();
        }
    }

    /// The program ends: nothing may be left standing that nobody holds.
    pub fn end(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.tell(now, Input::End, out);
    }

    /// Lines for the log since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// When [`Node::tick`] is wanted next.
    pub fn next_alarm(&self) -> Micros {
        let alarms = [self.broker.next_alarm(), self.links.next_due(), self.pool.next_due()];
        alarms.into_iter().flatten().fold(self.look_at, Micros::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.links.write_due(now, out);
        self.pool.tick(now, out);
        self.tell(now, Input::Tick, out);
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.owed.retain(|(until, _)| *until > now);
            self.look(now, out);
            self.links.tick(now, out);
            let homes: BTreeSet<ConnId> = self.homes.values().copied().collect();
            for (conn, c) in self.viewers.iter_mut().filter(|(conn, _)| !homes.contains(conn)) {
                if let Some(reason) = c.overdue(now) {
                    c.closing = true;
                    out.push(Command::Close(*conn, reason));
                }
            }
            self.whip(now, out, |whip, sure, wishes| whip.tick(now, sure, wishes));
        }
    }

    /// Lets the WHIP front do something, then does what it wishes.
    fn whip(
        &mut self,
        now: Micros,
        out: &mut Vec<Command>,
        act: impl FnOnce(&mut whip::Front, &dyn Fn(SessionId) -> bool, &mut Vec<Wish>),
    ) {
        let mut wishes = Vec::new();
        if let Some(whip) = &mut self.whip {
            let (broker, links, pool) = (&self.broker, &self.links, &self.pool);
            act(whip, &|id| broker.untried(id) || links.waits(id) || pool.waits(id), &mut wishes);
        }
        for wish in wishes {
            match wish {
                Wish::Tell(Input::Request(request, offer)) => self.ask(now, request, offer, out),
                Wish::Tell(input) => self.tell(now, input, out),
                Wish::Write(conn, pieces, tag) => {
                    out.extend(pieces.into_iter().map(|piece| Command::Write(conn, piece, tag)));
                }
                Wish::Close(conn, reason) => out.push(Command::Close(conn, reason)),
                Wish::Patch { conn, id, any, body } => self.pass_patch(now, conn, id, any, &body, out),
            }
        }
    }

    /// A fragment of trickle ICE goes to the session's server, if that takes any.
    fn pass_patch(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        any: bool,
        body: &[u8],
        out: &mut Vec<Command>,
    ) {
        if !self.pool.patch(now, conn, id, any, body, out) {
            self.whip(now, out, |whip, _, wishes| whip.unpatchable(conn, id, wishes));
        }
    }

    fn owned_by_whip(&self, id: SessionId) -> bool {
        self.whip.as_ref().is_some_and(|whip| whip.owns(id))
    }

    /// A request goes to the core, unless the operator's script refuses it.
    fn ask(&mut self, now: Micros, mut request: Request, offer: Description, out: &mut Vec<Command>) {
        if let Some(tracer) = &mut self.tracer {
            let most = self.settings.classes.get(request.class).map_or(Rung(0), |class| class.top);
            let class = (named(&self.names.classes, request.class), most);
            tracer.asked(now, &request, class, named(&self.names.tenants, request.tenant));
        }
        if let Some(hook) = &mut self.hook {
            let (class, tenant) =
                (named(&self.names.classes, request.class), named(&self.names.tenants, request.tenant));
            let verdict = hook.on_request(&request, class, tenant);
            match self.unhook(verdict) {
                Some(Verdict::Refuse(wait)) => {
                    return self.carry_out(now, Effect::Refused(request.id, wait), out);
                }
                Some(Verdict::Pass(top)) => request.top = top,
                None => {}
            }
        }
        self.tell(now, Input::Request(request, offer), out);
    }

    /// An error of the script is logged, and the broker goes on without it.
    fn unhook<T>(&mut self, result: Result<T, HookError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.log.push(format!("hook off reason={error}"));
                self.hook = None;
                None
            }
        }
    }

    fn observed(&mut self, effect: &Effect) {
        let Some(hook) = &mut self.hook else { return };
        let (id, outcome) = match effect {
            Effect::Plays(id, _) => (*id, "plays"),
            Effect::Refused(id, _) => (*id, "refused"),
            Effect::Failed(id, _) => (*id, "failed"),
            Effect::Ended(id, _) => (*id, "ended"),
            Effect::Moved(id) => (*id, "moved"),
            _ => return,
        };
        let told = hook.on_outcome(id, outcome);
        self.unhook(told);
    }

    /// Servers with sessions must be heard of: one that is silent is tried, and each needs a way for its notes.
    fn look(&mut self, now: Micros, out: &mut Vec<Command>) {
        // Those that speak WHIP or WHEP have no connection of their own to be heard on.
        let spoken = self.servers.keys().filter(|s| !self.pool.serves(s));
        let busy: Vec<ServerId> = spoken.filter(|s| self.broker.stands_any(s)).cloned().collect();
        let connected = self.links.connected();
        for server in self.links.silent(now, busy.iter().cloned()) {
            self.check(now, &server, out);
        }
        for server in busy.into_iter().filter(|s| !connected.contains(s)) {
            self.check(now, &server, out);
        }
    }

    /// Finds out by one more connection whether a server is lost.
    fn check(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) {
        let before = out.len();
        let there = self.links.check(now, server, out);
        self.dialled(now, server, "check", &out[before..]);
        if !there {
            self.tell(now, Input::Lost(server.clone()), out);
        }
    }

    /// News of the list of servers.
    pub fn news(&mut self, now: Micros, news: News, out: &mut Vec<Command>) {
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
            self.tell(now, Input::Lost(server), out);
        }
        let servers: Vec<ServerEntry> = news.servers.into_iter().map(|l| l.entry).collect();
        if let Some(tracer) = &mut self.tracer {
            tracer.listed(&servers);
            if news.kind == ListKind::Complete {
                tracer.only(|id| self.servers.contains_key(id));
            }
        }
        self.tell(now, Input::Servers { kind: news.kind, servers }, out);
    }

    /// A number for a connection.
    pub fn number(&mut self) -> ConnId {
        self.links.number()
    }

    /// A client's connection was accepted.
    pub fn accepted(&mut self, now: Micros, conn: ConnId, front: Front, out: &mut Vec<Command>) {
        if front == Front::Whip {
            if let Some(whip) = &mut self.whip {
                whip.accepted(now, conn);
            }
            return;
        }
        self.viewers.insert(conn, ViewerConn { used: now, ..ViewerConn::default() });
        // What waited for a connection goes out on it.
        for (until, line) in std::mem::take(&mut self.owed) {
            if until > now {
                self.say(now, Some(conn), &line, out);
            }
        }
    }

    /// A connection to a server has come up.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        self.links.opened(now, conn, out);
        self.pool.opened(now, conn, out);
    }

    /// Bytes came on a connection.
    pub fn bytes(&mut self, now: Micros, conn: ConnId, bytes: &[u8], out: &mut Vec<Command>) {
        if self.links.has(conn) {
            let (server, heard) = self.links.bytes(now, conn, bytes, out);
            for heard in heard {
                self.heard(now, &server, heard, out);
            }
            return;
        }
        if self.pool.has(conn) {
            let mut told = Vec::new();
            self.pool.bytes(now, conn, bytes, &mut told, out);
            return self.told(now, told, out);
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            self.whip(now, out, |whip, sure, wishes| whip.bytes(now, conn, bytes, sure, wishes));
            return;
        }
        let Some(c) = self.viewers.get_mut(&conn).filter(|c| !c.closing && !c.repeats) else { return };
        c.viewer.feed(bytes);
        loop {
            let Some(c) = self.viewers.get_mut(&conn).filter(|c| !c.closing && !c.repeats) else { return };
            match c.viewer.next(now, &self.names, &self.settings) {
                Ok(Some(said)) => {
                    (c.used, c.begun, c.spoke) = (now, None, true);
                    self.said(now, conn, said, out);
                }
                Ok(None) => {
                    c.begun = if c.viewer.begun() { c.begun.or(Some(now)) } else { None };
                    return;
                }
                Err(error) => {
                    c.closing = true;
                    return out.push(Command::Close(conn, error.code()));
                }
            }
        }
    }

    /// Descriptors are short: of the clients' connections that no set-up waits on the one goes that never said
    /// anything, else one that no session was set up on, else the one that has been idle the longest.
    pub fn make_room(&mut self, now: Micros, out: &mut Vec<Command>) {
        let homes: BTreeSet<ConnId> = self.homes.values().copied().collect();
        let idle = self.viewers.iter().filter(|(_, c)| !c.closing && c.open.is_empty());
        let viewer = idle.map(|(conn, c)| ((c.spoke, homes.contains(conn), c.used), *conn)).min();
        let http = self.whip.as_ref().and_then(|whip| whip.longest_idle());
        match (viewer, http) {
            (Some(((spoke, _, used), conn)), http) if http.is_none_or(|(of, _)| (spoke, used) <= of) => {
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.closing = true;
                }
                out.push(Command::Close(conn, "no-room"));
            }
            (_, Some((_, conn))) => {
                self.whip(now, out, |whip, _, wishes| whip.let_go(conn, wishes));
            }
            (_, None) => {}
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: &Closed, out: &mut Vec<Command>) {
        if let Some(c) = self.viewers.remove(&conn) {
            self.homes.retain(|_, home| *home != conn);
            // Nobody waits there any more.
            for id in c.open {
                self.tell(now, Input::Left(id), out);
            }
            return;
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            let unfinished = match how {
                Closed::Ended { unfinished, .. } => unfinished.as_slice(),
                Closed::Refused | Closed::NoAnswer | Closed::Unopened => &[],
            };
            self.whip(now, out, |whip, _, wishes| whip.closed(now, conn, unfinished, wishes));
            return;
        }
        if self.pool.has(conn) {
            let mut told = Vec::new();
            self.pool.closed(now, conn, how, &mut told, out);
            return self.told(now, told, out);
        }
        let Some(Broken { server, over, server_is }) = self.links.closed(now, conn, how) else { return };
        for (id, status) in over {
            let load = Load::default();
            self.tell(now, Input::Over { id, server: server.clone(), status, load }, out);
        }
        if !self.broker.stands_any(&server) {
            return;
        }
        let drains = self.servers.get(&server).is_some_and(|(state, _)| *state == ServerState::Draining);
        match server_is {
            Server::Up => {}
            Server::Unsure => self.check(now, &server, out),
            Server::TurnsDown if drains => {}
            Server::TurnsDown | Server::Lost => self.tell(now, Input::Lost(server), out),
        }
    }

    /// What servers that speak WHIP or WHEP tell.
    fn told(&mut self, now: Micros, told: Vec<Told>, out: &mut Vec<Command>) {
        for told in told {
            match told {
                Told::Answer(id, server, answer) => self.tell(now, Input::Stands { id, server, answer }, out),
                Told::Over(id, server, status, load) => {
                    self.tell(now, Input::Over { id, server, status, load }, out);
                }
                Told::Note(id, server, note) => self.tell(now, Input::Note { id, server, note }, out),
                Told::Refused(server) => {
                    // One that drains may turn connections down while its sessions play.
                    let ready = self.servers.get(&server).is_some_and(|(s, _)| *s == ServerState::Ready);
                    if ready && self.broker.stands_any(&server) {
                        self.pool.lost(now, &server, true, out);
                        self.tell(now, Input::Lost(server), out);
                    }
                }
                Told::Patched(conn, id, answer) => {
                    self.whip(now, out, |whip, _, wishes| whip.patched(conn, id, answer, wishes));
                    self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
                }
                Told::Log(line) => self.log.push(line),
            }
        }
    }

    /// Ends that servers have not heard yet.
    pub fn ending(&self) -> usize {
        self.pool.ending()
    }

    fn said(&mut self, now: Micros, conn: ConnId, said: Said, out: &mut Vec<Command>) {
        match said {
            Said::Ping(id) => self.say(now, Some(conn), &viewer::pong(id, !self.stopping), out),
            Said::Release(id) => {
                self.forget(id);
                if self.broker.knows(id) {
                    self.tell(now, Input::Left(id), out);
                }
            }
            Said::SetUp(request, description) => {
                let id = request.id;
                if self.broker.knows(id) {
                    return self.taken(now, conn, id, out);
                }
                self.homes.insert(id, conn);
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.open.insert(id);
                }
                self.ask(now, request, description.into_bytes().into(), out);
            }
            Said::Unfit(id) if self.broker.knows(id) => self.taken(now, conn, id, out),
            Said::Unfit(id) => self.say(now, Some(conn), &viewer::failed(id), out),
            Said::Playing(request, server) => {
                self.homes.entry(request.id).or_insert(conn);
                self.tell(now, Input::Open(request, server.clone()), out);
                let before = out.len();
                self.links.attend(now, &server, out);
                self.dialled(now, &server, "notes", &out[before..]);
            }
        }
    }

    /// A set-up under an id that is in use. The first keeps its single answer; the sender of the second is told by
    /// a failure, or by a close where a line with that id could mean the first.
    fn taken(&mut self, now: Micros, conn: ConnId, id: SessionId, out: &mut Vec<Command>) {
        let own = self.homes.get(&id) == Some(&conn);
        let Some(c) = self.viewers.get_mut(&conn) else { return };
        if own || c.open.is_empty() {
            c.repeats = true;
            self.close_if_repeats(conn, out);
        } else {
            self.say(now, Some(conn), &viewer::failed(id), out);
        }
    }

    /// A set-up's final answer.
    fn reply(&mut self, now: Micros, home: Option<ConnId>, line: &Line, out: &mut Vec<Command>) {
        self.say(now, home, line, out);
        if let Some(conn) = home {
            self.close_if_repeats(conn, out);
        }
    }

    fn close_if_repeats(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(c) = self.viewers.get_mut(&conn).filter(|c| c.repeats && !c.closing && c.open.is_empty())
        {
            c.closing = true;
            out.push(Command::Close(conn, "id-in-use"));
        }
    }

    fn heard(&mut self, now: Micros, server: &ServerId, heard: Heard, out: &mut Vec<Command>) {
        let server = server.clone();
        let input = match heard {
            Heard::Answer(id, answer) => Input::Stands { id, server, answer },
            Heard::Release(id, cause, load) => {
                let status = status(cause, self.broker.stands(id, &server));
                Input::Over { id, server, status, load }
            }
            Heard::Note(id, note) => Input::Note { id, server, note },
        };
        self.tell(now, input, out);
    }

    fn tell(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        if let Some(tracer) = &mut self.tracer {
            tracer.told(now, &input);
        }
        let mut effects = Vec::new();
        self.broker.handle(now, input, &mut effects);
        for effect in effects {
            self.carry_out(now, effect, out);
        }
    }

    fn carry_out(&mut self, now: Micros, effect: Effect, out: &mut Vec<Command>) {
        self.observed(&effect);
        if let Some(tracer) = &mut self.tracer {
            tracer.decided(now, &effect);
        }
        match effect {
            Effect::Plays(id, answer) if self.owned_by_whip(id) => {
                let ice = self.pool.ice(id).to_vec();
                self.whip(now, out, |whip, _, wishes| whip.plays(now, id, answer, ice, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Refused(id, wait) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.refused(id, wait, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Failed(id, why) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.failed(now, id, why, wishes));
                self.whip(now, out, |whip, sure, wishes| whip.read_on(now, sure, wishes));
            }
            Effect::Ended(id, _) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.over(now, id, false, wishes));
            }
            Effect::Moved(id) if self.owned_by_whip(id) => {
                self.whip(now, out, |whip, _, wishes| whip.over(now, id, true, wishes));
            }
            Effect::SetUp(set_up) => self.send(now, &set_up, out),
            Effect::GiveUp(id, _) if self.pool.holds(id) => self.pool.give_up(now, id, out),
            Effect::Cut(id, _) if self.pool.holds(id) => self.pool.release(now, id, out),
            Effect::Rate(id, server, rung) => {
                if self.pool.holds(id) {
                    self.pool.rate(now, id, rung, out);
                } else {
                    self.links.rate(now, id, &server, rung, out);
                }
                if self.owned_by_whip(id) {
                    self.whip(now, out, |whip, _, wishes| whip.rated(id, rung, wishes));
                }
            }
            Effect::GiveUp(id, server) => self.links.give_up(now, id, &server, out),
            Effect::Cut(id, server) => self.links.release(now, id, &server, out),
            Effect::Plays(id, description) => {
                let home = self.answered(now, id);
                let line = std::str::from_utf8(&description).ok().map(|text| viewer::answer(id, text));
                match line.filter(|line| line.encode().is_ok()) {
                    Some(line) => self.reply(now, home, &line, out),
                    None => {
                        // What can't be passed on unchanged is not passed on.
                        self.reply(now, home, &viewer::failed(id), out);
                        self.forget(id);
                        self.tell(now, Input::Left(id), out);
                    }
                }
            }
            Effect::Refused(id, wait) => {
                let home = self.answered(now, id);
                self.forget(id);
                self.reply(now, home, &viewer::refused(id, wait), out);
            }
            Effect::Failed(id, _) => {
                let home = self.answered(now, id);
                self.forget(id);
                self.reply(now, home, &viewer::failed(id), out);
            }
            Effect::Ended(id, status) => {
                let home = self.homes.remove(&id);
                if let Some(line) = viewer::ended(id, status) {
                    self.say_anywhere(now, home, line, out);
                }
            }
            Effect::Moved(id) => {
                let home = self.homes.remove(&id);
                self.say_anywhere(now, home, viewer::moved(id), out);
            }
            Effect::Log(text) => self.log.push(text),
        }
    }

    fn send(&mut self, now: Micros, set_up: &SetUp, out: &mut Vec<Command>) {
        let class = self.names.classes.get(set_up.class).cloned().unwrap_or_default();
        if let Some(tracer) = &mut self.tracer {
            tracer.sent(now, set_up.id, &set_up.server, set_up.rung);
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
            self.tell(now, Input::Over { id, server, status, load }, out);
        }
    }

    /// The answer to a request goes out on its connection.
    fn answered(&mut self, now: Micros, id: SessionId) -> Option<ConnId> {
        let home = self.homes.get(&id).copied();
        if let Some(c) = home.and_then(|home| self.viewers.get_mut(&home)) {
            c.open.remove(&id);
            c.used = now;
        }
        home
    }

    fn forget(&mut self, id: SessionId) {
        if let Some(home) = self.homes.remove(&id)
            && let Some(c) = self.viewers.get_mut(&home)
        {
            c.open.remove(&id);
        }
    }

    fn say(&mut self, _now: Micros, conn: Option<ConnId>, line: &Line, out: &mut Vec<Command>) {
        if let (Some(conn), Ok(bytes)) = (conn.filter(|c| self.viewers.contains_key(c)), line.encode()) {
            out.push(Command::Write(conn, bytes, None));
        }
    }

    /// A session that stands belongs to no connection: its end goes out on its own, on any, or on the next.
    fn say_anywhere(&mut self, now: Micros, home: Option<ConnId>, line: Line, out: &mut Vec<Command>) {
        let open = home.filter(|c| self.viewers.contains_key(c));
        match open.or_else(|| self.viewers.last_key_value().map(|(conn, _)| *conn)) {
            Some(conn) => self.say(now, Some(conn), &line, out),
            None => self.owed.push_back((now + OWED_KEPT, line)),
        }
    }
}
