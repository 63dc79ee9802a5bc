//! HTTP client for edge servers that speak WHIP or WHEP. An attempt is sent as a POST; a session is ended by a DELETE
//! on the resource that the `Location` header named. This is a state machine over bytes that does no I/O: the driver
//! opens the connections that it requests and supplies the time.
//!
//! Each connection carries one exchange at a time. HTTP can't cancel an attempt that has been sent, so its connection
//! is still read after the attempt is given up, and a session that it creates after all is ended at once. A DELETE is
//! repeated until the server confirms it, also on new connections, up to a limit.

pub mod load;
pub mod news;
pub mod proof;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::api::{Load, Micros, Note, Rung, ServerId, ServerState, SessionId, Status, Text};
use crate::broker::{Description, SetUp};
use crate::http::client::{self, Response, ResponseDecoder};
use crate::http::sse;
use crate::http::uri::encode;
use crate::platform::links::{Command, ConnId, ConnectionEnd};
use crate::roster::Paths;
use news::EdgeEvent;
use proof::{Outcome, Proof, classify};

/// The connection numbers of this pool lie above those of all other connections.
const FIRST_CONN: u64 = 1 << 63;
/// The most connections to one server. Each set-up that waits for its answer occupies one.
const MAX_CONNECTIONS_PER_SERVER: usize = 32;
/// The most exchanges that wait for a connection to one server. Further ones are refused before anything was sent.
const MAX_WAITING_EXCHANGES: usize = 256;
/// A connection that was idle for this long carries no new exchange. Servers commonly close idle connections after
/// 5 s, and a close that crosses a set-up on the way would leave it unknown whether the set-up ran.
const MAX_IDLE: Micros = Micros(3_000_000);
/// How long the answer to a set-up that was given up is awaited before its connection is aborted.
const ABANDONED_SET_UP_TIMEOUT: Micros = Micros(30_000_000);
/// A DELETE, a change of rung or a PATCH without an answer after this time has failed.
const EXCHANGE_TIMEOUT: Micros = Micros(5_000_000);
/// The most times that a DELETE is sent.
const MAX_END_ATTEMPTS: u32 = 8;
/// The delay before the second DELETE. It doubles with each further attempt, up to the longest delay.
const FIRST_END_RETRY_DELAY: Micros = Micros(250_000);
/// The longest delay between two DELETE attempts.
const MAX_END_RETRY_DELAY: Micros = Micros(8_000_000);
/// How many DELETE attempts a session whose set-up answer was lost needs before "not found" ends it: the server may
/// create the session after the first attempts.
const MIN_UNCONFIRMED_END_ATTEMPTS: u32 = 4;
/// An event stream that carries no bytes for this long, not even a comment, is aborted and requested again.
const EVENT_STREAM_TIMEOUT: Micros = Micros(30_000_000);
/// The time between two requests for the event stream of a server.
const EVENT_STREAM_RETRY_INTERVAL: Micros = Micros(2_000_000);
/// The most sessions whose DELETE is pending.
const MAX_PENDING_ENDS: usize = 4096;
/// The longest body of an answer. It must also fit into one message of the platform protocol,
/// for clients that use it.
const MAX_BODY_BYTES: usize = 15 * 1024;
/// The most `Link` values of one answer that are passed on.
const MAX_ICE_LINKS: usize = 8;
/// The longest `Link` value that is read.
const MAX_LINK_BYTES: usize = 1024;

/// The media type of a trickle ICE fragment (RFC 8840).
pub const FRAGMENT: &str = "application/trickle-ice-sdpfrag";
/// The link relation of the path at which a layer is selected (WHEP extension).
const LAYER_RELATION: &str = "urn:ietf:params:whep:ext:core:layer";

/// What the pool reports about servers and their sessions.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// The session is established at the server; carries the SDP answer.
    Answer(SessionId, ServerId, Description),
    /// The attempt or the session ended with this status and load report.
    Ended(SessionId, ServerId, Status, Load),
    /// A load note for an established session.
    Note(SessionId, ServerId, Note),
    /// The server refused a connection.
    Refused(ServerId),
    /// The response to a client's PATCH, or `None` if the server gave none.
    Patched(ConnId, SessionId, Option<Response>),
    /// A line for the log.
    Log(String),
}

/// The address and the URL paths of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    address: SocketAddr,
    paths: Paths,
}

/// The HTTP resource of an established session.
#[derive(Clone, Debug)]
struct Resource {
    server: ServerId,
    address: SocketAddr,
    path: String,
    etag: Option<String>,
    /// The path at which a layer is selected, if the server announced one.
    layer_path: Option<String>,
    /// The `Link` header values that name ICE servers.
    ice_links: Vec<String>,
}

/// A session whose DELETE the server has not confirmed yet.
#[derive(Clone, Debug)]
struct PendingEnd {
    address: SocketAddr,
    path: String,
    attempts: u32,
    /// Whether no answer named the resource. The server may not have created it yet, so "not found" does not confirm
    /// the end.
    creation_unconfirmed: bool,
    /// When the next attempt is due, or `None` while one is under way.
    next_attempt: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum ExchangeKind {
    SetUp {
        id: SessionId,
        server: ServerId,
        path: String,
        /// The path at which its session can be ended even if no answer named the resource.
        end_path: Option<String>,
        given_up: Option<Micros>,
    },
    End(SessionId),
    RungChange,
    /// The event stream of a server.
    Events(ServerId),
    Patch {
        from: ConnId,
        id: SessionId,
    },
}

#[derive(Debug)]
struct Exchange {
    kind: ExchangeKind,
    bytes: Vec<u8>,
    sent_at: Micros,
}

impl Exchange {
    /// Whether this is the set-up of the given session.
    fn is_set_up_of(&self, id: SessionId) -> bool {
        matches!(&self.kind, ExchangeKind::SetUp { id: of, .. } if *of == id)
    }
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    is_open: bool,
    closing: bool,
    responses: ResponseDecoder,
    exchange: Option<Exchange>,
    stream: sse::Stream,
    last_used: Micros,
}

/// All connections to servers that speak WHIP or WHEP, with their sessions.
#[derive(Debug, Default)]
pub struct Pool {
    targets: BTreeMap<ServerId, Target>,
    conns: BTreeMap<ConnId, Connection>,
    waiting: BTreeMap<SocketAddr, VecDeque<Exchange>>,
    resources: BTreeMap<SessionId, Resource>,
    ends: BTreeMap<SessionId, PendingEnd>,
    /// The earliest time at which the event stream of a server is requested again.
    next_event_request: BTreeMap<ServerId, Micros>,
    last_conn_number: u64,
}

/// Returns the path of the resource that a `Location` or `Link` names. Of an absolute URL only the path is used: the
/// resource is always requested from the server that created it, never from another host.
fn resource_path(location: &str, request_path: &str) -> Option<String> {
    let is_valid = |p: &str| p.bytes().all(|b| b.is_ascii_graphic());
    let path = match location.split_once("://") {
        Some((_, rest)) => format!("/{}", rest.split_once('/').map_or("", |(_, path)| path)),
        None if location.starts_with('/') => location.to_owned(),
        None => {
            let folder = request_path.split('?').next()?.rsplit_once('/').map_or("", |(folder, _)| folder);
            format!("{folder}/{location}")
        }
    };
    let path = path.split('#').next().unwrap_or("").to_owned();
    (!location.is_empty() && path.len() > 1 && is_valid(&path)).then_some(path)
}

/// Whether a `Link` value has the given relation type.
fn has_rel(link: &str, rel: &str) -> bool {
    let params = link.split(';').skip(1).filter_map(|p| p.split_once('='));
    let mut rels = params.filter(|(n, _)| n.trim().eq_ignore_ascii_case("rel")).map(|(_, v)| v.trim());
    rels.any(|v| v.trim_matches('"').split(' ').any(|r| r.eq_ignore_ascii_case(rel)))
}

impl Pool {
    /// Records the address and paths of a listed server. Returns whether its address has changed: then it is another
    /// server, and connections with set-ups under way to the old address are aborted.
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
        let carries_set_up_to_old_address = |connection: &Connection| match &connection.exchange {
            Some(Exchange { kind: ExchangeKind::SetUp { server: of, .. }, .. }) => {
                of == server && connection.address != address
            }
            _ => false,
        };
        for (conn, connection) in self.conns.iter_mut().filter(|(_, connection)| {
            moved && !connection.closing && carries_set_up_to_old_address(connection)
        }) {
            connection.closing = true;
            out.push(Command::Abort(*conn, "moved"));
        }
        moved
    }

    /// Removes a server that has left the list. Exchanges under way there are still read to their end.
    pub fn forget(&mut self, server: &ServerId) {
        self.targets.remove(server);
    }

    /// Whether a server belongs to this pool.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.targets.contains_key(server)
    }

    /// Returns the server to which a connection carries the set-up of a session, unless the set-up was given up.
    pub fn carries(&self, conn: ConnId, of: SessionId) -> Option<&ServerId> {
        match &self.conns.get(&conn)?.exchange.as_ref()?.kind {
            ExchangeKind::SetUp { id, server, given_up: None, .. } if *id == of => Some(server),
            _ => None,
        }
    }

    /// Whether a connection belongs to this pool.
    pub fn has(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Whether a session is established, or being set up, at a server of this pool.
    pub fn holds(&self, id: SessionId) -> bool {
        let mut exchanges = self.conns.values().filter_map(|connection| connection.exchange.as_ref());
        self.resources.contains_key(&id) || exchanges.any(|e| e.is_set_up_of(id)) || self.is_queued(id)
    }

    /// Whether a set-up is queued for a connection.
    fn is_queued(&self, id: SessionId) -> bool {
        self.waiting.values().flatten().any(|e| e.is_set_up_of(id))
    }

    /// Whether a set-up still waits for its connection to open, so that it certainly has not run.
    pub fn waits(&self, id: SessionId) -> bool {
        let mut unopened = self
            .conns
            .values()
            .filter(|connection| !connection.is_open)
            .filter_map(|connection| connection.exchange.as_ref());
        unopened.any(|e| e.is_set_up_of(id)) || self.is_queued(id)
    }

    /// Returns the `Link` header values that name ICE servers, from the answer to the set-up of a session.
    pub fn ice_links(&self, id: SessionId) -> &[String] {
        self.resources.get(&id).map_or(&[], |r| &r.ice_links)
    }

    /// Returns the number of sessions whose DELETE is not confirmed yet.
    pub fn pending_ends(&self) -> usize {
        self.ends.len()
    }

    /// Returns the number of entries in the largest table of the pool.
    pub fn tracked_entries(&self) -> usize {
        let waiting = self.waiting.values().map(VecDeque::len).sum();
        [self.targets.len(), self.conns.len(), self.resources.len(), self.ends.len(), waiting]
            .into_iter()
            .max()
            .unwrap_or(0)
    }

    /// Sends a set-up. An error is the status of an attempt that ended at once, without anything having run.
    pub fn set_up(
        &mut self,
        now: Micros,
        set_up: &SetUp,
        class: &str,
        out: &mut Vec<Command>,
    ) -> Result<(), Status> {
        let Some(target) = self.targets.get(&set_up.server) else { return Err(Status::ConnectFailed) };
        let (address, rung) = (target.address, set_up.rung.unwrap_or_default().0.to_string());
        let fill = |path: &Text| {
            path.replace("{title}", &encode(&set_up.title))
                .replace("{class}", &encode(class))
                .replace("{rung}", &rung)
                .replace("{session}", &format!("{:016x}", set_up.id.0))
        };
        let (path, end_path) = (fill(&target.paths.set_up), target.paths.end.as_ref().map(fill));
        let headers = [("Accept", "application/sdp")];
        let body = Some(("application/sdp", &*set_up.offer));
        let bytes = client::encode_request("POST", &address.to_string(), &path, &headers, body);
        let kind = ExchangeKind::SetUp {
            id: set_up.id,
            server: set_up.server.clone(),
            path,
            end_path,
            given_up: None,
        };
        if self.start_exchange(now, address, Exchange { kind, bytes, sent_at: now }, out) {
            Ok(())
        } else {
            Err(Status::Moot)
        }
    }

    /// Sends an exchange on an idle connection, opens a new one for it, or queues it. Returns false if the queue is
    /// full.
    fn start_exchange(
        &mut self,
        now: Micros,
        address: SocketAddr,
        exchange: Exchange,
        out: &mut Vec<Command>,
    ) -> bool {
        let is_idle = |connection: &Connection| {
            connection.address == address
                && connection.is_open
                && !connection.closing
                && connection.exchange.is_none()
                && now - connection.last_used < MAX_IDLE
        };
        let idle_conn = self
            .conns
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .max_by_key(|(_, connection)| connection.last_used)
            .map(|(id, _)| *id);
        if let Some(conn) = idle_conn {
            self.send_exchange(now, conn, exchange, out);
            return true;
        }
        if self.conns.values().filter(|connection| connection.address == address).count()
            < MAX_CONNECTIONS_PER_SERVER
        {
            self.last_conn_number += 1;
            let conn = ConnId(FIRST_CONN + self.last_conn_number);
            let (responses, exchange) = (ResponseDecoder::default(), Some(exchange));
            let (is_open, closing, stream) = (false, false, sse::Stream::default());
            let connection =
                Connection { address, is_open, closing, responses, exchange, stream, last_used: now };
            self.conns.insert(conn, connection);
            out.push(Command::Dial(conn, address));
            return true;
        }
        let waiting = self.waiting.entry(address).or_default();
        let has_room = waiting.len() < MAX_WAITING_EXCHANGES;
        if has_room {
            waiting.push_back(exchange);
        }
        has_room
    }

    fn send_exchange(&mut self, now: Micros, conn: ConnId, mut exchange: Exchange, out: &mut Vec<Command>) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        let session = if let ExchangeKind::SetUp { id, .. } = &exchange.kind { Some(*id) } else { None };
        out.push(Command::Write(conn, std::mem::take(&mut exchange.bytes), session));
        (exchange.sent_at, connection.last_used) = (now, now);
        connection.exchange = Some(exchange);
    }

    /// Gives up a set-up. One that still waits is never sent; the answer to one that was sent is still read.
    pub fn give_up(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        let is_this_set_up =
            |e: &Exchange| matches!(&e.kind, ExchangeKind::SetUp { id: of, given_up: None, .. } if *of == id);
        for waiting in self.waiting.values_mut() {
            waiting.retain(|e| !is_this_set_up(e));
        }
        let found = self
            .conns
            .iter_mut()
            .find(|(_, connection)| connection.exchange.as_ref().is_some_and(is_this_set_up));
        let Some((conn, connection)) = found else { return };
        if !connection.is_open {
            connection.closing = true;
            connection.exchange = None;
            return out.push(Command::Abort(*conn, "given-up"));
        }
        if let Some(Exchange { kind: ExchangeKind::SetUp { given_up, .. }, .. }) = &mut connection.exchange {
            *given_up = Some(now);
        }
    }

    /// Ends an established session.
    pub fn release(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        if let Some(resource) = self.resources.remove(&id) {
            self.queue_end(now, id, resource.address, resource.path, false, out);
        }
    }

    fn queue_end(
        &mut self,
        now: Micros,
        id: SessionId,
        address: SocketAddr,
        path: String,
        creation_unconfirmed: bool,
        out: &mut Vec<Command>,
    ) {
        if self.ends.len() < MAX_PENDING_ENDS {
            self.ends.insert(
                id,
                PendingEnd { address, path, attempts: 0, creation_unconfirmed, next_attempt: Some(now) },
            );
        }
        self.send_due_ends(now, out);
    }

    fn send_due_ends(&mut self, now: Micros, out: &mut Vec<Command>) {
        let due = |e: &PendingEnd| e.next_attempt.is_some_and(|at| at <= now);
        let due: Vec<SessionId> = self.ends.iter().filter(|(_, e)| due(e)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(end) = self.ends.get_mut(&id) else { continue };
            (end.attempts, end.next_attempt) = (end.attempts + 1, None);
            let address = end.address;
            let bytes = client::encode_request("DELETE", &address.to_string(), &end.path, &[], None);
            if !self.start_exchange(
                now,
                address,
                Exchange { kind: ExchangeKind::End(id), bytes, sent_at: now },
                out,
            ) {
                self.retry_end(now, id, &mut Vec::new());
            }
        }
    }

    /// Schedules the next attempt of an unconfirmed DELETE, or drops it with a log line after the last attempt.
    fn retry_end(&mut self, now: Micros, id: SessionId, events: &mut Vec<PoolEvent>) {
        let Some(end) = self.ends.get_mut(&id) else { return };
        if end.attempts >= MAX_END_ATTEMPTS {
            events.push(PoolEvent::Log(format!(
                "end not heard id={:016x} at={} tries={}",
                id.0, end.address, end.attempts
            )));
            self.ends.remove(&id);
            return;
        }
        let delay_us = FIRST_END_RETRY_DELAY.0 << (end.attempts.saturating_sub(1)).min(16);
        end.next_attempt = Some(now + Micros(delay_us.min(MAX_END_RETRY_DELAY.0)));
    }

    /// Requests a new rung for a session, if its server announced a path for selecting layers.
    pub fn change_rung(&mut self, now: Micros, id: SessionId, rung: Rung, out: &mut Vec<Command>) {
        let Some(resource) = self.resources.get(&id) else { return };
        let Some(layer) = &resource.layer_path else { return };
        let body = serde_json::json!({"encodingId": rung.0.to_string()}).to_string();
        let body = Some(("application/json", body.as_bytes()));
        let bytes = client::encode_request("POST", &resource.address.to_string(), layer, &[], body);
        let address = resource.address;
        self.start_exchange(
            now,
            address,
            Exchange { kind: ExchangeKind::RungChange, bytes, sent_at: now },
            out,
        );
    }

    /// Forwards a client's PATCH. Returns false if the session is not established at a server of this pool, or if the
    /// queue of the server is full.
    pub fn patch(
        &mut self,
        now: Micros,
        from: ConnId,
        id: SessionId,
        match_any: bool,
        body: &[u8],
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(resource) = self.resources.get(&id) else { return false };
        let mut headers = Vec::new();
        match &resource.etag {
            _ if match_any => headers.push(("If-Match", "*")),
            Some(tag) => headers.push(("If-Match", tag.as_str())),
            None => {}
        }
        let (address, body) = (resource.address, Some((FRAGMENT, body)));
        let bytes = client::encode_request("PATCH", &address.to_string(), &resource.path, &headers, body);
        self.start_exchange(
            now,
            address,
            Exchange { kind: ExchangeKind::Patch { from, id }, bytes, sent_at: now },
            out,
        )
    }

    /// Handles a connection that has opened.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        (connection.is_open, connection.last_used) = (true, now);
        if let Some(exchange) = connection.exchange.take() {
            self.send_exchange(now, conn, exchange, out);
        }
    }

    /// Handles bytes received on a connection.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        events: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let Some(connection) = self.conns.get_mut(&conn).filter(|c| !c.closing) else { return };
        connection.last_used = now;
        if let Some(Exchange { kind: ExchangeKind::Events(server), .. }) = &connection.exchange {
            let server = server.clone();
            match news::read_events(&mut connection.stream, bytes) {
                Ok(edge_events) => self.handle_edge_events(&server, edge_events, events),
                Err(error) => {
                    connection.closing = true;
                    out.push(Command::Abort(conn, error.code()));
                }
            }
            return;
        }
        connection.responses.feed(bytes);
        if connection.exchange.is_none() {
            // No request is open: these bytes answer nothing, and later ones could be mistaken for the answer to the
            // next request.
            connection.closing = true;
            return out.push(Command::Close(conn, "unasked"));
        }
        match connection.responses.next_response(MAX_BODY_BYTES) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let exchange = connection.exchange.take();
                if !response.keep_alive || connection.responses.has_pending_data() {
                    connection.closing = true;
                    out.push(Command::Close(conn, if response.keep_alive { "unasked" } else { "done" }));
                }
                let address = connection.address;
                if let Some(exchange) = exchange {
                    self.handle_response(now, address, exchange.kind, response, events, out);
                }
                self.start_next_waiting(now, address, out);
            }
            Err(error) => {
                connection.closing = true;
                out.push(Command::Abort(conn, error.code()));
                let (exchange, unfinished) =
                    (connection.exchange.take(), connection.responses.partial_response().cloned());
                let address = connection.address;
                if let Some(exchange) = exchange {
                    self.handle_broken_exchange(
                        now,
                        address,
                        exchange.kind,
                        unfinished.as_ref(),
                        false,
                        events,
                        out,
                    );
                }
                self.start_next_waiting(now, address, out);
            }
        }
    }

    /// Handles events that a server sent about itself and its sessions. A load note is reported for one session of
    /// the server only, as in the platform protocol.
    fn handle_edge_events(
        &mut self,
        server: &ServerId,
        edge_events: Vec<EdgeEvent>,
        events: &mut Vec<PoolEvent>,
    ) {
        for edge_event in edge_events {
            let mut at_server = self.resources.iter().filter(|(_, r)| r.server == *server);
            match edge_event {
                EdgeEvent::Note(note) => {
                    events.extend(at_server.next().map(|(id, _)| PoolEvent::Note(*id, server.clone(), note)));
                }
                EdgeEvent::Ended(path) => {
                    let id = at_server.find(|(_, r)| r.path == path).map(|(id, _)| *id);
                    if let Some(id) = id {
                        self.resources.remove(&id);
                        events.push(PoolEvent::Ended(id, server.clone(), Status::Completed, Load::default()));
                    }
                }
            }
        }
    }

    /// Requests the event streams of servers that offer one, hold sessions and have no stream open.
    fn request_event_streams(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.targets.values().all(|t| t.paths.events.is_none()) {
            return;
        }
        let stream_server =
            |e: &Exchange| if let ExchangeKind::Events(s) = &e.kind { Some(s.clone()) } else { None };
        let open: Vec<ServerId> = self
            .conns
            .values()
            .filter_map(|connection| stream_server(connection.exchange.as_ref()?))
            .collect();
        let mut servers: Vec<&ServerId> = self.resources.values().map(|r| &r.server).collect();
        servers.sort_unstable();
        servers.dedup();
        let due =
            |s: &ServerId| !open.contains(s) && self.next_event_request.get(s).is_none_or(|at| *at <= now);
        let servers: Vec<ServerId> = servers.into_iter().filter(|s| due(s)).cloned().collect();
        for server in servers {
            let Some(target) = self.targets.get(&server) else { continue };
            let Some(path) = target.paths.events.clone() else { continue };
            self.next_event_request.insert(server.clone(), now + EVENT_STREAM_RETRY_INTERVAL);
            let (address, headers) = (target.address, [("Accept", "text/event-stream")]);
            let bytes = client::encode_request("GET", &address.to_string(), &path, &headers, None);
            self.start_exchange(
                now,
                address,
                Exchange { kind: ExchangeKind::Events(server), bytes, sent_at: now },
                out,
            );
        }
        let targets = &self.targets;
        self.next_event_request.retain(|server, _| targets.contains_key(server));
    }

    /// Starts the next queued exchange when a connection is free or one more may be opened.
    fn start_next_waiting(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Command>) {
        let Some(waiting) = self.waiting.get_mut(&address) else { return };
        if let Some(next) = waiting.pop_front() {
            self.start_exchange(now, address, next, out);
        } else {
            self.waiting.remove(&address);
        }
    }

    fn handle_response(
        &mut self,
        now: Micros,
        address: SocketAddr,
        kind: ExchangeKind,
        response: Response,
        events: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        match kind {
            ExchangeKind::SetUp { id, server, path, given_up, .. } => {
                self.handle_set_up_response(
                    now,
                    address,
                    (id, server, path, given_up),
                    response,
                    events,
                    out,
                );
            }
            ExchangeKind::End(id) => {
                let retry_if_missing = self
                    .ends
                    .get(&id)
                    .is_some_and(|e| e.creation_unconfirmed && e.attempts < MIN_UNCONFIRMED_END_ATTEMPTS);
                match response.status {
                    404 | 410 if retry_if_missing => self.retry_end(now, id, events),
                    200..=299 | 404 | 410 => {
                        self.ends.remove(&id);
                    }
                    _ => self.retry_end(now, id, events),
                }
            }
            ExchangeKind::RungChange | ExchangeKind::Events(_) => {}
            ExchangeKind::Patch { from, id } => {
                if let (Some(resource), Some(tag)) = (self.resources.get_mut(&id), response.header("etag")) {
                    resource.etag = Some(tag.to_owned());
                }
                events.push(PoolEvent::Patched(from, id, Some(response)));
            }
        }
    }

    fn handle_set_up_response(
        &mut self,
        now: Micros,
        address: SocketAddr,
        (id, server, path, given_up): (SessionId, ServerId, String, Option<Micros>),
        response: Response,
        events: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let resource = response.header("location").and_then(|l| resource_path(l, &path));
        let is_sdp = response.content_type().as_deref() == Some("application/sdp");
        let has_description =
            is_sdp && std::str::from_utf8(&response.body).is_ok_and(|b| b.starts_with("v=0"));
        let outcome = Outcome::Answer {
            code: response.status,
            retry_after: response.header("retry-after").is_some(),
            complete: has_description && resource.is_some(),
        };
        let report = response.header(load::HEADER).map(load::parse_report).unwrap_or_default();
        let result = classify(outcome);
        match (result, resource) {
            (Proof::Established, Some(path)) if given_up.is_none() => {
                let links = || response.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("link"));
                let links =
                    || links().flat_map(|(_, v)| split_links(v)).filter(|l| l.len() <= MAX_LINK_BYTES);
                let target = |l: &str| l.trim().strip_prefix('<')?.split_once('>').map(|(t, _)| t.to_owned());
                let layer_path = links().find(|l| has_rel(l, LAYER_RELATION)).and_then(target);
                let layer_path = layer_path.and_then(|t| resource_path(&t, &path));
                let ice = links().filter(|l| has_rel(l, "ice-server")).take(MAX_ICE_LINKS).map(str::to_owned);
                let (etag, ice_links) = (response.header("etag").map(str::to_owned), ice.collect());
                let resource =
                    Resource { server: server.clone(), address, path, etag, layer_path, ice_links };
                self.resources.insert(id, resource);
                events.push(PoolEvent::Answer(id, server.clone(), response.body.as_slice().into()));
                let notes = [report.link.or(report.util).map(Note::Link), report.uplink.map(Note::Uplink)];
                events.extend(notes.into_iter().flatten().map(|n| PoolEvent::Note(id, server.clone(), n)));
            }
            (result, resource) => {
                // A session whose set-up was given up, or whose answer can't be used, must not continue to play.
                if let Some(path) = resource.filter(|_| (200..300).contains(&response.status)) {
                    self.queue_end(now, id, address, path, false, out);
                }
                if given_up.is_none() {
                    let status = match result {
                        Proof::Ended(status) => status,
                        Proof::Established => Status::Errored,
                    };
                    events.push(PoolEvent::Ended(id, server, status, report));
                }
            }
        }
    }

    /// Handles an exchange whose connection ended, or sent an unreadable answer, before a whole answer came.
    #[expect(clippy::too_many_arguments, reason = "the parts of one broken exchange")]
    fn handle_broken_exchange(
        &mut self,
        now: Micros,
        address: SocketAddr,
        kind: ExchangeKind,
        unfinished: Option<&Response>,
        unsent: bool,
        events: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        match kind {
            ExchangeKind::SetUp { id, server, path, end_path, given_up } => {
                // The head of a 201 names the session it created, which is enough to end it. Without it, the session
                // can only be ended at a server that identifies sessions by the broker's ids.
                let location_path = unfinished.filter(|r| r.status == 201).and_then(|r| r.header("location"));
                let location_path = location_path.and_then(|l| resource_path(l, &path));
                let creation_unconfirmed = location_path.is_none();
                let location_path = location_path.or(end_path.filter(|_| !unsent));
                let is_resolved = location_path.is_some() || unsent;
                if let Some(location_path) = location_path {
                    self.queue_end(now, id, address, location_path, creation_unconfirmed, out);
                }
                if given_up.is_none() {
                    let outcome = if unsent { Outcome::Unsent } else { Outcome::Broken };
                    let status = match classify(outcome) {
                        Proof::Ended(status) => status,
                        Proof::Established => Status::Reset,
                    };
                    events.push(PoolEvent::Ended(id, server, status, Load::default()));
                } else if !is_resolved {
                    events.push(PoolEvent::Log(format!("late answer lost id={:016x} at={address}", id.0)));
                }
            }
            ExchangeKind::End(id) => self.retry_end(now, id, events),
            ExchangeKind::RungChange | ExchangeKind::Events(_) => {}
            ExchangeKind::Patch { from, id } => events.push(PoolEvent::Patched(from, id, None)),
        }
    }

    /// Handles a connection that has ended or could not be opened.
    pub fn closed(
        &mut self,
        now: Micros,
        conn: ConnId,
        how: &ConnectionEnd,
        events: &mut Vec<PoolEvent>,
        out: &mut Vec<Command>,
    ) {
        let Some(connection) = self.conns.remove(&conn) else { return };
        let not_connected =
            matches!(how, ConnectionEnd::Refused | ConnectionEnd::NoAnswer | ConnectionEnd::Unopened);
        if let Some(exchange) = connection.exchange {
            let is_unsent = |unsent: &Vec<SessionId>| match &exchange.kind {
                ExchangeKind::SetUp { id, .. } => unsent.contains(id),
                _ => false,
            };
            let unsent = not_connected
                || !connection.is_open
                || matches!(how, ConnectionEnd::Ended { unsent, .. } if is_unsent(unsent));
            self.handle_broken_exchange(
                now,
                connection.address,
                exchange.kind,
                connection.responses.partial_response(),
                unsent,
                events,
                out,
            );
        }
        if not_connected {
            // The queued exchanges would be refused too, one after the other.
            let waiting = self.waiting.remove(&connection.address).unwrap_or_default();
            for exchange in waiting {
                self.handle_broken_exchange(now, connection.address, exchange.kind, None, true, events, out);
            }
            if matches!(how, ConnectionEnd::Refused) {
                let at_server = self.targets.iter().filter(|(_, t)| t.address == connection.address);
                events.extend(at_server.map(|(server, _)| PoolEvent::Refused(server.clone())));
            }
        } else {
            self.start_next_waiting(now, connection.address, out);
        }
    }

    /// Returns when [`Pool::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let ends = self.ends.values().filter_map(|e| e.next_attempt);
        let conns = self
            .conns
            .values()
            .filter(|connection| !connection.closing)
            .filter_map(|connection| self.connection_due(connection));
        ends.chain(conns).min()
    }

    /// Returns when a connection is to be closed or aborted if nothing happens on it.
    fn connection_due(&self, connection: &Connection) -> Option<Micros> {
        match &connection.exchange {
            None => Some(connection.last_used + MAX_IDLE),
            Some(Exchange { kind: ExchangeKind::SetUp { given_up, .. }, .. }) => {
                given_up.map(|at| at + ABANDONED_SET_UP_TIMEOUT)
            }
            Some(Exchange { kind: ExchangeKind::Events(_), .. }) => {
                Some(connection.last_used + EVENT_STREAM_TIMEOUT)
            }
            Some(exchange) => Some(exchange.sent_at + EXCHANGE_TIMEOUT),
        }
    }

    /// Closes connections that are due, sends the DELETE requests that are due and requests event streams.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        let due: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, connection)| {
                !connection.closing && self.connection_due(connection).is_some_and(|at| at <= now)
            })
            .map(|(id, _)| *id)
            .collect();
        for conn in due {
            let Some(connection) = self.conns.get_mut(&conn) else { continue };
            connection.closing = true;
            out.push(match connection.exchange {
                None => Command::Close(conn, "idle"),
                Some(_) => Command::Abort(conn, "no-answer"),
            });
        }
        self.send_due_ends(now, out);
        self.request_event_streams(now, out);
    }

    /// Removes the sessions of a lost server. With `may_hold`, the server may still hold sessions after a restart, so
    /// they are ended there.
    pub fn server_lost(&mut self, now: Micros, server: &ServerId, may_hold: bool, out: &mut Vec<Command>) {
        let at_server = self.resources.iter().filter(|(_, r)| r.server == *server);
        let ids: Vec<SessionId> = at_server.map(|(id, _)| *id).collect();
        for id in ids {
            match self.resources.remove(&id) {
                Some(resource) if may_hold => {
                    self.queue_end(now, id, resource.address, resource.path, false, out)
                }
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
