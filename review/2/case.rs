//! A configuration that lacks a key arrives with SIGHUP; some seconds later a server drains.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;

const SERVERS: usize = 12;
/// The server that drains.
const DRAIN: [usize; 1] = [3];
/// SIGHUP, and the drain, so long after the start.
const SIGHUP_AT_S: f64 = 8.0;
const DRAIN_AT_S: f64 = 14.0;
const LAST_S: f64 = 34.0;
/// Nothing new goes to a server later than this after the list told of its drain (500 ms, and 50 ms on sockets).
const BOUND_S: f64 = 0.55;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, 3250)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("sighup"), free_port());
    let settings = settings(SERVERS, 3250, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 41);
    let start = record.now();
    let (mut next, mut signalled, mut told) = (start, false, None::<f64>);
    while record.now() < start + LAST_S + 2.0 {
        let now = record.now();
        if now >= next && now < start + LAST_S {
            next += 0.33;
            // Most viewers want the titles of the servers that drain, and of their neighbours.
            let home = crowd.random.below(5) as usize;
            crowd.comes_for(&record, listen, home, None);
        }
        if !signalled && now >= start + SIGHUP_AT_S {
            signalled = true;
            let path = folder.join(format!("config-{}.json", brokers[0].console.port()));
            let whole = std::fs::read_to_string(&path).unwrap_or_default();
            let key = format!("\"board\":\"{}\",", board.address);
            let new = if trouble() { whole.replace(&key, "") } else { whole.clone() };
            if !whole.contains(&key) || std::fs::write(&path, new).is_err() {
                finish(&record, &mut brokers, 2, "the configuration can't be replaced");
            }
            record.line(format!("SIGHUP; the file has the key board: {}", !trouble()));
            signal(brokers[0].child.id(), SIGHUP);
        }
        if told.is_none() && now >= start + DRAIN_AT_S {
            let figures = brokers[0].call("vars");
            let of = |name: &str| figures.lines().find(|l| l.contains(name)).unwrap_or("").to_owned();
            record.say(format!("{} {}", of("cfg_accepted"), of("cfg_invalid")));
            let targets: Vec<String> = DRAIN.iter().map(|n| servers[*n].target("terminating", 0)).collect();
            board.push(&targets);
            told = Some(record.now());
            record.line("the list tells that a server drains");
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let told = told.unwrap_or(f64::MAX);
    let book = crowd.book.lock().unwrap().clone();
    let (mut before, mut sent) = (0, 0);
    for n in DRAIN {
        for (offer, at) in servers[n].offers() {
            before += usize::from(at <= told);
            if at > told + BOUND_S {
                sent += 1;
                record.say(format!(
                    "sent to {}, {:.3} s after it was told that this drains: {}",
                    servers[n].name,
                    at - told,
                    offer.split("\r\n").next().unwrap_or_default()
                ));
            }
        }
    }
    let played = book.values().filter(|seen| seen.answer == "plays").count();
    record.say(format!(
        "requests={} played={played} at these servers before={before} sent to them after the bound={sent}",
        book.len()
    ));
    if played < 40 || before == 0 {
        finish(&record, &mut brokers, 2, "too few sessions");
    }
    match sent {
        0 => finish(&record, &mut brokers, 0, "nothing new went to the servers that drain"),
        n => finish(&record, &mut brokers, 1, &format!("{n} set-ups went to servers that drain")),
    }
}
