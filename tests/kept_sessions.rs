//! Sessions that clients name with `at` and that no server knows: nothing ends them, so neither the work at each event nor
//! the room for requests may depend on how many the broker keeps.

mod common;

use std::time::{Duration, Instant};

use amberspindle::api::*;
use amberspindle::broker::{Broker, Effect, Input};
use common::*;

const SERVERS: u32 = 6;
const KEPT: u64 = 30_000;
/// Time for all requests beside the kept sessions. With a scan of all sessions at each attempt, one took some seconds.
const TIME_LIMIT: Duration = Duration::from_secs(20);
const SESSION_MEMORY: usize = 64 * 1024;

fn named(id: u64, class: usize, title: &str) -> Request {
    let mut request = Request::new(SessionId(id), Text::from(title), ms(0), 6, 3);
    request.class = class;
    request
}

/// Guards against a broker that stands still: each attempt and each note planned the rungs of all sessions of a rack, in
/// a time that grew with the square of their number (review/10).
#[test]
fn cost_of_a_request_does_not_grow_with_the_sessions_that_are_kept() {
    let mut module = ModuleHarness::new(settings(), SERVERS);
    for id in 0..KEPT {
        let (class, title) = if id % 2 == 0 { (LIVE, format!("t{id}")) } else { (CLIP, "clip".to_owned()) };
        let request = named(1_000_000 + id, class, &title);
        let at = server((id % u64::from(SERVERS)) as u32);
        module.tell(Event::ExistingSession { request, server: at });
    }
    let started = Instant::now();
    for id in 0..200 {
        let sent = sends(&module.ask(id, if id % 2 == 0 { LIVE } else { CLIP }, "usual"));
        for (session, to) in sent {
            module.first(session.0, &to);
            module.note(session.0, &to, Note::Link(0.9));
            module.outcome(session.0, &to, Status::Completed, true);
        }
        assert!(started.elapsed() < TIME_LIMIT, "{id} requests took {:?}", started.elapsed());
    }
}

fn broker() -> Broker {
    let mut broker = Broker::new(settings(), 1).with_memory_limit(SESSION_MEMORY, ms(400));
    let servers =
        (0..SERVERS).map(|n| ServerEntry::new(server(n), ServerState::Ready, n)).collect::<Vec<_>>();
    broker.handle(ms(1), Input::Servers { kind: ListKind::Complete, servers }, &mut Vec::new());
    broker
}

fn name(broker: &mut Broker, now: Micros, id: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    broker.handle(now, Input::NamedSession(named(id, CLIP, "t"), server(0)), &mut out);
    out
}

fn is_refused(effects: &[Effect], id: u64) -> bool {
    effects.contains(&Effect::Ended(SessionId(id), Status::Reset))
}

/// Guards against clients that fill the memory with sessions that do not exist, so that all requests are refused for good.
#[test]
fn sessions_that_no_server_confirms_leave_room_for_requests() {
    let mut broker = broker();
    let refused = (0..100).filter(|id| is_refused(&name(&mut broker, ms(10), 1000 + id), 1000 + id)).count();
    let stats = broker.unconfirmed_stats();
    assert!(refused > 0 && stats.refused == refused as u64, "{stats:?}");
    assert!(broker.session_bytes() <= SESSION_MEMORY / 2);
    let mut out = Vec::new();
    let mut request = named(1, CLIP, "t");
    request.due = ms(4000);
    broker.handle(ms(20), Input::Request(request, b"offer"[..].into()), &mut out);
    assert!(out.iter().any(|effect| matches!(effect, Effect::SetUp(_))), "{out:?}");
    // A note of its server confirms a session, which then takes no room from others.
    let note = Input::Note { id: SessionId(1000), server: server(0), note: Note::Link(0.1) };
    broker.handle(ms(30), note, &mut Vec::new());
    assert_eq!(broker.unconfirmed_stats().sessions, stats.sessions - 1);
    assert!(!is_refused(&name(&mut broker, ms(30), 2000), 2000));
}

/// Guards against sessions that do not exist and take the place of those that do for good: an old unconfirmed session is
/// released towards its client and its server when another needs its place, and a confirmed one is not.
#[test]
fn unconfirmed_session_gives_its_place_up_after_its_lease() {
    let mut broker = broker();
    let held: Vec<u64> =
        (1000..1100).filter(|id| !is_refused(&name(&mut broker, ms(10), *id), *id)).collect();
    let note = Input::Note { id: SessionId(1000), server: server(0), note: Note::Link(0.1) };
    broker.handle(ms(20), note, &mut Vec::new());
    assert!(!is_refused(&name(&mut broker, ms(30), 2000), 2000));
    let after_lease = ms(601_000);
    let effects = name(&mut broker, after_lease, 3000);
    assert!(!is_refused(&effects, 3000), "{effects:?}");
    assert!(effects.contains(&Effect::Release(SessionId(1001), server(0))), "{effects:?}");
    assert!(is_refused(&effects, 1001));
    assert!(broker.has_session(SessionId(1000)) && broker.has_session(SessionId(3000)));
    assert_eq!(broker.unconfirmed_stats().expired, 1);
    assert_eq!(broker.established(), held.len() + 1);
}
