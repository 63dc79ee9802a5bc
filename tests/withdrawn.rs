//! Requests that clients withdraw at once: what the broker keeps of them is bounded.

mod common;
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use amberspindle::api::*;
use amberspindle::broker::{Broker, Input};
use serde_json::json;
use support::crossing::*;
use support::*;

const MEMORY_MB: u64 = 48;
const CLIENTS: u64 = 8;
const REQUESTS_PER_CLIENT: u64 = 1000;
/// A message may hold 16 KiB, most of it in the title.
const TITLE_BYTES: usize = 12_000;

/// Sends requests with distinct long titles, and withdraws each at once.
fn request_and_withdraw(mut client: TcpStream, number: u64) {
    let mut reader = client.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while matches!(reader.read(&mut buffer), Ok(1..)) {}
    });
    for n in 0..REQUESTS_PER_CLIENT {
        let id = format!("{:016x}", (number + 1) << 32 | n);
        let title = format!("{id}{}", "x".repeat(TITLE_BYTES - id.len()));
        let set_up = json!({"type": "setup", "id": id, "sdp": "offer", "fields":
            {"class": "clip", "left": 4000, "key": title, "extras": "home:0;copies:3;top:1"}});
        let release = json!({"type": "release", "id": id, "fields": {}, "cause": 16});
        client.write_all(format!("{set_up}\n{release}\n").as_bytes()).unwrap();
    }
}

/// Returns the memory that a process has allocated itself, in megabytes.
fn allocated_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

/// Guards against keeping the titles of withdrawn requests outside of the memory limit: a few clients with long titles
/// once took the broker over it.
#[test]
fn long_titles_of_withdrawn_requests_stay_within_the_memory_limit() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let options = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(4000.0),
        "limits": {"sockets": 256, "memory_mb": MEMORY_MB}});
    let program = Program::platform_with_config(&[&edge], 4000.0, &options, &["viewer", "console"]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = program.connect("viewer");
            thread::spawn(move || request_and_withdraw(client, number))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut usual = program.connect("viewer");
    send_set_up(&mut usual, 1, "clip", 4000, "usual");
    assert_eq!(final_answer(&mut usual, 1).unwrap()["type"], "answer");
    assert!(allocated_mb(&program) < MEMORY_MB, "{} MB", allocated_mb(&program));
}

/// Guards against deadlines, alarms and titles that outlive a withdrawn request: they once stayed until the deadline or
/// longer, whatever the number of requests.
#[test]
fn entries_of_withdrawn_requests_are_bounded() {
    const REQUESTS: u64 = 40_000;
    let mut broker = Broker::new(common::settings(), 1);
    let servers = vec![ServerEntry::new(common::server(0), ServerState::Ready, 0)];
    let now = common::ms(1_000_000);
    let mut effects = Vec::new();
    broker.handle(now, Input::Servers { kind: ListKind::Complete, servers }, &mut effects);
    for n in 0..REQUESTS {
        let (id, at) = (SessionId(n), now + Micros(n));
        let title = Text::from(format!("title-{n}"));
        let mut request = Request::new(id, title, at + common::ms(4000), 6, 3);
        request.class = common::CLIP;
        broker.handle(at, Input::Request(request, b"offer"[..].into()), &mut effects);
        broker.handle(at, Input::ClientLeft(id), &mut effects);
        effects.clear();
    }
    // The popularity of titles may use 3 MiB where nothing else is set.
    assert!(broker.tracked_entries() < 16_384, "{}", broker.tracked_entries());
}
