//! Fixed plans of planned ends, as the issue on planned ends measured them: one broker before fifteen servers of which
//! some hang, clients that go on asking on open connections, and one end after another.

use std::time::Duration;

use super::{Act, Plan, ServerFault};
use crate::herd::deployment::{Class, Deployment};

const SERVERS: usize = 15;
/// Time before the first end, and between the earliest kill and the next end.
const BETWEEN_MS: u64 = 2_000;
/// The earliest kill comes this and the longest deadline, counted as so much at most, after SIGTERM.
const KILL_DELAY_MS: u64 = 700;
const LONGEST_COUNTED_MS: u64 = 3_000;
const LONGEST_COUNTED_UPGRADE_MS: u64 = 5_000;

/// One row.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Its name.
    pub name: &'static str,
    /// A new version serves first.
    pub upgrade: bool,
    /// Deadlines of the classes, in milliseconds; every other class is paid, beginning with the seed's parity.
    pub deadlines_ms: &'static [u32],
    /// Clients, and requests a second of all together.
    pub clients: usize,
    /// See there.
    pub per_second: u32,
    /// Ends, one after another.
    pub ends: u64,
    /// What of the servers fails, and how many of them do.
    pub fault: (ServerFault, usize),
}

const HANG: (ServerFault, usize) = (ServerFault::Hangs, 4);

/// All rows.
pub const ROWS: [Row; 8] = [
    row("plain, 3 and 5 s", false, &[3_000, 5_000], (6, 25), 3, HANG),
    row(
        "plain, 3 and 5 s, one request in 50 hangs",
        false,
        &[3_000, 5_000],
        (6, 25),
        3,
        (ServerFault::HangsSeldom, SERVERS),
    ),
    row("plain, 1.2 s", false, &[1_200], (6, 25), 3, HANG),
    row("plain, 0.7 and 2.5 s, 60/s", false, &[700, 2_500], (6, 60), 3, HANG),
    row("upgrade, 3 and 5 s", true, &[3_000, 5_000], (6, 25), 3, HANG),
    row("upgrade, 1.2 s", true, &[1_200], (6, 25), 3, HANG),
    row("upgrade, 10 s", true, &[10_000], (6, 25), 3, HANG),
    row("upgrade, 1.2 and 3 s, 20 connections, 300/s", true, &[1_200, 3_000], (20, 300), 6, HANG),
];

const fn row(
    name: &'static str,
    upgrade: bool,
    deadlines_ms: &'static [u32],
    (clients, per_second): (usize, u32),
    ends: u64,
    fault: (ServerFault, usize),
) -> Row {
    Row { name, upgrade, deadlines_ms, clients, per_second, ends, fault }
}

impl Row {
    /// The plan with a seed, which draws who asks what and when.
    pub fn plan(&self, seed: u64) -> Plan {
        let mut deployment = Deployment::fixed();
        let class = |(n, deadline_ms): (usize, &u32)| Class {
            name: format!("class-{n}"),
            aim_ms: deadline_ms / 2,
            deadline_ms: *deadline_ms,
            paid: (n as u64 + seed).is_multiple_of(2),
            seats: 0,
            floor: 0,
            worth: 1.0,
        };
        deployment.classes = self.deadlines_ms.iter().enumerate().map(class).collect();
        deployment.link_unit_kb = 100_000.0;
        deployment.repeat_ratio = None;
        let counted = if self.upgrade { LONGEST_COUNTED_UPGRADE_MS } else { LONGEST_COUNTED_MS };
        let kill_ms = u64::from(deployment.longest_deadline_ms()).min(counted) + KILL_DELAY_MS;
        let every = kill_ms + BETWEEN_MS;
        let (fault, failing) = self.fault;
        let faults = (0..failing).map(|server| (Duration::ZERO, Act::Server(server, Some(fault))));
        let end = if self.upgrade { Act::Upgrade(0) } else { Act::Restart(0) };
        let ends = (0..self.ends).map(|n| (Duration::from_millis(BETWEEN_MS + n * every), end));
        Plan {
            seed,
            deployment,
            brokers: 1,
            servers: SERVERS,
            clients: self.clients,
            pause: Duration::from_secs(1) * self.clients as u32 / self.per_second,
            gives_up_percent: 0,
            inherits: self.upgrade,
            acts: faults.chain(ends).collect(),
            load: Duration::from_millis(BETWEEN_MS + self.ends * every),
        }
    }
}
