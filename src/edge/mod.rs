//! Edge servers that speak WHIP or WHEP: attempts go out as POSTs, sessions end by DELETE on what `Location` named.
//! A state machine of bytes; the driver opens the connections that it asks for and keeps the time.
//!
//! Each connection carries one exchange at a time. An attempt that is given up can't be called back over HTTP: its
//! connection is read on, and a session that it still makes is ended at once. Ends are repeated until they are heard,
//! on new connections too, within bounds.

pub mod load;
pub mod news;
pub mod proof;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::api::{Load, Micros, Note, Rung, ServerId, ServerState, SessionId, Status, Text};
use crate::broker::{Description, SetUp};
use crate::http::client::{self, Response, Responses};
use crate::http::sse;
use crate::http::uri::encode;
use crate::platform::links::{Command, ConnId, ConnectionEnd};
use crate::roster::Paths;
use news::EdgeEvent;
use proof::{Outcome, Proof, proof};

/// Numbers of these connections lie above those of all others.
const FIRST_CONN: u64 = 1 << 63;
/// Connections to one server: each set-up that waits for its answer takes one.
const MOST_CONNS: usize = 32;
/// Exchanges that wait for a connection to one server; what comes beyond that is turned away, nothing has run.
const MOST_WAITING: usize = 256;
/// A connection that was idle for longer carries no new exchange: servers commonly close after 5 s, and a close that
/// crosses a set-up would leave it unproved.
const FRESH: Micros = Micros(3_000_000);
/// An attempt that was given up is waited for so long; then its connection is cut.
const LATE: Micros = Micros(30_000_000);
/// An end, a change of rung or a PATCH that has no answer after so long has failed.
const PATIENCE: Micros = Micros(5_000_000);
/// An end is told so often at most; the pause between two doubles from the first to the longest.
const MOST_TRIES: u32 = 8;
const FIRST_PAUSE: Micros = Micros(250_000);
const LONGEST_PAUSE: Micros = Micros(8_000_000);
/// A session whose answer was lost may be made after the first tries: so often it must be found missing.
const UNSURE_TRIES: u32 = 4;
/// A stream of events that says nothing for so long, not even a comment, is asked for anew.
const SILENCE: Micros = Micros(30_000_000);
/// Time between tries to open one.
const LISTEN_EVERY: Micros = Micros(2_000_000);
/// Ends that are remembered at most.
const MOST_ENDS: usize = 4096;
/// Longest body of an answer: it must fit into one message towards the other front too.
const LONGEST_BODY: usize = 15 * 1024;
/// `Link` headers of one answer that are passed on, and their length.
const MOST_LINKS: usize = 8;
const LONGEST_LINK: usize = 1024;

/// The type of a trickle ICE fragment (RFC 8840).
pub const FRAGMENT: &str = "application/trickle-ice-sdpfrag";
const LAYER: &str = "urn:ietf:params:whep:ext:core:layer";

/// What is heard of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// The session stands there.
    Answer(SessionId, ServerId, Description),
    /// The attempt ended.
    Ended(SessionId, ServerId, Status, Load),
    /// A note on a session that stands.
    Note(SessionId, ServerId, Note),
    /// It turned a connection down.
    Refused(ServerId),
    /// A client's PATCH is answered; none: the server gave no answer.
    Patched(ConnId, SessionId, Option<Response>),
    /// A line for the log.
    Log(String),
}

/// A server's place.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    address: SocketAddr,
    paths: Paths,
}

/// A session at a server.
#[derive(Clone, Debug)]
struct Resource {
    server: ServerId,
    address: SocketAddr,
    path: String,
    tag: Option<String>,
    /// Where a layer is chosen, if the server told.
    layer: Option<String>,
    /// `Link` headers that name ICE servers.
    ice: Vec<String>,
}

/// A session that is to be ended.
#[derive(Clone, Debug)]
struct End {
    address: SocketAddr,
    path: String,
    tries: u32,
    /// No answer told of its place: the server may not have made it yet, so that "not there" is no end.
    unsure: bool,
    /// The next try; none: one is out.
    at: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Work {
    SetUp {
        id: SessionId,
        server: ServerId,
        path: String,
        /// Where its session can be ended though no answer told of its place.
        end: Option<String>,
        given_up: Option<Micros>,
    },
    End(SessionId),
    Rate,
    /// Its stream of events.
    Events(ServerId),
    Patch {
        from: ConnId,
        id: SessionId,
    },
}

#[derive(Debug)]
struct Exchange {
    work: Work,
    bytes: Vec<u8>,
    at: Micros,
}

impl Exchange {
    /// Whether it is a session's set-up.
    fn sets_up(&self, id: SessionId) -> bool {
        matches!(&self.work, Work::SetUp { id: of, .. } if *of == id)
    }
}

#[derive(Debug)]
struct Conn {
    address: SocketAddr,
    open: bool,
    closing: bool,
    responses: Responses,
    exchange: Option<Exchange>,
    stream: sse::Stream,
    used: Micros,
}

/// All connections to servers of this kind.
#[derive(Debug, Default)]
pub struct Pool {
    targets: BTreeMap<ServerId, Target>,
    conns: BTreeMap<ConnId, Conn>,
    waiting: BTreeMap<SocketAddr, VecDeque<Exchange>>,
    resources: BTreeMap<SessionId, Resource>,
    ends: BTreeMap<SessionId, End>,
    /// When a server's events are asked for next.
    listen_at: BTreeMap<ServerId, Micros>,
    next: u64,
}

/// The path of a resource: of an absolute URL too, as it lies on the server that made it; other servers are not asked.
fn resource_path(location: &str, asked: &str) -> Option<String> {
    let clean = |p: &str| p.bytes().all(|b| b.is_ascii_graphic());
    let path = match location.split_once("://") {
        Some((_, rest)) => format!("/{}", rest.split_once('/').map_or("", |(_, path)| path)),
        None if location.starts_with('/') => location.to_owned(),
        None => {
            let folder = asked.split('?').next()?.rsplit_once('/').map_or("", |(folder, _)| folder);
            format!("{folder}/{location}")
        }
    };
    let path = path.split('#').next().unwrap_or("").to_owned();
    (!location.is_empty() && path.len() > 1 && clean(&path)).then_some(path)
}

/// Whether a `Link` value has a relation.
fn has_rel(link: &str, rel: &str) -> bool {
    let params = link.split(';').skip(1).filter_map(|p| p.split_once('='));
    let mut rels = params.filter(|(n, _)| n.trim().eq_ignore_ascii_case("rel")).map(|(_, v)| v.trim());
    rels.any(|v| v.trim_matches('"').split(' ').any(|r| r.eq_ignore_ascii_case(rel)))
}

impl Pool {
    /// Notes where a server is. Gives whether it was elsewhere before: then it is another one, and set-ups that are
    /// under way to the old one are cut.
    pub fn listed(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        paths: &Paths,
        state: ServerState,
        out: &mut Vec<Command>,
    ) -> bool {
        if state == ServerState::Gone {
            self.forget(server);
            return false;
        }
        let target = Target { address, paths: paths.clone() };
        let moved =
            self.targets.insert(server.clone(), target).is_some_and(|before| before.address != address);
        let old = |c: &Conn| match &c.exchange {
            Some(Exchange { work: Work::SetUp { server: of, .. }, .. }) => {
                of == server && c.address != address
            }
            _ => false,
        };
        for (conn, c) in self.conns.iter_mut().filter(|(_, c)| moved && !c.closing && old(c)) {
            c.closing = true;
            out.push(Command::Abort(*conn, "moved"));
        }
        moved
    }

    /// A server has left the list. What is under way there is read to its end.
    pub fn forget(&mut self, server: &ServerId) {
        self.targets.remove(server);
    }

    /// Whether a server is one of these.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.targets.contains_key(server)
    }

    /// The server that a set-up on a connection is for, if the set-up is still wanted there.
    pub fn carries(&self, conn: ConnId, of: SessionId) -> Option<&ServerId> {
        match &self.conns.get(&conn)?.exchange.as_ref()?.work {
            Work::SetUp { id, server, given_up: None, .. } if *id == of => Some(server),
            _ => None,
        }
    }

    /// Whether it is one of these connections.
    pub fn has(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Whether a session stands, or is set up, at a server of this kind.
    pub fn holds(&self, id: SessionId) -> bool {
        let mut out = self.conns.values().filter_map(|c| c.exchange.as_ref());
        self.resources.contains_key(&id) || out.any(|e| e.sets_up(id)) || self.queued(id)
    }

    /// Whether a set-up waits for a connection.
    fn queued(&self, id: SessionId) -> bool {
        self.waiting.values().flatten().any(|e| e.sets_up(id))
    }

    /// Whether a set-up still waits for its connection, so that it certainly has not run.
    pub fn waits(&self, id: SessionId) -> bool {
        let mut unopened = self.conns.values().filter(|c| !c.open).filter_map(|c| c.exchange.as_ref());
        unopened.any(|e| e.sets_up(id)) || self.queued(id)
    }

    /// `Link` headers that name ICE servers, of the answer that a session had.
    pub fn ice_links(&self, id: SessionId) -> &[String] {
        self.resources.get(&id).map_or(&[], |r| &r.ice)
    }

    /// Ends that are not heard yet.
    pub fn pending_ends(&self) -> usize {
        self.ends.len()
    }

    /// What is remembered, at its fullest place.
    pub fn tracked_entries(&self) -> usize {
        let waiting = self.waiting.values().map(VecDeque::len).sum();
        [self.targets.len(), self.conns.len(), self.resources.len(), self.ends.len(), waiting]
            .into_iter()
            .max()
            .unwrap_or(0)
    }

    /// Sends a set-up. An error tells how the attempt ended at once: nothing ran.
    pub fn set_up(
        &mut self,
        now: Micros,
        s: &SetUp,
        class: &str,
        out: &mut Vec<Command>,
    ) -> Result<(), Status> {
        let Some(target) = self.targets.get(&s.server) else { return Err(Status::ConnectFailed) };
        let (address, rung) = (target.address, s.rung.unwrap_or_default().0.to_string());
        let fill = |path: &Text| {
            path.replace("{title}", &encode(&s.title))
                .replace("{class}", &encode(class))
                .replace("{rung}", &rung)
                .replace("{session}", &format!("{:016x}", s.id.0))
        };
        let (path, end) = (fill(&target.paths.set_up), target.paths.end.as_ref().map(fill));
        let headers = [("Accept", "application/sdp")];
        let body = Some(("application/sdp", &*s.offer));
        let bytes = client::request("POST", &address.to_string(), &path, &headers, body);
        let work = Work::SetUp { id: s.id, server: s.server.clone(), path, end, given_up: None };
        if self.start(now, address, Exchange { work, bytes, at: now }, out) {
            Ok(())
        } else {
            Err(Status::Moot)
        }
    }

    /// Puts an exchange on a connection, or lets it wait for one; false if too many wait.
    fn start(
        &mut self,
        now: Micros,
        address: SocketAddr,
        exchange: Exchange,
        out: &mut Vec<Command>,
    ) -> bool {
        let idle = |c: &Conn| {
            c.address == address && c.open && !c.closing && c.exchange.is_none() && now - c.used < FRESH
        };
        let free = self.conns.iter().filter(|(_, c)| idle(c)).max_by_key(|(_, c)| c.used).map(|(id, _)| *id);
        if let Some(conn) = free {
            self.put(now, conn, exchange, out);
            return true;
        }
        if self.conns.values().filter(|c| c.address == address).count() < MOST_CONNS {
            self.next += 1;
            let conn = ConnId(FIRST_CONN + self.next);
            let (responses, exchange) = (Responses::default(), Some(exchange));
            let (open, closing, stream) = (false, false, sse::Stream::default());
            let dialled = Conn { address, open, closing, responses, exchange, stream, used: now };
            self.conns.insert(conn, dialled);
            out.push(Command::Dial(conn, address));
            return true;
        }
        let waiting = self.waiting.entry(address).or_default();
        let room = waiting.len() < MOST_WAITING;
        if room {
            waiting.push_back(exchange);
        }
        room
    }

    fn put(&mut self, now: Micros, conn: ConnId, mut exchange: Exchange, out: &mut Vec<Command>) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let tag = if let Work::SetUp { id, .. } = &exchange.work { Some(*id) } else { None };
        out.push(Command::Write(conn, std::mem::take(&mut exchange.bytes), tag));
        (exchange.at, c.used) = (now, now);
        c.exchange = Some(exchange);
    }

    /// Gives a set-up up. One that still waits never leaves; one that is out is read on.
    pub fn give_up(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        let mine = |e: &Exchange| matches!(&e.work, Work::SetUp { id: of, given_up: None, .. } if *of == id);
        for waiting in self.waiting.values_mut() {
            waiting.retain(|e| !mine(e));
        }
        let found = self.conns.iter_mut().find(|(_, c)| c.exchange.as_ref().is_some_and(mine));
        let Some((conn, c)) = found else { return };
        if !c.open {
            c.closing = true;
            c.exchange = None;
            return out.push(Command::Abort(*conn, "given-up"));
        }
        if let Some(Exchange { work: Work::SetUp { given_up, .. }, .. }) = &mut c.exchange {
            *given_up = Some(now);
        }
    }

    /// Ends a session that stands.
    pub fn release(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        if let Some(resource) = self.resources.remove(&id) {
            self.end(now, id, resource.address, resource.path, false, out);
        }
    }

    fn end(
        &mut self,
        now: Micros,
        id: SessionId,
        address: SocketAddr,
        path: String,
        unsure: bool,
        out: &mut Vec<Command>,
    ) {
        if self.ends.len() < MOST_ENDS {
            self.ends.insert(id, End { address, path, tries: 0, unsure, at: Some(now) });
        }
        self.end_due(now, out);
    }

    fn end_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        let due = |e: &End| e.at.is_some_and(|at| at <= now);
        let due: Vec<SessionId> = self.ends.iter().filter(|(_, e)| due(e)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(end) = self.ends.get_mut(&id) else { continue };
            (end.tries, end.at) = (end.tries + 1, None);
            let address = end.address;
            let bytes = client::request("DELETE", &address.to_string(), &end.path, &[], None);
            if !self.start(now, address, Exchange { work: Work::End(id), bytes, at: now }, out) {
                self.end_again(now, id, &mut Vec::new());
            }
        }
    }

    /// An end was not heard: it is told again later, unless that was tried often enough.
    fn end_again(&mut self, now: Micros, id: SessionId, told: &mut Vec<PoolEvent>) {
        let Some(end) = self.ends.get_mut(&id) else { return };
        if end.tries >= MOST_TRIES {
            told.push(PoolEvent::Log(format!(
                "end not heard id={:016x} at={} tries={}",
                id.0, end.address, end.tries
            )));
            self.ends.remove(&id);
            return;
        }
        let pause = FIRST_PAUSE.0 << (end.tries.saturating_sub(1)).min(16);
        end.at = Some(now + Micros(pause.min(LONGEST_PAUSE.0)));
    }

    /// Tells a server a session's new rung, where it has a place for that.
    pub fn change_rung(&mut self, now: Micros, id: SessionId, rung: Rung, out: &mut Vec<Command>) {
        let Some(resource) = self.resources.get(&id) else { return };
        let Some(layer) = &resource.layer else { return };
        let body = serde_json::json!({"encodingId": rung.0.to_string()}).to_string();
        let body = Some(("application/json", body.as_bytes()));
        let bytes = client::request("POST", &resource.address.to_string(), layer, &[], body);
        let address = resource.address;
        self.start(now, address, Exchange { work: Work::Rate, bytes, at: now }, out);
    }

    /// Passes a client's PATCH on. False if the session does not stand at a server of this kind.
    pub fn patch(
        &mut self,
        now: Micros,
        from: ConnId,
        id: SessionId,
        any: bool,
        body: &[u8],
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(resource) = self.resources.get(&id) else { return false };
        let mut headers = Vec::new();
        match &resource.tag {
            _ if any => headers.push(("If-Match", "*")),
            Some(tag) => headers.push(("If-Match", tag.as_str())),
            None => {}
        }
        let (address, body) = (resource.address, Some((FRAGMENT, body)));
        let bytes = client::request("PATCH", &address.to_string(), &resource.path, &headers, body);
        self.start(now, address, Exchange { work: Work::Patch { from, id }, bytes, at: now }, out)
    }

    /// A connection has come up.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        (c.open, c.used) = (true, now);
        if let Some(exchange) = c.exchange.take() {
            self.put(now, conn, exchange, out);
        }
    }

    /// Bytes came.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        told: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| !c.closing) else { return };
        c.used = now;
        if let Some(Exchange { work: Work::Events(server), .. }) = &c.exchange {
            let server = server.clone();
            match news::feed(&mut c.stream, bytes) {
                Ok(news) => self.heard(&server, news, told),
                Err(error) => {
                    c.closing = true;
                    out.push(Command::Abort(conn, error.code()));
                }
            }
            return;
        }
        c.responses.feed(bytes);
        if c.exchange.is_none() {
            // Nothing was asked: what it says has no meaning, and what follows could be taken for an answer.
            c.closing = true;
            return out.push(Command::Close(conn, "unasked"));
        }
        match c.responses.next_response(LONGEST_BODY) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let exchange = c.exchange.take();
                if !response.keep_alive || c.responses.begun() {
                    c.closing = true;
                    out.push(Command::Close(conn, if response.keep_alive { "unasked" } else { "done" }));
                }
                let address = c.address;
                if let Some(exchange) = exchange {
                    self.answered(now, address, exchange.work, response, told, out);
                }
                self.next_waiting(now, address, out);
            }
            Err(error) => {
                c.closing = true;
                out.push(Command::Abort(conn, error.code()));
                let (exchange, unfinished) = (c.exchange.take(), c.responses.unfinished().cloned());
                let address = c.address;
                if let Some(exchange) = exchange {
                    self.broken(now, address, exchange.work, unfinished.as_ref(), false, told, out);
                }
                self.next_waiting(now, address, out);
            }
        }
    }

    /// What a server told of itself and of its sessions. A note goes to one session, as on the platform.
    fn heard(&mut self, server: &ServerId, news: Vec<EdgeEvent>, told: &mut Vec<PoolEvent>) {
        for news in news {
            let mut there = self.resources.iter().filter(|(_, r)| r.server == *server);
            match news {
                EdgeEvent::Note(note) => {
                    told.extend(there.next().map(|(id, _)| PoolEvent::Note(*id, server.clone(), note)));
                }
                EdgeEvent::Ended(path) => {
                    let id = there.find(|(_, r)| r.path == path).map(|(id, _)| *id);
                    if let Some(id) = id {
                        self.resources.remove(&id);
                        told.push(PoolEvent::Ended(id, server.clone(), Status::Completed, Load::default()));
                    }
                }
            }
        }
    }

    /// Listens to servers where sessions stand and which tell of themselves.
    fn listen(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.targets.values().all(|t| t.paths.events.is_none()) {
            return;
        }
        let heard = |e: &Exchange| if let Work::Events(s) = &e.work { Some(s.clone()) } else { None };
        let open: Vec<ServerId> = self.conns.values().filter_map(|c| heard(c.exchange.as_ref()?)).collect();
        let mut silent: Vec<&ServerId> = self.resources.values().map(|r| &r.server).collect();
        silent.sort_unstable();
        silent.dedup();
        let due = |s: &ServerId| !open.contains(s) && self.listen_at.get(s).is_none_or(|at| *at <= now);
        let silent: Vec<ServerId> = silent.into_iter().filter(|s| due(s)).cloned().collect();
        for server in silent {
            let Some(target) = self.targets.get(&server) else { continue };
            let Some(path) = target.paths.events.clone() else { continue };
            self.listen_at.insert(server.clone(), now + LISTEN_EVERY);
            let (address, headers) = (target.address, [("Accept", "text/event-stream")]);
            let bytes = client::request("GET", &address.to_string(), &path, &headers, None);
            self.start(now, address, Exchange { work: Work::Events(server), bytes, at: now }, out);
        }
        let targets = &self.targets;
        self.listen_at.retain(|server, _| targets.contains_key(server));
    }

    /// A connection is free, or one more may be opened.
    fn next_waiting(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Command>) {
        let Some(waiting) = self.waiting.get_mut(&address) else { return };
        if let Some(next) = waiting.pop_front() {
            self.start(now, address, next, out);
        } else {
            self.waiting.remove(&address);
        }
    }

    fn answered(
        &mut self,
        now: Micros,
        address: SocketAddr,
        work: Work,
        response: Response,
        told: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        match work {
            Work::SetUp { id, server, path, given_up, .. } => {
                self.set_up_answered(now, address, (id, server, path, given_up), response, told, out);
            }
            Work::End(id) => {
                let early = self.ends.get(&id).is_some_and(|e| e.unsure && e.tries < UNSURE_TRIES);
                match response.status {
                    404 | 410 if early => self.end_again(now, id, told),
                    200..=299 | 404 | 410 => {
                        self.ends.remove(&id);
                    }
                    _ => self.end_again(now, id, told),
                }
            }
            Work::Rate | Work::Events(_) => {}
            Work::Patch { from, id } => {
                if let (Some(resource), Some(tag)) = (self.resources.get_mut(&id), response.header("etag")) {
                    resource.tag = Some(tag.to_owned());
                }
                told.push(PoolEvent::Patched(from, id, Some(response)));
            }
        }
    }

    fn set_up_answered(
        &mut self,
        now: Micros,
        address: SocketAddr,
        (id, server, path, given_up): (SessionId, ServerId, String, Option<Micros>),
        response: Response,
        told: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let resource = response.header("location").and_then(|l| resource_path(l, &path));
        let sdp = response.content_type().as_deref() == Some("application/sdp");
        let described = sdp && std::str::from_utf8(&response.body).is_ok_and(|b| b.starts_with("v=0"));
        let outcome = Outcome::Answer {
            code: response.status,
            retry_after: response.header("retry-after").is_some(),
            complete: described && resource.is_some(),
        };
        let report = response.header(load::HEADER).map(load::parse_report).unwrap_or_default();
        let stands = proof(outcome);
        match (stands, resource) {
            (Proof::Stands, Some(path)) if given_up.is_none() => {
                let links = || response.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("link"));
                let links = || links().flat_map(|(_, v)| split_links(v)).filter(|l| l.len() <= LONGEST_LINK);
                let target = |l: &str| l.trim().strip_prefix('<')?.split_once('>').map(|(t, _)| t.to_owned());
                let layer = links().find(|l| has_rel(l, LAYER)).and_then(target);
                let layer = layer.and_then(|t| resource_path(&t, &path));
                let ice = links().filter(|l| has_rel(l, "ice-server")).take(MOST_LINKS).map(str::to_owned);
                let (tag, ice) = (response.header("etag").map(str::to_owned), ice.collect());
                let made = Resource { server: server.clone(), address, path, tag, layer, ice };
                self.resources.insert(id, made);
                told.push(PoolEvent::Answer(id, server.clone(), response.body.as_slice().into()));
                let notes = [report.link.or(report.util).map(Note::Link), report.uplink.map(Note::Uplink)];
                told.extend(notes.into_iter().flatten().map(|n| PoolEvent::Note(id, server.clone(), n)));
            }
            (stands, resource) => {
                // A session that nobody waits for any more, or that can't be used, must not play on.
                if let Some(path) = resource.filter(|_| (200..300).contains(&response.status)) {
                    self.end(now, id, address, path, false, out);
                }
                if given_up.is_none() {
                    let status = match stands {
                        Proof::Over(status) => status,
                        Proof::Stands => Status::Errored,
                    };
                    told.push(PoolEvent::Ended(id, server, status, report));
                }
            }
        }
    }

    /// An exchange whose connection ended under it.
    #[expect(clippy::too_many_arguments, reason = "the parts of one end")]
    fn broken(
        &mut self,
        now: Micros,
        address: SocketAddr,
        work: Work,
        unfinished: Option<&Response>,
        unsent: bool,
        told: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        match work {
            Work::SetUp { id, server, path, end, given_up } => {
                // The head of a 201 has told enough to end what it made; else only a server that knows sessions by
                // the broker's names can be asked.
                let place = unfinished.filter(|r| r.status == 201).and_then(|r| r.header("location"));
                let place = place.and_then(|l| resource_path(l, &path));
                let unsure = place.is_none();
                let place = place.or(end.filter(|_| !unsent));
                let known = place.is_some() || unsent;
                if let Some(place) = place {
                    self.end(now, id, address, place, unsure, out);
                }
                if given_up.is_none() {
                    let outcome = if unsent { Outcome::Unsent } else { Outcome::Broken };
                    let status = match proof(outcome) {
                        Proof::Over(status) => status,
                        Proof::Stands => Status::Reset,
                    };
                    told.push(PoolEvent::Ended(id, server, status, Load::default()));
                } else if !known {
                    told.push(PoolEvent::Log(format!("late answer lost id={:016x} at={address}", id.0)));
                }
            }
            Work::End(id) => self.end_again(now, id, told),
            Work::Rate | Work::Events(_) => {}
            Work::Patch { from, id } => told.push(PoolEvent::Patched(from, id, None)),
        }
    }

    /// A connection has ended.
    pub fn closed(
        &mut self,
        now: Micros,
        conn: ConnId,
        how: &ConnectionEnd,
        told: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let Some(c) = self.conns.remove(&conn) else { return };
        let down = matches!(how, ConnectionEnd::Refused | ConnectionEnd::NoAnswer | ConnectionEnd::Unopened);
        if let Some(exchange) = c.exchange {
            let mine = |unsent: &Vec<SessionId>| match &exchange.work {
                Work::SetUp { id, .. } => unsent.contains(id),
                _ => false,
            };
            let unsent =
                down || !c.open || matches!(how, ConnectionEnd::Ended { unsent, .. } if mine(unsent));
            self.broken(now, c.address, exchange.work, c.responses.unfinished(), unsent, told, out);
        }
        if down {
            // Those that wait for a connection would be turned down one after the other.
            let waiting = self.waiting.remove(&c.address).unwrap_or_default();
            for exchange in waiting {
                self.broken(now, c.address, exchange.work, None, true, told, out);
            }
            if matches!(how, ConnectionEnd::Refused) {
                let there = self.targets.iter().filter(|(_, t)| t.address == c.address);
                told.extend(there.map(|(server, _)| PoolEvent::Refused(server.clone())));
            }
        } else {
            self.next_waiting(now, c.address, out);
        }
    }

    /// When [`Pool::tick`] is wanted next.
    pub fn next_due(&self) -> Option<Micros> {
        let ends = self.ends.values().filter_map(|e| e.at);
        let conns = self.conns.values().filter(|c| !c.closing).filter_map(|c| self.conn_due(c));
        ends.chain(conns).min()
    }

    /// When a connection is to be let go, if nothing happens on it.
    fn conn_due(&self, c: &Conn) -> Option<Micros> {
        match &c.exchange {
            None => Some(c.used + FRESH),
            Some(Exchange { work: Work::SetUp { given_up, .. }, .. }) => given_up.map(|at| at + LATE),
            Some(Exchange { work: Work::Events(_), .. }) => Some(c.used + SILENCE),
            Some(exchange) => Some(exchange.at + PATIENCE),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        let due: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| !c.closing && self.conn_due(c).is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for conn in due {
            let Some(c) = self.conns.get_mut(&conn) else { continue };
            c.closing = true;
            out.push(match c.exchange {
                None => Command::Close(conn, "idle"),
                Some(_) => Command::Abort(conn, "no-answer"),
            });
        }
        self.end_due(now, out);
        self.listen(now, out);
    }

    /// A server is lost with what stood there. Where it may only have started anew, what it still holds is ended.
    pub fn server_lost(&mut self, now: Micros, server: &ServerId, may_hold: bool, out: &mut Vec<Command>) {
        let there = self.resources.iter().filter(|(_, r)| r.server == *server);
        let ids: Vec<SessionId> = there.map(|(id, _)| *id).collect();
        for id in ids {
            match self.resources.remove(&id) {
                Some(resource) if may_hold => self.end(now, id, resource.address, resource.path, false, out),
                _ => {}
            }
        }
    }
}

/// Splits a `Link` header at the commas between values, not at those inside `<>` or quotes.
fn split_links(value: &str) -> Vec<&str> {
    let (mut parts, mut start, mut quoted, mut angled) = (Vec::new(), 0, false, false);
    for (i, c) in value.char_indices() {
        match c {
            '"' if !angled => quoted = !quoted,
            '<' if !quoted => angled = true,
            '>' if !quoted => angled = false,
            ',' if !quoted && !angled => {
                parts.push(value[start..i].trim());
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(value[start..].trim());
    parts
}

#[cfg(test)]
mod tests;
