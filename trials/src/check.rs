//! Checkers. They know logs and files, and nothing of the program's code.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde_json::Value;

use crate::history::Line;
use crate::linear;
use crate::viewers::Asked;

/// What is wrong, in words.
pub type Wrong = Vec<String>;

/// Judges a trial: its lines, the folder of the record, and how many late lines the trial brought about itself.
pub fn all(lines: &[Line], record: &Path, late_lines: usize) -> Wrong {
    let mut wrong = Wrong::new();
    acts(lines, &mut wrong);
    grants(lines, &mut wrong);
    log(lines, &mut wrong);
    votes(lines, &mut wrong);
    councils(lines, &mut wrong);
    wrong.extend(linear::one_order(lines, "idle").err());
    files(record, late_lines, &mut wrong);
    wrong
}

/// At most one acts at any instant: by the look at the clock that allowed each act, no act of an epoch comes after
/// one of a later epoch, and each epoch is one run of one process.
fn acts(lines: &[Line], wrong: &mut Wrong) {
    let mut by_duty: BTreeMap<&str, Vec<(u64, u64, &Line)>> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.event() == "duty.acts") {
        if let (Some(duty), Some(epoch), Some(at)) =
            (line.field("duty"), line.number("epoch"), line.number("at"))
        {
            by_duty.entry(duty).or_default().push((at, epoch, line));
        }
    }
    for (duty, mut acts) in by_duty {
        acts.sort_by_key(|(at, epoch, _)| (*at, *epoch));
        let mut owners: BTreeMap<u64, (&str, usize)> = BTreeMap::new();
        let mut highest = 0;
        for (at, epoch, line) in acts {
            if epoch < highest {
                wrong.push(format!(
                    "{duty}: {} acts at {at} under epoch {epoch} after epoch {highest}",
                    line.who
                ));
            }
            highest = highest.max(epoch);
            let owner = owners.entry(epoch).or_insert((&line.who, line.run));
            if *owner != (line.who.as_str(), line.run) {
                wrong.push(format!("{duty}: epoch {epoch} is acted for by {} and by {}", owner.0, line.who));
            }
        }
    }
}

/// The agreed log: each epoch is granted once, to one run of one process, whoever tells of it; of one duty they
/// only grow, and of each process that tells of them too.
fn grants(lines: &[Line], wrong: &mut Wrong) {
    let mut known: BTreeMap<u64, (&str, &str, &str)> = BTreeMap::new();
    let mut last: BTreeMap<(&str, usize), u64> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.event() == "log.granted") {
        let (Some(epoch), Some(duty), Some(holder), Some(run)) =
            (line.number("epoch"), line.field("duty"), line.field("holder"), line.field("run"))
        else {
            wrong.push(format!("{}: can't be read: {}", line.who, line.text));
            continue;
        };
        let grant = (duty, holder, run);
        let before = known.entry(epoch).or_insert(grant);
        if *before != grant {
            wrong.push(format!("epoch {epoch} was granted to {before:?} and to {grant:?}"));
        }
        let told = last.entry((&line.who, line.run)).or_insert(0);
        if epoch <= *told {
            wrong.push(format!("{} applied epoch {epoch} after epoch {told}", line.who));
        }
        *told = epoch.max(*told);
    }
}

/// What viewers asked for, against what each box was asked to set up: a paid session at one box and once, as all of
/// them answer; and nothing at a box that the broker had heard to drain before it was asked.
pub fn set_ups(asked: &[Asked], boxes: &[Vec<String>]) -> Wrong {
    let mut wrong = Wrong::new();
    let mut at: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (i, offers) in boxes.iter().enumerate() {
        for offer in offers {
            let tag = offer.lines().find_map(|l| l.strip_prefix("o=")?.split(' ').next());
            at.entry(tag.unwrap_or("?")).or_default().push(i + 1);
        }
    }
    for request in asked {
        let places = at.get(request.tag.as_str()).map_or(&[][..], Vec::as_slice);
        if request.paid && places.len() > 1 {
            wrong.push(format!("{}: paid, and set up at boxes {places:?}", request.tag));
        }
        if let Some(place) = places.iter().find(|place| request.drained.contains(place)) {
            wrong.push(format!("{}: set up at box {place}, which was known to drain", request.tag));
        }
    }
    wrong
}

/// The agreed log: whoever tells of a place in it tells the same, and each tells the places in order.
fn log(lines: &[Line], wrong: &mut Wrong) {
    let mut known: BTreeMap<u64, String> = BTreeMap::new();
    let mut last: BTreeMap<(&str, usize), u64> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.event().starts_with("log.")) {
        let Some(index) = line.number("index") else {
            wrong.push(format!("{}: no place in the log: {}", line.who, line.text));
            continue;
        };
        let own = |word: &&str| !word.starts_with("at=");
        let told: String = line.text.split(' ').filter(own).collect::<Vec<_>>().join(" ");
        let before = known.entry(index).or_insert_with(|| told.clone());
        if *before != told {
            wrong.push(format!("entry {index} of the log is `{before}` and `{told}`"));
        }
        let previous = last.entry((&line.who, line.run)).or_insert(0);
        if index <= *previous {
            wrong.push(format!("{} applied entry {index} after entry {previous}", line.who));
        }
        *previous = index.max(*previous);
    }
}

/// A request that was decided under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// When, in microseconds of the boot clock.
    pub at: u64,
    /// So many a second.
    pub per_s: u32,
    /// The process was sure of its rules.
    pub sure: bool,
}

/// Reads the line of a request for a clip that was held to a limit.
pub fn held(line: &Line) -> Option<Held> {
    if line.event() != "rules.held" || line.field("class") != Some("clip") {
        return None;
    }
    let sure = matches!(line.field("state"), Some("fresh" | "between"));
    Some(Held { at: line.number("at")?, per_s: line.field("per_s")?.parse().ok()?, sure })
}

/// The longest time in microseconds for which requests were decided under two limits that differ, by processes that
/// were sure of theirs. Each version of a trial has a figure of its own.
pub fn overlap(lines: &[Line]) -> u64 {
    let mut spans: BTreeMap<u32, (u64, u64)> = BTreeMap::new();
    for held in lines.iter().filter_map(held).filter(|h| h.sure) {
        let span = spans.entry(held.per_s).or_insert((held.at, held.at));
        *span = (span.0.min(held.at), span.1.max(held.at));
    }
    let both = |a: &(u64, u64), b: &(u64, u64)| (a.1.min(b.1) + 1).saturating_sub(a.0.max(b.0));
    let all: Vec<(u64, u64)> = spans.into_values().collect();
    let pairs = all.iter().enumerate().flat_map(|(i, a)| all[..i].iter().map(move |b| both(a, b)));
    pairs.max().unwrap_or(0)
}

/// Nobody votes whose folder was lost, spoilt or brought back from an older copy, unless a later council gave it a
/// seat of its own.
fn votes(lines: &[Line], wrong: &mut Wrong) {
    let mut seated: BTreeSet<(&str, usize)> = BTreeSet::new();
    for line in lines {
        let run = (line.who.as_str(), line.run);
        let named = |names: &str| names.split(',').any(|name| name == line.who);
        if line.event() == "quorum.council" && line.field("voters").is_some_and(named) {
            seated.insert(run);
        }
        let forgot = matches!(line.how.as_str(), "lose" | "old" | "spoil");
        if line.event() == "quorum.votes" && forgot && !seated.contains(&run) {
            wrong.push(format!("{} votes though its folder was: {}", line.who, line.how));
        }
    }
}

/// Councils: whoever tells of one names the same voters, two in a row differ by one voter at most, and nobody goes
/// back to an earlier one.
fn councils(lines: &[Line], wrong: &mut Wrong) {
    let mut known: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut last: BTreeMap<(&str, usize), u64> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.event() == "quorum.council") {
        let (Some(number), Some(names)) = (line.number("number"), line.field("voters")) else { continue };
        let names: BTreeSet<&str> = names.split(',').collect();
        if *known.entry(number).or_insert_with(|| names.clone()) != names {
            wrong.push(format!("council {number} is {:?} and {names:?}", known[&number]));
        }
        let told = last.entry((&line.who, line.run)).or_insert(0);
        if number <= *told {
            wrong.push(format!("{} took up council {number} after {told}", line.who));
        }
        *told = number.max(*told);
    }
    for ((a, before), (b, after)) in known.iter().zip(known.iter().skip(1)) {
        if a + 1 == *b && before.difference(after).count() > 1 {
            wrong.push(format!("councils {a} and {b} differ by more than one voter: {before:?}, {after:?}"));
        }
    }
}

/// The fleet's record: what a reader takes is of one writer at a time, and no old holder wrote late but those that
/// the trial stopped right before the write.
fn files(folder: &Path, late_lines: usize, wrong: &mut Wrong) {
    let mut files: BTreeMap<u64, Vec<Value>> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let epoch =
            name.strip_prefix("fleet-").and_then(|n| n.strip_suffix(".jsonl")).and_then(|n| n.parse().ok());
        let (Some(epoch), Ok(text)) = (epoch, std::fs::read_to_string(entry.path())) else { continue };
        let mut at = 0;
        for line in text.split_inclusive('\n') {
            at += line.len() as u64;
            if let Ok(value) = serde_json::from_str(line) {
                files.entry(epoch).or_default().push(value);
                ends.entry(epoch).or_default().push(at);
            }
        }
    }
    let mut late = 0;
    for (epoch, values) in &files {
        // The first later file that says where this one ended is the fence.
        let fence = files.range(epoch + 1..).find_map(|(_, later)| later.first());
        let Some(fence) = fence else { continue };
        let sealed = fence["sealed"][epoch.to_string()].as_u64().unwrap_or(0);
        let begun = fence["at"].as_u64().unwrap_or(u64::MAX);
        for (value, end) in values.iter().zip(&ends[epoch]).skip(1) {
            if *end > sealed {
                late += 1;
            } else if value["at"].as_u64().is_none_or(|at| at > begun) {
                wrong.push(format!(
                    "record: epoch {epoch} looked at {} after its successor began",
                    value["at"]
                ));
            }
        }
    }
    if late > late_lines {
        wrong.push(format!("record: {late} lines were written after a successor began, {late_lines} may be"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(who: &str, run: usize, text: &str) -> Line {
        Line { who: who.into(), run, how: "keep".into(), text: text.into() }
    }

    fn judged(lines: &[Line]) -> Wrong {
        all(lines, Path::new("/nonexistent"), 0)
    }

    #[test]
    fn two_that_act_at_once_are_found() {
        let act = |who: &str, run, at: u64, epoch: u64| {
            line(who, run, &format!("duty.acts duty=idle epoch={epoch} at={at}"))
        };
        let took = |who: &str, run, at: u64, epoch: u64| {
            line(who, run, &format!("duty.took duty=idle epoch={epoch} at={at}"))
        };
        let (a, b) = (took("a", 1, 9, 1), took("b", 2, 29, 2));
        let good = [a.clone(), act("a", 1, 10, 1), act("a", 1, 20, 1), b.clone(), act("b", 2, 30, 2)];
        assert!(judged(&good).is_empty());
        // By the epochs, and as a history that has no one order.
        assert_eq!(judged(&[a.clone(), act("a", 1, 31, 1), b, act("b", 2, 30, 2)]).len(), 2);
        assert_eq!(judged(&[a, act("a", 1, 10, 1), act("a", 7, 20, 1)]).len(), 2, "one epoch, two runs");
    }

    #[test]
    fn logs_that_differ_and_epochs_that_come_again_are_found() {
        let grant = |who: &str, epoch: u64, to: &str| {
            line(who, 1, &format!("log.granted index={epoch} at=1 duty=idle epoch={epoch} holder={to} run=5"))
        };
        assert!(judged(&[grant("a", 1, "x"), grant("b", 1, "x"), grant("a", 2, "y")]).is_empty());
        // By the epoch, and by the place in the log.
        assert_eq!(judged(&[grant("a", 1, "x"), grant("b", 1, "y")]).len(), 2);
        assert_eq!(judged(&[grant("a", 2, "x"), grant("a", 1, "x")]).len(), 2);
    }

    #[test]
    fn a_vote_from_a_folder_that_was_lost_is_found() {
        let lost = Line { how: "lose".into(), ..line("a", 3, "quorum.votes") };
        assert_eq!(judged(std::slice::from_ref(&lost)).len(), 1);
        let council = |names: &str| line("a", 3, &format!("quorum.council number=2 voters={names}"));
        assert!(judged(&[council("b,a,c"), lost.clone()]).is_empty(), "it has a seat of its own");
        assert_eq!(judged(&[council("b,d,c"), lost]).len(), 1);
    }

    #[test]
    fn a_paid_session_set_up_twice_and_a_set_up_at_a_box_that_drains_are_found() {
        let asked = |tag: &str, paid, drained: &[usize]| Asked {
            tag: tag.into(),
            paid,
            drained: drained.iter().copied().collect(),
        };
        let offer = |tag: &str| format!("v=0\r\no={tag} 1 1 IN IP4 0.0.0.0\r\n");
        let boxes = [vec![offer("a"), offer("b")], vec![offer("b"), offer("c")]];
        let good =
            [asked("a", true, &[2]), asked("b", false, &[]), asked("c", true, &[1]), asked("d", true, &[])];
        assert!(set_ups(&good, &boxes).is_empty());
        assert_eq!(set_ups(&[asked("b", true, &[])], &boxes).len(), 1);
        assert_eq!(set_ups(&[asked("c", false, &[2])], &boxes).len(), 1);
    }

    #[test]
    fn the_time_in_which_two_limits_were_acted_on_is_counted() {
        let held = |who: &str, at: u64, per_s: u32, state: &str| {
            line(who, 1, &format!("rules.held at={at} class=clip state={state} version=1 per_s={per_s}"))
        };
        let one = [held("a", 10, 50, "fresh"), held("b", 20, 50, "fresh"), held("a", 30, 20, "fresh")];
        assert_eq!(overlap(&one), 0);
        let late = [&one[..], &[held("b", 45, 50, "fresh"), held("b", 60, 20, "between")]].concat();
        assert_eq!(overlap(&late), 16);
        let unsure = [&one[..], &[held("b", 45, 50, "unsure")]].concat();
        assert_eq!(overlap(&unsure), 0, "what the document says of those who can't know");
    }

    #[test]
    fn councils_that_differ_or_come_again_are_found() {
        let told = |who: &str, number: u64, names: &str| {
            line(who, 1, &format!("quorum.council number={number} voters={names}"))
        };
        assert!(judged(&[told("a", 2, "a,b,d"), told("b", 2, "a,b,d"), told("a", 3, "a,e,d")]).is_empty());
        assert_eq!(judged(&[told("a", 2, "a,b,d"), told("b", 2, "a,b,c")]).len(), 1);
        assert_eq!(judged(&[told("a", 2, "a,b,c"), told("a", 3, "a,d,e")]).len(), 1);
        assert_eq!(judged(&[told("a", 3, "a,b,c"), told("a", 2, "a,b,d")]).len(), 1);
    }
}
