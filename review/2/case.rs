//! Edge servers stand still for some seconds; sessions come to their end there meanwhile.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeMap;

const SERVERS: usize = 12;
const REPORTS_MS: u64 = 3250;
/// Two servers of twelve stand still for so long.
const STILL_S: f64 = 12.0;
/// The end of a session is told within this time of its server's release (1 s and the slack of 50 ms).
const BOUND_S: f64 = 1.05;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, REPORTS_MS)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("still"), free_port());
    let settings = settings(SERVERS, REPORTS_MS, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 19);
    let start = record.now();
    // Servers end sessions after 30 to 48 s, by their ids.
    let length = |id: u64| 30.0 + (id % 19) as f64;
    let end_due = |server: &Server| {
        for (id, standing) in server.standing() {
            if record.now() - standing.since >= length(id) {
                server.end_session(id);
            }
        }
    };
    let (still_from, go_at) = (start + 38.0, start + 38.0 + STILL_S);
    let (mut still, mut went) = (false, None::<f64>);
    let last_arrival = go_at;
    let end = go_at + 14.0;
    let mut next = start;
    while record.now() < end {
        let now = record.now();
        if now >= next && now < last_arrival {
            next += 0.33;
            let home = crowd.random.below(SERVERS as u64) as usize;
            crowd.comes_to_play(&record, listen, home, None, 600.0);
        }
        if !still && now >= still_from {
            still = true;
            if trouble() {
                servers[2].stand_still();
                servers[3].stand_still();
            }
        }
        if still && went.is_none() && now >= go_at {
            went = Some(now);
            if trouble() {
                servers[2].go_on(end_due);
                servers[3].go_on(end_due);
            }
        }
        for (n, server) in servers.iter().enumerate() {
            if !(trouble() && matches!(n, 2 | 3) && still && went.is_none()) {
                end_due(server);
            }
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let now = record.now();
    let book = crowd.book.lock().unwrap().clone();
    let (mut ended, mut at_still, mut untold) = (0, 0, BTreeMap::new());
    for (n, server) in servers.iter().enumerate() {
        for (id, at) in server.ended() {
            let Some(seen) = book.get(&id).filter(|s| s.answer == "plays") else { continue };
            if now < at + BOUND_S + 1.0 {
                continue;
            }
            ended += 1;
            at_still += usize::from(matches!(n, 2 | 3) && went.is_some_and(|w| at >= w && at < w + 0.5));
            if seen.over.is_none_or(|(told, _)| told > at + BOUND_S) {
                untold.insert(id, ());
                record.say(format!(
                    "not told: id={id:016x} class={} at {}; its server released it at {at:.3}, its viewer heard of it: {}",
                    seen.class,
                    server.name,
                    seen.over.map_or("never".to_owned(), |(told, _)| format!("{told:.3}"))
                ));
            }
        }
    }
    record.say(format!(
        "requests={} played={} ended by servers={ended} of these once the still ones went on={at_still} not told in time={}",
        book.len(),
        book.values().filter(|s| s.answer == "plays").count(),
        untold.len()
    ));
    if ended < 20 || (trouble() && at_still == 0) {
        finish(&record, &mut brokers, 2, "too few sessions came to their end");
    }
    match untold.len() {
        0 => finish(&record, &mut brokers, 0, "each end was told in time"),
        n => finish(
            &record,
            &mut brokers,
            1,
            &format!("{n} viewers were not told in time that their sessions are over"),
        ),
    }
}
