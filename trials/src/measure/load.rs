//! What a quorum of many processes costs each of them: messages, bytes, syncs and processor time, quiet and with the
//! leader gone.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use super::on_rig;
use crate::history::{self, Line};
use crate::run::Rig;
use crate::scenario::Step;

/// What a process has counted since its start, and its processor time in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    frames: u64,
    bytes: u64,
    syncs: u64,
    processor: u64,
}

/// The last counts that a process told of.
fn counted(lines: &[Line], who: &str) -> Counted {
    let told = lines.iter().rev().find(|l| l.who == who && l.event() == "quorum.counts");
    let number = |name: &str| told.and_then(|l| l.number(name)).unwrap_or(0);
    Counted {
        frames: number("sent"),
        bytes: number("sent_bytes"),
        syncs: number("syncs"),
        processor: number("processor"),
    }
}

/// Brokers that share duties, quiet for so long and then without their leader for as long.
pub fn load(program: &Path, brokers: usize, seconds: u64) -> Result<String, String> {
    let takers = (1..=brokers.min(5)).map(|n| n.to_string()).collect::<Vec<_>>().join(", ");
    let text = format!(
        "brokers = {brokers}\nlease_ms = 2000\nelection_ms = 150\ndrift = 0.01\ntakers = [{takers}]\n"
    );
    on_rig(program, &format!("load-{brokers}"), &text, |rig| load_on(rig, brokers, seconds))
}

fn load_on(rig: &mut Rig<'_>, brokers: usize, seconds: u64) -> Result<String, String> {
    rig.step(&Step::Fault { who: "all".into(), fault: "tell-counts".into(), text: "1".into() })?;
    // Viewers would count as well.
    rig.begin_quietly()?;
    rig.step(&Step::Held { duty: "record".into(), acts: 4 })?;
    rig.members(brokers)?;
    let mut told =
        vec![format!("{brokers} processes, 3 voters, leases of 2,000 ms, beats each 400 ms; per second")];
    for outage in [false, true] {
        let leader = history::leader(&rig.history.lines()).ok_or("nobody leads")?.1;
        let voters: Vec<String> = (1..=3).map(|n| format!("broker-{n}")).collect();
        if outage {
            rig.step(&Step::Kill { who: leader.clone() })?;
        }
        let began = Instant::now();
        let names: Vec<String> = (1..=brokers).map(|n| format!("broker-{n}")).collect();
        let before = rig.history.lines();
        std::thread::sleep(Duration::from_secs(seconds));
        let (after, span) = (rig.history.lines(), began.elapsed().as_secs_f64());
        let leads = history::leader(&after).ok_or("nobody leads")?.1;
        let mut roles: BTreeMap<&str, Vec<[f64; 4]>> = BTreeMap::new();
        for name in names.iter().filter(|n| !(outage && **n == leader)) {
            let role = match name {
                name if *name == leads => "leader",
                name if voters.contains(name) => "voter",
                _ => "member",
            };
            let (a, b) = (counted(&before, name), counted(&after, name));
            let rate = |a: u64, b: u64| b.saturating_sub(a) as f64 / span;
            let of = [
                rate(a.frames, b.frames),
                rate(a.bytes, b.bytes),
                rate(a.syncs, b.syncs),
                rate(a.processor, b.processor) / 10_000.0,
            ];
            roles.entry(role).or_default().push(of);
        }
        for (role, all) in roles {
            let mean = |i: usize| all.iter().map(|of| of[i]).sum::<f64>() / all.len() as f64;
            told.push(format!(
                "{}, {role}: {:.1} messages, {:.0} bytes, {:.2} syncs, {:.2}% of a core",
                if outage { "leader killed" } else { "quiet" },
                mean(0),
                mean(1),
                mean(2),
                mean(3)
            ));
        }
    }
    Ok(told.join("\n"))
}

/// How often a duty moves though nothing happens, with all cores of the machine busy.
pub fn quiet(program: &Path, seconds: u64) -> Result<String, String> {
    let settings = "lease_ms = 2000\nelection_ms = 150\ndrift = 0.01\n";
    on_rig(program, "quiet", settings, |rig| quiet_on(rig, seconds))
}

fn quiet_on(rig: &mut Rig<'_>, seconds: u64) -> Result<String, String> {
    rig.begin()?;
    rig.step(&Step::Held { duty: "record".into(), acts: 2 })?;
    rig.step(&Step::Held { duty: "idle".into(), acts: 2 })?;
    let epochs = |lines: &[Line]| {
        lines.iter().filter(|l| l.event() == "duty.took").filter_map(|l| l.number("epoch")).max().unwrap_or(0)
    };
    let reigns = |lines: &[Line]| history::leader(lines).map_or(0, |(reign, _)| reign);
    let before = rig.history.lines();
    let until = Instant::now() + Duration::from_secs(seconds);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                let mut x = 1u64;
                while Instant::now() < until {
                    for _ in 0..100_000 {
                        x = std::hint::black_box(x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
                    }
                }
            });
        }
    });
    let after = rig.history.lines();
    Ok(format!(
        "{seconds} s with {cores} cores busy: {} hand-overs and {} elections beyond the first",
        epochs(&after).saturating_sub(epochs(&before)),
        reigns(&after).saturating_sub(reigns(&before))
    ))
}
