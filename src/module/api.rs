//! The interface of the decision module: settings, events and actions. Plain types, no policy, no wire words.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point in time or a span, in whole microseconds. The clock starts anywhere and only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest span.
    pub const MAX: Micros = Micros(u64::MAX);

    /// From milliseconds; negative and non-finite values count as zero.
    pub fn from_ms(ms: f64) -> Micros {
        if ms.is_finite() && ms > 0.0 { Micros((ms * 1000.0).round() as u64) } else { Micros(0) }
    }

    /// As seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// From seconds; negative and non-finite values count as zero.
    pub fn from_secs(s: f64) -> Micros {
        Micros::from_ms(s * 1000.0)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

/// Differences stop at zero.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// Shared immutable text.
pub type Text = Arc<str>;

/// A server's name; opaque.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Text);

impl ServerId {
    /// Names a server.
    pub fn new(name: &str) -> ServerId {
        ServerId(Text::from(name))
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One try of a viewer for a session; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A rung of the ladder of rates, counted from the lowest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rung(pub usize);

/// What a repeated set-up of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing bad: it may be sent again and refused freely.
    Safe,
    /// Harmless within a group of servers and for some time.
    Keyed {
        /// The servers that recognise a repeat.
        scope: KeyScope,
        /// For how long they do.
        window: Micros,
    },
    /// It must not happen twice.
    Unsafe,
}

/// The servers that recognise the repeat of a keyed set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of the first server's zone.
    Zone,
    /// Those of the first server's cell.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A set-up is wanted within this.
    pub aim: Micros,
    /// The viewer gives a try up after this.
    pub deadline: Micros,
    /// What a repeat does.
    pub effect: Effect,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Its titles are live, so that viewers share a stream.
    pub live: bool,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// Lowest rung that may be set.
    pub floor: Rung,
    /// Highest rung.
    pub top: Rung,
    /// Sessions of one title that a front may hold; none: no cap.
    pub seats: Option<u32>,
}

impl Class {
    /// A class of worth 1 with no terms, recorded titles and every rung.
    pub fn new(aim: Micros, deadline: Micros, effect: Effect) -> Class {
        Class {
            aim,
            deadline,
            effect,
            worth: 1.0,
            live: false,
            scale: 1.0,
            floor: Rung(0),
            top: Rung(usize::MAX),
            seats: None,
        }
    }
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all fronts that count as within its share; none: no limit.
    pub quota_per_s: Option<f64>,
}

/// The budget of attempts beyond each session's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are always allowed within a window.
    pub floor: f64,
    /// Attempts more for each request taken in the window.
    pub ratio: f64,
    /// Length of the window.
    pub span: Micros,
}

/// How a front hears of changes to the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They come unasked.
    Pushed,
    /// They must be asked for.
    OnRequest,
}

/// What a front is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of fronts.
    pub fronts: u32,
    /// This front's number among them.
    pub me: u32,
    /// This front's zone.
    pub zone: u32,
    /// Least time between batches.
    pub tick: Micros,
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Rate of each rung, kB a second.
    pub rung_kb: Vec<f64>,
    /// What each rung earns.
    pub rung_worth: Vec<f64>,
    /// Number of cells.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// A server's link, kB a second for each unit of its weight (rough).
    pub link_unit_kb: f64,
    /// Mean uplink of a rack, kB a second.
    pub rack_kb: f64,
    /// Streams that a server of each kind runs at most.
    pub kind_streams: Vec<u32>,
    /// A further viewer of a shared stream adds this part of the rate.
    pub join: f64,
    /// Points of worth lost for each point of the rate that is missing.
    pub stall: f64,
    /// A change of rung while playing costs so many seconds of worth.
    pub switch_s: f64,
    /// How late periodic notes are.
    pub see: Micros,
    /// Time between notes of fullness; zero: none.
    pub tell: Micros,
    /// Servers turn set-ups away while so much of their link is asked; zero: never.
    pub guard: f64,
    /// Attempts for one session at most.
    pub max_attempts: u32,
    /// Longest advice to stay away that viewers honour; zero: none may be given.
    pub max_retry_after: Micros,
    /// Moves are priced so many points for each session.
    pub move_price: f64,
    /// Part of the score taken for each session that crosses zones.
    pub cross_zone_price: f64,
    /// Part of the score taken for each new connection to a server, over first tries.
    pub handshake_price: f64,
    /// Servers close connections that were idle for so long; zero: never.
    pub idle: Micros,
    /// Nothing new goes to a draining server after this.
    pub drain_grace: Micros,
    /// A started server is warm after this; zero: at once.
    pub cold: Micros,
    /// It starts at this part of its capacity.
    pub cold_from: f64,
    /// More than this multiple of its present pace makes it fall.
    pub fall_multiple: f64,
    /// Within this.
    pub fall: Micros,
    /// Budget of further attempts, where there is one.
    pub budget: Option<RetryBudget>,
    /// How the list comes.
    pub discovery: Discovery,
    /// The uplink's fullness is reported.
    pub uplink_reported: bool,
}

impl Settings {
    /// Settings with a ladder and mild defaults for the rest; classes are still to be added.
    pub fn new(rung_kb: Vec<f64>, rung_worth: Vec<f64>) -> Settings {
        Settings {
            fronts: 1,
            me: 0,
            zone: 0,
            tick: Micros(1000),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            rung_kb,
            rung_worth,
            cells: 1,
            racks: 1,
            link_unit_kb: 1.0,
            rack_kb: 1.0,
            kind_streams: Vec::new(),
            join: 1.0,
            stall: 1.0,
            switch_s: 0.0,
            see: Micros(0),
            tell: Micros(0),
            guard: 0.0,
            max_attempts: 1,
            max_retry_after: Micros(0),
            move_price: 0.0,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle: Micros(0),
            drain_grace: Micros(0),
            cold: Micros(0),
            cold_from: 1.0,
            fall_multiple: 1.0,
            fall: Micros(0),
            budget: None,
            discovery: Discovery::Pushed,
            uplink_reported: false,
        }
    }

    /// Rate of `n` viewers of one class and title at a rung, kB a second; viewers of a live title share a stream.
    pub fn stream_kb(&self, class: usize, n: usize, rung: usize) -> f64 {
        let (Some(class), Some(kb)) = (self.classes.get(class), self.rung_kb.get(rung)) else { return 0.0 };
        let further = if class.live { self.join } else { 1.0 };
        let streams = if n == 0 { 0.0 } else { 1.0 + further * (n - 1) as f64 };
        streams * class.scale * kb
    }

    /// Whether a server's cell is among those that hold the title.
    pub fn holds(&self, server: &ServerEntry, request: &Request) -> bool {
        let cells = self.cells.max(1);
        (server.cell % cells + cells - request.home % cells) % cells < request.copies
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It runs.
    #[default]
    Ready,
    /// It completes its work and takes nothing new.
    Draining,
    /// It is removed.
    Gone,
}

impl ServerState {
    /// The same for a server that rules bar: nothing new.
    pub fn barred(self) -> ServerState {
        if self == ServerState::Ready { ServerState::Draining } else { self }
    }
}

/// A line of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub id: ServerId,
    /// What the list says of it.
    pub state: ServerState,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its kind, an index into [`Settings::kind_streams`].
    pub kind: usize,
    /// Its size beside others.
    pub weight: f64,
    /// Its latest start; none: long ago.
    pub up_since: Option<Micros>,
}

impl ServerEntry {
    /// A server of size 1, kind 0 and zone 0 that started long ago.
    pub fn new(id: ServerId, state: ServerState, cell: u32) -> ServerEntry {
        ServerEntry { id, state, zone: 0, cell, kind: 0, weight: 1.0, up_since: None }
    }
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All of them; an absent server is gone.
    Complete,
    /// All of them as last held, perhaps old.
    Stale,
    /// Asking failed; the list stays.
    Failed,
}

/// A viewer asking for a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Names this try.
    pub id: SessionId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// The viewer; the same over all its tries.
    pub viewer: Text,
    /// What it wants to watch.
    pub title: Text,
    /// When the viewer gives this try up.
    pub due: Micros,
    /// A guess of the session's length, seconds.
    pub hint: Option<f64>,
    /// First cell that holds the title.
    pub home: u32,
    /// So many cells in a row hold it.
    pub copies: u32,
    /// Highest rung that the viewer can use.
    pub top: Rung,
    /// The viewer says that it repeats.
    pub retry: bool,
    /// It is back from a move.
    pub moved: bool,
    /// It is not the viewer's first try.
    pub again: bool,
}

impl Request {
    /// A first try of class and tenant 0, held from cell 0 on.
    pub fn new(id: SessionId, title: Text, due: Micros, copies: u32, top: usize) -> Request {
        Request {
            id,
            class: 0,
            tenant: 0,
            viewer: Text::from(""),
            title,
            due,
            hint: None,
            home: 0,
            copies,
            top: Rung(top),
            retry: false,
            moved: false,
            again: false,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served to its end.
    Completed,
    /// The server answered with an error.
    Errored,
    /// Turned away unseen.
    Saturated,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled, moved, or left by its viewer.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Status {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Saturated | Status::ConnectFailed | Status::Moot)
    }
}

/// A server's load report; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that it runs or sets up.
    pub inflight: Option<f64>,
    /// Set-ups waiting.
    pub queue: Option<f64>,
    /// Share of its link that is asked, 1 at most.
    pub util: Option<f64>,
    /// Recent time of a set-up, milliseconds.
    pub latency_ms: Option<f64>,
    /// Set-ups a second.
    pub rate: Option<f64>,
    /// Failed set-ups a second.
    pub fail_rate: Option<f64>,
    /// What is asked of its link over what that gives.
    pub link: Option<f64>,
    /// The same for the uplink of its rack.
    pub uplink: Option<f64>,
}

/// What a note on a playing session tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the rates delivered at that server, smoothed and late.
    Delivered(f64),
    /// The rung in force.
    Rung(Rung),
    /// What is asked of the server's link over what that gives.
    Link(f64),
    /// The same for the uplink of its rack.
    Uplink(f64),
}

/// What a front hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Members {
        /// What it carries.
        kind: ListKind,
        /// The entries.
        servers: Vec<ServerEntry>,
    },
    /// A viewer asks for a session.
    Request(Request),
    /// A session that plays when the front starts.
    Open {
        /// Its request.
        request: Request,
        /// Its server.
        server: ServerId,
    },
    /// A set-up is done: the viewer watches.
    First {
        /// The session.
        id: SessionId,
        /// Its attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        took: Micros,
    },
    /// A note on a session.
    Note {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// What it tells.
        note: Note,
    },
    /// An attempt ended.
    Outcome {
        /// The session.
        id: SessionId,
        /// Its attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        took: Micros,
        /// The session has ended; else an answer is still owed.
        closed: bool,
        /// The server's report, if one came.
        load: Load,
    },
    /// The viewer left, or its time is over.
    Gone(SessionId),
    /// A timer has run down.
    Timer(u64),
    /// How many fronts there are, and which of them this one is: [`Settings::fronts`] and [`Settings::me`] anew.
    Fronts {
        /// How many; not 0.
        count: u32,
        /// Its number, from 0.
        place: u32,
    },
    /// New settings. Classes and tenants keep their numbers while any session refers to them; cells, racks and the
    /// ladder stay as they are.
    Settings(Box<Settings>),
    /// Cold turns are this front's if they begin then or later; [`Micros::MAX`]: none.
    Turns(Micros),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        took: Micros,
        /// The server's report, if one came.
        load: Load,
    },
    /// A message from another front.
    Peer {
        /// The sender's number.
        from: u32,
        /// What it wrote.
        data: Vec<u8>,
    },
}

/// What a front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a server to start the session.
    Send {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// Time-out of this attempt.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The session.
        id: SessionId,
        /// Its attempt.
        attempt: u32,
    },
    /// Final answer: refused; coming again is harmless.
    Refuse {
        /// The session.
        id: SessionId,
        /// Advice to stay away; zero: none.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(SessionId),
    /// Take the session off its server; its viewer comes back.
    Move(SessionId),
    /// Set the rung.
    Rate {
        /// The session.
        id: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Ask for [`Event::Timer`].
    Timer {
        /// Comes back with the event.
        token: u64,
        /// From now.
        delay: Micros,
    },
    /// Ask a server how it is.
    Probe(ServerId),
    /// Close idle connections to a server.
    Close(ServerId),
    /// Write to one front, or to all others.
    Tell {
        /// The receiver; none: all.
        to: Option<u32>,
        /// The message, 256 bytes at most.
        data: Vec<u8>,
    },
    /// Ask for news of the list, or stop asking.
    Watch(bool),
    /// Ask for the complete list once.
    Fetch,
    /// A line for the operators' log.
    Log(String),
}
