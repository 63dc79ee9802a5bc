//! A browser drops its HTTP connection while its paid set-up is on the way, and repeats it. The broker frees the booking
//! as if nothing had run, but the set-up leaves all the same; the repeat is set up once more.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/settings.rs"]
mod settings;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

use rig::*;
use settings::Class;

const BOOKINGS: usize = 20;

fn run() -> i32 {
    let record = Record::create();
    let book: Arc<Mutex<MediaState>> = Arc::default();
    let servers: Vec<Media> =
        ["a", "b", "c"].iter().map(|n| Media::start(&record, n, Does::Answers(ms(30)), &book)).collect();
    let files = TempDir::create();
    let mut head = String::from(
        "name = \"showroom\"\n[whip]\nlisten = \"127.0.0.1:0\"\n[[title]]\nname = \"living-room\"\nclass = \"walkround\"\nhome = 0\ncopies = 3\n",
    );
    for (cell, server) in servers.iter().enumerate() {
        head += &format!(
            "[[server]]\nid = \"media-{}\"\nurl = \"http://{}/whep/{{title}}?rung={{rung}}&of={{session}}\"\ncell = {cell}\n",
            server.name, server.address
        );
    }
    let classes =
        [Class { name: "walkround", slo: 1500, deadline: 5000, effect: "non_idempotent", live: false }];
    let config = files.write("operator.toml", &format!("{head}{}", settings::toml(&classes)));
    let mut broker = Broker::operator(&record, &config);
    let front = broker.front("http");
    thread::sleep(ms(500));
    let offer = |n: usize| {
        format!("v=0\r\no=viewer-{n} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n")
    };
    let mut served = 0;
    for n in 0..BOOKINGS {
        let path = format!("/whep/living-room/bookings/b{n}");
        let Ok(mut first) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        record.line(&format!("browser {n}: POST {path}"));
        write_request(&mut first, "POST", &path, Some(&offer(n)));
        if trouble() {
            drop(first);
            record.line(&format!("browser {n}: drops its connection"));
        } else {
            let status = read_reply(&mut first, ms(8000)).map(|r| r.status);
            record.line(&format!("browser {n}: answered with {status:?}"));
        }
        // It comes back for the answer, well within the time that a session is kept for it (10 s).
        thread::sleep(ms(300));
        let Ok(mut again) = TcpStream::connect(front) else { give_up("the front takes no connection") };
        record.line(&format!("browser {n}: POST {path} again, the same offer"));
        write_request(&mut again, "POST", &path, Some(&offer(n)));
        let status = read_reply(&mut again, ms(8000)).map(|r| r.status);
        record.line(&format!("browser {n}: answered with {status:?}"));
        served += usize::from(status == Some(201));
    }
    thread::sleep(ms(500));
    if broker.has_ended() {
        record.line("BROKEN: the broker has ended");
        return BROKEN;
    }
    if served == 0 {
        give_up("nothing was served");
    }
    let posts = lock(&book).posts.clone();
    let (mut broken, mut twice) = (false, 0);
    for n in 0..BOOKINGS {
        let places: Vec<&str> =
            posts.iter().filter(|p| p.offer == offer(n)).map(|p| p.place.as_str()).collect();
        if places.len() > 1 {
            record.line(&format!(
                "judged: the paid session of booking b{n} was set up {} times: {places:?}",
                places.len()
            ));
            twice += 1;
            broken = true;
        }
    }
    let standing = lock(&book).standing.len();
    record.line(&format!("judged: {twice} of {BOOKINGS} bookings set up twice; {standing} sessions stand"));
    record.line(if broken { "BROKEN: a paid session was set up more than once" } else { "held" });
    if broken { BROKEN } else { HELD }
}

fn main() {
    std::process::exit(run());
}
