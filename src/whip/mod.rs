//! The front that speaks WHIP (RFC 9725) and WHEP: signalling over HTTP on the same core and rules. A state
//! machine of bytes; it decides nothing.
//!
//! A paid session is set up at a URL that names its booking. The booking is the key that keeps it from being
//! set up twice: a repeat of the same offer joins the set-up that is open, or gets the answer it had.

mod route;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

pub use route::{Route, encode};

use crate::api::{Class, Micros, Request, Rung, SessionId, Text};
use crate::broker::{Description, Failure, Input};
use crate::http::server::{Decoder, Request as HttpRequest, Response};
use crate::platform::links::ConnId;

/// Longest description: with the rest of a set-up it must fit into one message.
pub const LONGEST_OFFER: usize = 15 * 1024;
/// A connection that asks nothing for so long is closed.
const IDLE: Micros = Micros(30_000_000);
/// A request that is not whole after so long is given up: a description is short, also for a slow client.
const UNFINISHED: Micros = Micros(10_000_000);
/// What a client that is refused without advice is told, in seconds.
const RETRY_S: u64 = 1;
/// Bytes that a client may send ahead of the answer it waits for.
const MOST_AHEAD: usize = 64 * 1024;

/// A title that sessions can be set up for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    /// First cell that holds it.
    pub home: u32,
    /// So many cells in a row hold it.
    pub copies: u32,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
}

/// How this front is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The titles by name.
    pub titles: BTreeMap<String, Title>,
    /// Pages of this origin may ask; `*`: all.
    pub origin: String,
    /// A paid session whose client was cut off is kept so long for it to come back.
    pub reclaim: Micros,
    /// A booking that is spent is remembered so long.
    pub spent: Micros,
    /// Bookings remembered at most; beyond that new ones are refused.
    pub most_bookings: usize,
}

/// What the front wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// Tell the core.
    Tell(Input),
    /// Write a response; what carries a session's answer is marked by it.
    Write(ConnId, [Vec<u8>; 2], Option<SessionId>),
    /// End a connection once all is written.
    Close(ConnId, &'static str),
}

#[derive(Default)]
struct Conn {
    decoder: Decoder,
    /// What it waits for the answer of, and whether it may be used after.
    waits: Option<(SessionId, bool)>,
    used: Micros,
    /// When the request began that is not whole yet.
    begun: Option<Micros>,
    /// It has asked something whole.
    spoke: bool,
    closing: bool,
}

/// Names a booking: the title's name, and its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BookingId {
    title: String,
    name: String,
}

struct Session {
    booking: Option<BookingId>,
    waiters: BTreeSet<ConnId>,
    answer: Option<Description>,
    /// Nobody has heard of the session: it ends at this time.
    lost_at: Option<Micros>,
}

/// What a booking has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its session is being set up, or stands.
    Held(SessionId),
    /// It failed, with this status, and may have run.
    Failed(u16),
    /// Its session is over.
    Over,
}

struct Booking {
    offer: u64,
    stage: Stage,
    at: Micros,
}

/// The front.
pub struct Front {
    setup: Setup,
    classes: Vec<Class>,
    rng: fastrand::Rng,
    conns: BTreeMap<ConnId, Conn>,
    sessions: BTreeMap<SessionId, Session>,
    bookings: BTreeMap<BookingId, Booking>,
    stopping: bool,
}

fn print(offer: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    offer.hash(&mut hasher);
    hasher.finish()
}

impl Front {
    /// A front for these classes.
    pub fn new(setup: Setup, classes: Vec<Class>, seed: u64) -> Front {
        let rng = fastrand::Rng::with_seed(seed);
        let (conns, sessions, bookings) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Front { setup, classes, rng, conns, sessions, bookings, stopping: false }
    }

    /// From now on new requests follow this set-up.
    pub fn reload(&mut self, setup: Setup) {
        self.setup = setup;
    }

    /// The titles by name.
    pub fn titles(&self) -> &BTreeMap<String, Title> {
        &self.setup.titles
    }

    /// Takes new titles in; sessions that stand play on.
    pub fn retitle(&mut self, titles: BTreeMap<String, Title>) {
        self.setup.titles = titles;
    }

    /// From now on each connection ends with its next response.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether a session is one of this front's.
    pub fn owns(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Whether it is one of this front's connections.
    pub fn has(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, now: Micros, conn: ConnId) {
        self.conns.insert(conn, Conn { used: now, ..Conn::default() });
    }

    /// Bytes came. `nothing_ran` tells of a session that is being set up whether that is certain.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<Wish>,
    ) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if c.closing {
            return;
        }
        c.used = now;
        c.decoder.feed(bytes);
        if c.waits.is_some() && c.decoder.held() > MOST_AHEAD {
            return out.push(Wish::Close(conn, "too-far-ahead"));
        }
        self.requests(now, conn, nothing_ran, out);
    }

    /// Requests of one connection are answered one after the other.
    fn requests(
        &mut self,
        now: Micros,
        conn: ConnId,
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<Wish>,
    ) {
        while let Some(c) = self.conns.get_mut(&conn).filter(|c| c.waits.is_none() && !c.closing) {
            match c.decoder.next_request(LONGEST_OFFER) {
                Ok(Some(request)) => {
                    (c.begun, c.spoke) = (None, true);
                    self.request(now, conn, request, nothing_ran, out);
                }
                Ok(None) => {
                    c.begun = if c.decoder.begun() { c.begun.or(Some(now)) } else { None };
                    return;
                }
                Err(error) => {
                    let response = Response::text(error.status(), error.code());
                    return self.respond(conn, response, false, None, out);
                }
            }
        }
    }

    fn respond(
        &mut self,
        conn: ConnId,
        response: Response,
        keep_alive: bool,
        carries: Option<SessionId>,
        out: &mut Vec<Wish>,
    ) {
        let response = response
            .with("Access-Control-Allow-Origin", &self.setup.origin)
            .with("Access-Control-Expose-Headers", "Location, ETag, Retry-After, Allow");
        let status = response.status;
        let keep_alive = keep_alive && !self.stopping;
        out.push(Wish::Write(conn, response.encode(keep_alive), carries));
        if !keep_alive {
            if let Some(c) = self.conns.get_mut(&conn) {
                c.closing = true;
            }
            let reason = if matches!(status, 400 | 413 | 431 | 505) { "bad-request" } else { "done" };
            out.push(Wish::Close(conn, reason));
        }
    }

    fn request(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: HttpRequest,
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<Wish>,
    ) {
        let keep = request.keep_alive;
        let route = Route::parse(&request.target);
        let known = |name: &str| self.setup.titles.get(name).cloned();
        let title = match &route {
            None => None,
            Some(Route::Title(name) | Route::Booking(name, _)) => {
                known(name).map(|t| (name.clone(), Some(t)))
            }
            Some(Route::Session(_)) => Some((String::new(), None)),
        };
        let (Some(route), Some((name, title))) = (route, title) else {
            return self.respond(conn, Response::text(404, "no such resource"), keep, None, out);
        };
        let response = match (request.method.as_str(), route, title) {
            ("OPTIONS", route, _) => Response::text(204, "")
                .with("Allow", route.methods())
                .with("Accept-Post", "application/sdp")
                .with("Access-Control-Allow-Methods", route.methods())
                .with("Access-Control-Allow-Headers", "Content-Type, If-Match, Authorization"),
            ("POST", Route::Title(_), Some(title)) => {
                match self.post(now, conn, name, &title, None, request, out) {
                    Some(response) => response,
                    None => return,
                }
            }
            ("POST", Route::Booking(_, booking), Some(title)) => {
                match self.post(now, conn, name, &title, Some(booking), request, out) {
                    Some(response) => response,
                    None => return,
                }
            }
            ("DELETE", Route::Session(id), _) => {
                let standing = self.sessions.get(&id).is_some_and(|s| s.answer.is_some());
                let tag = request.if_match.as_deref();
                if !standing {
                    Response::text(404, "no such session")
                } else if tag.is_some_and(|t| t != "*" && t != etag(id)) {
                    Response::text(412, "another entity tag")
                } else {
                    self.end(now, id, false, out);
                    Response::text(200, "")
                }
            }
            ("DELETE", Route::Booking(_, booking), _) => {
                let held = match self
                    .bookings
                    .get(&BookingId { title: name.clone(), name: booking })
                    .map(|b| b.stage)
                {
                    Some(Stage::Held(id)) => Some(id),
                    _ => None,
                };
                match held {
                    None => Response::text(404, "no such session"),
                    Some(id) => {
                        self.end(now, id, nothing_ran(id), out);
                        Response::text(200, "")
                    }
                }
            }
            (_, route, _) => Response::text(405, "not for this resource").with("Allow", route.methods()),
        };
        self.respond(conn, response, keep, None, out);
    }

    /// A set-up: gives the response, or none if it is to be waited for.
    #[expect(clippy::too_many_arguments, reason = "the parts of one request")]
    fn post(
        &mut self,
        now: Micros,
        conn: ConnId,
        name: String,
        title: &Title,
        booking: Option<String>,
        request: HttpRequest,
        out: &mut Vec<Wish>,
    ) -> Option<Response> {
        let class = self.classes.get(title.class)?;
        let paid = class.effect != crate::api::Effect::Safe;
        if request.content_type.as_deref() != Some("application/sdp") {
            let response = Response::text(415, "the body must be application/sdp");
            return Some(response.with("Accept-Post", "application/sdp"));
        }
        let offer =
            std::str::from_utf8(&request.body).ok().filter(|o| o.starts_with("v=0") && o.contains("\nm="));
        if offer.is_none() {
            return Some(Response::text(400, "the body is no session description"));
        }
        match (paid, &booking) {
            (true, None) => return Some(Response::text(400, "this title is set up at the URL of a booking")),
            (false, Some(_)) => return Some(Response::text(404, "this title takes no bookings")),
            _ => {}
        }
        let key = booking.map(|booking| BookingId { title: name.clone(), name: booking });
        if let Some(key) = &key
            && let Some(known) = self.bookings.get(key)
        {
            if known.offer != print(&request.body) {
                return Some(Response::text(409, "this booking came with another description"));
            }
            return match known.stage {
                Stage::Over => Some(Response::text(409, "this booking's session is over")),
                Stage::Failed(status) => Some(Response::text(status, "the set-up failed and may have run")),
                Stage::Held(id) => self.join(conn, id, request.keep_alive),
            };
        }
        if key.is_some() && self.bookings.len() >= self.setup.most_bookings {
            return Some(Response::text(503, "too many bookings").with("Retry-After", RETRY_S));
        }
        let id = std::iter::repeat_with(|| SessionId(self.rng.u64(1..)))
            .find(|id| !self.sessions.contains_key(id))?;
        if let Some(key) = &key {
            let (offer, stage) = (print(&request.body), Stage::Held(id));
            self.bookings.insert(key.clone(), Booking { offer, stage, at: now });
        }
        let mut ask = Request::new(id, Text::from(name), now + class.deadline, title.copies, usize::MAX);
        (ask.class, ask.tenant, ask.home, ask.top) =
            (title.class, title.tenant, title.home, Rung(usize::MAX));
        let waiters = BTreeSet::from([conn]);
        self.sessions.insert(id, Session { booking: key, waiters, answer: None, lost_at: None });
        if let Some(c) = self.conns.get_mut(&conn) {
            c.waits = Some((id, request.keep_alive));
        }
        out.push(Wish::Tell(Input::Request(ask, request.body.into())));
        None
    }

    /// A repeat joins the set-up that is open, or gets the answer that it had.
    fn join(&mut self, conn: ConnId, id: SessionId, keep: bool) -> Option<Response> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Some(Response::text(409, "this booking's session is over"));
        };
        if let Some(answer) = &session.answer {
            session.lost_at = None;
            return Some(created(id, answer));
        }
        session.waiters.insert(conn);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.waits = Some((id, keep));
        }
        None
    }

    /// Ends a session, or gives its set-up up; whoever waits for it gets the one answer.
    fn end(&mut self, now: Micros, id: SessionId, nothing_ran: bool, out: &mut Vec<Wish>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        out.push(Wish::Tell(Input::Left(id)));
        if let Some(key) = session.booking {
            // The booking stays spent, unless it is certain that nothing ran.
            if nothing_ran && session.answer.is_none() {
                self.bookings.remove(&key);
            } else {
                self.spend(now, &key, Stage::Over);
            }
        }
        self.tell_all(id, &session.waiters, &Response::text(409, "the set-up was deleted"), None, out);
    }

    fn spend(&mut self, now: Micros, key: &BookingId, stage: Stage) {
        if let Some(booking) = self.bookings.get_mut(key) {
            (booking.stage, booking.at) = (stage, now);
        }
    }

    fn tell_all(
        &mut self,
        id: SessionId,
        waiters: &BTreeSet<ConnId>,
        response: &Response,
        carries: Option<SessionId>,
        out: &mut Vec<Wish>,
    ) {
        for conn in waiters {
            let Some(c) = self.conns.get_mut(conn) else { continue };
            if let Some((of, keep)) = c.waits
                && of == id
            {
                c.waits = None;
                self.respond(*conn, response.clone(), keep, carries, out);
            }
        }
    }

    /// The session stands.
    pub fn plays(&mut self, now: Micros, id: SessionId, answer: Description, out: &mut Vec<Wish>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let waiters = std::mem::take(&mut session.waiters);
        session.answer = Some(answer.clone());
        if waiters.is_empty() {
            session.lost_at = Some(now + self.setup.reclaim);
        }
        self.tell_all(id, &waiters, &created(id, &answer), Some(id), out);
    }

    /// Refused: coming again is harmless, and the booking is free again.
    pub fn refused(&mut self, id: SessionId, wait: Micros, out: &mut Vec<Wish>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        if let Some(key) = session.booking {
            self.bookings.remove(&key);
        }
        let wait = if wait == Micros(0) { RETRY_S } else { wait.0.div_ceil(1_000_000) };
        let response = Response::text(503, "refused; coming again does no harm").with("Retry-After", wait);
        self.tell_all(id, &session.waiters, &response, None, out);
    }

    /// Failed.
    pub fn failed(&mut self, now: Micros, id: SessionId, why: Failure, out: &mut Vec<Wish>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let status = if why.deadline { 504 } else { 502 };
        if let Some(key) = session.booking {
            if why.may_have_run {
                self.spend(now, &key, Stage::Failed(status));
            } else {
                self.bookings.remove(&key);
            }
        }
        let response = Response::text(status, "the set-up failed");
        self.tell_all(id, &session.waiters, &response, None, out);
    }

    /// A session that stood is over.
    pub fn over(&mut self, now: Micros, id: SessionId) {
        if let Some(Session { booking: Some(key), .. }) = self.sessions.remove(&id) {
            self.spend(now, &key, Stage::Over);
        }
    }

    /// A connection has ended; of the answers named, not all was written.
    pub fn closed(&mut self, now: Micros, conn: ConnId, unfinished: &[SessionId], out: &mut Vec<Wish>) {
        let Some(c) = self.conns.remove(&conn) else { return };
        let waits = c.waits.map(|(id, _)| id);
        for id in waits.into_iter().chain(unfinished.iter().copied()) {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            session.waiters.remove(&conn);
            if !session.waiters.is_empty() {
                continue;
            }
            if session.booking.is_none() {
                // Nobody knows of it: it may be set up again without harm.
                self.sessions.remove(&id);
                out.push(Wish::Tell(Input::Left(id)));
            } else if session.answer.is_some() {
                session.lost_at = Some(now + self.setup.reclaim);
            }
            // A paid set-up runs to its end: its client may come back for the answer.
        }
    }

    /// Time has passed. Requests that waited their turn are read on.
    pub fn tick(&mut self, now: Micros, nothing_ran: &dyn Fn(SessionId) -> bool, out: &mut Vec<Wish>) {
        let due = |s: &Session| s.lost_at.is_some_and(|at| at <= now);
        let lost: Vec<SessionId> = self.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        for id in lost {
            self.end(now, id, false, out);
        }
        let spent = self.setup.spent;
        self.bookings.retain(|_, b| matches!(b.stage, Stage::Held(_)) || now - b.at < spent);
        for (conn, c) in &mut self.conns {
            if c.waits.is_some() || c.closing {
                continue;
            }
            let unfinished = c.begun.is_some_and(|at| now - at > UNFINISHED);
            if unfinished || now - c.used > IDLE {
                c.closing = true;
                out.push(Wish::Close(*conn, if unfinished { "unfinished" } else { "idle" }));
            }
        }
        self.read_on(now, nothing_ran, out);
    }

    /// The connection that waits for nothing and never asked anything, or else has been idle the longest.
    pub fn longest_idle(&self) -> Option<((bool, Micros), ConnId)> {
        let idle = self.conns.iter().filter(|(_, c)| c.waits.is_none() && !c.closing);
        idle.map(|(conn, c)| ((c.spoke, c.used), *conn)).min()
    }

    /// Lets a connection go, as descriptors are short.
    pub fn let_go(&mut self, conn: ConnId, out: &mut Vec<Wish>) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.closing = true;
            out.push(Wish::Close(conn, "no-room"));
        }
    }

    /// Reads requests that came behind one that has been answered by now.
    pub fn read_on(&mut self, now: Micros, nothing_ran: &dyn Fn(SessionId) -> bool, out: &mut Vec<Wish>) {
        let behind = |c: &Conn| c.waits.is_none() && !c.closing && c.decoder.held() > 0;
        let ready: Vec<ConnId> = self.conns.iter().filter(|(_, c)| behind(c)).map(|(id, _)| *id).collect();
        for conn in ready {
            self.requests(now, conn, nothing_ran, out);
        }
    }
}

fn etag(id: SessionId) -> String {
    format!("\"{:016x}\"", id.0)
}

fn created(id: SessionId, answer: &Description) -> Response {
    let response = Response { status: 201, headers: Vec::new(), body: answer.to_vec() };
    response
        .with("Content-Type", "application/sdp")
        .with("Location", format!("/sessions/{:016x}", id.0))
        .with("ETag", etag(id))
}
