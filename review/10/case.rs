//! A media server answers one set-up late. The broker asks another server while the first attempt is still out.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

use rig::*;
use settings::Class;

fn run() -> i32 {
    let record = Record::create();
    let book: Arc<Mutex<MediaState>> = Arc::default();
    // One answer of the whole run comes 2.5 s after its set-up, within the viewer's time and after the attempt's.
    let does = if trouble() { Does::FirstLate(ms(15), ms(2500)) } else { Does::Answers(ms(15)) };
    let servers: Vec<Media> =
        ["a", "b", "c"].iter().map(|n| Media::start(&record, n, does, &book)).collect();
    let files = TempDir::create();
    let mut head = String::from("name = \"showroom\"\n[whip]\nlisten = \"127.0.0.1:0\"\n[[title]]\nname = \"flat-pack\"\nclass = \"guide\"\nhome = 0\ncopies = 3\n");
    for (cell, server) in servers.iter().enumerate() {
        head += &format!(
            "[[server]]\nid = \"media-{}\"\nurl = \"http://{}/whep/{{title}}?rung={{rung}}&of={{session}}\"\ncell = {cell}\n",
            server.name, server.address
        );
    }
    let classes = [Class { name: "guide", slo: 1000, deadline: 3000, effect: "read_like", live: false }];
    let config = files.write("operator.toml", &format!("{head}{}", settings::toml(&classes)));
    let mut broker = Broker::operator(&record, &config);
    let front = broker.front("http");
    thread::sleep(ms(500));
    for n in 0..8 {
        let offer = format!("v=0\r\no=viewer-{n} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
        let Ok(mut stream) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        record.line(&format!("viewer {n}: POST /whep/flat-pack"));
        write_request(&mut stream, "POST", "/whep/flat-pack", Some(&offer));
        let status = read_reply(&mut stream, ms(6000)).map(|r| r.status);
        record.line(&format!("viewer {n}: answered with {status:?}"));
        thread::sleep(ms(100));
    }
    thread::sleep(ms(3000));
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    let posts = lock(&book).posts.clone();
    if posts.is_empty() {
        give_up("nothing was set up");
    }
    let mut broken = false;
    for (i, first) in posts.iter().enumerate() {
        for second in posts[i + 1..].iter().filter(|p| p.offer == first.offer) {
            // Out until its answer was written, or until the broker closed its connection.
            if first.ended.is_none_or(|ended| ended > second.came + ms(50)) {
                let of = first.offer.lines().find(|l| l.starts_with("o=")).unwrap_or("");
                let more = first.ended.map_or(f64::INFINITY, |e| (e - second.came).as_secs_f64());
                record.line(&format!(
                    "judged: {of}: {} came to media {} while {} was out at media {}, for {more:.3} s more",
                    second.place, second.server, first.place, first.server
                ));
                broken = true;
            }
        }
    }
    record.line(&format!("judged: {} set-ups ran for 8 viewers", posts.len()));
    record.line(if broken { "BROKEN: a session had two attempts out at once" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
