//! For how long the machine kept a broker, or the rig itself, from a CPU. On a busy machine an answer may come late
//! though the broker did nothing wrong; this tells how much of the lateness that can be at most.

use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;

use super::ledger::{Book, Ledger, Request};

/// Time between two looks at the processes.
const LOOK: Duration = Duration::from_millis(20);
/// A broker may mean to answer so long before the viewer's time is up.
const BEFORE_DUE: Duration = Duration::from_millis(100);

/// Reads for how long each process has waited for a CPU, until the end is told.
pub fn watch(ledger: &Ledger, ended: &Receiver<()>) {
    let over = || {
        let pause = async {
            Timer::after(LOOK).await;
            false
        };
        let end = async {
            // An error tells of the end, too.
            let _ = ended.recv().await;
            true
        };
        async_io::block_on(future::or(end, pause))
    };
    while !over() {
        let pids: Vec<(usize, usize, u32)> = ledger.book().alive();
        for (process, run, pid) in pids {
            if let Some(waited) = waited(pid) {
                ledger.book().runs[process][run].waits.push((Instant::now(), waited));
            }
        }
    }
}

/// For how long a process has been ready to run and had no CPU, by the system's scheduler; a broker has one thread.
pub fn waited(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split_whitespace().nth(1)?.parse().ok().map(Duration::from_nanos)
}

/// For how long the broker or the rig went without a CPU where that can have made this answer late: just behind the
/// request, and from shortly before its time is up until the answer was seen.
pub fn starved(book: &Book, request: &Request, seen: Instant) -> Duration {
    let late = seen.saturating_duration_since(request.due());
    let asked = (request.written, (request.written + late).min(seen));
    let before_due = request.due().checked_sub(BEFORE_DUE).unwrap_or(request.written);
    let answered = (before_due.max(asked.1), seen);
    let waits = intervals(&book.runs[request.process][request.run].waits);
    let within = |span: (Instant, Instant)| overlap(&book.stalls, span) + overlap(&waits, span);
    within(asked) + within(answered)
}

/// From when to when a process had no CPU. The system tells of a wait once it is over: its end lies at most one look
/// before the look that first told of it.
fn intervals(waits: &[(Instant, Duration)]) -> Vec<(Instant, Instant)> {
    let wait = |looks: &[(Instant, Duration)]| {
        let waited = looks[1].1.saturating_sub(looks[0].1);
        (looks[1].0.checked_sub(waited).unwrap_or(looks[0].0), looks[1].0)
    };
    waits.windows(2).map(wait).collect()
}

fn overlap(intervals: &[(Instant, Instant)], (from, to): (Instant, Instant)) -> Duration {
    let within =
        |(begin, end): &(Instant, Instant)| (*end).min(to).saturating_duration_since((*begin).max(from));
    intervals.iter().map(within).sum()
}
