//! A broker between WHIP/WHEP clients and stand-in media servers that speak WHIP and WHEP themselves.

mod support;

use std::io::{Read, Write};

use amberspindle_conformance::media::{Does, Media, media_answer};
use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
const BOOKING: &str = "/whip/walk/bookings/b-1";

/// A broker before these servers, one a cell; titles `walk` (paid) and `guide`.
fn broker(media: &[&Media], deadline: f64, more: &str) -> Program {
    let mut text = format!("[whip]\nlisten = \"127.0.0.1:0\"\n{more}\n");
    for (name, class) in [("walk", "paid"), ("guide", "clip")] {
        text += &format!("[[title]]\nname = \"{name}\"\nclass = \"{class}\"\nhome = 0\ncopies = 3\n");
    }
    for (cell, media) in media.iter().enumerate() {
        text += &format!("[[server]]\nid = \"m-{cell}\"\nurl = \"{}\"\ncell = {cell}\n", media.url());
    }
    Program::operator(&text, deadline, &[], &["http"])
}

fn place(made: &Reply) -> String {
    made.header("location").expect("a session has a place").to_owned()
}

#[test]
fn a_session_is_set_up_and_ended_at_a_media_server() {
    let media = Media::start(Does::Answers);
    let ice = "[[whip.ice_server]]\nurl = \"stun:stun.example.net\"\n[[whip.ice_server]]\nurl = \"turn:turn.example.net\"\nusername = \"u\"\ncredential = \"c\"";
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, ice);
    let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
    assert_eq!((made.status, made.body.as_str()), (201, media_answer(0).as_str()));
    let links: Vec<&str> = made.head.lines().filter_map(|l| l.strip_prefix("Link: ")).collect();
    let links: Vec<&str> = links.into_iter().filter(|l| l.contains("ice-server")).collect();
    let turn = "<turn:turn.example.net>; rel=\"ice-server\"; username=\"u\"; credential=\"c\"; credential-type=\"password\"";
    assert_eq!(links, ["<stun:stun.example.net>; rel=\"ice-server\"", turn], "each once");
    let (path, offer) = media.seen.0.lock().unwrap().posts[0].clone();
    assert!(path.starts_with("/whep/guide?rung=") && offer == OFFER, "{path}");
    assert_eq!(ask(&program, "DELETE", &place(&made), None).status, 200);
    media.all_ended();
    assert_eq!(media.seen.0.lock().unwrap().deletes, ["/made/0"]);
}

/// The table of proofs, on sockets: a paid set-up goes on to another server only where the first provably did
/// nothing.
#[test]
fn a_paid_set_up_goes_on_only_after_proof() {
    for (does, goes_on) in [
        (Does::Says(503), true),
        (Does::Says(429), true),
        (Does::Says(404), true),
        (Does::Says(307), true),
        (Does::Says(500), false),
        (Does::Says(502), false),
        (Does::Says(504), false),
        (Does::Says(409), false),
        (Does::Says(204), false),
        (Does::Mute, false),
        (Does::Breaks, false),
        (Does::Cuts, false),
        (Does::Spoils, false),
    ] {
        let all = [Media::start(does), Media::start(does), Media::start(does)];
        let program = broker(&all.iter().collect::<Vec<_>>(), 5000.0, "");
        let made = ask(&program, "POST", BOOKING, Some(OFFER));
        let posts: usize = all.iter().map(Media::posts).sum();
        if goes_on {
            assert!(posts > 1 && made.status == 503, "{does:?}: {posts} attempts, {}", made.status);
        } else {
            assert_eq!((posts, made.status), (1, 502), "{does:?}");
            let again = ask(&program, "POST", BOOKING, Some(OFFER));
            assert_eq!(
                (again.status, all.iter().map(Media::posts).sum::<usize>()),
                (502, 1),
                "{does:?}, again"
            );
        }
        // What told where its session lies is ended there, though the answer was no good.
        if matches!(does, Does::Cuts | Does::Spoils) {
            all.iter().filter(|m| m.posts() > 0).for_each(Media::all_ended);
        }
    }
}

#[test]
fn a_server_that_is_not_there_proves_that_nothing_ran() {
    let there = Media::start(Does::Answers);
    let gone = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let mut away = Media::start(Does::Answers);
    away.address = gone;
    let program = broker(&[&away, &there], 5000.0, "");
    for n in 0..6 {
        let made = ask(&program, "POST", &format!("/whip/walk/bookings/b-{n}"), Some(OFFER));
        assert_eq!(made.status, 201, "booking {n}");
    }
    assert_eq!(there.posts(), 6);
}

/// An attempt that was given up and answers late is ended by DELETE, which is repeated until it is heard.
#[test]
fn a_late_session_is_ended_and_its_end_repeated_until_heard() {
    let media = Media::start(Does::Waits);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let mut stream = program.connect("http");
    stream.write_all(&http("POST", "/whep/guide", Some(OFFER))).unwrap();
    media.until("a session", |s| s.sessions.get("/made/0").copied());
    drop(stream);
    program.wait_for_log("peer=http:");
    media.seen.0.lock().unwrap().deaf = 3;
    media.go();
    media.all_ended();
    assert_eq!(media.seen.0.lock().unwrap().deletes.len(), 4, "three were not heard");
}

/// A DELETE of the booking at each step: before the answer, and after it.
#[test]
fn a_delete_of_a_booking_ends_it_whatever_its_step() {
    let media = Media::start(Does::Waits);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let mut stream = program.connect("http");
    stream.write_all(&http("POST", BOOKING, Some(OFFER))).unwrap();
    media.until("a session", |s| s.sessions.get("/made/0").copied());
    assert_eq!(ask(&program, "DELETE", BOOKING, None).status, 200);
    assert_eq!(reply(&mut stream).unwrap().status, 409);
    media.go();
    media.all_ended();
    assert_eq!(ask(&program, "POST", BOOKING, Some(OFFER)).status, 409, "it is spent: it may have run");
    assert_eq!(media.posts(), 1);
    media.behave(Does::Answers);
    let other = "/whip/walk/bookings/b-2";
    assert_eq!(ask(&program, "POST", other, Some(OFFER)).status, 201);
    assert_eq!(ask(&program, "DELETE", other, None).status, 200);
    media.all_ended();
}

#[test]
fn a_second_answer_is_not_taken_for_that_of_another() {
    let media = Media::start(Does::Twice);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    for n in 0..5 {
        let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
        assert_eq!((made.status, made.body.as_str()), (201, media_answer(n).as_str()));
    }
    program.wait_for_log("reason=unasked");
}

#[test]
fn fragments_are_passed_on_under_the_conditions_of_the_standard() {
    let media = Media::start(Does::Answers);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
    let (place, tag) = (place(&made), made.header("etag").unwrap().to_owned());
    assert_eq!(made.header("accept-patch"), Some("application/trickle-ice-sdpfrag"));
    let candidate = "a=ice-ufrag:x\r\na=ice-pwd:y\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\na=candidate:1 1 UDP 1 192.0.2.1 9 typ host\r\na=end-of-candidates\r\n";
    let mut stream = program.connect("http");
    let mut on = |tag: Option<&str>, fragment: &str| {
        stream.write_all(&patch(&place, tag, fragment)).unwrap();
        reply(&mut stream).unwrap()
    };
    assert_eq!(on(None, candidate).status, 428);
    assert_eq!(on(Some("\"other\""), candidate).status, 412);
    assert_eq!(on(Some(&tag), "hello").status, 400);
    assert!(media.seen.0.lock().unwrap().patches.is_empty(), "what is wrong here does not go on");
    assert_eq!(on(Some(&tag), candidate).status, 204);
    assert_eq!(on(Some(&format!("\"z\", {tag}")), candidate).status, 204);
    // An ICE restart gives a new tag; the old one is stale from then on.
    let restart = on(Some("*"), "a=ice-ufrag:new\r\na=ice-pwd:new\r\n");
    let fresh = restart.header("etag").unwrap().to_owned();
    assert!(restart.status == 200 && fresh != tag && restart.body.contains("a=ice-ufrag:edge"));
    assert_eq!(restart.header("content-type"), Some("application/trickle-ice-sdpfrag"));
    assert_eq!(on(Some(&tag), candidate).status, 412);
    assert_eq!(on(Some(&fresh), candidate).status, 204);
    let told: Vec<Option<String>> =
        media.seen.0.lock().unwrap().patches.iter().map(|p| p.0.clone()).collect();
    let some = |t: &str| Some(t.to_owned());
    assert_eq!(told, [some("\"e1\""), some("\"e1\""), some("*"), some("\"e2\"")], "the server's own tags");
    let stale = ask(&program, "DELETE", "/sessions/00000000000000ff", None);
    assert_eq!(stale.status, 404);
    assert_eq!(stale.header("content-type"), Some("application/problem+json"));
    assert!(stale.body.contains("urn:amberspindle:no-session"), "{}", stale.body);
}

/// A broker that stops tells the media servers that what stood there is over.
#[test]
fn sessions_are_ended_at_their_servers_when_the_broker_stops() {
    let media = Media::start(Does::Answers);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let places: Vec<String> =
        (0..3).map(|_| place(&ask(&program, "POST", "/whep/guide", Some(OFFER)))).collect();
    program.terminate();
    program.wait_for_log("stopping");
    // It stays up for what plays; the last DELETEs let it go.
    for place in &places {
        assert_eq!(ask(&program, "DELETE", place, None).status, 200);
    }
    media.all_ended();
    assert!(program.ended_well());
    assert_eq!(media.seen.0.lock().unwrap().deletes.len(), 3);
}

/// A client that leaves while its fragment is out, or that only listened, ends nothing.
#[test]
fn a_session_plays_on_without_those_who_patched_it_or_listened() {
    let media = Media::start(Does::Answers);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
    let place = place(&made);
    let mut stream = program.connect("http");
    stream.write_all(&patch(&place, Some("*"), "a=ice-ufrag:x\r\na=ice-pwd:y\r\n")).unwrap();
    drop(stream);
    let mut listener = program.connect("http");
    listener.write_all(&http("GET", &format!("{place}/events"), None)).unwrap();
    let mut piece = [0; 1024];
    assert!(listener.read(&mut piece).unwrap() > 0);
    drop(listener);
    let mut patched = program.connect("http");
    patched.write_all(&patch(&place, Some("*"), "a=ice-ufrag:x\r\na=ice-pwd:y\r\n")).unwrap();
    assert_eq!(reply(&mut patched).unwrap().status, 204);
    assert_eq!(ask(&program, "DELETE", &place, None).status, 200, "it stood all the time");
}

#[test]
fn what_happens_to_a_session_is_told_as_events() {
    let media = Media::start(Does::Answers);
    let program = broker(&[&media], UNREACHED_DEADLINE_MS, "");
    let made = ask(&program, "POST", "/whep/guide", Some(OFFER));
    let place = place(&made);
    let link = made.head.lines().find(|l| l.contains("server-sent-events")).expect("a link to the events");
    let events = link.split(['<', '>']).nth(1).unwrap().to_owned();
    assert_eq!(ask(&program, "POST", &events, None).header("location"), Some(events.as_str()));
    let mut listener = program.connect("http");
    listener.write_all(&http("GET", &events, None)).unwrap();
    let mut text = String::new();
    let mut piece = [0; 1024];
    while !text.contains(":\n\n") {
        let n = listener.read(&mut piece).unwrap();
        text += std::str::from_utf8(&piece[..n]).unwrap();
    }
    assert!(text.starts_with("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"), "{text}");
    assert_eq!(ask(&program, "DELETE", &place, None).status, 200);
    listener.read_to_string(&mut text).unwrap();
    assert!(text.contains("event: ended\ndata: {}\n\n") && text.ends_with("0\r\n\r\n"), "{text}");
    assert_eq!(ask(&program, "GET", &events, None).status, 404);
}
