//! Deployments: what a herd of brokers is told in its settings. Number 0 is fixed; the others are drawn from a seed,
//! each figure from the range that operators use.

use std::fmt;
use std::ops::RangeInclusive;

use fastrand::Rng;
use serde::Serialize;

/// Milliseconds from a request to the end of its viewer's patience.
const DEADLINE_MS: RangeInclusive<u32> = 1_200..=10_000;
/// Milliseconds within which a set-up is wanted.
const AIM_MS: RangeInclusive<u32> = 400..=3_000;
/// The closest that an aim comes to its deadline.
const CLOSEST_AIM: f64 = 0.95;
/// One class in so many has its aim that close to the deadline.
const CLOSE_AIM_IN: u32 = 4;
/// Time between two turns of the module.
const TICK_MS: u32 = 10;
/// Names that zones go by, as many as a deployment may have.
pub const ZONES: [&str; 3] = ["east", "west", "north"];
/// Rates of the rungs, in kB/s.
pub const LADDER_KB: [f64; 3] = [100.0, 200.0, 400.0];

/// One class of sessions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Milliseconds within which a set-up is wanted.
    pub aim_ms: u32,
    /// Milliseconds after which a viewer gives up.
    pub deadline_ms: u32,
    /// It is paid at set-up: it must never be set up twice.
    pub paid: bool,
    /// Sessions of one title at most; 0: no limit.
    pub seats: u32,
    /// The lowest rung.
    pub floor: u32,
    /// Worth of a second.
    pub worth: f64,
}

/// The figures of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Deployment {
    /// The seed that it was drawn from; none for the fixed one.
    pub seed: Option<u64>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Attempts for one request at most.
    pub attempts: u32,
    /// Milliseconds after which a connection that does not come up has failed.
    pub connect_timeout_ms: u32,
    /// Seconds after which servers close an idle connection.
    pub idle_s: u32,
    /// Longest time that a refusal may tell, in milliseconds.
    pub max_retry_after_ms: u32,
    /// Milliseconds after which nothing new goes to a server that drains.
    pub drain_grace_ms: u32,
    /// Milliseconds of the window in which too much pushes a cold server over.
    pub fall_ms: u32,
    /// So many times its present capacity does.
    pub fall_multiple: f64,
    /// Milliseconds until a server that has started is warm.
    pub warm_up_ms: u32,
    /// The share of its capacity that a server has from its start.
    pub cold_from: f64,
    /// Tenants; 0: none are named.
    pub tenants: u32,
    /// Zones, 1 to 3.
    pub zones: u32,
    /// Time between two turns of the module, in milliseconds.
    pub tick_ms: u32,
    /// Descriptors that a broker may hold.
    pub sockets: u32,
    /// Megabytes that a broker may hold.
    pub memory_mb: u32,
    /// What the link of a server of weight 1 gives, in kB/s.
    pub link_unit_kb: f64,
    /// Further attempts over first ones; none: no limit.
    pub repeat_ratio: Option<f64>,
}

impl Deployment {
    /// The deployment of a number in a run with a seed: 0 is the fixed one.
    pub fn numbered(seed: u64, number: u64) -> Deployment {
        if number == 0 { Deployment::fixed() } else { Deployment::draw(seed.wrapping_mul(1_000) + number) }
    }

    /// Four classes with deadlines of 2 to 5 s, one of them paid.
    pub fn fixed() -> Deployment {
        let class = |name: &str, aim_ms, deadline_ms, paid, worth| Class {
            name: name.to_owned(),
            aim_ms,
            deadline_ms,
            paid,
            seats: 0,
            floor: 0,
            worth,
        };
        Deployment {
            seed: None,
            classes: vec![
                class("paid", 1_000, 3_000, true, 4.0),
                class("live", 800, 2_000, false, 2.0),
                class("clip", 1_200, 3_000, false, 1.0),
                class("archive", 2_000, 5_000, false, 0.5),
            ],
            attempts: 4,
            connect_timeout_ms: 250,
            idle_s: 60,
            max_retry_after_ms: 500,
            drain_grace_ms: 500,
            fall_ms: 2_000,
            fall_multiple: 2.0,
            warm_up_ms: 8_000,
            cold_from: 0.2,
            tenants: 3,
            zones: 2,
            tick_ms: TICK_MS,
            sockets: 1_024,
            memory_mb: 192,
            link_unit_kb: 20_000.0,
            repeat_ratio: Some(0.2),
        }
    }

    /// Draws one from a seed.
    pub fn draw(seed: u64) -> Deployment {
        let mut rng = Rng::with_seed(seed);
        let classes = draw_classes(&mut rng);
        let rng = &mut rng;
        Deployment {
            seed: Some(seed),
            classes,
            attempts: rng.u32(2..=8),
            connect_timeout_ms: rng.u32(100..=700),
            idle_s: rng.u32(6..=120),
            max_retry_after_ms: rng.u32(100..=1_500),
            drain_grace_ms: rng.u32(300..=1_500),
            fall_ms: rng.u32(800..=4_000),
            fall_multiple: 1.5 + rng.f64() * 2.0,
            warm_up_ms: rng.u32(2_000..=18_000),
            cold_from: 0.1 + rng.f64() * 0.4,
            tenants: rng.u32(0..=12),
            zones: rng.u32(1..=ZONES.len() as u32),
            tick_ms: TICK_MS,
            sockets: one_of(rng, &[256, 512, 1_024]),
            memory_mb: rng.u32(48..=192),
            link_unit_kb: one_of(rng, &[4_000.0, 20_000.0, 100_000.0]),
            repeat_ratio: rng.bool().then(|| 0.1 + rng.f64() * 0.4),
        }
    }

    /// The longest deadline of any class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u32 {
        self.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0)
    }
}

fn one_of<T: Copy>(rng: &mut Rng, values: &[T]) -> T {
    values[rng.usize(..values.len())]
}

fn draw_classes(rng: &mut Rng) -> Vec<Class> {
    let count = match rng.u32(..4) {
        0 => 1,
        1 => rng.u32(8..=20),
        _ => rng.u32(2..=7),
    };
    // All paid, none paid, or each by itself.
    let paid = one_of(rng, &[Some(true), Some(false), None, None]);
    (0..count).map(|number| draw_class(rng, number, paid)).collect()
}

fn draw_class(rng: &mut Rng, number: u32, paid: Option<bool>) -> Class {
    let deadline_ms = rng.u32(DEADLINE_MS);
    let closest = (f64::from(deadline_ms) * CLOSEST_AIM) as u32;
    let aim_ms =
        if rng.u32(..CLOSE_AIM_IN) == 0 { closest.min(*AIM_MS.end()) } else { rng.u32(AIM_MS).min(closest) };
    Class {
        name: format!("class-{number}"),
        aim_ms,
        deadline_ms,
        paid: paid.unwrap_or_else(|| rng.bool()),
        seats: if rng.u32(..6) == 0 { rng.u32(2..=40) } else { 0 },
        floor: u32::from(rng.u32(..6) == 0),
        worth: one_of(rng, &[0.5, 1.0, 2.0, 4.0]),
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let paid = self.classes.iter().filter(|class| class.paid).count();
        let shortest = self.classes.iter().map(|class| class.deadline_ms).min().unwrap_or(0);
        let aims = self.classes.iter().map(|class| class.aim_ms);
        let (least_aim, most_aim) = (aims.clone().min().unwrap_or(0), aims.max().unwrap_or(0));
        let seats = self.classes.iter().filter(|class| class.seats > 0).count();
        let floors = self.classes.iter().filter(|class| class.floor > 0).count();
        write!(
            f,
            "classes {} (paid {paid}, seats {seats}, floor {floors}), deadlines {shortest}-{} ms, aims {least_aim}-{most_aim} ms, \
             attempts {}, connect {} ms, idle {} s, retry-after {} ms, drain {} ms, fall {} ms, warm-up {} ms, \
             tenants {}, zones {}, sockets {}, memory {} MB, link {} kB/s",
            self.classes.len(),
            self.longest_deadline_ms(),
            self.attempts,
            self.connect_timeout_ms,
            self.idle_s,
            self.max_retry_after_ms,
            self.drain_grace_ms,
            self.fall_ms,
            self.warm_up_ms,
            self.tenants,
            self.zones,
            self.sockets,
            self.memory_mb,
            self.link_unit_kb,
        )
    }
}
