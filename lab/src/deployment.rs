//! A deployment as data: its classes, what boxes report, its prices and its limits, as far as brokers are told of them.
//! Read from a file, or drawn from a seed.

mod drawn;

use amberspindle::api::{Class, Idempotency, KeyScope, Micros, Rung, Settings};
use serde::Deserialize;

/// What a repeated set-up of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// No harm.
    Safe,
    /// A set-up is paid for: it must run once.
    Paid,
    /// Servers recognise a repeat by its key for a while.
    Keyed,
}

/// One class of sessions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRecord {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// What a repeated set-up does.
    pub repeat: Repeat,
    /// Wanted playing within this, ms.
    pub aim_ms: u64,
    /// Given up after this, ms.
    pub deadline_ms: u64,
    /// Worth of a session's second.
    pub worth: f64,
    /// Viewers of one title share a stream.
    pub live: bool,
    /// Its rates over the ladder's.
    pub scale: f64,
    /// The lowest rung that it may play at, from 0.
    pub floor: usize,
    /// The highest rung that it may play at, from 0.
    pub top: usize,
    /// Sessions of one title at once; none: no limit.
    #[serde(default)]
    pub seats: Option<u32>,
}

/// A figure that a box reports with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Report {
    /// Fullness of its link, 1 at most.
    Util,
    /// What is asked of its link over what it gives.
    X0,
    /// The same of its rack's uplink.
    X1,
}

impl Report {
    /// The field's name on the wire.
    pub fn field(self) -> &'static str {
        match self {
            Report::Util => "util",
            Report::X0 => "x0",
            Report::X1 => "x1",
        }
    }
}

/// What an operator's settings say.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Classes of sessions.
    pub classes: Vec<ClassRecord>,
    /// Names of tenants, of which requests name the first; empty: there are none.
    pub tenants: Vec<String>,
    /// Rates of the rungs, kB a second.
    pub ladder_kb: Vec<f64>,
    /// Worth of the rungs.
    pub ladder_worth: Vec<f64>,
    /// What boxes report. Uplinks are noted to sessions only where they are reported.
    pub reports: Vec<Report>,
    /// Attempts for one request at most.
    pub attempts_most: u32,
    /// Longest advice to stay away, ms.
    pub retry_after_ms: u64,
    /// Streams that a box runs at most.
    pub streams: u32,
    /// Rate of a box's link, kB a second.
    pub link_kb: f64,
    /// Boxes in a rack, roughly.
    pub rack_boxes: usize,
    /// Part of its boxes' links that a rack's uplink carries.
    pub uplink_part: f64,
    /// Racks and links differ by so much from what the list says, up or down.
    pub uneven: f64,
    /// Part of the rate that a further viewer of a shared stream adds.
    pub join: f64,
    /// Points of worth for each point that is not delivered.
    pub stall: f64,
    /// Seconds of worth that a change of rung costs.
    pub switch_s: f64,
    /// How late notes come, ms.
    pub see_ms: u64,
    /// Time between notes on links, ms.
    pub tell_ms: u64,
    /// Fullness of a link at which a box takes nothing new; 0: it takes set-ups however full it is.
    pub guard: f64,
    /// Price of moving each session once.
    pub move_price: f64,
    /// Price of a new connection for each session.
    pub handshake_price: f64,
    /// Idle connections are closed after this, ms.
    pub idle_ms: u64,
    /// Nothing new goes to a box so long after its drain was told, ms.
    pub drain_grace_ms: u64,
    /// A box that has just started is cold for so long, ms.
    pub cold_ms: u64,
    /// The share of its places that it starts with.
    pub cold_from: f64,
    /// So many times its pace push a cold box over.
    pub fall_multiple: f64,
    /// Within this, ms.
    pub fall_ms: u64,
    /// Mean length of a session, s.
    pub life_s: f64,
    /// Requests a second for each box.
    pub rate_a_box: f64,
}

fn ms(ms: u64) -> Micros {
    Micros(ms * 1000)
}

impl ClassRecord {
    fn class(&self) -> Class {
        let keyed = Idempotency::Keyed { scope: KeyScope::All, window: ms(self.deadline_ms) };
        let effect = match self.repeat {
            Repeat::Safe => Idempotency::Safe,
            Repeat::Paid => Idempotency::Unsafe,
            Repeat::Keyed => keyed,
        };
        Class {
            worth: self.worth,
            live: self.live,
            scale: self.scale,
            floor: Rung(self.floor),
            top: Rung(self.top),
            seats: self.seats,
            ..Class::new(ms(self.aim_ms), ms(self.deadline_ms), effect)
        }
    }
}

impl Deployment {
    /// Read from a file's text.
    pub fn read(text: &str) -> Result<Deployment, toml::de::Error> {
        toml::from_str(text)
    }

    /// Uplinks are reported, links are guarded, no class has a floor.
    pub fn video() -> Deployment {
        Deployment::built_in(include_str!("../deployments/video.toml"))
    }

    /// Links alone are reported, boxes take set-ups however full they are, a paid class has a floor.
    pub fn lessons() -> Deployment {
        Deployment::built_in(include_str!("../deployments/lessons.toml"))
    }

    fn built_in(text: &str) -> Deployment {
        Deployment::read(text).unwrap_or_else(|error| panic!("a deployment of the laboratory: {error}"))
    }

    /// The index of a class.
    pub fn class_named(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Whether boxes tell of uplinks.
    pub fn reports_uplinks(&self) -> bool {
        self.reports.contains(&Report::X1)
    }

    /// What the brokers of a fleet are told.
    pub fn settings(&self, brokers: u32, boxes: usize, cells: u32) -> Settings {
        let mut set = Settings::new(self.ladder_kb.clone(), self.ladder_worth.clone());
        set.classes = self.classes.iter().map(ClassRecord::class).collect();
        (set.broker_count, set.cells) = (brokers, cells);
        // Racks are cells modulo their number.
        set.racks = (boxes.div_ceil(self.rack_boxes.max(1)) as u32).min(cells);
        set.tick = ms(10);
        set.link_unit_kb = self.link_kb;
        set.rack_kb = self.link_kb * self.uplink_part * boxes as f64 / f64::from(set.racks);
        set.kind_streams = vec![self.streams];
        (set.shared_viewer_cost, set.shortfall_penalty, set.switch_s) =
            (self.join, self.stall, self.switch_s);
        (set.note_delay, set.load_note_interval, set.link_limit) =
            (ms(self.see_ms), ms(self.tell_ms), self.guard);
        (set.max_attempts, set.max_retry_after) = (self.attempts_most, ms(self.retry_after_ms));
        (set.move_price, set.handshake_price) = (self.move_price, self.handshake_price);
        (set.idle, set.drain_grace) = (ms(self.idle_ms), ms(self.drain_grace_ms));
        (set.warm_up, set.initial_capacity) = (ms(self.cold_ms), self.cold_from);
        (set.overload_factor, set.overload_window) = (self.fall_multiple, ms(self.fall_ms));
        set.uplink_reported = self.reports_uplinks();
        set
    }
}
