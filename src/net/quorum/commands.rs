//! Commands to the processes of a quorum. Each command opens its own connection and reads until it is answered.

use std::collections::BTreeMap;
use std::io::{self, Read as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::AsyncWriteExt as _;

use super::super::clock::unix_now;
use super::super::reading::{READ_BUFFER_BYTES, with_timeout};
use crate::disk;
use crate::quorum::council::ReplaceError;
use crate::quorum::frame::{self, Frame, Hello, Reader};
use crate::quorum::record;
use crate::quorum::view::{RulesStatus, Status};
use crate::quorum::{Duty, Name, QuorumConfig, Voter};
use crate::rules::version::{Fate, Proposal, ProposeError, Version};

/// The time that a command waits for an answer of one process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a frame to one process and reads frames until `answer` accepts one.
async fn ask<T>(
    address: SocketAddr,
    hello: &Hello,
    frame: &Frame,
    answer: impl Fn(Frame) -> Option<T>,
) -> io::Result<T> {
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        let mut bytes = frame::preface();
        for frame in [&Frame::Hello(hello.clone()), frame] {
            bytes.extend(frame::encode(frame).unwrap_or_default());
        }
        stream.write_all(&bytes).await?;
        let (mut reader, mut buffer) = (Reader::default(), vec![0; READ_BUFFER_BYTES]);
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
    with_timeout(ANSWER_TIMEOUT, exchange).await
}

/// Returns the greeting of a command, which is no process of the quorum.
fn hello(config: &QuorumConfig) -> Hello {
    Hello {
        cluster: config.cluster.clone(),
        process: None,
        voters: config.voter_names(),
        council: 0,
        papers: None,
    }
}

/// Returns the processes that keep a log, in the order in which a command asks them: this one first, if it keeps one.
fn processes_to_ask(config: &QuorumConfig) -> Vec<(String, SocketAddr)> {
    let is_own = |v: &&Voter| v.name == config.name;
    let address = |v: &Voter| {
        (v.name.0.clone(), if v.name == config.name { config.listen.unwrap_or(v.address) } else { v.address })
    };
    let all = || config.voters.iter().chain(&config.spares);
    all().filter(is_own).chain(all().filter(|v| !is_own(v))).map(address).collect()
}

/// The answer of one process: the leader's answer, or why the process can't answer as the leader.
type LeaderAnswer<T> = Result<T, String>;

/// Asks one process after another until one answers as the leader. Returns its name and the answer, or an error with
/// the reason of each process.
fn ask_leader<T>(
    config: &QuorumConfig,
    frame: &Frame,
    answer: impl Fn(Frame) -> Option<LeaderAnswer<T>>,
) -> Result<(String, T), String> {
    let mut problems = Vec::new();
    for (name, address) in processes_to_ask(config) {
        match async_io::block_on(ask(address, &hello(config), frame, &answer)) {
            Ok(Ok(done)) => return Ok((name, done)),
            Ok(Err(why)) => problems.push(format!("{name}: {why}")),
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    Err(problems.join("; "))
}

/// Asks one process after another until one gives an answer that a majority has confirmed. If none does, returns the
/// newest answer.
fn ask_best<T>(
    config: &QuorumConfig,
    frame: &Frame,
    answer: impl Fn(Frame) -> Option<T>,
    is_confirmed: impl Fn(&T) -> bool,
    is_newer: impl Fn(&T, &T) -> bool,
) -> Result<T, String> {
    let (mut found, mut problems) = (None::<T>, Vec::new());
    for (name, address) in processes_to_ask(config) {
        match async_io::block_on(ask(address, &hello(config), frame, &answer)) {
            Ok(status) if is_confirmed(&status) => return Ok(status),
            Ok(status) => {
                found = match found {
                    Some(known) if !is_newer(&status, &known) => Some(known),
                    _ => Some(status),
                };
            }
            Err(error) => problems.push(format!("{name} ({address}): {error}")),
        }
    }
    found.ok_or_else(|| format!("no voter answered: {}", problems.join("; ")))
}

/// Returns the status of the quorum: a confirmed one if a process gives it, else the newest one.
pub fn show(config: &QuorumConfig) -> Result<Status, String> {
    let answer = |frame: Frame| match frame {
        Frame::Status(status) => Some(*status),
        _ => None,
    };
    let is_newer = |new: &Status, known: &Status| {
        known.barred.is_some() || (new.council, new.version) > (known.council, known.version)
    };
    ask_best(config, &Frame::Show, answer, |status| status.confirmed, is_newer)
}

/// Asks the leader to hand a duty on to another process.
pub fn hand_on(config: &QuorumConfig, duty: &str) -> Result<(), String> {
    let refusal = || format!("does not lead the quorum, or no process holds {duty}");
    let answer = |frame: Frame| match frame {
        Frame::HandingOn(done, _) => Some(if done { Ok(()) } else { Err(refusal()) }),
        _ => None,
    };
    ask_leader(config, &Frame::HandOn(Duty(duty.to_owned())), answer).map(|_| ())
}

/// The time that a command waits for a change of voters or rules to take effect.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Asks the leader to replace a voter by a process that offers itself, and waits until the new voters have a leader.
pub fn replace(config: &QuorumConfig, gone: &str, new: &str) -> Result<Status, String> {
    let frame = Frame::Replace(Name(gone.to_owned()), Name(new.to_owned()));
    // Only a process that does not lead is passed over: any other refusal is the leader's and final.
    let answer = |frame: Frame| match frame {
        Frame::Replacing(Err(why @ ReplaceError::NotLeading)) => Some(Err(why.to_string())),
        Frame::Replacing(done) => Some(Ok(done)),
        _ => None,
    };
    let (name, done) = ask_leader(config, &frame, answer)?;
    let number = done.map_err(|why| format!("{name}: {why}"))?;
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(status) = show(config)
            && status.council >= number
            && status.confirmed
        {
            return Ok(status);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{name}: council {number} was proposed, but has no leader after 30 s; see `quorum show`"))
}

/// Returns the status of the rules: a confirmed one if a process gives it, else the newest one.
pub fn rules(config: &QuorumConfig) -> Result<RulesStatus, String> {
    let answer = |frame: Frame| match frame {
        Frame::RulesAre(status) => Some(*status),
        _ => None,
    };
    let is_newer = |new: &RulesStatus, known: &RulesStatus| new.ruled.last > known.ruled.last;
    ask_best(config, &Frame::Rules, answer, |status| status.confirmed, is_newer)
}

/// Proposes a document of rules, and waits until it is in force if `wait` is set. Returns its version number.
pub fn propose(config: &QuorumConfig, proposal: &Proposal, wait: bool) -> Result<u64, String> {
    let at_ms = unix_now().0 / 1_000;
    let frame = Frame::Propose(Box::new(Proposal { at_ms, ..proposal.clone() }));
    let answer = |frame: Frame| match frame {
        Frame::Proposed(Err(why @ ProposeError::NotLeading)) => Some(Err(why.to_string())),
        Frame::Proposed(done) => Some(Ok(done)),
        _ => None,
    };
    let (_, done) = ask_leader(config, &frame, answer)?;
    let number = done.map_err(|why| why.to_string())?;
    if wait { wait_until_in_force(config, number, &Version::digest_of(&proposal.text)) } else { Ok(number) }
}

/// Waits until a proposed version is in force. Returns its number.
fn wait_until_in_force(config: &QuorumConfig, number: u64, digest: &str) -> Result<u64, String> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(status) = rules(config)
            && status.ruled.last >= number
        {
            let ruled = &status.ruled;
            let past = ruled.past.iter().find(|p| p.version.number == number);
            let current = ruled.force.iter().chain(&ruled.announced).find(|v| v.number == number);
            // The leader that took the proposal may have failed before it was agreed on, and another document may have
            // its number now.
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

/// Asks the leader to withdraw the announced version.
pub fn abort(config: &QuorumConfig, number: u64) -> Result<(), String> {
    let refusal = || format!("does not lead the quorum, or version {number} is not announced");
    let answer = |frame: Frame| match frame {
        Frame::Aborting(done) => Some(if done { Ok(()) } else { Err(refusal()) }),
        _ => None,
    };
    ask_leader(config, &Frame::Abort(number), answer).map(|_| ())
}

/// Returns the fleet's record, joined from the files of a folder.
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
