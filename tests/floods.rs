//! Floods and slow peers: who sends without reading, comes by the hundred, or says a byte at a time costs the others
//! nothing, and what can't be read leaves one line with its code.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use amberspindle::api::SessionId;
use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn started(edges: &[&Edge], deadline: f64) -> Program {
    let settings = settings_with_spare_uplink(deadline);
    let more =
        json!({"console": "127.0.0.1:0", "settings": settings, "limits": {"sockets": 256, "memory_mb": 48}});
    Program::platform_with_config(edges, deadline, &more, &["viewer", "console"])
}

/// Megabytes that a process holds.
fn held_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

fn served(program: &Program, id: u64) {
    let mut client = program.connect("viewer");
    send_set_up(&mut client, id, "clip", 50_000, "other");
    assert_eq!(final_answer(&mut client, id).unwrap()["type"], "answer");
}

#[test]
fn a_client_that_sends_without_reading_is_let_go_and_costs_the_others_nothing() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&[&edge], UNREACHED_DEADLINE_MS);
    let mut flood = program.connect("viewer");
    flood.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let many = ping().repeat(2000);
    let flooding = std::thread::spawn(move || while flood.write_all(many.as_bytes()).is_ok() {});
    for id in 1..=20 {
        served(&program, id);
    }
    flooding.join().unwrap();
    program.wait_for_log("reason=overflow");
    served(&program, 100);
    assert!(held_mb(&program) < 48, "{} MB", held_mb(&program));
}

#[test]
fn a_thousand_connections_at_once_keep_nobody_out() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&[&edge], UNREACHED_DEADLINE_MS);
    let mut early = program.connect("viewer");
    send_set_up(&mut early, 1, "clip", 50_000, "early");
    assert_eq!(final_answer(&mut early, 1).unwrap()["type"], "answer");
    let at = program.fronts["viewer"];
    let come = move || -> Vec<TcpStream> {
        let soon = || TcpStream::connect_timeout(&at, Duration::from_millis(300));
        (0..100).filter_map(|_| soon().ok()).collect()
    };
    let crowds: Vec<_> = (0..10).map(|_| std::thread::spawn(come)).collect();
    for id in 2..=10 {
        send_set_up(&mut early, id, "clip", 50_000, "early");
        assert_eq!(final_answer(&mut early, id).unwrap()["type"], "answer");
    }
    let crowds: Vec<Vec<TcpStream>> = crowds.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(crowds.iter().flatten().count() > 128);
    assert!(std::fs::read_dir(format!("/proc/{}/fd", program.pid())).unwrap().count() <= 256);
    served(&program, 100);
    assert!(held_mb(&program) < 48);
}

#[test]
fn a_request_that_comes_a_byte_at_a_time_is_given_up_and_others_are_served() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&[&edge], UNREACHED_DEADLINE_MS);
    let mut slow = program.connect("viewer");
    let dripping = std::thread::spawn(move || {
        for byte in b"{\"type\":\"setup\",\"id\":\"00000000000000ff\",\"fields\":{}".iter().cycle() {
            if slow.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    for id in 1..=5 {
        served(&program, id);
    }
    program.wait_for_log("reason=unfinished");
    dripping.join().unwrap();
}

/// An answer that comes a byte at a time: in good time it counts, and one that breaks off or stands still ends the
/// attempt, after which a free session plays elsewhere and a paid one fails.
#[test]
fn a_server_that_answers_a_byte_at_a_time() {
    for (gap_ms, whole, class) in
        [(1, true, "paid"), (1, false, "clip"), (1, false, "paid"), (900, true, "clip")]
    {
        let slow = TcpListener::bind("127.0.0.1:0").unwrap();
        let good = Edge::start(EdgeBehaviour::Answers);
        let known =
            known_from_event(&event(1, true, &[("s-0", slow.local_addr().unwrap(), 0, "in_service")]));
        let board = NoticeBoard::start();
        let settings = settings_with_spare_uplink(8_000.0);
        let more = json!({"console": "127.0.0.1:0", "settings": settings, "known": known,
            "board": board.address.to_string()});
        let program = Program::platform_with_config(&[&good], 8_000.0, &more, &["viewer", "console"]);
        board.wait_for_request(1);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = slow.accept().unwrap();
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).unwrap();
            let bytes = answer(SessionId(1), "o").finish().unwrap();
            let length = if whole { bytes.len() } else { bytes.len() / 2 };
            for byte in &bytes[..length] {
                if stream.write_all(&[*byte]).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(gap_ms));
            }
            if whole {
                let _ = stream.read(&mut buffer);
            } else {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let mut client = program.connect("viewer");
        send_set_up(&mut client, 1, class, 8_000, "o");
        program.settle();
        // From now on there is another server.
        board.tell(&event(2, false, &[("s-1", good.address, 1, "in_service")]));
        let heard = final_answer(&mut client, 1).unwrap();
        let plays = class == "clip" || whole;
        assert_eq!(heard["type"] == "answer", plays, "{gap_ms} {whole} {class}: {heard}");
        assert_eq!(good.ran().len(), usize::from(class == "clip"), "{gap_ms} {whole} {class}");
        if gap_ms > 400 {
            program.wait_for_log("reason=unfinished");
        }
        drop(program);
        server.join().unwrap();
    }
}

#[test]
fn what_cannot_be_read_ends_its_connection_with_one_line_of_its_code() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&[&edge], UNREACHED_DEADLINE_MS);
    for (spoilt, code) in [
        ("{\"type\":\"setup\"\n".to_owned(), "bad-json"),
        ("{\"type\":\"dance\",\"id\":\"00000000000000ff\",\"fields\":{}}\n".to_owned(), "unknown-type"),
        (format!("{}\n", "x".repeat(17 * 1024)), "too-large"),
    ] {
        let mut client = program.connect("viewer");
        client.write_all(spoilt.as_bytes()).unwrap();
        assert!(line(&mut client).is_none());
        program.wait_for_log(&format!("reason={code}"));
    }
    served(&program, 1);
    let lines = program.log.0.lock().unwrap().iter().filter(|l| l.starts_with("end ")).count();
    assert!(lines <= 4, "one line each: {lines}");
}
