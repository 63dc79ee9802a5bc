//! The list of servers, kept as numbered generations. Updates from all sources pass through the roster: it decides
//! which source takes precedence, whether a candidate list is newer and plausible, and which servers stay. It gives
//! the node exactly one [`ListUpdate`] for each generation. It does no I/O and reads no clock.
//!
//! The servers are stored in a persistent map: a generation shares all unchanged entries with the one before it, so a
//! snapshot for the disk costs almost nothing, and readers never see a mixture of two generations.

mod listed;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use imbl::OrdMap;

pub use listed::{ListUpdate, ListedServer, Paths, SettingNames};

use crate::api::{ListKind, Micros, ServerId, ServerState};

/// The minimum time for which a server that a watched list dropped is kept as draining. Answers to set-ups that were
/// sent before may still arrive, but are not expected after this time (see [`crate::broker::late`]).
const LEAVING_RETENTION: Micros = Micros(30_000_000);

/// A source of the server list, in ascending order of precedence. From its first update on, a source overrides all
/// lower ones, even while it is unreachable: the list never falls back to a source that knows less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The `[[server]]` entries of the operator's file.
    Fixed,
    /// Watched files, or the saved copy of them.
    Watched,
    /// A service registry.
    Registry,
    /// The notice board.
    Board,
}

impl Source {
    /// Returns the name used in the log.
    pub fn name(self) -> &'static str {
        match self {
            Source::Fixed => "fixed",
            Source::Watched => "watched",
            Source::Registry => "registry",
            Source::Board => "board",
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A digest that identifies the content of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the first hexadecimal digits, for the log.
    pub fn short(&self) -> String {
        self.0[..6].iter().map(|b| format!("{b:02x}")).collect()
    }
}

/// A complete, valid list from watched files.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The digest of the file content.
    pub digest: Digest,
    /// The revision number in the file, if any.
    pub revision: Option<u64>,
    /// The servers. `up_since` is `None` where the file does not give it: see [`Roster::offer`].
    pub servers: Vec<ListedServer>,
}

/// The limit for the share of servers that a new list may drop at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkLimit {
    /// A list that drops more than this fraction of the servers is held back.
    pub max_dropped_fraction: f64,
    /// How long such a list must stay unchanged before it is accepted.
    pub hold: Micros,
}

/// An accepted list.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The generation number, from 1; 0 means that there is no list yet.
    pub number: u64,
    /// The source of the list.
    pub source: Option<Source>,
    /// The digest of the content, if it came from files.
    pub digest: Option<Digest>,
    /// The revision number in the file, if any.
    pub revision: Option<u64>,
    /// The servers, including dropped ones that still drain.
    pub servers: OrdMap<ServerId, ListedServer>,
}

/// The changes that a generation made.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerationChange {
    /// The generation number.
    pub generation: u64,
    /// The source of the list.
    pub source: Source,
    /// The number of servers in the list, without dropped ones that still drain.
    pub servers: usize,
    /// The number of new servers, including known ids at a new address.
    pub added: usize,
    /// The number of servers with other changes.
    pub changed: usize,
    /// The number of servers that are gone or were dropped.
    pub removed: usize,
    /// The digest of the content, if it came from files.
    pub digest: Option<Digest>,
    /// The update for the node.
    pub update: ListUpdate,
}

/// The outcome of an offered list or an update.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// It was accepted and is the list now.
    Taken(GenerationChange),
    /// It changes nothing.
    Same,
    /// It is held back, as it drops too many servers at once.
    Held {
        /// The time at which it is accepted if it is still unchanged.
        until: Micros,
        /// The number of servers that it drops.
        dropped: usize,
        /// The number of servers in the current list, without dropped ones that still drain.
        total: usize,
        /// Whether this is the first report of this list being held back.
        is_first_report: bool,
    },
    /// A list with a higher revision number is in use.
    Older {
        /// The revision number of the rejected list.
        revision: u64,
        /// The revision number in use.
        in_use: u64,
    },
    /// A source with higher precedence determines the list.
    Shadowed(Source),
}

#[derive(Clone, Debug)]
struct Held {
    candidate: Candidate,
    since: Micros,
}

/// The holder of the server list.
#[derive(Clone, Debug)]
pub struct Roster {
    current: Generation,
    shrink_limit: ShrinkLimit,
    held: Option<Held>,
    /// Dropped servers that may still have sessions, with the time from which their retention counts.
    leaving: BTreeMap<ServerId, Micros>,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new(shrink_limit: ShrinkLimit) -> Roster {
        let (source, digest, revision) = (None, None, None);
        let current = Generation { number: 0, source, digest, revision, servers: OrdMap::new() };
        Roster { current, shrink_limit, held: None, leaving: BTreeMap::new() }
    }

    /// The list in use. A clone shares its entries.
    pub fn current(&self) -> &Generation {
        &self.current
    }

    /// The number of dropped servers that are kept until their sessions have ended.
    pub fn leaving(&self) -> usize {
        self.leaving.len()
    }

    /// The next time at which a held list is due or dropped servers have to be checked.
    pub fn next_due(&self) -> Option<Micros> {
        let held = self.held.as_ref().map(|h| h.since + self.shrink_limit.hold);
        let leaving = self.leaving.values().min().map(|since| *since + LEAVING_RETENTION);
        held.into_iter().chain(leaving).min()
    }

    /// Returns the source that determines the list if it has precedence over `source`.
    fn outranking_source(&self, source: Source) -> Option<Source> {
        self.current.source.filter(|owner| *owner > source)
    }

    /// Applies an update from a source with its own list: the notice board, the registry or the operator's file.
    ///
    /// The entries are accepted as they are, as the source has already left out unusable ones. A server that is
    /// absent from a complete list of these sources is gone.
    pub fn apply_update(&mut self, now: Micros, source: Source, update: ListUpdate) -> OfferOutcome {
        if let Some(owner) = self.outranking_source(source) {
            return OfferOutcome::Shadowed(owner);
        }
        let takes_over = self.current.source.is_some_and(|owner| owner < source);
        let is_complete = update.kind == ListKind::Complete;
        let mut lines = update.servers;
        // A server that the update names is not dropped, whatever its state.
        if !self.leaving.is_empty() {
            for line in &lines {
                self.leaving.remove(&line.entry.id);
            }
        }
        if is_complete {
            let named: BTreeSet<&ServerId> = lines.iter().map(|l| &l.entry.id).collect();
            let absent = self.current.servers.iter().filter(|(id, _)| !named.contains(id));
            let absent: Vec<ListedServer> = absent.map(|(_, line)| line.clone()).collect();
            for mut line in absent {
                // A server listed by another source may still have sessions, and its absence from this list does not
                // mean that it is gone: it drains.
                let state = if takes_over { ServerState::Draining } else { ServerState::Gone };
                if takes_over {
                    self.leaving.entry(line.entry.id.clone()).or_insert(now);
                }
                line.entry.state = state;
                lines.push(line);
            }
        }
        let is_first = self.current.number == 0 && is_complete;
        self.commit(now, source, lines, is_first)
    }

    /// Applies entries as one generation.
    fn commit(
        &mut self,
        now: Micros,
        source: Source,
        lines: Vec<ListedServer>,
        is_first: bool,
    ) -> OfferOutcome {
        let mut servers = self.current.servers.clone();
        let (mut added, mut changed, mut removed) = (0, 0, 0);
        let mut updated = Vec::new();
        for mut line in lines {
            let id = line.entry.id.clone();
            let before = servers.get(&id);
            if line.entry.state == ServerState::Gone {
                self.leaving.remove(&id);
                if servers.remove(&id).is_some() {
                    removed += 1;
                    updated.push(line);
                }
                continue;
            }
            if let Some(before) = before {
                if before.address != line.address && line.entry.up_since <= before.entry.up_since {
                    // Another machine under the same id: nothing known about the old one applies to it.
                    line.entry.up_since = Some(now);
                }
                if *before == line {
                    continue;
                }
                if before.address != line.address {
                    added += 1;
                } else if self.leaving.contains_key(&id) && line.entry.state == ServerState::Draining {
                    removed += 1;
                } else {
                    changed += 1;
                }
            } else {
                added += 1;
            }
            servers.insert(id, line.clone());
            updated.push(line);
        }
        let owner = self.current.source;
        if updated.is_empty() && !is_first {
            // Nothing has changed, but this source determines the list from now on.
            self.current.source = owner.max(Some(source));
            return OfferOutcome::Same;
        }
        self.current.servers = servers;
        self.current.number += 1;
        self.current.source = Some(source);
        if source != Source::Watched {
            (self.current.digest, self.current.revision, self.held) = (None, None, None);
        }
        let kind = if is_first { ListKind::Complete } else { ListKind::Changes };
        OfferOutcome::Taken(GenerationChange {
            generation: self.current.number,
            source,
            servers: self.current.servers.len() - self.leaving.len(),
            added,
            changed,
            removed,
            digest: self.current.digest,
            update: ListUpdate { kind, servers: updated },
        })
    }

    /// Offers a complete list from watched files.
    ///
    /// A server that first appears in a later list without a start time counts as started now: it may be cold, and a
    /// cold server must not be overloaded. A server that the list drops drains: its sessions continue, and it is gone
    /// once they have ended. A server that returns at another address is a new one, and so is a server at an address
    /// that belonged to another, which is then gone.
    pub fn offer(&mut self, now: Micros, mut candidate: Candidate) -> OfferOutcome {
        if let Some(owner) = self.outranking_source(Source::Watched) {
            self.held = None;
            return OfferOutcome::Shadowed(owner);
        }
        let is_watched = self.current.source == Some(Source::Watched);
        if is_watched && self.current.digest == Some(candidate.digest) {
            self.held = None;
            return OfferOutcome::Same;
        }
        if let (true, Some(revision), Some(in_use)) = (is_watched, candidate.revision, self.current.revision)
            && revision < in_use
        {
            self.held = None;
            return OfferOutcome::Older { revision, in_use };
        }
        // Sorted like the map, so that both can be traversed in step without a look-up per entry.
        candidate.servers.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        let total = self.current.servers.len() - self.leaving.len();
        let absent = absent(&self.current.servers, &candidate.servers);
        let dropped = absent.iter().filter(|l| !self.leaving.contains_key(&l.entry.id)).count();
        if dropped as f64 > self.shrink_limit.max_dropped_fraction * total as f64 {
            let held = self.held.as_ref().filter(|h| h.candidate.digest == candidate.digest);
            let (since, is_first_report) = held.map_or((now, true), |h| (h.since, false));
            let until = since + self.shrink_limit.hold;
            if now < until {
                self.held = Some(Held { candidate, since });
                return OfferOutcome::Held { until, dropped, total, is_first_report };
            }
        }
        self.accept(now, candidate)
    }

    /// Discards the held list, as the content read last is not usable and the held list no longer matches the files.
    pub fn discard_held(&mut self) {
        self.held = None;
    }

    /// Accepts the held list if it is due.
    pub fn tick(&mut self, now: Micros) -> Option<OfferOutcome> {
        let is_due = self.held.as_ref().is_some_and(|h| now >= h.since + self.shrink_limit.hold);
        let held = if is_due { self.held.take() } else { None };
        held.map(|held| self.accept(now, held.candidate))
    }

    /// Removes the dropped servers whose retention has passed and that have no sessions, and returns them as gone.
    pub fn remove_departed(&mut self, now: Micros, busy: impl Fn(&ServerId) -> bool) -> Option<ListUpdate> {
        let over: Vec<ServerId> = self
            .leaving
            .iter()
            .filter(|(id, since)| now >= **since + LEAVING_RETENTION && !busy(id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut servers = Vec::new();
        for id in over {
            self.leaving.remove(&id);
            if let Some(mut line) = self.current.servers.remove(&id) {
                line.entry.state = ServerState::Gone;
                servers.push(line);
            }
        }
        // Servers that still have sessions are checked again after another retention period.
        for since in self.leaving.values_mut().filter(|since| now >= **since + LEAVING_RETENTION) {
            *since = now;
        }
        if servers.is_empty() { None } else { Some(ListUpdate { kind: ListKind::Changes, servers }) }
    }

    /// Accepts a candidate whose entries are sorted by id.
    fn accept(&mut self, now: Micros, candidate: Candidate) -> OfferOutcome {
        self.held = None;
        let is_first = self.current.number == 0;
        let absent: Vec<ListedServer> =
            absent(&self.current.servers, &candidate.servers).into_iter().cloned().collect();
        let mut lines = Vec::new();
        if !absent.is_empty() {
            let running = candidate.servers.iter().filter(|l| l.entry.state != ServerState::Gone);
            let addresses: BTreeSet<SocketAddr> = running.map(|l| l.address).collect();
            for mut line in absent {
                // Its address now belongs to another server, so it cannot be running any more.
                let is_displaced = addresses.contains(&line.address);
                line.entry.state = if is_displaced { ServerState::Gone } else { ServerState::Draining };
                if !is_displaced {
                    self.leaving.entry(line.entry.id.clone()).or_insert(now);
                }
                lines.push(line);
            }
        }
        let mut old = self.current.servers.iter().peekable();
        for mut line in candidate.servers {
            while old.next_if(|(id, _)| **id < line.entry.id).is_some() {}
            let before = old.next_if(|(id, _)| **id == line.entry.id).map(|(_, before)| before);
            line.entry.up_since = match (line.entry.up_since, before) {
                (Some(Micros(0)), _) => None,
                (Some(told), _) => Some(told),
                (None, Some(before)) if before.address == line.address => before.entry.up_since,
                (None, _) if is_first => None,
                (None, _) => Some(now),
            };
            // A server that the list names is not dropped, whatever its state.
            if !self.leaving.is_empty() {
                self.leaving.remove(&line.entry.id);
            }
            if before != Some(&line) {
                lines.push(line);
            }
        }
        // Removals come first, as an address may pass from one server to another.
        lines.sort_by_key(|l| l.entry.state != ServerState::Gone);
        (self.current.digest, self.current.revision) = (Some(candidate.digest), candidate.revision);
        self.commit(now, Source::Watched, lines, is_first)
    }

    /// Restores a saved list: the generation number continues, and servers keep their start times.
    pub fn restore(
        &mut self,
        now: Micros,
        number: u64,
        mut candidate: Candidate,
        started: &BTreeMap<String, Micros>,
    ) -> OfferOutcome {
        for line in &mut candidate.servers {
            if line.entry.up_since.is_none() {
                line.entry.up_since = started.get(&*line.entry.id.0).copied();
            }
        }
        self.current.number = number.saturating_sub(1);
        let outcome = self.accept_first(now, candidate);
        self.current.number = self.current.number.max(number);
        outcome
    }

    fn accept_first(&mut self, now: Micros, candidate: Candidate) -> OfferOutcome {
        (self.current.digest, self.current.revision) = (Some(candidate.digest), candidate.revision);
        let lines = candidate.servers.into_iter().map(|mut line| {
            line.entry.up_since = line.entry.up_since.filter(|at| *at > Micros(0));
            line
        });
        let lines = lines.collect();
        self.commit(now, Source::Watched, lines, true)
    }
}

/// Returns the servers of a list that `named`, sorted by id, does not contain.
fn absent<'a>(list: &'a OrdMap<ServerId, ListedServer>, named: &[ListedServer]) -> Vec<&'a ListedServer> {
    let mut named = named.iter().map(|l| &l.entry.id).peekable();
    let mut is_absent = |id: &ServerId| {
        while named.next_if(|other| *other < id).is_some() {}
        named.next_if(|other| *other == id).is_none()
    };
    list.iter().filter(|(id, _)| is_absent(id)).map(|(_, line)| line).collect()
}

#[cfg(test)]
mod tests;
