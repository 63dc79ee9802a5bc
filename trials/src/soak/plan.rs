//! Plans: a deployment, its size and what is brought about when, each drawn from one seed.

pub mod rows;

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use crate::herd::board::Fault as BoardFault;
use crate::herd::deployment::Deployment;

/// The shortest deadline that a drawn class may have, in milliseconds.
const SHORTEST_DEADLINE_MS: u32 = 600;
/// Time before the first act and behind the last one.
const MARGIN_MS: u64 = 2_000;

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// It reads and says nothing.
    Hangs,
    /// It reads nothing.
    ReadsNothing,
    /// It answers around the end of a usual attempt.
    Late,
    /// It turns all away.
    Full,
    /// It fails all.
    Errors,
    /// It resets a connection under the set-up that has begun.
    Resets,
    /// It answers in pieces.
    Pieces,
    /// What it says is held up.
    BackHeld,
    /// It closes each connection once it has answered on it.
    ClosesEarly,
    /// It says nothing to one set-up in fifty.
    HangsSeldom,
}

impl ServerFault {
    const ALL: [ServerFault; 9] = [
        ServerFault::Hangs,
        ServerFault::ReadsNothing,
        ServerFault::Late,
        ServerFault::Full,
        ServerFault::Errors,
        ServerFault::Resets,
        ServerFault::Pieces,
        ServerFault::BackHeld,
        ServerFault::ClosesEarly,
    ];
}

/// What is brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A broker is told to end, and is started anew once it has.
    Restart(usize),
    /// A new process takes a broker's place under load.
    Upgrade(usize),
    /// A broker reads its file anew.
    Reload(usize),
    /// A server behaves in a way, or well again.
    Server(usize, Option<ServerFault>),
    /// All servers at once.
    AllServers(Option<ServerFault>),
    /// The notice board fails in a way, or is good again.
    Board(Option<BoardFault>),
    /// The list calls a server draining, or ready again.
    Drain(usize, bool),
    /// Clients ask so many times as often.
    Crowd(u32),
    /// Signals in series: SIGTERM, SIGHUP, SIGTERM.
    Signals(usize),
}

/// One trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The deployment.
    pub deployment: Deployment,
    /// Brokers, servers and clients.
    pub brokers: usize,
    /// See there.
    pub servers: usize,
    /// See there.
    pub clients: usize,
    /// Mean time between two requests of a client.
    pub pause: Duration,
    /// Of a hundred requests, so many are given up early by their clients.
    pub gives_up_percent: u32,
    /// The platform holds the listening sockets, so that versions can follow each other under load.
    pub inherits: bool,
    /// What is brought about, and when.
    pub acts: Vec<(Duration, Act)>,
    /// For so long clients ask.
    pub load: Duration,
}

impl Plan {
    /// Draws one from a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Rng::with_seed(seed.wrapping_mul(7_919) ^ 0x50AC);
        let mut deployment = Deployment::draw(rng.u64(..));
        for class in &mut deployment.classes {
            if rng.u32(..3) == 0 {
                class.deadline_ms = rng.u32(SHORTEST_DEADLINE_MS..=1_500);
                class.aim_ms = class.aim_ms.min(class.deadline_ms / 2);
            }
            // What seats and floors allow is not what these trials are about.
            class.seats = 0;
        }
        deployment.link_unit_kb = 100_000.0;
        let inherits = rng.bool();
        let (brokers, servers) = (rng.usize(1..=5), rng.usize(8..=24));
        let load = Duration::from_millis(rng.u64(15_000..=25_000));
        let mut plan = Plan {
            seed,
            deployment,
            brokers,
            servers,
            clients: rng.usize(6..=20),
            pause: Duration::from_millis(rng.u64(30..=150)),
            gives_up_percent: rng.u32(..=10),
            inherits,
            acts: Vec::new(),
            load,
        };
        plan.draw_ends(&mut rng);
        plan.draw_faults(&mut rng);
        plan.acts.sort_by_key(|(at, _)| *at);
        plan
    }

    fn moment(&self, rng: &mut Rng) -> Duration {
        Duration::from_millis(rng.u64(MARGIN_MS..=self.load.as_millis() as u64 - MARGIN_MS))
    }

    /// Ends of processes, one after another at each broker, with room for the end before.
    fn draw_ends(&mut self, rng: &mut Rng) {
        for broker in 0..self.brokers {
            let mut at = Duration::from_millis(rng.u64(MARGIN_MS..=5_000));
            while at + Duration::from_secs(1) < self.load {
                let act = match rng.u32(..4) {
                    0 => Act::Signals(broker),
                    _ if self.inherits => Act::Upgrade(broker),
                    _ => Act::Restart(broker),
                };
                self.acts.push((at, act));
                at += Duration::from_millis(rng.u64(8_000..=12_000));
            }
        }
    }

    fn draw_faults(&mut self, rng: &mut Rng) {
        for server in 0..self.servers {
            if rng.u32(..2) == 0 {
                let fault = ServerFault::ALL[rng.usize(..ServerFault::ALL.len())];
                self.span(rng, 1_000..=12_000, Act::Server(server, Some(fault)), Act::Server(server, None));
            }
            if rng.u32(..6) == 0 {
                self.span(rng, 2_000..=8_000, Act::Drain(server, true), Act::Drain(server, false));
            }
        }
        if rng.bool() {
            let hang = Act::AllServers(Some(ServerFault::Hangs));
            self.span(rng, 2_000..=6_000, hang, Act::AllServers(None));
        }
        if rng.bool() {
            let fault = BoardFault::ALL[rng.usize(..BoardFault::ALL.len())];
            self.span(rng, 3_000..=8_000, Act::Board(Some(fault)), Act::Board(None));
            self.drain_close_to_return();
        }
        if rng.u32(..3) == 0 {
            let times = rng.u32(2..=4);
            self.span(rng, 3_000..=6_000, Act::Crowd(times), Act::Crowd(1));
        }
        for _ in 0..rng.u32(..6) {
            let (at, broker) = (self.moment(rng), rng.usize(..self.brokers));
            self.acts.push((at, Act::Reload(broker)));
        }
    }

    /// A server drains from shortly before the board is good again until the end of the trial.
    fn drain_close_to_return(&mut self) {
        let mut rng = Rng::with_seed(self.seed ^ 0xD4A1);
        let good = self.acts.iter().find(|(_, act)| *act == Act::Board(None)).map(|(at, _)| *at);
        let server = rng.usize(..self.servers);
        let before = Duration::from_millis(rng.u64(..=1_500));
        // What else is drawn for that server is left out, so that nothing else keeps requests away from it.
        self.acts.retain(|(_, act)| !matches!(act, Act::Server(of, _) | Act::Drain(of, _) if *of == server));
        self.acts.extend(good.map(|at| (at.saturating_sub(before), Act::Drain(server, true))));
    }

    fn span(&mut self, rng: &mut Rng, ms: std::ops::RangeInclusive<u64>, begins: Act, ends: Act) {
        let at = self.moment(rng);
        let until = (at + Duration::from_millis(rng.u64(ms))).min(self.load);
        self.acts.extend([(at, begins), (until, ends)]);
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let inherits = if self.inherits { "inherited sockets" } else { "own sockets" };
        write!(
            f,
            "seed {}: {} brokers ({inherits}), {} servers, {} clients every {} ms, {} acts in {:.1} s; {}",
            self.seed,
            self.brokers,
            self.servers,
            self.clients,
            self.pause.as_millis(),
            self.acts.len(),
            self.load.as_secs_f64(),
            self.deployment
        )
    }
}
