//! What the cases of the second review share: the record, the broker as a process, and small stand-ins for viewers,
//! edge servers, media servers and the notice board. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: one line for each thing that was sent, answered or run, with its time.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).unwrap_or_else(|e| give_up(&format!("no record: {e}")));
        Record(Arc::new(Mutex::new((file, Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let mut inner = lock(&self.0);
        let at = inner.1.elapsed();
        let line = format!("{:9.3} {text}\n", at.as_secs_f64());
        let _ = inner.0.write_all(line.as_bytes());
    }
}

/// Processes that were started and not waited for yet, and folders that were made.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends the case because it could not run, and with it what it has started.
pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    let (children, folders) = std::mem::take(&mut *lock(&STARTED));
    for pid in children {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
    }
    for folder in folders {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(COULD_NOT_RUN)
}

/// Waits for a condition. Returns whether it came true in time.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(ms(2));
    }
}

/// A temporary folder that goes with its value.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> TempDir {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| give_up(&format!("no folder: {e}")));
        lock(&STARTED).1.push(path.clone());
        TempDir(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|e| give_up(&format!("{name}: {e}")));
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A broker process, ended with its value.
pub struct Broker {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Broker {
    /// Starts it with the command of the deploy file, as the platform does.
    pub fn platform(record: &Record, config: &Path, tmp: &Path, env: &[(&str, &str)]) -> Broker {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/amberspindle serve"]);
        command.env("LB_CONFIG", config).env("TMPDIR", tmp);
        for name in ["LB_LISTEN", "LB_NAME", "LB_CONSOLE", "LB_SOCKET_FD"] {
            command.env_remove(name);
        }
        for (name, value) in env {
            command.env(name, value);
        }
        Broker::start(record, command)
    }

    /// Starts it with an operator's file.
    pub fn operator(record: &Record, config: &Path) -> Broker {
        let mut command = Command::new("target/release/amberspindle");
        command.arg("serve").arg("--config").arg(config);
        Broker::start(record, command)
    }

    fn start(record: &Record, mut command: Command) -> Broker {
        let spawned = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.unwrap_or_else(|e| give_up(&format!("the broker does not start: {e}")));
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(out) = child.stdout.take() {
            let (log, record) = (log.clone(), record.clone());
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    record.line(&format!("broker log: {line}"));
                    lock(&log).push(line);
                }
            });
        }
        record.line(&format!("broker started, pid {}", child.id()));
        lock(&STARTED).0.push(child.id());
        Broker { child, log }
    }

    /// The address of one of its fronts: `viewer`, `http` or `console`.
    pub fn front(&self, name: &str) -> SocketAddr {
        let mut found = None;
        let tail = format!(" for {name}");
        wait_until(ms(10_000), || {
            found = lock(&self.log).iter().find_map(|line| {
                let (_, rest) = line.split_once(" listens on ")?;
                let (address, after) = rest.split_once(' ')?;
                if format!(" {after}").starts_with(&tail) { address.parse().ok() } else { None }
            });
            found.is_some()
        });
        found.unwrap_or_else(|| give_up(&format!("no {name} front")))
    }

    /// Whether a line of its log holds a text.
    pub fn has_logged(&self, text: &str) -> bool {
        lock(&self.log).iter().any(|line| line.contains(text))
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&STARTED).0.retain(|pid| *pid != self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Sockets

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    // SOL_SOCKET and SO_LINGER of Linux, the same on x86-64 and arm64.
    let linger: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

pub fn bind(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("{address}: {e}")))
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|e| give_up(&format!("no address: {e}")))
}

// ---------------------------------------------------------------------------------------------------------------------
// Edge servers of the platform

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const NOTE: u8 = 44;

/// Encodes a binary message.
pub fn message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend_from_slice(&id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend_from_slice(&(value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Takes a whole message off the front of a buffer: its kind, its session and its parameters.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<(u8, u64, BTreeMap<u8, Vec<u8>>)> {
    let length = usize::from(u16::from_be_bytes([*buffer.first()?, *buffer.get(1)?]));
    let body = buffer.get(2..2 + length)?.to_vec();
    buffer.drain(..2 + length);
    let id = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
    let (mut parameters, mut rest) = (BTreeMap::new(), &body[9..]);
    while rest.len() >= 3 {
        let n = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        parameters.insert(rest[0], rest.get(3..3 + n)?.to_vec());
        rest = &rest[3 + n..];
    }
    Some((body[0], id, parameters))
}

#[derive(Default)]
pub struct EdgeState {
    /// Sessions that play, each with the number of the connection of its set-up.
    pub playing: BTreeMap<u64, usize>,
    /// Set-ups that came, with their time.
    pub set_ups: Vec<(u64, Instant)>,
    /// Releases by the broker.
    pub released: Vec<(u64, Instant)>,
    conns: BTreeMap<usize, TcpStream>,
    next_conn: usize,
}

/// A stand-in edge server: answers each set-up after `delay`, sends the notes `wire` and `trunk` on one of its sessions
/// every `notes_every`, and ends sessions that the broker releases.
#[derive(Clone)]
pub struct Edge {
    pub name: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<EdgeState>>,
    alive: Arc<AtomicBool>,
    record: Record,
    delay: Duration,
}

impl Edge {
    pub fn start(
        record: &Record,
        name: &str,
        listener: TcpListener,
        delay: Duration,
        notes_every: Duration,
    ) -> Edge {
        let edge = Edge {
            name: name.to_owned(),
            address: address_of(&listener),
            state: Arc::default(),
            alive: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
            delay,
        };
        record.line(&format!("edge {name}: runs at {}", edge.address));
        let _ = listener.set_nonblocking(true);
        let own = edge.clone();
        thread::spawn(move || {
            while own.alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => own.accept(stream),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(ms(1)),
                    Err(_) => return,
                }
            }
        });
        let own = edge.clone();
        thread::spawn(move || {
            while own.alive.load(Ordering::SeqCst) {
                thread::sleep(notes_every);
                own.send_notes();
            }
        });
        edge
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let conn = {
            let mut state = lock(&self.state);
            state.next_conn += 1;
            let conn = state.next_conn;
            state.conns.insert(conn, stream);
            conn
        };
        self.record.line(&format!("edge {}: connection {conn} accepted", self.name));
        let own = self.clone();
        thread::spawn(move || own.read(conn, reader));
    }

    fn read(&self, conn: usize, mut stream: TcpStream) {
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        while let Ok(n) = stream.read(&mut piece) {
            if n == 0 {
                break;
            }
            if !self.alive.load(Ordering::SeqCst) {
                // Nobody is there any more to answer or to close the connection.
                continue;
            }
            buffer.extend_from_slice(&piece[..n]);
            while let Some((kind, id, parameters)) = take_message(&mut buffer) {
                match kind {
                    SET_UP => {
                        self.record
                            .line(&format!("edge {}: set-up {id:016x} on connection {conn}", self.name));
                        lock(&self.state).set_ups.push((id, Instant::now()));
                        let own = self.clone();
                        thread::spawn(move || {
                            thread::sleep(own.delay);
                            own.answer(conn, id, parameters);
                        });
                    }
                    RELEASE => {
                        self.record.line(&format!("edge {}: release of {id:016x} heard", self.name));
                        let mut state = lock(&self.state);
                        state.playing.remove(&id);
                        state.released.push((id, Instant::now()));
                    }
                    _ => {}
                }
            }
        }
        lock(&self.state).conns.remove(&conn);
        self.record.line(&format!("edge {}: connection {conn} over", self.name));
    }

    fn answer(&self, conn: usize, id: u64, _set_up: BTreeMap<u8, Vec<u8>>) {
        if !self.alive.load(Ordering::SeqCst) {
            return;
        }
        let description = format!("v=0\r\no={} {id:016x} 1 IN IP4 127.0.0.1\r\nm=video 9\r\n", self.name);
        let report = (12, &b"busy:0.2;x1:0.2"[..]);
        let bytes = message(ANSWER, id, &[report, (18, description.as_bytes())]);
        let mut state = lock(&self.state);
        let Some(stream) = state.conns.get_mut(&conn) else { return };
        if stream.write_all(&bytes).is_ok() {
            state.playing.insert(id, conn);
            drop(state);
            self.record.line(&format!("edge {}: answered {id:016x}, it plays", self.name));
        }
    }

    fn send_notes(&self) {
        let mut state = lock(&self.state);
        let Some((id, conn)) = state.playing.iter().next().map(|(id, conn)| (*id, *conn)) else { return };
        let on =
            if state.conns.contains_key(&conn) { Some(conn) } else { state.conns.keys().next().copied() };
        let Some(stream) = on.and_then(|on| state.conns.get_mut(&on)) else { return };
        for what in [&b"wire"[..], b"trunk"] {
            let _ = stream.write_all(&message(NOTE, id, &[(10, what), (15, b"0.2")]));
        }
        drop(state);
        self.record.line(&format!("edge {}: notes on {id:016x}", self.name));
    }

    pub fn plays(&self, id: u64) -> bool {
        lock(&self.state).playing.contains_key(&id)
    }

    /// It dies as a process does: its connections are reset, its sessions are cut, its port is free.
    pub fn die(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let mut state = lock(&self.state);
        let conns = std::mem::take(&mut state.conns);
        let cut: Vec<u64> = std::mem::take(&mut state.playing).into_keys().collect();
        drop(state);
        for stream in conns.values() {
            reset_on_close(stream);
        }
        // A reset needs the last descriptor to be closed: the reader wakes up by the shutdown of its direction.
        for stream in conns.values() {
            let _ = stream.shutdown(Shutdown::Read);
        }
        drop(conns);
        self.record.line(&format!("edge {}: dies; sessions cut: {cut:016x?}", self.name));
        thread::sleep(ms(20));
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The notice board

#[derive(Clone)]
pub struct Board {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    up: Arc<AtomicBool>,
    record: Record,
}

/// One line of the board's list.
pub fn target(uid: &str, address: SocketAddr, cell: usize, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"dc","model":"box","pod_group":{cell},"state":"{state}","capacity_hint":2,"boot_ms":{boot_ms}}}"#
    )
}

/// An event of the board.
pub fn event(rev: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"rev":{rev},"all":{all},"targets":[{}]}}}}"#, targets.join(","))
}

impl Board {
    pub fn start(record: &Record) -> Board {
        let listener = bind("127.0.0.1:0");
        let board = Board {
            address: address_of(&listener),
            events: Arc::default(),
            up: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        board.serve(listener);
        board
    }

    fn serve(&self, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let own = self.clone();
        thread::spawn(move || {
            while own.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let own = own.clone();
                        thread::spawn(move || own.stream(stream));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    fn stream(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let (mut head, mut piece) = (Vec::new(), [0; 1024]);
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => head.extend_from_slice(&piece[..n]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id:")).unwrap_or("0");
        let mut last: u64 = last.trim().parse().unwrap_or(0);
        self.record.line(&format!("board: asked for what follows event {last}"));
        let hello = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
        if stream.write_all(hello).is_err() {
            return;
        }
        let mut commented = Instant::now();
        while self.up.load(Ordering::SeqCst) {
            let news: Vec<(u64, String)> =
                lock(&self.events).iter().filter(|e| e.0 > last).cloned().collect();
            for (id, data) in news {
                if stream.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes()).is_err() {
                    return;
                }
                self.record.line(&format!("board: sent event {id}"));
                last = id;
            }
            if commented.elapsed() >= ms(1000) {
                commented = Instant::now();
                if stream.write_all(b":\n\n").is_err() {
                    return;
                }
            }
            thread::sleep(ms(5));
        }
    }

    pub fn post(&self, id: u64, data: String) {
        self.record.line(&format!("board: event {id} is posted: {data}"));
        lock(&self.events).push((id, data));
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Viewers of the platform

/// A line that a viewer was sent.
#[derive(Clone, Debug)]
pub struct Heard {
    pub kind: String,
    pub id: String,
    pub cause: Option<u32>,
    pub at: Instant,
    pub text: String,
}

/// A viewer's connection.
pub struct Viewer {
    stream: TcpStream,
    pub heard: Arc<Mutex<Vec<Heard>>>,
    record: Record,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("\"{name}\":"))?;
    match rest.strip_prefix('"') {
        Some(rest) => rest.split_once('"').map(|(value, _)| value),
        None => Some(rest.split([',', '}']).next().unwrap_or("")),
    }
}

impl Viewer {
    pub fn connect(record: &Record, address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).unwrap_or_else(|e| give_up(&format!("viewer: {e}")));
        let _ = stream.set_nodelay(true);
        let heard: Arc<Mutex<Vec<Heard>>> = Arc::default();
        if let Ok(reader) = stream.try_clone() {
            let (heard, record) = (heard.clone(), record.clone());
            thread::spawn(move || {
                for line in BufReader::new(reader).lines().map_while(Result::ok) {
                    let kind = field(&line, "type").unwrap_or("").to_owned();
                    if kind != "pong" {
                        record.line(&format!("viewer heard: {line}"));
                    }
                    let id = field(&line, "id").unwrap_or("").to_owned();
                    let cause = field(&line, "cause").and_then(|c| c.parse().ok());
                    lock(&heard).push(Heard { kind, id, cause, at: Instant::now(), text: line });
                }
                record.line("viewer: connection over");
            });
        }
        Viewer { stream, heard, record: record.clone() }
    }

    pub fn send(&mut self, line: &str) -> bool {
        if !line.contains("\"ping\"") {
            self.record.line(&format!("viewer sent: {line}"));
        }
        self.stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// Asks for a session; `extras` are the figures of the request.
    pub fn set_up(&mut self, id: u64, class: &str, left: u64, key: &str, extras: &str) -> bool {
        self.send(&format!(
            r#"{{"type":"setup","id":"{id:016x}","fields":{{"class":"{class}","left":"{left}","tenant":"home","key":"{key}","extras":"{extras}"}},"sdp":"v=0\r\nm=video 9\r\n"}}"#
        ))
    }

    pub fn first(&self, id: u64, kind: &str) -> Option<Heard> {
        let id = format!("{id:016x}");
        lock(&self.heard).iter().find(|h| h.id == id && h.kind == kind).cloned()
    }

    /// Asks whether the broker is ready until it says yes.
    pub fn wait_until_ready(&mut self) {
        let ready = wait_until(ms(15_000), || {
            self.send(r#"{"type":"ping","id":"00000000000000aa","fields":{},"cause":0}"#);
            thread::sleep(ms(50));
            lock(&self.heard).iter().any(|h| h.kind == "pong" && h.cause == Some(1))
        });
        if !ready {
            give_up("the broker is not ready");
        }
        self.record.line("broker is ready");
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

/// A whole HTTP message off the front of a buffer: its head and its body.
pub fn take_http(buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length =
        head.lines().find_map(|l| l.to_lowercase().strip_prefix("content-length:").map(str::to_owned));
    let length: usize = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
    let body = buffer.get(end..end + length)?.to_vec();
    buffer.drain(..end + length);
    Some((head, body))
}

pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<String> {
        let name = format!("{}:", name.to_lowercase());
        let line = self.head.lines().find(|l| l.to_lowercase().starts_with(&name))?;
        Some(line[name.len()..].trim().to_owned())
    }
}

/// Reads one reply; none if the connection ends before it is whole.
pub fn read_reply(stream: &mut TcpStream, limit: Duration) -> Option<Reply> {
    let _ = stream.set_read_timeout(Some(limit));
    let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = take_http(&mut buffer) {
            let status = head.split(' ').nth(1)?.parse().ok()?;
            return Some(Reply { status, head, body: String::from_utf8_lossy(&body).into_owned() });
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&piece[..n]),
            _ => return None,
        }
    }
}

/// Writes a request with a session description, or with none.
pub fn write_request(stream: &mut TcpStream, method: &str, path: &str, offer: Option<&str>) -> bool {
    let body = offer.unwrap_or("");
    let kind = if offer.is_some() { "Content-Type: application/sdp\r\n" } else { "" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: broker\r\n{kind}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// What a media server does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Makes a session and answers after this time.
    Answers(Duration),
    /// Makes a session and breaks the connection off without an answer, the first time that it or another server of
    /// the same book is asked with an offer; answers from then on.
    BreaksFirst,
    /// Answers after the first time, and sends the answer of the second set-up in the book once more after the second.
    OneTwice(Duration, Duration),
}

/// A set-up at a media server.
#[derive(Clone, Debug)]
pub struct Post {
    pub server: String,
    pub path: String,
    pub offer: String,
    pub came: Instant,
    /// When its answer was written or its connection was over; none: it is out.
    pub ended: Option<Instant>,
    /// The session that was made, and the description that it was answered with.
    pub place: String,
    pub answer: String,
}

#[derive(Default)]
pub struct MediaState {
    pub posts: Vec<Post>,
    pub deletes: Vec<(String, String, Instant)>,
    pub standing: BTreeSet<(String, String)>,
}

/// Stand-in media servers that speak WHEP and share one book.
#[derive(Clone)]
pub struct Media {
    pub name: String,
    pub address: SocketAddr,
    pub book: Arc<Mutex<MediaState>>,
    does: Arc<Mutex<Does>>,
    record: Record,
    made: Arc<AtomicUsize>,
}

impl Media {
    pub fn start(record: &Record, name: &str, does: Does, book: &Arc<Mutex<MediaState>>) -> Media {
        let listener = bind("127.0.0.1:0");
        let media = Media {
            name: name.to_owned(),
            address: address_of(&listener),
            book: book.clone(),
            does: Arc::new(Mutex::new(does)),
            record: record.clone(),
            made: Arc::default(),
        };
        record.line(&format!("media {name}: runs at {}", media.address));
        let own = media.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        media
    }

    pub fn behave(&self, does: Does) {
        *lock(&self.does) = does;
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            while let Some((head, body)) = take_http(&mut buffer) {
                let mut words = head.split(' ');
                let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_owned());
                match method {
                    "POST" => {
                        if !self.post(&mut stream, path, String::from_utf8_lossy(&body).into_owned()) {
                            return;
                        }
                    }
                    "DELETE" => {
                        self.record.line(&format!("media {}: DELETE {path}", self.name));
                        let mut book = lock(&self.book);
                        book.deletes.push((self.name.clone(), path.clone(), Instant::now()));
                        let stood = book.standing.remove(&(self.name.clone(), path));
                        drop(book);
                        let status = if stood { "200 OK" } else { "404 Not Found" };
                        let _ = stream
                            .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                    }
                    _ => {
                        let _ = stream.write_all(b"HTTP/1.1 405 x\r\nContent-Length: 0\r\n\r\n");
                    }
                }
            }
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => buffer.extend_from_slice(&piece[..n]),
                _ => return,
            }
        }
    }

    /// Handles a set-up. Returns whether its connection goes on.
    fn post(&self, stream: &mut TcpStream, path: String, offer: String) -> bool {
        let n = self.made.fetch_add(1, Ordering::SeqCst);
        let place = format!("/made/{}-{n}", self.name);
        let of = offer.lines().find(|l| l.starts_with("o=")).unwrap_or("o=?").to_owned();
        let answer = format!("v=0\r\no=media-{}-{n} for {}\r\nm=video 9\r\n", self.name, &of[2..]);
        let does = *lock(&self.does);
        self.record.line(&format!("media {}: POST {path} of {of}: runs as {place}", self.name));
        let (i, is_first) = {
            let mut book = lock(&self.book);
            let is_first = book.posts.iter().all(|p| p.offer != offer);
            let (server, came) = (self.name.clone(), Instant::now());
            let (place, answer) = (place.clone(), answer.clone());
            book.standing.insert((server.clone(), place.clone()));
            book.posts.push(Post { server, path, offer, came, ended: None, place, answer });
            (book.posts.len() - 1, is_first)
        };
        let bytes = format!(
            "HTTP/1.1 201 Created\r\nContent-Type: application/sdp\r\nLocation: {place}\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        let (wait, again) = match does {
            Does::Answers(wait) => (wait, None),
            Does::OneTwice(wait, again) => (wait, (i == 1).then_some(again)),
            Does::BreaksFirst if !is_first => (ms(20), None),
            Does::BreaksFirst => {
                self.record.line(&format!("media {}: breaks off without an answer to {place}", self.name));
                lock(&self.book).posts[i].ended = Some(Instant::now());
                let _ = stream.shutdown(Shutdown::Both);
                return false;
            }
        };
        // The peer may close its side while the answer is awaited: then the attempt is over.
        let end = Instant::now() + wait;
        let _ = stream.set_nonblocking(true);
        let mut probe = [0; 1];
        while Instant::now() < end {
            match stream.peek(&mut probe) {
                Ok(0) => {
                    lock(&self.book).posts[i].ended = Some(Instant::now());
                    self.record
                        .line(&format!("media {}: connection of {place} closed by the broker", self.name));
                    return false;
                }
                _ => thread::sleep(ms(1)),
            }
        }
        let _ = stream.set_nonblocking(false);
        let written = stream.write_all(bytes.as_bytes()).is_ok();
        lock(&self.book).posts[i].ended = Some(Instant::now());
        self.record.line(&format!("media {}: answered {place} with 201", self.name));
        if let (true, Some(again)) = (written, again)
            && let Ok(mut copy) = stream.try_clone()
        {
            let (own, place) = (self.clone(), place.clone());
            thread::spawn(move || {
                thread::sleep(again);
                let _ = copy.write_all(bytes.as_bytes());
                own.record.line(&format!("media {}: the answer of {place} once more", own.name));
            });
        }
        written
    }
}
