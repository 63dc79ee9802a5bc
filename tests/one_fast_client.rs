//! One client at full speed beside usual ones of both fronts: the usual ones get their answers in time, and memory stays
//! bounded.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use support::crossing::*;
use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const DEADLINE_MS: f64 = 3_000.0;
const MEMORY_MB: u64 = 96;
const FLOOD: Duration = Duration::from_secs(6);
/// Pause between usual requests.
const USUAL_PAUSE: Duration = Duration::from_millis(50);
/// An answer later than half a second after the deadline, and 50 ms for sockets, is lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_550);

/// What the fast client sends over and over, each with a number.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Set-ups under ever new titles, so many a second, that play on.
    SetUps(u32),
    /// Set-ups with figures beyond the settings.
    Unsound,
    /// Releases of sessions that nobody has.
    Releases,
    /// Set-ups with `at`, of sessions that no server has.
    Named,
    /// Tests.
    Pings,
    /// HTTP requests for titles that do not exist.
    UnknownTitles,
    /// HTTP requests with a body that is no offer.
    BadOffers,
    /// HTTP requests for bookings under ever new names.
    Bookings,
}

impl Flood {
    fn front(self) -> &'static str {
        match self {
            Flood::SetUps(_) | Flood::Unsound | Flood::Releases | Flood::Named | Flood::Pings => "viewer",
            Flood::UnknownTitles | Flood::BadOffers | Flood::Bookings => "http",
        }
    }

    fn request(self, n: u64) -> Vec<u8> {
        let id = format!("{:016x}", 0xbad0_0000_0000_0000 + n);
        let set_up = |fields: serde_json::Value| {
            let line = json!({"type": "setup", "id": id, "sdp": "v=0\r\n", "fields": fields});
            format!("{line}\n").into_bytes()
        };
        let extras = "home:0;copies:3;top:1";
        match self {
            Flood::SetUps(_) => set_up(
                json!({"class": "clip", "left": DEADLINE_MS, "key": format!("t{n}"), "extras": extras}),
            ),
            Flood::Unsound => {
                set_up(json!({"class": "clip", "left": 1e9, "key": format!("t{n}"), "extras": extras}))
            }
            Flood::Releases => {
                format!("{}\n", json!({"type": "release", "id": id, "fields": {}, "cause": 16})).into_bytes()
            }
            Flood::Named => {
                let extras = format!("{extras};at:s-{}", n % 3);
                set_up(
                    json!({"class": "clip", "left": DEADLINE_MS, "key": format!("t{n}"), "extras": extras}),
                )
            }
            Flood::Pings => ping().into_bytes(),
            Flood::UnknownTitles => http("POST", &format!("/whep/none-{n}"), Some(OFFER)),
            Flood::BadOffers => http("POST", "/whep/guide", Some("hello")),
            Flood::Bookings => {
                let name = format!("{n}-{}", "b".repeat(12_000));
                http("POST", &format!("/whep/walk/bookings/{name}"), Some(OFFER))
            }
        }
    }
}

fn start(edges: &[Edge]) -> Program {
    let mut settings = settings(DEADLINE_MS);
    settings["FamilyInfo"]["RackKb"] = json!(1_000_000.0);
    let settings = toml::to_string(&json!({"settings": settings})).unwrap();
    let mut text = format!(
        "[limits]\nmemory_mb = {MEMORY_MB}\nsockets = 256\n[platform]\nlisten = \"127.0.0.1:0\"\n\
         [whip]\nlisten = \"127.0.0.1:0\"\n"
    );
    for (title, class) in [("guide", "clip"), ("walk", "paid")] {
        text += &format!("[[title]]\nname = \"{title}\"\nclass = \"{class}\"\nhome = 0\ncopies = 3\n");
    }
    for (cell, edge) in edges.iter().enumerate() {
        text += &format!("[[server]]\nid = \"s-{cell}\"\naddress = \"{}\"\ncell = {cell}\n", edge.address);
    }
    let files = tempdir::Dir::new();
    let path = files.write("operator.toml", &format!("{text}{settings}"));
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").arg("--config").arg(path);
    Program::start(command, files, &["viewer", "http"])
}

/// Sends until it is stopped, on new connections where one ends, and reads whatever comes. Returns how many requests.
fn flood(address: std::net::SocketAddr, kind: Flood, stopped: &AtomicBool) -> u64 {
    let (mut n, began) = (0, Instant::now());
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        let mut reading = stream.try_clone().unwrap();
        let reader = std::thread::spawn(move || {
            let mut buffer = [0; 65536];
            while reading.read(&mut buffer).is_ok_and(|n| n > 0) {}
        });
        while !stopped.load(Ordering::Relaxed) && stream.write_all(&kind.request(n)).is_ok() {
            n += 1;
            if let Flood::SetUps(per_s) = kind {
                let due = Duration::from_secs_f64(n as f64 / f64::from(per_s));
                std::thread::sleep(due.saturating_sub(began.elapsed()));
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        reader.join().unwrap();
    }
    n
}

/// Returns the resident memory of a process in megabytes.
fn resident_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

/// A usual viewer's request; returns whether it was answered.
fn viewer_is_answered(program: &Program, id: u64) -> bool {
    let mut viewer = program.connect("viewer");
    viewer.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
    let fields =
        json!({"class": "clip", "left": DEADLINE_MS, "key": "usual", "extras": "home:0;copies:3;top:1"});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": "offer", "fields": fields});
    viewer.write_all(format!("{line}\n").as_bytes()).is_ok() && final_answer(&mut viewer, id).is_some()
}

fn browser_is_answered(program: &Program) -> bool {
    let mut browser = program.connect("http");
    browser.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
    browser.write_all(&http("POST", "/whep/guide", Some(OFFER))).is_ok() && reply(&mut browser).is_some()
}

fn check(kind: Flood) {
    let edges = [(); 3].map(|()| Edge::start(EdgeBehaviour::Answers));
    let program = start(&edges);
    let stopped = Arc::new(AtomicBool::new(false));
    let (address, told) = (program.fronts[kind.front()], stopped.clone());
    let flooding = std::thread::spawn(move || flood(address, kind, &told));
    let (began, mut slowest, mut most_mb, mut asked) = (Instant::now(), Duration::ZERO, 0, 0);
    while began.elapsed() < FLOOD {
        for is_browser in [false, true] {
            let asked_at = Instant::now();
            asked += 1;
            let answered =
                if is_browser { browser_is_answered(&program) } else { viewer_is_answered(&program, asked) };
            assert!(answered, "{kind:?}: usual request {asked} after {:?}", began.elapsed());
            slowest = slowest.max(asked_at.elapsed());
        }
        most_mb = most_mb.max(resident_mb(&program));
        std::thread::sleep(USUAL_PAUSE);
    }
    stopped.store(true, Ordering::Relaxed);
    let sent = flooding.join().unwrap();
    println!("{kind:?}: {sent} sent, {asked} usual requests, slowest {slowest:?}, {most_mb} MB");
    assert!(slowest < ANSWER_LIMIT, "{kind:?}: {slowest:?}");
    assert!(most_mb < MEMORY_MB, "{kind:?}: {most_mb} MB");
}

/// Guards against a broker that stands still under one client's set-ups, as the sessions that play made each further
/// attempt slower.
#[test]
fn usual_requests_are_answered_beside_one_client_that_sets_many_sessions_up() {
    check(Flood::SetUps(800));
}

#[test]
fn usual_requests_are_answered_beside_unsound_messages_of_one_viewer() {
    [Flood::Unsound, Flood::Releases, Flood::Pings].into_iter().for_each(check);
}

#[test]
fn usual_requests_are_answered_beside_one_client_that_names_many_sessions() {
    check(Flood::Named);
}

#[test]
fn usual_requests_are_answered_beside_small_requests_of_one_browser() {
    [Flood::UnknownTitles, Flood::BadOffers].into_iter().for_each(check);
}

#[test]
fn usual_requests_are_answered_beside_one_browser_with_ever_new_bookings() {
    check(Flood::Bookings);
}
