//! A notice board whose answers are never whole: any byte is no sign of life.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
/// Time between two bytes of a board that drips.
const DRIP: Duration = Duration::from_millis(500);
/// The board fails for so long before it is good again.
const FAILS_FOR: Duration = Duration::from_millis(3_500);
/// After a failed, refused or given-up call a change counts as told at the latest so long after discovery could be
/// reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Where a board that drips stops being whole.
#[derive(Clone, Copy, Debug)]
enum Drips {
    Head,
    Comment,
    Event,
    /// Comments come whole inside an event that never ends.
    CommentsInAnEvent,
}

/// A board that drips until it is told to be good, and then tells one event to whoever asks anew.
fn dripping(how: Drips, event: String, good: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (event, good) = (event.clone(), good.load(Ordering::SeqCst));
            std::thread::spawn(move || answer(stream, how, &event, good));
        }
    });
    address
}

fn answer(mut stream: TcpStream, how: Drips, event: &str, good: bool) {
    let mut asked = [0; 1024];
    let _ = stream.read(&mut asked);
    if good {
        let _ = stream.write_all(format!("{HEAD}{event}").as_bytes());
        std::thread::sleep(TEST_TIMEOUT);
        return;
    }
    let (whole, dripped) = match how {
        Drips::Head => ("", HEAD),
        Drips::Comment => (HEAD, ": a comment that takes long"),
        Drips::Event => (HEAD, event),
        Drips::CommentsInAnEvent => (HEAD, "id: 2\n:\n:\n:\n:\n:\n:\n:\n:\n:\n:\n:\n:\n:\n"),
    };
    let _ = stream.write_all(whole.as_bytes());
    for byte in dripped.as_bytes().iter().cycle() {
        if stream.write_all(&[*byte]).is_err() {
            return;
        }
        std::thread::sleep(DRIP);
    }
}

/// Guards against a list that stays old for good (report c7ba89, related finds): each byte of a board that answered at
/// two bytes a second counted as a sign of life.
#[test]
fn a_board_that_drips_is_asked_anew_and_its_change_is_taken_in_time() {
    let ways = [Drips::Head, Drips::Comment, Drips::Event, Drips::CommentsInAnEvent];
    let tried = ways.map(|how| std::thread::spawn(move || takes_the_change_in_time(how)));
    tried.into_iter().for_each(|one| one.join().unwrap());
}

fn takes_the_change_in_time(how: Drips) {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let servers = [("s-0", edge.address, 0, "in_service")];
    let drained = event(2, false, &[("s-0", edge.address, 0, "terminating")]);
    let told = format!("id: 2\ndata: {drained}\n\n");
    let good = Arc::new(AtomicBool::new(false));
    let board = dripping(how, told, good.clone());
    let known = known_from_event(&event(1, true, &servers));
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "known": known, "board": board.to_string()});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    std::thread::sleep(FAILS_FOR);
    good.store(true, Ordering::SeqCst);
    let since = Instant::now();
    program.wait_for_log("generation=2");
    assert!(since.elapsed() <= TOLD_WITHIN, "{how:?}: {:?}", since.elapsed());
}

/// A long list over a slow way is waited for as long as it goes on coming.
#[test]
fn a_long_list_that_goes_on_coming_is_read_to_its_end() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let names: Vec<String> = (0..4_000).map(|n| format!("s-{n:05}")).collect();
    let state = |n: usize| if n == 0 { "in_service" } else { "terminating" };
    let address = |n: usize| SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8], 9));
    let servers: Vec<_> =
        names.iter().enumerate().map(|(n, name)| (name.as_str(), address(n), n as u32, state(n))).collect();
    let whole = format!("id: 2\ndata: {}\n\n", event(2, true, &servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let board = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let whole = whole.clone();
            std::thread::spawn(move || {
                let mut asked = [0; 1024];
                let _ = stream.read(&mut asked);
                let _ = stream.write_all(HEAD.as_bytes());
                // Some 150 kB a second.
                for piece in whole.as_bytes().chunks(15_000) {
                    let _ = stream.write_all(piece);
                    std::thread::sleep(Duration::from_millis(100));
                }
                std::thread::sleep(TEST_TIMEOUT);
            });
        }
    });
    let known = known_from_event(&event(1, true, &[("s-0", edge.address, 0, "in_service")]));
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "known": known, "board": board.to_string()});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    program.wait_for_log("generation=2 servers=4000");
}
