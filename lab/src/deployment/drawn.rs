//! Deployments drawn from a seed, over the ranges that operators use.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ClassRecord, Deployment, Repeat, Report};

/// Keeps these draws apart from those of viewers.
const DRAWS: u64 = 0x4445_504c;
/// Classes at most.
const CLASSES_MOST: usize = 8;
/// The rate of the lowest rung, kB a second.
const LOWEST_KB: f64 = 200.0;

impl Deployment {
    /// One drawn from a seed: the same each time.
    pub fn drawn(seed: u64) -> Deployment {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ DRAWS);
        let rungs = rng.random_range(2..=6);
        let step: f64 = rng.random_range(1.4..2.2);
        let classes = classes(&mut rng, rungs);
        let subsets = [
            vec![Report::X0],
            vec![Report::Util],
            vec![Report::X0, Report::X1],
            vec![Report::Util, Report::X1],
        ];
        Deployment {
            name: format!("drawn-{seed}"),
            classes,
            tenants: if rng.random() { vec!["home".to_owned()] } else { Vec::new() },
            ladder_kb: (0..rungs).map(|rung| LOWEST_KB * step.powi(rung as i32)).collect(),
            ladder_worth: (1..=rungs).map(|rung| (rung as f64 / rungs as f64).powf(0.8)).collect(),
            reports: subsets[rng.random_range(0..subsets.len())].clone(),
            attempts_most: rng.random_range(2..=8),
            retry_after_ms: rng.random_range(100..=1500),
            streams: rng.random_range(12..=40),
            link_kb: rng.random_range(3000.0..9000.0),
            rack_boxes: rng.random_range(4..=10),
            uplink_part: rng.random_range(0.5..1.1),
            uneven: rng.random_range(0.05..0.3),
            join: rng.random_range(0.1..1.0),
            stall: rng.random_range(4.0..10.0),
            switch_s: rng.random_range(0.3..1.0),
            see_ms: rng.random_range(400..=1400),
            tell_ms: rng.random_range(2000..=5000),
            guard: if rng.random() { 1.0 } else { 0.0 },
            move_price: rng.random_range(0.02..0.3),
            handshake_price: rng.random_range(0.0..0.1),
            idle_ms: rng.random_range(6000..=120_000),
            drain_grace_ms: rng.random_range(300..=1500),
            cold_ms: rng.random_range(2000..=18_000),
            cold_from: rng.random_range(0.3..0.7),
            fall_multiple: rng.random_range(2.0..3.5),
            fall_ms: rng.random_range(800..=4000),
            life_s: rng.random_range(6.0..20.0),
            rate_a_box: rng.random_range(0.2..0.6),
        }
    }
}

fn classes(rng: &mut ChaCha8Rng, rungs: usize) -> Vec<ClassRecord> {
    let number = rng.random_range(1..=CLASSES_MOST);
    (0..number).map(|n| class(rng, n, number, rungs)).collect()
}

fn class(rng: &mut ChaCha8Rng, n: usize, number: usize, rungs: usize) -> ClassRecord {
    let aim_ms = rng.random_range(400..=3000);
    let top = rng.random_range(1..rungs);
    let repeats = [Repeat::Safe, Repeat::Safe, Repeat::Paid, Repeat::Keyed];
    ClassRecord {
        name: format!("class-{n}"),
        share: 1.0 / number as f64,
        repeat: repeats[rng.random_range(0..repeats.len())],
        aim_ms,
        deadline_ms: rng.random_range(aim_ms.max(1200)..=10_000),
        worth: rng.random_range(0.5..4.0),
        live: rng.random(),
        scale: rng.random_range(0.6..1.3),
        floor: rng.random_range(0..=top.min(1)),
        top,
        seats: rng.random_bool(0.2).then(|| rng.random_range(2..=20)),
    }
}
