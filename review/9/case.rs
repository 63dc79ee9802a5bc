//! A plug-in that loops on requests for one title: the process ends, and with it every request and session.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

use rig::*;
use settings::Class;

/// What the plug-in does over and over, all of it within its limits on operations, time and memory: it puts what it
/// has into a new value. One after the other is tried, each with a broker of its own.
const STEPS: [&str; 4] = [
    "let g = [[[[f]]]]; f = || g;",
    "let g = [[[[[[[f]]]]]]]; f = || g;",
    "let g = #{a: [[[[[[[f]]]]]]]}; f = || g;",
    "let g = #{a: #{a: [[[[[[f]]]]]]}}; f = || g;",
];
const SOUND: &str = "fn on_request(request) { }\n";

fn offer(n: usize) -> String {
    format!("v=0\r\no=viewer-{n} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n")
}

/// Whether each request got its one answer, the process goes on, and what plays plays on.
fn plays_well(record: &Record, script: &str) -> bool {
    let book: Arc<Mutex<MediaState>> = Arc::default();
    let servers: Vec<Media> =
        ["a", "b", "c"].iter().map(|n| Media::start(record, n, Does::Answers(ms(200)), &book)).collect();
    let files = TempDir::create();
    files.write("hook.rhai", script);
    record.line(&format!("the plug-in: {}", script.replace('\n', " ")));
    let mut head = String::from(
        "name = \"showroom\"\n[whip]\nlisten = \"127.0.0.1:0\"\n[hook]\nscript = \"hook.rhai\"\noperations = 1000000\n",
    );
    for title in ["flat-pack", "new-lamp"] {
        head += &format!("[[title]]\nname = \"{title}\"\nclass = \"guide\"\nhome = 0\ncopies = 3\n");
    }
    for (cell, server) in servers.iter().enumerate() {
        head += &format!(
            "[[server]]\nid = \"media-{}\"\nurl = \"http://{}/whep/{{title}}?rung={{rung}}&of={{session}}\"\ncell = {cell}\n",
            server.name, server.address
        );
    }
    let classes = [Class { name: "guide", slo: 1000, deadline: 3000, effect: "read_like", live: false }];
    let config = files.write("operator.toml", &format!("{head}{}", settings::toml(&classes)));
    let mut broker = Broker::operator(record, &config);
    let front = broker.front("http");
    thread::sleep(ms(300));
    // Eight viewers ask for a title that the plug-in lets pass, one for the title that it loops on, at the same time.
    let mut streams = Vec::new();
    for n in 0..9 {
        let title = if n == 8 { "new-lamp" } else { "flat-pack" };
        let Ok(mut stream) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        record.line(&format!("viewer {n}: POST /whep/{title}"));
        write_request(&mut stream, "POST", &format!("/whep/{title}"), Some(&offer(n)));
        streams.push(stream);
    }
    let mut good = true;
    for (n, stream) in streams.iter_mut().enumerate() {
        let status = read_reply(stream, ms(6000)).map(|r| r.status);
        record.line(&format!("viewer {n}: answered with {status:?}"));
        if status.is_none() {
            record.line(&format!("judged: the request of viewer {n} was taken and never answered"));
            good = false;
        }
    }
    thread::sleep(ms(500));
    if broker.has_ended() {
        record.line(&format!("judged: the broker has ended; {} sessions stand", lock(&book).standing.len()));
        good = false;
    }
    good
}

fn run() -> i32 {
    let record = Record::create();
    if !trouble() {
        let held = plays_well(&record, SOUND);
        record.line(if held { "held" } else { "BROKEN: without a bad plug-in" });
        return if held { HELD } else { BROKEN };
    }
    for step in STEPS {
        let script = format!(
            "fn grow() {{ let f = 0; loop {{ {step} }} }}\nfn on_request(request) {{ if request.title == \"new-lamp\" {{ grow(); }} }}\n"
        );
        if !plays_well(&record, &script) {
            record.line("BROKEN: a plug-in that loops ended the process and cost requests their answers");
            return BROKEN;
        }
    }
    record.line("held");
    HELD
}

fn main() {
    std::process::exit(run());
}
