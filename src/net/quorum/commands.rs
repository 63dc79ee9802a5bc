//! Commands that ask the processes of a quorum: each opens a connection of its own and reads until it is answered.

use std::collections::BTreeMap;
use std::io::{self, Read as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::AsyncWriteExt as _;

use super::super::{TURN, unix, within};
use crate::disk;
use crate::quorum::council::Unreplaced;
use crate::quorum::frame::{self, Frame, Hello, Reader};
use crate::quorum::record;
use crate::quorum::view::{RulesStatus, Status};
use crate::quorum::{Duty, Name, Setup, Voter};
use crate::rules::version::{Fate, Proposal, Unproposed, Version};

/// How long a command waits for an answer.
const COMMAND: Duration = Duration::from_secs(3);

/// Asks one process and reads frames until one is an answer.
async fn ask<T>(
    address: SocketAddr,
    hello: &Hello,
    frame: &Frame,
    answer: impl Fn(Frame) -> Option<T>,
) -> io::Result<T> {
    let work = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        let mut bytes = frame::preface();
        for frame in [&Frame::Hello(hello.clone()), frame] {
            bytes.extend(frame::encode(frame).unwrap_or_default());
        }
        stream.write_all(&bytes).await?;
        let (mut reader, mut buffer) = (Reader::default(), vec![0; TURN]);
        loop {
            let n = stream.read_with(|mut s| s.read(&mut buffer)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            reader.feed(&buffer[..n]);
            while let Some(frame) = reader.take().map_err(|e| io::Error::other(e.code()))? {
                match frame {
                    Frame::Refused(why) => return Err(io::Error::other(why.to_string())),
                    frame => {
                        if let Some(answer) = answer(frame) {
                            return Ok(answer);
                        }
                    }
                }
            }
        }
    };
    within(COMMAND, work).await
}

fn hello(setup: &Setup) -> Hello {
    Hello {
        cluster: setup.cluster.clone(),
        process: None,
        voters: setup.voter_names(),
        council: 0,
        papers: None,
    }
}

/// Processes that keep a log, in the order in which a command asks them: this one first, if it does.
fn asked(setup: &Setup) -> Vec<(String, SocketAddr)> {
    let own = |v: &&Voter| v.name == setup.name;
    let address = |v: &Voter| {
        (v.name.0.clone(), if v.name == setup.name { setup.listen.unwrap_or(v.address) } else { v.address })
    };
    let all = || setup.voters.iter().chain(&setup.spares);
    all().filter(own).chain(all().filter(|v| !own(v))).map(address).collect()
}

/// How things stand, told by the leader where one is known, else by the first voter that answers.
pub fn show(setup: &Setup) -> Result<Status, String> {
    let (mut found, mut problems) = (None::<Status>, Vec::new());
    for (name, address) in asked(setup) {
        match ask_status(setup, address) {
            Ok(status) if status.confirmed => return Ok(status),
            Ok(status) => {
                let better = |f: &Status| {
                    f.barred.is_some() || (status.council, status.version) > (f.council, f.version)
                };
                let better = found.as_ref().is_none_or(better);
                found = if better { Some(status) } else { found };
            }
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    found.ok_or_else(|| format!("no voter answers: {}", problems.join("; ")))
}

fn ask_status(setup: &Setup, address: SocketAddr) -> io::Result<Status> {
    let status = |frame: Frame| match frame {
        Frame::Status(status) => Some(*status),
        _ => None,
    };
    async_io::block_on(ask(address, &hello(setup), &Frame::Show, status))
}

/// Asks the leader to have a duty handed on.
pub fn hand_on(setup: &Setup, duty: &str) -> Result<(), String> {
    let frame = Frame::HandOn(Duty(duty.to_owned()));
    let answer = |frame: Frame| match frame {
        Frame::HandingOn(done, _) => Some(done),
        _ => None,
    };
    let mut problems = Vec::new();
    for (name, address) in asked(setup) {
        match async_io::block_on(ask(address, &hello(setup), &frame, answer)) {
            Ok(true) => return Ok(()),
            Ok(false) => problems.push(format!("{name}: does not lead, or nobody holds {duty}")),
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    Err(problems.join("; "))
}

/// How long a command waits for a change of voters to be through.
const THROUGH: Duration = Duration::from_secs(30);

/// Has a voter replaced by a process that offers itself, and waits until the new voters have a leader.
pub fn replace(setup: &Setup, gone: &str, new: &str) -> Result<Status, String> {
    let frame = Frame::Replace(Name(gone.to_owned()), Name(new.to_owned()));
    let answer = |frame: Frame| match frame {
        Frame::Replacing(done) => Some(done),
        _ => None,
    };
    let mut problems = Vec::new();
    for (name, address) in asked(setup) {
        let number = match async_io::block_on(ask(address, &hello(setup), &frame, answer)) {
            Ok(Ok(number)) => number,
            // Only the leader says this, and whoever else is asked does not know better.
            Ok(Err(why)) if why != Unreplaced::NotLeading => return Err(format!("{name}: {why}")),
            Ok(Err(why)) => {
                problems.push(format!("{name}: {why}"));
                continue;
            }
            Err(error) => {
                problems.push(format!("{name} ({address}): {error}"));
                continue;
            }
        };
        let until = Instant::now() + THROUGH;
        while Instant::now() < until {
            if let Ok(status) = show(setup)
                && status.council >= number
                && status.confirmed
            {
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        return Err(format!(
            "{name}: council {number} was proposed, but nobody led it within 30 s; see `quorum show`"
        ));
    }
    Err(problems.join("; "))
}

/// The rules, told by the leader where one is known, else by the first that answers.
pub fn rules(setup: &Setup) -> Result<RulesStatus, String> {
    let answer = |frame: Frame| match frame {
        Frame::RulesAre(status) => Some(*status),
        _ => None,
    };
    let (mut found, mut problems) = (None::<RulesStatus>, Vec::new());
    for (name, address) in asked(setup) {
        match async_io::block_on(ask(address, &hello(setup), &Frame::Rules, answer)) {
            Ok(status) if status.confirmed => return Ok(status),
            Ok(status) => {
                let better = found.as_ref().is_none_or(|f| status.ruled.last > f.ruled.last);
                found = if better { Some(status) } else { found };
            }
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    found.ok_or_else(|| format!("no voter answers: {}", problems.join("; ")))
}

/// Proposes a document of rules; with `wait` until it is in force. Gives its number.
pub fn propose(setup: &Setup, proposal: &Proposal, wait: bool) -> Result<u64, String> {
    let at_ms = unix().0 / 1_000;
    let frame = Frame::Propose(Box::new(Proposal { at_ms, ..proposal.clone() }));
    let answer = |frame: Frame| match frame {
        Frame::Proposed(done) => Some(done),
        _ => None,
    };
    let mut problems = Vec::new();
    for (name, address) in asked(setup) {
        match async_io::block_on(ask(address, &hello(setup), &frame, answer)) {
            Ok(Ok(number)) if wait => return in_force(setup, number, &Version::digest_of(&proposal.text)),
            Ok(Ok(number)) => return Ok(number),
            Ok(Err(why)) if why != Unproposed::NotLeading => return Err(why.to_string()),
            Ok(Err(why)) => problems.push(format!("{name}: {why}")),
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    Err(problems.join("; "))
}

fn in_force(setup: &Setup, number: u64, digest: &str) -> Result<u64, String> {
    let until = Instant::now() + THROUGH;
    while Instant::now() < until {
        if let Ok(status) = rules(setup)
            && status.ruled.last >= number
        {
            let ruled = &status.ruled;
            let past = ruled.past.iter().find(|p| p.version.number == number);
            let current = ruled.force.iter().chain(&ruled.announced).find(|v| v.number == number);
            // The leader that took the proposal may have gone before it was agreed on, and another's be there now.
            if let Some(other) = current.or(past.map(|p| &p.version)).filter(|v| v.digest != digest) {
                return Err(format!(
                    "version {number} is another document, by {}: propose again",
                    other.author
                ));
            }
            match past.map(|p| &p.fate) {
                Some(Fate::Followed) => return Ok(number),
                Some(Fate::Withdrawn(why)) => return Err(format!("version {number} was withdrawn: {why}")),
                None if ruled.force() == number => return Ok(number),
                None => {}
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("version {number} is not in force after 30 s; see `rules show`"))
}

/// Has the announced version withdrawn.
pub fn abort(setup: &Setup, number: u64) -> Result<(), String> {
    let answer = |frame: Frame| match frame {
        Frame::Aborting(done) => Some(done),
        _ => None,
    };
    let mut problems = Vec::new();
    for (name, address) in asked(setup) {
        match async_io::block_on(ask(address, &hello(setup), &Frame::Abort(number), answer)) {
            Ok(true) => return Ok(()),
            Ok(false) => {
                problems.push(format!("{name}: does not lead, or version {number} is not announced"))
            }
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    Err(problems.join("; "))
}

/// The fleet's record, joined from the files of a folder.
pub fn read_record(folder: &Path) -> Result<record::Joined, String> {
    let failed = |path: PathBuf, e: io::Error| format!("{}: {e}", path.display());
    let names = disk::lengths(folder).map_err(|e| failed(folder.to_owned(), e))?;
    let mut files = BTreeMap::new();
    for (name, _) in names {
        let Some(epoch) = record::epoch_of(&name) else { continue };
        let path = folder.join(name);
        let bytes = std::fs::read(&path).map_err(|e| failed(path, e))?;
        files.insert(epoch, bytes);
    }
    Ok(record::join(&files))
}
