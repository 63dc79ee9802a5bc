//! What watching costs a broker, and how soon a list counts. `cargo bench --bench watched [-- --before PROGRAM | --flapping]`
//!
//! Real brokers before stand-in edge servers on loopback. With `--before`, an earlier build of the program is
//! started in turn with this one, and start-up and memory on the platform's configuration are held side by side.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use amberspindle::watch::seal::{self, Comment};
use hdrhistogram::Histogram;
use serde_json::json;
use support::*;

const RUNS: usize = 200;
const CLIENTS: usize = 4;
/// How long idle brokers are watched.
const IDLE: Duration = Duration::from_secs(60);
/// How long requests go on beside a list that flaps.
const FLAPPING: Duration = Duration::from_secs(10);
/// Starts of each program.
const STARTS: usize = 20;
/// What left before the list was taken has arrived by then.
const SETTLED: Duration = Duration::from_millis(40);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let before = arguments.iter().position(|a| a == "--before").and_then(|i| arguments.get(i + 1));
    if let Some(before) = before {
        starts(Path::new(before));
    }
    if arguments.iter().any(|a| a == "--flapping") {
        return flapping();
    }
    reaction("with the system's word", "poll_ms = 3600000");
    reaction("with looks every 50 ms", "notify = false\npoll_ms = 50");
    flapping();
    idle();
}

fn list(id: &str, edge: &Edge) -> Vec<u8> {
    let text = format!("[[server]]\nid = \"{id}\"\naddress = \"{}\"\ncell = 0\n", edge.address);
    seal::close_all([(text.as_bytes(), Comment::Hash)]).remove(0)
}

fn broker(watch: Option<&str>, first: &[u8], fixed: &str) -> Program {
    let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n".to_owned();
    text += "[[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n";
    if let Some(watch) = watch {
        text += &format!("[watch]\nservers = \"servers.toml\"\nmost_dropped = 1.0\n{watch}\n");
    } else {
        text += fixed;
    }
    let first = String::from_utf8_lossy(first);
    Program::operator(&text, 60_000.0, &[("servers.toml", &first)], &["http"])
}

/// From the rename to the first set-up at a server that the list names anew, and to the last at one it drops.
fn reaction(name: &str, watch: &str) {
    let edges = [Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers)];
    let lists = [list("a", &edges[0]), list("b", &edges[1])];
    let program = broker(Some(watch), &lists[0], "");
    let (front, stop) = (program.fronts["http"], Arc::new(AtomicBool::new(false)));
    let offer = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(front).unwrap();
                while !stop.load(Ordering::Relaxed) {
                    stream.write_all(&http("POST", "/whep/guide", Some(offer))).unwrap();
                    let made = reply(&mut stream).expect("each request is answered");
                    if let Some(place) = made.header("location") {
                        stream.write_all(&http("DELETE", place, None)).unwrap();
                        reply(&mut stream).expect("each request is answered");
                    }
                }
            })
        })
        .collect();
    let mut first = Histogram::<u64>::new(3).unwrap();
    let mut last = Histogram::<u64>::new(3).unwrap();
    edges[0].wait_for_set_up(1);
    for run in 1..=RUNS {
        let (new, old) = (&edges[run % 2], &edges[(run + 1) % 2]);
        let path = program.files.0.join("servers.toml");
        let beside = path.with_extension("new");
        fs::write(&beside, &lists[run % 2]).unwrap();
        let had = new.times().len();
        let renamed = Instant::now();
        fs::rename(&beside, &path).unwrap();
        new.wait_for_set_up(had + 1);
        std::thread::sleep(SETTLED);
        let micros = |at: Instant| at.saturating_duration_since(renamed).as_micros() as u64;
        first.record(micros(new.times()[had]).max(1)).unwrap();
        last.record(old.times().last().map_or(0, |at| micros(*at)).max(1)).unwrap();
        // The pace of readings starts anew.
        std::thread::sleep(Duration::from_millis(120));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    for (what, h) in [("first set-up at a new server", first), ("last set-up at a dropped one", last)] {
        let ms = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{name}: rename to {what}: p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms ({RUNS} runs)",
            ms(0.5),
            ms(0.99),
            ms(1.0)
        );
    }
}

/// What requests wait, and what the log grows, while a list of 10,000 servers is rewritten every 10 ms.
fn flapping() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let mut text = String::new();
    for n in 0..10_000 {
        let address =
            if n == 0 { edge.address.to_string() } else { format!("127.1.{}.{}:9", n / 250, n % 250 + 1) };
        // Ten servers a rack; only the first stands in the cell that holds the title.
        let cell = if n == 0 { 0 } else { 1 + n / 10 % 998 };
        text += &format!("[[server]]\nid = \"box-{n}\"\naddress = \"{address}\"\ncell = {cell}\n");
    }
    let whole = seal::close_all([(text.as_bytes(), Comment::Hash)]).remove(0);
    for (name, flaps) in [("a list that stands", false), ("a list that flaps every 10 ms", true)] {
        let mut wide = settings(60_000.0);
        for key in ["Places", "Racks"] {
            wide["FamilyInfo"][key] = json!(1000);
        }
        let front = "[whip]\nlisten = \"127.0.0.1:0\"\n[watch]\nservers = \"servers.toml\"\n";
        let title = "[[title]]\nname = \"one\"\nclass = \"clip\"\nhome = 0\ncopies = 1\n";
        let list = String::from_utf8_lossy(&whole);
        let program =
            Program::operator_of(&format!("{front}{title}"), &wide, &[("servers.toml", &list)], &["http"]);
        let path = program.files.0.join("servers.toml");
        let (stop, lines) = (Arc::new(AtomicBool::new(false)), program.log.clone());
        let writer = flaps.then(|| {
            let (stop, whole) = (stop.clone(), whole.clone());
            std::thread::spawn(move || {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    let end = [whole.len() / 2, whole.len(), whole.len() - 1][round % 3];
                    fs::write(&path, &whole[..end]).unwrap();
                    round += 1;
                    std::thread::sleep(Duration::from_millis(10));
                }
            })
        });
        let mut waits = Histogram::<u64>::new(3).unwrap();
        let mut stream = TcpStream::connect(program.fronts["http"]).unwrap();
        let (began, offer) =
            (Instant::now(), "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
        let (cpu, logged) = (spent(program.pid()), lines.0.lock().unwrap().len());
        while began.elapsed() < FLAPPING {
            let asked = Instant::now();
            stream.write_all(&http("POST", "/whep/one", Some(offer))).unwrap();
            let made = reply(&mut stream).expect("each request is answered");
            waits.record((asked.elapsed().as_micros() as u64).max(1)).unwrap();
            if let Some(place) = made.header("location") {
                stream.write_all(&http("DELETE", place, None)).unwrap();
                reply(&mut stream).expect("each request is answered");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        stop.store(true, Ordering::Relaxed);
        let (cpu, logged) = (spent(program.pid()) - cpu, lines.0.lock().unwrap().len() - logged);
        writer.into_iter().for_each(|w| w.join().unwrap());
        let ms = |q: f64| waits.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{name}: set-ups wait p50 {:.2} ms, p99 {:.2} ms, most {:.1} ms; {:.0}% of a core, {logged} lines in {} s",
            ms(0.5),
            ms(0.99),
            ms(1.0),
            100.0 * cpu.as_secs_f64() / FLAPPING.as_secs_f64(),
            FLAPPING.as_secs(),
        );
    }
}

/// Processor time of all threads, from the system's own books.
fn spent(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let nanos = |task: fs::DirEntry| -> u64 {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    Duration::from_nanos(tasks.flatten().map(nanos).sum())
}

fn resident_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Processor time and memory with nothing changed.
fn idle() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let first = list("a", &edge);
    let fixed = format!("[[server]]\nid = \"a\"\naddress = \"{}\"\ncell = 0\n", edge.address);
    let brokers = [
        ("no watch", broker(None, &first, &fixed)),
        ("notify, looks every 2 s", broker(Some(""), &first, "")),
        ("looks every 2 s", broker(Some("notify = false"), &first, "")),
        ("looks every 50 ms", broker(Some("notify = false\npoll_ms = 50"), &first, "")),
    ];
    std::thread::sleep(Duration::from_secs(1));
    let began: Vec<Duration> = brokers.iter().map(|(_, p)| spent(p.pid())).collect();
    std::thread::sleep(IDLE);
    for ((name, program), began) in brokers.iter().zip(began) {
        let ms = (spent(program.pid()) - began).as_secs_f64() * 1e3 * 60.0 / IDLE.as_secs_f64();
        println!(
            "idle, {name}: {ms:.1} ms of processor time a minute, {} KiB resident",
            resident_kb(program.pid())
        );
    }
}

/// Start-up on the platform's configuration, in turn.
fn starts(before: &Path) {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "known": known(&[&edge]), "settings": settings(1000.0)});
    let now = Path::new(env!("CARGO_BIN_EXE_amberspindle"));
    let mut figures = [("before", [const { Vec::new() }; 3]), ("now", [const { Vec::new() }; 3])];
    for _ in 0..STARTS {
        for (i, program) in [before, now].into_iter().enumerate() {
            let files = tempdir::Dir::new();
            let path = files.write("config.json", &config.to_string());
            let mut command = Command::new(program);
            command.arg("serve").env("LB_CONFIG", path).env_remove("LB_LISTEN").env_remove("LB_NAME");
            let began = Instant::now();
            let program = Program::start(command, files, &["viewer"]);
            figures[i].1[0].push(began.elapsed().as_secs_f64() * 1e3);
            figures[i].1[1].push(spent(program.pid()).as_secs_f64() * 1e3);
            figures[i].1[2].push(resident_kb(program.pid()) as f64);
        }
    }
    let median = |of: &mut Vec<f64>| -> f64 {
        of.sort_by(f64::total_cmp);
        of[of.len() / 2]
    };
    for (name, [wall, cpu, memory]) in &mut figures {
        let (wall, cpu, memory) = (median(wall), median(cpu), median(memory));
        println!(
            "start on the platform, {name}: {wall:.2} ms to listen, {cpu:.2} ms of processor time, {memory:.0} KiB resident (medians of {STARTS})"
        );
    }
}
