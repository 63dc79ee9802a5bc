//! The machine of an edge server vanishes and a successor has its address, while the notice board is out of reach. The
//! sessions that were cut are to be released towards their viewers within 8 s.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rig::*;
use settings::Class;

/// The page's limit with the 50 ms that it adds to every one.
const LIMIT: Duration = Duration::from_millis(8_050);
/// How long the notice board is out of reach.
const OUTAGE: Duration = Duration::from_millis(15_000);

fn run() -> i32 {
    let record = Record::create();
    let listeners: Vec<_> = (0..3).map(|_| bind("127.0.0.1:0")).collect();
    let Ok(successors) = listeners[0].try_clone() else { give_up("a listening socket can't be shared") };
    let mut edges = Vec::new();
    for (i, listener) in listeners.into_iter().enumerate() {
        edges.push(Edge::start(&record, &format!("e{i}"), listener, ms(20), ms(3000)));
    }
    let board = Board::start(&record);
    let targets: Vec<String> = (0..3)
        .map(|i| target(&format!("e{i}"), edges[i].address, i, "in_service", 0))
        .collect();
    let first = event(1, true, &targets);
    board.post(1, first.clone());
    let files = TempDir::create();
    let known = format!(r#"{{"rev":1,"notices":[{first}]}}"#);
    let classes = [Class { name: "guide", slo: 1000, deadline: 3000, effect: "read_like", live: false }];
    let config = files.write("config.json", &settings::json(&classes, &board.address.to_string(), &known));
    let mut broker = Broker::platform(&record, &config, &files.0, &[]);
    let mut viewer = Viewer::connect(&record, broker.front("viewer"));
    viewer.wait_until_ready();
    for n in 0..18u64 {
        let extras = format!("home:0;copies:3;top:0;viewer:{n:016x}");
        viewer.set_up(0xa000 + n, "guide", 3000, &format!("{:016x}", n % 5), &extras);
        thread::sleep(ms(60));
    }
    thread::sleep(ms(4000));
    for edge in &edges {
        if lock(&edge.state).playing.is_empty() {
            give_up("a server has no session");
        }
    }

    // The disruption: the notice board is out of reach. The machine is replaced in either case.
    if trouble() {
        board.go_down();
    }
    let vanished = Instant::now();
    let cut = edges[0].vanish();
    thread::sleep(ms(1500));
    let successor = Edge::start(&record, "successor", successors, ms(20), ms(3000));
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let gone = target("e0", edges[0].address, 0, "terminated", 0);
    let come = target("e0-successor", edges[0].address, 0, "in_service", now_ms);
    board.post(2, event(2, false, &[gone, come]));
    let mut is_back = !trouble();
    while vanished.elapsed() < OUTAGE + ms(3000) {
        thread::sleep(ms(20));
        if !is_back && vanished.elapsed() >= OUTAGE {
            board.come_back();
            is_back = true;
        }
    }
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    let mut broken = false;
    for id in &cut {
        let told = viewer.first(*id, "release").or_else(|| viewer.first(*id, "move"));
        let after = told.map(|t| t.at - vanished);
        let late = after.is_none_or(|after| after > LIMIT);
        broken |= late;
        let when = after.map_or("never".to_owned(), |after| format!("{:.3} s after its end", after.as_secs_f64()));
        record.line(&format!("judged: {id:016x}, cut, was released towards its viewer: {when}"));
    }
    let _ = successor;
    record.line(if broken { "BROKEN: a session that is over was left standing" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
