//! The meeting point: where a process finds the one before it, and the conversation of the two.

use std::io::{self, Read as _, Write as _};
use std::os::unix::fs::{MetadataExt as _, PermissionsExt as _};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::future;
use tracing::{info, warn};

use super::{AGAIN, Handover};
use crate::net::Handle;
use crate::net::conns::STALLED;
use crate::net::outbox::Outbox;
use crate::net::reading::{TURN, code, within};
use crate::operate::handover::giver::TakeoverConn;
use crate::operate::handover::{Message, MessageReader};

/// Where the processes of one broker meet. A path that the system can't take for a socket is made shorter.
pub(in crate::net) fn place(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    let mark = blake3::hash(name.as_bytes()).to_hex();
    let name: String = name.chars().map(plain).take(24).collect();
    folder.join(format!("as-{name}-{}.sock", &mark[..8]))
}

/// Connects to whoever is at the meeting point; none: nobody is. An error: somebody is there and can't be reached now,
/// as one that is stopped with a full queue.
pub(super) async fn reach(path: &Path) -> io::Result<Option<Async<UnixStream>>> {
    match within(STALLED, Async::<UnixStream>::connect(path)).await {
        Ok(stream) => Ok(Some(stream)),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Err(e),
        Err(_) => Ok(None),
    }
}

/// Which file a path leads to, whatever its name: the device and the number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileId(u64, u64);

impl FileId {
    pub(super) fn of(path: &Path) -> io::Result<FileId> {
        std::fs::metadata(path).map(|metadata| FileId(metadata.dev(), metadata.ino()))
    }
}

/// Reads and writes until the connection ends. What can't be read is not acted on, but the connection stays: its end
/// tells of the other process' end.
pub(super) async fn converse(
    stream: &Async<UnixStream>,
    outbox: &Outbox,
    mut hear: impl FnMut(Message),
) -> &'static str {
    let read = async {
        let (mut reader, mut buffer) = (MessageReader::default(), vec![0; TURN]);
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

/// Takes this process' place at the meeting point, where the next one asks. The name goes over in one step, so that
/// who asks meets either the old process or this one.
pub(super) fn listen(shared: &Handle, handover: &Rc<Handover>) {
    let path = &handover.path;
    let own = path.with_extension(format!("{}", std::process::id()));
    let bound = || -> io::Result<(Async<UnixListener>, FileId)> {
        match std::fs::remove_file(&own) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = Async::<UnixListener>::bind(&own)?;
        std::fs::set_permissions(&own, std::fs::Permissions::from_mode(0o600))?;
        let id = FileId::of(&own)?;
        std::fs::rename(&own, path)?;
        Ok((listener, id))
    };
    match bound() {
        Ok((listener, id)) => {
            handover.own_place.set(Some(id));
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
        let (suitor, outbox) =
            (TakeoverConn(handover.next.get()), Rc::new(Outbox::new(&shared.queues.servers)));
        handover.suitors.borrow_mut().insert(suitor, outbox.clone());
        let (shared, handover) = (shared.clone(), handover.clone());
        let executor = shared.executor.clone();
        let talk = async move {
            let hear = |message| {
                handover.as_giver(&shared, |giver, out| giver.handle_message(suitor, &message, out))
            };
            let reason = converse(&stream, &outbox, hear).await;
            handover.suitors.borrow_mut().remove(&suitor);
            info!(event = "end", peer = "new process", reason);
            handover.as_giver(&shared, |giver, out| giver.connection_ended(suitor, out));
        };
        executor.spawn(talk).detach();
    }
}
