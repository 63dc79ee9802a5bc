//! The second address: callers' connections, each read until its call is whole, answered and ended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Read as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use tracing::{info, warn};

use super::conns::{STALLED, read_out};
use super::outbox::Bell;
use super::reading::{code, within};
use super::room::ROOM;
use super::{Handle, micros, step};
use crate::operate::console::{BadCall, CALL_TIMEOUT, Call, CallReader, CallerId, Callers};

/// Time between looks for a descriptor that is free again.
const LOOK: Duration = Duration::from_millis(5);

/// Who is connected, each with the bell that ends its wait.
struct Table {
    callers: Callers,
    bells: BTreeMap<CallerId, Rc<Bell>>,
}

/// Reads until a call is whole.
async fn call(shared: &Handle, stream: &Async<TcpStream>) -> Result<Call, BadCall> {
    let mut line = CallReader::default();
    loop {
        let read = stream.read_with(|mut s| {
            let mut buffer = shared.buffer.borrow_mut();
            s.read(&mut buffer).map(|n| (n, line.feed(&buffer[..n])))
        });
        match read.await {
            Ok((_, Some(call))) => return call,
            Ok((0, None)) | Err(_) => return Err(BadCall::Unfinished),
            Ok((_, None)) => {}
        }
    }
}

/// Answers one caller.
async fn caller(
    shared: Handle,
    table: Rc<RefCell<Table>>,
    stream: Async<TcpStream>,
    id: CallerId,
    bell: Rc<Bell>,
) {
    let no_room = async {
        bell.heard().await;
        Err(BadCall::NoRoom)
    };
    let too_late = async {
        Timer::after(micros(CALL_TIMEOUT)).await;
        Err(BadCall::TooLate)
    };
    let call = future::or(call(&shared, &stream), future::or(no_room, too_late)).await;
    {
        let mut table = table.borrow_mut();
        table.callers.remove(id);
        table.bells.remove(&id);
    }
    let answer = step(&shared, |node, now, _| node.call(now, call));
    match call {
        Ok(Call::Check | Call::Vars) => {}
        Ok(call) => info!(event = "console", call = ?call, answer = answer.trim_end()),
        Err(reason) => info!(event = "console", reason = %reason),
    }
    let mut writer = &stream;
    if within(STALLED, writer.write_all(answer.as_bytes())).await.is_err() {
        return;
    }
    // Closing a socket with unread input would reset the connection, and the answer with it.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    read_out(&shared, &stream).await;
}

/// Lets callers in as long as the program runs.
pub(super) async fn console(shared: Handle, listener: Async<TcpListener>) {
    let table = Rc::new(RefCell::new(Table {
        callers: Callers::new(shared.budget.callers / 2),
        bells: BTreeMap::new(),
    }));
    let open = Rc::new(Cell::new(0));
    loop {
        // Those that were answered hold their descriptor until they have closed too.
        while open.get() >= shared.budget.callers {
            Timer::after(LOOK).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept failed", front = "console", reason = code(&error));
                Timer::after(ROOM).await;
                continue;
            }
        };
        let bell = Rc::new(Bell::default());
        let id = {
            let mut table = table.borrow_mut();
            let (id, oldest) = table.callers.admit();
            if let Some(bell) = oldest.and_then(|oldest| table.bells.remove(&oldest)) {
                bell.ring();
            }
            table.bells.insert(id, bell.clone());
            id
        };
        open.set(open.get() + 1);
        let (shared_too, table, open) = (shared.clone(), table.clone(), open.clone());
        let answered = async move {
            caller(shared_too, table, stream, id, bell).await;
            open.set(open.get() - 1);
        };
        shared.executor.spawn(answered).detach();
        // It may have written already: it has its turn before the next one comes.
        future::yield_now().await;
    }
}
