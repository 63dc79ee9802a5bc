//! Browsers drop their HTTP connections halfway through paid set-ups, and come again at the other broker.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

const SERVERS: usize = 6;
const BOOKINGS: usize = 6;
/// A server takes so long for a set-up.
const SET_UP_MS: u64 = 700;
/// The connection drops so long after the request.
const DROP_MS: u64 = 300;
/// Viewers come again so much later (1.5 to 3 s).
const AGAIN_MS: u64 = 2000;

/// Posts the offer of a booking. Gives the status, or none if the connection is dropped after so many milliseconds.
fn post(record: &Record, to: SocketAddr, booking: &str, drop_ms: Option<u64>) -> Option<u32> {
    let offer =
        format!("v=0\r\no=- {booking} 1 IN IP4 127.0.0.1\r\ns=-\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
    let head = format!(
        "POST /whip/living-room/bookings/{booking} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/sdp\r\nContent-Length: {}\r\n\r\n",
        offer.len()
    );
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.write_all(format!("{head}{offer}").as_bytes()).ok()?;
    record.line(format!("browser posts booking {booking} to {to}"));
    let patience = drop_ms.unwrap_or(6000);
    stream.set_read_timeout(Some(Duration::from_millis(patience))).ok()?;
    let (mut heard, mut buffer) = (Vec::new(), [0; 4096]);
    while !heard.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => heard.extend_from_slice(&buffer[..n]),
            _ => {
                record.line(format!("browser's connection for booking {booking} drops"));
                return None;
            }
        }
    }
    let status = String::from_utf8_lossy(&heard).split(' ').nth(1).and_then(|s| s.parse().ok());
    record.line(format!("browser hears {status:?} to booking {booking} from {to}"));
    status
}

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, 3250)).collect();
    servers.iter().for_each(|s| s.set_up_ms.store(SET_UP_MS, Ordering::SeqCst));
    let folder = temporary_folder("bookings");
    // The settings of the deploy folder's operator's file; addresses and servers of this run.
    let root = std::env::var("ROOT").unwrap_or_default();
    let text = std::fs::read_to_string(format!("{root}/deploy/operator.toml")).unwrap_or_default();
    let Some(settings) = text.find("\n[settings]").map(|at| &text[at..]) else {
        finish(&record, &mut [], 2, "deploy/operator.toml has no [settings]");
    };
    let mut brokers = Vec::new();
    for name in ["gateway-1", "gateway-2"] {
        let listen = free_port();
        let mut file = format!("name = \"{name}\"\n[whip]\nlisten = \"{listen}\"\n");
        file += "[[title]]\nname = \"living-room\"\nclass = \"live-walkround\"\nhome = 0\ncopies = 3\n";
        for server in &servers {
            file += &format!(
                "[[server]]\nid = \"{}\"\naddress = \"{}\"\ncell = {}\nkind = \"box-2core\"\nweight = 2.0\n",
                server.name,
                server.address,
                server.cell % 3
            );
        }
        file += settings;
        brokers.push(Broker::start_operator(&record, name, &folder, &file, listen));
    }
    let ready = |to: SocketAddr| {
        (0..100).any(|_| {
            TcpStream::connect(to).is_ok() || {
                sleep_ms(50);
                false
            }
        })
    };
    let (first, second) = (brokers[0].listen, brokers[1].listen);
    if !ready(first) || !ready(second) {
        finish(&record, &mut brokers, 2, "the brokers do not listen");
    }
    sleep_ms(300);
    let mut played = 0;
    for n in 0..BOOKINGS {
        let booking = format!("adviser-{}-{n}", std::process::id());
        let answer = post(&record, first, &booking, trouble().then_some(DROP_MS));
        let answer = answer.or_else(|| {
            sleep_ms(AGAIN_MS);
            post(&record, second, &booking, None)
        });
        played += usize::from(answer == Some(201));
    }
    sleep_ms(1000);
    let mut twice = 0;
    for n in 0..BOOKINGS {
        let name = format!("adviser-{}-{n} ", std::process::id());
        let runs: Vec<String> = servers
            .iter()
            .flat_map(|s| s.offers().into_iter().map(|(offer, at)| (s.name.clone(), offer, at)))
            .filter(|(_, offer, _)| offer.contains(&name))
            .map(|(server, _, at)| format!("{server} at {at:.3}"))
            .collect();
        twice += usize::from(runs.len() > 1);
        record.say(format!("booking {name}was set up {} times: {}", runs.len(), runs.join(", ")));
    }
    record.say(format!("bookings={BOOKINGS} answered with 201={played} set up more than once={twice}"));
    if played == 0 {
        finish(&record, &mut brokers, 2, "no booking was answered");
    }
    match twice {
        0 => finish(&record, &mut brokers, 0, "each paid session was set up at most once"),
        n => finish(&record, &mut brokers, 1, &format!("{n} paid sessions were set up twice")),
    }
}
