//! New settings at SIGHUP make a class paid; titles from a watched file go on in the class as it was before.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;

use rig::*;
use settings::Class;

fn classes(effect: &'static str) -> [Class; 1] {
    [Class { name: "walkround", slo: 1500, deadline: 5000, effect, live: true }]
}

fn run() -> i32 {
    let record = Record::create();
    let book: Arc<Mutex<MediaState>> = Arc::default();
    let servers: Vec<Media> =
        ["a", "b", "c"].iter().map(|n| Media::start(&record, n, Does::Answers(ms(20)), &book)).collect();
    let files = TempDir::create();
    let mut head = String::from(
        "name = \"showroom\"\n[whip]\nlisten = \"127.0.0.1:0\"\n[watch]\ntitles = \"titles.toml\"\n",
    );
    for (cell, server) in servers.iter().enumerate() {
        head += &format!(
            "[[server]]\nid = \"media-{}\"\nurl = \"http://{}/whep/{{title}}?rung={{rung}}&of={{session}}\"\ncell = {cell}\n",
            server.name, server.address
        );
    }
    let titles = files.write(
        "titles.toml",
        "[[title]]\nname = \"living-room\"\nclass = \"walkround\"\nhome = 0\ncopies = 3\n",
    );
    let sealed = Command::new("target/release/amberspindle").arg("seal").arg(&titles).status();
    if !sealed.is_ok_and(|s| s.success()) {
        give_up("the titles can't be sealed");
    }
    // Without the disruption the class is paid from the start.
    let strict = trouble();
    let first = if strict { "read_like" } else { "non_idempotent" };
    let config = files.write("operator.toml", &format!("{head}{}", settings::toml(&classes(first))));
    let broker = Broker::operator(&record, &config);
    let front = broker.front("http");
    thread::sleep(ms(1500));

    // The disruption: the file is replaced by one whose only change is a stricter effect of the class.
    if strict {
        files.write("operator.toml", &format!("{head}{}", settings::toml(&classes("non_idempotent"))));
        broker.signal("HUP");
        record.line("SIGHUP: the class walkround is paid from now on (non_idempotent)");
        if !wait_until(ms(5000), || broker.has_logged("reloaded")) {
            give_up("the new settings are not taken");
        }
    }
    // New classes are in use after 1.2 s.
    thread::sleep(ms(3000));

    // The media server that is asked first makes the session and breaks off before it has answered.
    for server in &servers {
        server.behave(Does::BreaksFirst);
    }
    let mut statuses = Vec::new();
    for n in 0..4 {
        let offer =
            format!("v=0\r\no=viewer-{n} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
        for path in ["/whep/living-room".to_owned(), format!("/whep/living-room/bookings/b{n}")] {
            let Ok(mut stream) = TcpStream::connect(front) else { give_up("the front takes no connection") };
            record.line(&format!("viewer {n}: POST {path}"));
            write_request(&mut stream, "POST", &path, Some(&offer));
            let status = read_reply(&mut stream, ms(8000)).map(|r| r.status);
            record.line(&format!("viewer {n}: answered with {status:?}"));
            statuses.push(status);
        }
    }
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for post in &lock(&book).posts {
        runs.entry(post.offer.clone()).or_default().push(post.place.clone());
    }
    if !strict && runs.is_empty() {
        give_up("nothing was set up");
    }
    let mut broken = false;
    for (offer, places) in &runs {
        let of = offer.lines().find(|l| l.starts_with("o=")).unwrap_or("");
        record.line(&format!("judged: the session of {of} was set up {} times: {places:?}", places.len()));
        broken |= places.len() > 1;
    }
    record.line(if broken { "BROKEN: a paid session was set up more than once" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
