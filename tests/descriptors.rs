//! Descriptors run short: each kind of connection has its own budget, so that clients' connections can't block any
//! other work.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
const DESCRIPTOR_LIMIT: usize = 64;

/// Returns the same command with a lower limit on descriptors.
fn with_descriptor_limit(command: &Command) -> Command {
    let mut shell = Command::new("sh");
    shell.arg("-c").arg(format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\" \"$@\""));
    shell.arg(command.get_program()).args(command.get_args());
    for (name, value) in command.get_envs() {
        match value {
            Some(value) => shell.env(name, value),
            None => shell.env_remove(name),
        };
    }
    shell
}

fn start_program(config: &serde_json::Value) -> Program {
    let files = tempdir::Dir::new();
    let command = with_descriptor_limit(&Program::command(&files, config, &[]));
    Program::start(command, files, &["viewer", "console"])
}

fn config_json(known: serde_json::Value, board: SocketAddr) -> serde_json::Value {
    let mut settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    settings["FamilyInfo"]["Places"] = json!(64);
    json!({"name": "n1", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "settings": settings, "known": known, "board": board.to_string()})
}

/// Returns the processor time that a process has used, in clock ticks.
fn cpu_ticks(program: &Program) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", program.pid())).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Keeps a hundred connections open that send a ping and then nothing, and connects again when one is closed.
fn hold_idle_connections(at: SocketAddr, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    let stop = stop.clone();
    std::thread::spawn(move || {
        let connect = || {
            let mut stream = TcpStream::connect(at).unwrap();
            let _ = stream.write_all(ping().as_bytes());
            stream.set_nonblocking(true).unwrap();
            stream
        };
        let mut idle: Vec<TcpStream> = (0..100).map(|_| connect()).collect();
        while !stop.load(Ordering::Relaxed) {
            for stream in &mut idle {
                let mut buffer = [0; 256];
                let is_closed = loop {
                    match std::io::Read::read(stream, &mut buffer) {
                        Ok(0) => break true,
                        Ok(_) => {}
                        Err(error) => break error.kind() != std::io::ErrorKind::WouldBlock,
                    }
                };
                if is_closed {
                    *stream = connect();
                }
            }
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    })
}

/// Discovery can't be reached from the start, and idle clients hold all descriptors that they can get. Guards against
/// ignoring the system's limit: clients' connections used up the descriptor that the notice board needs.
#[test]
fn server_list_recovers_while_idle_clients_hold_all_their_descriptors() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    // A bound address refuses connections until it listens.
    let listener = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&listener, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = TcpListener::from(listener);
    let board = listener.local_addr().unwrap();
    let program = start_program(&config_json(json!({"rev": 0, "notices": []}), board));
    let mut waiting_client = program.connect("viewer");
    send_set_up(&mut waiting_client, 1, "paid", 50_000, "waits");
    program.settle();
    let stop = Arc::new(AtomicBool::new(false));
    let idle_clients = hold_idle_connections(program.fronts["viewer"], &stop);
    let descriptors = || std::fs::read_dir(format!("/proc/{}/fd", program.pid())).unwrap().count();
    while descriptors() < DESCRIPTOR_LIMIT / 2 {
        std::thread::yield_now();
    }
    let before = cpu_ticks(&program);
    pass(1000);
    assert!(
        cpu_ticks(&program) - before < 50,
        "busy loop: {} ticks in a second",
        cpu_ticks(&program) - before
    );
    assert!(!program.call("check\n").is_empty(), "the console has its own descriptors");
    listen(&listener, 16).unwrap();
    let board = NoticeBoard::on(listener);
    board.wait_for_request(1);
    board.tell(&event(1, true, &[("s-0", edge.address, 0, "in_service")]));
    assert_eq!(
        final_answer(&mut waiting_client, 1).unwrap()["type"],
        "answer",
        "a request on an open connection"
    );
    let mut new = program.connect("viewer");
    send_set_up(&mut new, 2, "clip", 50_000, "new");
    assert_eq!(final_answer(&mut new, 2).unwrap()["type"], "answer", "a new client gets room");
    // Discovery fails meanwhile and comes back.
    board.hang_up();
    board.wait_for_request(2);
    board.tell(&event(2, false, &[("s-0", edge.address, 0, "terminating")]));
    program.wait_for_log("generation=2");
    assert!(descriptors() <= DESCRIPTOR_LIMIT);
    stop.store(true, Ordering::Relaxed);
    idle_clients.join().unwrap();
}

/// Requests a session in one cell with a short deadline.
fn send_short_deadline_set_up(stream: &mut TcpStream, id: u64, cell: u64) {
    let fields = json!({"class": "clip", "left": 400, "tenant": "home", "key": "k",
        "extras": format!("home:{cell};copies:1;top:1")});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": "soon", "fields": fields});
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// There are more servers than descriptors for them: each request is answered, and the board and new clients are
/// served.
#[test]
fn serves_all_connections_with_more_servers_than_descriptors() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let mut listeners = Vec::new();
    let mut servers = Vec::new();
    for n in 0..24 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        servers.push((format!("s-{n}"), listener.local_addr().unwrap()));
        edge.serve_on(listener.try_clone().unwrap());
        listeners.push(listener);
    }
    let named: Vec<(&str, SocketAddr, u32, &str)> =
        servers.iter().zip(0..).map(|((id, at), cell)| (id.as_str(), *at, cell, "in_service")).collect();
    let board = NoticeBoard::start();
    let program = start_program(&config_json(known_from_event(&event(1, true, &named)), board.address));
    board.wait_for_request(1);
    let mut client = program.connect("viewer");
    let mut established = 0;
    for cell in 0..24 {
        send_short_deadline_set_up(&mut client, cell + 1, cell);
        let last_line = final_answer(&mut client, cell + 1).expect("one answer each");
        established += usize::from(last_line["type"] == "answer");
    }
    assert!(established >= 8, "{established} sessions established");
    board.tell(&event(2, false, &[("s-0", servers[0].1, 0, "terminating")]));
    program.wait_for_log("generation=2");
    assert!(!program.call("check\n").is_empty());
    let mut new = program.connect("viewer");
    send_short_deadline_set_up(&mut new, 100, 1);
    assert!(final_answer(&mut new, 100).is_some());
    // Descriptors for other servers become free once sessions have ended.
    for id in 1..=24 {
        let release = json!({"type": "release", "id": format!("{id:016x}"), "fields": {}, "cause": 16});
        client.write_all(format!("{release}\n").as_bytes()).unwrap();
    }
    let answered = (1..60).any(|n| {
        send_short_deadline_set_up(&mut new, 200 + n, 23 - n % 8);
        final_answer(&mut new, 200 + n).unwrap()["type"] == "answer"
    });
    assert!(answered, "no descriptor becomes free");
}
