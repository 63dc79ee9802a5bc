//! WHIP and WHEP over sockets, before stand-in edge servers.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Shutdown;

use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const OTHER: &str = "v=0\r\no=- 2 2 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 97\r\n";
const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
const BOOKING: &str = "/whip/walk/bookings/b-1";

#[test]
fn a_session_is_set_up_and_deleted() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "");
    let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
    let id = edge.wait_for_set_up(1);
    assert_eq!((made.status, made.body), (201, edge_answer(id, OFFER)));
    assert_eq!(edge.set_ups()[0].1, OFFER);
    assert_eq!(made.head.matches("application/sdp").count(), 1);
    let tag = format!("\"{:016x}\"", id.0);
    let place = made.head.lines().find_map(|l| l.strip_prefix("Location: ")).unwrap();
    assert!(made.head.contains(&format!("ETag: {tag}")));
    let mut stream = program.connect("http");
    let fragment = "a=ice-ufrag:x\r\na=ice-pwd:y\r\n";
    stream.write_all(&patch(place, Some("*"), fragment)).unwrap();
    let patched = reply(&mut stream).unwrap();
    assert_eq!((patched.status, patched.header("allow")), (405, Some("DELETE, OPTIONS")));
    assert_eq!(ask(&program, "DELETE", place, None).status, 200);
    edge.released(id, 1);
    assert_eq!(ask(&program, "DELETE", place, None).status, 404);
}

#[test]
fn what_can_not_be_served_is_told_why_on_one_connection() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "");
    let mut stream = program.connect("http");
    let mut on = |request: Vec<u8>| {
        stream.write_all(&request).unwrap();
        reply(&mut stream).unwrap()
    };
    assert_eq!(on(http("POST", "/whip/none", Some(OFFER))).status, 404);
    assert_eq!(on(http("GET", "/", None)).status, 404);
    assert_eq!(on(http("POST", "/whip/walk", Some(OFFER))).status, 400, "a paid title wants a booking");
    assert_eq!(on(http("POST", "/whip/guide/bookings/b", Some(OFFER))).status, 404);
    assert_eq!(on(http("POST", "/whip/guide", Some("hello"))).status, 400);
    assert_eq!(on(http("POST", "/whip/guide", None)).status, 415);
    let get = on(http("GET", "/whip/guide", None));
    assert_eq!((get.status, get.header("allow")), (405, Some("POST, OPTIONS")));
    let options = on(http("OPTIONS", BOOKING, None));
    assert_eq!((options.status, options.header("accept-post")), (204, Some("application/sdp")));
    assert_eq!(options.header("access-control-allow-methods"), Some("POST, DELETE, OPTIONS"));
    assert_eq!(options.header("access-control-allow-origin"), Some("*"));
    assert_eq!(on(http("POST", "/whip/guide", Some(&"x".repeat(20_000)))).status, 413);
    assert!(edge.set_ups().is_empty());
    let mut broken = program.connect("http");
    broken.write_all(b"no http\r\n\r\n").unwrap();
    assert_eq!(reply(&mut broken).unwrap().status, 400);
    program.wait_for_log("peer=http");
    program.wait_for_log("reason=bad-request");
}

#[test]
fn a_booking_is_set_up_once_whatever_is_repeated() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "");
    let first = ask(&program, "POST", BOOKING, Some(OFFER));
    let again = ask(&program, "POST", BOOKING, Some(OFFER));
    assert_eq!(first.status, 201);
    assert_eq!(first, again);
    assert_eq!(ask(&program, "POST", BOOKING, Some(OTHER)).status, 409);
    assert_eq!(ask(&program, "DELETE", BOOKING, None).status, 200);
    edge.released(edge.wait_for_set_up(1), 1);
    assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, 409, "the booking is spent");
    assert_eq!(edge.set_ups().len(), 1);
}

#[test]
fn full_servers_lead_to_a_refusal_and_the_booking_stays_free() {
    let edge = Edge::start(EdgeBehaviour::Full);
    let program = Program::whip(&[&edge], 800.0, "");
    let refused = ask(&program, "POST", BOOKING, Some(OFFER));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
    edge.set_behaviour(EdgeBehaviour::Answers);
    // The server that was full is left alone for a while: a refusal in between does no harm.
    let made = std::iter::repeat_with(|| ask(&program, "POST", BOOKING, Some(OFFER)).status);
    assert_eq!(made.take(20).find(|s| *s != 503), Some(201));
}

#[test]
fn a_paid_set_up_that_may_have_run_is_not_sent_again() {
    for (manner, deadline, status) in [
        (EdgeBehaviour::Fails, UNREACHED_DEADLINE_MS, 502),
        (EdgeBehaviour::Breaks, UNREACHED_DEADLINE_MS, 502),
        (EdgeBehaviour::Silent, 1500.0, 504),
    ] {
        let edges = [Edge::start(manner), Edge::start(manner)];
        let program = Program::whip(&[&edges[0], &edges[1]], deadline, "");
        assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, status, "{manner:?}");
        edges.iter().for_each(|e| e.set_behaviour(EdgeBehaviour::Answers));
        assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, status, "the answer it had");
        assert_eq!(edges.iter().map(|e| e.set_ups().len()).sum::<usize>(), 1, "{manner:?}");
    }
}

#[test]
fn a_delete_during_an_attempt_gives_one_answer_and_releases_a_late_one() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "");
    let mut post = program.connect("http");
    post.write_all(&http("POST", BOOKING, Some(OFFER))).unwrap();
    let id = edge.wait_for_set_up(1);
    assert_eq!(ask(&program, "DELETE", BOOKING, None).status, 200);
    assert_eq!(reply(&mut post).unwrap().status, 409);
    edge.released(id, 1);
    edge.send_answer(id);
    edge.released(id, 2);
    assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, 409, "the booking is spent");
    assert_eq!(edge.set_ups().len(), 1);
    // One answer and no more: the next one on that connection is the next request's.
    post.write_all(&http("GET", "/none", None)).unwrap();
    assert_eq!(reply(&mut post).unwrap().status, 404);
}

#[test]
fn a_paid_set_up_outlives_its_connection_and_can_be_claimed() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "");
    let mut post = program.connect("http");
    post.write_all(&http("POST", BOOKING, Some(OFFER))).unwrap();
    let id = edge.wait_for_set_up(1);
    post.shutdown(Shutdown::Both).unwrap();
    program.wait_for_log("peer=http");
    edge.send_answer(id);
    let claimed = ask(&program, "POST", BOOKING, Some(OFFER));
    assert_eq!((claimed.status, claimed.body), (201, edge_answer(id, OFFER)));
    assert_eq!(edge.set_ups().len(), 1);
}

#[test]
fn a_paid_session_that_nobody_claims_is_released_and_an_unpaid_one_given_up() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let program = Program::whip(&[&edge], UNREACHED_DEADLINE_MS, "reclaim_ms = 50");
    for (n, path) in [BOOKING, "/whep/guide"].into_iter().enumerate() {
        let mut post = program.connect("http");
        post.write_all(&http("POST", path, Some(OFFER))).unwrap();
        let id = edge.wait_for_set_up(n + 1);
        post.shutdown(Shutdown::Both).unwrap();
        if path == BOOKING {
            program.wait_for_log("peer=http");
            edge.send_answer(id);
        }
        edge.released(id, 1);
    }
    assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, 409);
}

/// Connections are cut at random points of many paid set-ups, and some are deleted in between; servers answer, fail, break or turn away. Each
/// booking's offer names it, so that set-ups can be counted by booking.
#[test]
fn connections_cut_at_random_points_never_set_a_paid_session_up_twice() {
    let mut rng = fastrand::Rng::with_seed(0x5eed);
    let manners = [
        EdgeBehaviour::Answers,
        EdgeBehaviour::Answers,
        EdgeBehaviour::Fails,
        EdgeBehaviour::Breaks,
        EdgeBehaviour::Full,
    ];
    let edges: Vec<Edge> = (0..3).map(|_| Edge::start(EdgeBehaviour::Answers)).collect();
    let program = Program::whip(&edges.iter().collect::<Vec<_>>(), 1000.0, "");
    let mut stood = BTreeMap::new();
    for n in 0..60 {
        edges.iter().for_each(|e| e.set_behaviour(manners[rng.usize(..manners.len())]));
        let offer = format!("{OFFER}a=booking:{n}\r\n");
        let path = format!("/whip/walk/bookings/r-{n}");
        let request = http("POST", &path, Some(&offer));
        for _ in 0..rng.usize(..3) {
            let mut stream = program.connect("http");
            let _ = stream.write_all(&request[..rng.usize(..=request.len())]);
            let _ = stream.shutdown(if rng.bool() { Shutdown::Both } else { Shutdown::Write });
            if rng.u32(..4) == 0 {
                assert!(matches!(ask(&program, "DELETE", &path, None).status, 200 | 404));
            }
        }
        let last = ask(&program, "POST", &path, Some(&offer));
        assert!(matches!(last.status, 201 | 409 | 502 | 503 | 504), "{}", last.status);
        if last.status == 201 {
            stood.insert(offer, last.body);
        }
    }
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for offer in edges.iter().flat_map(Edge::ran) {
        *ran.entry(offer).or_default() += 1;
    }
    assert!(ran.values().all(|times| *times == 1), "{ran:?}");
    assert!(stood.len() > 10, "some stand: {}", stood.len());
    for (offer, body) in stood {
        let made =
            edges.iter().flat_map(Edge::set_ups).any(|(id, o)| o == offer && edge_answer(id, &o) == body);
        assert!(made, "an answer is a server's own");
    }
}
