//! Small stand-ins for the platform of a playback broker: edge servers, a notice board and viewers, over loopback
//! sockets and the real clock. Standard library only. Each case of the review includes this file.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// The next close of the socket resets its connection.
fn reset_at_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Arc::new(Record { file: Mutex::new(File::create(path).expect("record")), start: Instant::now() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Writes the line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Whether the disruption is brought about.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map(|t| t != "0").unwrap_or(true)
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, brokers: &mut [Broker], code: i32, why: &str) -> ! {
    record.say(format!("result {code}: {why}"));
    brokers.iter_mut().for_each(Broker::end);
    std::process::exit(code)
}

/// A small generator of random numbers with a fixed seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 11) % end.max(1)
    }

    /// A number from `from` to `to`.
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.below(1 << 20) as f64 / (1u64 << 20) as f64)
    }
}

// ---------------------------------------------------------------- binary messages

pub mod kind {
    pub const SET_UP: u8 = 1;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const RELEASED: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const PING: u8 = 52;
    pub const PONG: u8 = 53;
    pub const RATE: u8 = 60;
}

pub struct Message {
    pub kind: u8,
    pub id: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, id: u64) -> Message {
        Message { kind, id, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Message {
        self.parameters.push((code, value.to_vec()));
        self
    }

    pub fn text(&self, code: u8) -> String {
        let value = self.parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| v.as_slice());
        String::from_utf8_lossy(value.unwrap_or_default()).into_owned()
    }

    pub fn cause(&self) -> u8 {
        self.parameters.iter().find(|(c, _)| *c == 17).and_then(|(_, v)| v.first().copied()).unwrap_or(0)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.id.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Takes the first whole message off the front of a buffer.
    pub fn take(buffer: &mut Vec<u8>) -> Option<Message> {
        let length = u16::from_be_bytes([*buffer.first()?, *buffer.get(1)?]) as usize;
        if length < 9 || buffer.len() < 2 + length {
            return None;
        }
        let body: Vec<u8> = buffer.drain(..2 + length).skip(2).collect();
        let mut message = Message::new(body[0], u64::from_be_bytes(body[1..9].try_into().ok()?));
        let mut rest = &body[9..];
        while rest.len() >= 3 {
            let n = u16::from_be_bytes([rest[1], rest[2]]) as usize;
            if rest.len() < 3 + n {
                break;
            }
            message.parameters.push((rest[0], rest[3..3 + n].to_vec()));
            rest = &rest[3 + n..];
        }
        Some(message)
    }
}

// ---------------------------------------------------------------- edge servers

/// A session that stands at a server.
#[derive(Clone, Debug)]
pub struct Standing {
    pub conn: u64,
    pub since: f64,
    pub class: String,
    pub boot: u32,
}

#[derive(Default)]
struct ServerState {
    conns: BTreeMap<u64, Sender<Vec<u8>>>,
    standing: BTreeMap<u64, Standing>,
    /// Every session that ever stood here, with the start of the process that ran it.
    ran: Vec<(u64, f64, u32)>,
    fillers: Vec<(SocketAddr, TcpStream)>,
    /// The descriptions of all set-ups that were carried out, with their times.
    offers: Vec<(String, f64)>,
    /// Releases that go out on the next connection as well.
    again: Vec<Vec<u8>>,
    /// Sessions that this server has ended, with the time at which their release was sent.
    ended: Vec<(u64, f64)>,
}

/// A stand-in edge server: it sets up whatever it is sent, plays it until it is released, and sends notes on its link.
pub struct Server {
    pub name: String,
    pub cell: usize,
    pub address: SocketAddr,
    record: Arc<Record>,
    state: Mutex<ServerState>,
    /// Cut off: nothing is read or written, and no connection comes up.
    cut: AtomicBool,
    /// No connection comes up, all else goes on.
    closed_door: AtomicBool,
    /// The process stands still: nothing is accepted, read or written. Its machine goes on taking connections.
    still: AtomicBool,
    /// All connections that waited have been accepted since.
    going: AtomicBool,
    /// Its connections are read and written.
    writes: AtomicBool,
    dead: AtomicBool,
    boot: AtomicU32,
    listener: AtomicU64,
    pub accepted: AtomicU64,
    next_conn: AtomicU64,
    /// Time between notes; 0: none.
    notes_ms: u64,
    /// Time to set a session up, in milliseconds.
    pub set_up_ms: AtomicU64,
    /// Connections up to this number are reset.
    reset_below: AtomicU64,
}

impl Server {
    pub fn start(record: &Arc<Record>, cell: usize, notes_ms: u64) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = Arc::new(Server {
            name: format!("s-{:08x}", 0xc41f70 + cell),
            cell,
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            state: Mutex::default(),
            cut: AtomicBool::new(false),
            closed_door: AtomicBool::new(false),
            still: AtomicBool::new(false),
            going: AtomicBool::new(true),
            writes: AtomicBool::new(true),
            dead: AtomicBool::new(false),
            boot: AtomicU32::new(0),
            listener: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            next_conn: AtomicU64::new(0),
            notes_ms,
            set_up_ms: AtomicU64::new(0),
            reset_below: AtomicU64::new(0),
        });
        server.clone().serve_on(listener);
        let noting = server.clone();
        if notes_ms > 0 {
            thread::spawn(move || noting.send_notes());
        }
        server
    }

    fn serve_on(self: Arc<Server>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        self.listener.store(listener.as_raw_fd() as u64, Ordering::SeqCst);
        thread::spawn(move || {
            while !self.dead.load(Ordering::SeqCst) {
                let boot = self.boot.load(Ordering::SeqCst);
                let still = self.still.load(Ordering::SeqCst);
                if still || self.cut.load(Ordering::SeqCst) || self.closed_door.load(Ordering::SeqCst) {
                    sleep_ms(2);
                    continue;
                }
                match listener.accept() {
                    Ok((stream, peer)) => {
                        let mut state = self.state.lock().unwrap();
                        if let Some(at) = state.fillers.iter().position(|(a, _)| *a == peer) {
                            state.fillers.remove(at);
                            continue;
                        }
                        drop(state);
                        let _ = stream.set_nonblocking(false);
                        self.accepted.fetch_add(1, Ordering::SeqCst);
                        let conn = self.next_conn.fetch_add(1, Ordering::SeqCst);
                        let (send, queue) = channel();
                        let mut state = self.state.lock().unwrap();
                        state.again.drain(..).for_each(|bytes| drop(send.send(bytes)));
                        state.conns.insert(conn, send);
                        drop(state);
                        let server = self.clone();
                        thread::spawn(move || server.drive(stream, conn, boot, &queue));
                    }
                    Err(_) => {
                        // All that waited is accepted.
                        self.going.store(!self.still.load(Ordering::SeqCst), Ordering::SeqCst);
                        sleep_ms(2);
                    }
                }
            }
        });
    }

    fn drive(&self, mut stream: TcpStream, conn: u64, boot: u32, queue: &Receiver<Vec<u8>>) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(3)));
        let (mut heard, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            if self.dead.load(Ordering::SeqCst) {
                // The process has died: its connections are reset.
                reset_at_close(&stream);
                break;
            }
            if self.boot.load(Ordering::SeqCst) != boot {
                // The machine that knew this connection has vanished: whatever comes on it is answered by a reset.
                match stream.read(&mut buffer) {
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                    _ => {}
                }
                reset_at_close(&stream);
                break;
            }
            if conn < self.reset_below.load(Ordering::SeqCst) {
                reset_at_close(&stream);
                break;
            }
            if self.cut.load(Ordering::SeqCst) || !self.writes.load(Ordering::SeqCst) {
                sleep_ms(3);
                continue;
            }
            while let Ok(bytes) = queue.try_recv() {
                let _ = stream.write_all(&bytes);
            }
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => heard.extend_from_slice(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            while let Some(message) = Message::take(&mut heard) {
                self.hear(conn, boot, &message);
            }
        }
        self.state.lock().unwrap().conns.remove(&conn);
        self.record.line(format!("{} conn={conn} ended", self.name));
    }

    fn hear(&self, conn: u64, boot: u32, message: &Message) {
        let (name, id) = (&self.name, message.id);
        match message.kind {
            kind::SET_UP => {
                let class = message.text(3);
                self.record.line(format!(
                    "{name} conn={conn} set-up id={id:016x} class={class} rung={}",
                    message.text(14)
                ));
                let answer = Message::new(kind::ANSWER, id)
                    .with(18, format!("{}\r\no=edge {id:016x} {name}\r\n", message.text(18)).as_bytes());
                let now = self.record.now();
                let mut state = self.state.lock().unwrap();
                state.standing.insert(id, Standing { conn, since: now, class, boot });
                state.ran.push((id, now, boot));
                state.offers.push((message.text(18), now));
                if let Some(send) = state.conns.get(&conn).cloned() {
                    let takes = self.set_up_ms.load(Ordering::SeqCst);
                    if takes == 0 {
                        let _ = send.send(answer.bytes());
                    } else {
                        thread::spawn(move || {
                            sleep_ms(takes);
                            let _ = send.send(answer.bytes());
                        });
                    }
                }
            }
            kind::RELEASE => {
                self.record
                    .line(format!("{name} conn={conn} release id={id:016x} cause={}", message.cause()));
                let mut state = self.state.lock().unwrap();
                state.standing.remove(&id);
                if let Some(send) = state.conns.get(&conn) {
                    let _ = send.send(Message::new(kind::RELEASED, id).bytes());
                }
            }
            kind::PING => {
                let pong = Message::new(kind::PONG, id).with(17, &[1]).bytes();
                if let Some(send) = self.state.lock().unwrap().conns.get(&conn) {
                    let _ = send.send(pong);
                }
            }
            _ => {}
        }
    }

    /// Tells how full the link is, on one session that stands.
    fn send_notes(&self) {
        loop {
            sleep_ms(self.notes_ms);
            if self.dead.load(Ordering::SeqCst) || self.still.load(Ordering::SeqCst) {
                continue;
            }
            let state = self.state.lock().unwrap();
            let Some((id, standing)) = state.standing.iter().next() else { continue };
            let full = (state.standing.len() as f64 * 0.05).min(0.9);
            let send = state.conns.get(&standing.conn).or_else(|| state.conns.values().next_back());
            if let Some(send) = send {
                for (what, figure) in [("wire", full), ("trunk", full * 0.8)] {
                    let note = Message::new(kind::NOTE, *id)
                        .with(10, what.as_bytes())
                        .with(15, format!("{figure:.3}").as_bytes());
                    let _ = send.send(note.bytes());
                }
            }
        }
    }

    /// Ends a session that has come to its end: the release goes out on the connection of its set-up, or else on any
    /// open one, and on the next connection as well.
    pub fn end_session(&self, id: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(standing) = state.standing.remove(&id) else { return false };
        let bytes = Message::new(kind::RELEASE, id).with(17, &[16]).bytes();
        let now = self.record.now();
        let send = state.conns.get(&standing.conn).or_else(|| state.conns.values().next_back());
        let conn = send.is_some();
        if let Some(send) = send {
            let _ = send.send(bytes.clone());
        }
        state.again.push(bytes);
        state.ended.push((id, now));
        self.record.line(format!("{} session id={id:016x} has come to its end, told={conn}", self.name));
        true
    }

    /// Ends every session that has played for so long.
    pub fn end_older(&self, seconds: f64) {
        let now = self.record.now();
        for (id, standing) in self.standing() {
            if now - standing.since >= seconds + (id % 16) as f64 * 0.1 {
                self.end_session(id);
            }
        }
    }

    pub fn ended(&self) -> Vec<(u64, f64)> {
        self.state.lock().unwrap().ended.clone()
    }

    pub fn offers(&self) -> Vec<(String, f64)> {
        self.state.lock().unwrap().offers.clone()
    }

    pub fn standing(&self) -> BTreeMap<u64, Standing> {
        self.state.lock().unwrap().standing.clone()
    }

    pub fn stands(&self, id: u64) -> bool {
        self.state.lock().unwrap().standing.contains_key(&id)
    }

    pub fn boot(&self) -> u32 {
        self.boot.load(Ordering::SeqCst)
    }

    /// Fills the queue of connections that wait to be accepted, so that no further one comes up.
    fn fill(&self) {
        let fd = self.listener.load(Ordering::SeqCst) as RawFd;
        unsafe { listen(fd, 0) };
        for _ in 0..4 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(40)) {
                Ok(stream) => {
                    if let Ok(own) = stream.local_addr() {
                        self.state.lock().unwrap().fillers.push((own, stream));
                    }
                }
                Err(_) => break,
            }
        }
    }

    fn unfill(&self) {
        let fd = self.listener.load(Ordering::SeqCst) as RawFd;
        unsafe { listen(fd, 128) };
    }

    /// Cuts the server off: open connections stay open and silent, new ones never come up.
    pub fn cut_off(&self) {
        self.record.line(format!("{} is cut off", self.name));
        self.cut.store(true, Ordering::SeqCst);
        self.fill();
    }

    pub fn join_again(&self) {
        self.unfill();
        self.cut.store(false, Ordering::SeqCst);
        self.record.line(format!("{} is reached again", self.name));
    }

    /// Resets all open connections; sessions that stand play on.
    pub fn reset_connections(&self) {
        self.record.line(format!("{} resets its connections", self.name));
        self.reset_below.store(self.next_conn.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// The process stands still, as one that is stopped.
    pub fn stand_still(&self) {
        self.writes.store(false, Ordering::SeqCst);
        self.still.store(true, Ordering::SeqCst);
        self.going.store(false, Ordering::SeqCst);
        self.record.line(format!("{} stands still", self.name));
    }

    /// It goes on: accepts the connections that wait, then ends the sessions whose end has come meanwhile, then writes
    /// and reads on its connections as before.
    pub fn go_on(&self, end_due: impl Fn(&Server)) {
        self.record.line(format!("{} goes on", self.name));
        self.still.store(false, Ordering::SeqCst);
        while !self.going.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
        end_due(self);
        self.writes.store(true, Ordering::SeqCst);
    }

    /// From now on no connection comes up; those that are open go on.
    pub fn shut_door(&self) {
        self.closed_door.store(true, Ordering::SeqCst);
        self.fill();
        self.record.line(format!("{}: the next connection does not come up", self.name));
    }

    pub fn open_door(&self) {
        self.unfill();
        self.closed_door.store(false, Ordering::SeqCst);
        self.record.line(format!("{}: connections come up again", self.name));
    }

    /// The process dies: connections are reset, sessions are cut, new connections are refused.
    pub fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        self.record.line(format!("{} dies with {} sessions", self.name, state.standing.len()));
        state.standing.clear();
        drop(state);
        // Until every thread has let its socket go.
        sleep_ms(30);
    }

    /// The machine vanishes: its connections stay open and silent, new ones never come up, its sessions are lost.
    pub fn vanish(&self) {
        let mut state = self.state.lock().unwrap();
        self.record.line(format!("{} vanishes with {} sessions", self.name, state.standing.len()));
        state.standing.clear();
        drop(state);
        self.cut_off();
    }

    /// It is back with a new process, under its id and address; it knows nothing of what was.
    pub fn come_back(self: &Arc<Server>) {
        self.boot.fetch_add(1, Ordering::SeqCst);
        {
            let mut state = self.state.lock().unwrap();
            state.conns.clear();
            state.again.clear();
        }
        self.unfill();
        self.cut.store(false, Ordering::SeqCst);
        self.record.line(format!("{} is back with a new process", self.name));
    }

    /// A new process starts at the same address, under the same id.
    pub fn start_again(self: &Arc<Server>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(5),
            }
        };
        self.boot.fetch_add(1, Ordering::SeqCst);
        self.dead.store(false, Ordering::SeqCst);
        self.record.line(format!("{} has started again", self.name));
        self.clone().serve_on(listener);
    }

    /// The line of the list.
    pub fn target(&self, state: &str, boot_ms: u64) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"dc-dublin","model":"box-2core","pod_group":{},"state":"{state}","capacity_hint":4,"boot_ms":{boot_ms}}}"#,
            self.name, self.address, self.cell
        )
    }
}

// ---------------------------------------------------------------- notice board

pub struct Board {
    pub address: SocketAddr,
    events: Mutex<Vec<String>>,
}

impl Board {
    pub fn start(servers: &[Arc<Server>]) -> Arc<Board> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let targets: Vec<String> = servers.iter().map(|s| s.target("in_service", 0)).collect();
        let first = format!(r#"{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{}]}}}}"#, targets.join(","));
        let board = Arc::new(Board {
            address: listener.local_addr().expect("an address"),
            events: Mutex::new(vec![first]),
        });
        let serving = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = serving.clone();
                thread::spawn(move || board.serve(stream));
            }
        });
        board
    }

    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(r#"{{"rev":{},"notices":[{}]}}"#, events.len(), events.join(","))
    }

    /// Puts an event with these targets in the board.
    pub fn push(&self, targets: &[String]) {
        let mut events = self.events.lock().unwrap();
        let rev = events.len() + 1;
        events.push(format!(
            r#"{{"rev":{rev},"pool":{{"rev":{rev},"all":false,"targets":[{}]}}}}"#,
            targets.join(",")
        ));
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut head, mut buffer) = (Vec::new(), [0; 2048]);
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(n @ 1..) => head.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last =
            head.lines().find_map(|l| l.strip_prefix("last-event-id:")).and_then(|n| n.trim().parse().ok());
        let mut next: usize = last.unwrap_or(0);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        let mut comment = Instant::now();
        loop {
            let new: Vec<String> = self.events.lock().unwrap().iter().skip(next).cloned().collect();
            for event in new {
                next += 1;
                if stream.write_all(format!("id: {next}\ndata: {event}\n\n").as_bytes()).is_err() {
                    return;
                }
            }
            if comment.elapsed() >= Duration::from_secs(1) {
                comment = Instant::now();
                if stream.write_all(b": here\n\n").is_err() {
                    return;
                }
            }
            sleep_ms(5);
        }
    }
}

// ---------------------------------------------------------------- the broker's process

/// The settings of a small deployment; `reports_ms` is the time between the notes of a server.
pub fn settings(cells: usize, reports_ms: u64, brokers: usize, slot: usize) -> String {
    format!(
        r#"{{"Azs":["dc-dublin"],"Clients":{{"MarksRetry":false}},"Discovery":"pushed","Family":"streams",
"FamilyInfo":{{"ChangeCostsS":0.52,"ClassScale":[1.0,0.7,1.0],"ClassSeats":[0,0,0],"ClassTop":[5,2,5],"FloorByClass":[0,0,0],
"Guard":1.0,"Join":0.3,"LadderKb":[300.0,449.0,672.0,1006.0,1505.0,2251.0],"LadderWorth":[0.18,0.38,0.54,0.7,0.85,1.0],
"LinkUnitKb":3853.0,"LinksKb":185000.0,"Live":[true,false,false],"Places":{cells},"PlacesByKind":[31,61],"RackKb":90000.0,
"Racks":2,"ReportsEvery":{reports_ms}.0,"See":748.4,"StallCost":6.0}},
"Fees":{{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.03,"Moves":0.05,"Origin":0.0,"Peer":0.0,"Probe":0.0,"Waste":0.0}},
"Goal":{{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.2}},"Instances":{brokers},"Kinds":["box-2core","box-4core"],
"Limits":{{"AttemptsCap":4,"Cancelling":true,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":502315,"Keepalive":30000.0,
"MaxRetryAfter":500.0,"MayProbe":false,"MayTell":false,"MostHeld":1255788,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576}},
"Locality":0,"OverShareWorth":0.05,"Period":10.0,"Report":{{"Fields":["busy","x1"],"Via":"inline"}},
"RequestClasses":[
{{"Deadline":5000.0,"Effect":"non_idempotent","Importance":2.0,"KeyScope":"all","LateWorth":0.0,"Name":"live-walkround","Slo":1500.0,"Stream":true,"Window":5000.0}},
{{"Deadline":3000.0,"Effect":"read_like","Importance":1.0,"KeyScope":"all","LateWorth":0.0,"Name":"assembly-guide","Slo":1000.0,"Stream":true,"Window":5000.0}},
{{"Deadline":5000.0,"Effect":"read_like","Importance":1.0,"KeyScope":"all","LateWorth":0.0,"Name":"product-clip","Slo":800.0,"Stream":true,"Window":5000.0}}],
"Rules":{{"AnswerSlack":40.0,"AskWithin":10000.0,"Cold":12000.0,"ColdFrom":0.4,"Fall":2000.0,"FallMultiple":2.5,"StopSendingWithin":500.0}},
"SlotNo":{slot},"Stage":0,"Stages":["media-boxes"],
"Tenants":[{{"Name":"corrib-home","QuotaRps":1.6,"Share":0.52}},{{"Name":"lee-beds","QuotaRps":1.4,"Share":0.48}}],
"ValueBy":"request","WeightSource":"rough"}}"#
    )
}

/// Ports that are free now.
pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

pub struct Broker {
    pub child: Child,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    pub folder: PathBuf,
}

/// A folder for this run, under the system's temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

impl Broker {
    /// Starts the program by the deploy file's `run`, from the repository's root. `socket` is a listening socket that
    /// the platform holds, if it does.
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        listen: SocketAddr,
        folder: &PathBuf,
        board: &Board,
        settings: &str,
        socket: Option<&TcpListener>,
    ) -> Broker {
        let console = free_port();
        let config = folder.join(format!("config-{}.json", console.port()));
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","console":"{console}","seed":"8c1f30d27a5be9{:02x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"board":"{}","known":{},"settings":{settings}}}"#,
            console.port() % 256,
            board.address,
            board.known()
        );
        std::fs::write(&config, text).expect("a file");
        let run = std::env::var("RUN").expect("RUN: the deploy file's command");
        let root = std::env::var("ROOT").expect("ROOT: the repository's root");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(root);
        command.env("LB_CONFIG", &config).env("LB_NAME", name).env("LB_LISTEN", listen.to_string());
        command.env("LB_CONSOLE", console.to_string()).env("TMPDIR", folder).env_remove("LB_SOCKET_FD");
        if let Some(socket) = socket {
            let fd = socket.as_raw_fd();
            command.env("LB_SOCKET_FD", "5");
            // The descriptor 5 of the child; a duplicate is not closed when the program starts.
            unsafe {
                command.pre_exec(move || {
                    dup2(fd, 5);
                    Ok(())
                });
            }
        }
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let (log, out) = (Arc::new(Mutex::new(Vec::new())), child.stdout.take().expect("its output"));
        let (lines, record, label) =
            (log.clone(), record.clone(), format!("log of {name} pid={}", child.id()));
        thread::spawn(move || {
            for line in std::io::BufRead::lines(std::io::BufReader::new(out)).map_while(Result::ok) {
                record.line(format!("{label}: {line}"));
                lines.lock().unwrap().push(line);
            }
        });
        Broker { child, listen, console, log, folder: folder.clone() }
    }

    /// Starts the program with an operator's file: the deploy file's `run` with `--config`.
    pub fn start_operator(
        record: &Arc<Record>,
        name: &str,
        folder: &PathBuf,
        file: &str,
        listen: SocketAddr,
    ) -> Broker {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, file).expect("a file");
        let run = std::env::var("RUN").expect("RUN: the deploy file's command");
        let root = std::env::var("ROOT").expect("ROOT: the repository's root");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} --config {}", path.display())).current_dir(root);
        command.env("TMPDIR", folder);
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let (log, out) = (Arc::new(Mutex::new(Vec::new())), child.stdout.take().expect("its output"));
        let (lines, record, label) =
            (log.clone(), record.clone(), format!("log of {name} pid={}", child.id()));
        thread::spawn(move || {
            for line in std::io::BufRead::lines(std::io::BufReader::new(out)).map_while(Result::ok) {
                record.line(format!("{label}: {line}"));
                lines.lock().unwrap().push(line);
            }
        });
        Broker { child, listen, console: listen, log, folder: folder.clone() }
    }

    /// One call at the second address.
    pub fn call(&self, line: &str) -> String {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(1000)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.trim().to_owned())
        };
        ask().unwrap_or_else(|e| format!("no answer: {e}"))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A case that panics leaves no process behind.
impl Drop for Broker {
    fn drop(&mut self) {
        self.end();
    }
}

/// Asks at the clients' address whether the broker is ready.
pub fn is_ready(listen: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&listen, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"{\"type\":\"ping\",\"id\":\"00000000000000aa\",\"fields\":{},\"cause\":0}\n")?;
        let (mut heard, mut buffer) = (Vec::new(), [0; 512]);
        while !heard.contains(&b'\n') {
            let n = stream.read(&mut buffer)?;
            if n == 0 {
                return Ok(false);
            }
            heard.extend_from_slice(&buffer[..n]);
        }
        let line = String::from_utf8_lossy(&heard).into_owned();
        Ok(line.contains("\"pong\"") && json_number(&line, "cause") == Some(1))
    };
    ask().unwrap_or(false)
}

/// Waits until the broker passes a test.
pub fn wait_ready(listen: SocketAddr, seconds: u64) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(seconds) {
        if is_ready(listen) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

// ---------------------------------------------------------------- viewers

/// The text of a key in a line of JSON.
pub fn json_text(line: &str, key: &str) -> Option<String> {
    let at = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = line[at..].trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

pub fn json_number(line: &str, key: &str) -> Option<u64> {
    let at = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = line[at..].trim_start();
    rest[..rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len())].parse().ok()
}

/// What a viewer has seen of its session; times in seconds of the record.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub class: String,
    pub asked: f64,
    /// The answer: `plays`, `refused`, `failed`; empty: none.
    pub answer: String,
    pub answered: f64,
    /// The server that the description names.
    pub server: String,
    /// When a release came after the answer, and its cause.
    pub over: Option<(f64, u64)>,
    /// When the viewer released its session.
    pub released: Option<f64>,
    /// The connection ended without an answer.
    pub cut: Option<f64>,
    pub answers: u32,
}

pub type Book = Arc<Mutex<BTreeMap<u64, Seen>>>;

/// What a viewer asks for.
#[derive(Clone)]
pub struct Wish {
    pub id: u64,
    pub class: &'static str,
    pub left_ms: u64,
    pub home: usize,
    pub play: Duration,
}

/// One viewer on a connection of its own: asks, plays, and releases its session when it has seen enough.
pub fn view(record: Arc<Record>, book: Book, broker: SocketAddr, wish: Wish, stop: Arc<AtomicBool>) {
    let id = wish.id;
    let Ok(mut stream) = TcpStream::connect_timeout(&broker, Duration::from_secs(1)) else {
        record.line(format!("viewer id={id:016x} can't connect"));
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let tenant = if id % 2 == 0 { "corrib-home" } else { "lee-beds" };
    let (class, left, home) = (wish.class, wish.left_ms, wish.home);
    let line = format!(
        "{{\"type\":\"setup\",\"id\":\"{id:016x}\",\"fields\":{{\"class\":\"{class}\",\"left\":\"{left}\",\"tenant\":\"{tenant}\",\"key\":\"k{home:04}\",\"extras\":\"home:{home};copies:3;top:4;viewer:{id:016x}\"}},\"sdp\":\"v=0 {id:016x}\\r\\nm=video 31000 RTP/AVP 0\\r\\n\"}}\n"
    );
    let asked = record.now();
    book.lock().unwrap().insert(id, Seen { class: class.into(), asked, ..Seen::default() });
    record.line(format!("viewer id={id:016x} asks class={class} home={home}"));
    if stream.write_all(line.as_bytes()).is_err() {
        return;
    }
    let (mut heard, mut buffer, mut leave_at) = (Vec::new(), [0; 4096], None::<Instant>);
    let mut close_at = None::<Instant>;
    let give_up = Instant::now() + Duration::from_millis(left + 600);
    let update = |change: &dyn Fn(&mut Seen)| {
        book.lock().unwrap().entry(id).and_modify(change);
    };
    while !stop.load(Ordering::SeqCst) {
        match stream.read(&mut buffer) {
            Ok(0) => {
                let at = record.now();
                record.line(format!("viewer id={id:016x} connection ended"));
                update(&|seen| seen.cut = Some(at));
                return;
            }
            Ok(n) => heard.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => {
                let at = record.now();
                update(&|seen| seen.cut = Some(at));
                return;
            }
        }
        while let Some(end) = heard.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = heard.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim().to_owned();
            record.line(format!("viewer on the connection of {id:016x} hears {line}"));
            let Some(of) = json_text(&line, "id").and_then(|t| u64::from_str_radix(&t, 16).ok()) else {
                continue;
            };
            let (at, cause) = (record.now(), json_number(&line, "cause").unwrap_or(0));
            let mut book = book.lock().unwrap();
            let Some(seen) = book.get_mut(&of) else { continue };
            match json_text(&line, "type").as_deref() {
                Some("answer") => {
                    seen.answers += 1;
                    (seen.answer, seen.answered) = ("plays".into(), at);
                    let sdp = json_text(&line, "sdp").unwrap_or_default();
                    let server = sdp.find(&format!("o=edge {of:016x} ")).map(|at| &sdp[at + 24..]);
                    seen.server =
                        server.map(|s| s[..s.find('\\').unwrap_or(s.len())].to_owned()).unwrap_or_default();
                    if of == id {
                        leave_at = Some(Instant::now() + wish.play);
                    }
                }
                Some("release") if seen.answer.is_empty() => {
                    seen.answers += 1;
                    let refused = matches!(cause, 34 | 42 | 102);
                    (seen.answer, seen.answered) = (if refused { "refused" } else { "failed" }.into(), at);
                    if of == id {
                        close_at = Some(Instant::now() + Duration::from_millis(500));
                    }
                }
                Some("release" | "move") => {
                    seen.over = seen.over.or(Some((at, cause)));
                    if of == id {
                        close_at = Some(Instant::now() + Duration::from_millis(500));
                        leave_at = None;
                    }
                }
                _ => {}
            }
        }
        if leave_at.is_some_and(|at| Instant::now() >= at) {
            leave_at = None;
            let line =
                format!("{{\"type\":\"release\",\"id\":\"{id:016x}\",\"fields\":{{}},\"cause\":16}}\n");
            if stream.write_all(line.as_bytes()).is_ok() {
                let at = record.now();
                record.line(format!("viewer id={id:016x} releases its session"));
                update(&|seen| seen.released = Some(at));
            }
            close_at = Some(Instant::now() + Duration::from_millis(1000));
        }
        let unanswered = leave_at.is_none() && close_at.is_none();
        if unanswered
            && Instant::now() >= give_up
            && book.lock().unwrap().get(&id).is_some_and(|s| s.answer.is_empty())
        {
            record.line(format!("viewer id={id:016x} has no answer in its time"));
            return;
        }
        if close_at.is_some_and(|at| Instant::now() >= at) {
            return;
        }
    }
}

/// Viewers that come all the time, spread over the classes and titles of the deployment.
pub struct Crowd {
    pub book: Book,
    pub stop: Arc<AtomicBool>,
    next: u64,
    pub random: Random,
    cells: usize,
}

impl Crowd {
    pub fn new(cells: usize, seed: u64) -> Crowd {
        let base = (std::process::id() as u64) << 32 | 0x9b00_0000_0000_0000;
        Crowd { book: Book::default(), stop: Arc::default(), next: base, random: Random::new(seed), cells }
    }

    /// One more viewer of any title.
    pub fn comes(&mut self, record: &Arc<Record>, broker: SocketAddr) -> u64 {
        let home = self.random.below(self.cells as u64) as usize;
        self.comes_for(record, broker, home, None)
    }

    /// One more viewer, of a title whose cells begin at `home`; it plays as long as sessions of its class do.
    pub fn comes_for(
        &mut self,
        record: &Arc<Record>,
        broker: SocketAddr,
        home: usize,
        class: Option<usize>,
    ) -> u64 {
        let play = self.random.between(30.0, 48.0);
        self.comes_to_play(record, broker, home, class, play)
    }

    /// The same with a time for which it plays, in seconds.
    pub fn comes_to_play(
        &mut self,
        record: &Arc<Record>,
        broker: SocketAddr,
        home: usize,
        class: Option<usize>,
        play: f64,
    ) -> u64 {
        self.next += 1;
        let id = self.next;
        let class = class.unwrap_or(match self.random.below(100) {
            0..25 => 0,
            25..70 => 1,
            _ => 2,
        });
        let (class, left_ms) =
            [("live-walkround", 5000), ("assembly-guide", 3000), ("product-clip", 5000)][class];
        let play = Duration::from_secs_f64(play);
        let wish = Wish { id, class, left_ms, home, play };
        let (record, book, stop) = (record.clone(), self.book.clone(), self.stop.clone());
        thread::spawn(move || view(record, book, broker, wish, stop));
        id
    }
}

/// Session ids for a line of the report, few of them.
pub fn few(ids: &BTreeSet<u64>) -> String {
    ids.iter().take(6).map(|id| format!("{id:016x}")).collect::<Vec<_>>().join(" ")
}
