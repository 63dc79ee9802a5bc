//! How many fronts share the fleet, and which of them this one is, as the agreed view of members has it. The decision
//! module paces by both: what it may ask of a cold server, and whose turn it is.
//!
//! A front that came counts at once, as the others must ask for less; one that went counts until it has stayed away
//! for a while, as coming and going would move everybody's turns. While there is no quorum the last view stands.

use super::view::View;
use super::{BootTime, Name};
use crate::api::Micros;

/// What the module is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// How many there are.
    pub count: u32,
    /// Which of them this one is, from 0, in the order of names.
    pub place: u32,
}

/// Follows the view.
#[derive(Clone, Debug)]
pub struct Crowd {
    own: Name,
    settle: Micros,
    /// All that count.
    counted: Vec<Name>,
    /// Since when each of them has been missing from the view.
    missing: Vec<(Name, BootTime)>,
    told: Option<FleetPosition>,
}

impl Crowd {
    /// One that nobody was told of; those that go count for so long still.
    pub fn new(own: Name, settle: Micros) -> Crowd {
        Crowd { own, settle, counted: Vec::new(), missing: Vec::new(), told: None }
    }

    /// The view as it stands; what the module is to be told anew, if anything. A view without this process tells
    /// nothing: it has not been agreed on yet that it is there.
    pub fn look(&mut self, now: BootTime, view: &View) -> Option<FleetPosition> {
        if !view.members.iter().any(|m| m.name == self.own) {
            return None;
        }
        self.missing.retain(|(name, _)| !view.members.iter().any(|m| m.name == *name));
        for name in &self.counted {
            let there = view.members.iter().any(|m| m.name == *name);
            if !there && !self.missing.iter().any(|(known, _)| known == name) {
                self.missing.push((name.clone(), now));
            }
        }
        let over = |name: &Name| {
            self.missing.iter().any(|(known, at)| known == name && now.since(*at) >= self.settle)
        };
        self.counted.retain(|name| !over(name));
        self.missing.retain(|(name, _)| self.counted.contains(name));
        self.counted.extend(view.members.iter().map(|m| m.name.clone()));
        self.counted.sort_unstable();
        self.counted.dedup();
        let place = self.counted.iter().position(|name| *name == self.own)? as u32;
        let fronts = FleetPosition { count: self.counted.len() as u32, place };
        (self.told != Some(fronts)).then(|| {
            self.told = Some(fronts);
            fronts
        })
    }

    /// When to look again though the view is the same.
    pub fn next(&self) -> Option<BootTime> {
        self.missing.iter().map(|(_, at)| at.after(self.settle)).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::quorum::{Incarnation, Process};

    fn view(names: &[&str]) -> View {
        let member = |n: &&str| Process { name: Name((*n).into()), incarnation: Incarnation(1) };
        View { version: 1, members: names.iter().map(member).collect(), duties: Vec::new() }
    }

    #[test]
    fn those_that_come_count_at_once_and_those_that_go_after_a_while() {
        let mut crowd = Crowd::new(Name("b".into()), Micros(100));
        let told = |count, place| Some(FleetPosition { count, place });
        assert_eq!(crowd.look(BootTime(0), &view(&["a", "c"])), None, "it is not there itself yet");
        assert_eq!(crowd.look(BootTime(1), &view(&["b", "c"])), told(2, 0));
        assert_eq!(crowd.look(BootTime(2), &view(&["a", "b", "c"])), told(3, 1));
        assert_eq!(crowd.look(BootTime(10), &view(&["b", "c"])), None);
        assert_eq!(crowd.next(), Some(BootTime(110)));
        assert_eq!(crowd.look(BootTime(50), &view(&["a", "b", "c"])), None, "it is back");
        assert_eq!((crowd.look(BootTime(60), &view(&["b", "c"])), crowd.next()), (None, Some(BootTime(160))));
        assert_eq!(crowd.look(BootTime(160), &view(&["b", "c"])), told(2, 0));
        assert_eq!((crowd.look(BootTime(900), &view(&["b", "c"])), crowd.next()), (None, None));
    }

    /// A view that is lost, and one that has not heard of this process, leave the last word standing.
    #[test]
    fn without_a_view_of_its_own_nothing_is_told() {
        let mut crowd = Crowd::new(Name("b".into()), Micros(100));
        crowd.look(BootTime(1), &view(&["a", "b"]));
        assert_eq!(crowd.look(BootTime(500), &View::default()), None);
        assert_eq!(crowd.look(BootTime(900), &view(&["a"])), None);
        assert_eq!(crowd.look(BootTime(901), &view(&["a", "b"])), None);
    }
}
