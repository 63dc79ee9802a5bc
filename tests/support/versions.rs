//! Several processes of one broker: what the platform holds for all of them, and clients that talk to whichever serves.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

use super::{Edge, Program, TEST_TIMEOUT, config, send_set_up, tempdir};

/// A deadline that no test reaches, in milliseconds.
pub const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

/// What the platform holds: the clients' socket, and the folder that all versions share.
pub struct Platform {
    pub socket: TcpListener,
    pub shared: tempdir::Dir,
    /// More of the configuration of each version.
    more: Value,
}

impl Platform {
    pub fn new() -> Platform {
        Platform::with(json!({}))
    }

    /// One whose versions have more in their configuration.
    pub fn with(more: Value) -> Platform {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        Platform { socket, shared: tempdir::Dir::new(), more }
    }

    pub fn command(&self, edges: &[&Edge], files: &tempdir::Dir, socket: Stdio) -> Command {
        let mut config = config(edges, UNREACHED_DEADLINE_MS);
        config["listen"] = json!(self.socket.local_addr().unwrap().to_string());
        config["console"] = json!("127.0.0.1:0");
        for (key, value) in self.more.as_object().unwrap() {
            config[key] = value.clone();
        }
        let mut command = Program::command(files, &config, &[]);
        // The descriptor is the standard input here: a test can hand over no other without unsafe code.
        command.stdin(socket).env("LB_SOCKET_FD", "0").env("TMPDIR", &self.shared.0);
        command
    }

    pub fn version(&self, edges: &[&Edge]) -> Program {
        let files = tempdir::Dir::new();
        let socket = Stdio::from(OwnedFd::from(self.socket.try_clone().unwrap()));
        let command = self.command(edges, &files, socket);
        Program::start(command, files, &["viewer", "console"])
    }

    /// A version that serves.
    pub fn serving(&self, edges: &[&Edge]) -> Program {
        let program = self.version(edges);
        program.wait_for_log("serves");
        program
    }

    pub fn connect(&self) -> TcpStream {
        let address: SocketAddr = self.socket.local_addr().unwrap();
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Where the versions meet, once one has taken its place there.
    pub fn meeting_point(&self) -> PathBuf {
        let files = std::fs::read_dir(&self.shared.0).unwrap().flatten().map(|e| e.path());
        files.into_iter().find(|p| p.extension().is_some_and(|e| e == "sock")).unwrap()
    }
}

pub fn say(stream: &mut TcpStream, line: &Value) {
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

pub fn hear(lines: &mut BufReader<TcpStream>) -> Value {
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap_or(Value::Null)
}

/// Sets a session up on a connection of its own; gives the connection.
pub fn plays(platform: &Platform, id: u64) -> BufReader<TcpStream> {
    let mut stream = platform.connect();
    send_set_up(&mut stream, id, "paid", 50_000, &format!("offer {id}"));
    let mut lines = BufReader::new(stream);
    assert_eq!(hear(&mut lines)["type"], "answer");
    lines
}
