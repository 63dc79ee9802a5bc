//! The console address: each connection is read until its call is complete, answered, and closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Read as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use tracing::{info, warn};

use super::conns::{WRITE_TIMEOUT, discard_input};
use super::outbox::Notify;
use super::reading::{error_code, with_timeout};
use super::room::ROOM_POLL_INTERVAL;
use super::{Handle, step, to_duration};
use crate::operate::console::{BadCall, CALL_TIMEOUT, Call, CallReader, CallerId, Callers};

/// The time between checks whether a console connection has freed its descriptor.
const DESCRIPTOR_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The callers whose call is incomplete, each with the notification that evicts it.
struct CallerTable {
    callers: Callers,
    evictions: BTreeMap<CallerId, Rc<Notify>>,
}

/// Reads until a call is complete.
async fn read_call(shared: &Handle, stream: &Async<TcpStream>) -> Result<Call, BadCall> {
    let mut line = CallReader::default();
    loop {
        let read = stream.read_with(|mut s| {
            let mut buffer = shared.read_buffer.borrow_mut();
            s.read(&mut buffer).map(|n| (n, line.feed(&buffer[..n])))
        });
        match read.await {
            Ok((_, Some(call))) => return call,
            Ok((0, None)) | Err(_) => return Err(BadCall::Unfinished),
            Ok((_, None)) => {}
        }
    }
}

/// Reads one caller's call, answers it and closes the connection.
async fn serve_caller(
    shared: Handle,
    table: Rc<RefCell<CallerTable>>,
    stream: Async<TcpStream>,
    id: CallerId,
    evicted: Rc<Notify>,
) {
    let evicted_call = async {
        evicted.notified().await;
        Err(BadCall::NoRoom)
    };
    let late_call = async {
        Timer::after(to_duration(CALL_TIMEOUT)).await;
        Err(BadCall::TooLate)
    };
    let call = future::or(read_call(&shared, &stream), future::or(evicted_call, late_call)).await;
    {
        let mut table = table.borrow_mut();
        table.callers.remove(id);
        table.evictions.remove(&id);
    }
    let answer = step(&shared, |node, now, _| node.call(now, call));
    match call {
        Ok(Call::Check | Call::Vars) => {}
        Ok(call) => info!(event = "console", call = ?call, answer = answer.trim_end()),
        Err(reason) => info!(event = "console", reason = %reason),
    }
    let mut writer = &stream;
    if with_timeout(WRITE_TIMEOUT, writer.write_all(answer.as_bytes())).await.is_err() {
        return;
    }
    // Closing a socket with unread input would reset the connection and destroy the answer.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    discard_input(&shared, &stream).await;
}

/// Accepts and serves callers for as long as the process runs.
pub(super) async fn serve_console(shared: Handle, listener: Async<TcpListener>) {
    let table = Rc::new(RefCell::new(CallerTable {
        callers: Callers::new(shared.budget.console / 2),
        evictions: BTreeMap::new(),
    }));
    let connection_count = Rc::new(Cell::new(0));
    loop {
        // A connection that was answered holds its descriptor until the caller has closed it too.
        while connection_count.get() >= shared.budget.console {
            Timer::after(DESCRIPTOR_POLL_INTERVAL).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept failed", front = "console", reason = error_code(&error));
                Timer::after(ROOM_POLL_INTERVAL).await;
                continue;
            }
        };
        let evicted = Rc::new(Notify::default());
        let id = {
            let mut table = table.borrow_mut();
            let (id, oldest) = table.callers.admit();
            if let Some(evicted) = oldest.and_then(|oldest| table.evictions.remove(&oldest)) {
                evicted.notify();
            }
            table.evictions.insert(id, evicted.clone());
            id
        };
        connection_count.set(connection_count.get() + 1);
        let (handle, table, connection_count) = (shared.clone(), table.clone(), connection_count.clone());
        let serve = async move {
            serve_caller(handle, table, stream, id, evicted).await;
            connection_count.set(connection_count.get() - 1);
        };
        shared.executor.spawn(serve).detach();
        // The caller may have written already: its task runs before the next connection is accepted.
        future::yield_now().await;
    }
}
