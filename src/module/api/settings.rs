//! What the decision module is told of its deployment.

use super::{Class, Micros, Request, ServerEntry, Tenant};

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
    pub broker_count: u32,
    /// This front's number among them.
    pub broker_index: u32,
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
    pub shared_viewer_cost: f64,
    /// Points of worth lost for each point of the rate that is missing.
    pub shortfall_penalty: f64,
    /// A change of rung while playing costs so many seconds of worth.
    pub switch_s: f64,
    /// How late periodic notes are.
    pub note_delay: Micros,
    /// Time between notes of fullness; zero: none.
    pub load_note_interval: Micros,
    /// Servers turn set-ups away while so much of their link is asked; zero: never.
    pub link_limit: f64,
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
    pub warm_up: Micros,
    /// It starts at this part of its capacity.
    pub initial_capacity: f64,
    /// More than this multiple of its present pace makes it fall.
    pub overload_factor: f64,
    /// Within this.
    pub overload_window: Micros,
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
            broker_count: 1,
            broker_index: 0,
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
            shared_viewer_cost: 1.0,
            shortfall_penalty: 1.0,
            switch_s: 0.0,
            note_delay: Micros(0),
            load_note_interval: Micros(0),
            link_limit: 0.0,
            max_attempts: 1,
            max_retry_after: Micros(0),
            move_price: 0.0,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle: Micros(0),
            drain_grace: Micros(0),
            warm_up: Micros(0),
            initial_capacity: 1.0,
            overload_factor: 1.0,
            overload_window: Micros(0),
            budget: None,
            discovery: Discovery::Pushed,
            uplink_reported: false,
        }
    }

    /// Rate of `n` viewers of one class and title at a rung, kB a second; viewers of a live title share a stream.
    pub fn stream_kb(&self, class: usize, n: usize, rung: usize) -> f64 {
        let (Some(class), Some(kb)) = (self.classes.get(class), self.rung_kb.get(rung)) else { return 0.0 };
        let further = if class.live { self.shared_viewer_cost } else { 1.0 };
        let streams = if n == 0 { 0.0 } else { 1.0 + further * (n - 1) as f64 };
        streams * class.scale * kb
    }

    /// Whether a server's cell is among those that hold the title.
    pub fn holds(&self, server: &ServerEntry, request: &Request) -> bool {
        let cells = self.cells.max(1);
        (server.cell % cells + cells - request.home % cells) % cells < request.copies
    }
}
