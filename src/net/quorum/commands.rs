//! Commands that ask the processes of a quorum: each opens a connection of its own and reads until it is answered.

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

/// How long a command waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks one process and reads frames until one is an answer.
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

fn hello(config: &QuorumConfig) -> Hello {
    Hello {
        cluster: config.cluster.clone(),
        process: None,
        voters: config.voter_names(),
        council: 0,
        papers: None,
    }
}

/// Processes that keep a log, in the order in which a command asks them: this one first, if it does.
fn processes_to_ask(config: &QuorumConfig) -> Vec<(String, SocketAddr)> {
    let is_own = |v: &&Voter| v.name == config.name;
    let address = |v: &Voter| {
        (v.name.0.clone(), if v.name == config.name { config.listen.unwrap_or(v.address) } else { v.address })
    };
    let all = || config.voters.iter().chain(&config.spares);
    all().filter(is_own).chain(all().filter(|v| !is_own(v))).map(address).collect()
}

/// What one process answered: the leader's word, or why it is not that.
type LeaderAnswer<T> = Result<T, String>;

/// Asks one process after another until one answers as the leader does: its name and the answer; else what each said.
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

/// Asks one process after another how things stand, until one answers that a majority vouches for; else the best of
/// what was answered.
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
    found.ok_or_else(|| format!("no voter answers: {}", problems.join("; ")))
}

/// How things stand, told by the leader where one is known, else by the first voter that answers.
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

/// Asks the leader to have a duty handed on.
pub fn hand_on(config: &QuorumConfig, duty: &str) -> Result<(), String> {
    let refusal = || format!("does not lead, or nobody holds {duty}");
    let answer = |frame: Frame| match frame {
        Frame::HandingOn(done, _) => Some(if done { Ok(()) } else { Err(refusal()) }),
        _ => None,
    };
    ask_leader(config, &Frame::HandOn(Duty(duty.to_owned())), answer).map(|_| ())
}

/// How long a command waits for a change of voters to be through.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Has a voter replaced by a process that offers itself, and waits until the new voters have a leader.
pub fn replace(config: &QuorumConfig, gone: &str, new: &str) -> Result<Status, String> {
    let frame = Frame::Replace(Name(gone.to_owned()), Name(new.to_owned()));
    // Whatever else the leader says, whoever else is asked does not know better.
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
    Err(format!("{name}: council {number} was proposed, but nobody led it within 30 s; see `quorum show`"))
}

/// The rules, told by the leader where one is known, else by the first that answers.
pub fn rules(config: &QuorumConfig) -> Result<RulesStatus, String> {
    let answer = |frame: Frame| match frame {
        Frame::RulesAre(status) => Some(*status),
        _ => None,
    };
    let is_newer = |new: &RulesStatus, known: &RulesStatus| new.ruled.last > known.ruled.last;
    ask_best(config, &Frame::Rules, answer, |status| status.confirmed, is_newer)
}

/// Proposes a document of rules; with `wait` until it is in force. Gives its number.
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

fn wait_until_in_force(config: &QuorumConfig, number: u64, digest: &str) -> Result<u64, String> {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(status) = rules(config)
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
pub fn abort(config: &QuorumConfig, number: u64) -> Result<(), String> {
    let refusal = || format!("does not lead, or version {number} is not announced");
    let answer = |frame: Frame| match frame {
        Frame::Aborting(done) => Some(if done { Ok(()) } else { Err(refusal()) }),
        _ => None,
    };
    ask_leader(config, &Frame::Abort(number), answer).map(|_| ())
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
