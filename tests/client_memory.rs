//! The memory that clients take with what they have sent and the broker can't handle yet: hundreds of them at once that
//! write slowly, stop half way, send heads of very many short fields or send far ahead, with usual clients beside them.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;
use support::crossing::*;
use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const DEADLINE_MS: f64 = 8_000.0;
const MEMORY_MB: u64 = 48;
const SOCKETS: usize = 1400;
const BAD_CLIENTS: usize = 500;
const USUAL_LIMIT: Duration = Duration::from_secs(2);

/// What a bad client sends at once, before it falls silent or writes on byte by byte.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// A head, byte by byte.
    Slow,
    /// Half of a large request.
    Half,
    /// A head of very many short fields, without its end.
    ManyFields,
    /// A request that a silent server leaves open, and as much behind it as is taken.
    Ahead,
    /// Half of a line, at the platform's front.
    HalfLine,
}

const MANNERS: [Manner; 5] =
    [Manner::Slow, Manner::Half, Manner::ManyFields, Manner::Ahead, Manner::HalfLine];

fn start(edge: &Edge, silent: &Edge) -> Program {
    let mut settings = settings(DEADLINE_MS);
    settings["FamilyInfo"]["RackKb"] = json!(1_000_000.0);
    let settings = toml::to_string(&json!({"settings": settings})).unwrap();
    let mut text = format!(
        "[limits]\nmemory_mb = {MEMORY_MB}\nsockets = {SOCKETS}\n[platform]\nlisten = \"127.0.0.1:0\"\n\
         [whip]\nlisten = \"127.0.0.1:0\"\n"
    );
    for (title, home) in [("guide", 0), ("silent", 1)] {
        text += &format!("[[title]]\nname = \"{title}\"\nclass = \"clip\"\nhome = {home}\ncopies = 1\n");
    }
    for (cell, edge) in [edge, silent].into_iter().enumerate() {
        text += &format!("[[server]]\nid = \"s-{cell}\"\naddress = \"{}\"\ncell = {cell}\n", edge.address);
    }
    let files = tempdir::Dir::new();
    let path = files.write("operator.toml", &format!("{text}{settings}"));
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").arg("--config").arg(path);
    Program::start(command, files, &["viewer", "http"])
}

fn first_bytes(manner: Manner) -> Vec<u8> {
    match manner {
        Manner::Slow => b"POST /whep/guide HTTP/1.1\r\n".to_vec(),
        Manner::Half => {
            let head = "POST /whep/guide HTTP/1.1\r\nHost: a\r\nContent-Type: application/sdp\r\n";
            format!("{head}Content-Length: 15000\r\n\r\n{}", "v".repeat(12_000)).into_bytes()
        }
        Manner::ManyFields => {
            format!("POST /whep/guide HTTP/1.1\r\n{}", "a:b\r\n".repeat(3_200)).into_bytes()
        }
        Manner::Ahead => {
            let mut bytes = http("POST", "/whep/silent", Some(OFFER));
            bytes.extend(std::iter::repeat_n(b'x', 60 * 1024));
            bytes
        }
        Manner::HalfLine => format!("{{\"type\":\"setup\",\"sdp\":\"{}", "v".repeat(15_000)).into_bytes(),
    }
}

fn connect(program: &Program, manner: Manner) -> Option<TcpStream> {
    let front = if matches!(manner, Manner::HalfLine) { "viewer" } else { "http" };
    let mut stream = TcpStream::connect_timeout(&program.fronts[front], USUAL_LIMIT).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let _ = stream.write_all(&first_bytes(manner));
    stream.set_nonblocking(true).unwrap();
    Some(stream)
}

/// A viewer's set-up of a title that only the first server has.
fn set_up(id: u64) -> String {
    let fields = json!({"class": "clip", "left": DEADLINE_MS, "key": "k", "extras": "home:0;copies:1;top:1"});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": "offer", "fields": fields});
    format!("{line}\n")
}

/// Returns the resident memory of a process in megabytes.
fn resident_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

#[test]
fn hundreds_of_clients_that_never_finish_take_no_more_than_the_memory() {
    for manner in MANNERS {
        let (edge, silent) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Silent));
        let program = start(&edge, &silent);
        let mut bad: Vec<TcpStream> = Vec::new();
        let (mut most_mb, mut slowest) = (0, Duration::ZERO);
        for round in 0..20 {
            for _ in 0..BAD_CLIENTS / 20 {
                bad.extend(connect(&program, manner));
            }
            for stream in &mut bad {
                let _ = stream.write(b"a");
            }
            let began = Instant::now();
            assert_eq!(ask(&program, "POST", "/whep/guide", Some(OFFER)).status, 201, "{manner:?} {round}");
            let mut viewer = program.connect("viewer");
            viewer.write_all(set_up(1000 + round).as_bytes()).unwrap();
            assert_eq!(final_answer(&mut viewer, 1000 + round).unwrap()["type"], "answer", "{manner:?}");
            slowest = slowest.max(began.elapsed());
            most_mb = most_mb.max(resident_mb(&program));
        }
        println!("{manner:?}: {most_mb} MB, slowest {slowest:?}");
        assert!(most_mb < MEMORY_MB, "{manner:?}: {most_mb} MB");
        assert!(slowest < USUAL_LIMIT, "{manner:?}: {slowest:?}");
    }
}
