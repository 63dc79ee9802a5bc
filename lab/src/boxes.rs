//! Models of media boxes: places, links, racks' uplinks, cold starts. They know no broker and no bytes.

use std::collections::BTreeMap;

use amberspindle::api::{Micros, SessionId, Settings, Text};

/// How a box is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It runs.
    Up,
    /// It runs and is to take nothing new.
    Draining,
    /// It gives no sign.
    Silent,
    /// Its process is dead.
    Dead,
}

/// A session at a box.
#[derive(Clone, Debug)]
pub struct Held {
    /// The broker that set it up.
    pub broker: usize,
    /// Index of its class.
    pub class: usize,
    /// Its title.
    pub title: Text,
    /// Its rung.
    pub rung: usize,
    /// It plays; else it is still set up.
    pub plays: bool,
}

/// One box.
#[derive(Clone, Debug)]
pub struct MediaBox {
    /// How it is.
    pub health: Health,
    /// Starts so far; a new start is another server.
    pub start: u32,
    /// When it started; none: long ago.
    pub started: Option<Micros>,
    /// What its link gives, kB a second.
    pub link_kb: f64,
    /// Streams that it runs at most.
    pub places: usize,
    /// It turns brokers with odd numbers away.
    pub full_to_odd: bool,
    /// Its sessions.
    pub held: BTreeMap<SessionId, Held>,
}

impl MediaBox {
    /// A box that started long ago and holds nothing.
    pub fn new(link_kb: f64, places: usize) -> MediaBox {
        MediaBox {
            health: Health::Up,
            start: 0,
            started: None,
            link_kb,
            places,
            full_to_odd: false,
            held: BTreeMap::new(),
        }
    }

    /// Streams by title, class and rung, and how many watch each: viewers of a live title share one.
    fn streams(&self, set: &Settings) -> BTreeMap<(usize, usize, &str, Option<SessionId>), usize> {
        let mut streams = BTreeMap::new();
        for (id, held) in &self.held {
            let live = set.classes.get(held.class).is_some_and(|class| class.live);
            let alone = if live { None } else { Some(*id) };
            *streams.entry((held.class, held.rung, &*held.title, alone)).or_default() += 1;
        }
        streams
    }

    /// What its sessions ask of its link, kB a second.
    pub fn asked_kb(&self, set: &Settings) -> f64 {
        self.streams(set).iter().map(|((class, rung, ..), n)| set.stream_kb(*class, *n, *rung)).sum()
    }

    /// The share of its capacity that it has: a box that has just started is cold.
    pub fn warmed(&self, now: Micros, set: &Settings) -> f64 {
        let Some(started) = self.started.filter(|_| set.warm_up > Micros(0)) else { return 1.0 };
        let part = ((now - started).secs() / set.warm_up.secs()).min(1.0);
        set.initial_capacity + (1.0 - set.initial_capacity) * part
    }

    /// Whether it takes a set-up of a broker: it has a place, and its link is not full.
    pub fn takes(&self, now: Micros, set: &Settings, broker: usize, new: &Held) -> bool {
        let joins = set.classes.get(new.class).is_some_and(|c| c.live)
            && self.held.values().any(|h| h.class == new.class && h.rung == new.rung && h.title == new.title);
        let room = joins || self.streams(set).len() < self.places;
        let link = self.link_kb * self.warmed(now, set);
        let guarded = set.link_limit > 0.0 && self.asked_kb(set) >= set.link_limit * link;
        room && !guarded && !(self.full_to_odd && broker % 2 == 1)
    }

    /// Fullness of its link.
    pub fn full(&self, now: Micros, set: &Settings) -> f64 {
        self.asked_kb(set) / (self.link_kb * self.warmed(now, set)).max(1.0)
    }
}

/// The share of its rates that a box delivers, by the fullness of its link and its rack's uplink.
pub fn delivered([link, uplink]: [f64; 2]) -> f64 {
    1.0 / link.max(uplink).max(1.0)
}

/// Fullness of a rack's uplink, by its boxes.
pub fn uplink<'a>(boxes: impl Iterator<Item = &'a MediaBox>, kb: f64, set: &Settings) -> f64 {
    boxes.map(|at| at.asked_kb(set)).sum::<f64>() / kb.max(1.0)
}
