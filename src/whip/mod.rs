//! The front that speaks WHIP (RFC 9725) and WHEP: signalling over HTTP on the same core and rules. A state
//! machine of bytes; it decides nothing.
//!
//! A paid session is set up at a URL that names its booking. The booking is the key that keeps it from being
//! set up twice: a repeat of the same offer joins the set-up that is open, or gets the answer it had.

mod events;
mod route;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

pub use route::Route;

pub use crate::http::uri::encode;

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
/// A browser may remember for so many seconds what it may ask.
const PREFLIGHT_S: u64 = 600;
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
pub struct WhipConfig {
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
    /// `Link` headers that name ICE servers, for every answer.
    pub ice: Vec<String>,
}

/// What the front wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontAction {
    /// Tell the core.
    Tell(Input),
    /// Write a response; what carries a session's answer is marked by it.
    Write(ConnId, [Vec<u8>; 2], Option<SessionId>),
    /// End a connection once all is written.
    Close(ConnId, &'static str),
    /// The same, unless its client says something before: see [`WhipFront::keep_open`].
    CloseIfQuiet(ConnId, &'static str),
    /// Pass a fragment of trickle ICE on to the session's server; its answer comes by [`WhipFront::patched`].
    Patch {
        /// Who waits for it.
        conn: ConnId,
        /// The session.
        id: SessionId,
        /// Whatever the server's entity tag is.
        any: bool,
        /// The fragment.
        body: Vec<u8>,
    },
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
    /// What it asked last was a HEAD.
    head_only: bool,
    /// It is told what happens to the session that it waits for, to its end.
    streams: bool,
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
    /// `Link` headers that came with the answer.
    ice: Vec<String>,
    /// Connections that are told what happens to it.
    streams: BTreeSet<ConnId>,
    /// Counts ICE sessions, for the entity tag.
    ice_session: u32,
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
pub struct WhipFront {
    setup: WhipConfig,
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

impl WhipFront {
    /// A front for these classes.
    pub fn new(setup: WhipConfig, classes: Vec<Class>, seed: u64) -> WhipFront {
        let rng = fastrand::Rng::with_seed(seed);
        let (conns, sessions, bookings) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        WhipFront { setup, classes, rng, conns, sessions, bookings, stopping: false }
    }

    /// From now on new requests follow this set-up.
    pub fn reload(&mut self, setup: WhipConfig) {
        self.setup = setup;
    }

    /// The titles by name.
    pub fn titles(&self) -> &BTreeMap<String, Title> {
        &self.setup.titles
    }

    /// Takes new titles in; sessions that stand play on.
    pub fn replace_titles(&mut self, titles: BTreeMap<String, Title>) {
        self.setup.titles = titles;
    }

    /// Whether connections are kept; else each ends with its next response.
    pub fn keep(&mut self, kept: bool) {
        self.stopping = !kept;
    }

    /// Other classes from now on; those that sessions refer to keep their numbers.
    pub fn reclass(&mut self, classes: Vec<Class>) {
        self.classes = classes;
    }

    /// Whether nobody is connected and no session is held.
    pub fn idle(&self) -> bool {
        self.conns.is_empty() && self.sessions.is_empty()
    }

    /// Whether a session is one of this front's.
    pub fn owns(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// The connections that wait for a session's answer.
    pub fn waiters(&self, id: SessionId) -> Vec<ConnId> {
        self.sessions.get(&id).map(|s| s.waiters.iter().copied().collect()).unwrap_or_default()
    }

    /// An attempt is about to leave for a session: whether nobody waits for its answer any more. It is over then, and
    /// its booking free again, as nothing has run.
    pub fn deserted(&mut self, now: Micros, id: SessionId, out: &mut Vec<FrontAction>) -> bool {
        let deserted = self.sessions.get(&id).is_some_and(|s| s.waiters.is_empty() && s.answer.is_none());
        if deserted {
            self.end(now, id, true, out);
        }
        deserted
    }

    /// Whether it is one of this front's connections.
    pub fn has(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, now: Micros, conn: ConnId) {
        self.conns.insert(conn, Conn { used: now, ..Conn::default() });
    }

    /// The memory that the bytes which a connection has received hold, in bytes.
    pub fn held_bytes(&self, conn: ConnId) -> usize {
        self.conns.get(&conn).map_or(0, |c| c.decoder.held_bytes())
    }

    /// Bytes came. `nothing_ran` tells of a session that is being set up whether that is certain.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<FrontAction>,
    ) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if c.closing {
            return;
        }
        c.used = now;
        c.decoder.feed(bytes);
        if c.waits.is_some() && c.decoder.buffered_bytes() > MOST_AHEAD {
            return out.push(FrontAction::Close(conn, "too-far-ahead"));
        }
        self.requests(now, conn, nothing_ran, out);
    }

    /// Requests of one connection are answered one after the other.
    fn requests(
        &mut self,
        now: Micros,
        conn: ConnId,
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<FrontAction>,
    ) {
        while let Some(c) = self.conns.get_mut(&conn).filter(|c| c.waits.is_none() && !c.closing) {
            match c.decoder.next_request(LONGEST_OFFER) {
                Ok(Some(request)) => {
                    (c.begun, c.spoke) = (None, true);
                    self.request(now, conn, request, nothing_ran, out);
                }
                Ok(None) => {
                    if c.decoder.take_expect_continue(LONGEST_OFFER) {
                        out.push(FrontAction::Write(
                            conn,
                            [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), Vec::new()],
                            None,
                        ));
                    }
                    c.begun = if c.decoder.has_partial_request() { c.begun.or(Some(now)) } else { None };
                    return;
                }
                Err(error) => {
                    let response =
                        Response::problem(error.status(), error.code(), "the request can't be read");
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
        out: &mut Vec<FrontAction>,
    ) {
        let response = response
            .with("Access-Control-Allow-Origin", &self.setup.origin)
            .with("Access-Control-Expose-Headers", EXPOSED);
        let status = response.status;
        let keep_alive = keep_alive && !self.stopping;
        let mut pieces = response.encode(keep_alive);
        // The answer to HEAD has the head of another method's answer and no body (RFC 9110, 9.3.2).
        if self.conns.get_mut(&conn).is_some_and(|c| std::mem::take(&mut c.head_only)) {
            pieces[1].clear();
        }
        out.push(FrontAction::Write(conn, pieces, carries));
        if !keep_alive {
            if let Some(c) = self.conns.get_mut(&conn) {
                c.closing = true;
            }
            let reason = if matches!(status, 400 | 413 | 431 | 505) { "bad-request" } else { "done" };
            out.push(FrontAction::Close(conn, reason));
        }
    }

    fn request(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: HttpRequest,
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<FrontAction>,
    ) {
        let keep = request.keep_alive;
        if let Some(c) = self.conns.get_mut(&conn) {
            c.head_only = request.method == "HEAD";
        }
        let route = Route::parse(&request.target);
        let known = |name: &str| self.setup.titles.get(name).cloned();
        let title = match &route {
            None => None,
            Some(Route::Title(name) | Route::Booking(name, _)) => {
                known(name).map(|t| (name.clone(), Some(t)))
            }
            Some(Route::Session(_) | Route::Events(_)) => Some((String::new(), None)),
        };
        let (Some(route), Some((name, title))) = (route, title) else {
            return self.respond(
                conn,
                Response::problem(404, "no-resource", "no such resource"),
                keep,
                None,
                out,
            );
        };
        let response = match (request.method.as_str(), route, title) {
            ("OPTIONS", route, _) => options(&route, &self.setup.ice),
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
                let session = self.sessions.get(&id).filter(|s| s.answer.is_some());
                match session.map(|s| etag(id, s.ice_session)) {
                    None => no_session(),
                    Some(tag) if request.if_match.as_deref().is_some_and(|t| !matches(t, &tag)) => stale(),
                    Some(_) => {
                        self.end(now, id, false, out);
                        Response::text(200, "")
                    }
                }
            }
            ("POST", Route::Events(id), _) if self.standing(id) => {
                Response { status: 201, headers: Vec::new(), body: Vec::new() }
                    .with("Location", events::path(id))
            }
            ("GET", Route::Events(id), _) if self.standing(id) => match self.listen(now, conn, id, out) {
                Some(response) => response,
                None => return,
            },
            ("GET" | "POST", Route::Events(_), _) => no_session(),
            ("PATCH", Route::Session(id), _) => match self.patch(conn, id, request, out) {
                Some(response) => response,
                None => return,
            },
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
                    None => no_session(),
                    Some(id) => {
                        self.end(now, id, nothing_ran(id), out);
                        Response::text(200, "")
                    }
                }
            }
            (_, route, _) => not_allowed(route.methods()),
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
        out: &mut Vec<FrontAction>,
    ) -> Option<Response> {
        let class = self.classes.get(title.class)?;
        let paid = class.idempotency != crate::api::Idempotency::Safe;
        if request.content_type.as_deref() != Some("application/sdp") {
            let response = Response::problem(415, "not-sdp", "the body must be application/sdp");
            return Some(response.with("Accept-Post", "application/sdp"));
        }
        let offer =
            std::str::from_utf8(&request.body).ok().filter(|o| o.starts_with("v=0") && o.contains("\nm="));
        if offer.is_none() {
            return Some(Response::problem(400, "no-description", "the body is no session description"));
        }
        match (paid, &booking) {
            (true, None) => {
                return Some(Response::problem(
                    400,
                    "no-booking",
                    "this title is set up at the URL of a booking",
                ));
            }
            (false, Some(_)) => {
                return Some(Response::problem(404, "no-bookings", "this title takes no bookings"));
            }
            _ => {}
        }
        let key = booking.map(|booking| BookingId { title: name.clone(), name: booking });
        if let Some(key) = &key
            && let Some(known) = self.bookings.get(key)
        {
            if known.offer != print(&request.body) {
                return Some(Response::problem(
                    409,
                    "other-description",
                    "this booking came with another description",
                ));
            }
            return match known.stage {
                Stage::Over => Some(Response::problem(409, "booking-over", "this booking's session is over")),
                Stage::Failed(status) => {
                    Some(Response::problem(status, "may-have-run", "the set-up failed and may have run"))
                }
                Stage::Held(id) => self.join(conn, id, request.keep_alive),
            };
        }
        if key.is_some() && self.bookings.len() >= self.setup.most_bookings {
            return Some(
                Response::problem(503, "too-many-bookings", "too many bookings").with("Retry-After", RETRY_S),
            );
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
        self.sessions.insert(
            id,
            Session {
                booking: key,
                waiters,
                answer: None,
                ice: Vec::new(),
                streams: BTreeSet::new(),
                ice_session: 0,
                lost_at: None,
            },
        );
        if let Some(c) = self.conns.get_mut(&conn) {
            c.waits = Some((id, request.keep_alive));
        }
        out.push(FrontAction::Tell(Input::Request(ask, request.body.into())));
        None
    }

    /// A repeat joins the set-up that is open, or gets the answer that it had.
    fn join(&mut self, conn: ConnId, id: SessionId, keep: bool) -> Option<Response> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Some(Response::problem(409, "booking-over", "this booking's session is over"));
        };
        if let Some(answer) = &session.answer {
            session.lost_at = None;
            return Some(created(id, answer, session.ice_session, &session.ice));
        }
        session.waiters.insert(conn);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.waits = Some((id, keep));
        }
        None
    }

    /// Ends a session, or gives its set-up up; whoever waits for it gets the one answer.
    fn end(&mut self, now: Micros, id: SessionId, nothing_ran: bool, out: &mut Vec<FrontAction>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.hang_up(&session, "ended", out);
        out.push(FrontAction::Tell(Input::ClientLeft(id)));
        if let Some(key) = session.booking {
            // The booking stays spent, unless it is certain that nothing ran.
            if nothing_ran && session.answer.is_none() {
                self.bookings.remove(&key);
            } else {
                self.spend(now, &key, Stage::Over);
            }
        }
        self.tell_all(
            id,
            &session.waiters,
            &Response::problem(409, "deleted", "the set-up was deleted"),
            None,
            out,
        );
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
        out: &mut Vec<FrontAction>,
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

    /// Trickle ICE and ICE restarts (RFC 9725, 4.3): gives the response, or none if the server is asked.
    fn patch(
        &mut self,
        conn: ConnId,
        id: SessionId,
        request: HttpRequest,
        out: &mut Vec<FrontAction>,
    ) -> Option<Response> {
        let Some(session) = self.sessions.get(&id).filter(|s| s.answer.is_some()) else {
            return Some(no_session());
        };
        if request.content_type.as_deref() != Some(FRAGMENT) {
            let response =
                Response::problem(415, "not-a-fragment", "the body must be a trickle ICE fragment");
            return Some(response.with("Accept-Patch", FRAGMENT));
        }
        let Some(asked) = request.if_match.as_deref() else {
            return Some(Response::problem(428, "no-if-match", "If-Match is required"));
        };
        if !matches(asked, &etag(id, session.ice_session)) {
            return Some(stale());
        }
        let fragment = std::str::from_utf8(&request.body).ok();
        if fragment.is_none_or(|f| !f.lines().any(|l| l.starts_with("a=ice-ufrag:"))) {
            return Some(Response::problem(400, "no-fragment", "the body is no trickle ICE fragment"));
        }
        if let Some(c) = self.conns.get_mut(&conn) {
            c.waits = Some((id, request.keep_alive));
        }
        let any = asked.trim() == "*";
        out.push(FrontAction::Patch { conn, id, any, body: request.body });
        None
    }

    /// The server has answered a fragment; none: it gave no answer.
    pub fn patched(
        &mut self,
        conn: ConnId,
        id: SessionId,
        answer: Option<crate::http::client::Response>,
        out: &mut Vec<FrontAction>,
    ) {
        let response = match answer {
            None => Response::problem(502, "patch-failed", "the server gave no answer"),
            Some(answer) => match answer.status {
                200 => {
                    // An ICE restart: from now on another entity tag stands for it.
                    let session = self.sessions.get_mut(&id).map(|s| {
                        s.ice_session += 1;
                        s.ice_session
                    });
                    let body = Response { status: 200, headers: Vec::new(), body: answer.body };
                    body.with("Content-Type", FRAGMENT).with("ETag", etag(id, session.unwrap_or_default()))
                }
                201..=299 => Response::text(204, ""),
                405 | 501 => return self.unpatchable(conn, id, out),
                412 => stale(),
                status @ (400 | 404 | 409 | 415 | 422 | 428) => {
                    Response::problem(status, "patch-refused", "the server refused the fragment")
                }
                _ => Response::problem(502, "patch-failed", "the server failed"),
            },
        };
        self.patch_response(conn, id, response, out);
    }

    /// The session's server takes no fragments.
    pub fn unpatchable(&mut self, conn: ConnId, id: SessionId, out: &mut Vec<FrontAction>) {
        self.patch_response(conn, id, not_allowed("DELETE, OPTIONS"), out);
    }

    fn patch_response(
        &mut self,
        conn: ConnId,
        id: SessionId,
        response: Response,
        out: &mut Vec<FrontAction>,
    ) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let Some((_, keep)) = c.waits.take_if(|(of, _)| *of == id) {
            self.respond(conn, response, keep, None, out);
        }
    }

    /// The session stands.
    pub fn plays(
        &mut self,
        now: Micros,
        id: SessionId,
        answer: Description,
        ice: Vec<String>,
        out: &mut Vec<FrontAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let waiters = std::mem::take(&mut session.waiters);
        session.answer = Some(answer.clone());
        let own = &self.setup.ice;
        let more = ice.into_iter().filter(|link| !own.contains(link));
        session.ice = own.iter().cloned().chain(more).collect();
        let created = created(id, &answer, 0, &session.ice);
        if waiters.is_empty() {
            session.lost_at = Some(now + self.setup.reclaim);
        }
        self.tell_all(id, &waiters, &created, Some(id), out);
    }

    /// Refused: coming again is harmless, and the booking is free again.
    pub fn refused(&mut self, id: SessionId, wait: Micros, out: &mut Vec<FrontAction>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        if let Some(key) = session.booking {
            self.bookings.remove(&key);
        }
        let wait = if wait == Micros(0) { RETRY_S } else { wait.0.div_ceil(1_000_000) };
        let response =
            Response::problem(503, "refused", "refused; coming again does no harm").with("Retry-After", wait);
        self.tell_all(id, &session.waiters, &response, None, out);
    }

    /// Failed.
    pub fn failed(&mut self, now: Micros, id: SessionId, why: Failure, out: &mut Vec<FrontAction>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let status = if why.deadline_passed { 504 } else { 502 };
        if let Some(key) = session.booking {
            if why.may_have_run {
                self.spend(now, &key, Stage::Failed(status));
            } else {
                self.bookings.remove(&key);
            }
        }
        let code = if why.deadline_passed { "out-of-time" } else { "failed" };
        let response = Response::problem(status, code, "the set-up failed");
        self.tell_all(id, &session.waiters, &response, None, out);
    }

    /// A session that stood is over, or moved: then its client is to come again.
    pub fn over(&mut self, now: Micros, id: SessionId, moved: bool, out: &mut Vec<FrontAction>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.hang_up(&session, if moved { "moved" } else { "ended" }, out);
        if let Some(key) = session.booking {
            self.spend(now, &key, Stage::Over);
        }
    }

    /// A connection has ended; of the answers named, not all was written.
    pub fn closed(
        &mut self,
        now: Micros,
        conn: ConnId,
        unfinished: &[SessionId],
        out: &mut Vec<FrontAction>,
    ) {
        let Some(c) = self.conns.remove(&conn) else { return };
        let waits = c.waits.map(|(id, _)| id);
        for id in waits.into_iter().chain(unfinished.iter().copied()) {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            // It may have listened, or waited for the answer to a fragment: the session plays on without it.
            session.streams.remove(&conn);
            if !session.waiters.remove(&conn) && !unfinished.contains(&id) || !session.waiters.is_empty() {
                continue;
            }
            if session.booking.is_none() {
                // Nobody knows of it: it may be set up again without harm.
                self.sessions.remove(&id);
                out.push(FrontAction::Tell(Input::ClientLeft(id)));
            } else if session.answer.is_some() {
                session.lost_at = Some(now + self.setup.reclaim);
            }
            // A paid set-up runs to its end: its client may come back for the answer.
        }
    }

    /// Time has passed. Requests that waited their turn are read on.
    pub fn tick(&mut self, now: Micros, nothing_ran: &dyn Fn(SessionId) -> bool, out: &mut Vec<FrontAction>) {
        let due = |s: &Session| s.lost_at.is_some_and(|at| at <= now);
        let lost: Vec<SessionId> = self.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        for id in lost {
            self.end(now, id, false, out);
        }
        let spent = self.setup.spent;
        self.bookings.retain(|_, b| matches!(b.stage, Stage::Held(_)) || now - b.at < spent);
        for (conn, c) in &mut self.conns {
            if c.waits.is_some() && c.streams && now - c.used >= events::COMMENT_EVERY {
                c.used = now;
                out.push(FrontAction::Write(*conn, [events::comment(), Vec::new()], None));
            }
            if c.waits.is_some() || c.closing {
                continue;
            }
            let unfinished = c.begun.is_some_and(|at| now - at > UNFINISHED);
            if unfinished || now - c.used > IDLE {
                c.closing = true;
                out.push(if unfinished {
                    FrontAction::Close(*conn, "unfinished")
                } else {
                    FrontAction::CloseIfQuiet(*conn, "idle")
                });
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
    pub fn let_go(&mut self, conn: ConnId, out: &mut Vec<FrontAction>) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.closing = true;
            out.push(FrontAction::CloseIfQuiet(conn, "no-room"));
        }
    }

    /// A connection that was to be let go stays: its client has said something.
    pub fn keep_open(&mut self, now: Micros, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            (c.closing, c.used) = (false, now);
        }
    }

    /// Reads requests that came behind one that has been answered by now.
    pub fn read_on(
        &mut self,
        now: Micros,
        nothing_ran: &dyn Fn(SessionId) -> bool,
        out: &mut Vec<FrontAction>,
    ) {
        let behind = |c: &Conn| c.waits.is_none() && !c.closing && c.decoder.buffered_bytes() > 0;
        let ready: Vec<ConnId> = self.conns.iter().filter(|(_, c)| behind(c)).map(|(id, _)| *id).collect();
        for conn in ready {
            self.requests(now, conn, nothing_ran, out);
        }
    }
}

/// Types of bodies and headers of this front.
const FRAGMENT: &str = crate::edge::FRAGMENT;
const EXPOSED: &str = "Location, ETag, Link, Retry-After, Allow, Accept-Post, Accept-Patch";

fn etag(id: SessionId, ice_session: u32) -> String {
    if ice_session == 0 { format!("\"{:016x}\"", id.0) } else { format!("\"{:016x}-{ice_session}\"", id.0) }
}

/// Whether `If-Match` holds (RFC 9110, 13.1.1): any, or one of a list, compared strongly.
fn matches(asked: &str, tag: &str) -> bool {
    asked.trim() == "*" || asked.split(',').any(|t| t.trim() == tag)
}

fn no_session() -> Response {
    Response::problem(404, "no-session", "no such session")
}

fn stale() -> Response {
    Response::problem(412, "stale-tag", "another entity tag")
}

fn not_allowed(methods: &str) -> Response {
    Response::problem(405, "not-allowed", "not for this resource").with("Allow", methods)
}

fn options(route: &Route, ice: &[String]) -> Response {
    let mut response = Response::text(204, "")
        .with("Allow", route.methods())
        .with("Access-Control-Allow-Methods", route.methods())
        .with("Access-Control-Allow-Headers", "Content-Type, If-Match, Authorization")
        .with("Access-Control-Max-Age", PREFLIGHT_S);
    response = match route {
        Route::Session(_) => response.with("Accept-Patch", FRAGMENT),
        Route::Events(_) => response,
        Route::Title(_) | Route::Booking(..) => response.with("Accept-Post", "application/sdp"),
    };
    ice.iter().fold(response, |response, link| response.with("Link", link))
}

fn created(id: SessionId, answer: &Description, ice_session: u32, ice: &[String]) -> Response {
    let response = Response { status: 201, headers: Vec::new(), body: answer.to_vec() };
    let response = response
        .with("Content-Type", "application/sdp")
        .with("Location", format!("/sessions/{:016x}", id.0))
        .with("ETag", etag(id, ice_session))
        .with("Accept-Patch", FRAGMENT)
        .with("Link", events::link(id));
    ice.iter().fold(response, |response, link| response.with("Link", link))
}
