//! One process's part in a quorum: a member, and a voter where the file says so. Fed inputs with the time, gives
//! outputs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::agree::{Agree, Broken, Confirm, Effect};
use super::book::Change;
use super::council::{Council, NOBODY, Tenure};
use super::founding::{Barred, Founding, Papers, Step};
use super::frame::{Counts, Frame, FrameError, Heartbeat, HeartbeatReply, Hello, Refused};
use super::fronts::{Crowd, FleetPosition};
use super::holder::{Holder, News};
use super::journal::{self, Identity, Read};
use super::ledger::{Ledger, Via};
use super::record::{self, Done, Job, Writer};
use super::store::Store;
use super::view::{DutyStatus, Fleet, MemberStatus, Status, View, VoterStatus};
use super::{BootTime, Duty, Epoch, IDLE, Incarnation, Name, Process, QuorumConfig, RECORD, VoterId};
use crate::api::Micros;
use crate::mutant::{self, Mutant};
use crate::rules::standing::{LocalRules, RulesFreshness};

mod ruled;
mod succession;

/// A journal that is longer than this, and than four times what it began with, is written anew.
const LONG: usize = 1024 * 1024;
/// Processes whose beats a voter passes on: their answers find the way back.
const MOST_PASSED: usize = 4096;

/// What happens to a process of a quorum.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A link to a voter has come up.
    Up(VoterId),
    /// It has gone down.
    Down(VoterId),
    /// A frame came on a link to a voter.
    Answer(VoterId, Frame),
    /// A connection was accepted.
    Accepted(u64),
    /// A frame came on it.
    Called(u64, Frame),
    /// What came on it is no frame.
    FrameError(u64, FrameError),
    /// It has ended.
    Hung(u64),
    /// The journal is on disk up to this frame.
    Written(u64),
    /// The journal can't be written.
    DiskFailed(String),
    /// A line of the record has come to its end.
    Recorded(Epoch, Done),
    /// The process is about to stop: it gives everything back.
    Drain,
    /// What the broker counts.
    Counts(Counts),
}

/// What a process of a quorum does.
#[derive(Debug)]
pub enum Out {
    /// A frame leaves on the link to a voter, if it is up.
    Send(VoterId, Frame),
    /// A frame leaves on a connection that was accepted.
    Reply(u64, Frame),
    /// A connection that was accepted ends.
    Close(u64, &'static str),
    /// A voter is to be dialled at an address, from now on.
    Dial(VoterId, SocketAddr),
    /// A voter is no longer to be dialled.
    Leave(VoterId),
    /// The link to a voter is to be dialled anew.
    Redial(VoterId, &'static str),
    /// Bytes are added to the journal, and it is synced; then [`Input::Written`].
    Write(u64, Vec<u8>),
    /// The journal is replaced by these bytes; then [`Input::Written`].
    Rewrite(u64, Vec<u8>),
    /// A line of the record is to be written.
    Record(Job),
    /// The module is told how many fronts there are.
    FleetPosition(FleetPosition),
    /// What this process acts on, from now on.
    Rules(LocalRules),
    /// Something to tell in the log.
    Tell(Event),
}

/// What the log tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The voters' identities are settled.
    Founded,
    /// This voter votes.
    Votes,
    /// A council votes from now on, by its number and names.
    Council(u32, Vec<Name>),
    /// This voter may not vote.
    Barred(Barred),
    /// A voter leads, in a reign.
    Leads(Name, u64),
    /// This process holds a duty from now on.
    Took(Duty, Epoch),
    /// It no longer does, and why.
    Lost(Duty, Epoch, &'static str),
    /// It acts for the duty without effects: the look at the clock that allowed it.
    Acts(Duty, Epoch, BootTime),
    /// The agreed log: a duty was granted or ended.
    Changed(u64, Change),
    /// A connection was refused, by whom and why.
    Refused(String, Refused),
    /// How sure this process is of its rules.
    Sure(RulesFreshness),
    /// A line of the record was not written.
    Unrecorded(Epoch, Done),
}

/// Another process on a connection that was accepted.
#[derive(Clone, Debug)]
struct Caller {
    process: Option<Process>,
    /// It is this voter, by papers that the roster bears out.
    voter: Option<VoterId>,
    papers: Option<Papers>,
}

struct Seat {
    me: VoterId,
    identity: Identity,
    founding: Founding,
    agree: Option<Agree>,
    store: Store,
    ledger: Option<Ledger>,
    /// The ballot for which this voter's reign was proposed.
    proposed: Option<u32>,
    /// The last frame that was handed to the journal, its bytes since it was written anew and at that moment.
    number: u64,
    on_disk: u64,
    length: usize,
    base: usize,
    /// How far the others' journals are known to reach.
    heard: BTreeMap<VoterId, u64>,
    heard_kept: BTreeMap<VoterId, u64>,
    look_at: BootTime,
    /// Where beats that were passed on came from.
    passed: BTreeMap<Process, Via>,
    /// What waits for the disk before this voter may vote: a roster, or the council that was written last.
    settling: Option<(u64, Option<journal::Roster>)>,
    /// The last council that was agreed on, unless that is the first.
    tenure: Option<Tenure>,
    /// What the others were told last of how far this journal reaches.
    told_written: u64,
}

/// One process's part in a quorum.
pub struct Machine {
    setup: QuorumConfig,
    process: Process,
    council: Council,
    seat: Option<Seat>,
    barred: Option<Barred>,
    holder: Holder,
    callers: BTreeMap<u64, Caller>,
    up: BTreeMap<VoterId, bool>,
    target: VoterId,
    seq: u64,
    answered: u64,
    asked_since: BootTime,
    beat_at: BootTime,
    view: View,
    crowd: Option<Crowd>,
    standing: LocalRules,
    /// How sure it was when that was told last.
    sure: RulesFreshness,
    fleet: Fleet,
    leader: Option<VoterId>,
    counts: Counts,
    draining: bool,
    twin: bool,
    writer: Writer,
    idle_at: BootTime,
    idle_acts: u64,
}

impl Machine {
    /// A process in a run of its own; a voter brings what its journal held, or why it can't be used.
    pub fn new(
        setup: &QuorumConfig,
        incarnation: Incarnation,
        journal: Option<Result<Option<Read>, Barred>>,
        now: BootTime,
        out: &mut Vec<Out>,
    ) -> Machine {
        let process = Process { name: setup.name.clone(), incarnation };
        let council = Council::first(setup);
        let first = incarnation.0 as usize % council.voters.len().max(1);
        let mut machine = Machine {
            setup: setup.clone(),
            process,
            target: council.voters.get(first).map_or(NOBODY, |v| v.id),
            council,
            seat: None,
            barred: None,
            holder: Holder::default(),
            callers: BTreeMap::new(),
            up: BTreeMap::new(),
            seq: 0,
            answered: 0,
            asked_since: now,
            beat_at: now,
            view: View::default(),
            standing: LocalRules::default(),
            sure: RulesFreshness::None,
            crowd: setup.fronts.map(|settle| Crowd::new(setup.name.clone(), settle)),
            fleet: Fleet::new(),
            leader: None,
            counts: Counts::default(),
            draining: false,
            twin: false,
            writer: Writer::default(),
            idle_at: now,
            idle_acts: 0,
        };
        match journal {
            Some(Ok(read)) => machine.sit(read, now, out),
            Some(Err(why)) => machine.bar(why, out),
            None => {}
        }
        machine.dial(&[], out);
        machine
    }

    /// Takes this voter's seat, or a spare's, with what its journal held.
    fn sit(&mut self, read: Option<Read>, now: BootTime, out: &mut Vec<Out>) {
        let fresh = read.is_none();
        let read = read.unwrap_or_else(|| Read {
            identity: Identity {
                cluster: self.setup.cluster.clone(),
                name: self.setup.name.clone(),
                // The run that made the folder is as good a number as any: it is not drawn twice.
                number: self.process.incarnation.0,
            },
            roster: None,
            tenure: None,
            state: Default::default(),
            heard: BTreeMap::new(),
            number: 0,
            good: 0,
        });
        let known = (&read.identity.cluster, &read.identity.name);
        if known != (&self.setup.cluster, &self.setup.name) {
            let other = journal::Unusable::Other(read.identity.clone());
            return self.bar(Barred::Folder(other.to_string()), out);
        }
        let me = match &read.tenure {
            Some(tenure) => {
                self.council = tenure.council.clone();
                tenure.seat(&self.setup.name, read.identity.number)
            }
            None => self.council.id_of(&self.setup.name),
        };
        let voters = self.council.voters.len();
        let founding = Founding::new(me, read.identity.number, voters, read.roster.clone());
        let mut seat = Seat {
            me,
            identity: read.identity,
            founding,
            agree: None,
            store: Store::new(read.state),
            ledger: None,
            proposed: None,
            number: read.number,
            on_disk: read.number,
            length: read.good,
            base: read.good,
            heard_kept: read.heard.clone(),
            heard: read.heard,
            look_at: now,
            passed: BTreeMap::new(),
            settling: None,
            tenure: read.tenure,
            told_written: 0,
        };
        if fresh {
            seat.rewrite(out);
        }
        self.seat = Some(seat);
        if me != NOBODY {
            self.target = me;
        } else if self.council.id_of(&self.setup.name) != NOBODY {
            self.bar(Barred::OtherFolder, out);
        } else if self.setup.founds() {
            self.bar(Barred::Replaced, out);
        }
    }

    fn bar(&mut self, why: Barred, out: &mut Vec<Out>) {
        match (&why, &mut self.seat) {
            // Its folder is good: it may take a vote, if it is given one.
            (Barred::OtherFolder | Barred::Replaced, Some(seat)) => seat.stand_down(),
            _ => self.seat = None,
        }
        self.barred = Some(why.clone());
        out.push(Out::Tell(Event::Barred(why)));
        // Those that were welcomed as to a voter find another.
        let callers: Vec<u64> = self.callers.keys().copied().collect();
        for conn in callers {
            out.push(Out::Close(conn, "no-vote"));
        }
        if self.council.id_of(&self.setup.name) == self.target {
            self.rotate();
        }
    }

    /// Something happens.
    pub fn handle(&mut self, now: BootTime, input: Input, out: &mut Vec<Out>) {
        match input {
            Input::Tick => {}
            Input::Up(voter) => {
                self.up.insert(voter, false);
                let hello = self.hello(voter);
                out.push(Out::Send(voter, Frame::Hello(hello)));
            }
            Input::Down(voter) => {
                self.up.remove(&voter);
            }
            Input::Answer(voter, frame) => self.answer(now, voter, frame, out),
            Input::Accepted(conn) => {
                self.callers.insert(conn, Caller { process: None, voter: None, papers: None });
            }
            Input::Called(conn, frame) => self.called(now, conn, frame, out),
            Input::FrameError(conn, why) => {
                let refused = match why {
                    FrameError::Format(_) => Refused::Format(super::frame::FORMAT),
                    _ => Refused::Garbled,
                };
                self.refuse(conn, refused, out);
            }
            Input::Hung(conn) => {
                self.callers.remove(&conn);
                if let Some(seat) = &mut self.seat {
                    seat.passed.retain(|_, via| *via != Via::Conn(conn));
                }
            }
            Input::Written(number) => self.written(number, out),
            Input::DiskFailed(why) => self.bar(Barred::Folder(why), out),
            Input::Recorded(epoch, done) => {
                self.writer.done(epoch, &done);
                if done != Done::Written {
                    out.push(Out::Tell(Event::Unrecorded(epoch, done)));
                }
            }
            Input::Drain => {
                self.draining = true;
                let held: Vec<Duty> = self.holder.holds().map(|(duty, _)| duty.clone()).collect();
                for duty in held {
                    self.give(&duty, "draining", out);
                }
                self.beat_at = now;
            }
            Input::Counts(counts) => self.counts = counts,
        }
        self.pump(now, out);
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next(&self) -> BootTime {
        let seat = self.seat.as_ref();
        let led = seat.and_then(|s| s.ledger.as_ref().zip(s.agree.as_ref()));
        let ledger = led.and_then(|(ledger, agree)| ledger.next(agree.book()));
        let doubt = self
            .standing
            .until()
            .filter(|_| !matches!(self.sure, RulesFreshness::None | RulesFreshness::Unsure(_)));
        let acts = self.holder.holds().filter_map(|(duty, _)| match duty.0.as_str() {
            RECORD => self.writer.due(),
            _ => Some(self.idle_at),
        });
        let look = seat.filter(|s| s.agree.is_some()).map(|s| s.look_at);
        let crowd = self.crowd.as_ref().and_then(Crowd::next);
        let other =
            ledger.into_iter().chain(doubt).chain(crowd).chain(acts).chain(look).chain(self.holder.next());
        other.fold(self.beat_at, BootTime::min)
    }

    // ---- What others say.

    fn hello(&self, to: VoterId) -> Hello {
        Hello {
            cluster: self.setup.cluster.clone(),
            process: Some(self.process.clone()),
            voters: self.setup.voter_names(),
            council: self.council.number,
            papers: self.seat.as_ref().map(|seat| seat.papers(self.council.number, to)),
        }
    }

    fn refuse(&mut self, conn: u64, why: Refused, out: &mut Vec<Out>) {
        let who = self.callers.get(&conn).and_then(|c| c.process.as_ref());
        let who = who.map_or_else(|| "?".to_owned(), |p| p.name.0.clone());
        out.push(Out::Tell(Event::Refused(who, why.clone())));
        out.push(Out::Reply(conn, Frame::Refused(why)));
        out.push(Out::Close(conn, "refused"));
        self.callers.remove(&conn);
    }

    /// A frame on a connection that was accepted.
    fn called(&mut self, now: BootTime, conn: u64, frame: Frame, out: &mut Vec<Out>) {
        let Some(caller) = self.callers.get(&conn) else { return };
        match (frame, caller.voter) {
            (Frame::Hello(hello), _) => self.greeted(conn, hello, out),
            (Frame::Show, _) => {
                let status = self.status(now);
                out.push(Out::Reply(conn, Frame::Status(Box::new(status))));
            }
            (Frame::HandOn(duty), _) => {
                let seat = self.seat.as_mut();
                let done = seat.and_then(|seat| {
                    let book = seat.agree.as_ref()?.book();
                    Some(seat.ledger.as_mut()?.hand_on(now, &duty, book))
                });
                let leader = self.leader_name();
                out.push(Out::Reply(conn, Frame::HandingOn(done.unwrap_or(false), leader)));
            }
            (Frame::Heartbeat(beat, passed), _) if caller.process.is_some() => {
                // A voter may pass on what others say; everybody else speaks for itself.
                let own = caller.process.as_ref() == Some(&beat.process);
                let for_another = passed && caller.voter.is_some();
                if !own && !for_another {
                    return self.refuse(conn, Refused::Garbled, out);
                }
                if own {
                    self.inform(conn, beat.council, out);
                }
                self.beaten(now, Via::Conn(conn), beat, passed, out);
            }
            (Frame::Paxos(council, message), Some(voter)) if council == self.council.number => {
                let me = self.seat.as_ref().map(|s| s.me);
                if message.get_sender() != voter || Some(message.get_receiver()) != me {
                    return self.refuse(conn, Refused::Garbled, out);
                }
                self.agreeing(out, |agree| agree.handle(*message));
            }
            (Frame::Confirm(confirm), Some(voter)) if confirm.leader == voter => {
                if let Some(agree) = self.seat.as_mut().and_then(|s| s.agree.as_mut()) {
                    agree.asked(confirm);
                }
            }
            (Frame::Confirmed(confirm), Some(voter)) => self.confirmed(now, voter, confirm, out),
            (Frame::Written(number), Some(voter)) => {
                if let Some(seat) = &mut self.seat {
                    let heard = seat.heard.entry(voter).or_insert(number);
                    *heard = (*heard).max(number);
                }
            }
            // A voter whose papers are not borne out yet says such things too: they come again.
            (Frame::Paxos(council, _), _) => self.inform(conn, council, out),
            (Frame::Confirm(_) | Frame::Confirmed(_) | Frame::Written(_), None) => {}
            (Frame::Council(tenure), _) => self.succeed(*tenure, out),
            (Frame::Propose(proposal), _) => {
                let done = self.propose(*proposal, out);
                out.push(Out::Reply(conn, Frame::Proposed(done)));
            }
            (Frame::Abort(number), _) => {
                let done = self.abort(number, out);
                out.push(Out::Reply(conn, Frame::Aborting(done)));
            }
            (Frame::Rules, _) => {
                let status = self.rules_status(now);
                out.push(Out::Reply(conn, Frame::RulesAre(Box::new(status))));
            }
            (Frame::Replace(gone, new), _) => {
                let done = self.replace(now, &gone, &new, out);
                out.push(Out::Reply(conn, Frame::Replacing(done)));
            }
            _ => self.refuse(conn, Refused::Garbled, out),
        }
    }

    /// The first frame of a connection.
    fn greeted(&mut self, conn: u64, hello: Hello, out: &mut Vec<Out>) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.process.clone_from(&hello.process);
        }
        if hello.cluster != self.setup.cluster {
            return self.refuse(conn, Refused::Cluster(self.setup.cluster.clone()), out);
        }
        let Some(process) = hello.process else { return };
        // The files count until the voters have agreed on others.
        let first = self.council.number == 1 && hello.council == 1;
        if first && !self.setup.voters.iter().map(|v| &v.name).eq(hello.voters.iter()) {
            return self.refuse(conn, Refused::Voters, out);
        }
        let Some(seat) = &mut self.seat else {
            return self.refuse(conn, Refused::NoVoter, out);
        };
        let voter = self.council.id_of(&process.name);
        // Papers of another council, or of a folder that has no vote, count for nothing here.
        let claims = |p: &&Papers| p.council == self.council.number && p.voter != NOBODY;
        if let Some(papers) = hello.papers.as_ref().filter(claims) {
            let later = |c: &Caller| {
                c.process
                    .as_ref()
                    .is_some_and(|p| p.name == process.name && p.incarnation > process.incarnation)
            };
            if papers.voter != voter || self.callers.values().any(later) {
                return self.refuse(conn, Refused::Twin, out);
            }
            let heard = seat.heard.get(&voter).copied().unwrap_or(0);
            let lost = seat.founding.roster().is_some() && !seat.founding.is(voter, papers.identity);
            // Whoever lost its folder learns of it from the roster.
            if !lost && papers.written < heard && !mutant::is_active(Mutant::ForgottenVote) {
                let why = Barred::OlderCopy { known: heard, written: papers.written };
                return self.refuse(conn, Refused::Barred(why), out);
            }
        }
        let papers = hello.papers.is_some().then(|| seat.papers(self.council.number, voter));
        // An earlier run of the same voter speaks for it no longer.
        let earlier =
            |c: &Caller| c.process.as_ref().is_some_and(|p| p.name == process.name && *p != process);
        let earlier: Vec<u64> = self
            .callers
            .iter()
            .filter(|(of, c)| voter != NOBODY && **of != conn && earlier(c))
            .map(|(of, _)| *of)
            .collect();
        for earlier in earlier {
            self.refuse(earlier, Refused::Twin, out);
        }
        out.push(Out::Reply(conn, Frame::Welcome(self.process.clone(), papers)));
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.papers = hello.papers;
        }
        self.verify(conn);
        self.inform(conn, hello.council, out);
    }

    /// Whether the caller counts as a voter: its papers must be borne out by the roster.
    fn verify(&mut self, conn: u64) {
        let Some(seat) = &self.seat else { return };
        if let Some(caller) = self.callers.get_mut(&conn) {
            let number = self.council.number;
            let good = |p: &Papers| p.council == number && seat.founding.is(p.voter, p.identity);
            caller.voter = caller.papers.as_ref().filter(|p| good(p)).map(|p| p.voter);
        }
    }

    /// A frame on a link to a voter.
    fn answer(&mut self, now: BootTime, voter: VoterId, frame: Frame, out: &mut Vec<Out>) {
        match frame {
            Frame::Welcome(process, papers) => {
                if self.council.voter(voter).is_none_or(|v| v.name != process.name) {
                    return out.push(Out::Redial(voter, "other-process"));
                }
                self.up.insert(voter, true);
                if let Some(papers) = papers {
                    self.tell_behind(voter, papers.council, out);
                    self.met(now, papers, out);
                }
            }
            Frame::Refused(why) => {
                let who = self.council.voter(voter).map_or(String::new(), |v| v.name.0.clone());
                out.push(Out::Tell(Event::Refused(format!("by {who}"), why.clone())));
                if let Refused::Barred(why) = why
                    && self.seat.is_some()
                {
                    self.bar(why, out);
                }
                out.push(Out::Redial(voter, "refused"));
            }
            Frame::HeartbeatReply(told) => self.told(now, told, out),
            Frame::Nudge(process) => self.nudged(now, process, out),
            Frame::Council(tenure) => self.succeed(*tenure, out),
            _ => out.push(Out::Redial(voter, "garbled")),
        }
    }

    /// Another voter has shown its papers.
    fn met(&mut self, now: BootTime, papers: Papers, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let voter = papers.voter;
        if seat.me == NOBODY || voter == NOBODY || papers.council != self.council.number {
            return;
        }
        if seat.agree.is_some() {
            if seat.founding.is(voter, papers.identity) {
                self.agreeing(out, |agree| agree.reconnected(voter));
            }
            return;
        }
        match seat.founding.met(papers, seat.on_disk) {
            Step::Wait => {}
            Step::Bar(why) => self.bar(why, out),
            Step::Settle(roster) => {
                if seat.settling.is_none() {
                    let number = seat.write(&journal::Frame::Roster(roster.clone()), out);
                    seat.settling = Some((number, Some(roster)));
                }
            }
            Step::Vote => {
                // A council that is not on disk yet has no voter here.
                if seat.settling.is_some() {
                    return;
                }
                let before = seat.tenure.as_ref().map_or(0, |t| t.entries.saturating_sub(1));
                match Agree::new(seat.me, &self.council, before, seat.store.clone(), seat.number) {
                    Ok(agree) => {
                        seat.agree = Some(agree);
                        seat.look_at = now;
                        out.push(Out::Tell(Event::Votes));
                    }
                    Err(Broken) => self.bar(Barred::Folder("agreement can't begin from it".into()), out),
                }
            }
        }
    }

    /// The journal is on disk up to a frame.
    fn written(&mut self, number: u64, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        seat.on_disk = seat.on_disk.max(number);
        if let Some(agree) = &mut seat.agree {
            agree.synced(number);
        }
        if let Some((_, roster)) = seat.settling.take_if(|(due, _)| *due <= number) {
            if let Some(roster) = roster {
                seat.founding.settled(roster);
                out.push(Out::Tell(Event::Founded));
            }
            let conns: Vec<u64> = self.callers.keys().copied().collect();
            for conn in conns {
                self.verify(conn);
            }
            // Each shows its papers anew, now with the roster.
            for voter in self.council.others(&self.setup.name) {
                out.push(Out::Redial(voter, "new-papers"));
            }
        }
    }

    // ---- Agreement.

    fn agreeing(&mut self, out: &mut Vec<Out>, act: impl FnOnce(&mut Agree) -> Result<(), Broken>) {
        let Some(agree) = self.seat.as_mut().and_then(|s| s.agree.as_mut()) else { return };
        if act(agree).is_err() {
            self.bar(Barred::Folder("agreement gave up on what it was told".into()), out);
        }
    }

    /// Does all that is due, and lets out what may leave.
    fn pump(&mut self, now: BootTime, out: &mut Vec<Out>) {
        self.vote(now, out);
        for news in self.holder.expire(now) {
            self.news(news, out);
        }
        let fronts = self.crowd.as_mut().and_then(|crowd| crowd.look(now, &self.view));
        out.extend(fronts.map(Out::FleetPosition));
        let sure = self.standing.sure(now);
        if sure != self.sure {
            self.sure = sure;
            out.push(Out::Tell(Event::Sure(sure)));
        }
        self.act(now, out);
        if now >= self.beat_at {
            self.beat(now, out);
        }
        self.vote(now, out);
    }

    /// The voter's part of [`Machine::pump`].
    fn vote(&mut self, now: BootTime, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let Some(agree) = &mut seat.agree else { return };
        if now >= seat.look_at {
            seat.look_at = now.after(self.setup.election);
            let ticked = agree.tick().and_then(|()| agree.fold());
            if ticked.is_err() {
                return self.bar(Barred::Folder("agreement gave up".into()), out);
            }
            self.tell_written(out);
        }
        self.lead(now, out);
        // What is proposed may be agreed on at once, and that may call for more.
        loop {
            let mut effects = Vec::new();
            let Some(seat) = &mut self.seat else { return };
            seat.settle(out);
            let Some(agree) = &mut seat.agree else { return };
            agree.release(&mut effects);
            if effects.is_empty() {
                return;
            }
            // Whoever hears what follows from a change has heard before how far the journal reaches: an older copy of
            // this folder would else get by those that heard of its votes.
            self.tell_written(out);
            for effect in effects {
                match effect {
                    Effect::Send(to, message) => {
                        out.push(Out::Send(to, Frame::Paxos(self.council.number, message)));
                    }
                    Effect::Confirmed(to, confirm) => out.push(Out::Send(to, Frame::Confirmed(confirm))),
                    Effect::Changed(index, change) => self.changed(now, index, change, out),
                    Effect::Over(told) => self.over(&told, out),
                }
            }
            self.lead(now, out);
        }
    }

    /// Tells the other voters how far this journal reaches, if they have not heard. Whoever misses it hears it with the
    /// papers of the next link.
    fn tell_written(&mut self, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let written = seat.on_disk;
        if seat.told_written != written {
            seat.told_written = written;
            for voter in self.council.others(&self.setup.name) {
                out.push(Out::Send(voter, Frame::Written(written)));
            }
        }
    }

    /// The log has grown by an entry.
    fn changed(&mut self, now: BootTime, index: u64, change: Change, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let Some(agree) = &seat.agree else { return };
        if let Change::Led(voter, ballot, reign) = &change {
            seat.ledger = (*voter == seat.me && agree.leads() == Some(*ballot)).then(|| {
                Ledger::new(&self.setup, &self.council, seat.me, *ballot, *reign, now, agree.book())
            });
            self.leader = Some(*voter);
            let name = self.council.voter(*voter).map(|v| v.name.clone()).unwrap_or_default();
            out.push(Out::Tell(Event::Leads(name, reign.0)));
        }
        let mut nudge = None;
        if let Some(ledger) = &mut seat.ledger {
            ledger.changed(&change);
            // A new holder would else hear of it by its next beat only.
            if let Change::Granted(_, lease) = &change {
                nudge = ledger.way_to(&lease.holder).map(|via| (via, lease.holder.clone()));
            }
        }
        if !matches!(change, Change::Void | Change::Led(..)) {
            out.push(Out::Tell(Event::Changed(index, change)));
        }
        match nudge {
            Some((Via::Own, process)) => self.nudged(now, process, out),
            Some((Via::Conn(conn), process)) => out.push(Out::Reply(conn, Frame::Nudge(process))),
            None => {}
        }
    }

    /// A beat is wanted at once: this process's own, or that of one whose beats it passed on.
    fn nudged(&mut self, now: BootTime, process: Process, out: &mut Vec<Out>) {
        if process == self.process {
            self.beat_at = now;
            return;
        }
        let via = self.seat.as_ref().and_then(|s| s.passed.get(&process));
        if let Some(Via::Conn(conn)) = via {
            out.push(Out::Reply(*conn, Frame::Nudge(process)));
        }
    }

    /// The leader's part.
    fn lead(&mut self, now: BootTime, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let Some(agree) = &mut seat.agree else { return };
        let ballot = agree.leads();
        if seat.ledger.as_ref().is_some_and(|l| Some(l.reign().0) != ballot) {
            seat.ledger = None;
        }
        let Some(ballot) = ballot else {
            seat.proposed = None;
            return;
        };
        if seat.proposed != Some(ballot) {
            seat.proposed = Some(ballot);
            let lead = super::book::Entry::Lead { voter: seat.me, ballot };
            return self.agreeing(out, |agree| agree.propose(lead));
        }
        let Some(ledger) = &mut seat.ledger else { return };
        let entries = ledger.decide(now, agree.book());
        if let Some(confirm) = ledger.ask(now) {
            for voter in self.council.others(&self.setup.name) {
                out.push(Out::Send(voter, Frame::Confirm(confirm)));
            }
        }
        for entry in entries {
            self.agreeing(out, |agree| agree.propose(entry));
        }
    }

    /// A voter says that it follows.
    fn confirmed(&mut self, now: BootTime, voter: VoterId, confirm: Confirm, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let (Some(agree), Some(ledger)) = (&seat.agree, &mut seat.ledger) else { return };
        if agree.leads() != Some(confirm.ballot) || agree.council() != confirm.council {
            return;
        }
        for (via, told) in ledger.confirmed(now, voter, confirm, agree.book()) {
            self.reply(now, via, told, out);
        }
    }

    /// A beat has reached this voter.
    fn beaten(&mut self, now: BootTime, via: Via, beat: Heartbeat, passed: bool, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let Some(agree) = &seat.agree else { return };
        if let Some(ledger) = &mut seat.ledger {
            if let Some(told) = ledger.beat(now, via, beat, agree.book()) {
                self.reply(now, via, told, out);
            }
            return;
        }
        // A voter that does not lead passes it on, once.
        if let Some((leader, _)) = agree.leader().filter(|(l, _)| *l != seat.me && !passed) {
            if seat.passed.len() >= MOST_PASSED {
                seat.passed.clear();
            }
            seat.passed.insert(beat.process.clone(), via);
            out.push(Out::Send(leader, Frame::Heartbeat(beat, true)));
        }
    }

    fn reply(&mut self, now: BootTime, via: Via, told: HeartbeatReply, out: &mut Vec<Out>) {
        match via {
            Via::Own => self.told(now, told, out),
            Via::Conn(conn) => out.push(Out::Reply(conn, Frame::HeartbeatReply(told))),
        }
    }

    // ---- The member.

    fn rotate(&mut self) {
        self.target = self.council.after(self.target);
        // One that bears this process's name is this process, and no way to the others unless it votes.
        let own = self.council.id_of(&self.setup.name);
        if self.target == own && self.seat.as_ref().is_none_or(|s| s.me != own) {
            self.target = self.council.after(own);
        }
    }

    fn beat(&mut self, now: BootTime, out: &mut Vec<Out>) {
        self.beat_at = now.after(self.setup.beat);
        if self.answered == self.seq {
            self.asked_since = now;
        } else if now.since(self.asked_since) >= Micros(self.setup.beat.0 * 2) {
            // Nobody answered there: another voter may reach the leader.
            self.rotate();
            self.asked_since = now;
        }
        self.seq += 1;
        self.holder.sent(self.seq, now);
        let wants = if self.draining || self.twin { Vec::new() } else { self.setup.duties.clone() };
        let progress = self.holder.holds().map(|(duty, epoch)| {
            let count = if duty.0 == RECORD { self.writer.written() } else { self.idle_acts };
            (duty.clone(), epoch, count)
        });
        let beat = Heartbeat {
            process: self.process.clone(),
            seq: self.seq,
            version: self.view.version,
            wants,
            gives: self.holder.given(),
            progress: progress.collect(),
            draining: self.draining,
            counts: self.counts,
            council: self.council.number,
            offer: self.offer(),
            rules: self.standing.says(),
        };
        if Some(self.target) == self.seat.as_ref().map(|s| s.me) {
            self.beaten(now, Via::Own, beat, false, out);
        } else {
            out.push(Out::Send(self.target, Frame::Heartbeat(beat, false)));
        }
    }

    /// A beat was answered: this process's own, or one that it passed on.
    fn told(&mut self, now: BootTime, told: HeartbeatReply, out: &mut Vec<Out>) {
        if told.process != self.process {
            let via = self.seat.as_mut().and_then(|s| s.passed.get(&told.process).copied());
            if let Some(via @ Via::Conn(_)) = via {
                self.reply(now, via, told, out);
            }
            return;
        }
        self.answered = self.answered.max(told.seq);
        if told.seq == self.seq {
            self.asked_since = now;
        }
        if told.twin != self.twin {
            self.twin = told.twin;
            if told.twin {
                out.push(Out::Tell(Event::Refused("by the leader".into(), Refused::Twin)));
            }
        }
        self.leader = told.leader.or(self.leader);
        if let Some(sent) = self.holder.sent_at(told.seq) {
            let before = self.standing.clone();
            self.standing.told(sent, now, &told.rules, self.setup.drift_of(told.rules.fresh));
            // The leader waits for those that have not accepted yet: it hears at once.
            if self.standing.says() != before.says() {
                self.beat_at = now;
            }
            if self.standing != before {
                out.push(Out::Rules(self.standing.clone()));
            }
        }
        for news in self.holder.told(now, &told, &self.setup) {
            self.news(news, out);
        }
        if let Some(view) = told.view
            && view.version > self.view.version
        {
            self.view = view;
        }
        if let Some(fleet) = told.fleet {
            self.fleet = fleet;
        }
        for duty in told.back {
            self.give(&duty, "asked", out);
            self.beat_at = now;
        }
    }

    fn news(&mut self, news: News, out: &mut Vec<Out>) {
        out.push(Out::Tell(match news {
            News::Took(duty, epoch) => Event::Took(duty, epoch),
            News::RanOut(duty, epoch) => Event::Lost(duty, epoch, "ran-out"),
            News::Taken(duty, epoch) => Event::Lost(duty, epoch, "taken"),
        }));
    }

    fn give(&mut self, duty: &Duty, why: &'static str, out: &mut Vec<Out>) {
        if let Some(epoch) = self.holder.give(duty) {
            out.push(Out::Tell(Event::Lost(duty.clone(), epoch, why)));
        }
    }

    /// Acts for the duties that are held, as far as the permit of this very moment allows.
    fn act(&mut self, now: BootTime, out: &mut Vec<Out>) {
        let (idle, record) = (Duty(IDLE.into()), record::duty());
        if now >= self.idle_at
            && let Some(epoch) = self.holder.permit(&idle, now).and_then(|p| p.still(now))
        {
            self.idle_at = now.after(record::EVERY);
            self.idle_acts += 1;
            out.push(Out::Tell(Event::Acts(idle, epoch, now)));
        }
        if let Some(permit) = self.holder.permit(&record, now)
            && let Some(job) = self.writer.next(now, permit, &self.setup.name, &self.fleet, &self.view)
        {
            out.push(Out::Record(job));
        }
    }

    // ---- What is told.

    fn leader_name(&self) -> Option<Name> {
        let agreed = self.seat.as_ref().and_then(|s| s.agree.as_ref()).and_then(Agree::leader);
        let leader = agreed.map(|(leader, _)| leader).or(self.leader)?;
        self.council.voter(leader).map(|v| v.name.clone())
    }

    /// How things stand, as far as this process knows.
    pub fn status(&self, now: BootTime) -> Status {
        let seat = self.seat.as_ref();
        let book = seat.and_then(|s| s.agree.as_ref()).map(Agree::book);
        let ledger = seat.and_then(|s| s.ledger.as_ref());
        let voter = |v: &super::council::Councillor| VoterStatus {
            name: v.name.clone(),
            linked: v.name == self.setup.name || self.up.get(&v.id) == Some(&true),
        };
        let members = book.map(|b| b.members.values().cloned().collect::<Vec<_>>()).unwrap_or_default();
        let member = |(process, since): (Process, u64)| MemberStatus {
            silent_ms: ledger.and_then(|l| l.silent(now, &process.name)).map(|s| s.0 / 1000),
            name: process.name,
            incarnation: process.incarnation.0,
            since,
        };
        let duties = book.map(|b| b.duties.clone()).unwrap_or_default();
        Status {
            member: self.setup.name.clone(),
            leader: self.leader_name(),
            confirmed: ledger.is_some_and(|l| l.confirmed_within(now, self.setup.lease)),
            reign: book.map(|b| b.reign).unwrap_or_default(),
            version: book.map_or(self.view.version, |b| b.version),
            entries: seat.and_then(|s| s.agree.as_ref()).map_or(0, Agree::applied),
            barred: self.barred.as_ref().map(Barred::to_string),
            council: self.council.number,
            voters: self.council.voters.iter().map(voter).collect(),
            members: members.into_iter().map(member).collect(),
            duties: duties
                .into_iter()
                .map(|(duty, lease)| DutyStatus {
                    left_ms: ledger.and_then(|l| l.left(now, &duty)).map(|left| left.0 / 1000),
                    duty,
                    holder: lease.holder.name,
                    epoch: lease.epoch,
                })
                .collect(),
            past: book.map(|b| b.past.iter().cloned().collect()).unwrap_or_default(),
        }
    }
}

impl Seat {
    fn papers(&self, council: u32, to: VoterId) -> Papers {
        Papers {
            voter: self.me,
            council,
            identity: self.identity.number,
            roster: self.founding.roster().cloned(),
            written: self.on_disk,
            heard: self.heard.get(&to).copied().unwrap_or(0),
        }
    }

    /// Votes no more.
    fn stand_down(&mut self) {
        (self.me, self.agree, self.ledger, self.proposed) = (NOBODY, None, None, None);
    }

    /// Adds a frame to the journal; gives its number.
    fn write(&mut self, frame: &journal::Frame, out: &mut Vec<Out>) -> u64 {
        self.number += 1;
        let bytes = journal::encode(self.number, frame);
        self.length += bytes.len();
        out.push(Out::Write(self.number, bytes));
        self.number
    }

    /// Writes the journal anew.
    fn rewrite(&mut self, out: &mut Vec<Out>) {
        let roster = self.founding.roster();
        let ops = self.store.whole();
        let (bytes, number) =
            journal::rewritten(self.number, &self.identity, roster, self.tenure.as_ref(), ops, &self.heard);
        (self.number, self.length, self.base) = (number, bytes.len(), bytes.len());
        self.heard_kept.clone_from(&self.heard);
        out.push(Out::Rewrite(number, bytes));
    }

    /// Hands what changed to the journal, before what follows from it is taken.
    fn settle(&mut self, out: &mut Vec<Out>) {
        let Some(agree) = &mut self.agree else { return };
        if agree.owes() {
            let ops = self.store.take();
            let heard = if self.heard == self.heard_kept { BTreeMap::new() } else { self.heard.clone() };
            self.heard_kept.clone_from(&self.heard);
            let number = self.write(&journal::Frame::Ops(ops, heard), out);
            if let Some(agree) = &mut self.agree {
                agree.handed(number);
            }
            // The others hear how far this journal reaches once it does.
            if self.length > LONG && self.length > 4 * self.base && self.settling.is_none() {
                self.rewrite(out);
                let number = self.number;
                if let Some(agree) = &mut self.agree {
                    agree.handed(number);
                }
            }
        }
        if let Some(agree) = &mut self.agree {
            agree.settle();
        }
    }
}
