//! The only module with sockets: thin drivers that move bytes between them and the [`Node`].

mod files;
mod outbox;
pub mod quorum;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt, future};
use tracing::{info, warn};

use crate::api::{ListKind, Micros};
use crate::board::{self, Board};
use crate::config::Config;
use crate::eureka::{self, Call, Eureka};
use crate::http::client;
use crate::node::{Front, Node};
use crate::platform::links::{Closed, Command, ConnId};
use crate::platform::longest_deadline;
use crate::quorum::Incarnation;
use crate::quorum::fronts::Fronts;
use crate::records::Findings;
use crate::roster::{News, Plausible, Roster, Source};
use crate::rules::standing::Standing;
use outbox::{Bell, Outbox};

/// After SIGTERM connections and requests keep coming for so long.
const STILL_COMING: Micros = Micros(700_000);
/// How long sessions that play may keep a broker up that was told to stop.
const LINGER: Micros = Micros(30_000_000);

/// So long servers have at the end to hear that what stood there is over.
const LAST_ENDS: Micros = Micros(2_000_000);

/// A call to the registry that takes longer has failed.
const CALL: Duration = Duration::from_secs(3);

/// A peer that takes nothing for so long while there is something to write is let go.
const STALLED: Duration = Duration::from_secs(2);
/// How long a peer has to close a connection too that this side has ended.
const PARTING: Duration = Duration::from_millis(500);
/// Time between looks for a connection that can be let go, while descriptors are short.
const ROOM: Duration = Duration::from_millis(50);
/// Time between counts that the quorum is told.
const COUNTED: Duration = Duration::from_millis(250);
/// What one connection may bring in one turn, before the others have theirs.
const TURN: usize = 16 * 1024;

struct Shared {
    executor: Rc<LocalExecutor<'static>>,
    node: RefCell<Node>,
    boxes: RefCell<BTreeMap<ConnId, Rc<Outbox>>>,
    clock: Clock,
    bell: Bell,
    buffer: RefCell<Vec<u8>>,
    board: RefCell<Board>,
    roster: RefCell<Roster>,
    /// Rings when the list has changed, or when one is held back.
    listed: Bell,
    /// Where the notice board listens, and the bell that tells of a new address.
    board_at: Cell<Option<SocketAddr>>,
    board_moved: Bell,
    accepted: Cell<usize>,
    room: Bell,
    connect_timeout: Duration,
}

type Handle = Rc<Shared>;

fn micros(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}

fn unix() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}

impl Shared {
    fn new(config: &Config, board: Board) -> Handle {
        // Only lists from watched files are ever held back.
        let never = Plausible { most_dropped: 1.0, hold: Micros(0) };
        let plausible = config.watch.as_ref().map_or(never, |w| w.plausible);
        Rc::new(Shared {
            executor: Rc::new(LocalExecutor::new()),
            node: RefCell::new(Node::new(config)),
            boxes: RefCell::new(BTreeMap::new()),
            clock: Clock::default(),
            bell: Bell::default(),
            buffer: RefCell::new(vec![0; TURN]),
            board: RefCell::new(board),
            roster: RefCell::new(Roster::new(plausible)),
            listed: Bell::default(),
            board_at: Cell::new(config.board),
            board_moved: Bell::default(),
            accepted: Cell::new(0),
            room: Bell::default(),
            connect_timeout: micros(config.connect_timeout),
        })
    }

    fn now(&self) -> Micros {
        self.clock.read(unix())
    }
}

/// A clock that was set back by more than this runs on from where it was.
const SET_BACK: Micros = Micros(1_000_000);

/// The system's Unix clock, as time that never runs backwards.
#[derive(Default)]
struct Clock {
    last: Cell<Micros>,
    ahead: Cell<Micros>,
}

impl Clock {
    fn read(&self, unix: Micros) -> Micros {
        let (now, last) = (unix + self.ahead.get(), self.last.get());
        // Waiting for a clock that was set back would stop every timer for as long.
        if last - now > SET_BACK {
            self.ahead.set(self.ahead.get() + (last - now));
        }
        self.last.set(now.max(last));
        self.last.get()
    }
}

/// Lets the node do something, then carries its commands out.
fn step<T>(shared: &Handle, act: impl FnOnce(&mut Node, Micros, &mut Vec<Command>) -> T) -> T {
    let now = shared.now();
    let mut commands = Vec::new();
    let (result, lines, told) = {
        let mut node = shared.node.borrow_mut();
        if node.has_rules() {
            // Read anew for each step: what is decided after a stall is decided by the moment behind it.
            node.set_boot(quorum::boot_now());
        }
        (act(&mut node, now, &mut commands), node.take_log(), node.take_trace())
    };
    for (at, event) in told {
        event.write(at.0);
    }
    for line in lines {
        info!(event = "module", "{line}");
    }
    for command in commands {
        match command {
            Command::Dial(conn, address) => {
                let outbox = Rc::new(Outbox::new(outbox::SERVERS_BYTES));
                shared.boxes.borrow_mut().insert(conn, outbox.clone());
                let driver = dial(shared.clone(), conn, address, outbox);
                shared.executor.spawn(driver).detach();
            }
            Command::Write(conn, bytes, tag) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.push(bytes, tag);
                }
            }
            Command::Close(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.close(reason);
                }
            }
            Command::Leave(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.leave(reason);
                }
            }
            Command::Cut(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.cut(reason);
                }
            }
        }
    }
    shared.bell.ring();
    result
}

/// Reads and writes until the connection ends; gives the reason's code.
async fn drive(shared: &Handle, conn: ConnId, stream: &Async<TcpStream>, outbox: &Outbox) -> &'static str {
    let read = async {
        loop {
            // One buffer does for all connections: nothing else runs between the read and the step.
            let n = match stream.read_with(|mut s| s.read(&mut shared.buffer.borrow_mut())).await {
                Ok(0) => return outbox.reason().unwrap_or("end-of-stream"),
                Ok(n) => n,
                Err(error) => return outbox.reason().unwrap_or(code(&error)),
            };
            // What comes behind the end is read for nobody.
            if !outbox.closing() {
                let buffer = shared.buffer.borrow();
                step(shared, |node, now, out| node.bytes(now, conn, &buffer[..n], out));
            }
            // A peer that sends without a pause would otherwise keep all others waiting, and its own writer,
            // which is to end the connection.
            future::yield_now().await;
        }
    };
    let write = async {
        loop {
            if let Some(reason) = outbox.ready().await {
                if outbox.leaving() {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    Timer::after(PARTING).await;
                }
                return reason;
            }
            let piece = stream.write_with(|mut s| outbox.gather(|slices| s.write_vectored(slices)));
            match within(STALLED, piece).await {
                Ok(0) => return "write-zero",
                Ok(n) => outbox.written(n),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return "stalled",
                Err(error) => return code(&error),
            }
        }
    };
    future::or(outbox.was_cut(), future::or(write, read)).await
}

/// Ends a client's connection so that an answer on its way is not destroyed: closing a socket with unread input
/// resets the connection. Input is dropped until the client has closed too, for a short while.
async fn part(shared: &Handle, stream: &Async<TcpStream>, outbox: &Outbox) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    if !outbox.wrote() {
        return;
    }
    let drain = async {
        loop {
            match stream.read_with(|mut s| s.read(&mut shared.buffer.borrow_mut())).await {
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) => future::yield_now().await,
            }
        }
    };
    let _ = within(PARTING, drain).await;
}

fn code(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::BrokenPipe => "broken-pipe",
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::TimedOut => "timed-out",
        _ => "io-error",
    }
}

fn ended_with(outbox: &Outbox, reason: &str) -> Closed {
    let reset = matches!(reason, "reset" | "broken-pipe");
    Closed::Ended { unsent: outbox.unsent(), unfinished: outbox.unfinished(), reset }
}

fn ended(shared: &Handle, conn: ConnId, peer: &str, reason: &str, how: Closed) {
    shared.boxes.borrow_mut().remove(&conn);
    info!(event = "end", conn = conn.0, peer, reason);
    step(shared, |node, now, out| node.closed(now, conn, &how, out));
}

async fn within<T>(span: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::after(span).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

async fn dial(shared: Handle, conn: ConnId, address: SocketAddr, outbox: Rc<Outbox>) {
    let peer = format!("edge:{address}");
    match within(shared.connect_timeout, Async::<TcpStream>::connect(address)).await {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            step(&shared, |node, now, out| node.opened(now, conn, out));
            let reason = drive(&shared, conn, &stream, &outbox).await;
            // The server hears of the end before the next attempts leave.
            drop(stream);
            ended(&shared, conn, &peer, reason, ended_with(&outbox, reason));
        }
        Err(error) => {
            let (reason, how) = match error.kind() {
                io::ErrorKind::TimedOut => ("connect-timeout", Closed::NoAnswer),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    (code(&error), Closed::Refused)
                }
                _ => (code(&error), Closed::Unopened),
            };
            ended(&shared, conn, &peer, reason, how);
        }
    }
}

async fn serve(shared: Handle, stream: Async<TcpStream>, peer: SocketAddr, front: Front) {
    let _ = stream.get_ref().set_nodelay(true);
    let outbox = Rc::new(Outbox::new(outbox::CLIENTS_BYTES));
    let conn = step(&shared, |node, _, _| node.number());
    shared.boxes.borrow_mut().insert(conn, outbox.clone());
    step(&shared, |node, now, out| node.accepted(now, conn, front, out));
    let reason = drive(&shared, conn, &stream, &outbox).await;
    if outbox.closing() {
        part(&shared, &stream, &outbox).await;
    }
    drop(stream);
    shared.accepted.set(shared.accepted.get() - 1);
    shared.room.ring();
    ended(&shared, conn, &format!("{}:{peer}", front.name()), reason, ended_with(&outbox, reason));
}

async fn accept(shared: Handle, listener: Async<TcpListener>, front: Front, most: usize) {
    loop {
        // Descriptors are few: what can't be held waits in the machine's queue, while room is made.
        while shared.accepted.get() >= most {
            step(&shared, |node, now, out| node.make_room(now, out));
            let look = async {
                Timer::after(ROOM).await;
            };
            future::or(shared.room.heard(), look).await;
        }
        match listener.accept().await {
            Ok((stream, peer)) => {
                shared.accepted.set(shared.accepted.get() + 1);
                shared.executor.spawn(serve(shared.clone(), stream, peer, front)).detach();
                // Those that are there already have their turn before the next one comes.
                future::yield_now().await;
            }
            Err(error) => {
                warn!(event = "accept failed", reason = code(&error));
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn keep_time(shared: Handle) {
    loop {
        let wait = micros(shared.node.borrow().next_alarm() - shared.now());
        if !wait.is_zero() {
            let timer = async {
                Timer::after(wait).await;
            };
            future::or(shared.bell.heard(), timer).await;
        }
        if shared.node.borrow().next_alarm() <= shared.now() {
            step(&shared, |node, now, out| node.tick(now, out));
        }
    }
}

/// Follows the notice board, wherever the configuration says it is.
async fn follow(shared: Handle) {
    loop {
        let Some(address) = shared.board_at.get() else {
            shared.board_moved.heard().await;
            continue;
        };
        let end = |reason: &str| {
            info!(event = "end", peer = %format_args!("board:{address}"), reason, last = shared.board.borrow().last());
        };
        let moved = async {
            shared.board_moved.heard().await;
            end("moved");
        };
        let stay = async {
            match follow_once(&shared, address).await {
                Ok(reason) => end(reason),
                Err(error) => end(code(&error)),
            }
            Timer::after(micros(board::RETRY)).await;
        };
        // A new address is asked at once, also in the middle of a dial or of the wait before the next.
        future::or(moved, stay).await;
    }
}

/// Follows the board on one connection; gives why it ended.
async fn follow_once(shared: &Handle, address: SocketAddr) -> io::Result<&'static str> {
    let mut stream = within(micros(board::CONNECT), Async::<TcpStream>::connect(address)).await?;
    let request = shared.board.borrow_mut().request(&address.to_string());
    stream.write_all(&request).await?;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let n = within(micros(board::SILENCE), stream.read(&mut buffer)).await?;
        if n == 0 {
            return Ok("end-of-stream");
        }
        let mut news = Vec::new();
        let read = shared.board.borrow_mut().bytes(&buffer[..n], &mut news);
        for news in news {
            files::hear(shared, Source::Board, news);
        }
        if let Err(error) = read {
            return Ok(error.code());
        }
    }
}

/// A fixed list, as a whole.
fn whole(servers: Vec<crate::roster::Listed>) -> News {
    News { kind: ListKind::Complete, servers }
}

/// Takes a new configuration in; one that can't work is logged, and the old one stays.
fn reload(shared: &Handle, old: &mut Config, read: Result<Config, Findings>) {
    let new = match read {
        Ok(new) => new,
        Err(problem) => {
            return warn!(event = "reload refused", problem = %problem);
        }
    };
    let fixed = old.fixed(&new);
    for field in &fixed {
        warn!(event = "reload", field, "reload {field}: changed, waits for the next start");
    }
    let news = if new.board.is_some() || new.known == old.known {
        shared.board.borrow_mut().known(&new.known)
    } else {
        // A list without a board has no numbers: it is taken as a whole.
        Board::new(old.names.clone(), &new.known).1
    };
    // Titles name classes of the settings that they came with.
    if !fixed.contains(&"settings") {
        shared.node.borrow_mut().reload(&new);
    }
    for news in news {
        files::hear(shared, Source::Board, news);
    }
    if new.servers != old.servers {
        files::hear(shared, Source::Fixed, whole(new.servers.clone()));
    }
    if shared.board_at.replace(new.board) != new.board {
        shared.board_moved.ring();
    }
    (old.board, old.known, old.servers) = (new.board, new.known, new.servers);
    info!(event = "reloaded", last = shared.board.borrow().last());
}

/// Hears the signals as long as the program runs: SIGHUP reloads, the first of the others rings to stop.
async fn signals(
    shared: Handle,
    mut signals: Signals,
    mut config: Config,
    reread: impl Fn() -> Result<Config, Findings>,
    files: Option<Rc<RefCell<files::Files>>>,
    quorum: Option<Rc<quorum::Quorum>>,
    stop: Rc<Bell>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                reload(&shared, &mut config, reread());
                files.iter().for_each(files::ask);
            }
            other => {
                // Tests fail from the moment that the log tells of it.
                shared.node.borrow_mut().stop();
                info!(event = "stopping", signal = ?other);
                // Duties go to others at once, before anything else is waited for.
                quorum.iter().for_each(|quorum| quorum.drain());
                stop.ring();
            }
        }
    }
}

/// One call to the registry, on a connection of its own.
async fn call(shared: &Handle, registry: &mut Eureka, call: Call) {
    let address = registry.address();
    let work = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.write_all(&registry.request(call)).await?;
        let (mut reader, mut body, mut buffer) = (client::Reader::default(), Vec::new(), vec![0; 16 * 1024]);
        loop {
            let n = stream.read(&mut buffer).await?;
            let fed = reader.feed(&buffer[..n], &mut body);
            fed.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            match reader.status() {
                Some(status) if reader.done(n == 0) => return Ok((status, body)),
                _ if n == 0 || body.len() > eureka::LONGEST => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                _ => {}
            }
        }
    };
    let reply = within(CALL, work).await;
    if let Err(error) = &reply {
        warn!(event = "end", peer = %format_args!("eureka:{address}"), reason = code(error), call = ?call);
    }
    let reply = reply.as_ref().ok().map(|(status, body)| (*status, body.as_slice()));
    if let Some(news) = registry.replied(shared.now(), call, reply) {
        files::hear(shared, Source::Registry, news);
    }
}

/// Takes part in the registry until the bell rings, then leaves it.
async fn take_part(shared: Handle, mut registry: Eureka, leave: Rc<Bell>) {
    loop {
        match registry.next(shared.now()) {
            Ok(due) => call(&shared, &mut registry, due).await,
            Err(at) => {
                let wait = async {
                    Timer::after(micros(at - shared.now())).await;
                    false
                };
                let left = async {
                    leave.heard().await;
                    true
                };
                if future::or(left, wait).await {
                    break;
                }
            }
        }
    }
    if registry.registered() {
        call(&shared, &mut registry, Call::Deregister).await;
    }
}

/// Tells the quorum what the node counts.
async fn count(shared: Handle, quorum: Rc<quorum::Quorum>) {
    loop {
        let counts = shared.node.borrow().counts();
        quorum.count(counts);
        Timer::after(COUNTED).await;
    }
}

/// Serves until it is told to stop. `trace` lines a second at most tell of requests in the log; `reread` gives the
/// configuration anew when that is asked for.
pub fn run(
    config: &Config,
    trace: u32,
    reread: impl Fn() -> Result<Config, Findings> + 'static,
) -> io::Result<()> {
    let heard = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (board, known) = Board::new(config.names.clone(), &config.known);
    let shared = Shared::new(config, board);
    shared.node.borrow_mut().trace(trace);
    let watched = config.watch.clone().map(|setup| files::start(&shared, config, setup));
    if !config.servers.is_empty() {
        files::hear(&shared, Source::Fixed, whole(config.servers.clone()));
    }
    for news in known {
        files::hear(&shared, Source::Board, news);
    }
    shared.executor.spawn(files::keep(shared.clone(), watched.clone())).detach();
    shared.executor.spawn(follow(shared.clone())).detach();
    // A third for viewers is the platform's share; the rest is for servers and what is closing.
    let most = config.sockets / 2;
    let mut fronts = Vec::new();
    let whip = config.whip.as_ref().map(|w| w.listen);
    for (address, front) in [(config.listen, Front::Platform), (whip, Front::Whip)] {
        let Some(address) = address else { continue };
        let field = if front == Front::Whip { "whip.listen" } else { "listen" };
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|e| io::Error::new(e.kind(), format!("{field}: can't listen on {address}: {e}")))?;
        let (name, address, front_name) = (&config.name, listener.get_ref().local_addr()?, front.name());
        info!(
            event = "listens",
            name = name.as_str(),
            address = %address,
            front = front_name,
            "{name} listens on {address} for {front_name}"
        );
        fronts.push(shared.executor.spawn(accept(shared.clone(), listener, front, most)));
    }
    let leave = Rc::new(Bell::default());
    let registry = config.eureka.clone().map(|setup| {
        let registry = Eureka::new(setup, config.names.clone());
        shared.executor.spawn(take_part(shared.clone(), registry, leave.clone()))
    });
    shared.executor.spawn(keep_time(shared.clone())).detach();
    let stopping = Rc::new(Bell::default());
    let incarnation = Incarnation(unix().0);
    let setup = config.quorum.as_ref();
    let told = shared.clone();
    let paced = move |fronts: Fronts| {
        step(&told, |node, now, out| node.fronts(now, fronts.count, fronts.place, out));
    };
    let told = shared.clone();
    let ruled = move |standing: Standing| {
        step(&told, |node, now, out| node.ruled(now, standing, out));
    };
    let quorum = setup
        .map(|setup| quorum::start(&shared.executor, setup, incarnation, Box::new(paced), Box::new(ruled)))
        .transpose()?;
    if let Some(quorum) = &quorum {
        shared.executor.spawn(count(shared.clone(), quorum.clone())).detach();
    }
    let signals = signals(shared.clone(), heard, config.clone(), reread, watched, quorum, stopping.clone());
    shared.executor.spawn(signals).detach();
    let stop = async {
        stopping.heard().await;
        let asked = shared.now();
        leave.ring();
        Timer::after(micros(STILL_COMING)).await;
        drop(fronts);
        // What was taken is answered; sessions that play end with this broker, so it stays up for them.
        let answers_by = asked + STILL_COMING + longest_deadline(&config.settings);
        loop {
            let (unanswered, standing) = shared.node.borrow().held();
            let now = shared.now();
            let lingers = standing > 0 && now < asked + LINGER;
            if !lingers && (unanswered == 0 || now > answers_by + STILL_COMING) {
                break;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        if let Some(registry) = registry {
            registry.await;
        }
        step(&shared, |node, now, out| node.end(now, out));
        // Last words are still on their way out; ends that are told over HTTP are waited for.
        let ended = shared.now();
        Timer::after(Duration::from_millis(50)).await;
        while shared.node.borrow().ending() > 0 && shared.now() < ended + LAST_ENDS {
            Timer::after(Duration::from_millis(20)).await;
        }
        info!(event = "stopped");
    };
    async_io::block_on(shared.executor.run(stop));
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Seen on a day with bad clients: a message of 60 MB was read to its end, past the limit on memory, as the
    /// reader left its own writer no turn to end the connection.
    #[test]
    fn a_message_that_never_ends_is_cut_off_after_a_turn_or_two() {
        let settings = include_str!("../../deploy/operator.toml");
        let config = Config::read(&toml::from_str(settings).unwrap()).unwrap();
        let shared = Shared::new(&config, Board::new(config.names.clone(), &serde_json::Value::Null).0);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        peer.set_nonblocking(true).unwrap();
        let mut sent = 0;
        while let Ok(n) = peer.write(&[b'x'; TURN]) {
            sent += n;
        }
        assert!(sent > 8 * TURN);
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let outbox = Rc::new(Outbox::new(outbox::CLIENTS_BYTES));
        let conn = step(&shared, |node, _, _| node.number());
        shared.boxes.borrow_mut().insert(conn, outbox.clone());
        step(&shared, |node, now, out| node.accepted(now, conn, Front::Platform, out));
        assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox)), "too-large");
        let (mut rest, mut left) = (0, vec![0; TURN]);
        while let Ok(n) = stream.get_ref().read(&mut left) {
            rest += n;
        }
        assert!(sent - rest <= 3 * TURN, "{} of {sent} bytes read", sent - rest);
    }

    /// Guards against a close that destroys what the peer wrote before it saw it, such as the end of a session.
    #[test]
    fn what_a_peer_writes_until_it_closes_too_is_heard_on_a_connection_that_is_left() {
        let settings = include_str!("../../deploy/operator.toml");
        let config = Config::read(&toml::from_str(settings).unwrap()).unwrap();
        let shared = Shared::new(&config, Board::new(config.names.clone(), &serde_json::Value::Null).0);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let outbox = Rc::new(Outbox::new(outbox::CLIENTS_BYTES));
        let conn = step(&shared, |node, _, _| node.number());
        shared.boxes.borrow_mut().insert(conn, outbox.clone());
        step(&shared, |node, now, out| node.accepted(now, conn, Front::Platform, out));
        let class = config.names.classes[0].clone();
        let last_words = std::thread::spawn(move || {
            assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0, "it is told of the end first");
            let fields = serde_json::json!({"class": class, "left": 500, "key": "k", "extras": "home:0;copies:1;top:0"});
            let id = "9b1f03aa5c7e2d41";
            let line = serde_json::json!({"type": "setup", "id": id, "sdp": "offer", "fields": fields});
            peer.write_all(format!("{line}\n").as_bytes()).unwrap();
        });
        outbox.leave("replaced");
        assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox)), "replaced");
        drop(stream);
        last_words.join().unwrap();
        assert_eq!(shared.node.borrow().held(), (1, 0), "the last words were heard");
    }

    #[test]
    fn time_goes_on_when_the_clock_is_set_back() {
        let clock = Clock::default();
        assert_eq!(clock.read(Micros(9_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(8_999_999_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_500)), Micros(9_000_000_500));
    }
}
