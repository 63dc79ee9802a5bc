//! Requests that wait for room are answered before their viewers' time is up, whatever the deadlines and the time
//! between two turns are.

mod support;

use std::net::TcpStream;
use std::time::Instant;

use serde_json::json;
use support::crossing::*;
use support::*;

/// Cells, and so servers: each of them turns one request away.
const CELLS: usize = 8;
/// A request's time. A server that turned a set-up away is asked again after 300 ms, and requests are looked at each
/// 50 ms: this is shortly after the first look at which a further attempt finds its server again.
const DEADLINE_MS: u64 = 355;

/// Asks for a session at the server of one cell alone.
fn ask_cell(stream: &mut TcpStream, cell: usize) {
    use std::io::Write;
    let fields = json!({"class": "paid", "left": DEADLINE_MS, "tenant": "home", "key": format!("title-{cell}"),
        "extras": format!("home:{cell};copies:1;top:1")});
    let line = json!({"type": "setup", "id": format!("{:016x}", cell + 1), "sdp": "offer", "fields": fields});
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// Seen on days of other customers' deployments (turns of 1 ms, five attempts, full servers): a request was sent once
/// more a few milliseconds before its time was up, turned away at once, and answered as failed 5 ms after its time by
/// the core, as the module had not looked at it again. No attempt of it ran, so it is to be refused, and in time.
#[test]
fn a_request_that_was_turned_away_is_refused_before_its_time_is_up() {
    let edges: Vec<Edge> = (0..CELLS).map(|_| Edge::start(EdgeBehaviour::Full)).collect();
    let mut settings = settings_with_spare_uplink(DEADLINE_MS as f64);
    settings["Period"] = json!(1.0);
    settings["FamilyInfo"]["Places"] = json!(CELLS);
    settings["Limits"]["AttemptsCap"] = json!(8);
    let edges: Vec<&Edge> = edges.iter().collect();
    let more = json!({"settings": settings});
    let program = Program::platform_with_config(&edges, DEADLINE_MS as f64, &more, &["viewer"]);
    let mut client = program.connect("viewer");
    let asked = Instant::now();
    (0..CELLS).for_each(|cell| ask_cell(&mut client, cell));
    for cell in 0..CELLS {
        let heard = final_answer(&mut client, cell as u64 + 1).expect("one answer");
        let refused = heard["cause"] == json!(amberspindle::message::cause::REFUSED);
        assert!(refused, "cell {cell} after {:?}: {heard}", asked.elapsed());
    }
}
