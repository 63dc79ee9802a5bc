//! I/O of the quorum: connections between its processes, and the threads that write the journal and the record. All
//! decisions are made by [`Machine`].

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

use super::conns::WRITE_TIMEOUT;
use super::outbox::Notify;
use super::reading::{READ_BUFFER_BYTES, error_code, with_timeout};
use super::to_duration;
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

/// The time after which a connection attempt to a voter has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest wait between checks for due timers, whatever the next one is.
const MIN_TIMER_WAIT: Micros = Micros(2_000);
/// The most connections that a voter accepts. Beyond that, new ones are closed at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Returns the time of the boot clock, which also advances while the machine is suspended.
pub fn boot_now() -> BootTime {
    let now = unscaled_boot_now();
    // A trial may make this process's clock run too fast or too slow.
    let rate = faults::injected_value("clock-rate").unwrap_or(1.0);
    BootTime(if rate == 1.0 { now } else { (now as f64 * rate) as u64 })
}

/// A connection to another process: its queue, and the notifications that wake its writer and end it.
#[derive(Default)]
struct Link {
    queue: RefCell<Queue>,
    changed: Notify,
    end_requested: Notify,
    end_reason: Cell<Option<&'static str>>,
}

impl Link {
    /// Queues a frame. A full queue ends the link.
    fn push(&self, frame: &Frame) {
        if !self.queue.borrow_mut().push(frame) {
            self.finish("overflow");
        }
        self.changed.notify();
    }

    /// Ends the link. The first reason is kept.
    fn finish(&self, reason: &'static str) {
        if self.end_reason.get().is_none() {
            self.end_reason.set(Some(reason));
        }
        self.end_requested.notify();
    }
}

/// Calls `act` on a link, if there is one with the number.
fn with_link(links: &RefCell<BTreeMap<u64, Rc<Link>>>, number: u64, act: impl FnOnce(&Link)) {
    if let Some(link) = links.borrow().get(&number) {
        act(link);
    }
}

/// A write to the journal, with the number that its confirmation names.
enum JournalWrite {
    Append(u64, Vec<u8>),
    Replace(u64, Vec<u8>),
}

/// The connections, journal and state machine of this process in a quorum.
pub struct Quorum {
    machine: RefCell<Machine>,
    links: RefCell<BTreeMap<VoterId, Rc<Link>>>,
    conns: RefCell<BTreeMap<u64, Rc<Link>>>,
    next_conn: Cell<u64>,
    incarnation: Incarnation,
    /// The voters to which links are kept up. A voter that was removed never comes back, as numbers are not reused.
    dialled: RefCell<BTreeSet<VoterId>>,
    journal: Option<async_channel::Sender<JournalWrite>>,
    record: Option<async_channel::Sender<Job>>,
    changed: Notify,
    executor: Rc<LocalExecutor<'static>>,
    /// The numbers of frames and bytes that were sent, and of syncs of the journal.
    sent: Cell<(u64, u64)>,
    syncs: Cell<u64>,
    /// Passes the number of brokers and this broker's place among them to the node.
    on_fleet_position: Box<dyn Fn(FleetPosition)>,
    /// Passes the rules that are in force here to the node.
    on_rules: Box<dyn Fn(LocalRules)>,
}

/// Logs an event of the state machine.
fn log_event(event: &Event) {
    match event {
        Event::Founded => info!(event = "quorum.founded"),
        Event::Votes => info!(event = "quorum.votes"),
        Event::Council(number, names) => {
            let names: Vec<&str> = names.iter().map(|n| n.0.as_str()).collect();
            info!(event = "quorum.council", number, voters = names.join(","), at = unscaled_boot_now());
        }
        Event::Barred(why) => warn!(event = "quorum.no-vote", reason = %why),
        Event::Leads(name, reign) => info!(event = "quorum.leader", leader = name.0.as_str(), reign),
        Event::Took(duty, epoch) => {
            info!(event = "duty.took", duty = duty.0.as_str(), epoch = epoch.0, at = unscaled_boot_now())
        }
        Event::Lost(duty, epoch, why) => {
            info!(
                event = "duty.lost",
                duty = duty.0.as_str(),
                epoch = epoch.0,
                at = unscaled_boot_now(),
                why
            );
        }
        Event::Acts(duty, epoch, look) => {
            // The time of the check that allowed it, on the unscaled boot clock.
            let at = (look.0 as f64 / faults::injected_value("clock-rate").unwrap_or(1.0)) as u64;
            info!(event = "duty.acts", duty = duty.0.as_str(), epoch = epoch.0, at);
        }
        Event::Changed(index, change) => log_change(*index, change),
        Event::Refused(who, why) => warn!(event = "quorum.refused", who = who.as_str(), reason = %why),
        Event::Sure(sure) => {
            let (state, version, next) = match sure {
                RulesFreshness::None => ("none", 0, 0),
                RulesFreshness::Fresh(version) => ("fresh", *version, 0),
                RulesFreshness::Between(version, next) => ("between", *version, *next),
                RulesFreshness::Unsure(version) => ("unsure", *version, 0),
            };
            info!(event = "rules.sure", state, version, next, at = unscaled_boot_now());
        }
        Event::Unrecorded(epoch, done) => warn!(event = "record.unwritten", epoch = epoch.0, reason = ?done),
    }
}

/// Returns the boot clock in microseconds without the injected rate, for the log.
fn unscaled_boot_now() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Logs a change that the quorum has agreed on.
fn log_change(index: u64, change: &Change) {
    let at = unscaled_boot_now();
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

/// Opens the journal in a voter's folder. An incomplete entry at its end is cut off.
fn open_journal(folder: &Path) -> Result<(Journal, Option<journal::Read>), Barred> {
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

/// Starts this process's part in the quorum: opens the journal, binds the listening socket and starts the tasks.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    config: &QuorumConfig,
    incarnation: Incarnation,
    on_fleet_position: Box<dyn Fn(FleetPosition)>,
    on_rules: Box<dyn Fn(LocalRules)>,
) -> io::Result<Rc<Quorum>> {
    #[cfg(feature = "trials")]
    mutant::set_active(mutant::from_environment());
    let (input_sender, input_receiver) = async_channel::unbounded::<Input>();
    let mut opened = None;
    let mut journal = None;
    if let Some(folder) = &config.folder {
        opened = Some(match open_journal(folder) {
            Ok((file, read)) => {
                let (sender, work) = async_channel::unbounded();
                let answers = input_sender.clone();
                std::thread::Builder::new()
                    .name("quorum".into())
                    .spawn(move || write_journal(file, &work, &answers))?;
                journal = Some(sender);
                Ok(read)
            }
            Err(why) => Err(why),
        });
    }
    let record = match &config.record {
        None => None,
        Some(folder) => {
            let (sender, work) = async_channel::unbounded();
            let folder = folder.clone();
            std::thread::Builder::new()
                .name("record".into())
                .spawn(move || write_record(&folder, &work, &input_sender))?;
            Some(sender)
        }
    };
    let mut out = Vec::new();
    let machine = Machine::new(config, incarnation, opened, boot_now(), &mut out);
    let quorum = Rc::new(Quorum {
        machine: RefCell::new(machine),
        links: RefCell::default(),
        conns: RefCell::default(),
        next_conn: Cell::new(0),
        incarnation,
        dialled: RefCell::default(),
        journal,
        record,
        changed: Notify::default(),
        executor: executor.clone(),
        sent: Cell::new((0, 0)),
        syncs: Cell::new(0),
        on_fleet_position,
        on_rules,
    });
    if let Some(address) = config.listen {
        let listener = Async::<TcpListener>::bind(address).map_err(|e| {
            io::Error::new(e.kind(), format!("quorum.listen: can't listen on {address}: {e}"))
        })?;
        let address = listener.get_ref().local_addr()?;
        info!(event = "listens", name = config.name.0.as_str(), address = %address, front = "quorum");
        executor.spawn(accept_members(quorum.clone(), listener)).detach();
    }
    quorum.carry_out(out);
    executor.spawn(run_timers(quorum.clone())).detach();
    let handle = quorum.clone();
    let handle_inputs = async move {
        while let Ok(input) = input_receiver.recv().await {
            if matches!(input, Input::Written(_)) {
                handle.syncs.set(handle.syncs.get() + 1);
            }
            handle.step(input);
        }
    };
    executor.spawn(handle_inputs).detach();
    Ok(quorum)
}

impl Quorum {
    /// Passes an input to the state machine and executes its outputs.
    fn step(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        // The clock is read after the input has arrived, so that no decision uses an earlier time.
        self.machine.borrow_mut().handle(boot_now(), input, &mut out);
        self.carry_out(out);
        self.changed.notify();
    }

    /// Releases the duties that this process holds.
    pub fn drain(self: &Rc<Self>) {
        self.step(Input::Drain);
    }

    /// Passes on the broker's counts.
    pub fn report_counts(self: &Rc<Self>, counts: Counts) {
        if faults::injected("tell-counts") {
            self.log_counts();
        }
        self.step(Input::Counts(counts));
    }

    /// Executes the outputs of the state machine.
    fn carry_out(self: &Rc<Self>, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(voter, frame) => with_link(&self.links, voter, |link| link.push(&frame)),
                Out::Dial(voter, address) => {
                    let seed = self.incarnation.0 ^ voter << 48;
                    self.dialled.borrow_mut().insert(voter);
                    self.executor.spawn(dial_voter(self.clone(), voter, address, seed)).detach();
                }
                Out::Leave(voter) => {
                    self.dialled.borrow_mut().remove(&voter);
                    with_link(&self.links, voter, |link| link.finish("replaced"));
                }
                Out::Redial(voter, reason) => with_link(&self.links, voter, |link| link.finish(reason)),
                Out::Reply(conn, frame) => with_link(&self.conns, conn, |link| link.push(&frame)),
                Out::Close(conn, reason) => with_link(&self.conns, conn, |link| link.finish(reason)),
                Out::Write(number, bytes) => self.write_to_journal(JournalWrite::Append(number, bytes)),
                Out::Rewrite(number, bytes) => self.write_to_journal(JournalWrite::Replace(number, bytes)),
                Out::Record(job) => {
                    if let Some(record) = &self.record {
                        let _ = record.try_send(job);
                    }
                }
                Out::FleetPosition(position) => {
                    info!(event = "quorum.fronts", count = position.count, place = position.place);
                    (self.on_fleet_position)(position);
                }
                Out::Rules(rules) => (self.on_rules)(rules),
                Out::Tell(event) => log_event(&event),
            }
        }
    }

    /// Logs what a trial measures: frames and bytes sent, syncs, and this process's processor time in microseconds.
    fn log_counts(&self) {
        let processor = clock_gettime(ClockId::ProcessCPUTime);
        let processor = processor.tv_sec as u64 * 1_000_000 + processor.tv_nsec as u64 / 1_000;
        let (sent, sent_bytes) = self.sent.get();
        info!(event = "quorum.counts", sent, sent_bytes, syncs = self.syncs.get(), processor);
    }

    /// Sends a write to the journal's thread.
    fn write_to_journal(&self, write: JournalWrite) {
        if let Some(journal) = &self.journal {
            // The thread ends only after it has reported that the disk failed.
            let _ = journal.try_send(write);
        }
    }
}

/// Runs the journal's thread. Writes that wait together are synced together.
fn write_journal(
    mut file: Journal,
    work: &async_channel::Receiver<JournalWrite>,
    answers: &async_channel::Sender<Input>,
) {
    while let Ok(first) = work.recv_blocking() {
        let mut batch = vec![first];
        while let Ok(more) = work.try_recv() {
            batch.push(more);
        }
        let mut last_number = 0;
        let mut write = |write: JournalWrite| {
            let (number, result) = match write {
                JournalWrite::Append(number, bytes) => (number, file.append(&bytes)),
                JournalWrite::Replace(number, bytes) => (number, file.replace(&bytes)),
            };
            last_number = number;
            result
        };
        let written = batch.into_iter().try_for_each(&mut write).and_then(|()| file.sync());
        let answer = match written {
            Ok(()) => Input::Written(last_number),
            // It is unknown what is on disk after a failed write, so this voter takes no further part.
            Err(error) => Input::DiskFailed(format!("the journal can't be written: {error}")),
        };
        let failed = matches!(answer, Input::DiskFailed(_));
        if answers.send_blocking(answer).is_err() || failed {
            return;
        }
    }
}

/// Runs the record's thread.
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

/// Writes a line of the record. The permit is checked again, as the job has waited in the queue; a file of a later
/// epoch also shows that the job is too late. A late line that passes both checks is dropped by the reader of the
/// record.
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
    let (epoch, real) = (job.epoch.0, unscaled_boot_now());
    if cfg!(feature = "trials") {
        info!(event = "record.wrote", epoch, at = real);
    }
    Ok(Done::Written)
}

/// Runs the state machine's timers when they are due.
async fn run_timers(quorum: Rc<Quorum>) {
    loop {
        let wait = quorum.machine.borrow().next().since(boot_now());
        if wait > MIN_TIMER_WAIT {
            let timer = async {
                Timer::after(to_duration(wait)).await;
            };
            future::or(quorum.changed.notified(), timer).await;
        } else {
            // Other tasks get their turn first, even if a timer is already due.
            Timer::after(to_duration(MIN_TIMER_WAIT)).await;
        }
        if quorum.machine.borrow().next() <= boot_now() {
            quorum.step(Input::Tick);
        }
    }
}

/// Accepts connections of other processes.
async fn accept_members(quorum: Rc<Quorum>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if quorum.conns.borrow().len() >= MAX_CONNECTIONS {
                    continue;
                }
                quorum.executor.spawn(serve_member(quorum.clone(), stream, peer)).detach();
                future::yield_now().await;
            }
            Err(error) => {
                warn!(event = "accept failed", reason = error_code(&error));
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Runs an accepted connection until it ends.
async fn serve_member(quorum: Rc<Quorum>, stream: Async<TcpStream>, peer: SocketAddr) {
    let (conn, link) = (quorum.next_conn.get(), Rc::new(Link::default()));
    quorum.next_conn.set(conn + 1);
    quorum.conns.borrow_mut().insert(conn, link.clone());
    quorum.step(Input::Accepted(conn));
    let handle_frame = |frame: Result<Frame, frame::FrameError>| match frame {
        Ok(frame) => quorum.step(Input::Called(conn, frame)),
        Err(why) => quorum.step(Input::FrameError(conn, why)),
    };
    let reason = drive(&stream, &link, &quorum.sent, handle_frame).await;
    quorum.conns.borrow_mut().remove(&conn);
    quorum.step(Input::Hung(conn));
    info!(event = "end", peer = %format_args!("member:{peer}"), reason);
}

/// Keeps up the link to a voter: connects again whenever it ends.
async fn dial_voter(quorum: Rc<Quorum>, voter: VoterId, address: SocketAddr, seed: u64) {
    let mut backoff = Backoff::new(seed);
    while quorum.dialled.borrow().contains(&voter) {
        if let Ok(stream) = with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await {
            let _ = stream.get_ref().set_nodelay(true);
            let link = Rc::new(Link::default());
            quorum.links.borrow_mut().insert(voter, link.clone());
            quorum.step(Input::Up(voter));
            let mut welcomed = false;
            let handle_frame = |frame: Result<Frame, frame::FrameError>| match frame {
                Ok(frame) => {
                    welcomed |= matches!(frame, Frame::Welcome(..));
                    quorum.step(Input::Answer(voter, frame));
                }
                Err(why) => link.finish(why.code()),
            };
            let reason = drive(&stream, &link, &quorum.sent, handle_frame).await;
            quorum.links.borrow_mut().remove(&voter);
            quorum.step(Input::Down(voter));
            info!(event = "end", peer = %format_args!("voter:{address}"), reason, dropped = link.queue.borrow().dropped());
            if welcomed {
                backoff.went_well();
            }
        }
        Timer::after(to_duration(backoff.failed())).await;
    }
}

/// Reads and writes frames until the link ends. Returns the reason code of its end.
async fn drive(
    stream: &Async<TcpStream>,
    link: &Link,
    sent: &Cell<(u64, u64)>,
    mut handle_frame: impl FnMut(Result<Frame, frame::FrameError>),
) -> &'static str {
    let read = async {
        let (mut reader, mut buffer) = (Reader::default(), vec![0; READ_BUFFER_BYTES]);
        loop {
            let n = match stream.read_with(|mut s| s.read(&mut buffer)).await {
                Ok(0) => return "end-of-stream",
                Ok(n) => n,
                Err(error) => return error_code(&error),
            };
            reader.feed(&buffer[..n]);
            loop {
                match reader.take() {
                    Ok(None) => break,
                    Ok(Some(frame)) => handle_frame(Ok(frame)),
                    Err(why) => {
                        handle_frame(Err(why));
                        // Gives the answer that names the error time to be written.
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
        if with_timeout(WRITE_TIMEOUT, writer.write_all(&frame::preface())).await.is_err() {
            return "stalled";
        }
        loop {
            let next = link.queue.borrow_mut().pop();
            let Some(bytes) = next else {
                if let Some(reason) = link.end_reason.get() {
                    return reason;
                }
                link.changed.notified().await;
                continue;
            };
            if let Err(error) = with_timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await {
                return error_code(&error);
            }
            sent.set((sent.get().0 + 1, sent.get().1 + bytes.len() as u64));
        }
    };
    let end = async {
        link.end_requested.notified().await;
        // Gives frames that were queued before the end time to be written.
        Timer::after(Duration::from_millis(50)).await;
        link.end_reason.get().unwrap_or("ended")
    };
    future::or(future::or(read, write), end).await
}
