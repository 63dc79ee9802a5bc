//! Clients that ask for one session after the other, each on a connection of its own, and what they hear.

use std::io::{BufRead, BufReader, ErrorKind};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde_json::Value;

use super::send_set_up;
use super::versions::Platform;

/// Clients that ask at the same time.
const CLIENTS: u64 = 3;

pub fn ms(rng: &mut Rng, span: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(span))
}

/// What a client hears in the end of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Answer,
    Release,
    /// Its connection ended without a word.
    Nothing,
    /// Its connection ended within a message.
    Torn,
    /// Neither a word nor an end came for as long as clients are patient.
    Silence,
}

/// What came of one request.
pub struct Request {
    pub id: u64,
    pub connected: Instant,
    pub said: Final,
    /// Further final answers.
    pub further: usize,
}

fn next_final(lines: &mut BufReader<TcpStream>, id: u64) -> Final {
    let mut text = String::new();
    loop {
        text.clear();
        match lines.read_line(&mut text) {
            Ok(0) => return Final::Nothing,
            Ok(_) if !text.ends_with('\n') => return Final::Torn,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return Final::Nothing,
            Err(_) => return Final::Silence,
        }
        let line: Value = serde_json::from_str(&text).unwrap();
        match line["type"].as_str() {
            _ if line["id"] != format!("{id:016x}") => {}
            Some("answer") => return Final::Answer,
            Some("release") => return Final::Release,
            _ => {}
        }
    }
}

/// Asks for one session, and hears what is said until the connection ends or a short while behind the answer.
pub fn ask_once(platform: &Platform, id: u64, stay: Duration) -> Request {
    let mut stream = platform.connect();
    let connected = Instant::now();
    let class = if id.is_multiple_of(2) { "paid" } else { "clip" };
    send_set_up(&mut stream, id, class, 50_000, &format!("offer {id}"));
    let mut lines = BufReader::new(stream);
    let said = next_final(&mut lines, id);
    lines.get_ref().set_read_timeout(Some(stay)).unwrap();
    let more = std::iter::from_fn(|| Some(next_final(&mut lines, id)));
    let further = more.take_while(|said| matches!(said, Final::Answer | Final::Release)).count();
    Request { id, connected, said, further }
}

/// Clients that keep asking.
pub struct Load {
    goes_on: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Request>>>,
}

impl Load {
    pub fn start(platform: &Arc<Platform>, seed: u64) -> Load {
        let (goes_on, next) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicU64::new(1000)));
        let client = |n: u64| {
            let (platform, goes_on, next) = (platform.clone(), goes_on.clone(), next.clone());
            std::thread::spawn(move || {
                let (mut rng, mut asked) = (Rng::with_seed(seed ^ (n << 32)), Vec::new());
                while goes_on.load(Ordering::Relaxed) {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    asked.push(ask_once(&platform, id, ms(&mut rng, 1..40)));
                }
                asked
            })
        };
        let clients = (0..CLIENTS).map(client).collect();
        Load { goes_on, clients }
    }

    pub fn end(self) -> Vec<Request> {
        self.goes_on.store(false, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
    }
}
