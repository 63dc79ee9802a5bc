//! Whether a duty behaved like one thing that is handed from one to the next: the takes and acts of all processes, each
//! somewhere within its own span of time, must fit into one order in which every act is the last taker's.
//! The search for that order is `stateright`'s.

use std::collections::BTreeMap;

use stateright::semantics::{ConsistencyTester as _, LinearizabilityTester, SequentialSpec};

use crate::history::Line;

/// A duty as one thing: who took it last, under which epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handed {
    epoch: u64,
    run: usize,
}

/// What a run of a process does with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Takes it under an epoch.
    Take(usize, u64),
    /// Acts for it under an epoch.
    Act(usize, u64),
}

impl SequentialSpec for Handed {
    type Op = Op;
    /// Whether that may be.
    type Ret = bool;

    fn invoke(&mut self, op: &Op) -> bool {
        match op {
            Op::Take(run, epoch) if *epoch > self.epoch => {
                *self = Handed { epoch: *epoch, run: *run };
                true
            }
            Op::Take(..) => false,
            Op::Act(run, epoch) => (self.epoch, self.run) == (*epoch, *run),
        }
    }
}

/// Acts of one run under one epoch that are kept: what lies between two of them can't be out of order alone.
const KEPT: usize = 2;

/// The spans of what each run did with a duty, in the order of its own log: from when, until when.
fn ops(lines: &[Line], duty: &str) -> BTreeMap<usize, Vec<(u64, u64, Op)>> {
    let mut ops: BTreeMap<usize, Vec<(u64, u64, Op)>> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.field("duty") == Some(duty)) {
        let (Some(epoch), Some(at)) = (line.number("epoch"), line.number("at")) else { continue };
        let own = ops.entry(line.run).or_default();
        // A take begins at the latest when this run did something before: the grant came since.
        let since = own.last().map_or(0, |(_, until, _)| until + 1);
        match line.event() {
            "duty.took" => own.push((since, at, Op::Take(line.run, epoch))),
            // The look at the clock that allowed it is the instant of an act.
            "duty.acts" => {
                let same = own.iter().rev().take_while(|(_, _, op)| *op == Op::Act(line.run, epoch)).count();
                if same >= KEPT {
                    own.pop();
                }
                own.push((at, at, Op::Act(line.run, epoch)));
            }
            _ => {}
        }
    }
    ops
}

/// Whether a duty's history has such an order.
pub fn one_order(lines: &[Line], duty: &str) -> Result<(), String> {
    // (moment, an end comes after the beginnings of the same moment, which op); each run's own do not overlap.
    let mut events: Vec<(u64, bool, usize, Op)> = Vec::new();
    for (run, ops) in ops(lines, duty) {
        let mut free = 0;
        for (from, until, op) in ops {
            let from = from.max(free);
            let until = until.max(from);
            free = until + 1;
            events.push((from, false, run, op));
            events.push((until, true, run, op));
        }
    }
    events.sort_by_key(|(at, end, run, _)| (*at, *end, *run));
    let mut tester = LinearizabilityTester::new(Handed::default());
    for (_, end, run, op) in &events {
        let told = if *end { tester.on_return(*run, true) } else { tester.on_invoke(*run, *op) };
        if let Err(why) = told {
            return Err(format!("{duty}: the history can't be judged: {why}"));
        }
    }
    if tester.is_consistent() { Ok(()) } else { Err(format!("{duty}: takes and acts fit into no one order")) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(run: usize, event: &str, epoch: u64, at: u64) -> Line {
        let text = format!("{event} duty=idle epoch={epoch} at={at}");
        Line { who: format!("p{run}"), run, how: "keep".into(), text }
    }

    fn judged(lines: &[(usize, &str, u64, u64)]) -> bool {
        let lines: Vec<Line> =
            lines.iter().map(|(run, event, epoch, at)| line(*run, event, *epoch, *at)).collect();
        one_order(&lines, "idle").is_ok()
    }

    #[test]
    fn a_duty_that_is_handed_on_has_one_order_and_one_that_two_act_for_has_none() {
        let first = [(1, "duty.took", 1, 10), (1, "duty.acts", 1, 12), (1, "duty.acts", 1, 20)];
        let next = [(2, "duty.took", 2, 30), (2, "duty.acts", 2, 31)];
        assert!(judged(&[&first[..], &next].concat()));
        // The successor's take may lie anywhere before its end, but its act is an instant.
        assert!(judged(&[&first[..], &next, &[(1, "duty.acts", 1, 29)]].concat()));
        assert!(!judged(&[&first[..], &next, &[(1, "duty.acts", 1, 32)]].concat()));
        assert!(!judged(&[(1, "duty.took", 5, 10), (2, "duty.took", 4, 20), (2, "duty.acts", 4, 21)]));
        assert!(!judged(&[(1, "duty.acts", 1, 10)]), "nobody took it");
    }

    /// What lies between the first and the last act of an epoch is left out, and nothing is missed by that.
    #[test]
    fn many_acts_are_judged_by_the_first_and_the_last() {
        let mut lines = vec![(1, "duty.took", 1, 1)];
        lines.extend((0..500).map(|i| (1, "duty.acts", 1, 10 + i)));
        assert!(judged(&lines));
        lines.extend([(2, "duty.took", 2, 200), (2, "duty.acts", 2, 201)]);
        assert!(!judged(&lines));
    }
}
