//! Edge servers are cut off for some seconds while viewers release their sessions there.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeSet;

const SERVERS: usize = 12;
const REPORTS_MS: u64 = 3250;
/// Two servers of twelve are cut off for so long.
const CUT_S: f64 = 4.0;
/// What is over and can't be released at once is released within this time of its end (8 s and the slack of 50 ms).
const BOUND_S: f64 = 8.05;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, REPORTS_MS)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("cut"), free_port());
    let settings = settings(SERVERS, REPORTS_MS, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 7);
    let start = record.now();
    let cut_from = start + 40.0;
    let (mut cut, mut joined) = (false, None::<f64>);
    let last_arrival = cut_from + 6.0;
    let end = last_arrival + 14.0;
    let mut next = start;
    while record.now() < end {
        let now = record.now();
        if now >= next && now < last_arrival {
            // Three new sessions a second. One in three of the first ten seconds is of the titles that the servers
            // hold which are cut off later, and is released while they are.
            next += 0.33;
            let arrival = ((now - start) / 0.33) as u64;
            if now < start + 10.0 && arrival % 3 != 0 {
                let play = cut_from + crowd.random.between(1.2, 3.8) - now;
                crowd.comes_to_play(&record, listen, 2, None, play);
            } else if cut && joined.is_none() {
                crowd.comes_for(&record, listen, 2, None);
            } else {
                crowd.comes(&record, listen);
            }
        }
        if !cut && now >= cut_from {
            cut = true;
            if trouble() {
                servers[2].cut_off();
                servers[3].cut_off();
            }
        }
        if cut && joined.is_none() && now >= cut_from + CUT_S {
            if trouble() {
                servers[2].join_again();
                servers[3].join_again();
            }
            joined = Some(record.now());
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let (now, joined) = (record.now(), joined.unwrap_or(0.0));
    let book = crowd.book.lock().unwrap().clone();
    let mut left = BTreeSet::new();
    let (mut released, mut released_in_cut) = (0, 0);
    for (id, seen) in &book {
        let Some(at) = seen.released else { continue };
        released += 1;
        released_in_cut += usize::from(at >= cut_from && at < joined);
        let due = if at >= cut_from { at.max(joined) } else { at } + BOUND_S;
        for server in servers.iter().filter(|s| s.stands(*id) && now > due) {
            left.insert(*id);
            record.say(format!(
                "left standing: id={id:016x} class={} at {}; its viewer released it at {at:.3}, all servers could be reached from {joined:.3} on, it stands at {now:.3}",
                seen.class, server.name
            ));
        }
    }
    record.say(format!(
        "requests={} played={} released by viewers={released} of these during the cut={released_in_cut} left standing={}",
        book.len(),
        book.values().filter(|s| s.answer == "plays").count(),
        left.len()
    ));
    if released < 10 || (trouble() && released_in_cut == 0) {
        finish(&record, &mut brokers, 2, "too few sessions were released");
    }
    match left.len() {
        0 => finish(&record, &mut brokers, 0, "every session that its viewer released is over at its server"),
        n => finish(
            &record,
            &mut brokers,
            1,
            &format!("{n} sessions that their viewers released stand at their servers"),
        ),
    }
}
