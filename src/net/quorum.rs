//! Links between processes of a quorum, and the threads that write the journal and the record. All that is decided
//! is decided by [`Machine`].

mod commands;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt as _, future};
use rustix::time::{ClockId, clock_gettime};
use tracing::{info, warn};

pub use commands::{abort, hand_on, propose, read_record, replace, rules, show};

use super::conns::STALLED;
use super::micros;
use super::outbox::Bell;
use super::reading::{TURN, code, within};
use crate::api::Micros;
use crate::disk::{self, Journal};
use crate::faults;
#[cfg(feature = "trials")]
use crate::mutant;
use crate::quorum::backoff::Backoff;
use crate::quorum::book::Change;
use crate::quorum::founding::Barred;
use crate::quorum::frame::{self, Counts, Frame, Reader};
use crate::quorum::fronts::FleetPosition;
use crate::quorum::journal::{self, Unusable};
use crate::quorum::machine::Event;
use crate::quorum::queue::Queue;
use crate::quorum::record::{self, Done, Job};
use crate::quorum::{BootTime, Incarnation, Input, Machine, Out, QuorumConfig, VoterId};
use crate::rules::standing::{LocalRules, RulesFreshness};

/// A link that doesn't come up within this has failed.
const CONNECT: Duration = Duration::from_secs(1);
/// The shortest wait between looks at what is due, whatever is.
const SHORTEST: Micros = Micros(2_000);
/// Connections that a voter holds at most: beyond that new ones are closed at once.
const MOST_CONNECTIONS: usize = 4_096;

/// The clock that runs while the machine sleeps too.
pub fn boot_now() -> BootTime {
    let now = real_now();
    // A trial may have this process's clock run too fast or too slow.
    let rate = faults::injected_value("clock-rate").unwrap_or(1.0);
    BootTime(if rate == 1.0 { now } else { (now as f64 * rate) as u64 })
}

/// One link: what waits on it, and the bells that wake its writer and end it.
#[derive(Default)]
struct Link {
    queue: RefCell<Queue>,
    bell: Bell,
    end: Bell,
    ending: Cell<Option<&'static str>>,
}

impl Link {
    fn push(&self, frame: &Frame) {
        if !self.queue.borrow_mut().push(frame) {
            self.finish("overflow");
        }
        self.bell.ring();
    }

    fn finish(&self, reason: &'static str) {
        if self.ending.get().is_none() {
            self.ending.set(Some(reason));
        }
        self.end.ring();
    }
}

/// Does something with a link, if it is there.
fn on(links: &RefCell<BTreeMap<u64, Rc<Link>>>, number: u64, act: impl FnOnce(&Link)) {
    if let Some(link) = links.borrow().get(&number) {
        act(link);
    }
}

enum Work {
    Write(u64, Vec<u8>),
    Rewrite(u64, Vec<u8>),
}

/// This process's part in a quorum, on sockets.
pub struct Quorum {
    machine: RefCell<Machine>,
    links: RefCell<BTreeMap<VoterId, Rc<Link>>>,
    conns: RefCell<BTreeMap<u64, Rc<Link>>>,
    next_conn: Cell<u64>,
    incarnation: Incarnation,
    /// Voters that are dialled; one that has gone does not come again, as numbers are not.
    dialled: RefCell<BTreeSet<VoterId>>,
    journal: Option<async_channel::Sender<Work>>,
    record: Option<async_channel::Sender<Job>>,
    bell: Bell,
    executor: Rc<LocalExecutor<'static>>,
    /// Frames and bytes that were sent, and syncs of the journal.
    sent: Cell<(u64, u64)>,
    syncs: Cell<u64>,
    /// Tells the module how many fronts there are.
    fronts: Box<dyn Fn(FleetPosition)>,
    /// Tells the node what it acts on.
    rules: Box<dyn Fn(LocalRules)>,
}

fn tell(event: &Event) {
    match event {
        Event::Founded => info!(event = "quorum.founded"),
        Event::Votes => info!(event = "quorum.votes"),
        Event::Council(number, names) => {
            let names: Vec<&str> = names.iter().map(|n| n.0.as_str()).collect();
            info!(event = "quorum.council", number, voters = names.join(","), at = real_now());
        }
        Event::Barred(why) => warn!(event = "quorum.no-vote", reason = %why),
        Event::Leads(name, reign) => info!(event = "quorum.leader", leader = name.0.as_str(), reign),
        Event::Took(duty, epoch) => {
            info!(event = "duty.took", duty = duty.0.as_str(), epoch = epoch.0, at = real_now())
        }
        Event::Lost(duty, epoch, why) => {
            info!(event = "duty.lost", duty = duty.0.as_str(), epoch = epoch.0, at = real_now(), why);
        }
        Event::Acts(duty, epoch, look) => {
            // The look that allowed it, on the clock as the system has it.
            let at = (look.0 as f64 / faults::injected_value("clock-rate").unwrap_or(1.0)) as u64;
            info!(event = "duty.acts", duty = duty.0.as_str(), epoch = epoch.0, at);
        }
        Event::Changed(index, change) => changed(*index, change),
        Event::Refused(who, why) => warn!(event = "quorum.refused", who = who.as_str(), reason = %why),
        Event::Sure(sure) => {
            let (state, version, next) = match sure {
                RulesFreshness::None => ("none", 0, 0),
                RulesFreshness::Fresh(version) => ("fresh", *version, 0),
                RulesFreshness::Between(version, next) => ("between", *version, *next),
                RulesFreshness::Unsure(version) => ("unsure", *version, 0),
            };
            info!(event = "rules.sure", state, version, next, at = real_now());
        }
        Event::Unrecorded(epoch, done) => warn!(event = "record.unwritten", epoch = epoch.0, reason = ?done),
    }
}

/// The boot clock as the system has it, for the log.
fn real_now() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

fn changed(index: u64, change: &Change) {
    let at = real_now();
    match change {
        Change::Granted(duty, lease) => {
            let (duty, holder, run) =
                (duty.0.as_str(), lease.holder.name.0.as_str(), lease.holder.incarnation.0);
            info!(event = "log.granted", index, at, duty, epoch = lease.epoch.0, holder, run);
        }
        Change::Ended(past) => {
            let (duty, holder) = (past.duty.0.as_str(), past.holder.name.0.as_str());
            info!(event = "log.ended", index, at, duty, epoch = past.epoch.0, holder, how = past.how.name());
        }
        Change::Joined(process) | Change::Left(process) => {
            let event = if matches!(change, Change::Joined(_)) { "log.joined" } else { "log.left" };
            let (member, run) = (process.name.0.as_str(), process.incarnation.0);
            info!(event, index, at, member, run);
        }
        Change::Announced(number) => info!(event = "log.announced", index, at, number),
        Change::Enforced(number) => info!(event = "log.enforced", index, at, number),
        Change::Withdrawn(number, why) => {
            warn!(event = "log.withdrawn", index, at, number, reason = why.as_str());
        }
        Change::Led(..) | Change::Void => {}
    }
}

/// Opens a voter's folder; a torn tail is cut off.
fn open(folder: &Path) -> Result<(Journal, Option<journal::Read>), Barred> {
    let disk =
        |e: io::Error| Barred::Folder(Unusable::Disk(format!("{}: {e}", folder.display())).to_string());
    let (mut journal, bytes) = Journal::open(folder).map_err(disk)?;
    let read =
        journal::read(&bytes).map_err(|e| Barred::Folder(format!("{}: journal: {e}", folder.display())))?;
    let good = read.as_ref().map_or(0, |r| r.good);
    if good < bytes.len() {
        warn!(event = "quorum.torn-tail", cut = bytes.len() - good);
        journal.cut(good as u64).map_err(disk)?;
    }
    Ok((journal, read))
}

/// Begins this process's part.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    setup: &QuorumConfig,
    incarnation: Incarnation,
    fronts: Box<dyn Fn(FleetPosition)>,
    rules: Box<dyn Fn(LocalRules)>,
) -> io::Result<Rc<Quorum>> {
    #[cfg(feature = "trials")]
    mutant::set_active(mutant::from_environment());
    let (to_us, from_disk) = async_channel::unbounded::<Input>();
    let mut opened = None;
    let mut journal = None;
    if let Some(folder) = &setup.folder {
        opened = Some(match open(folder) {
            Ok((file, read)) => {
                let (sender, work) = async_channel::unbounded();
                let answers = to_us.clone();
                std::thread::Builder::new()
                    .name("quorum".into())
                    .spawn(move || write_journal(file, &work, &answers))?;
                journal = Some(sender);
                Ok(read)
            }
            Err(why) => Err(why),
        });
    }
    let record = match &setup.record {
        None => None,
        Some(folder) => {
            let (sender, work) = async_channel::unbounded();
            let folder = folder.clone();
            std::thread::Builder::new()
                .name("record".into())
                .spawn(move || write_record(&folder, &work, &to_us))?;
            Some(sender)
        }
    };
    let mut out = Vec::new();
    let machine = Machine::new(setup, incarnation, opened, boot_now(), &mut out);
    let quorum = Rc::new(Quorum {
        machine: RefCell::new(machine),
        links: RefCell::default(),
        conns: RefCell::default(),
        next_conn: Cell::new(0),
        incarnation,
        dialled: RefCell::default(),
        journal,
        record,
        bell: Bell::default(),
        executor: executor.clone(),
        sent: Cell::new((0, 0)),
        syncs: Cell::new(0),
        fronts,
        rules,
    });
    if let Some(address) = setup.listen {
        let listener = Async::<TcpListener>::bind(address).map_err(|e| {
            io::Error::new(e.kind(), format!("quorum.listen: can't listen on {address}: {e}"))
        })?;
        let address = listener.get_ref().local_addr()?;
        info!(event = "listens", name = setup.name.0.as_str(), address = %address, front = "quorum");
        executor.spawn(accept(quorum.clone(), listener)).detach();
    }
    quorum.carry_out(out);
    executor.spawn(keep_time(quorum.clone())).detach();
    let of_disk = quorum.clone();
    let answers = async move {
        while let Ok(input) = from_disk.recv().await {
            if matches!(input, Input::Written(_)) {
                of_disk.syncs.set(of_disk.syncs.get() + 1);
            }
            of_disk.step(input);
        }
    };
    executor.spawn(answers).detach();
    Ok(quorum)
}

impl Quorum {
    fn step(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        // The time is read after the input was, so that nothing is judged by a moment before it.
        self.machine.borrow_mut().handle(boot_now(), input, &mut out);
        self.carry_out(out);
        self.bell.ring();
    }

    /// This process gives back what it holds.
    pub fn drain(self: &Rc<Self>) {
        self.step(Input::Drain);
    }

    /// What the broker counts.
    pub fn count(self: &Rc<Self>, counts: Counts) {
        if faults::injected("tell-counts") {
            self.tell_counts();
        }
        self.step(Input::Counts(counts));
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(voter, frame) => on(&self.links, voter, |link| link.push(&frame)),
                Out::Dial(voter, address) => {
                    let seed = self.incarnation.0 ^ voter << 48;
                    self.dialled.borrow_mut().insert(voter);
                    self.executor.spawn(dial(self.clone(), voter, address, seed)).detach();
                }
                Out::Leave(voter) => {
                    self.dialled.borrow_mut().remove(&voter);
                    on(&self.links, voter, |link| link.finish("replaced"));
                }
                Out::Redial(voter, reason) => on(&self.links, voter, |link| link.finish(reason)),
                Out::Reply(conn, frame) => on(&self.conns, conn, |link| link.push(&frame)),
                Out::Close(conn, reason) => on(&self.conns, conn, |link| link.finish(reason)),
                Out::Write(number, bytes) => self.work(Work::Write(number, bytes)),
                Out::Rewrite(number, bytes) => self.work(Work::Rewrite(number, bytes)),
                Out::Record(job) => {
                    if let Some(record) = &self.record {
                        let _ = record.try_send(job);
                    }
                }
                Out::FleetPosition(fronts) => {
                    info!(event = "quorum.fronts", count = fronts.count, place = fronts.place);
                    (self.fronts)(fronts);
                }
                Out::Rules(standing) => (self.rules)(standing),
                Out::Tell(event) => tell(&event),
            }
        }
    }

    /// What a trial measures: frames and bytes sent, syncs, and this process's processor time in microseconds.
    fn tell_counts(&self) {
        let processor = clock_gettime(ClockId::ProcessCPUTime);
        let processor = processor.tv_sec as u64 * 1_000_000 + processor.tv_nsec as u64 / 1_000;
        let (sent, sent_bytes) = self.sent.get();
        info!(event = "quorum.counts", sent, sent_bytes, syncs = self.syncs.get(), processor);
    }

    fn work(&self, work: Work) {
        if let Some(journal) = &self.journal {
            // The thread ends only after it said that the disk failed.
            let _ = journal.try_send(work);
        }
    }
}

/// The journal's thread: what waits together is synced together.
fn write_journal(
    mut file: Journal,
    work: &async_channel::Receiver<Work>,
    answers: &async_channel::Sender<Input>,
) {
    while let Ok(first) = work.recv_blocking() {
        let mut batch = vec![first];
        while let Ok(more) = work.try_recv() {
            batch.push(more);
        }
        let mut last = 0;
        let mut put = |work: Work| {
            let (number, put) = match work {
                Work::Write(number, bytes) => (number, file.append(&bytes)),
                Work::Rewrite(number, bytes) => (number, file.replace(&bytes)),
            };
            last = number;
            put
        };
        let written = batch.into_iter().try_for_each(&mut put).and_then(|()| file.sync());
        let answer = match written {
            Ok(()) => Input::Written(last),
            // What is on disk now nobody can say: this voter says nothing more.
            Err(error) => Input::DiskFailed(format!("the journal can't be written: {error}")),
        };
        let failed = matches!(answer, Input::DiskFailed(_));
        if answers.send_blocking(answer).is_err() || failed {
            return;
        }
    }
}

/// The record's thread.
fn write_record(folder: &Path, work: &async_channel::Receiver<Job>, answers: &async_channel::Sender<Input>) {
    #[cfg(feature = "trials")]
    mutant::set_active(mutant::from_environment());
    while let Ok(job) = work.recv_blocking() {
        faults::stop_at("record.queued");
        let epoch = job.epoch;
        let done = write_line(folder, job).unwrap_or_else(|e| Done::Failed(e.to_string()));
        if answers.send_blocking(Input::Recorded(epoch, done)).is_err() {
            return;
        }
    }
}

/// Writes a line of the record. The permit is looked at again, as the job has waited; a file of a later epoch says
/// so too. What gets past both on its way to the disk is dropped by whoever reads the record.
fn write_line(folder: &Path, job: Job) -> io::Result<Done> {
    if job.permit.still(boot_now()).is_none() {
        return Ok(Done::TooLate);
    }
    faults::stop_at("record.looked");
    std::fs::create_dir_all(folder)?;
    let path = folder.join(record::file_name(job.epoch));
    if let Some(mut begin) = job.begin {
        for (name, length) in disk::lengths(folder)? {
            match record::epoch_of(&name) {
                Some(other) if other > job.epoch => return Ok(Done::TooLate),
                Some(other) if other < job.epoch => {
                    begin.sealed.insert(other.0, length);
                }
                _ => {}
            }
        }
        let mut bytes = serde_json::to_vec(&begin)?;
        bytes.push(b'\n');
        bytes.extend(job.line);
        disk::create_new(&path, &bytes)?;
    } else {
        use std::io::Write as _;
        std::fs::OpenOptions::new().append(true).open(&path)?.write_all(&job.line)?;
    }
    let (epoch, real) = (job.epoch.0, real_now());
    if cfg!(feature = "trials") {
        info!(event = "record.wrote", epoch, at = real);
    }
    Ok(Done::Written)
}

async fn keep_time(quorum: Rc<Quorum>) {
    loop {
        let wait = quorum.machine.borrow().next().since(boot_now());
        if wait > SHORTEST {
            let timer = async {
                Timer::after(micros(wait)).await;
            };
            future::or(quorum.bell.heard(), timer).await;
        } else {
            // Whatever is said to be due, others have their turn first.
            Timer::after(micros(SHORTEST)).await;
        }
        if quorum.machine.borrow().next() <= boot_now() {
            quorum.step(Input::Tick);
        }
    }
}

async fn accept(quorum: Rc<Quorum>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if quorum.conns.borrow().len() >= MOST_CONNECTIONS {
                    continue;
                }
                quorum.executor.spawn(called(quorum.clone(), stream, peer)).detach();
                future::yield_now().await;
            }
            Err(error) => {
                warn!(event = "accept failed", reason = code(&error));
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// One connection that was accepted.
async fn called(quorum: Rc<Quorum>, stream: Async<TcpStream>, peer: SocketAddr) {
    let (conn, link) = (quorum.next_conn.get(), Rc::new(Link::default()));
    quorum.next_conn.set(conn + 1);
    quorum.conns.borrow_mut().insert(conn, link.clone());
    quorum.step(Input::Accepted(conn));
    let heard = |frame: Result<Frame, frame::FrameError>| match frame {
        Ok(frame) => quorum.step(Input::Called(conn, frame)),
        Err(why) => quorum.step(Input::FrameError(conn, why)),
    };
    let reason = drive(&stream, &link, &quorum.sent, heard).await;
    quorum.conns.borrow_mut().remove(&conn);
    quorum.step(Input::Hung(conn));
    info!(event = "end", peer = %format_args!("member:{peer}"), reason);
}

/// The link to a voter, dialled again whenever it ends.
async fn dial(quorum: Rc<Quorum>, voter: VoterId, address: SocketAddr, seed: u64) {
    let mut backoff = Backoff::new(seed);
    while quorum.dialled.borrow().contains(&voter) {
        if let Ok(stream) = within(CONNECT, Async::<TcpStream>::connect(address)).await {
            let _ = stream.get_ref().set_nodelay(true);
            let link = Rc::new(Link::default());
            quorum.links.borrow_mut().insert(voter, link.clone());
            quorum.step(Input::Up(voter));
            let mut welcomed = false;
            let heard = |frame: Result<Frame, frame::FrameError>| match frame {
                Ok(frame) => {
                    welcomed |= matches!(frame, Frame::Welcome(..));
                    quorum.step(Input::Answer(voter, frame));
                }
                Err(why) => link.finish(why.code()),
            };
            let reason = drive(&stream, &link, &quorum.sent, heard).await;
            quorum.links.borrow_mut().remove(&voter);
            quorum.step(Input::Down(voter));
            info!(event = "end", peer = %format_args!("voter:{address}"), reason, dropped = link.queue.borrow().dropped());
            if welcomed {
                backoff.went_well();
            }
        }
        Timer::after(micros(backoff.failed())).await;
    }
}

/// Reads and writes frames until the link ends; gives the reason's code.
async fn drive(
    stream: &Async<TcpStream>,
    link: &Link,
    sent: &Cell<(u64, u64)>,
    mut heard: impl FnMut(Result<Frame, frame::FrameError>),
) -> &'static str {
    let read = async {
        let (mut reader, mut buffer) = (Reader::default(), vec![0; TURN]);
        loop {
            let n = match stream.read_with(|mut s| s.read(&mut buffer)).await {
                Ok(0) => return "end-of-stream",
                Ok(n) => n,
                Err(error) => return code(&error),
            };
            reader.feed(&buffer[..n]);
            loop {
                match reader.take() {
                    Ok(None) => break,
                    Ok(Some(frame)) => heard(Ok(frame)),
                    Err(why) => {
                        heard(Err(why));
                        // Why it ends is still on its way out.
                        Timer::after(Duration::from_millis(50)).await;
                        return why.code();
                    }
                }
            }
            future::yield_now().await;
        }
    };
    let write = async {
        let mut writer = stream;
        if within(STALLED, writer.write_all(&frame::preface())).await.is_err() {
            return "stalled";
        }
        loop {
            let next = link.queue.borrow_mut().pop();
            let Some(bytes) = next else {
                if let Some(reason) = link.ending.get() {
                    return reason;
                }
                link.bell.heard().await;
                continue;
            };
            if let Err(error) = within(STALLED, writer.write_all(&bytes)).await {
                return code(&error);
            }
            sent.set((sent.get().0 + 1, sent.get().1 + bytes.len() as u64));
        }
    };
    let end = async {
        link.end.heard().await;
        // What was queued before the end has a moment to leave, then it is over.
        Timer::after(Duration::from_millis(50)).await;
        link.ending.get().unwrap_or("ended")
    };
    future::or(future::or(read, write), end).await
}
