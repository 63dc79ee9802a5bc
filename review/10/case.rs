//! Bad clients name sessions that no edge server knows as playing there. The broker keeps them all and stands still.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rig::*;
use settings::Class;

const EDGES: usize = 12;
/// Set-ups of one bad client, and the time between two bad clients.
const OF_ONE: u64 = 300;
const APART: Duration = Duration::from_millis(500);
const RUN: Duration = Duration::from_millis(60_000);
/// How long after its time an answer is late: half a second, and 50 ms for sockets.
const SLACK: Duration = Duration::from_millis(550);
const LEFT: u64 = 3000;

fn bad_client(record: &Record, front: SocketAddr, n: u64) {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, ms(3000)) else {
        return record.line(&format!("bad client {n}: could not connect"));
    };
    let mut text = String::new();
    for i in 0..OF_ONE {
        let id = 0xbad0_0000_0000_0000 + n * 1000 + i;
        text += &format!(
            "{{\"type\":\"setup\",\"id\":\"{id:016x}\",\"fields\":{{\"class\":\"guide\",\"left\":\"3000\",\"tenant\":\"home\",\"key\":\"{:x}\",\"extras\":\"home:0;copies:3;top:2;viewer:{id:016x};at:e{}\"}},\"sdp\":\"v=0\\r\\n\"}}\n",
            id % 97,
            i % EDGES as u64
        );
    }
    let sent = stream.write_all(text.as_bytes()).is_ok();
    record.line(&format!(
        "bad client {n}: {OF_ONE} set-ups with at, of sessions that no server knows; sent: {sent}"
    ));
    // It reads whatever is sent to it, and leaves after a second.
    let _ = stream.set_read_timeout(Some(ms(100)));
    let (end, mut piece) = (Instant::now() + ms(1000), [0; 4096]);
    while Instant::now() < end {
        if matches!(stream.read(&mut piece), Ok(0)) {
            break;
        }
    }
}

fn run() -> i32 {
    let record = Record::create();
    let edges: Vec<Edge> = (0..EDGES)
        .map(|i| Edge::start(&record, &format!("e{i}"), bind("127.0.0.1:0"), ms(20), ms(3000)))
        .collect();
    let board = Board::start(&record);
    let targets: Vec<String> =
        (0..EDGES).map(|i| target(&format!("e{i}"), edges[i].address, i % 3, "in_service", 0)).collect();
    let first = event(1, true, &targets);
    board.post(1, first.clone());
    let files = TempDir::create();
    let known = format!(r#"{{"rev":1,"notices":[{first}]}}"#);
    let classes = [Class { name: "guide", slo: 1000, deadline: 3000, effect: "read_like", live: false }];
    let config = files.write("config.json", &settings::json(&classes, &board.address.to_string(), &known));
    let mut broker = Broker::platform(&record, &config, &files.0, &[]);
    let front = broker.front("viewer");
    let mut viewer = Viewer::connect(&record, front);
    viewer.wait_until_ready();
    let began = Instant::now();
    if trouble() {
        let record = record.clone();
        thread::spawn(move || {
            for n in 0.. {
                if began.elapsed() > RUN {
                    return;
                }
                let own = record.clone();
                thread::spawn(move || bad_client(&own, front, n));
                thread::sleep(APART);
            }
        });
    }
    let mut asked = Vec::new();
    while began.elapsed() < RUN {
        let id = 0x600d_0000_0000_0000 + asked.len() as u64;
        let extras = format!("home:{};copies:3;top:2;viewer:{id:016x}", asked.len() % 3);
        viewer.set_up(id, "guide", LEFT, &format!("{:x}", asked.len() % 11), &extras);
        asked.push((id, Instant::now()));
        // A viewer's session is over after 10 s.
        if asked.len() > 30 {
            let old = asked[asked.len() - 31].0;
            viewer.send(&format!(r#"{{"type":"release","id":"{old:016x}","fields":{{}},"cause":16}}"#));
        }
        thread::sleep(ms(333));
    }
    thread::sleep(ms(LEFT) + SLACK + ms(500));
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    let mut lost = 0;
    for (id, at) in &asked {
        let told = viewer.first(*id, "answer").or_else(|| viewer.first(*id, "release"));
        if told.is_none_or(|told| told.at > *at + ms(LEFT) + SLACK) {
            lost += 1;
            record.line(&format!(
                "judged: the request {id:016x}, {:.1} s after the start, got no answer in time",
                (*at - began).as_secs_f64()
            ));
        }
    }
    record.line(&format!("judged: {lost} of {} usual requests got no answer in time", asked.len()));
    record.line(if lost > 0 { "BROKEN: requests that were taken got no answer" } else { "held" });
    if lost > 0 { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
