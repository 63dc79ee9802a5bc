//! Handles signals: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the process.

use std::cell::RefCell;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use tracing::{info, warn};

use super::outbox::Notify;
use super::{Handle, files, hook, quorum, step};
use crate::api::ListKind;
use crate::board::BoardClient;
use crate::config::Config;
use crate::hook::{CallLimits, HookError};
use crate::operate::missing_key::missing_key;
use crate::records::{Bounds, Findings};
use crate::roster::{ListUpdate, ListedServer, SettingNames, Source};

/// Returns an update that replaces the whole server list.
pub(super) fn complete_list(servers: Vec<ListedServer>) -> ListUpdate {
    ListUpdate { kind: ListKind::Complete, servers }
}

/// Applies a new configuration. An invalid one is logged, and the old one stays in force.
async fn reload(shared: &Handle, old: &mut Config, config: Result<Config, Findings>) {
    let new = match config {
        Ok(new) => new,
        Err(problem) => {
            shared.node.borrow_mut().record_reload(false);
            return warn!(event = "reload refused", problem = %problem);
        }
    };
    // A file that lacks a field that the one in force has may be incomplete: nothing of it is applied.
    if let Some(field) = missing_key(&old.raw, &new.raw) {
        shared.node.borrow_mut().record_reload(false);
        return warn!(event = "reload refused", problem = %format_args!("{field}: missing, but set in the configuration in force"));
    }
    // The script is compiled on its own thread: this one serves meanwhile.
    let script = match load_script(&new).await {
        Ok(script) => script,
        Err(problem) => {
            shared.node.borrow_mut().record_reload(false);
            return warn!(event = "reload refused", problem = %format_args!("hook.script: {problem}"));
        }
    };
    let mut unchangeable = old.fixed(&new);
    unchangeable.extend(step(shared, |node, now, out| node.reload(now, &new, out)));
    for field in &unchangeable {
        warn!(event = "reload", field, "reload {field}: changed, waits for the next start");
    }
    let updates = if new.board.is_some() || new.known == old.known {
        shared.board.borrow_mut().apply_known(&new.known)
    } else {
        // A list from the configuration alone has no event numbers: it replaces the whole list.
        BoardClient::new(old.names.clone(), &new.known).1
    };
    let timings = shared.node.borrow().timings();
    shared.timings.set(timings);
    for update in updates {
        files::offer(shared, Source::Board, update);
    }
    if new.servers != old.servers {
        files::offer(shared, Source::Fixed, complete_list(new.servers.clone()));
    }
    if shared.board_address.replace(new.board) != new.board {
        shared.board_address_changed.notify();
    }
    if let Some(script) = script {
        hook::put_in_use(shared, script);
    }
    // Cells, zones and kinds wait for the next start.
    let (cells, in_force) = (old.bounds.cells, &old.bounds.names);
    let (zones, kinds) = (in_force.zones.clone(), in_force.kinds.clone());
    old.bounds = Bounds { cells, names: SettingNames { zones, kinds, ..new.bounds.names } };
    (old.board, old.known, old.servers, old.raw) = (new.board, new.known, new.servers, new.raw);
    shared.node.borrow_mut().record_reload(true);
    info!(event = "reloaded", last = shared.board.borrow().last_event());
}

/// Loads the script of a configuration, if it has one that is not watched.
async fn load_script(config: &Config) -> Result<Option<hook::ScriptThread>, HookError> {
    let Some(script) = &config.hook else { return Ok(None) };
    let limits = CallLimits::new(script.operations, config.memory);
    hook::load(script.text.clone(), limits).await.map(Some)
}

/// Handles signals for as long as the process runs: SIGHUP reloads, any other signal requests the shutdown.
pub(super) async fn handle_signals(
    shared: Handle,
    mut signals: Signals,
    mut config: Config,
    read_config: impl Fn() -> Result<Config, Findings>,
    files: Option<Rc<RefCell<files::WatchedFiles>>>,
    quorum: Option<Rc<quorum::Quorum>>,
    stop_requested: Rc<Notify>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                reload(&shared, &mut config, read_config()).await;
                files.iter().for_each(|files| files::reload(files, &config.bounds));
            }
            signal => {
                // The node stops before the log line is written, so that health checks fail from that line on.
                step(&shared, |node, now, out| node.stop(now, out));
                info!(event = "stopping", signal = ?signal);
                // The quorum's duties are released at once, before the shutdown waits for anything.
                quorum.iter().for_each(|quorum| quorum.drain());
                stop_requested.notify();
            }
        }
    }
}
