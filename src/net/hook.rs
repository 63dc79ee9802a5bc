//! The thread that runs the operator's script. The serving thread hands calls to it and never waits for it.

use std::cell::{Cell, RefCell};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use tracing::warn;

use super::outbox::Notify;
use super::{Handle, step};
use crate::hook::{Call, CallLimits, CallNumber, HookError, Reply, Script};

/// How long a new script may take until it is compiled.
const LOAD_TIMEOUT: Duration = Duration::from_millis(250);

/// The channels of a script's thread. The thread ends once they are dropped, at the end of its current call.
pub(super) struct ScriptThread {
    calls: mpsc::Sender<(CallNumber, Call)>,
    replies: async_channel::Receiver<(CallNumber, Reply)>,
}

/// The script in use, and the scripts that are being loaded.
#[derive(Default)]
pub(super) struct ScriptSlot {
    calls: RefCell<Option<mpsc::Sender<(CallNumber, Call)>>>,
    /// The number of scripts that were begun to load so far.
    begun_loads: Cell<u64>,
    /// The number of loads that have ended.
    ended_loads: Cell<u64>,
    /// The load whose script is in use: one that was begun earlier no longer counts.
    load_in_use: Cell<u64>,
    load_ended: Notify,
}

impl ScriptSlot {
    /// Waits until no script is being loaded.
    pub(super) async fn all_loaded(&self) {
        while self.ended_loads.get() < self.begun_loads.get() {
            self.load_ended.notified().await;
        }
    }

    fn begin_load(&self) -> u64 {
        self.begun_loads.set(self.begun_loads.get() + 1);
        self.begun_loads.get()
    }

    fn end_load(&self) {
        self.ended_loads.set(self.ended_loads.get() + 1);
        self.load_ended.notify();
    }

    /// Whether the script of a load may be put in use, as none that was begun later is.
    fn take_turn(&self, load: u64) -> bool {
        let is_newest = load > self.load_in_use.get();
        self.load_in_use.set(self.load_in_use.get().max(load));
        is_newest
    }
}

/// Compiles a script on a new thread. Returns once it can be called.
pub(super) async fn load(text: String, limits: CallLimits) -> Result<ScriptThread, HookError> {
    let (loaded, load_result) = async_channel::bounded(1);
    let (calls, call_receiver) = mpsc::channel();
    let (reply_sender, replies) = async_channel::unbounded();
    let run = move || {
        let script = Script::new(&text, limits);
        let result = script.as_ref().map(|_| ()).map_err(Clone::clone);
        // Nobody waits for the result any more after the timeout.
        let _ = loaded.send_blocking(result);
        if let Ok(script) = script {
            answer_calls(&script, &call_receiver, &reply_sender);
        }
    };
    let thread = thread::Builder::new().name("hook".to_owned()).stack_size(limits.stack_bytes());
    thread.spawn(run).map_err(|e| HookError(format!("no thread: {e}")))?;
    let result = async { load_result.recv().await.unwrap_or_else(|_| Err(stopped())) };
    let timeout = async {
        Timer::after(LOAD_TIMEOUT).await;
        Err(HookError("takes too long to load".to_owned()))
    };
    future::or(result, timeout).await?;
    Ok(ScriptThread { calls, replies })
}

fn stopped() -> HookError {
    HookError("its thread has ended".to_owned())
}

/// Answers calls until the first error, after which none is asked for, or until the serving thread has dropped its end
/// of a channel.
fn answer_calls(
    script: &Script,
    calls: &mpsc::Receiver<(CallNumber, Call)>,
    replies: &async_channel::Sender<(CallNumber, Reply)>,
) {
    while let Ok((number, call)) = calls.recv() {
        let reply = script.call(&call);
        let is_last = reply.is_err();
        if replies.send_blocking((number, reply)).is_err() || is_last {
            return;
        }
    }
}

/// Loads a script in the background and puts it in use in place of the one before, which stays if the new one can't be
/// loaded. Calls `loaded` once the new one is in use.
pub(super) fn replace(shared: &Handle, text: String, limits: CallLimits, loaded: impl FnOnce() + 'static) {
    let number = shared.script.begin_load();
    let handle = shared.clone();
    let task = async move {
        match load(text, limits).await {
            Ok(thread) => {
                if handle.script.take_turn(number) {
                    put_in_use(&handle, thread);
                    loaded();
                }
            }
            Err(error) => warn!(event = "hook refused", reason = %error),
        }
        handle.script.end_load();
    };
    shared.executor.spawn(task).detach();
}

/// Puts a loaded script in use.
pub(super) fn put_in_use(shared: &Handle, thread: ScriptThread) {
    let ScriptThread { calls, replies } = thread;
    *shared.script.calls.borrow_mut() = Some(calls);
    step(shared, |node, now, out| node.script_loaded(now, out));
    shared.executor.spawn(deliver_replies(shared.clone(), replies)).detach();
}

/// Hands calls to the script's thread. Without one they are dropped, and what waits for them goes on in time.
pub(super) fn hand_out(shared: &Handle, calls: Vec<(CallNumber, Call)>) {
    if calls.is_empty() {
        return;
    }
    if let Some(sender) = &*shared.script.calls.borrow() {
        for call in calls {
            // A thread that has ended is noticed by the end of its replies.
            let _ = sender.send(call);
        }
    }
}

/// Passes the replies of a script to the node, until its thread has ended.
async fn deliver_replies(shared: Handle, replies: async_channel::Receiver<(CallNumber, Reply)>) {
    while let Ok((number, reply)) = replies.recv().await {
        step(&shared, |node, now, out| node.script_replied(now, number, reply, out));
    }
}
