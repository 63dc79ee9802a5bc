//! What is played: the fleet, the viewers, and what goes wrong when.

use std::net::{Ipv4Addr, SocketAddr};

use amberspindle::api::{Micros, Settings};
use amberspindle::config::Config;
use serde_json::json;

use crate::deployment::Deployment;

/// A crowd comes for a few titles, beside the usual viewers.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// From when, since the start.
    pub from: Micros,
    /// Until when.
    pub until: Micros,
    /// So many times the usual rate in all; the part beyond 1 is the crowd's.
    pub times: f64,
    /// So many titles, the least wanted ones; 0: spread like the usual ones.
    pub titles: usize,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A box's process dies: its connections are reset, new ones refused.
    Dies(usize),
    /// A box falls silent: what is sent there gets no answer.
    Silent(usize),
    /// It comes back as it was from silence, or starts anew and cold after it died.
    Back(usize),
    /// A box drains: the brokers are told, and its sessions play on.
    Drains(usize),
    /// A box says full to brokers with odd numbers, whatever room it has.
    FullToOdd(usize),
    /// A broker is killed and starts at once, with nothing but the list.
    Restart(usize),
    /// All brokers read their configuration anew at the same instant, and the whole list with it.
    Reload,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All chance comes from it.
    pub seed: u64,
    /// How long viewers come.
    pub length: Micros,
    /// Brokers.
    pub brokers: usize,
    /// Boxes.
    pub boxes: usize,
    /// Cells that the boxes stand in.
    pub cells: u32,
    /// Cells in a row that hold a title.
    pub copies: u32,
    /// Titles of each class.
    pub titles: usize,
    /// Requests a second over all brokers.
    pub rate: f64,
    /// Crowds.
    pub crowds: Vec<Crowd>,
    /// Faults and when they are, since the start.
    pub faults: Vec<(Micros, Fault)>,
    /// Until brokers hear of a change of the list.
    pub notice: Micros,
    /// The deployment that is played.
    pub deployment: Deployment,
    /// What the brokers are told of it.
    pub settings: Settings,
    /// Time to the answer of a set-up in an idle box.
    pub setup: Micros,
    /// Mean length of a session.
    pub life: Micros,
}

impl Plan {
    /// A fleet of so many brokers and boxes, with viewers for about half of what its links carry.
    pub fn new(seed: u64, brokers: usize, boxes: usize) -> Plan {
        Plan::of(Deployment::video(), seed, brokers, boxes)
    }

    /// A fleet of a deployment.
    pub fn of(deployment: Deployment, seed: u64, brokers: usize, boxes: usize) -> Plan {
        let cells = (boxes / 2).max(3) as u32;
        let settings = deployment.settings(brokers as u32, boxes, cells);
        Plan {
            seed,
            length: Micros(20_000_000),
            brokers,
            boxes,
            cells,
            copies: 3,
            titles: boxes * 2,
            rate: boxes as f64 * deployment.rate_a_box,
            crowds: Vec::new(),
            faults: Vec::new(),
            notice: Micros(2_000_000),
            settings,
            setup: Micros(25_000),
            life: Micros::from_secs(deployment.life_s),
            deployment,
        }
    }

    /// A crowd that brings half as many viewers again within three seconds: boxes run short of places and links.
    pub fn crowded(seed: u64, brokers: usize, boxes: usize) -> Plan {
        Plan::new(seed, brokers, boxes).with_crowd()
    }

    /// The same day with that crowd.
    pub fn with_crowd(self) -> Plan {
        let mut plan = self;
        plan.crowds =
            vec![Crowd { from: Micros(8_000_000), until: Micros(11_000_000), times: 4.0, titles: 0 }];
        plan
    }

    /// A box's name, as brokers know it.
    pub fn name(&self, of: usize, start: u32) -> String {
        format!("s-{of:04x}{start:04x}")
    }

    /// Where a box listens.
    pub fn address(&self, of: usize) -> SocketAddr {
        let of = of as u32;
        (Ipv4Addr::from(0x0a01_0000 + of), 3868).into()
    }

    /// A box's cell.
    pub fn cell(&self, of: usize) -> u32 {
        of as u32 % self.cells
    }

    /// A box's rack.
    pub fn rack_of(&self, of: usize) -> usize {
        (self.cell(of) % self.settings.racks.max(1)) as usize
    }

    /// One broker's configuration. It differs from the others' by number and by chance.
    pub fn config(&self, broker: usize, start: u32) -> Config {
        let named = |name: &str| json!({"Name": name, "Slo": 1000, "Deadline": 5000, "Effect": "read_like"});
        let classes: Vec<_> = self.deployment.classes.iter().map(|class| named(&class.name)).collect();
        let tenants: Vec<_> = self.deployment.tenants.iter().map(|name| json!({"Name": name})).collect();
        let settings = json!({
            "Instances": self.brokers, "SlotNo": broker, "Locality": 0, "Period": 10, "Kinds": ["std"], "Azs": ["one"],
            "Tenants": tenants, "RequestClasses": classes, "Limits": {"AttemptsCap": 4},
            "FamilyInfo": {"LadderKb": [1.0], "LadderWorth": [1.0], "Places": self.cells, "Racks": 1,
                "LinkUnitKb": 1.0, "RackKb": 1.0}, "Rules": {}});
        let seed = format!(
            "{:x}",
            self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(broker as u64 * 65_537) ^ u64::from(start)
        );
        let read = Config::read(&json!({"settings": settings, "seed": seed, "name": format!("n{broker}")}));
        let mut config = read.unwrap_or_else(|findings| panic!("the laboratory's configuration: {findings}"));
        config.settings = Settings { broker_index: broker as u32, ..self.settings.clone() };
        (config.idle, config.connect_timeout) = (self.settings.idle, Micros(250_000));
        config
    }
}
