//! Signals: a new configuration, and the end.

use std::cell::RefCell;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use tracing::{info, warn};

use super::outbox::Bell;
use super::{Handle, files, quorum, step};
use crate::api::ListKind;
use crate::board::BoardClient;
use crate::config::Config;
use crate::operate::settings::missing_key;
use crate::records::Findings;
use crate::roster::{ListUpdate, ListedServer, Source};

/// A fixed list, as a whole.
pub(super) fn whole(servers: Vec<ListedServer>) -> ListUpdate {
    ListUpdate { kind: ListKind::Complete, servers }
}

/// Takes a new configuration in; one that can't work is logged, and the old one stays.
fn reload(shared: &Handle, old: &mut Config, read: Result<Config, Findings>) {
    let new = match read {
        Ok(new) => new,
        Err(problem) => {
            shared.node.borrow_mut().reread(false);
            return warn!(event = "reload refused", problem = %problem);
        }
    };
    // A file that is not whole is none: nothing of it is taken.
    if let Some(field) = missing_key(&old.raw, &new.raw).filter(|_| !old.raw.is_null()) {
        shared.node.borrow_mut().reread(false);
        return warn!(event = "reload refused", problem = %format_args!("{field}: missing, though the file in force has it"));
    }
    let mut fixed = old.fixed(&new);
    fixed.extend(step(shared, |node, now, out| node.reload(now, &new, out)));
    for field in &fixed {
        warn!(event = "reload", field, "reload {field}: changed, waits for the next start");
    }
    let news = if new.board.is_some() || new.known == old.known {
        shared.board.borrow_mut().apply_known(&new.known)
    } else {
        // A list without a board has no numbers: it is taken as a whole.
        BoardClient::new(old.names.clone(), &new.known).1
    };
    let timings = shared.node.borrow().timings();
    shared.timings.set(timings);
    for news in news {
        files::hear(shared, Source::Board, news);
    }
    if new.servers != old.servers {
        files::hear(shared, Source::Fixed, whole(new.servers.clone()));
    }
    if shared.board_at.replace(new.board) != new.board {
        shared.board_moved.ring();
    }
    (old.board, old.known, old.servers, old.raw) = (new.board, new.known, new.servers, new.raw);
    shared.node.borrow_mut().reread(true);
    info!(event = "reloaded", last = shared.board.borrow().last_event());
}

/// Hears the signals as long as the program runs: SIGHUP reloads, the first of the others rings to stop.
pub(super) async fn signals(
    shared: Handle,
    mut signals: Signals,
    mut config: Config,
    reread: impl Fn() -> Result<Config, Findings>,
    files: Option<Rc<RefCell<files::Files>>>,
    quorum: Option<Rc<quorum::Quorum>>,
    stop: Rc<Bell>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                reload(&shared, &mut config, reread());
                files.iter().for_each(files::ask);
            }
            other => {
                // Tests fail from the moment that the log tells of it.
                step(&shared, |node, now, out| node.stop(now, out));
                info!(event = "stopping", signal = ?other);
                // Duties go to others at once, before anything else is waited for.
                quorum.iter().for_each(|quorum| quorum.drain());
                stop.ring();
            }
        }
    }
}
