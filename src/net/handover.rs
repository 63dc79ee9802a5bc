//! The hand-over's sockets: a Unix socket in `$TMPDIR`, where the next process asks this one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::os::unix::fs::PermissionsExt as _;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use tracing::{info, warn};

use super::conns::{STALLED, TURN, code, within};
use super::outbox::{Bell, Outbox, SERVERS_BYTES};
use super::{Handle, micros, step};
use crate::operate::handover::giver::{self, Giver, Suitor};
use crate::operate::handover::heir::{self, Heir};
use crate::operate::handover::{Message, Reader, encode};

/// Time before the process at the meeting point is asked again.
const AGAIN: std::time::Duration = std::time::Duration::from_millis(20);
/// Time between looks whether anybody still waits here, once another process serves.
const LOOK: std::time::Duration = std::time::Duration::from_millis(10);

/// Whether clients' connections are accepted.
#[derive(Debug, Default)]
pub(super) struct Gate {
    open: Cell<bool>,
    bell: Bell,
}

impl Gate {
    fn set(&self, open: bool) {
        self.open.set(open);
        self.bell.ring();
    }

    /// Waits until it is open.
    pub(super) async fn opened(&self) {
        while !self.open.get() {
            self.bell.heard().await;
        }
    }

    /// Waits until it is closed.
    pub(super) async fn closed(&self) {
        while self.open.get() {
            self.bell.heard().await;
        }
    }
}

/// This process between the one before it and the one after it.
pub(super) struct Handover {
    path: PathBuf,
    /// When this process started, by the machine's clock that is never set.
    started: u64,
    giver: RefCell<Giver>,
    heir: RefCell<Option<Heir>>,
    /// The connection to the process before.
    old: RefCell<Option<Rc<Outbox>>>,
    /// Those of processes that ask.
    suitors: RefCell<BTreeMap<Suitor, Rc<Outbox>>>,
    next: Cell<u64>,
    /// Hears those that ask.
    meeting: RefCell<Option<Task<()>>>,
    /// Rings when the process at the meeting point is to be asked again.
    again: Bell,
    pub(super) gate: Gate,
    /// Rings when this process has nothing left to do.
    pub(super) left: Bell,
}

/// Where the processes of one broker meet. A path that the system can't take for a socket is made shorter.
pub(super) fn place(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    let mark = blake3::hash(name.as_bytes()).to_hex();
    let name: String = name.chars().map(plain).take(24).collect();
    folder.join(format!("as-{name}-{}.sock", &mark[..8]))
}

impl Handover {
    /// Whether another process serves in this one's place.
    pub(super) fn yielded(&self) -> bool {
        self.giver.borrow().gave_way()
    }

    /// What the node has for the other process.
    pub(super) fn told(self: &Rc<Self>, shared: &Handle, messages: Vec<Message>) {
        let heir = self.giver.borrow().heir();
        let suitor = heir.and_then(|heir| self.suitors.borrow().get(&heir).cloned());
        for message in messages {
            match (&suitor, message) {
                (Some(outbox), message) => outbox.push(encode(&message), None),
                (None, Message::Left { id }) => {
                    let now = shared.now();
                    self.as_heir(shared, |heir, out| heir.left(now, id, out));
                }
                _ => {}
            }
        }
    }

    fn give(self: &Rc<Self>, shared: &Handle, acts: Vec<giver::Act>) {
        for act in acts {
            match act {
                giver::Act::Yield => {
                    info!(event = "yields");
                    self.gate.set(false);
                    step(shared, |node, now, out| node.yields(now, out));
                    shared.executor.spawn(leave(shared.clone(), self.clone())).detach();
                }
                giver::Act::Resume => {
                    warn!(event = "serves again", reason = "the new process is gone");
                    step(shared, |node, now, out| node.resumes(now, out));
                    self.gate.set(true);
                    listen(shared, self);
                }
                giver::Act::Say(to, message) => {
                    if let Some(outbox) = self.suitors.borrow().get(&to) {
                        outbox.push(encode(&message), None);
                    }
                }
                giver::Act::Left(id) => step(shared, |node, now, out| node.ends(now, id, out)),
                giver::Act::Look => shared.executor.spawn(look(shared.clone(), self.clone())).detach(),
                giver::Act::Leave => self.left.ring(),
            }
        }
    }

    fn inherit(self: &Rc<Self>, shared: &Handle, acts: Vec<heir::Act>) {
        for act in acts {
            match act {
                heir::Act::Serve => {
                    step(shared, |node, _, _| node.serves());
                    self.gate.set(true);
                    info!(event = "serves");
                }
                heir::Act::Meet => listen(shared, self),
                heir::Act::Leave => self.left.ring(),
                heir::Act::AskAgain => self.again.ring(),
                heir::Act::TakeTurns => step(shared, |node, now, out| node.takes_turns(now, out)),
                heir::Act::Take(passed) => step(shared, |node, now, out| node.takes(now, &passed, out)),
                heir::Act::TakeEnded(passed) => step(shared, |node, now, out| {
                    node.takes(now, &passed, out);
                    node.ends(now, passed.id, out);
                }),
                heir::Act::Told(message) => step(shared, |node, now, out| node.hears_of(now, &message, out)),
                heir::Act::Say(message) => {
                    if let Some(old) = &*self.old.borrow() {
                        old.push(encode(&message), None);
                    }
                }
            }
        }
    }

    fn as_heir(self: &Rc<Self>, shared: &Handle, act: impl FnOnce(&mut Heir, &mut Vec<heir::Act>)) {
        let mut acts = Vec::new();
        if let Some(heir) = &mut *self.heir.borrow_mut() {
            act(heir, &mut acts);
        }
        self.inherit(shared, acts);
    }

    fn as_giver(self: &Rc<Self>, shared: &Handle, act: impl FnOnce(&mut Giver, &mut Vec<giver::Act>)) {
        let mut acts = Vec::new();
        act(&mut self.giver.borrow_mut(), &mut acts);
        self.give(shared, acts);
    }
}

/// Reads and writes until the connection ends. What can't be read is not acted on, but the connection stays: its end
/// tells of the other process' end.
async fn converse(
    stream: &Async<UnixStream>,
    outbox: &Outbox,
    mut hear: impl FnMut(Message),
) -> &'static str {
    let read = async {
        let (mut reader, mut buffer) = (Reader::default(), vec![0; TURN]);
        loop {
            match stream.read_with(|mut s| s.read(&mut buffer)).await {
                Ok(0) => return "end-of-stream",
                Ok(n) => reader.feed(&buffer[..n]).into_iter().for_each(&mut hear),
                Err(error) => return code(&error),
            }
            future::yield_now().await;
        }
    };
    let write = async {
        while outbox.ready().await.is_none() {
            let piece = stream.write_with(|mut s| outbox.gather(|slices| s.write_vectored(slices)));
            match piece.await {
                Ok(n) => drop(outbox.written(n)),
                Err(error) => return code(&error),
            }
        }
        "overflow"
    };
    future::or(write, read).await
}

/// Once another process serves: asks to leave when nobody waits here, and leaves when it is told to.
async fn leave(shared: Handle, handover: Rc<Handover>) {
    while handover.yielded() {
        let unwritten = shared.boxes.borrow().values().any(|outbox| !outbox.empty());
        // What the process before passes comes by here; it would take this one's end for its heir's death.
        let passes_by = handover.old.borrow().is_some();
        let anything = unwritten || passes_by || shared.node.borrow().waited_on();
        handover.as_giver(&shared, |giver, out| giver.holds(anything, out));
        Timer::after(LOOK).await;
    }
}

/// Connects to whoever is at the meeting point; none: nobody is. An error: somebody is there and can't be reached now,
/// as one that is stopped with a full queue.
async fn reach(path: &Path) -> io::Result<Option<Async<UnixStream>>> {
    match within(STALLED, Async::<UnixStream>::connect(path)).await {
        Ok(stream) => Ok(Some(stream)),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Err(e),
        Err(_) => Ok(None),
    }
}

/// Finds out whether anybody is at the meeting point, now that the heir is gone.
async fn look(shared: Handle, handover: Rc<Handover>) {
    let nobody = matches!(reach(&handover.path).await, Ok(None));
    handover.as_giver(&shared, |giver, out| giver.looked(!nobody, out));
}

/// Takes this process' place at the meeting point, where the next one asks. The name goes over in one step, so that
/// who asks meets either the old process or this one.
fn listen(shared: &Handle, handover: &Rc<Handover>) {
    let path = &handover.path;
    let own = path.with_extension(format!("{}", std::process::id()));
    let bound = || -> io::Result<Async<UnixListener>> {
        match std::fs::remove_file(&own) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = Async::<UnixListener>::bind(&own)?;
        std::fs::set_permissions(&own, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&own, path)?;
        Ok(listener)
    };
    match bound() {
        Ok(listener) => {
            let hears = shared.executor.spawn(suitors(shared.clone(), handover.clone(), listener));
            *handover.meeting.borrow_mut() = Some(hears);
        }
        Err(error) => warn!(event = "no hand-over", path = %path.display(), reason = %error),
    }
}

/// Hears those that ask, also once it has yielded: until the next one is there, who asks must not find nobody.
async fn suitors(shared: Handle, handover: Rc<Handover>, listener: Async<UnixListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept failed", front = "hand-over", reason = code(&error));
                Timer::after(AGAIN).await;
                continue;
            }
        };
        handover.next.set(handover.next.get() + 1);
        let (suitor, outbox) = (Suitor(handover.next.get()), Rc::new(Outbox::new(SERVERS_BYTES)));
        handover.suitors.borrow_mut().insert(suitor, outbox.clone());
        let (shared, handover) = (shared.clone(), handover.clone());
        let executor = shared.executor.clone();
        let talk = async move {
            let hear = |message| handover.as_giver(&shared, |giver, out| giver.heard(suitor, &message, out));
            let reason = converse(&stream, &outbox, hear).await;
            handover.suitors.borrow_mut().remove(&suitor);
            info!(event = "end", peer = "new process", reason);
            handover.as_giver(&shared, |giver, out| giver.ended(suitor, out));
        };
        executor.spawn(talk).detach();
    }
}

/// Starts: asks the process before this one, if there is one.
pub(super) async fn start(shared: Handle, handover: Rc<Handover>) {
    step(&shared, |node, _, _| node.starts());
    let heir = Heir::new(shared.now(), handover.started);
    let until = heir.patience();
    *handover.heir.borrow_mut() = Some(heir);
    let patience = async {
        Timer::after(micros(until - shared.now())).await;
        let now = shared.now();
        handover.as_heir(&shared, |heir, out| heir.tick(now, out));
        future::pending::<()>().await;
    };
    let ask = async {
        loop {
            let stream = match reach(&handover.path).await {
                Ok(Some(stream)) => stream,
                Ok(None) => return handover.as_heir(&shared, Heir::alone),
                Err(_) => {
                    Timer::after(AGAIN).await;
                    continue;
                }
            };
            let outbox = Rc::new(Outbox::new(SERVERS_BYTES));
            *handover.old.borrow_mut() = Some(outbox.clone());
            handover.as_heir(&shared, Heir::linked);
            let talk = async {
                let hear = |message| handover.as_heir(&shared, |heir, out| heir.heard(message, out));
                let reason = converse(&stream, &outbox, hear).await;
                info!(event = "end", peer = "old process", reason);
                handover.as_heir(&shared, Heir::ended);
                false
            };
            let told = async {
                handover.again.heard().await;
                true
            };
            // Told while it talked, or at its end.
            let again = future::or(told, talk).await;
            *handover.old.borrow_mut() = None;
            if !again && !handover.again.rung() {
                return;
            }
            Timer::after(AGAIN).await;
        }
    };
    future::or(ask, patience).await;
}

impl Handover {
    /// Between the processes that meet there.
    pub(super) fn new(path: PathBuf) -> Rc<Handover> {
        let started = super::quorum::boot_now().0;
        Rc::new(Handover {
            path,
            started,
            giver: RefCell::new(Giver::new(started)),
            heir: RefCell::default(),
            old: RefCell::default(),
            suitors: RefCell::default(),
            next: Cell::default(),
            meeting: RefCell::default(),
            again: Bell::default(),
            gate: Gate::default(),
            left: Bell::default(),
        })
    }
}
