//! Carries bytes between brokers, boxes and viewers on the virtual clock.

mod boxes;
mod brokers;
mod faults;
mod telling;
mod viewers;

use std::collections::{BTreeMap, BTreeSet};

use amberspindle::api::{Idempotency, ListKind, Micros, ServerEntry, ServerId, ServerState, SessionId, Text};
use amberspindle::message::binary::{Builder, Decoder, code};
use amberspindle::message::{Kind, cause};
use amberspindle::node::{Node, Protocol};
use amberspindle::platform::links::{Command, ConnId, ConnectionEnd};
use amberspindle::roster::{ListUpdate, ListedServer};
use serde_json::{Value, json};

use crate::boxes::{Health, Held, MediaBox, delivered, uplink};
use crate::plan::{Fault, Plan};
use crate::queue::Queue;
use crate::rules::{Cold, Rules};
use crate::tally::Tally;
use crate::viewers::{Ask, Viewers};

/// The clock's first reading: long after the zero that stands for "long ago".
const START: Micros = Micros(1_000_000_000);
/// One way between any two.
const WAY: Micros = Micros(250);
/// Until a connection that is not answered has failed.
const CONNECT_TIMEOUT: Micros = Micros(250_000);
/// Time between looks at what sessions get.
const SAMPLE: Micros = Micros(200_000);
/// Time between words on short delivery.
const SHORT_EVERY: Micros = Micros(1_000_000);
/// Under this share delivered sessions lose worth.
const SHORT: f64 = 0.98;
/// Part of viewers that come again after a refusal or a break.
const RETURNS: f64 = 0.85;
/// They come again after so long.
const REJOIN: (f64, f64) = (1.5, 3.0);
/// A try beyond this many is a viewer's last.
const TRIES_MOST: u32 = 4;

/// A connection of one start of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    broker: usize,
    start: u32,
    conn: ConnId,
}

#[derive(Debug)]
enum Due {
    /// A viewer comes.
    Comes(Ask, u32),
    /// A viewer's time is over.
    GivesUp(SessionId),
    /// A broker wants its tick.
    Tick(usize),
    /// A connection is answered by its box.
    Dialled(Line, usize),
    /// A connection was not answered.
    Unanswered(Line),
    /// Bytes reach a box.
    ToBox(Line, usize, Vec<u8>),
    /// Bytes reach a broker.
    ToBroker(Line, Vec<u8>),
    /// A connection's end reaches a broker.
    Ended(Line, bool),
    /// A connection's end reaches a box.
    LeftBox(Line, usize),
    /// Bytes reach viewers.
    ToViewers(Line, Vec<u8>),
    /// A box has set a session up.
    SetUp(usize, u32, SessionId),
    /// A session has lasted.
    Over(usize, u32, SessionId),
    /// Boxes tell how full they are.
    Tell,
    /// Boxes that deliver short tell.
    Short,
    /// What sessions get is looked at.
    Sample,
    /// Something goes wrong.
    Fault(Fault),
    /// A broker hears of a change of the list.
    News(usize, u32, Vec<ListedServer>),
}

struct Slot {
    node: Node,
    start: u32,
    viewers: Option<ConnId>,
    alarm: Micros,
    text: Vec<u8>,
}

/// A connection as a box has it.
struct Way {
    decoder: Decoder,
    of: usize,
}

/// A viewer's try.
struct Try {
    ask: Ask,
    tries: u32,
    asked: Micros,
    answered: bool,
    broker: (usize, u32),
    plays: bool,
}

/// Everything that is played.
pub struct World {
    plan: Plan,
    queue: Queue<Due>,
    slots: Vec<Slot>,
    boxes: Vec<MediaBox>,
    racks_kb: Vec<f64>,
    ways: BTreeMap<Line, Way>,
    /// What boxes could not tell for want of a connection, by box and broker.
    untold: BTreeMap<(usize, usize), Vec<Vec<u8>>>,
    /// Brokers that a box delivered short to.
    short: BTreeSet<usize>,
    tries: BTreeMap<SessionId, Try>,
    viewers: Viewers,
    /// The rules.
    pub rules: Rules,
    /// The counts.
    pub tally: Tally,
}

impl World {
    /// A day that is about to begin.
    pub fn new(plan: Plan) -> World {
        let mut viewers = Viewers::new(&plan);
        let day = viewers.day(&plan);
        let set = &plan.settings;
        let mut vary = |kb: f64| kb * (1.0 + plan.deployment.uneven * (2.0 * viewers.chance() - 1.0));
        let boxes: Vec<MediaBox> = (0..plan.boxes)
            .map(|_| {
                MediaBox::new(vary(set.link_unit_kb), set.kind_streams.first().map_or(1, |n| *n as usize))
            })
            .collect();
        let racks_kb = (0..set.racks).map(|_| vary(set.rack_kb)).collect();
        let mut queue = Queue::new(START);
        for ask in day {
            queue.at(START + ask.at, Due::Comes(ask, 1));
        }
        for (at, fault) in &plan.faults {
            queue.at(START + *at, Due::Fault(*fault));
        }
        queue.after(set.load_note_interval, Due::Tell);
        queue.after(SHORT_EVERY, Due::Short);
        queue.after(SAMPLE, Due::Sample);
        let mut world = World {
            queue,
            slots: Vec::new(),
            boxes,
            racks_kb,
            ways: BTreeMap::new(),
            untold: BTreeMap::new(),
            short: BTreeSet::new(),
            tries: BTreeMap::new(),
            viewers,
            rules: Rules::new(&plan.deployment),
            tally: Tally::default(),
            plan,
        };
        for broker in 0..world.plan.brokers {
            let slot = world.start(broker, 0);
            world.slots.push(slot);
            world.whole_list(broker);
        }
        world
    }

    /// Plays the day to its end, and a little on, so that all is answered.
    pub fn play(&mut self) {
        let longest = self.plan.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let end = START + self.plan.length + longest + Micros(1_000_000);
        while let Some(due) = self.queue.pop(end) {
            self.due(due);
        }
        self.rules.finish(self.queue.now());
    }

    fn due(&mut self, due: Due) {
        let now = self.queue.now();
        match due {
            Due::Tick(broker) => {
                self.slots[broker].alarm = Micros::MAX;
                self.with(broker, |node, out| {
                    if node.next_alarm() <= now {
                        node.tick(now, out);
                    }
                });
            }
            Due::Comes(ask, tries) => self.comes(ask, tries),
            Due::GivesUp(id) => self.gives_up(id),
            Due::Dialled(line, of) if self.lives(&line) => self.dialled(line, of),
            Due::Unanswered(line) if self.lives(&line) => {
                self.with(line.broker, |node, out| {
                    node.closed(now, line.conn, &ConnectionEnd::NoAnswer, out)
                });
            }
            Due::ToBox(line, of, bytes) => self.box_hears(line, of, &bytes),
            Due::ToBroker(line, bytes) if self.lives(&line) => {
                self.with(line.broker, |node, out| node.bytes(now, line.conn, &bytes, out));
            }
            Due::Ended(line, reset) if self.lives(&line) => {
                let how = ConnectionEnd::Ended { unsent: Vec::new(), unfinished: Vec::new(), reset };
                self.with(line.broker, |node, out| node.closed(now, line.conn, &how, out));
            }
            Due::LeftBox(line, of) => self.left(line, of),
            Due::ToViewers(line, bytes) if self.lives(&line) => self.viewers_hear(line, &bytes),
            Due::SetUp(of, start, id) => self.set_up(of, start, id),
            Due::Over(of, start, id) => self.over(of, start, id),
            Due::Tell => self.tell(),
            Due::Short => self.tell_short(),
            Due::Sample => self.sample(),
            Due::Fault(fault) => self.fault(fault),
            Due::News(broker, start, servers) if self.slots[broker].start == start => {
                self.hear(broker, ListUpdate { kind: ListKind::Changes, servers });
            }
            Due::Dialled(..)
            | Due::Unanswered(_)
            | Due::ToBroker(..)
            | Due::Ended(..)
            | Due::ToViewers(..)
            | Due::News(..) => {}
        }
    }
}
