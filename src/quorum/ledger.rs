//! The leader's side: who was heard of, which leases may be called expired, who gets a duty. All of it is this
//! leader's own and gone with its reign; what must outlast it is in the log.

use std::collections::{BTreeMap, BTreeSet};

use super::agree::Confirm;
use super::book::{Book, Change, Ended, Entry};
use super::council::{Council, Offer};
use super::frame::{Counts, Heartbeat, HeartbeatReply};
use super::view::{Fleet, Mate, View};
use super::{BootTime, Duty, Epoch, Name, Process, QuorumConfig, RECORD, Reign, VoterId};
use crate::api::Micros;
use crate::mutant::{self, Mutant};
use crate::rules::force::Forcing;
use crate::rules::standing::RulesUpdate;

mod ruled;

/// A proposal that has come to nothing for so long is made again.
const AGAIN: Micros = Micros(1_000_000);
/// Losses of a member that are counted, of the last that ended.
const LOSSES: usize = 16;
/// A member's weight is halved for each loss, so often at most: it waits longer, but not for good.
const MOST_HALVINGS: i32 = 6;
/// How long the holder that was asked to hand a duty on is passed over, unless nobody else wants it.
const PASSED_OVER: Micros = Micros(10_000_000);
/// Beats that must have been missed before a member gets no new duty.
const FRESH_BEATS: u64 = 3;

/// Where a beat came from, for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Via {
    /// This process itself.
    Own,
    /// A connection.
    Conn(u64),
}

#[derive(Clone, Debug)]
struct Heard {
    process: Process,
    at: BootTime,
    via: Via,
    /// Beats since it came, up to what a join needs.
    beats: u32,
    wants: Vec<(Duty, u32)>,
    draining: bool,
    offer: Option<Offer>,
    counts: Counts,
    progress: BTreeMap<Duty, (Epoch, u64, BootTime)>,
}

#[derive(Clone, Debug)]
struct Round {
    confirm: Confirm,
    begun: BootTime,
    yes: BTreeSet<VoterId>,
    beats: BTreeMap<Process, (Via, Heartbeat)>,
}

/// What the leader knows for itself.
#[derive(Clone, Debug)]
pub struct Ledger {
    setup: QuorumConfig,
    me: VoterId,
    council: u32,
    majority: usize,
    ballot: u32,
    reign: Reign,
    began: BootTime,
    heard: BTreeMap<Name, Heard>,
    /// Until when each lease may be counted on by its holder.
    until: BTreeMap<Duty, (Epoch, BootTime)>,
    /// Leases whose end was proposed: they are not renewed any more.
    closing: BTreeMap<Duty, (Epoch, Ended)>,
    /// Proposals on their way, and since when.
    proposed: BTreeMap<String, BootTime>,
    /// Duties that are to be handed on, by whom.
    asked_back: BTreeMap<Duty, Epoch>,
    passed_over: BTreeMap<Duty, (Name, BootTime)>,
    waiting: BTreeMap<Process, (Via, Heartbeat)>,
    round: Option<Round>,
    rounds: u64,
    confirmed_at: Option<BootTime>,
    /// Who acts on which version of the rules.
    forcing: Forcing,
    /// The number of a version that is on its way into the log: what this leader proposes is lost with its reign only.
    announcing: Option<u64>,
}

impl Ledger {
    /// A leader whose reign has just come into the book.
    pub fn new(
        setup: &QuorumConfig,
        council: &Council,
        me: VoterId,
        ballot: u32,
        reign: Reign,
        now: BootTime,
        book: &Book,
    ) -> Ledger {
        let mut ledger = Ledger {
            setup: setup.clone(),
            me,
            council: council.number,
            majority: council.majority(),
            ballot,
            reign,
            began: now,
            heard: BTreeMap::new(),
            until: BTreeMap::new(),
            closing: BTreeMap::new(),
            proposed: BTreeMap::new(),
            asked_back: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            waiting: BTreeMap::new(),
            round: None,
            rounds: 0,
            confirmed_at: None,
            forcing: Forcing::new(now, setup.fresh, setup.drift_of(setup.fresh)),
            announcing: None,
        };
        for (duty, lease) in &book.duties {
            let wait = lease.length + setup.drift_of(lease.length);
            let wait = if mutant::is_active(Mutant::NoWait) { Micros(0) } else { wait };
            ledger.until.insert(duty.clone(), (lease.epoch, now.after(wait)));
        }
        ledger
    }

    /// Its ballot and reign.
    pub fn reign(&self) -> (u32, Reign) {
        (self.ballot, self.reign)
    }

    /// Whether a majority has confirmed it within a span.
    pub fn confirmed_within(&self, now: BootTime, span: Micros) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) <= span)
    }

    /// A beat has come. Those that a majority must vouch for wait; what can be said at once is given back.
    pub fn beat(&mut self, now: BootTime, via: Via, beat: Heartbeat, book: &Book) -> Option<HeartbeatReply> {
        let name = &beat.process.name;
        let twin = self.heard.get(name).filter(|h| now.since(h.at) < self.setup.gone);
        if twin.is_some_and(|h| h.process.incarnation > beat.process.incarnation)
            && !mutant::is_active(Mutant::Twins)
        {
            return Some(HeartbeatReply { twin: true, ..self.told(&beat, Vec::new(), book) });
        }
        let heard = self.heard.entry(name.clone()).or_insert_with(|| Heard {
            process: beat.process.clone(),
            at: now,
            via,
            beats: 0,
            wants: Vec::new(),
            draining: false,
            offer: None,
            counts: Counts::default(),
            progress: BTreeMap::new(),
        });
        if heard.process != beat.process {
            (heard.process, heard.beats) = (beat.process.clone(), 0);
            heard.progress.clear();
        }
        (heard.at, heard.via) = (now, via);
        heard.beats = heard.beats.saturating_add(1);
        heard.wants.clone_from(&beat.wants);
        (heard.draining, heard.counts, heard.offer) = (beat.draining, beat.counts, beat.offer);
        for (duty, epoch, count) in &beat.progress {
            let known = heard.progress.get(duty);
            if known.is_none_or(|(e, c, _)| (e, c) != (epoch, count)) {
                heard.progress.insert(duty.clone(), (*epoch, *count, now));
            }
        }
        let (_, accepted, refused) = &beat.rules;
        self.forcing.heard(&beat.process, *accepted, refused.as_ref());
        for (duty, epoch) in &beat.gives {
            if book.duties.get(duty).is_some_and(|l| l.epoch == *epoch && l.holder == beat.process) {
                self.closing.insert(duty.clone(), (*epoch, Ended::Released));
            }
        }
        if mutant::is_active(Mutant::NoConfirm) {
            return Some(self.answer(now, &beat, book));
        }
        self.waiting.insert(beat.process.clone(), (via, beat));
        None
    }

    /// The question to the other voters that is due, if one is.
    pub fn ask(&mut self, now: BootTime) -> Option<Confirm> {
        let lost = self.round.as_ref().is_some_and(|r| now.since(r.begun) >= self.setup.election);
        if !lost && (self.waiting.is_empty() || self.round.is_some()) {
            return None;
        }
        // Beats of a round that was lost ask again; a later one of the same process has taken its place.
        let mut beats = self.round.take().map(|r| r.beats).unwrap_or_default();
        beats.append(&mut self.waiting);
        self.rounds += 1;
        let confirm =
            Confirm { leader: self.me, council: self.council, ballot: self.ballot, round: self.rounds };
        self.round = Some(Round { confirm, begun: now, yes: BTreeSet::from([self.me]), beats });
        Some(confirm)
    }

    /// A voter says that it follows; the answers that a majority now vouches for.
    pub fn confirmed(
        &mut self,
        now: BootTime,
        from: VoterId,
        confirm: Confirm,
        book: &Book,
    ) -> Vec<(Via, HeartbeatReply)> {
        let Some(round) = self.round.as_mut().filter(|r| r.confirm == confirm) else { return Vec::new() };
        round.yes.insert(from);
        if round.yes.len() < self.majority {
            return Vec::new();
        }
        let beats = self.round.take().map(|r| r.beats).unwrap_or_default();
        self.confirmed_at = Some(now);
        beats.into_values().map(|(via, beat)| (via, self.answer(now, &beat, book))).collect()
    }

    /// Says what a process holds, and counts from now until when it may count on it.
    fn answer(&mut self, now: BootTime, beat: &Heartbeat, book: &Book) -> HeartbeatReply {
        let mut holds = Vec::new();
        for (duty, lease) in &book.duties {
            let own = lease.holder == beat.process
                || (mutant::is_active(Mutant::Twins) && lease.holder.name == beat.process.name);
            let closing = self.closing.get(duty).is_some_and(|(epoch, _)| *epoch == lease.epoch);
            if !own || closing || self.stuck(now, duty, lease.epoch, &beat.process.name) {
                continue;
            }
            let until = now.after(lease.length + self.setup.drift_of(lease.length));
            let known = self.until.entry(duty.clone()).or_insert((lease.epoch, until));
            *known = (lease.epoch, if known.0 == lease.epoch { known.1.max(until) } else { until });
            holds.push((duty.clone(), lease.epoch, lease.length));
        }
        let back = |(duty, epoch, _): &(Duty, Epoch, Micros)| {
            (self.asked_back.get(duty) == Some(epoch)).then(|| duty.clone())
        };
        let back = holds.iter().filter_map(back).collect();
        let fleet = holds.iter().any(|(duty, _, _)| duty.0 == RECORD).then(|| self.fleet(now));
        let rules = self.word(now, beat, book);
        HeartbeatReply { back, fleet, rules, ..self.told(beat, holds, book) }
    }

    fn told(&self, beat: &Heartbeat, holds: Vec<(Duty, Epoch, Micros)>, book: &Book) -> HeartbeatReply {
        HeartbeatReply {
            process: beat.process.clone(),
            seq: beat.seq,
            reign: self.reign,
            leader: Some(self.me),
            holds,
            back: Vec::new(),
            view: (beat.version != book.version).then(|| View::of(book)),
            fleet: None,
            twin: false,
            rules: RulesUpdate::default(),
        }
    }

    /// Whether a holder is heard of, but its duty does not get on.
    fn stuck(&self, now: BootTime, duty: &Duty, epoch: Epoch, holder: &Name) -> bool {
        let progress = self.heard.get(holder).and_then(|h| h.progress.get(duty));
        progress.is_some_and(|(of, _, since)| *of == epoch && now.since(*since) >= self.setup.stuck)
    }

    /// What all members tell.
    pub fn fleet(&self, now: BootTime) -> Fleet {
        let mate = |(name, heard): (&Name, &Heard)| Mate {
            name: name.clone(),
            silent: now.since(heard.at),
            counts: heard.counts,
        };
        self.heard.iter().map(mate).collect()
    }

    /// Where a process was last heard, in this run of it.
    pub fn way_to(&self, process: &Process) -> Option<Via> {
        self.heard.get(&process.name).filter(|h| h.process == *process).map(|h| h.via)
    }

    /// How long a lease would last if nothing more were heard of its holder.
    pub fn left(&self, now: BootTime, duty: &Duty) -> Option<Micros> {
        self.until.get(duty).map(|(_, until)| until.since(now))
    }

    /// What a process that would vote offers, if it was heard of just now.
    pub fn offer(&self, now: BootTime, name: &Name) -> Option<Offer> {
        let fresh = Micros(self.setup.beat.0 * FRESH_BEATS);
        self.heard.get(name).filter(|h| now.since(h.at) <= fresh && !h.draining)?.offer
    }

    /// How long nothing was heard of a member.
    pub fn silent(&self, now: BootTime, name: &Name) -> Option<Micros> {
        self.heard.get(name).map(|heard| now.since(heard.at))
    }

    /// An operator wants a duty handed on. False if nobody holds it.
    pub fn hand_on(&mut self, now: BootTime, duty: &Duty, book: &Book) -> bool {
        let Some(lease) = book.duties.get(duty) else { return false };
        self.asked_back.insert(duty.clone(), lease.epoch);
        self.passed_over.insert(duty.clone(), (lease.holder.name.clone(), now.after(PASSED_OVER)));
        true
    }

    /// Something was agreed on: what was proposed for it is settled.
    pub fn changed(&mut self, change: &Change) {
        match change {
            Change::Granted(duty, _) => {
                self.proposed.remove(&format!("grant {duty}"));
            }
            Change::Ended(past) => {
                self.proposed.remove(&format!("end {}", past.duty));
                self.closing.remove(&past.duty);
                self.until.remove(&past.duty);
                self.asked_back.remove(&past.duty);
            }
            Change::Joined(process) | Change::Left(process) => {
                self.proposed.remove(&format!("member {}", process.name));
            }
            Change::Announced(number) | Change::Enforced(number) | Change::Withdrawn(number, _) => {
                self.proposed.remove(&format!("rules {number}"));
                self.announcing.take_if(|announcing| announcing == number);
            }
            Change::Led(..) | Change::Void => {}
        }
    }

    /// What is to be proposed now.
    pub fn decide(&mut self, now: BootTime, book: &Book) -> Vec<Entry> {
        let mut entries = Vec::new();
        self.ends(now, book, &mut entries);
        self.grants(now, book, &mut entries);
        self.members(now, book, &mut entries);
        self.rules(now, book, &mut entries);
        entries
    }

    /// Whether a proposal is due: it was not made before, or came to nothing.
    fn due(&mut self, now: BootTime, what: String) -> bool {
        let due = self.proposed.get(&what).is_none_or(|at| now.since(*at) >= AGAIN);
        if due {
            self.proposed.insert(what, now);
        }
        due
    }

    fn ends(&mut self, now: BootTime, book: &Book, entries: &mut Vec<Entry>) {
        for (duty, lease) in &book.duties {
            let full = lease.length + self.setup.drift_of(lease.length);
            let known = self.until.entry(duty.clone()).or_insert((lease.epoch, now.after(full)));
            if known.0 != lease.epoch {
                *known = (lease.epoch, now.after(full));
            }
            if now >= known.1 && !self.closing.contains_key(duty) {
                let how = if self.stuck(now, duty, lease.epoch, &lease.holder.name) {
                    Ended::Stuck
                } else {
                    Ended::Expired
                };
                self.closing.insert(duty.clone(), (lease.epoch, how));
            }
            if let Some((epoch, how)) = self.closing.get(duty).copied()
                && epoch == lease.epoch
                && self.due(now, format!("end {duty}"))
            {
                let (reign, duty) = (self.reign, duty.clone());
                entries.push(Entry::End { reign, duty, epoch, how });
            }
        }
        self.closing.retain(|duty, (epoch, _)| book.duties.get(duty).is_some_and(|l| l.epoch == *epoch));
    }

    fn grants(&mut self, now: BootTime, book: &Book, entries: &mut Vec<Entry>) {
        // Whoever leads anew hears of all members first, or the first to beat would have everything.
        if now.since(self.began) < Micros(self.setup.beat.0 * 2) {
            return;
        }
        let wanted: BTreeSet<Duty> =
            self.heard.values().flat_map(|h| h.wants.iter().map(|(duty, _)| duty.clone())).collect();
        for duty in wanted.into_iter().filter(|duty| !book.duties.contains_key(duty)) {
            if let Some(to) = self.choose(now, &duty, book)
                && self.due(now, format!("grant {duty}"))
            {
                let (reign, length) = (self.reign, self.setup.lease);
                entries.push(Entry::Grant { reign, duty, to, length });
            }
        }
    }

    /// Who gets a duty: weighted rendezvous over those that want it and were heard of just now.
    fn choose(&self, now: BootTime, duty: &Duty, book: &Book) -> Option<Process> {
        let fresh = Micros(self.setup.beat.0 * FRESH_BEATS);
        let passed = self.passed_over.get(duty).filter(|(_, until)| now < *until).map(|(name, _)| name);
        let score = |heard: &Heard, weight: u32| {
            let name = &heard.process.name;
            let lost = |past: &&super::book::Past| past.holder.name == *name && past.how != Ended::Released;
            let losses = book.past.iter().rev().take(LOSSES).filter(lost).count() as i32;
            let weight = f64::from(weight) * 0.5f64.powi(losses.min(MOST_HALVINGS));
            rendezvous(duty, name, weight)
        };
        let able = self.heard.values().filter(|h| !h.draining && now.since(h.at) <= fresh);
        let wanting = able.filter_map(|h| {
            let (_, weight) = h.wants.iter().find(|(wanted, _)| wanted == duty)?;
            Some((passed != Some(&h.process.name), score(h, *weight), h))
        });
        let best = wanting.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, heard)| heard.process.clone())
    }

    fn members(&mut self, now: BootTime, book: &Book, entries: &mut Vec<Entry>) {
        let reign = self.reign;
        let there: Vec<Process> = self
            .heard
            .values()
            .filter(|h| h.beats >= 2 && now.since(h.at) < self.setup.gone)
            .map(|h| h.process.clone())
            .collect();
        for process in there {
            if !book.there(&process) && self.due(now, format!("member {}", process.name)) {
                entries.push(Entry::Join { reign, process });
            }
        }
        for (name, (process, _)) in &book.members {
            let heard = self.heard.get(name).map_or(self.began, |h| h.at);
            if now.since(heard) >= self.setup.gone && self.due(now, format!("member {name}")) {
                entries.push(Entry::Leave { reign, process: process.clone() });
            }
        }
        let gone = Micros(self.setup.gone.0 * 2);
        self.heard.retain(|_, h| now.since(h.at) < gone);
    }

    /// When something may be due next, if nothing comes in before.
    pub fn next(&self, book: &Book) -> Option<BootTime> {
        let open = |duty: &&Duty| !self.closing.contains_key(*duty);
        let ends = self.until.iter().filter(|(duty, _)| open(duty)).map(|(_, (_, until))| *until).min();
        let round = self.round.as_ref().map(|r| r.begun.after(self.setup.election));
        ends.into_iter().chain(round).chain(self.forcing.next(&book.rules)).min()
    }
}

/// The score of a member for a duty: the highest of all gets it. Each weighs as much as it says, and nobody's
/// coming or going moves a duty between two others.
fn rendezvous(duty: &Duty, name: &Name, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(duty.0.as_bytes()).update(&[0]).update(name.0.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    // Strictly between 0 and 1, so that its logarithm is finite and below 0.
    let part = ((u64::from_le_bytes(first) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / part.ln()
}

#[cfg(test)]
mod tests;
