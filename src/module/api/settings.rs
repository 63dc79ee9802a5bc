//! The settings of the decision module: the deployment and its limits.

use super::{Class, Micros, Request, ServerEntry, Tenant};

/// The budget of attempts beyond each session's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are always allowed within a window.
    pub floor: f64,
    /// Further attempts for each request accepted within the window.
    pub ratio: f64,
    /// The length of the window.
    pub span: Micros,
}

/// How a broker learns of changes to the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Changes must be requested.
    OnRequest,
}

/// The settings of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of brokers.
    pub broker_count: u32,
    /// The index of this broker among them.
    pub broker_index: u32,
    /// The zone of this broker.
    pub zone: u32,
    /// The minimum time between batches of events.
    pub tick: Micros,
    /// The classes of sessions.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's quota, relative to one within it.
    pub over_share_worth: f64,
    /// The rate of each rung, in kB per second.
    pub rung_kb: Vec<f64>,
    /// The worth of each rung.
    pub rung_worth: Vec<f64>,
    /// The number of cells.
    pub cells: u32,
    /// The number of racks; a server's rack is its cell modulo this number.
    pub racks: u32,
    /// The approximate rate of a server's link, in kB per second for each unit of its weight.
    pub link_unit_kb: f64,
    /// The mean rate of a rack's uplink, in kB per second.
    pub rack_kb: f64,
    /// The maximum number of streams that a server of each kind runs.
    pub kind_streams: Vec<u32>,
    /// The share of the rate that each further viewer of a shared stream adds.
    pub shared_viewer_cost: f64,
    /// Points of worth lost for each point of the rate that is not delivered.
    pub shortfall_penalty: f64,
    /// The cost of a rung change while playing, in seconds of worth.
    pub switch_s: f64,
    /// The delay of periodic notes.
    pub note_delay: Micros,
    /// The time between notes of utilization; zero if none are sent.
    pub load_note_interval: Micros,
    /// The link utilization from which servers reject set-ups; zero if they never do.
    pub link_limit: f64,
    /// The maximum number of attempts for one session.
    pub max_attempts: u32,
    /// The longest retry delay that viewers honour; zero if none may be advised.
    pub max_retry_after: Micros,
    /// The price of a move, in points for each session.
    pub move_price: f64,
    /// The share of the score deducted for each session that crosses zones.
    pub cross_zone_price: f64,
    /// The share of the score deducted for each new connection to a server, relative to the number of first
    /// requests.
    pub handshake_price: f64,
    /// The time after which servers close idle connections; zero if they never do.
    pub idle: Micros,
    /// The time after which a draining server must get no new sessions.
    pub drain_grace: Micros,
    /// The time that a started server needs to warm up; zero if it is warm at once.
    pub warm_up: Micros,
    /// The share of its capacity with which a server starts.
    pub initial_capacity: f64,
    /// A server that is warming up fails if it gets set-ups at more than this multiple of its present pace.
    pub overload_factor: f64,
    /// The window within which that pace is measured.
    pub overload_window: Micros,
    /// The budget of further attempts, if there is one.
    pub budget: Option<RetryBudget>,
    /// How changes to the server list arrive.
    pub discovery: Discovery,
    /// Whether the utilization of uplinks is reported.
    pub uplink_reported: bool,
    /// The memory for the popularity of titles that have no session, in bytes.
    pub idle_title_bytes: usize,
}

/// [`Settings::idle_title_bytes`] where nothing limits the memory.
const DEFAULT_IDLE_TITLE_BYTES: usize = 3 * 1024 * 1024;

impl Settings {
    /// Returns settings with a ladder and permissive defaults for the rest; classes must still be added.
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
            idle_title_bytes: DEFAULT_IDLE_TITLE_BYTES,
        }
    }

    /// Returns the rate of `n` viewers of one class and title at a rung, in kB per second. Viewers of a live
    /// title share a stream.
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
