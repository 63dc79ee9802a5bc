use super::*;
use crate::broker::Description;

const START: Micros = Micros(1_000_000_000);
const SERVER: &str = "m-a";

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 80).into()
}

fn after(ms: u64) -> Micros {
    START + Micros(ms * 1000)
}

/// A pool with one listed server, and what the pool has requested and reported.
struct Fixture {
    pool: Pool,
    now: Micros,
    out: Vec<Command>,
    events: Vec<PoolEvent>,
}

impl Fixture {
    fn new(end: Option<&str>) -> Fixture {
        let mut pool = Pool::default();
        let paths = Paths {
            set_up: "/whep/{title}?rung={rung}".into(),
            end: end.map(Text::from),
            events: Some("/events".into()),
        };
        pool.listed(&ServerId::new(SERVER), address(), &paths, ServerState::Ready, &mut Vec::new());
        Fixture { pool, now: START, out: Vec::new(), events: Vec::new() }
    }

    fn set_up(&mut self, id: u64) -> Result<(), Status> {
        let s = SetUp {
            id: SessionId(id),
            attempt: 0,
            server: ServerId::new(SERVER),
            class: 0,
            title: "blue sofa".into(),
            rung: Some(Rung(2)),
            wait: Micros(1_000_000),
            offer: Description::from(&b"v=0\r\n"[..]),
        };
        self.pool.set_up(self.now, &s, "clip", &mut self.out)
    }

    /// Returns the connections that were requested since the last call.
    fn dials(&mut self) -> Vec<ConnId> {
        let dial = |c: &Command| if let Command::Dial(conn, _) = c { Some(*conn) } else { None };
        let dials = self.out.iter().filter_map(dial).collect();
        self.out.retain(|c| dial(c).is_none());
        dials
    }

    fn open(&mut self, conn: ConnId) {
        self.pool.opened(self.now, conn, &mut self.out);
    }

    fn receive(&mut self, conn: ConnId, text: &str) {
        self.pool.bytes(self.now, conn, text.as_bytes(), &mut self.events, &mut self.out);
    }

    fn closed(&mut self, conn: ConnId, how: &ConnectionEnd) {
        self.pool.closed(self.now, conn, how, &mut self.events, &mut self.out);
    }

    /// Returns the requests that were written since the last call.
    fn written(&mut self) -> Vec<String> {
        let write = |c: &Command| match c {
            Command::Write(_, bytes, _) => Some(String::from_utf8_lossy(bytes).into_owned()),
            _ => None,
        };
        let written = self.out.iter().filter_map(write).collect();
        self.out.retain(|c| write(c).is_none());
        written
    }

    /// Advances the time to `ms` after the start, opens the connections that are requested meanwhile, and returns the
    /// first lines of the requests that were written.
    fn advance_to(&mut self, ms: u64) -> Vec<String> {
        let end = after(ms);
        while let Some(due) = self.pool.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.pool.tick(self.now, &mut self.out);
            for conn in self.dials() {
                self.open(conn);
            }
        }
        self.now = end;
        let written = self.written();
        written.iter().map(|w| w.lines().next().unwrap_or("").to_owned()).collect()
    }

    /// Establishes a session and returns its connection.
    fn establish(&mut self, id: u64, headers: &str) -> ConnId {
        self.set_up(id).unwrap();
        let conn = self.dials()[0];
        self.open(conn);
        let requests = self.written();
        assert!(requests[0].starts_with("POST /whep/blue%20sofa?rung=2 HTTP/1.1\r\n"), "{requests:?}");
        self.receive(conn, &created("/made/1", headers));
        assert!(
            matches!(self.events.first(), Some(PoolEvent::Answer(of, ..)) if of.0 == id),
            "{:?}",
            self.events
        );
        conn
    }
}

fn created(location: &str, headers: &str) -> String {
    let head = "HTTP/1.1 201 Created\r\nContent-Type: application/sdp\r\nContent-Length: 5\r\n";
    format!("{head}Location: {location}\r\n{headers}\r\nv=0\r\n")
}

const CONNECTION_RESET: ConnectionEnd =
    ConnectionEnd::Ended { unsent: Vec::new(), unfinished: Vec::new(), reset: true };

#[test]
fn reports_load_of_the_answer_and_ends_the_session_at_its_location() {
    let mut fixture = Fixture::new(None);
    let conn = fixture
        .establish(1, "endpoint-load-metrics: TEXT application_utilization=0.5,named_metrics.uplink=0.2\r\n");
    let notes: Vec<Note> = fixture
        .events
        .iter()
        .filter_map(|t| if let PoolEvent::Note(_, _, n) = t { Some(*n) } else { None })
        .collect();
    assert_eq!(notes, [Note::Link(0.5), Note::Uplink(0.2)]);
    fixture.pool.release(fixture.now, SessionId(1), &mut fixture.out);
    assert!(fixture.written()[0].starts_with("DELETE /made/1 HTTP/1.1\r\n"));
    assert_eq!(fixture.pool.pending_ends(), 1);
    fixture.receive(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((fixture.pool.pending_ends(), fixture.pool.holds(SessionId(1))), (0, false));
}

#[test]
fn repeats_a_delete_on_new_connections_up_to_the_limit() {
    let mut fixture = Fixture::new(None);
    let conn = fixture.establish(1, "");
    fixture.pool.release(fixture.now, SessionId(1), &mut fixture.out);
    fixture.written();
    fixture.closed(conn, &CONNECTION_RESET);
    let mut attempts = 1;
    for _ in 0..40 {
        let again = fixture.advance_to((fixture.now - START).0 / 1000 + 10_000);
        attempts += again.iter().filter(|line| line.starts_with("DELETE /made/1")).count();
        for conn in fixture.pool.conns.keys().copied().collect::<Vec<_>>() {
            fixture.closed(conn, &CONNECTION_RESET);
        }
    }
    assert_eq!((attempts, fixture.pool.pending_ends()), (MAX_END_ATTEMPTS as usize, 0));
    assert!(
        fixture.events.iter().any(|t| matches!(t, PoolEvent::Log(line) if line.starts_with("end not heard")))
    );
}

/// Guards against a session that plays on because its first DELETE came too early: when the answer to a set-up is
/// lost, the server may create the session after the first DELETE.
#[test]
fn repeats_a_delete_after_not_found_when_the_set_up_answer_was_lost() {
    let mut fixture = Fixture::new(Some("/by-name/{session}"));
    fixture.set_up(0xab).unwrap();
    let conn = fixture.dials()[0];
    fixture.open(conn);
    fixture.written();
    fixture.closed(conn, &CONNECTION_RESET);
    assert_eq!(
        fixture.events,
        [PoolEvent::Ended(SessionId(0xab), ServerId::new(SERVER), Status::Reset, Load::default())]
    );
    let mut attempts = 0;
    for n in 1..200 {
        for conn in fixture.dials() {
            fixture.open(conn);
        }
        let requests = fixture.advance_to(n * 100);
        let first = fixture.written();
        for line in requests.iter().chain(&first) {
            assert!(line.starts_with("DELETE /by-name/00000000000000ab"), "{line}");
            attempts += 1;
            let conn =
                fixture.pool.conns.iter().find(|(_, c)| c.exchange.is_some()).map(|(id, _)| *id).unwrap();
            fixture.receive(conn, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n");
        }
    }
    assert_eq!((attempts, fixture.pool.pending_ends()), (MIN_UNCONFIRMED_END_ATTEMPTS, 0));
}

#[test]
fn bounds_connections_and_queue_and_reports_queued_set_ups_as_unsent() {
    let mut fixture = Fixture::new(None);
    let capacity = MAX_CONNECTIONS_PER_SERVER + MAX_WAITING_EXCHANGES;
    for id in 1..=capacity as u64 {
        assert_eq!(fixture.set_up(id), Ok(()));
    }
    assert_eq!(fixture.set_up(0), Err(Status::Moot));
    let dials = fixture.dials();
    assert_eq!(dials.len(), MAX_CONNECTIONS_PER_SERVER);
    assert!(
        (1..=capacity as u64).all(|id| fixture.pool.waits(SessionId(id))),
        "nothing is written before a connection opens"
    );
    // A set-up that is given up while it waits is never sent.
    let waiting = MAX_CONNECTIONS_PER_SERVER as u64 + 1;
    fixture.pool.give_up(fixture.now, SessionId(waiting), &mut fixture.out);
    fixture.open(dials[0]);
    assert!(!fixture.pool.waits(SessionId(1)));
    fixture.receive(dials[0], &created("/made/1", ""));
    assert!(!fixture.pool.waits(SessionId(waiting + 1)), "the next set-up uses the connection");
    // The server refuses a connection: every queued set-up ends with a status that proves that nothing ran.
    fixture.events.clear();
    fixture.closed(dials[1], &ConnectionEnd::Refused);
    let ended = |t: &&PoolEvent| matches!(t, PoolEvent::Ended(_, _, Status::ConnectFailed, _));
    assert_eq!(fixture.events.iter().filter(ended).count(), 1 + MAX_WAITING_EXCHANGES - 2);
    assert!(fixture.events.contains(&PoolEvent::Refused(ServerId::new(SERVER))));
}

#[test]
fn ends_session_of_a_late_answer_and_aborts_when_no_answer_comes() {
    let mut fixture = Fixture::new(None);
    fixture.set_up(1).unwrap();
    let conn = fixture.dials()[0];
    fixture.open(conn);
    fixture.pool.give_up(fixture.now, SessionId(1), &mut fixture.out);
    fixture.written();
    fixture.receive(conn, &created("made/1", ""));
    assert!(fixture.events.is_empty(), "the set-up was given up");
    assert!(fixture.written()[0].starts_with("DELETE /whep/made/1 "), "relative to the path of the request");
    fixture.set_up(2).unwrap();
    let conn = fixture.dials()[0];
    fixture.open(conn);
    fixture.pool.give_up(fixture.now, SessionId(2), &mut fixture.out);
    fixture.written();
    fixture.advance_to(29_000);
    assert!(fixture.pool.has(conn));
    fixture.advance_to(31_000);
    assert!(fixture.out.contains(&Command::Abort(conn, "no-answer")));
}

/// Guards against an answer from the old address being taken for one of the server that has the same id at a new
/// address.
#[test]
fn aborts_set_up_as_reset_when_the_address_of_the_server_changes() {
    let mut fixture = Fixture::new(None);
    fixture.set_up(1).unwrap();
    let conn = fixture.dials()[0];
    fixture.open(conn);
    let paths = Paths { set_up: "/whep/{title}".into(), end: None, events: None };
    let elsewhere = ([127, 0, 0, 1], 81).into();
    assert!(fixture.pool.listed(
        &ServerId::new(SERVER),
        elsewhere,
        &paths,
        ServerState::Ready,
        &mut fixture.out
    ));
    assert!(fixture.out.contains(&Command::Abort(conn, "moved")));
    fixture.receive(conn, &created("/made/1", ""));
    assert!(fixture.events.is_empty());
    fixture.closed(conn, &CONNECTION_RESET);
    assert_eq!(
        fixture.events,
        [PoolEvent::Ended(SessionId(1), ServerId::new(SERVER), Status::Reset, Load::default())]
    );
}

#[test]
fn opens_a_new_connection_when_the_old_one_has_been_idle_too_long() {
    let mut fixture = Fixture::new(None);
    let conn = fixture.establish(1, "");
    fixture.set_up(2).unwrap();
    assert!(fixture.dials().is_empty(), "the connection is reused");
    fixture.receive(conn, &created("/made/2", ""));
    fixture.now = after(MAX_IDLE.0 / 1000);
    fixture.set_up(3).unwrap();
    assert_eq!(fixture.dials().len(), 1, "a new connection");
    fixture.pool.tick(fixture.now, &mut fixture.out);
    assert!(fixture.out.contains(&Command::Close(conn, "idle")));
}

#[test]
fn selects_a_layer_at_the_path_that_the_server_announced() {
    let mut fixture = Fixture::new(None);
    let layer = "Link: <http://media.example/made/1/layer>; rel=\"urn:ietf:params:whep:ext:core:layer\", <stun:a,b>; rel=ice-server\r\n";
    fixture.establish(1, layer);
    assert_eq!(fixture.pool.ice_links(SessionId(1)), ["<stun:a,b>; rel=ice-server"]);
    fixture.pool.change_rung(fixture.now, SessionId(1), Rung(3), &mut fixture.out);
    let requests = fixture.written();
    assert!(
        requests[0].starts_with("POST /made/1/layer ") && requests[0].ends_with("{\"encodingId\":\"3\"}"),
        "{requests:?}"
    );
}

#[test]
fn resource_path_keeps_only_the_path_of_the_location() {
    let path_of = |l: &str| resource_path(l, "/whep/sofa?rung=1");
    assert_eq!(path_of("/made/1").as_deref(), Some("/made/1"));
    assert_eq!(path_of("http://elsewhere.example:99/made/1?x=y#z").as_deref(), Some("/made/1?x=y"));
    assert_eq!(path_of("made/1").as_deref(), Some("/whep/made/1"));
    for none in ["", "/", "http://host", "/a b", "/a\r\nX: y"] {
        assert_eq!(path_of(none), None, "{none:?}");
    }
}

/// Checks that arbitrary bytes from a server, however they are split, cause no panic, and that each set-up ends with
/// exactly one event.
#[test]
fn reports_each_set_up_once_when_the_server_sends_garbage() {
    use proptest::prelude::*;
    let config = ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    };
    let piece = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..40),
        Just(created("/made/1", "").into_bytes()),
        Just(b"HTTP/1.1 503 x\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n".to_vec()),
        Just(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
    ];
    proptest!(config, |(pieces in proptest::collection::vec(piece, 1..8))| {
        let mut fixture = Fixture::new(None);
        fixture.set_up(1).unwrap();
        let conn = fixture.dials()[0];
        fixture.open(conn);
        for piece in pieces {
            fixture.pool.bytes(fixture.now, conn, &piece, &mut fixture.events, &mut fixture.out);
        }
        fixture.closed(conn, &CONNECTION_RESET);
        let settled = |t: &&PoolEvent| matches!(t, PoolEvent::Answer(..) | PoolEvent::Ended(..));
        prop_assert_eq!(fixture.events.iter().filter(settled).count(), 1, "{:?}", fixture.events);
    });
}

#[test]
fn reads_the_event_stream_of_a_server_that_holds_sessions() {
    let mut fixture = Fixture::new(None);
    fixture.pool.tick(fixture.now, &mut fixture.out);
    assert!(fixture.dials().is_empty(), "the server holds no session");
    fixture.establish(1, "");
    fixture.events.clear();
    fixture.pool.tick(fixture.now, &mut fixture.out);
    assert!(fixture.written()[0].starts_with("GET /events HTTP/1.1\r\n"));
    let conn = fixture.pool.conns.iter().find(|(_, c)| c.exchange.is_some()).map(|(id, _)| *id).unwrap();
    fixture.receive(conn, "HTTP/1.1 200 OK\r\n\r\ndata: {\"link\":0.8}\n\n");
    assert_eq!(fixture.events, [PoolEvent::Note(SessionId(1), ServerId::new(SERVER), Note::Link(0.8))]);
    fixture.receive(conn, "data: {\"ended\":\"/made/1\"}\n\ndata: {\"ended\":\"/made/1\"}\n\n");
    let ended = PoolEvent::Ended(SessionId(1), ServerId::new(SERVER), Status::Completed, Load::default());
    assert_eq!(fixture.events[1..], [ended], "reported once");
    assert!(!fixture.pool.holds(SessionId(1)));
    fixture.advance_to(29_000);
    assert!(!fixture.out.contains(&Command::Abort(conn, "no-answer")));
    fixture.advance_to(31_000);
    assert!(
        fixture.out.contains(&Command::Abort(conn, "no-answer")),
        "the stream has been silent for too long"
    );
}
