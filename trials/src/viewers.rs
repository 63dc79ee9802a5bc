//! Viewers, and the boxes that serve them: each asks one broker again and again, for a clip and for a paid show in
//! turn, and counts what it was answered. A broker that serves answers each request once, whatever becomes of the
//! quorum.

use std::collections::BTreeSet;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amberspindle_conformance::media::{Does, Media};
use serde::{Deserialize, Serialize};

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

/// Media servers that stand in for the boxes.
pub struct Boxes {
    servers: Vec<Media>,
    /// Those that drain, from 1.
    pub drained: BTreeSet<usize>,
    revision: u64,
}

/// Boxes of a trial.
const BOXES: usize = 3;

impl Boxes {
    /// Starts them.
    pub fn start() -> Boxes {
        let servers = (0..BOXES).map(|_| Media::start(Does::Answers)).collect();
        Boxes { servers, drained: BTreeSet::new(), revision: 0 }
    }

    /// Puts the list as it stands, sealed by the program, in place of the file, in one step.
    pub fn write_list(&mut self, program: &Path, path: &Path) -> std::io::Result<()> {
        self.revision += 1;
        let mut text = format!("revision = {}\n", self.revision);
        for (i, server) in self.servers.iter().enumerate() {
            let state = if self.drained.contains(&(i + 1)) { "draining" } else { "ready" };
            let url = server.url();
            text += &format!(
                "[[server]]\nid = \"box-{}\"\nurl = \"{url}\"\ncell = {i}\nkind = \"box\"\nstate = \"{state}\"\n",
                i + 1
            );
        }
        let folder = path.with_extension("new");
        std::fs::create_dir_all(&folder)?;
        let new = folder.join(path.file_name().unwrap_or_default());
        std::fs::write(&new, text)?;
        let sealed = Command::new(program).args(["broker", "seal"]).arg(&new).output()?;
        if !sealed.status.success() {
            return Err(std::io::Error::other(String::from_utf8_lossy(&sealed.stderr).into_owned()));
        }
        std::fs::rename(new, path)
    }

    /// The offers that each was asked to set up, in order.
    pub fn seen(&self) -> Vec<Vec<String>> {
        let offers = |server: &Media| {
            let seen = server.seen.0.lock().unwrap_or_else(PoisonError::into_inner);
            seen.posts.iter().map(|(_, offer)| offer.clone()).collect()
        };
        self.servers.iter().map(offers).collect()
    }
}

/// A request of a viewer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// What its offer is known by.
    pub tag: String,
    /// It is paid: set up once.
    pub paid: bool,
    /// Boxes that the broker had heard to drain before it was asked.
    pub drained: BTreeSet<usize>,
}

/// One viewer.
pub struct Viewer {
    /// What it counted.
    pub counts: Arc<Counts>,
    /// What it asked for.
    pub asked: Arc<Mutex<Vec<Asked>>>,
    /// Where its broker listens; none while that is not served.
    pub at: Arc<Mutex<Option<SocketAddr>>>,
    /// Boxes that its broker has heard to drain.
    pub drained: Arc<Mutex<BTreeSet<usize>>>,
    /// It grows whenever the broker is stopped, continued, killed or started.
    pub disturbed: Arc<AtomicU64>,
    /// Its broker is stopped: nobody is asked who can't answer.
    pub paused: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Viewer {
    /// Begins to ask, under a number of its own.
    pub fn start(number: usize) -> Viewer {
        let (counts, at, disturbed, over) =
            <(Arc<Counts>, Arc<Mutex<_>>, Arc<AtomicU64>, Arc<AtomicBool>)>::default();
        let (asked, drained) = <(Arc<Mutex<Vec<Asked>>>, Arc<Mutex<BTreeSet<usize>>>)>::default();
        let paused = Arc::new(AtomicBool::new(false));
        let shared = (counts.clone(), at.clone(), disturbed.clone(), over.clone(), paused.clone());
        let told = (asked.clone(), drained.clone());
        let thread = Some(std::thread::spawn(move || {
            let (counts, at, disturbed, over, paused) = shared;
            let (asked, drained) = told;
            for n in 0u64.. {
                if over.load(Ordering::SeqCst) {
                    break;
                }
                std::thread::sleep(PAUSE);
                if paused.load(Ordering::SeqCst) {
                    continue;
                }
                let Some(address) = *at.lock().unwrap_or_else(PoisonError::into_inner) else { continue };
                let before = disturbed.load(Ordering::SeqCst);
                let drained = drained.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let request = Asked { tag: format!("viewer-{number}-{n}"), paid: n % 2 == 0, drained };
                let (tag, paid) = (request.tag.clone(), request.paid);
                asked.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                counts.asked.fetch_add(1, Ordering::SeqCst);
                let answers = ask(address, &tag, paid);
                let undisturbed = disturbed.load(Ordering::SeqCst) == before;
                let count = match (answers, undisturbed) {
                    (Some(1), _) => &counts.answered,
                    (_, false) => &counts.excused,
                    (_, true) => &counts.wrong,
                };
                count.fetch_add(1, Ordering::SeqCst);
            }
        }));
        Viewer { counts, asked, at, drained, disturbed, paused, over, thread }
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

/// Asks once; how many answers came until the broker closed the connection. What was set up is ended again.
pub fn ask(address: SocketAddr, tag: &str, paid: bool) -> Option<usize> {
    let path = if paid { format!("/whep/show/bookings/{tag}") } else { "/whep/guide".to_owned() };
    let offer = format!("v=0\r\no={tag} 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n");
    let text = exchange(address, "POST", &path, &offer)?;
    let place = text.lines().find_map(|l| l.strip_prefix("Location: "));
    if let Some(place) = place {
        exchange(address, "DELETE", place.trim(), "");
    }
    Some(text.matches("HTTP/1.1 ").count())
}

fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: trial\r\nConnection: close\r\nContent-Type: application/sdp"
    );
    let request = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
