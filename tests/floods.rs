//! Floods and slow peers: a client that sends without reading, connects a hundred times or sends byte by byte does not
//! affect other clients, and input that can't be parsed leaves one log line with its reason code.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use amberspindle::api::SessionId;
use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn start_program(edges: &[&Edge], deadline: f64) -> Program {
    let settings = settings_with_spare_uplink(deadline);
    let options =
        json!({"console": "127.0.0.1:0", "settings": settings, "limits": {"sockets": 256, "memory_mb": 48}});
    Program::platform_with_config(edges, deadline, &options, &["viewer", "console"])
}

/// Returns the resident memory of a process in megabytes.
fn resident_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

fn assert_served(program: &Program, id: u64) {
    let mut client = program.connect("viewer");
    send_set_up(&mut client, id, "clip", 50_000, "other");
    assert_eq!(final_answer(&mut client, id).unwrap()["type"], "answer");
}

#[test]
fn disconnects_client_that_never_reads_and_serves_others() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start_program(&[&edge], UNREACHED_DEADLINE_MS);
    let mut flood = program.connect("viewer");
    flood.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let pings = ping().repeat(2000);
    let flooding = std::thread::spawn(move || while flood.write_all(pings.as_bytes()).is_ok() {});
    for id in 1..=20 {
        assert_served(&program, id);
    }
    flooding.join().unwrap();
    program.wait_for_log("reason=overflow");
    assert_served(&program, 100);
    assert!(resident_mb(&program) < 48, "{} MB", resident_mb(&program));
}

#[test]
fn serves_clients_during_a_thousand_simultaneous_connections() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start_program(&[&edge], UNREACHED_DEADLINE_MS);
    let mut early = program.connect("viewer");
    send_set_up(&mut early, 1, "clip", 50_000, "early");
    assert_eq!(final_answer(&mut early, 1).unwrap()["type"], "answer");
    let at = program.fronts["viewer"];
    let connect_many = move || -> Vec<TcpStream> {
        let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(300));
        (0..100).filter_map(|_| connect().ok()).collect()
    };
    let crowds: Vec<_> = (0..10).map(|_| std::thread::spawn(connect_many)).collect();
    for id in 2..=10 {
        send_set_up(&mut early, id, "clip", 50_000, "early");
        assert_eq!(final_answer(&mut early, id).unwrap()["type"], "answer");
    }
    let crowds: Vec<Vec<TcpStream>> = crowds.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(crowds.iter().flatten().count() > 128);
    assert!(std::fs::read_dir(format!("/proc/{}/fd", program.pid())).unwrap().count() <= 256);
    assert_served(&program, 100);
    assert!(resident_mb(&program) < 48);
}

#[test]
fn closes_connection_of_request_sent_byte_by_byte_and_serves_others() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start_program(&[&edge], UNREACHED_DEADLINE_MS);
    let mut slow = program.connect("viewer");
    let sender = std::thread::spawn(move || {
        for byte in b"{\"type\":\"setup\",\"id\":\"00000000000000ff\",\"fields\":{}".iter().cycle() {
            if slow.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    for id in 1..=5 {
        assert_served(&program, id);
    }
    program.wait_for_log("reason=unfinished");
    sender.join().unwrap();
}

/// A server sends its answer byte by byte. If the answer is complete in time, it is accepted. If it breaks off or
/// stalls, the attempt ends; then a free session is set up at another server and a paid one fails.
#[test]
fn accepts_answer_sent_byte_by_byte_only_if_complete_in_time() {
    for (gap_ms, whole, class) in
        [(1, true, "paid"), (1, false, "clip"), (1, false, "paid"), (900, true, "clip")]
    {
        let slow = TcpListener::bind("127.0.0.1:0").unwrap();
        let good = Edge::start(EdgeBehaviour::Answers);
        let known =
            known_from_event(&event(1, true, &[("s-0", slow.local_addr().unwrap(), 0, "in_service")]));
        let board = NoticeBoard::start();
        let settings = settings_with_spare_uplink(8_000.0);
        let options = json!({"console": "127.0.0.1:0", "settings": settings, "known": known,
            "board": board.address.to_string()});
        let program = Program::platform_with_config(&[&good], 8_000.0, &options, &["viewer", "console"]);
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
        // Adds another server.
        board.tell(&event(2, false, &[("s-1", good.address, 1, "in_service")]));
        let last_line = final_answer(&mut client, 1).unwrap();
        let is_accepted = class == "clip" || whole;
        assert_eq!(last_line["type"] == "answer", is_accepted, "{gap_ms} {whole} {class}: {last_line}");
        assert_eq!(good.ran().len(), usize::from(class == "clip"), "{gap_ms} {whole} {class}");
        if gap_ms > 400 {
            program.wait_for_log("reason=unfinished");
        }
        drop(program);
        server.join().unwrap();
    }
}

#[test]
fn closes_connection_on_unreadable_input_with_one_log_line() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start_program(&[&edge], UNREACHED_DEADLINE_MS);
    for (input, code) in [
        ("{\"type\":\"setup\"\n".to_owned(), "bad-json"),
        ("{\"type\":\"dance\",\"id\":\"00000000000000ff\",\"fields\":{}}\n".to_owned(), "unknown-type"),
        (format!("{}\n", "x".repeat(17 * 1024)), "too-large"),
    ] {
        let mut client = program.connect("viewer");
        client.write_all(input.as_bytes()).unwrap();
        assert!(line(&mut client).is_none());
        program.wait_for_log(&format!("reason={code}"));
    }
    assert_served(&program, 1);
    let lines = program.log.0.lock().unwrap().iter().filter(|l| l.starts_with("end ")).count();
    assert!(lines <= 4, "one log line for each connection: {lines}");
}
