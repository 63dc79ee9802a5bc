//! One process of a broker, from its start to its end.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::Setup;
use crate::herd::starved::waited;
use crate::process::Process;

/// Time between two tests of a process that starts, and the longest that one takes.
const TEST: Duration = Duration::from_millis(50);

/// A process that runs.
pub(super) struct Running {
    pub(super) process: Process,
    /// Its place among the runs of the book.
    pub(super) run: usize,
    pub(super) console: SocketAddr,
    pub(super) ready: bool,
    pub(super) tested: Instant,
    pub(super) kill_at: Option<Instant>,
    pub(super) signals: Vec<(Instant, Signal)>,
}

impl Running {
    /// Tests, measures, signals and kills it, as the time has come for each. One that another follows may leave before it
    /// is told to.
    pub(super) fn look(&mut self, setup: &Setup, broker: usize, followed: bool) {
        let now = Instant::now();
        while let Some(at) = self.signals.iter().position(|(at, _)| *at <= now) {
            let (_, signal) = self.signals.remove(at);
            self.process.signal(signal);
        }
        let due = now >= self.tested + TEST;
        if due {
            self.tested = now;
            self.measure(setup);
        }
        if !self.ready && due && says_ready(self.console) {
            self.ready = true;
            setup.book.lock().runs[self.run].ready = Some(now);
            setup.book.act(format!("broker {broker}: process {} says yes", self.run));
        }
        if let Some(status) = self.process.status() {
            let mut book = setup.book.lock();
            let run = &mut book.runs[self.run];
            run.ended = Some(now);
            if run.told.is_none() && !followed || !status.success() && !run.killed {
                run.crashed = Some(status.to_string());
            }
            drop(book);
            setup.book.act(format!("broker {broker}: process {} ended, {status}", self.run));
        } else if self.kill_at.is_some_and(|at| now >= at) {
            self.kill_at = None;
            setup.book.lock().runs[self.run].killed = true;
            setup.book.act(format!("broker {broker}: SIGKILL to process {}", self.run));
            self.process.signal(Signal::KILL);
        }
    }

    fn measure(&self, setup: &Setup) {
        let folder = PathBuf::from(format!("/proc/{}", self.process.pid()));
        let (kb, descriptors) = (resident_kb(&folder).unwrap_or(0), std::fs::read_dir(folder.join("fd")));
        let descriptors = descriptors.map_or(0, Iterator::count);
        let waited = waited(self.process.pid());
        let mut book = setup.book.lock();
        let run = &mut book.runs[self.run];
        run.waits.extend(waited.map(|waited| (Instant::now(), waited)));
        run.peak_kb = run.peak_kb.max(kb);
        run.peak_descriptors = run.peak_descriptors.max(descriptors);
    }
}

fn resident_kb(folder: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Asks a process at its second address whether it serves.
fn says_ready(console: SocketAddr) -> bool {
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&console, TEST)?;
        stream.set_read_timeout(Some(TEST))?;
        stream.write_all(b"check\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().is_ok_and(|answer| answer.starts_with("SUCCESS"))
}
