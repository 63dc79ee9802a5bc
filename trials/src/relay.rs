//! Relays: every link between two processes runs through one, so that each direction can be held up, slowed, made to
//! lose what it is given, cut in the middle of a frame, or reset.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Between looks at whether a direction is held up.
const LOOK: Duration = Duration::from_millis(5);
/// The same while nothing comes: what comes after a cut is looked at before it goes on.
const IDLE: Duration = Duration::from_millis(50);

/// Where one process reaches another.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// What becomes of bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// They go on.
    #[default]
    Open,
    /// They are held up, and go on once the way is open again.
    Held,
    /// They are lost, and with them the connection, once the way is open again: the sender can't know before.
    Lost,
    /// The first part of the next piece goes on, then the connection is reset.
    Half,
    /// Each piece waits for so long.
    Slow(Duration),
}

struct State {
    target: Mutex<Option<SocketAddr>>,
    /// What becomes of what the caller says, and of what the called says.
    forth: Mutex<Way>,
    back: Mutex<Way>,
    /// Connections of an earlier number are reset.
    number: AtomicU64,
    over: AtomicBool,
}

impl Relay {
    /// A relay that leads nowhere yet.
    pub fn start() -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let state = Arc::new(State {
            target: Mutex::new(None),
            forth: Mutex::default(),
            back: Mutex::default(),
            number: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let of_thread = state.clone();
        std::thread::spawn(move || accept(&listener, &of_thread));
        Ok(Relay { address, state })
    }

    /// Leads to an address from now on.
    pub fn lead_to(&self, address: Option<SocketAddr>) {
        *self.state.target.lock().unwrap_or_else(|e| e.into_inner()) = address;
    }

    /// What becomes of what the caller says from now on.
    pub fn forth(&self, way: Way) {
        *self.state.forth.lock().unwrap_or_else(|e| e.into_inner()) = way;
    }

    /// What becomes of what the called says from now on.
    pub fn back(&self, way: Way) {
        *self.state.back.lock().unwrap_or_else(|e| e.into_inner()) = way;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.state.number.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends it.
    pub fn end(&self) {
        self.state.over.store(true, Ordering::SeqCst);
        self.reset();
    }
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    while !state.over.load(Ordering::SeqCst) {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(LOOK);
            continue;
        };
        let target = *state.target.lock().unwrap_or_else(|e| e.into_inner());
        let Some(far) = target.and_then(|t| TcpStream::connect(t).ok()) else { continue };
        let number = state.number.load(Ordering::SeqCst);
        for (from, to, forth) in [(&near, &far, true), (&far, &near, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let state = state.clone();
            std::thread::spawn(move || pump(from, to, forth, number, &state));
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, forth: bool, number: u64, state: &State) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(IDLE));
    let _ = to.set_nodelay(true);
    let way = || *if forth { &state.forth } else { &state.back }.lock().unwrap_or_else(|e| e.into_inner());
    let mut bytes = [0; 16 * 1024];
    let mut lost = false;
    while state.number.load(Ordering::SeqCst) == number {
        let now = way();
        // Bytes are missing here: nothing that comes behind them may follow.
        if now == Way::Held || (lost && now != Way::Lost) {
            if lost {
                break;
            }
            std::thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => {
                // What was read as the cut began is held up too.
                while way() == Way::Held && state.number.load(Ordering::SeqCst) == number {
                    std::thread::sleep(LOOK);
                }
                let part = match way() {
                    Way::Half => n / 2,
                    _ => n,
                };
                if let Way::Slow(wait) = way() {
                    std::thread::sleep(wait);
                }
                if way() == Way::Lost {
                    lost = true;
                    continue;
                }
                if state.number.load(Ordering::SeqCst) != number
                    || to.write_all(&bytes[..part]).is_err()
                    || part < n
                {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
