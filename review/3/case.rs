//! Edge servers die and start again at once, at their addresses and under their ids; the list tells of it seconds late.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;

const SERVERS: usize = 12;
const REPORTS_MS: u64 = 3250;
/// Three servers of twelve are lost for so long.
const DOWN_S: f64 = 1.0;
/// The list tells of their new start so much later.
const LATE_S: f64 = 4.0;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, REPORTS_MS)).collect();
    let board = Board::start(&servers);
    let (folder, listen) = (temporary_folder("restart"), free_port());
    let settings = settings(SERVERS, REPORTS_MS, 1, 0);
    let mut brokers = vec![Broker::start(&record, "n1", listen, &folder, &board, &settings, None)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 11);
    let start = record.now();
    let (die_at, up_at, tell_at) = (start + 15.0, start + 15.0 + DOWN_S, start + 15.0 + DOWN_S + LATE_S);
    let (mut died, mut up, mut told) = (false, None::<u64>, false);
    let mut up_seen = 0.0;
    let last_arrival = tell_at + 4.0;
    let end = last_arrival + 6.0;
    let mut next = start;
    let lost = &servers[2..5];
    while record.now() < end {
        let now = record.now();
        if now >= next && now < last_arrival {
            next += 0.33;
            // While the list is late, every second viewer asks for a title that those servers hold.
            if now >= up_at && now < tell_at && crowd.random.below(2) == 0 {
                crowd.comes_for(&record, listen, 2, None);
            } else {
                crowd.comes(&record, listen);
            }
        }
        if trouble() && !died && now >= die_at {
            died = true;
            lost.iter().for_each(|s| s.die());
        }
        if died && up.is_none() && now >= up_at {
            up = Some(unix_ms());
            up_seen = record.now();
            lost.iter().for_each(|s| s.start_again());
        }
        if let Some(boot) = up.filter(|_| !told && now >= tell_at) {
            told = true;
            record.line("the list tells of the new starts");
            board.push(&lost.iter().map(|s| s.target("in_service", boot)).collect::<Vec<_>>());
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let now = record.now();
    let book = crowd.book.lock().unwrap().clone();
    let (mut wrong, mut since) = (0, 0);
    for (id, seen) in &book {
        if seen.answer != "plays" {
            continue;
        }
        let Some(server) = servers.iter().find(|s| s.name == seen.server) else { continue };
        since +=
            usize::from(trouble() && seen.answered > up_seen && lost.iter().any(|s| s.name == seen.server));
        let (Some((at, cause)), true) = (seen.over, server.stands(*id)) else { continue };
        wrong += 1;
        record.say(format!(
            "told over, but stands: id={id:016x} class={} at {}; answered at {:.3}, told over at {at:.3} with cause {cause}; it still stands at {now:.3}",
            seen.class, server.name, seen.answered
        ));
    }
    record.say(format!(
        "requests={} played={} set up at the new processes={since} told over while they stand={wrong}",
        book.len(),
        book.values().filter(|s| s.answer == "plays").count()
    ));
    if book.len() < 20 || (trouble() && since == 0) {
        finish(&record, &mut brokers, 2, "nothing was set up at the new processes");
    }
    match wrong {
        0 => finish(&record, &mut brokers, 0, "no viewer was told the end of a session that stands"),
        n => {
            finish(&record, &mut brokers, 1, &format!("{n} viewers were told the end of sessions that stand"))
        }
    }
}
