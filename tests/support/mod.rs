//! The shared helper of the network tests: the program as a process, stand-in edge servers, and clients.
#![allow(dead_code)] // each test file uses its own part

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use amberspindle::api::SessionId;
use amberspindle::message::binary::{Builder, Decoder, code};
use amberspindle::message::{Kind, cause};
use serde_json::{Value, json};

/// Nothing here takes so long; a test that waits for it in vain fails instead of hanging.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a stand-in does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
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
    /// When each came.
    times: Vec<Instant>,
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
    manner: Arc<Mutex<Manner>>,
    heard: Arc<(Mutex<Heard>, Condvar)>,
}

pub fn edge_answer(id: SessionId, offer: &str) -> String {
    format!("v=0\r\no=edge {:016x}\r\ns={}\r\nm=video 9\r\n", id.0, offer.len())
}

impl Edge {
    pub fn start(manner: Manner) -> Edge {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let edge = Edge {
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(manner)),
            heard: Arc::default(),
        };
        let server = edge.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        edge
    }

    pub fn behave(&self, manner: Manner) {
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
                        if manner != Manner::Full {
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
                        Manner::Answers => self.write(&mut stream, answer(id, &offer)),
                        Manner::Full => self.write(&mut stream, release(id, cause::FULL)),
                        Manner::Fails => self.write(&mut stream, release(id, cause::ERROR)),
                        Manner::Silent => {}
                        Manner::Breaks => {
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

    /// Answers a set-up late.
    pub fn answer_now(&self, id: SessionId) {
        let offer = self.set_ups().into_iter().find(|(of, _)| *of == id).unwrap().1;
        self.say(answer(id, &offer));
    }

    /// Says something on the newest connection.
    pub fn say(&self, message: Builder) {
        let mut stream = self.heard.0.lock().unwrap().conns.last().unwrap().try_clone().unwrap();
        self.write(&mut stream, message);
    }

    pub fn set_ups(&self) -> Vec<(SessionId, String)> {
        self.heard.0.lock().unwrap().set_ups.clone()
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
            let (next, late) = self.heard.1.wait_timeout(heard, PATIENCE).unwrap();
            assert!(!late.timed_out(), "never heard of {what}");
            heard = next;
        }
    }

    /// Waits for the `n`th set-up, from 1.
    pub fn nth_set_up(&self, n: usize) -> SessionId {
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

/// Held while a process is started, and while a file is written whose closing matters: a process that another
/// test starts meanwhile has the file open too until its own program runs, and closes it only then. A file that
/// was renamed in between seems to be written to again (seen in one run of eight of the tests of watched files).
pub fn starting() -> MutexGuard<'static, ()> {
    static STARTING: Mutex<()> = Mutex::new(());
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The program, ended with the test.
pub struct Program {
    child: Child,
    pub fronts: BTreeMap<String, SocketAddr>,
    /// Its log, line by line.
    pub log: Arc<(Mutex<Vec<String>>, Condvar)>,
    pub files: tempdir::Dir,
}

pub mod tempdir {
    //! A folder that goes with its value.
    use std::path::PathBuf;
    use std::sync::atomic::{AtomicU32, Ordering};

    static NEXT: AtomicU32 = AtomicU32::new(0);

    pub struct Dir(pub PathBuf);

    impl Dir {
        pub fn new() -> Dir {
            let name =
                format!("amberspindle-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
            let path = std::env::temp_dir().join(name);
            std::fs::create_dir_all(&path).unwrap();
            Dir(path)
        }

        pub fn write(&self, name: &str, text: &str) -> PathBuf {
            let path = self.0.join(name);
            std::fs::write(&path, text).unwrap();
            path
        }
    }

    impl Drop for Dir {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

impl Program {
    /// Starts it with the platform's configuration and waits until its fronts listen.
    pub fn platform(edges: &[&Edge], deadline: f64) -> Program {
        Program::platform_with(edges, deadline, &[])
    }

    /// The same with options of `serve`.
    pub fn platform_with(edges: &[&Edge], deadline: f64, options: &[&str]) -> Program {
        let config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "known": known(edges), "settings": settings(deadline)});
        let files = tempdir::Dir::new();
        let path = files.write("config.json", &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").args(options).env("LB_CONFIG", path);
        command.env_remove("LB_LISTEN").env_remove("LB_NAME");
        Program::start(command, files, &["viewer"])
    }

    /// Starts it with an operator's file: the text, and the settings that are put in.
    pub fn operator(text: &str, deadline: f64, extra: &[(&str, &str)], fronts: &[&str]) -> Program {
        Program::operator_of(text, &settings(deadline), extra, fronts)
    }

    /// The same with settings of the caller's.
    pub fn operator_of(text: &str, settings: &Value, extra: &[(&str, &str)], fronts: &[&str]) -> Program {
        let settings = toml::to_string(&json!({"settings": settings})).unwrap();
        let files = tempdir::Dir::new();
        for (name, text) in extra {
            files.write(name, text);
        }
        let path = files.write("operator.toml", &format!("{text}\n{settings}"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").arg("--config").arg(path);
        Program::start(command, files, fronts)
    }

    /// Starts it with the WHIP front before these servers, and titles `walk` (paid) and `guide`.
    pub fn whip(edges: &[&Edge], deadline: f64, more: &str) -> Program {
        let mut text = format!("[whip]\nlisten = \"127.0.0.1:0\"\n{more}\n");
        for (name, class) in [("walk", "paid"), ("guide", "clip")] {
            text += &format!("[[title]]\nname = \"{name}\"\nclass = \"{class}\"\nhome = 0\ncopies = 3\n");
        }
        for (cell, edge) in edges.iter().enumerate() {
            let address = edge.address;
            text += &format!("[[server]]\nid = \"s-{cell}\"\naddress = \"{address}\"\ncell = {cell}\n");
        }
        Program::operator(&text, deadline, &[], &["http"])
    }

    pub fn start(mut command: Command, files: tempdir::Dir, fronts: &[&str]) -> Program {
        let mut child = {
            let _alone = starting();
            command.stdout(Stdio::piped()).spawn().unwrap()
        };
        let log = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let (lines, writer) = (BufReader::new(child.stdout.take().unwrap()).lines(), log.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                writer.0.lock().unwrap().push(line);
                writer.1.notify_all();
            }
        });
        let mut program = Program { child, fronts: BTreeMap::new(), log, files };
        for front in fronts {
            let line = program.logged(&format!(" for {front}"));
            let address = line.split(" listens on ").nth(1).unwrap().split(' ').next().unwrap();
            program.fronts.insert((*front).to_owned(), address.parse().unwrap());
        }
        program
    }

    /// Waits for a line of the log that holds a text.
    pub fn logged(&self, text: &str) -> String {
        let mut lines = self.log.0.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().find(|l| l.contains(text)) {
                return line.clone();
            }
            let (next, late) = self.log.1.wait_timeout(lines, PATIENCE).unwrap();
            assert!(!late.timed_out(), "never logged: {text}\n{}", next.join("\n"));
            lines = next;
        }
    }

    /// Waits for the `n`th line, from 0, that begins with a text.
    pub fn nth_logged(&self, start: &str, n: usize) -> String {
        let mut lines = self.log.0.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().filter(|l| l.starts_with(start)).nth(n) {
                return line.clone();
            }
            let (next, late) = self.log.1.wait_timeout(lines, PATIENCE).unwrap();
            assert!(!late.timed_out(), "never logged so often: {start}");
            lines = next;
        }
    }

    pub fn connect(&self, front: &str) -> TcpStream {
        let stream = TcpStream::connect(self.fronts[front]).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _alone = starting();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Ends it at once, as a crash does; its files stay.
    pub fn killed(mut self) -> tempdir::Dir {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let empty = tempdir::Dir(std::path::PathBuf::new());
        std::mem::replace(&mut self.files, empty)
    }

    /// Waits for its end; gives whether it ended well.
    pub fn ended_well(mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
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

/// A response as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }
}

/// The bytes of a request.
pub fn http(method: &str, path: &str, body: Option<&str>) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: test\r\n");
    if let Some(body) = body {
        text += &format!("Content-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    } else {
        text += "\r\n";
    }
    text.into_bytes()
}

/// The bytes of a PATCH with a fragment of trickle ICE.
pub fn patch(path: &str, tag: Option<&str>, fragment: &str) -> Vec<u8> {
    let tag = tag.map_or(String::new(), |tag| format!("If-Match: {tag}\r\n"));
    let length = fragment.len();
    let kind = "application/trickle-ice-sdpfrag";
    format!("PATCH {path} HTTP/1.1\r\nHost: test\r\n{tag}Content-Type: {kind}\r\nContent-Length: {length}\r\n\r\n{fragment}")
        .into_bytes()
}

/// Reads one response; none if the connection ends before it.
pub fn reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let mut found = Reply { status: head[9..12].parse().unwrap(), head, body: String::new() };
    let mut body = vec![0; found.header("content-length").map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    found.body = String::from_utf8(body).unwrap();
    Some(found)
}

/// One request on a connection of its own.
pub fn ask(program: &Program, method: &str, path: &str, body: Option<&str>) -> Reply {
    let mut stream = program.connect("http");
    stream.write_all(&http(method, path, body)).unwrap();
    let answer = reply(&mut stream).expect("each request is answered");
    let mut rest = Vec::new();
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty(), "and answered once");
    answer
}
