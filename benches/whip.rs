//! What a set-up costs through each front and each kind of edge link, beside a plain pass-through proxy, in one run.
//! `cargo bench --bench whip [-- CLIENTS…]`
//!
//! A closed loop: each client sets a session up and ends it, without a pause.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use amberspindle_conformance::media::{Does, Media};
use hdrhistogram::Histogram;
use serde_json::json;
use support::*;

const SPAN: Duration = Duration::from_secs(5);
const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";

fn main() {
    let clients: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    for clients in if clients.is_empty() { vec![32, 120] } else { clients } {
        println!("{clients} clients");
        let media: Vec<Media> = (0..3).map(|_| Media::start(Does::Answers)).collect();
        let edges: Vec<Edge> = (0..3).map(|_| Edge::start(EdgeBehaviour::Answers)).collect();
        let proxy = proxy(media[0].address);
        run("proxy to a media server", clients, None, || Box::new(Http::new(proxy, "/whep/guide")));
        let gateway = gateway(&media.iter().collect::<Vec<_>>());
        let front = gateway.fronts["http"];
        run("WHEP to media servers", clients, Some(&gateway), || Box::new(Http::new(front, "/whep/guide")));
        let program = Program::whip(&edges.iter().collect::<Vec<_>>(), 60_000.0, "");
        let front = program.fronts["http"];
        run("WHEP to the platform's edge servers", clients, Some(&program), || {
            Box::new(Http::new(front, "/whep/guide"))
        });
        let program = platform(&edges);
        let front = program.fronts["viewer"];
        run("platform's front and edge servers", clients, Some(&program), || Box::new(Lines::new(front)));
    }
    held();
    memory_and_fragments();
}

/// The example's boxes: what set-ups wait for when more sessions are held than the links carry.
fn held() {
    for aim in [1000.0, 500.0] {
        let mut narrow = settings(3000.0);
        let family = &mut narrow["FamilyInfo"];
        family["LadderKb"] = json!([300.0, 449.0, 672.0, 1006.0, 1505.0, 2251.0]);
        family["LadderWorth"] = json!([0.18, 0.38, 0.54, 0.7, 0.85, 1.0]);
        family["PlacesByKind"] = json!([61]);
        family["LinkUnitKb"] = json!(3853.0);
        family["RackKb"] = json!(45303.0);
        for class in narrow["RequestClasses"].as_array_mut().unwrap() {
            class["Slo"] = json!(aim);
        }
        let edges: Vec<Edge> = (0..3).map(|_| Edge::start(EdgeBehaviour::Answers)).collect();
        let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n".to_owned();
        text += "[[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n";
        for (cell, edge) in edges.iter().enumerate() {
            let address = edge.address;
            text += &format!(
                "[[server]]\nid = \"s-{cell}\"\naddress = \"{address}\"\ncell = {cell}\nweight = 4.0\n"
            );
        }
        for clients in [32, 120] {
            let program = Program::operator_of(&text, &narrow, &[], &["http"]);
            let front = program.fronts["http"];
            let name = format!("boxes of weight 4, aim {aim} ms, {clients} clients");
            run(&name, clients, Some(&program), || Box::new(Http::new(front, "/whep/guide")));
        }
    }
}

/// What one more session, and one more idle connection, takes; and what a fragment costs.
fn memory_and_fragments() {
    const EACH: usize = 400;
    let media: Vec<Media> = (0..3).map(|_| Media::start(Does::Answers)).collect();
    let program = gateway(&media.iter().collect::<Vec<_>>());
    let front = program.fronts["http"];
    let mut one = Http::new(front, "/whep/guide");
    for n in 0..1000 {
        one.once(n);
    }
    let empty = resident_kb(program.pid());
    let idle: Vec<Http> = (0..EACH).map(|_| Http::new(front, "/whep/guide")).collect();
    one.once(0);
    let with_idle = resident_kb(program.pid());
    println!("memory: {:.1} KiB for an idle connection", (with_idle - empty) / EACH as f64);
    let mut places = Vec::new();
    for _ in 0..EACH {
        one.stream.write_all(&http("POST", one.path, Some(OFFER))).unwrap();
        let made = reply(&mut one.stream).expect("each request is answered");
        places.extend(made.header("location").map(str::to_owned));
    }
    let with_sessions = resident_kb(program.pid());
    println!(
        "memory: {:.1} KiB for a session that stands",
        (with_sessions - with_idle) / places.len() as f64
    );
    drop(idle);
    let (before, began) = (spent(program.pid()), Instant::now());
    let mut waits = Histogram::<u64>::new(3).unwrap();
    while began.elapsed() < SPAN {
        let asked = Instant::now();
        let fragment = "a=ice-ufrag:x\r\na=ice-pwd:y\r\na=candidate:1 1 UDP 1 192.0.2.1 9 typ host\r\n";
        one.stream.write_all(&patch(&places[0], Some("*"), fragment)).unwrap();
        assert_eq!(reply(&mut one.stream).expect("each request is answered").status, 204);
        waits.record((asked.elapsed().as_micros() as u64).max(1)).unwrap();
    }
    let each = 1e6 * (spent(program.pid()) - before) / waits.len() as f64;
    let ms = |q: f64| waits.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "fragments, one after the other: p50 {:.2} ms, p99 {:.2} ms, {each:.0} us of processor time each",
        ms(0.5),
        ms(0.99)
    );
}

fn resident_kb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Sets one session up and ends it; gives how long the set-up took, if it was served.
trait Client: Send {
    fn once(&mut self, n: u64) -> Option<Duration>;
}

struct Http {
    stream: TcpStream,
    path: &'static str,
}

impl Http {
    fn new(front: SocketAddr, path: &'static str) -> Http {
        let stream = TcpStream::connect(front).unwrap();
        stream.set_nodelay(true).unwrap();
        Http { stream, path }
    }
}

impl Client for Http {
    fn once(&mut self, _: u64) -> Option<Duration> {
        let asked = Instant::now();
        self.stream.write_all(&http("POST", self.path, Some(OFFER))).unwrap();
        let made = reply(&mut self.stream).expect("each request is answered");
        let took = asked.elapsed();
        let place = made.header("location")?.to_owned();
        self.stream.write_all(&http("DELETE", &place, None)).unwrap();
        reply(&mut self.stream).expect("each request is answered");
        Some(took)
    }
}

struct Lines {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    own: u64,
}

impl Lines {
    fn new(front: SocketAddr) -> Lines {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
        let stream = TcpStream::connect(front).unwrap();
        stream.set_nodelay(true).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Lines { stream, reader, own: NEXT.fetch_add(1, Ordering::Relaxed) << 32 }
    }
}

impl Client for Lines {
    fn once(&mut self, n: u64) -> Option<Duration> {
        let id = format!("{:016x}", self.own + n);
        let fields =
            json!({"class": "clip", "left": "60000", "key": "guide", "extras": "home:0;copies:3;top:1"});
        let asked = Instant::now();
        let line = json!({"type": "setup", "id": id, "fields": fields, "sdp": OFFER});
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        self.reader.read_line(&mut answer).unwrap();
        let took = asked.elapsed();
        let end = json!({"type": "release", "id": id, "fields": {}, "cause": 16});
        self.stream.write_all(format!("{end}\n").as_bytes()).unwrap();
        answer.contains("\"answer\"").then_some(took)
    }
}

fn gateway(media: &[&Media]) -> Program {
    let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n".to_owned();
    text += "[[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n";
    for (cell, media) in media.iter().enumerate() {
        text += &format!("[[server]]\nid = \"m-{cell}\"\nurl = \"{}\"\ncell = {cell}\n", media.url());
    }
    Program::operator(&text, 60_000.0, &[], &["http"])
}

/// The platform's front before servers of weight 1, as the lists of the others have them: more than the rack's
/// uplink would be taken for busy before it is known.
fn platform(edges: &[Edge]) -> Program {
    let mut known = known(&edges.iter().collect::<Vec<_>>());
    for target in known["notices"][0]["pool"]["targets"].as_array_mut().unwrap() {
        target["capacity_hint"] = json!(1);
    }
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "known": known,
        "settings": settings(60_000.0)});
    let files = tempdir::Dir::new();
    let path = files.write("config.json", &config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").env("LB_CONFIG", path).env_remove("LB_LISTEN").env_remove("LB_NAME");
    Program::start(command, files, &["viewer"])
}

/// Copies bytes between its clients and one server, a connection for each.
fn proxy(to: SocketAddr) -> SocketAddr {
    fn copy(mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16384];
        while let Ok(n) = from.read(&mut bytes) {
            if n == 0 || to.write_all(&bytes[..n]).is_err() {
                return;
            }
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(to).unwrap();
            let (there, back) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            std::thread::spawn(move || copy(there, server));
            std::thread::spawn(move || copy(back, client));
        }
    });
    address
}

fn spent(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

fn run(name: &str, clients: usize, program: Option<&Program>, make: impl Fn() -> Box<dyn Client>) {
    let stop = Arc::new(AtomicBool::new(false));
    let before = program.map(|p| spent(p.pid()));
    let threads: Vec<_> = (0..clients)
        .map(|_| {
            let (mut client, stop) = (make(), stop.clone());
            std::thread::spawn(move || {
                let mut waits = Histogram::<u64>::new(3).unwrap();
                let (mut n, mut unserved) = (0, 0);
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    match client.once(n) {
                        Some(took) => waits.record((took.as_micros() as u64).max(1)).unwrap(),
                        None => unserved += 1,
                    }
                }
                (waits, unserved)
            })
        })
        .collect();
    std::thread::sleep(SPAN);
    stop.store(true, Ordering::Relaxed);
    let (mut all, mut unserved) = (Histogram::<u64>::new(3).unwrap(), 0u64);
    for thread in threads {
        let (waits, more) = thread.join().unwrap();
        all.add(waits).unwrap();
        unserved += more;
    }
    let ms = |q: f64| all.value_at_quantile(q) as f64 / 1000.0;
    let cost = before.zip(program).map_or(String::new(), |(before, p)| {
        format!(
            ", {:.0} us of processor time each",
            1e6 * (spent(p.pid()) - before) / all.len().max(1) as f64
        )
    });
    println!(
        "  {name}: {:.0} a second, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms{cost}{}",
        all.len() as f64 / SPAN.as_secs_f64(),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        if unserved > 0 { format!(", {unserved} not served") } else { String::new() },
    );
}
