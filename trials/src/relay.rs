//! Relays: every link between two processes runs through one, so that each direction can be held up or reset.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Between looks at whether a direction is held up.
const LOOK: Duration = Duration::from_millis(5);

/// Where one process reaches another.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: Mutex<Option<SocketAddr>>,
    /// What the caller says is held up.
    forth: AtomicBool,
    /// What the called says is held up.
    back: AtomicBool,
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
            forth: AtomicBool::new(false),
            back: AtomicBool::new(false),
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

    /// Holds up what the caller says, or no longer.
    pub fn hold_forth(&self, held: bool) {
        self.state.forth.store(held, Ordering::SeqCst);
    }

    /// Holds up what the called says, or no longer.
    pub fn hold_back(&self, held: bool) {
        self.state.back.store(held, Ordering::SeqCst);
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
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = to.set_nodelay(true);
    let held = || if forth { &state.forth } else { &state.back }.load(Ordering::SeqCst);
    let mut bytes = [0; 16 * 1024];
    loop {
        if state.number.load(Ordering::SeqCst) != number {
            break;
        }
        if held() {
            std::thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => {
                // What was read as the cut began is held up too.
                while held() && state.number.load(Ordering::SeqCst) == number {
                    std::thread::sleep(LOOK);
                }
                if state.number.load(Ordering::SeqCst) != number || to.write_all(&bytes[..n]).is_err() {
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
