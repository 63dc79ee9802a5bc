//! When viewers come, and what they want.

use amberspindle::api::{Micros, SessionId, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::plan::Plan;

/// How wanted titles differ: the exponent of their ranks.
const TITLES_ZIPF: f64 = 0.8;
/// Part of viewers whose screens use half of the rungs.
const SMALL_SCREENS: f64 = 0.3;
/// How uneven brokers' shares of the viewers are: the busiest has about so many times the mean.
const BUSIEST: f64 = 3.0;

/// What a viewer asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its try.
    pub id: SessionId,
    /// When.
    pub at: Micros,
    /// Index of the class.
    pub class: usize,
    /// The title.
    pub title: Text,
    /// First cell that holds it.
    pub home: u32,
    /// Highest rung it can use.
    pub top: usize,
    /// How long it will watch.
    pub life: Micros,
    /// The broker it comes to.
    pub broker: usize,
    /// It is not its first try.
    pub again: bool,
}

/// Draws what viewers do.
pub struct Viewers {
    rng: ChaCha8Rng,
    shares: Vec<f64>,
    next: u64,
}

impl Viewers {
    /// From a plan's seed.
    pub fn new(plan: &Plan) -> Viewers {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5649_4557);
        let shares: Vec<f64> = (0..plan.brokers).map(|_| rng.random_range(0.2..BUSIEST)).collect();
        Viewers { rng, shares, next: 1 }
    }

    /// A new try's name.
    fn id(&mut self) -> SessionId {
        self.next += 1;
        // Names are spread, as real ones are.
        SessionId(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// A broker, by its share of the viewers.
    pub fn broker(&mut self) -> usize {
        let mut left = self.rng.random::<f64>() * self.shares.iter().sum::<f64>();
        self.shares
            .iter()
            .position(|share| {
                left -= share;
                left < 0.0
            })
            .unwrap_or(0)
    }

    /// Chance, for others.
    pub fn chance(&mut self) -> f64 {
        self.rng.random()
    }

    /// All viewers of a day, in the order of time.
    pub fn day(&mut self, plan: &Plan) -> Vec<Ask> {
        let mut asks = self.stream(plan, Micros(0), plan.length, plan.rate, 0);
        for crowd in &plan.crowds {
            let rate = plan.rate * (crowd.times - 1.0);
            asks.extend(self.stream(plan, crowd.from, crowd.until, rate, crowd.titles));
        }
        asks.sort_by_key(|ask| (ask.at, ask.id));
        asks
    }

    fn stream(&mut self, plan: &Plan, from: Micros, until: Micros, rate: f64, titles: usize) -> Vec<Ask> {
        let (Ok(gap), Ok(rank)) = (Exp::new(rate), Zipf::new(plan.titles.max(1) as f64, TITLES_ZIPF)) else {
            return Vec::new();
        };
        let Ok(life) = Exp::new(1.0 / plan.life.secs().max(1e-3)) else { return Vec::new() };
        let (mut at, mut asks) = (from.secs(), Vec::new());
        loop {
            at += gap.sample(&mut self.rng);
            if at >= until.secs() {
                return asks;
            }
            let mut left = self.rng.random::<f64>();
            let class = plan.deployment.classes.iter().position(|class| {
                left -= class.share;
                left < 0.0
            });
            let class = class.unwrap_or(0);
            let title = match titles {
                0 => rank.sample(&mut self.rng) as usize,
                // A crowd's titles are those that few want.
                n => plan.titles.saturating_sub(self.rng.random_range(0..n.max(1))),
            };
            let rungs = plan.settings.rung_kb.len();
            let small = self.rng.random::<f64>() < SMALL_SCREENS;
            asks.push(Ask {
                id: self.id(),
                at: Micros::from_secs(at),
                class,
                title: Text::from(format!("{class}-{title}")),
                // Titles lie anywhere, the same each day.
                home: (title as u32).wrapping_mul(2_654_435_761).wrapping_add(class as u32 * 7) % plan.cells,
                top: if small { rungs / 2 } else { rungs - 1 },
                life: Micros::from_secs(life.sample(&mut self.rng).max(0.5)),
                broker: self.broker(),
                again: false,
            });
        }
    }

    /// The same viewer once more.
    pub fn again(&mut self, ask: &Ask, at: Micros) -> Ask {
        Ask { id: self.id(), at, broker: self.broker(), again: true, ..ask.clone() }
    }
}
