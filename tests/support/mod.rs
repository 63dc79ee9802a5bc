//! The shared helper of the network tests: the program as a process, stand-in edge servers, and clients.
#![allow(dead_code, unused_imports)] // each test file uses its own part

pub mod askers;
pub mod crossing;
pub mod handover_relay;
mod http;
pub mod load;
mod program;
pub mod versions;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use amberspindle::api::SessionId;
use amberspindle::message::binary::{Builder, Decoder, code};
use amberspindle::message::{Kind, cause};
use serde_json::{Value, json};

pub use http::{Reply, ask, http, patch, reply};
pub use program::{Program, config, starting, tempdir};

/// Nothing here takes so long; a test that waits for it in vain fails instead of hanging.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// What a stand-in does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeBehaviour {
    Answers,
    Full,
    Fails,
    Silent,
    /// Breaks the connection once the set-up has come.
    Breaks,
}

#[derive(Default)]
struct Heard {
    set_ups: Vec<(SessionId, String)>,
    /// When each came, and on which connection.
    times: Vec<Instant>,
    on: Vec<TcpStream>,
    /// Offers of the set-ups that were not turned away unseen.
    ran: Vec<String>,
    releases: Vec<SessionId>,
    rates: Vec<SessionId>,
    conns: Vec<TcpStream>,
}

/// A stand-in edge server on a thread of its own.
#[derive(Clone)]
pub struct Edge {
    pub address: SocketAddr,
    manner: Arc<Mutex<EdgeBehaviour>>,
    heard: Arc<(Mutex<Heard>, Condvar)>,
}

pub fn edge_answer(id: SessionId, offer: &str) -> String {
    format!("v=0\r\no=edge {:016x}\r\ns={}\r\nm=video 9\r\n", id.0, offer.len())
}

impl Edge {
    pub fn start(manner: EdgeBehaviour) -> Edge {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let edge = Edge {
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(manner)),
            heard: Arc::default(),
        };
        edge.serve_on(listener);
        edge
    }

    /// Serves what comes to one more listening socket.
    pub fn serve_on(&self, listener: TcpListener) {
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
    }

    pub fn set_behaviour(&self, manner: EdgeBehaviour) {
        *self.manner.lock().unwrap() = manner;
    }

    fn serve(&self, mut stream: TcpStream) {
        self.heard.0.lock().unwrap().conns.push(stream.try_clone().unwrap());
        let (mut decoder, mut buffer) = (Decoder::default(), [0; 4096]);
        while let Ok(n) = stream.read(&mut buffer) {
            if n == 0 {
                return;
            }
            decoder.feed(&buffer[..n]);
            while let Some(packet) = decoder.next_packet().expect("the broker writes whole messages") {
                let (id, kind) = (packet.id, packet.kind);
                let offer = packet.text(code::DESCRIPTION).unwrap_or("").to_owned();
                let manner = *self.manner.lock().unwrap();
                let mut heard = self.heard.0.lock().unwrap();
                match kind {
                    Kind::SetUp => {
                        assert!(packet.text(code::CLASS).is_some() && packet.text(code::WAIT).is_some());
                        heard.set_ups.push((id, offer.clone()));
                        heard.times.push(Instant::now());
                        heard.on.push(stream.try_clone().unwrap());
                        if manner != EdgeBehaviour::Full {
                            heard.ran.push(offer.clone());
                        }
                    }
                    Kind::Release => heard.releases.push(id),
                    Kind::Rate => heard.rates.push(id),
                    other => panic!("an edge server is not sent {other:?}"),
                }
                self.heard.1.notify_all();
                drop(heard);
                if kind == Kind::SetUp {
                    match manner {
                        EdgeBehaviour::Answers => self.write(&mut stream, answer(id, &offer)),
                        EdgeBehaviour::Full => self.write(&mut stream, release(id, cause::FULL)),
                        EdgeBehaviour::Fails => self.write(&mut stream, release(id, cause::ERROR)),
                        EdgeBehaviour::Silent => {}
                        EdgeBehaviour::Breaks => {
                            let _ = stream.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                }
            }
        }
    }

    fn write(&self, stream: &mut TcpStream, message: Builder) {
        let _ = stream.write_all(&message.finish().unwrap());
    }

    /// Says something on the connection of a set-up.
    pub fn send_on_connection_of(&self, id: SessionId, message: Builder) {
        let n = self.set_ups().into_iter().position(|(of, _)| of == id).unwrap();
        let mut stream = self.heard.0.lock().unwrap().on[n].try_clone().unwrap();
        self.write(&mut stream, message);
    }

    /// Answers a set-up late, on its own connection.
    pub fn send_answer(&self, id: SessionId) {
        let offer = self.set_ups().into_iter().find(|(of, _)| *of == id).unwrap().1;
        self.send_on_connection_of(id, answer(id, &offer));
    }

    /// Says something on the newest connection.
    pub fn say(&self, message: Builder) {
        let mut stream = self.heard.0.lock().unwrap().conns.last().unwrap().try_clone().unwrap();
        self.write(&mut stream, message);
    }

    pub fn set_ups(&self) -> Vec<(SessionId, String)> {
        self.heard.0.lock().unwrap().set_ups.clone()
    }

    /// How many connections came.
    pub fn connections(&self) -> usize {
        self.heard.0.lock().unwrap().conns.len()
    }

    /// When set-ups came.
    pub fn times(&self) -> Vec<Instant> {
        self.heard.0.lock().unwrap().times.clone()
    }

    /// Offers of the set-ups that were not turned away unseen.
    pub fn ran(&self) -> Vec<String> {
        self.heard.0.lock().unwrap().ran.clone()
    }

    fn wait<T>(&self, what: &str, mut found: impl FnMut(&Heard) -> Option<T>) -> T {
        let mut heard = self.heard.0.lock().unwrap();
        loop {
            if let Some(found) = found(&heard) {
                return found;
            }
            let (next, late) = self.heard.1.wait_timeout(heard, TEST_TIMEOUT).unwrap();
            assert!(!late.timed_out(), "never heard of {what}");
            heard = next;
        }
    }

    /// Waits for the `n`th set-up, from 1.
    pub fn wait_for_set_up(&self, n: usize) -> SessionId {
        self.wait("a set-up", |h| h.set_ups.get(n - 1).map(|s| s.0))
    }

    /// Waits until a session was released so often.
    pub fn released(&self, id: SessionId, times: usize) {
        self.wait("a release", |h| (h.releases.iter().filter(|r| **r == id).count() >= times).then_some(()));
    }
}

pub fn answer(id: SessionId, offer: &str) -> Builder {
    Builder::new(Kind::Answer, id).with(code::DESCRIPTION, edge_answer(id, offer).as_bytes())
}

pub fn release(id: SessionId, cause: u8) -> Builder {
    Builder::new(Kind::Release, id).cause(cause)
}

/// The module's settings: `paid` and `clip`, three cells, a deadline in milliseconds.
pub fn settings(deadline: f64) -> Value {
    json!({
        "Instances": 1, "SlotNo": 0, "Locality": 0, "Period": 10.0, "Kinds": ["std"], "Azs": ["east"],
        "Tenants": [{"Name": "home"}],
        "FamilyInfo": {"LadderKb": [100.0, 200.0], "LadderWorth": [0.4, 1.0], "Places": 3, "Racks": 1,
            "LinkUnitKb": 100000.0, "RackKb": 300000.0},
        "RequestClasses": [
            {"Name": "paid", "Slo": deadline / 2.0, "Deadline": deadline, "Effect": "non_idempotent"},
            {"Name": "clip", "Slo": deadline / 2.0, "Deadline": deadline, "Effect": "read_like"}],
        "Limits": {"AttemptsCap": 4, "ConnectTimeout": 2000.0, "Keepalive": 60000.0},
        "Rules": {"StopSendingWithin": 500.0},
    })
}

/// The list of the start: one server a cell.
pub fn known(edges: &[&Edge]) -> Value {
    let target = |(cell, edge): (usize, &&Edge)| {
        json!({"uid": format!("s-{cell}"), "endpoint": edge.address.to_string(), "az": "east", "model": "std",
            "pod_group": cell, "state": "in_service", "capacity_hint": 4, "boot_ms": 0})
    };
    let targets: Vec<Value> = edges.iter().enumerate().map(target).collect();
    json!({"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": true, "targets": targets}}]})
}

/// Asks for a session of a class with an offer, and tells how long its viewer waits.
pub fn send_set_up(stream: &mut TcpStream, id: u64, class: &str, left: u64, offer: &str) {
    let fields = json!({"class": class, "left": left, "tenant": "home", "key": format!("k{}", id % 7),
        "extras": "home:0;copies:3;top:1"});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": offer, "fields": fields});
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}
