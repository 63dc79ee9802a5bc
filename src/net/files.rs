//! Watched files: a thread of their own that reads them and writes the state, as files can be slow, and what
//! becomes of its word on the thread that serves. It decides nothing: see [`crate::watch`] and [`crate::roster`].

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
use super::{Handle, micros, step, unix};
use crate::api::{ListKind, Micros};
use crate::config::{self, Config};
use crate::disk::{self, Folder};
use crate::records::Bounds;
use crate::roster::{GenerationChange, ListUpdate, OfferOutcome, Source};
use crate::watch::judge::{self, Lists, Role};
use crate::watch::seal;
use crate::watch::state::{SavedLists, Store};
use crate::watch::{Act, SetId, Touch, Watch, WatchConfig, WatchEvent};

/// What the thread is told.
enum Word {
    /// The system tells of a change.
    Event(notify::Result<Event>),
    /// The operator asks for a reading.
    Asked,
    /// A generation was taken.
    Save(Box<SavedLists>),
}

/// The serving side of watched files.
pub(super) struct Files {
    setup: WatchConfig,
    bounds: Bounds,
    to: mpsc::Sender<Word>,
    /// Lists that are held back.
    waiting: Option<Lists>,
    /// What is in use.
    lists: Option<Lists>,
    script: Option<String>,
    restored: Option<SavedLists>,
}

/// The log's line of a generation that is in use.
fn log_taken(taken: &GenerationChange) {
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

/// Announces a generation in the log and tells the node of it.
pub(super) fn announce(shared: &Handle, taken: GenerationChange) {
    log_taken(&taken);
    step(shared, |node, now, out| node.news(now, taken.update, out));
    shared.listed.ring();
}

/// A source with a list of its own has spoken.
pub(super) fn hear(shared: &Handle, source: Source, news: ListUpdate) {
    let verdict = shared.roster.borrow_mut().apply_update(shared.now(), source, news);
    match verdict {
        OfferOutcome::Taken(taken) => announce(shared, taken),
        OfferOutcome::Shadowed(by) => {
            info!(event = "list.shadowed", source = source.name(), by = by.name());
        }
        OfferOutcome::Same | OfferOutcome::Held { .. } | OfferOutcome::Older { .. } => {}
    }
}

impl Files {
    /// Takes in what the thread tells.
    fn told(&mut self, shared: &Handle, told: WatchEvent) {
        match told {
            WatchEvent::Lists(lists, asked) => self.offered(shared, lists, asked),
            WatchEvent::SameScript(digest) => info!(event = "script.same", digest = digest.short().as_str()),
            WatchEvent::Script(digest, text) => {
                let operations = self.setup.script.as_ref().map_or(0, |(_, operations)| *operations);
                if step(shared, |node, _, _| node.replace_script(&text, operations)) {
                    info!(event = "script.taken", digest = digest.short().as_str());
                    self.script = Some(text);
                    self.save(shared);
                }
            }
            WatchEvent::Withdrawn => {
                self.waiting = None;
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

    /// Good lists came, perhaps the same as before.
    fn offered(&mut self, shared: &Handle, lists: Lists, asked: bool) {
        let offered = lists.servers.clone();
        let verdict =
            offered.map_or(OfferOutcome::Same, |c| shared.roster.borrow_mut().offer(shared.now(), c));
        match verdict {
            OfferOutcome::Taken(taken) => self.taken(shared, taken, lists),
            OfferOutcome::Same => {
                self.waiting = None;
                let news = self.lists.as_ref().is_none_or(|old| old.digest != lists.digest);
                self.adopt(shared, lists);
                if news {
                    self.save(shared);
                }
                if let Some(kept) = self.restored.take() {
                    self.unchanged(shared, &kept);
                } else if asked {
                    let generation = shared.roster.borrow().current().number;
                    let digest = self.lists.as_ref().map(|l| l.digest.short());
                    info!(event = "list.same", generation, digest = digest.as_deref());
                }
            }
            OfferOutcome::Held { until, dropped, total, is_first_report } => {
                if is_first_report || asked {
                    let wait_ms = (until - shared.now()).0 / 1000;
                    let digest = lists.digest.short();
                    warn!(event = "list.held", dropped, of = total, wait_ms, digest = digest.as_str());
                }
                self.waiting = Some(lists);
                shared.listed.ring();
            }
            OfferOutcome::Older { revision, in_use } => {
                self.waiting = None;
                let file = self.name(Role::Servers);
                let reason = format!("{revision} is older than {in_use}, which is in use");
                warn!(event = "list.refused", file, field = "revision", reason = reason.as_str());
            }
            OfferOutcome::Shadowed(by) => {
                self.waiting = None;
                if self.lists.as_ref().is_none_or(|old| old.digest != lists.digest) {
                    info!(event = "list.shadowed", source = Source::Watched.name(), by = by.name());
                }
                self.adopt(shared, lists);
            }
        }
    }

    fn name(&self, role: Role) -> &str {
        self.setup.lists.iter().find(|f| f.role == role).map_or(role.name(), |f| f.name.as_str())
    }

    /// A generation was taken: the titles that belong to it are in use from now on too.
    fn taken(&mut self, shared: &Handle, taken: GenerationChange, lists: Lists) {
        (self.waiting, self.restored) = (None, None);
        announce(shared, taken);
        self.adopt(shared, lists);
        self.save(shared);
    }

    fn adopt(&mut self, shared: &Handle, lists: Lists) {
        let old = self.lists.as_ref().and_then(|l| l.titles.as_ref());
        if let Some(titles) = lists.titles.as_ref().filter(|new| old != Some(new)) {
            let named = titles.iter().map(|t| config::title(t, shared.node.borrow().names())).collect();
            shared.node.borrow_mut().replace_titles(named);
            info!(event = "titles.taken", titles = titles.len(), digest = lists.digest.short().as_str());
        }
        self.lists = Some(lists);
    }

    /// Gives the thread what is in use, to be kept.
    fn save(&self, shared: &Handle) {
        if self.setup.state.is_none() {
            return;
        }
        let roster = shared.roster.borrow();
        let current = roster.current();
        let watched = current.source == Some(Source::Watched);
        let started =
            current.servers.iter().filter_map(|(id, l)| Some((id.0.to_string(), l.entry.up_since?.0)));
        let mut texts: BTreeMap<String, String> = BTreeMap::new();
        for (role, text) in self.lists.iter().flat_map(|l| &l.texts) {
            texts.insert(role.name().to_owned(), text.clone());
        }
        if let Some(script) = &self.script {
            texts.insert(Role::Script.name().to_owned(), script.clone());
        }
        let kept = SavedLists {
            generation: if watched { current.number } else { 0 },
            taken: shared.now().0,
            texts,
            started: if watched { started.collect() } else { BTreeMap::new() },
        };
        // The thread ends with the program only.
        let _ = self.to.send(Word::Save(Box::new(kept)));
    }

    /// Starts from lists that were kept.
    fn restore(&mut self, shared: &Handle, kept: SavedLists) {
        let file = |role: Role, text: &str| (role, text.to_owned());
        let texts: Vec<_> = self
            .setup
            .lists
            .iter()
            .filter_map(|f| kept.text(f.role).map(|text| file(f.role, text)))
            .collect();
        if texts.len() == self.setup.lists.len() && !texts.is_empty() {
            match judge::good(&self.setup.lists, texts, &self.bounds) {
                Ok(lists) => {
                    let started = kept.started.iter().map(|(id, at)| (id.clone(), Micros(*at))).collect();
                    let now = shared.now();
                    let verdict = lists
                        .servers
                        .clone()
                        .map(|c| shared.roster.borrow_mut().restore(now, kept.generation, c, &started));
                    if let Some(OfferOutcome::Taken(taken)) = verdict {
                        step(shared, |node, now, out| node.news(now, taken.update, out));
                    }
                    self.adopt(shared, lists);
                }
                // The settings may have changed since.
                Err(findings) => {
                    warn!(event = "state.refused", reason = findings.to_string().as_str());
                }
            }
        }
        if let (Some((_, operations)), Some(text)) = (&self.setup.script, kept.text(Role::Script))
            && shared.node.borrow_mut().replace_script(text, *operations)
        {
            self.script = Some(text.to_owned());
        }
        self.restored = Some(kept);
    }

    /// The files are what they were at the last stop.
    fn unchanged(&self, shared: &Handle, kept: &SavedLists) {
        let roster = shared.roster.borrow();
        log_taken(&GenerationChange {
            generation: kept.generation,
            source: Source::Watched,
            servers: roster.current().servers.len(),
            added: 0,
            changed: 0,
            removed: 0,
            digest: roster.current().digest,
            update: ListUpdate { kind: ListKind::Changes, servers: Vec::new() },
        });
    }

    /// At the end of the start: says what is served from, where the files did not give it.
    fn opened(&mut self, shared: &Handle) {
        let Some(kept) = self.restored.take() else {
            if self.lists.is_none() && !self.setup.lists.is_empty() {
                warn!(
                    event = "list.none",
                    "list.none: no good list and no copy of one; the first good one is taken"
                );
            }
            return;
        };
        let age_ms = (shared.now() - kept.taken()).0 / 1000;
        let servers = shared.roster.borrow().current().servers.len();
        let digest = self.lists.as_ref().map(|l| l.digest.short());
        warn!(
            event = "list.restored",
            generation = kept.generation,
            servers,
            age_ms,
            digest = digest.as_deref(),
        );
    }
}

/// Reads the watched files for the first time and starts to watch them.
pub(super) fn start(shared: &Handle, config: &Config, setup: WatchConfig) -> Rc<RefCell<Files>> {
    let (to, from) = mpsc::channel();
    let bounds = config.bounds.clone();
    let mut files = Files {
        setup: setup.clone(),
        bounds: bounds.clone(),
        to: to.clone(),
        waiting: None,
        lists: None,
        script: None,
        restored: None,
    };
    let clock = Clock::default();
    let mut watch = Watch::new(setup.clone(), bounds, clock.read(unix()));
    let mut state = setup.state.as_ref().and_then(|path| open_state(path, &config.name));
    if let Some((store, folder)) = &mut state {
        match store.load(folder) {
            Ok(Some(kept)) => files.restore(shared, kept),
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
    if let Some(lists) = &files.lists {
        watch.proved(SetId::Lists, lists.digest);
    }
    if let Some(script) = &files.script {
        watch.proved(SetId::Script, seal::digest(script.as_bytes()));
    }
    // The system is asked first: what changes after the first reading is not missed.
    let mut eyes = Eyes::new(&setup, to);
    eyes.moved();
    let mut told = Vec::new();
    work(&mut watch, &clock, &mut told);
    for told in told {
        files.told(shared, told);
    }
    files.opened(shared);
    let (tell, hear) = async_channel::unbounded();
    let spawned = std::thread::Builder::new().name("files".into()).spawn(move || {
        follow(watch, &clock, eyes, &from, state, &tell);
    });
    if let Err(error) = spawned {
        warn!(event = "watch.off", reason = error.to_string().as_str());
    }
    let files = Rc::new(RefCell::new(files));
    let (handle, mine) = (shared.clone(), files.clone());
    let listen = async move {
        while let Ok(told) = hear.recv().await {
            mine.borrow_mut().told(&handle, told);
        }
    };
    shared.executor.spawn(listen).detach();
    files
}

/// Asks for a reading, as the operator's signal does.
pub(super) fn ask(files: &Rc<RefCell<Files>>) {
    let _ = files.borrow().to.send(Word::Asked);
}

/// Takes lists that were held back when they are due, and lets servers go that were dropped.
pub(super) async fn keep(shared: Handle, files: Option<Rc<RefCell<Files>>>) {
    loop {
        let due = shared.roster.borrow().next_due();
        let wait = async {
            match due {
                Some(due) => {
                    Timer::after(micros(due - shared.now())).await;
                }
                None => future::pending().await,
            }
        };
        future::or(shared.listed.heard(), wait).await;
        let now = shared.now();
        let due = shared.roster.borrow_mut().tick(now);
        if let (Some(OfferOutcome::Taken(taken)), Some(files)) = (due, &files) {
            let waiting = files.borrow_mut().waiting.take();
            match waiting {
                Some(lists) => files.borrow_mut().taken(&shared, taken, lists),
                None => announce(&shared, taken),
            }
        }
        let parted = {
            let node = shared.node.borrow();
            shared.roster.borrow_mut().remove_departed(now, |id| node.busy(id))
        };
        if let Some(news) = parted {
            info!(event = "list.parted", servers = news.servers.len());
            step(&shared, |node, now, out| node.news(now, news, out));
        }
    }
}

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

/// Does what is due.
fn work(watch: &mut Watch, clock: &Clock, told: &mut Vec<WatchEvent>) {
    while let Some(act) = watch.due(clock.read(unix()), told) {
        match act {
            Act::Look(set) => {
                let stamps: Vec<_> = watch.files(set).iter().map(|f| disk::look(&f.path)).collect();
                watch.looked(clock.read(unix()), set, &stamps);
            }
            Act::Read(set) => {
                let (began, most) = (clock.read(unix()), watch.setup().most);
                let reads = watch.files(set).iter().map(|f| disk::read(&f.path, most)).collect();
                watch.read(began, clock.read(unix()), set, reads, told);
            }
        }
    }
}

/// The thread: waits for words and for the time, reads, and tells.
fn follow(
    mut watch: Watch,
    clock: &Clock,
    mut eyes: Eyes,
    from: &mpsc::Receiver<Word>,
    mut state: Option<(Store, Folder)>,
    tell: &async_channel::Sender<WatchEvent>,
) {
    loop {
        let wait = micros(watch.next_due() - clock.read(unix()));
        let mut word = match from.recv_timeout(wait) {
            Ok(word) => Some(word),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut save = None;
        while let Some(next) = word {
            match next {
                Word::Event(event) => eyes.seen(&mut watch, clock.read(unix()), event),
                Word::Asked => watch.asked(clock.read(unix())),
                // Of several only the last one is worth keeping.
                Word::Save(kept) => save = Some(kept),
            }
            word = from.try_recv().ok();
        }
        if let (Some(kept), Some((store, folder))) = (save, &mut state)
            && let Err(error) = store.save(folder, &kept)
        {
            warn!(event = "state.failed", file = store.file().as_str(), reason = error.to_string().as_str());
        }
        if eyes.moved() {
            watch.touched(clock.read(unix()), None, Touch::Other);
        }
        let mut told = Vec::new();
        work(&mut watch, clock, &mut told);
        for told in told {
            if tell.send_blocking(told).is_err() {
                return;
            }
        }
    }
}

/// How the system tells of changes: the folders on the way to each file are watched, as a file or a link or a
/// folder may be swapped at any step of it.
struct Eyes {
    watcher: Option<RecommendedWatcher>,
    files: Vec<(Role, PathBuf)>,
    base: PathBuf,
    /// Folders that are watched, by the inode that each had.
    open: BTreeMap<PathBuf, (u64, u64)>,
}

impl Eyes {
    fn new(setup: &WatchConfig, to: mpsc::Sender<Word>) -> Eyes {
        let all = setup.lists.iter().chain(setup.script.iter().map(|(file, _)| file));
        let files = all.map(|f| (f.role, f.path.clone())).collect();
        let watcher = setup.notify.then(|| {
            notify::recommended_watcher(move |event: notify::Result<Event>| {
                // Readings make events of their own, which tell nothing.
                if event.as_ref().is_ok_and(|e| touch(&e.kind).is_none() && !e.need_rescan()) {
                    return;
                }
                let _ = to.send(Word::Event(event));
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
        let base = if setup.base.as_os_str().is_empty() { PathBuf::from(".") } else { setup.base.clone() };
        Eyes { watcher, files, base, open: BTreeMap::new() }
    }

    /// Folders that are to be watched, as they are now.
    fn wanted(&self) -> BTreeMap<PathBuf, (u64, u64)> {
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
            // Where a link leads to another folder, the file itself lies there.
            if let Ok(real) = std::fs::canonicalize(path) {
                real.parent().into_iter().for_each(&mut add);
            }
        }
        wanted
    }

    /// Whether a folder on the way is another one than before; it is watched from now on.
    fn moved(&mut self) -> bool {
        if self.watcher.is_none() {
            return false;
        }
        let wanted = self.wanted();
        if wanted == self.open {
            return false;
        }
        let Some(watcher) = &mut self.watcher else { return false };
        for (path, inode) in &self.open {
            if wanted.get(path) != Some(inode) {
                // It may be gone, and the watch with it.
                let _ = watcher.unwatch(path);
            }
        }
        let mut open = BTreeMap::new();
        for (path, inode) in wanted {
            let kept = self.open.get(&path) == Some(&inode);
            match if kept { Ok(()) } else { watcher.watch(&path, RecursiveMode::NonRecursive) } {
                Ok(()) => {
                    open.insert(path, inode);
                }
                Err(error) => {
                    let file = path.display().to_string();
                    warn!(event = "watch.blind", file = file.as_str(), reason = error.to_string().as_str());
                    // It is looked at now and then instead.
                    open.insert(path, inode);
                }
            }
        }
        self.open = open;
        true
    }

    /// Passes an event on.
    fn seen(&self, watch: &mut Watch, now: Micros, event: notify::Result<Event>) {
        let event = match event {
            Ok(event) if !event.need_rescan() => event,
            // Events were lost: anything may have changed.
            _ => return watch.touched(now, None, Touch::Other),
        };
        let Some(touch) = touch(&event.kind) else { return };
        for path in &event.paths {
            let mut mine = false;
            for (role, file) in &self.files {
                let linked = || std::fs::canonicalize(file).is_ok_and(|real| real == *path);
                if same(file, path) || linked() {
                    mine = true;
                    watch.touched(now, Some(*role), touch);
                }
            }
            // A folder or a link on the way: all below it may be others now.
            if !mine && self.files.iter().any(|(_, file)| file.ancestors().skip(1).any(|f| same(f, path))) {
                watch.touched(now, None, Touch::Other);
            }
        }
    }
}

/// Whether two paths are written alike but for a leading `./`.
fn same(a: &Path, b: &Path) -> bool {
    let plain = |p: &Path| p.strip_prefix(".").map_or_else(|_| p.to_owned(), Path::to_owned);
    plain(a) == plain(b)
}

/// What an event is to a file's content; none: nothing.
fn touch(kind: &EventKind) -> Option<Touch> {
    match kind {
        EventKind::Modify(ModifyKind::Name(RenameMode::To)) => Some(Touch::Renamed),
        // Both ends of a rename are told once more, after each was told alone.
        EventKind::Modify(ModifyKind::Name(RenameMode::Both)) => None,
        // Rights and times are no content; what became readable is seen at the next look.
        EventKind::Modify(ModifyKind::Metadata(_)) => None,
        EventKind::Access(AccessKind::Close(AccessMode::Write)) => Some(Touch::Other),
        EventKind::Access(_) => None,
        _ => Some(Touch::Other),
    }
}
