//! Viewers: each asks one broker again and again, and counts what it was answered. A broker that serves answers
//! each request once, whatever becomes of the quorum.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Between two requests of one viewer.
const PAUSE: Duration = Duration::from_millis(20);
/// A request that is not answered by now is not answered: the class's deadline is 3 s.
const PATIENCE: Duration = Duration::from_secs(8);

/// What viewers counted at one broker.
#[derive(Default)]
pub struct Counts {
    /// Requests that were written whole.
    pub asked: AtomicU64,
    /// Those that got one answer.
    pub answered: AtomicU64,
    /// Those that got none though the broker ran throughout, or more than one.
    pub wrong: AtomicU64,
    /// Those that a stop, a kill or a restart of the broker fell into.
    pub excused: AtomicU64,
}

/// One viewer.
pub struct Viewer {
    /// What it counted.
    pub counts: Arc<Counts>,
    /// Where its broker listens; none while that is not served.
    pub at: Arc<Mutex<Option<SocketAddr>>>,
    /// It grows whenever the broker is stopped, continued, killed or started.
    pub disturbed: Arc<AtomicU64>,
    /// Its broker is stopped: nobody is asked who can't answer.
    pub paused: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Viewer {
    /// Begins to ask.
    pub fn start() -> Viewer {
        let (counts, at, disturbed, over) =
            <(Arc<Counts>, Arc<Mutex<_>>, Arc<AtomicU64>, Arc<AtomicBool>)>::default();
        let paused = Arc::new(AtomicBool::new(false));
        let shared = (counts.clone(), at.clone(), disturbed.clone(), over.clone(), paused.clone());
        let thread = Some(std::thread::spawn(move || {
            let (counts, at, disturbed, over, paused) = shared;
            while !over.load(Ordering::SeqCst) {
                std::thread::sleep(PAUSE);
                if paused.load(Ordering::SeqCst) {
                    continue;
                }
                let Some(address) = *at.lock().unwrap_or_else(PoisonError::into_inner) else { continue };
                let before = disturbed.load(Ordering::SeqCst);
                counts.asked.fetch_add(1, Ordering::SeqCst);
                let answers = ask(address);
                let undisturbed = disturbed.load(Ordering::SeqCst) == before;
                let count = match (answers, undisturbed) {
                    (Some(1), _) => &counts.answered,
                    (_, false) => &counts.excused,
                    (_, true) => &counts.wrong,
                };
                count.fetch_add(1, Ordering::SeqCst);
            }
        }));
        Viewer { counts, at, disturbed, paused, over, thread }
    }
}

impl Drop for Viewer {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Asks once; how many answers came until the broker closed the connection.
fn ask(address: SocketAddr) -> Option<usize> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let body = "v=0\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
    let head =
        "POST /whep/guide HTTP/1.1\r\nHost: trial\r\nConnection: close\r\nContent-Type: application/sdp";
    let request = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).matches("HTTP/1.1 ").count())
}
