//! I/O of the watched files. A separate thread reads the files and writes the saved state, as file I/O can be slow.
//! The serving thread applies the events that it sends. The decisions are made in [`crate::watch`] and
//! [`crate::roster`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{self, RecvTimeoutError};

use async_io::Timer;
use futures_lite::future;
use notify::event::{AccessKind, AccessMode, ModifyKind, RenameMode};
use notify::{Event, EventKind, RecommendedWatcher, RecursiveMode, Watcher as _};
use tracing::{info, warn};

use super::clock::Clock;
use super::{Handle, hook, step, to_duration, unix_now};
use crate::api::{ListKind, Micros};
use crate::config::{self, Config};
use crate::disk::{self, Folder};
use crate::hook::CallLimits;
use crate::records::Bounds;
use crate::roster::{GenerationChange, ListUpdate, OfferOutcome, Source};
use crate::watch::judge::{self, Lists, Role};
use crate::watch::seal;
use crate::watch::state::{SavedLists, Store};
use crate::watch::{Act, SetId, Touch, Watch, WatchConfig, WatchEvent};
use crate::whip::Title;

/// A request to the file thread.
enum Request {
    /// The system has reported a change of a file or folder.
    FileEvent(notify::Result<Event>),
    /// The operator asks to read the files now.
    Read,
    /// The settings have changed, and with them what they allow in a list.
    Bounds(Bounds),
    /// Lists that are in use are to be saved.
    Save(Box<SavedLists>),
}

/// The state of the watched files on the serving thread.
pub(super) struct WatchedFiles {
    config: WatchConfig,
    bounds: Bounds,
    /// The memory that the process may use, in bytes.
    memory_bytes: usize,
    requests: mpsc::Sender<Request>,
    /// Lists that are held back because they drop too many servers.
    held_lists: Option<Lists>,
    /// The lists that are in use.
    current_lists: Option<Lists>,
    /// The script that is in use.
    script: Option<String>,
    /// The saved lists that the start began from, until the files are read.
    restored: Option<SavedLists>,
}

/// Logs a generation of the server list that is in use.
fn log_generation(taken: &GenerationChange) {
    let digest = taken.digest.map(|d| d.short());
    info!(
        event = "list.taken",
        generation = taken.generation,
        servers = taken.servers,
        added = taken.added,
        changed = taken.changed,
        removed = taken.removed,
        source = taken.source.name(),
        digest = digest.as_deref(),
    );
}

/// Logs a new generation of the server list and passes it to the node.
pub(super) fn announce(shared: &Handle, taken: GenerationChange) {
    log_generation(&taken);
    step(shared, |node, now, out| node.update_server_list(now, taken.update, out));
    shared.list_changed.notify();
}

/// Offers an update of the server list from the board, the registry or the configuration to the roster.
pub(super) fn offer(shared: &Handle, source: Source, update: ListUpdate) {
    let outcome = shared.roster.borrow_mut().apply_update(shared.now(), source, update);
    match outcome {
        OfferOutcome::Taken(taken) => announce(shared, taken),
        OfferOutcome::Shadowed(by) => {
            info!(event = "list.shadowed", source = source.name(), by = by.name());
        }
        OfferOutcome::Same | OfferOutcome::Held { .. } | OfferOutcome::Older { .. } => {}
    }
}

impl WatchedFiles {
    /// Handles an event from the file thread.
    fn handle_event(&mut self, shared: &Handle, event: WatchEvent) {
        match event {
            WatchEvent::Lists(lists, is_requested) => self.handle_lists(shared, lists, is_requested),
            WatchEvent::SameScript(digest) => info!(event = "script.same", digest = digest.short().as_str()),
            WatchEvent::Script(digest, text) => {
                let digest = digest.short();
                let log_taken = move || info!(event = "script.taken", digest = digest.as_str());
                hook::replace(shared, text.clone(), self.call_limits(), log_taken);
                self.script = Some(text);
                self.save(shared);
            }
            WatchEvent::Withdrawn => {
                self.held_lists = None;
                shared.roster.borrow_mut().discard_held();
            }
            WatchEvent::Refused { set, finding, quiet } => {
                let event = if set == SetId::Lists { "list.refused" } else { "script.refused" };
                warn!(
                    event,
                    file = finding.file.as_str(),
                    line = finding.line,
                    field = (!finding.field.is_empty()).then_some(finding.field.as_str()),
                    reason = finding.reason.as_str(),
                    quiet = (quiet > 0).then_some(quiet),
                );
            }
        }
    }

    /// Offers valid lists to the roster. They may be the same as before.
    fn handle_lists(&mut self, shared: &Handle, lists: Lists, is_requested: bool) {
        let offered = lists.servers.clone();
        let outcome =
            offered.map_or(OfferOutcome::Same, |c| shared.roster.borrow_mut().offer(shared.now(), c));
        match outcome {
            OfferOutcome::Taken(taken) => self.apply(shared, taken, lists),
            OfferOutcome::Same => {
                self.held_lists = None;
                let is_new = self.current_lists.as_ref().is_none_or(|old| old.digest != lists.digest);
                self.adopt(shared, lists);
                if is_new {
                    self.save(shared);
                }
                if let Some(saved) = self.restored.take() {
                    self.log_unchanged(shared, &saved);
                } else if is_requested {
                    let generation = shared.roster.borrow().current().number;
                    let digest = self.current_lists.as_ref().map(|l| l.digest.short());
                    info!(event = "list.same", generation, digest = digest.as_deref());
                }
            }
            OfferOutcome::Held { until, dropped, total, is_first_report } => {
                if is_first_report || is_requested {
                    let wait_ms = (until - shared.now()).0 / 1000;
                    let digest = lists.digest.short();
                    warn!(event = "list.held", dropped, of = total, wait_ms, digest = digest.as_str());
                }
                self.held_lists = Some(lists);
                shared.list_changed.notify();
            }
            OfferOutcome::Older { revision, in_use } => {
                self.held_lists = None;
                let file = self.file_name(Role::Servers);
                let reason = format!("{revision} is older than {in_use}, which is in use");
                warn!(event = "list.refused", file, field = "revision", reason = reason.as_str());
            }
            OfferOutcome::Shadowed(by) => {
                self.held_lists = None;
                if self.current_lists.as_ref().is_none_or(|old| old.digest != lists.digest) {
                    info!(event = "list.shadowed", source = Source::Watched.name(), by = by.name());
                }
                self.adopt(shared, lists);
            }
        }
    }

    /// Returns the limits on one call of the script.
    fn call_limits(&self) -> CallLimits {
        let operations = self.config.script.as_ref().map_or(0, |(_, operations)| *operations);
        CallLimits::new(operations, self.memory_bytes)
    }

    /// Returns the name of the file with a role.
    fn file_name(&self, role: Role) -> &str {
        self.config.lists.iter().find(|f| f.role == role).map_or(role.name(), |f| f.name.as_str())
    }

    /// Applies a generation that the roster has taken, together with the titles that belong to it.
    fn apply(&mut self, shared: &Handle, taken: GenerationChange, lists: Lists) {
        (self.held_lists, self.restored) = (None, None);
        announce(shared, taken);
        self.adopt(shared, lists);
        self.save(shared);
    }

    /// Puts lists in use, and passes new titles to the node.
    fn adopt(&mut self, shared: &Handle, lists: Lists) {
        let old = self.current_lists.as_ref().and_then(|l| l.titles.as_ref());
        if let Some(titles) = lists.titles.as_ref().filter(|new| old != Some(new)) {
            let named = titles.iter().filter_map(|t| config::title(t, shared.node.borrow().names()));
            let named: BTreeMap<String, Title> = named.collect();
            // Lists that were read before the settings changed may name a class that is not defined any more.
            let left_out = (named.len() < titles.len()).then(|| titles.len() - named.len());
            let digest = lists.digest.short();
            info!(event = "titles.taken", titles = named.len(), left_out, digest = digest.as_str());
            shared.node.borrow_mut().replace_titles(named);
        }
        self.current_lists = Some(lists);
    }

    /// Asks the file thread to save the lists and the script that are in use.
    fn save(&self, shared: &Handle) {
        if self.config.state.is_none() {
            return;
        }
        let roster = shared.roster.borrow();
        let current = roster.current();
        let watched = current.source == Some(Source::Watched);
        let started =
            current.servers.iter().filter_map(|(id, l)| Some((id.0.to_string(), l.entry.up_since?.0)));
        let mut texts: BTreeMap<String, String> = BTreeMap::new();
        for (role, text) in self.current_lists.iter().flat_map(|l| &l.texts) {
            texts.insert(role.name().to_owned(), text.clone());
        }
        if let Some(script) = &self.script {
            texts.insert(Role::Script.name().to_owned(), script.clone());
        }
        let saved = SavedLists {
            generation: if watched { current.number } else { 0 },
            taken: shared.now().0,
            texts,
            started: if watched { started.collect() } else { BTreeMap::new() },
        };
        // Sending can't fail: the thread ends only with the process.
        let _ = self.requests.send(Request::Save(Box::new(saved)));
    }

    /// Puts saved lists in use at the start.
    fn restore(&mut self, shared: &Handle, saved: SavedLists) {
        let file = |role: Role, text: &str| (role, text.to_owned());
        let texts: Vec<_> = self
            .config
            .lists
            .iter()
            .filter_map(|f| saved.text(f.role).map(|text| file(f.role, text)))
            .collect();
        if texts.len() == self.config.lists.len() && !texts.is_empty() {
            match judge::good(&self.config.lists, texts, &self.bounds) {
                Ok(lists) => {
                    let started = saved.started.iter().map(|(id, at)| (id.clone(), Micros(*at))).collect();
                    let now = shared.now();
                    let outcome = lists
                        .servers
                        .clone()
                        .map(|c| shared.roster.borrow_mut().restore(now, saved.generation, c, &started));
                    if let Some(OfferOutcome::Taken(taken)) = outcome {
                        step(shared, |node, now, out| node.update_server_list(now, taken.update, out));
                    }
                    self.adopt(shared, lists);
                }
                // Saved lists may be invalid under settings that have changed since.
                Err(findings) => {
                    warn!(event = "state.refused", reason = findings.to_string().as_str());
                }
            }
        }
        if let (Some(_), Some(text)) = (&self.config.script, saved.text(Role::Script)) {
            hook::replace(shared, text.to_owned(), self.call_limits(), || ());
            self.script = Some(text.to_owned());
        }
        self.restored = Some(saved);
    }

    /// Logs that the files are the same as when they were saved.
    fn log_unchanged(&self, shared: &Handle, saved: &SavedLists) {
        let roster = shared.roster.borrow();
        log_generation(&GenerationChange {
            generation: saved.generation,
            source: Source::Watched,
            servers: roster.current().servers.len(),
            added: 0,
            changed: 0,
            removed: 0,
            digest: roster.current().digest,
            update: ListUpdate { kind: ListKind::Changes, servers: Vec::new() },
        });
    }

    /// Ends the start: logs which lists are in use if they did not come from the files.
    fn finish_start(&mut self, shared: &Handle) {
        let Some(saved) = self.restored.take() else {
            if self.current_lists.is_none() && !self.config.lists.is_empty() {
                warn!(
                    event = "list.none",
                    "list.none: no valid list and no saved copy; the first valid list is used"
                );
            }
            return;
        };
        let age_ms = (shared.now() - saved.taken()).0 / 1000;
        let servers = shared.roster.borrow().current().servers.len();
        let digest = self.current_lists.as_ref().map(|l| l.digest.short());
        warn!(
            event = "list.restored",
            generation = saved.generation,
            servers,
            age_ms,
            digest = digest.as_deref(),
        );
    }
}

/// Reads the watched files for the first time and starts to watch them.
pub(super) fn start(
    shared: &Handle,
    config: &Config,
    watch_config: WatchConfig,
) -> Rc<RefCell<WatchedFiles>> {
    let (requests, request_receiver) = mpsc::channel();
    let bounds = config.bounds.clone();
    let mut files = WatchedFiles {
        config: watch_config.clone(),
        bounds: bounds.clone(),
        memory_bytes: config.memory,
        requests: requests.clone(),
        held_lists: None,
        current_lists: None,
        script: None,
        restored: None,
    };
    let clock = Clock::default();
    let mut watch = Watch::new(watch_config.clone(), bounds, clock.read(unix_now()));
    let mut state = watch_config.state.as_ref().and_then(|path| open_state(path, &config.name));
    if let Some((store, folder)) = &mut state {
        match store.load(folder) {
            Ok(Some(saved)) => files.restore(shared, saved),
            Ok(None) => {}
            Err(error) => {
                warn!(
                    event = "state.refused",
                    file = store.file().as_str(),
                    reason = error.to_string().as_str()
                );
            }
        }
    }
    if let Some(lists) = &files.current_lists {
        watch.proved(SetId::Lists, lists.digest);
    }
    if let Some(script) = &files.script {
        watch.proved(SetId::Script, seal::digest(script.as_bytes()));
    }
    // The folders are watched before the first read, so that no change after it is missed.
    let mut folder_watcher = FolderWatcher::new(&watch_config, requests);
    folder_watcher.refresh_watches();
    let mut events = Vec::new();
    run_due(&mut watch, &clock, &mut events);
    for event in events {
        files.handle_event(shared, event);
    }
    files.finish_start(shared);
    let (event_sender, event_receiver) = async_channel::unbounded();
    let spawned = std::thread::Builder::new().name("files".into()).spawn(move || {
        run_thread(watch, &clock, folder_watcher, &request_receiver, state, &event_sender);
    });
    if let Err(error) = spawned {
        warn!(event = "watch.off", reason = error.to_string().as_str());
    }
    let files = Rc::new(RefCell::new(files));
    let (handle, watched_files) = (shared.clone(), files.clone());
    let handle_events = async move {
        while let Ok(event) = event_receiver.recv().await {
            watched_files.borrow_mut().handle_event(&handle, event);
        }
    };
    shared.executor.spawn(handle_events).detach();
    files
}

/// Has the files judged by new settings and read now, for the operator's signal.
pub(super) fn reload(files: &Rc<RefCell<WatchedFiles>>, bounds: &Bounds) {
    let requests = &files.borrow().requests;
    let _ = requests.send(Request::Bounds(bounds.clone()));
    let _ = requests.send(Request::Read);
}

/// Applies held lists when they are due, and removes dropped servers once the node no longer needs them.
pub(super) async fn maintain_roster(shared: Handle, files: Option<Rc<RefCell<WatchedFiles>>>) {
    loop {
        let due = shared.roster.borrow().next_due();
        let wait = async {
            match due {
                Some(due) => {
                    Timer::after(to_duration(due - shared.now())).await;
                }
                None => future::pending().await,
            }
        };
        future::or(shared.list_changed.notified(), wait).await;
        let now = shared.now();
        let due = shared.roster.borrow_mut().tick(now);
        if let (Some(OfferOutcome::Taken(taken)), Some(files)) = (due, &files) {
            let held_lists = files.borrow_mut().held_lists.take();
            match held_lists {
                Some(lists) => files.borrow_mut().apply(&shared, taken, lists),
                None => announce(&shared, taken),
            }
        }
        let removals = {
            let node = shared.node.borrow();
            shared.roster.borrow_mut().remove_departed(now, |id| node.has_sessions_at(id))
        };
        if let Some(update) = removals {
            info!(event = "list.parted", servers = update.servers.len());
            step(&shared, |node, now, out| node.update_server_list(now, update, out));
        }
    }
}

/// Opens the folder of the saved state. Returns `None` and logs the reason if that fails.
fn open_state(path: &Path, broker: &str) -> Option<(Store, Folder)> {
    let store = Store::new(broker, std::process::id());
    let opened = Folder::open(path).map_err(|e| e.to_string()).and_then(|mut folder| {
        store.tidy(&mut folder).map_err(|e| e.to_string())?;
        Ok(folder)
    });
    match opened {
        Ok(folder) => Some((store, folder)),
        Err(reason) => {
            let file = path.display().to_string();
            warn!(event = "state.refused", file = file.as_str(), reason = reason.as_str());
            None
        }
    }
}

/// Checks and reads the files that are due.
fn run_due(watch: &mut Watch, clock: &Clock, events: &mut Vec<WatchEvent>) {
    while let Some(act) = watch.due(clock.read(unix_now()), events) {
        match act {
            Act::Look(set) => {
                let stamps: Vec<_> = watch.files(set).iter().map(|f| disk::look(&f.path)).collect();
                watch.looked(clock.read(unix_now()), set, &stamps);
            }
            Act::Read(set) => {
                let (began, max_bytes) = (clock.read(unix_now()), watch.setup().most);
                let reads = watch.files(set).iter().map(|f| disk::read(&f.path, max_bytes)).collect();
                watch.read(began, clock.read(unix_now()), set, reads, events);
            }
        }
    }
}

/// Runs the file thread: waits for requests and due times, reads the files, saves the state and sends events.
fn run_thread(
    mut watch: Watch,
    clock: &Clock,
    mut folder_watcher: FolderWatcher,
    requests: &mpsc::Receiver<Request>,
    mut state: Option<(Store, Folder)>,
    event_sender: &async_channel::Sender<WatchEvent>,
) {
    loop {
        let wait = to_duration(watch.next_due() - clock.read(unix_now()));
        let mut request = match requests.recv_timeout(wait) {
            Ok(request) => Some(request),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut save = None;
        while let Some(next) = request {
            match next {
                Request::FileEvent(event) => {
                    folder_watcher.forward_event(&mut watch, clock.read(unix_now()), event)
                }
                Request::Bounds(bounds) => watch.set_bounds(bounds),
                Request::Read => watch.asked(clock.read(unix_now())),
                // Of several requests only the last one needs to be saved.
                Request::Save(saved) => save = Some(saved),
            }
            request = requests.try_recv().ok();
        }
        if let (Some(saved), Some((store, folder))) = (save, &mut state)
            && let Err(error) = store.save(folder, &saved)
        {
            warn!(event = "state.failed", file = store.file().as_str(), reason = error.to_string().as_str());
        }
        if folder_watcher.refresh_watches() {
            watch.touched(clock.read(unix_now()), None, Touch::Other);
        }
        let mut events = Vec::new();
        run_due(&mut watch, clock, &mut events);
        for event in events {
            if event_sender.send_blocking(event).is_err() {
                return;
            }
        }
    }
}

/// Watches for changes with the system's file notifications. All folders on the path to each file are watched, as a
/// file, link or folder may be replaced at any level of the path.
struct FolderWatcher {
    watcher: Option<RecommendedWatcher>,
    files: Vec<(Role, PathBuf)>,
    base: PathBuf,
    /// The watched folders, each with the device and inode number that it had.
    watched: BTreeMap<PathBuf, (u64, u64)>,
}

impl FolderWatcher {
    fn new(config: &WatchConfig, requests: mpsc::Sender<Request>) -> FolderWatcher {
        let all = config.lists.iter().chain(config.script.iter().map(|(file, _)| file));
        let files = all.map(|f| (f.role, f.path.clone())).collect();
        let watcher = config.notify.then(|| {
            notify::recommended_watcher(move |event: notify::Result<Event>| {
                // Reads by this process cause events too, which are no changes.
                if event.as_ref().is_ok_and(|e| touch_of(&e.kind).is_none() && !e.need_rescan()) {
                    return;
                }
                let _ = requests.send(Request::FileEvent(event));
            })
        });
        let watcher = match watcher {
            Some(Ok(watcher)) => Some(watcher),
            Some(Err(error)) => {
                warn!(event = "watch.blind", reason = error.to_string().as_str());
                None
            }
            None => None,
        };
        let base = if config.base.as_os_str().is_empty() { PathBuf::from(".") } else { config.base.clone() };
        FolderWatcher { watcher, files, base, watched: BTreeMap::new() }
    }

    /// Returns the folders that are to be watched, with their current device and inode numbers.
    fn folders_to_watch(&self) -> BTreeMap<PathBuf, (u64, u64)> {
        use std::os::unix::fs::MetadataExt as _;
        let mut wanted = BTreeMap::new();
        let mut add = |path: &Path| {
            let path = if path.as_os_str().is_empty() { Path::new(".") } else { path };
            if let Ok(meta) = std::fs::metadata(path)
                && meta.is_dir()
            {
                wanted.insert(path.to_owned(), (meta.dev(), meta.ino()));
            }
        };
        for (_, path) in &self.files {
            for folder in path.ancestors().skip(1) {
                add(folder);
                if folder == self.base || folder.as_os_str().is_empty() {
                    break;
                }
            }
            // If a link leads to another folder, the file itself is there.
            if let Ok(real) = std::fs::canonicalize(path) {
                real.parent().into_iter().for_each(&mut add);
            }
        }
        wanted
    }

    /// Watches the folders that the paths lead through now. Returns whether any is another one than before.
    fn refresh_watches(&mut self) -> bool {
        if self.watcher.is_none() {
            return false;
        }
        let wanted = self.folders_to_watch();
        if wanted == self.watched {
            return false;
        }
        let Some(watcher) = &mut self.watcher else { return false };
        for (path, inode) in &self.watched {
            if wanted.get(path) != Some(inode) {
                // This fails if the folder, and with it the watch, is gone.
                let _ = watcher.unwatch(path);
            }
        }
        let mut watched = BTreeMap::new();
        for (path, inode) in wanted {
            let is_watched = self.watched.get(&path) == Some(&inode);
            match if is_watched { Ok(()) } else { watcher.watch(&path, RecursiveMode::NonRecursive) } {
                Ok(()) => {
                    watched.insert(path, inode);
                }
                Err(error) => {
                    let file = path.display().to_string();
                    warn!(event = "watch.blind", file = file.as_str(), reason = error.to_string().as_str());
                    // The files in it are polled instead.
                    watched.insert(path, inode);
                }
            }
        }
        self.watched = watched;
        true
    }

    /// Passes a system event to the watch, for each file that it concerns.
    fn forward_event(&self, watch: &mut Watch, now: Micros, event: notify::Result<Event>) {
        let event = match event {
            Ok(event) if !event.need_rescan() => event,
            // Events were lost, so any file may have changed.
            _ => return watch.touched(now, None, Touch::Other),
        };
        let Some(touch) = touch_of(&event.kind) else { return };
        for path in &event.paths {
            let mut is_watched_file = false;
            for (role, file) in &self.files {
                let linked = || std::fs::canonicalize(file).is_ok_and(|real| real == *path);
                if is_same_path(file, path) || linked() {
                    is_watched_file = true;
                    watch.touched(now, Some(*role), touch);
                }
            }
            // A folder or link on a path has changed: all files below it may be other files now.
            if !is_watched_file
                && self.files.iter().any(|(_, file)| file.ancestors().skip(1).any(|f| is_same_path(f, path)))
            {
                watch.touched(now, None, Touch::Other);
            }
        }
    }
}

/// Whether two paths are equal except for a leading `./`.
fn is_same_path(a: &Path, b: &Path) -> bool {
    let normalized = |p: &Path| p.strip_prefix(".").map_or_else(|_| p.to_owned(), Path::to_owned);
    normalized(a) == normalized(b)
}

/// Returns how an event concerns a file's content, or `None` if it does not.
fn touch_of(kind: &EventKind) -> Option<Touch> {
    match kind {
        EventKind::Modify(ModifyKind::Name(RenameMode::To)) => Some(Touch::Renamed),
        // Both ends of a rename are reported together again, after each was reported alone.
        EventKind::Modify(ModifyKind::Name(RenameMode::Both)) => None,
        // Permissions and times are not content; a file that became readable is noticed by the next poll.
        EventKind::Modify(ModifyKind::Metadata(_)) => None,
        EventKind::Access(AccessKind::Close(AccessMode::Write)) => Some(Touch::Other),
        EventKind::Access(_) => None,
        _ => Some(Touch::Other),
    }
}
