//! Machines of edge servers vanish without a sign and are back some seconds later with new processes.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;

const SERVERS: usize = 12;
const REPORTS_MS: u64 = 3250;
/// Three servers of twelve are lost for so long.
const LOST_S: f64 = 4.0;
/// The list tells of their new start so much later.
const LATE_S: f64 = 5.0;
/// The end of a session is told within this time where no release could be sent (8 s and the slack of 50 ms).
const BOUND_S: f64 = 8.05;

fn main() {
    let record = Record::create();
    let noted = std::time::Instant::now();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, REPORTS_MS)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("vanish"), free_port());
    let settings = settings(SERVERS, REPORTS_MS, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 23);
    let start = record.now();
    // Servers tell of their links all at the same time; these vanish a little after.
    let lost_at = record.now() - noted.elapsed().as_secs_f64() + 6.0 * REPORTS_MS as f64 / 1000.0 + 0.3;
    let (back_at, tell_at) = (lost_at + LOST_S, lost_at + LOST_S + LATE_S);
    let lost = &servers[2..5];
    let mut held = Vec::new();
    let (mut gone, mut back, mut told) = (None::<f64>, None::<u64>, false);
    let end = tell_at + 6.0;
    let mut next = start;
    while record.now() < end {
        let now = record.now();
        if now >= next {
            next += 0.33;
            crowd.comes(&record, listen);
        }
        if gone.is_none() && now >= lost_at {
            gone = Some(now);
            if trouble() {
                held = lost.iter().flat_map(|s| s.standing().into_keys()).collect();
                lost.iter().for_each(|s| s.vanish());
            }
        }
        if trouble() && back.is_none() && now >= back_at {
            back = Some(unix_ms());
            lost.iter().for_each(|s| s.come_back());
        }
        if let Some(boot) = back.filter(|_| !told && now >= tell_at) {
            told = true;
            record.line("the list tells of the new starts");
            board.push(&lost.iter().map(|s| s.target("in_service", boot)).collect::<Vec<_>>());
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let gone = gone.unwrap_or(0.0);
    let book = crowd.book.lock().unwrap().clone();
    let mut untold = 0;
    for id in &held {
        let Some(seen) = book.get(id).filter(|s| s.answer == "plays" && s.released.is_none()) else {
            continue;
        };
        if seen.over.is_none_or(|(at, _)| at > gone + BOUND_S) {
            untold += 1;
            record.say(format!(
                "not told in time: id={id:016x} class={}; lost at {gone:.3}, its viewer heard of it: {}",
                seen.class,
                seen.over.map_or("never".to_owned(), |(at, _)| format!("{at:.3}, {:.3} s after", at - gone))
            ));
        }
    }
    record.say(format!(
        "requests={} sessions that were lost={} not told in time={untold}",
        book.len(),
        held.len()
    ));
    if book.len() < 30 || (trouble() && held.is_empty()) {
        finish(&record, &mut brokers, 2, "no session was lost");
    }
    match untold {
        0 => finish(&record, &mut brokers, 0, "each end was told in time"),
        n => finish(
            &record,
            &mut brokers,
            1,
            &format!("{n} viewers were not told in time that their sessions are over"),
        ),
    }
}
