//! Bad clients send hundreds of requests that they withdraw at once; the platform watches the broker's memory.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SERVERS: usize = 12;
/// The limit of the configuration (`limits.memory_mb`).
const MEMORY_MB: u64 = 192;
/// A bad client comes so often, from that time on.
const BAD_EACH_S: f64 = 0.5;
const BAD_FROM_S: f64 = 5.0;
const LAST_S: f64 = 75.0;
/// It sends so many requests at once, and withdraws each.
const REQUESTS: u64 = 300;
/// Characters of the title that it names; its messages stay well under the 16 KiB that one may hold.
const TITLE: usize = 12_000;

/// A bad client: sends at full speed, reads what it is sent, and goes after a second.
fn bad_client(record: &Arc<Record>, broker: SocketAddr, number: u64) {
    let Ok(mut stream) = TcpStream::connect_timeout(&broker, Duration::from_secs(1)) else {
        record.line(format!("bad client {number} can't connect"));
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    if let Ok(mut reading) = stream.try_clone() {
        thread::spawn(move || {
            let mut buffer = [0; 65536];
            while matches!(reading.read(&mut buffer), Ok(1..)) {}
        });
    }
    let rest = "x".repeat(TITLE - 16);
    let mut sent = 0;
    for n in 0..REQUESTS {
        let id = 0xbad0_0000_0000_0000 | number << 16 | n;
        let title = format!("{:016x}{rest}", id.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let lines = format!(
            "{{\"type\":\"setup\",\"id\":\"{id:016x}\",\"fields\":{{\"class\":\"product-clip\",\"left\":\"5000\",\"tenant\":\"lee-beds\",\"key\":\"{title}\",\"extras\":\"home:{};copies:3;top:4;viewer:{id:016x}\"}},\"sdp\":\"v=0\\r\\nm=video 31000 RTP/AVP 0\\r\\n\"}}\n\
             {{\"type\":\"release\",\"id\":\"{id:016x}\",\"fields\":{{}},\"cause\":16}}\n",
            n % SERVERS as u64
        );
        if stream.write_all(lines.as_bytes()).is_err() {
            break;
        }
        sent += 1;
    }
    record.line(format!("bad client {number} has sent and withdrawn {sent} requests"));
    sleep_ms(1000);
}

/// The memory that the process itself has taken, in kB: no pages of files.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    line.and_then(|l| l.trim().strip_suffix("kB")?.trim().parse().ok()).unwrap_or(0)
}

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, 3250)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("bad-clients"), free_port());
    let settings = settings(SERVERS, 3250, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let pid = brokers[0].child.id();
    let mut crowd = Crowd::new(SERVERS, 43);
    let start = record.now();
    let (mut next, mut next_bad, mut next_word) = (start, start + BAD_FROM_S, start);
    let (mut bad, mut most) = (0, 0);
    while record.now() < start + LAST_S {
        let now = record.now();
        if now >= next {
            next += 0.33;
            crowd.comes(&record, listen);
        }
        if trouble() && now >= next_bad {
            next_bad += BAD_EACH_S;
            bad += 1;
            let (record, number) = (record.clone(), bad);
            thread::spawn(move || bad_client(&record, listen, number));
        }
        let taken = memory_kb(pid);
        most = most.max(taken);
        if now >= next_word {
            next_word += 2.0;
            record.line(format!("the broker has taken {taken} kB; bad clients so far: {bad}"));
        }
        if taken > MEMORY_MB * 1024 {
            let playing: usize = servers.iter().map(|s| s.standing().len()).sum();
            record.say(format!(
                "after {:.1} s and {bad} bad clients the broker has taken {taken} kB of {} kB; sessions that play: {playing}",
                now - start,
                MEMORY_MB * 1024
            ));
            // The platform kills a broker that is over its limit.
            signal(pid, SIGKILL);
            sleep_ms(200);
            finish(&record, &mut brokers, 1, "the broker went over its memory and was killed");
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(20);
    }
    let played = crowd.book.lock().unwrap().values().filter(|seen| seen.answer == "plays").count();
    record.say(format!("bad clients={bad} most memory={most} kB played={played}"));
    if played < 40 {
        finish(&record, &mut brokers, 2, "too few sessions");
    }
    finish(&record, &mut brokers, 0, "the broker stayed within its memory");
}
