//! A Eureka registry is out of reach for some seconds and starts anew meanwhile: the servers, which run all the time,
//! register once more. Sessions that play are to go on.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rig::*;
use settings::Class;

/// How long the registry is out of reach.
const OUTAGE: Duration = Duration::from_millis(10_000);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A stand-in registry that keeps its leases in memory.
#[derive(Clone)]
struct Registry {
    address: SocketAddr,
    servers: Arc<Vec<(String, SocketAddr)>>,
    /// When each lease began.
    registered_at: Arc<Mutex<u64>>,
    up: Arc<AtomicBool>,
    record: Record,
}

impl Registry {
    fn start(record: &Record, servers: Vec<(String, SocketAddr)>, registered_at: u64) -> Registry {
        let listener = bind("127.0.0.1:0");
        let registry = Registry {
            address: address_of(&listener),
            servers: Arc::new(servers),
            registered_at: Arc::new(Mutex::new(registered_at)),
            up: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        registry.serve(listener);
        registry
    }

    fn serve(&self, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let own = self.clone();
        thread::spawn(move || {
            while own.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => own.answer(stream),
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    fn answer(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        let head = loop {
            if let Some((head, _)) = take_http(&mut buffer) {
                break head;
            }
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => buffer.extend_from_slice(&piece[..n]),
                _ => return,
            }
        };
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        let since = *lock(&self.registered_at);
        let instances: Vec<String> = self
            .servers
            .iter()
            .enumerate()
            .map(|(cell, (name, address))| {
                format!(
                    r#"{{"instanceId":"{name}","hostName":"{name}","app":"MEDIA-BOX","ipAddr":"{}","status":"UP","port":{{"$":{},"@enabled":"true"}},"leaseInfo":{{"renewalIntervalInSecs":30,"durationInSecs":90,"registrationTimestamp":{since},"lastRenewalTimestamp":{since},"evictionTimestamp":0,"serviceUpTimestamp":{since}}},"metadata":{{"cell":"{cell}","kind":"box","weight":"2","whep":"/whep/{{title}}?of={{session}}"}},"actionType":"ADDED"}}"#,
                    address.ip(),
                    address.port()
                )
            })
            .collect();
        let body = format!(
            r#"{{"applications":{{"versions__delta":"1","apps__hashcode":"UP_{}_","application":[{{"name":"MEDIA-BOX","instance":[{}]}}]}}}}"#,
            self.servers.len(),
            instances.join(",")
        );
        let reply = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(reply.as_bytes());
        self.record.line(&format!("registry: answered GET {path}, leases since {since}"));
    }

    fn go_down(&self) {
        self.record.line("registry: out of reach from now on");
        self.up.store(false, Ordering::SeqCst);
        thread::sleep(ms(50));
    }

    /// It is back with an empty memory, and the servers have registered once more.
    fn come_back(&self) {
        *lock(&self.registered_at) = unix_ms();
        self.record.line("registry: within reach again; all servers have new leases");
        self.up.store(true, Ordering::SeqCst);
        self.serve(bind(&self.address.to_string()));
    }
}

fn run() -> i32 {
    let record = Record::create();
    let book: Arc<Mutex<MediaState>> = Arc::default();
    let servers: Vec<Media> = ["a", "b", "c"]
        .iter()
        .map(|n| Media::start(&record, n, Does::Answers(ms(15)), &book))
        .collect();
    let listed = servers.iter().map(|s| (format!("media-{}", s.name), s.address)).collect();
    // The servers have run for an hour.
    let registry = Registry::start(&record, listed, unix_ms() - 3_600_000);
    let files = TempDir::create();
    let head = format!(
        "name = \"showroom\"\n[whip]\nlisten = \"127.0.0.1:0\"\n[eureka]\nurl = \"http://{}/eureka\"\nservers = \"MEDIA-BOX\"\nfetch_ms = 2000\n[[title]]\nname = \"living-room\"\nclass = \"walkround\"\nhome = 0\ncopies = 3\n",
        registry.address
    );
    let classes = [Class { name: "walkround", slo: 1500, deadline: 5000, effect: "non_idempotent", live: false }];
    let config = files.write("operator.toml", &format!("{head}{}", settings::toml(&classes)));
    let mut broker = Broker::operator(&record, &config);
    let front = broker.front("http");
    if !wait_until(ms(10_000), || broker.has_logged("list.taken")) {
        give_up("the broker has no list");
    }
    // Nine viewers with a paid session each; each listens to the events of its session.
    let mut viewers = Vec::new();
    for n in 0..9 {
        let offer = format!("v=0\r\no=viewer-{n} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
        let Ok(mut stream) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        write_request(&mut stream, "POST", &format!("/whep/living-room/bookings/b{n}"), Some(&offer));
        let reply = read_reply(&mut stream, ms(8000));
        let Some(place) = reply.filter(|r| r.status == 201).and_then(|r| r.header("location")) else {
            give_up("a session is not set up")
        };
        record.line(&format!("viewer {n}: booked and paid, plays at {place}"));
        let Ok(mut events) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        write_request(&mut events, "GET", &format!("{place}/events"), None);
        let ended: Arc<Mutex<Option<Instant>>> = Arc::default();
        let (told, own) = (ended.clone(), record.clone());
        thread::spawn(move || {
            let (mut text, mut piece) = (String::new(), [0; 1024]);
            while let Ok(got) = events.read(&mut piece) {
                if got == 0 {
                    return;
                }
                text += &String::from_utf8_lossy(&piece[..got]);
                if text.contains("event: ended") || text.contains("event: moved") {
                    own.line(&format!("viewer {n}: told that its session is over"));
                    *lock(&told) = Some(Instant::now());
                    return;
                }
            }
        });
        viewers.push((n, place, ended));
    }
    thread::sleep(ms(3000));
    if trouble() {
        registry.go_down();
        thread::sleep(OUTAGE);
        registry.come_back();
    } else {
        thread::sleep(OUTAGE);
    }
    thread::sleep(ms(6000));
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    let standing = lock(&book).standing.len();
    let mut broken = false;
    for (n, place, ended) in &viewers {
        // No viewer and no server has ended a session, and each server ran all the time.
        if lock(ended).is_some() {
            record.line(&format!("judged: viewer {n} was told that its session {place} is over"));
            broken = true;
        }
    }
    record.line(&format!("judged: {standing} of {} sessions stand at their servers", viewers.len()));
    record.line(if broken { "BROKEN: sessions that play were taken from their viewers" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
