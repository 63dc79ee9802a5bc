//! The Unix socket at which a process finds the one before it, and the exchange of messages between the two.

use std::io::{self, Read as _, Write as _};
use std::os::unix::fs::{MetadataExt as _, PermissionsExt as _};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::future;
use tracing::{info, warn};

use super::{Handover, RETRY_INTERVAL};
use crate::net::Handle;
use crate::net::conns::WRITE_TIMEOUT;
use crate::net::outbox::Outbox;
use crate::net::reading::{READ_BUFFER_BYTES, error_code, with_timeout};
use crate::operate::handover::giver::TakeoverConn;
use crate::operate::handover::{Message, MessageReader};

/// Returns the path of the socket at which the processes of one broker meet. The broker's name in it is limited to 24
/// characters, as the system limits the length of a socket's path; a digest keeps the path unique.
pub(in crate::net) fn socket_path(folder: &Path, name: &str) -> PathBuf {
    let safe_char = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    let digest = blake3::hash(name.as_bytes()).to_hex();
    let name: String = name.chars().map(safe_char).take(24).collect();
    folder.join(format!("as-{name}-{}.sock", &digest[..8]))
}

/// Connects to the process that listens on the socket. Returns `None` if no process listens there, and an error if one
/// does but can't be reached now, such as a stopped process with a full accept queue.
pub(super) async fn try_connect(path: &Path) -> io::Result<Option<Async<UnixStream>>> {
    match with_timeout(WRITE_TIMEOUT, Async::<UnixStream>::connect(path)).await {
        Ok(stream) => Ok(Some(stream)),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Err(e),
        Err(_) => Ok(None),
    }
}

/// The identity of a file, whatever its name: its device and inode numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileId(u64, u64);

impl FileId {
    pub(super) fn of(path: &Path) -> io::Result<FileId> {
        std::fs::metadata(path).map(|metadata| FileId(metadata.dev(), metadata.ino()))
    }
}

/// Reads and writes messages until the connection ends. Returns the reason code of its end. Messages that can't be
/// parsed are ignored and the connection stays open, as its end is the sign that the other process has ended.
pub(super) async fn exchange_messages(
    stream: &Async<UnixStream>,
    outbox: &Outbox,
    mut handle: impl FnMut(Message),
) -> &'static str {
    let read = async {
        let (mut reader, mut buffer) = (MessageReader::default(), vec![0; READ_BUFFER_BYTES]);
        loop {
            match stream.read_with(|mut s| s.read(&mut buffer)).await {
                Ok(0) => return "end-of-stream",
                Ok(n) => reader.feed(&buffer[..n]).into_iter().for_each(&mut handle),
                Err(error) => return error_code(&error),
            }
            future::yield_now().await;
        }
    };
    let write = async {
        while outbox.ready().await.is_none() {
            let write = stream.write_with(|mut s| outbox.write_queued(|slices| s.write_vectored(slices)));
            match write.await {
                Ok(n) => drop(outbox.advance(n)),
                Err(error) => return error_code(&error),
            }
        }
        "overflow"
    };
    future::or(write, read).await
}

/// Listens on the socket, where the next process asks to take over. The socket is bound under another name and
/// renamed, so that a process that connects meantime reaches either the old process or this one.
pub(super) fn listen(shared: &Handle, handover: &Rc<Handover>) {
    let path = &handover.socket_path;
    let own_path = path.with_extension(format!("{}", std::process::id()));
    let bind = || -> io::Result<(Async<UnixListener>, FileId)> {
        match std::fs::remove_file(&own_path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = Async::<UnixListener>::bind(&own_path)?;
        std::fs::set_permissions(&own_path, std::fs::Permissions::from_mode(0o600))?;
        let id = FileId::of(&own_path)?;
        std::fs::rename(&own_path, path)?;
        Ok((listener, id))
    };
    match bind() {
        Ok((listener, id)) => {
            handover.own_socket.set(Some(id));
            let task = shared.executor.spawn(accept_takeovers(shared.clone(), handover.clone(), listener));
            *handover.accept_task.borrow_mut() = Some(task);
        }
        Err(error) => warn!(event = "no hand-over", path = %path.display(), reason = %error),
    }
}

/// Serves the processes that ask to take over. This goes on after this process has yielded, so that a process that
/// asks finds one at the socket until the successor listens there.
async fn accept_takeovers(shared: Handle, handover: Rc<Handover>, listener: Async<UnixListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept failed", front = "hand-over", reason = error_code(&error));
                Timer::after(RETRY_INTERVAL).await;
                continue;
            }
        };
        handover.last_takeover.set(handover.last_takeover.get() + 1);
        let (takeover, outbox) =
            (TakeoverConn(handover.last_takeover.get()), Rc::new(Outbox::new(&shared.queue_limits.servers)));
        handover.takeovers.borrow_mut().insert(takeover, outbox.clone());
        let (shared, handover) = (shared.clone(), handover.clone());
        let executor = shared.executor.clone();
        let exchange = async move {
            let handle = |message| {
                handover.as_predecessor(&shared, |predecessor, out| {
                    predecessor.handle_message(takeover, &message, out)
                })
            };
            let reason = exchange_messages(&stream, &outbox, handle).await;
            handover.takeovers.borrow_mut().remove(&takeover);
            info!(event = "end", peer = "new process", reason);
            handover.as_predecessor(&shared, |predecessor, out| predecessor.connection_ended(takeover, out));
        };
        executor.spawn(exchange).detach();
    }
}
