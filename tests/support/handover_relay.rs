//! A relay between an old process and its heir: it takes the old one's place at the meeting point, passes each message
//! on, and brings one fault about at one of them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::fs::{CWD, RenameFlags, renameat_with};
use rustix::process::{Pid, Signal, kill_process};

/// One of the two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Old,
    Successor,
}

/// What happens at a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It comes late, and what is behind it on its way too.
    Late(Duration),
    /// It never comes, and what is behind it does.
    Lost,
    /// So many of its bytes come, then the connection ends. Both processes live.
    Cut(usize),
    /// A process is killed, before the message is passed on or after.
    Kill(Side, bool),
    /// A process is stopped for so long, before the message is passed on or after.
    Stop(Side, bool, Duration),
}

/// A fault, and the kind of message that it happens at, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    pub at: &'static str,
    pub fault: Fault,
}

/// What came of the plan.
#[derive(Clone, Copy, Debug, Default)]
pub struct Came {
    /// When the fault came about.
    pub fault: Option<Instant>,
    /// When a process was killed.
    pub killed: Option<Instant>,
    /// A message that is late, or a process that was stopped, goes on then.
    pub goes_on: Option<Instant>,
}

/// The relay, on threads of its own.
pub struct Relay {
    came: Arc<Mutex<Came>>,
}

struct Shared {
    plan: Plan,
    came: Arc<Mutex<Came>>,
    /// The meeting point, the relay's own file for it, and the old process's socket.
    place: PathBuf,
    own: u64,
    old: PathBuf,
    /// Held while the place is given back: either direction may find an end.
    giving_back: Mutex<()>,
}

fn file_number(path: &Path) -> u64 {
    use std::os::unix::fs::MetadataExt;
    std::fs::metadata(path).map_or(0, |metadata| metadata.ino())
}

fn process(peer: &UnixStream) -> Pid {
    rustix::net::sockopt::socket_peercred(peer).unwrap().pid
}

impl Relay {
    /// Takes the place of the process that is at the meeting point.
    pub fn between(place: &Path, plan: Plan) -> Relay {
        let (old, relay) = (place.with_extension("old"), place.with_extension("relay"));
        std::fs::hard_link(place, &old).unwrap();
        let listener = UnixListener::bind(&relay).unwrap();
        let own = file_number(&relay);
        std::fs::rename(&relay, place).unwrap();
        let came = Arc::new(Mutex::new(Came::default()));
        let shared = Arc::new(Shared {
            plan,
            came: came.clone(),
            place: place.to_owned(),
            own,
            old,
            giving_back: Mutex::default(),
        });
        std::thread::spawn(move || {
            for heir in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.converse(heir));
            }
        });
        Relay { came }
    }

    pub fn came(&self) -> Came {
        *self.came.lock().unwrap()
    }
}

impl Shared {
    fn converse(self: Arc<Shared>, heir: UnixStream) {
        // Who connects where nobody listens any more is turned down; here that is an end at once.
        let Ok(old) = UnixStream::connect(&self.old) else { return };
        let pids = [process(&old), process(&heir)];
        let pump = |from: &UnixStream, to: &UnixStream| -> JoinHandle<()> {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let shared = self.clone();
            std::thread::spawn(move || {
                shared.pass_on(&from, &to, pids);
                shared.give_place_back();
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            })
        };
        let both = [pump(&heir, &old), pump(&old, &heir)];
        both.into_iter().for_each(|pump| drop(pump.join()));
    }

    /// Passes messages on until either side ends.
    fn pass_on(&self, from: &UnixStream, mut to: &UnixStream, pids: [Pid; 2]) {
        let mut lines = BufReader::new(from);
        let mut line = Vec::new();
        while lines.by_ref().read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
            let mut fault = self.due(&line);
            match fault {
                Some(Fault::Late(span)) => std::thread::sleep(span),
                Some(Fault::Lost) => line.clear(),
                Some(Fault::Cut(bytes)) => line.truncate(bytes.min(line.len() - 1)),
                Some(Fault::Kill(_, true) | Fault::Stop(_, true, _)) => self.strike(fault.take(), pids),
                _ => {}
            }
            if to.write_all(&line).is_err() || matches!(fault, Some(Fault::Cut(_))) {
                return;
            }
            self.strike(fault, pids);
            line.clear();
        }
    }

    /// The fault, at the first message of its kind.
    fn due(&self, line: &[u8]) -> Option<Fault> {
        let kind = format!("\"say\":\"{}\"", self.plan.at);
        let mut came = self.came.lock().unwrap();
        let here = came.fault.is_none() && String::from_utf8_lossy(line).contains(&kind);
        here.then(|| {
            came.fault = Some(Instant::now());
            if let Fault::Late(span) = self.plan.fault {
                came.goes_on = Some(Instant::now() + span);
            }
            self.plan.fault
        })
    }

    fn strike(&self, fault: Option<Fault>, [old, heir]: [Pid; 2]) {
        let pid = move |side| if side == Side::Old { old } else { heir };
        let mut came = self.came.lock().unwrap();
        match fault {
            Some(Fault::Kill(side, _)) => {
                let _ = kill_process(pid(side), Signal::KILL);
                came.killed = Some(Instant::now());
            }
            Some(Fault::Stop(side, _, span)) => {
                let _ = kill_process(pid(side), Signal::STOP);
                came.goes_on = Some(Instant::now() + span);
                std::thread::spawn(move || {
                    std::thread::sleep(span);
                    let _ = kill_process(pid(side), Signal::CONT);
                });
            }
            _ => {}
        }
    }

    /// Where the heir has not taken the place, the old process is found there again before it hears of an end.
    fn give_place_back(&self) {
        let _alone = self.giving_back.lock().unwrap();
        if file_number(&self.place) != self.own
            || renameat_with(CWD, &self.old, CWD, &self.place, RenameFlags::EXCHANGE).is_err()
        {
            return;
        }
        // Another came between the look and the exchange: it keeps the place.
        if file_number(&self.old) != self.own {
            let _ = renameat_with(CWD, &self.old, CWD, &self.place, RenameFlags::EXCHANGE);
        }
    }
}
