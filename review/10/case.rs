//! An edge server restarts, and the list tells of it seconds late. Sessions that were set up after the restart play on.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rig::*;
use settings::Class;

/// How late the list tells of the restart.
const LATE: Duration = Duration::from_millis(3_000);

fn run() -> i32 {
    let record = Record::create();
    let listeners: Vec<_> = (0..3).map(|_| bind("127.0.0.1:0")).collect();
    let mut edges: Vec<Edge> = listeners
        .into_iter()
        .enumerate()
        .map(|(i, listener)| Edge::start(&record, &format!("e{i}"), listener, ms(20), ms(3000)))
        .collect();
    let board = Board::start(&record);
    let targets: Vec<String> =
        (0..3).map(|i| target(&format!("e{i}"), edges[i].address, i, "in_service", 0)).collect();
    let first = event(1, true, &targets);
    board.post(1, first.clone());
    let files = TempDir::create();
    let known = format!(r#"{{"rev":1,"notices":[{first}]}}"#);
    let classes = [Class { name: "walkround", slo: 1500, deadline: 5000, effect: "non_idempotent", live: false }];
    let config = files.write("config.json", &settings::json(&classes, &board.address.to_string(), &known));
    let mut broker = Broker::platform(&record, &config, &files.0, &[]);
    let mut viewer = Viewer::connect(&record, broker.front("viewer"));
    viewer.wait_until_ready();

    // The disruption: the process of e0 ends and is started again at its address. No session plays there.
    let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let restarted = Instant::now();
    if trouble() {
        let address = edges[0].address;
        edges[0].die();
        thread::sleep(ms(200));
        edges[0] = Edge::start(&record, "e0", bind(&address.to_string()), ms(20), ms(3000));
        record.line(&format!("edge e0: has restarted, {boot_ms}"));
    }
    // Viewers ask from 0.5 s after the restart on; the new process serves some of them.
    thread::sleep(ms(500));
    for n in 0..9u64 {
        let extras = format!("home:0;copies:3;top:0;viewer:{n:016x}");
        viewer.set_up(0xb000 + n, "walkround", 5000, &format!("{:016x}", n % 5), &extras);
        thread::sleep(ms(100));
    }
    let there: Vec<u64> = lock(&edges[0].state).playing.keys().copied().collect();
    if there.is_empty() {
        give_up("no session was set up at e0");
    }
    record.line(&format!("edge e0: {} sessions play, set up after its restart", there.len()));
    while restarted.elapsed() < LATE {
        thread::sleep(ms(5));
    }
    if trouble() {
        let entry = target("e0", edges[0].address, 0, "in_service", boot_ms);
        board.post(2, event(2, false, &[entry]));
    }
    thread::sleep(ms(5000));
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    let mut broken = false;
    for (i, edge) in edges.iter().enumerate() {
        for n in 0..9u64 {
            let id = 0xb000 + n;
            // It was answered, no viewer and no server has ended it, and it plays.
            if let (Some(told), true) = (viewer.first(id, "release"), edge.plays(id)) {
                record.line(&format!(
                    "judged: the viewer of {id:016x} was told {:.3} s after the restart that it is over; at e{i} it plays",
                    (told.at - restarted).as_secs_f64()
                ));
                broken = true;
            }
        }
    }
    record.line(if broken { "BROKEN: sessions that play were taken from their viewers" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
