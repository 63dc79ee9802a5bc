//! What brings two events about in the bad order: a program that stands still while both happen, a server whose
//! connections come up late, a notice board that speaks when it is told to.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Edge, Program, TEST_TIMEOUT, settings};

impl Program {
    /// Stops the process, does something, and lets it go on: all that was done lies in the machine's buffers by then,
    /// in the order in which it was done.
    pub fn while_stopped<T>(&self, act: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let begun = Instant::now();
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        while !state().rsplit(')').next().unwrap().trim_start().starts_with('T') {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it does not stop");
            std::thread::yield_now();
        }
        let done = act();
        self.signal("-CONT");
        done
    }

    /// Waits until the program has had a whole turn after this: its second address has answered.
    pub fn settle(&self) {
        assert!(!self.call("check\n").is_empty());
    }
}

/// Lets time pass, so that what waits for it is due; what is tested does not hang on how much.
pub fn pass(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A listening socket whose queue is full: connections to it come up once it is freed, when their machine asks again,
/// about a second after it asked first.
pub struct FullAcceptQueue {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullAcceptQueue {
    pub fn new() -> FullAcceptQueue {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // A queue of nought holds one; further ones are not answered.
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
        }
        FullAcceptQueue { listener, fillers }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Frees the queue and serves.
    pub fn free(self, edge: &Edge) {
        for _ in &self.fillers {
            self.listener.accept().unwrap();
        }
        edge.serve_on(self.listener);
    }
}

#[derive(Default)]
struct Spoken {
    conns: Vec<TcpStream>,
    asked: Vec<String>,
    /// Told to each that has heard nothing yet.
    standing: Option<Value>,
}

/// A stand-in notice board: each connection gets a head, then only what it is told to say.
#[derive(Clone)]
pub struct NoticeBoard {
    pub address: SocketAddr,
    spoken: Arc<(Mutex<Spoken>, Condvar)>,
}

impl NoticeBoard {
    pub fn start() -> NoticeBoard {
        NoticeBoard::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn on(listener: TcpListener) -> NoticeBoard {
        let notices = NoticeBoard { address: listener.local_addr().unwrap(), spoken: Arc::default() };
        let board = notices.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                board.greet(stream);
            }
        });
        notices
    }

    fn greet(&self, mut stream: TcpStream) {
        let (mut asked, mut byte) = (String::new(), [0; 1]);
        while !asked.ends_with("\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => asked.push(char::from(byte[0])),
                _ => return,
            }
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n";
        if stream.write_all(head.as_bytes()).is_ok() {
            let mut spoken = self.spoken.0.lock().unwrap();
            if let Some(event) = spoken.standing.as_ref().filter(|_| asked.contains("Last-Event-ID: 0\r\n")) {
                let _ = stream.write_all(format!("id: {}\ndata: {event}\n\n", event["rev"]).as_bytes());
            }
            spoken.asked.push(asked);
            spoken.conns.push(stream);
            self.spoken.1.notify_all();
        }
    }

    /// Waits for the `n`th asking, from 1; gives the last event that it named.
    pub fn wait_for_request(&self, n: usize) -> u64 {
        let mut spoken = self.spoken.0.lock().unwrap();
        while spoken.asked.len() < n {
            let (next, late) = self.spoken.1.wait_timeout(spoken, TEST_TIMEOUT).unwrap();
            assert!(!late.timed_out(), "the board was never asked so often");
            spoken = next;
        }
        let asked = &spoken.asked[n - 1];
        asked.split("Last-Event-ID: ").nth(1).and_then(|t| t.split("\r\n").next()).unwrap().parse().unwrap()
    }

    /// Says something on the newest connection, as it stands.
    pub fn say(&self, text: &str) {
        let spoken = self.spoken.0.lock().unwrap();
        let mut stream = spoken.conns.last().expect("nobody has asked");
        let _ = stream.write_all(text.as_bytes());
    }

    /// Tells an event.
    pub fn tell(&self, event: &Value) {
        self.say(&format!("id: {}\ndata: {event}\n\n", event["rev"]));
    }

    /// From now on an event is told to each that has heard nothing yet.
    pub fn stand(&self, event: &Value) {
        self.spoken.0.lock().unwrap().standing = Some(event.clone());
    }

    /// Ends the newest connection.
    pub fn hang_up(&self) {
        let spoken = self.spoken.0.lock().unwrap();
        let _ = spoken.conns.last().expect("nobody has asked").shutdown(std::net::Shutdown::Both);
    }
}

/// An event that tells of servers: name, address, cell, state.
pub fn event(number: u64, all: bool, servers: &[(&str, SocketAddr, u32, &str)]) -> Value {
    let target = |(id, address, cell, state): &(&str, SocketAddr, u32, &str)| {
        json!({"uid": id, "endpoint": address.to_string(), "az": "east", "model": "std", "pod_group": cell,
            "state": state, "capacity_hint": 4, "boot_ms": 0})
    };
    let targets: Vec<Value> = servers.iter().map(target).collect();
    json!({"rev": number, "pool": {"rev": number, "all": all, "targets": targets}})
}

/// The events of the start as the configuration holds them.
pub fn known_from_event(event: &Value) -> Value {
    json!({"rev": event["rev"], "notices": [event]})
}

/// What a client hears next: a whole line, or nothing at the end of its connection.
pub fn line(stream: &mut TcpStream) -> Option<Value> {
    let (mut line, mut byte) = (Vec::new(), [0; 1]);
    loop {
        match stream.read(&mut byte) {
            Ok(1) if byte[0] == b'\n' => return Some(serde_json::from_slice(&line).unwrap()),
            Ok(1) => line.push(byte[0]),
            Ok(_) => {
                assert!(line.is_empty(), "an answer broke off: {line:?}");
                return None;
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
            Err(error) => panic!("nothing heard: {error}"),
        }
    }
}

/// The same, but for lines on others than this session.
pub fn final_answer(stream: &mut TcpStream, id: u64) -> Option<Value> {
    loop {
        let line = line(stream)?;
        let final_one = line["type"] == "answer" || line["type"] == "release";
        if line["id"] == format!("{id:016x}") && final_one {
            return Some(line);
        }
    }
}

/// Asks for a free session that one cell's servers may hold.
pub fn send_set_up_for_cell(stream: &mut TcpStream, id: u64, cell: usize, offer: &str) {
    let fields = json!({"class": "clip", "left": 50_000, "tenant": "home", "key": format!("k{cell}"),
        "extras": format!("home:{cell};copies:1;top:1")});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": offer, "fields": fields});
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// Settings by which no set-up waits for room on an uplink.
pub fn settings_with_spare_uplink(deadline: f64) -> Value {
    let mut settings = settings(deadline);
    settings["FamilyInfo"]["RackKb"] = json!(1e9);
    settings
}

/// The line of a test.
pub fn ping() -> String {
    format!("{}\n", json!({"type": "ping", "id": "00000000000000aa", "fields": {}, "cause": 0}))
}
