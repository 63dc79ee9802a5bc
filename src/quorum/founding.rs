//! Whether a voter may vote. A cluster is founded once, when all voters have met with empty folders: then each
//! writes down the identities of all. From then on a voter whose folder was lost, or brought back from an older
//! copy, is known by it and kept out, as one that forgot its vote could vote twice.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::VoterId;
use super::journal::Roster;
use crate::mutant::{self, Mutant};

/// What a voter says of its folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Papers {
    /// Its number among the voters.
    pub voter: VoterId,
    /// The number that was drawn with its folder.
    pub identity: u64,
    /// The number of the last council that it knows.
    pub council: u32,
    /// Who the voters of it are, if it knows.
    pub roster: Option<Roster>,
    /// How far its journal reaches.
    pub written: u64,
    /// How far it knows the other's journal to reach.
    pub heard: u64,
}

/// Why a voter may not vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Barred {
    /// The cluster was founded with another folder of this voter.
    OtherFolder,
    /// The folder is an older copy: another heard of what it no longer holds.
    OlderCopy {
        /// How far the journal once reached.
        known: u64,
        /// How far it reaches.
        written: u64,
    },
    /// The voters have agreed on another in its place.
    Replaced,
    /// The folder can't be used.
    Folder(String),
}

impl fmt::Display for Barred {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Barred::OtherFolder => {
                f.write_str("the cluster knows another folder of this voter; the one it had is lost")
            }
            Barred::OlderCopy { known, written } => {
                write!(f, "an older copy: it reaches to {written}, but {known} was heard of")
            }
            Barred::Replaced => f.write_str("another votes in its place"),
            Barred::Folder(why) => f.write_str(why),
        }
    }
}

/// What is known of the others until a voter may vote.
#[derive(Clone, Debug)]
pub struct Founding {
    me: VoterId,
    identity: u64,
    voters: usize,
    roster: Option<Roster>,
    met: BTreeMap<VoterId, Papers>,
}

/// What follows from another voter's papers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// The voters' identities are settled: they are to be written down.
    Settle(Roster),
    /// A majority knows of nothing that this folder lacks.
    Vote,
    /// This voter may not vote.
    Bar(Barred),
}

impl Founding {
    /// A voter with a folder that says this.
    pub fn new(me: VoterId, identity: u64, voters: usize, roster: Option<Roster>) -> Founding {
        Founding { me, identity, voters, roster, met: BTreeMap::new() }
    }

    /// Who the voters are, if that is settled.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// Whether another voter is the one that the cluster was founded with. Before that is settled nobody is.
    pub fn is(&self, voter: VoterId, identity: u64) -> bool {
        let known = self.roster.as_ref().and_then(|roster| roster.get(&voter));
        known == Some(&identity) || (mutant::is_active(Mutant::ForgottenVote) && self.roster.is_some())
    }

    /// Another voter has shown its papers.
    pub fn met(&mut self, papers: Papers, written: u64) -> Step {
        let forgets = mutant::is_active(Mutant::ForgottenVote);
        let other = |roster: &Roster| roster.get(&self.me) != Some(&self.identity) && !forgets;
        if self.roster.is_none() && papers.roster.as_ref().is_some_and(other) {
            return Step::Bar(Barred::OtherFolder);
        }
        if papers.heard > written && !forgets {
            return Step::Bar(Barred::OlderCopy { known: papers.heard, written });
        }
        if let (None, Some(roster)) = (&self.roster, &papers.roster) {
            return Step::Settle(roster.clone());
        }
        if let (Some(mine), Some(theirs)) = (&self.roster, &papers.roster)
            && mine != theirs
            && !forgets
        {
            // One of the two is of another cluster that bears the same name.
            return Step::Wait;
        }
        self.met.insert(papers.voter, papers);
        match &self.roster {
            None if self.met.len() + 1 == self.voters => {
                let mut roster: Roster = self.met.iter().map(|(v, p)| (*v, p.identity)).collect();
                roster.insert(self.me, self.identity);
                Step::Settle(roster)
            }
            None => Step::Wait,
            Some(_) => {
                let known = self.met.values().filter(|p| self.is(p.voter, p.identity)).count();
                if known + 1 > self.voters / 2 { Step::Vote } else { Step::Wait }
            }
        }
    }

    /// The voters' identities are written down.
    pub fn settled(&mut self, roster: Roster) {
        self.roster = Some(roster);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn papers(voter: VoterId, identity: u64, roster: Option<&Roster>) -> Papers {
        Papers { voter, identity, council: 1, roster: roster.cloned(), written: 5, heard: 0 }
    }

    #[test]
    fn a_cluster_is_founded_when_all_have_met_and_votes_by_majority_from_then_on() {
        let mut one = Founding::new(1, 11, 3, None);
        assert_eq!(one.met(papers(2, 22, None), 1), Step::Wait);
        let Step::Settle(roster) = one.met(papers(3, 33, None), 1) else { panic!("all have met") };
        assert_eq!(roster, Roster::from([(1, 11), (2, 22), (3, 33)]));
        one.settled(roster.clone());
        let mut two = Founding::new(2, 22, 3, None);
        assert_eq!(two.met(papers(1, 11, Some(&roster)), 1), Step::Settle(roster.clone()));
        two.settled(roster.clone());
        assert_eq!(two.met(papers(1, 11, Some(&roster)), 1), Step::Vote);
    }

    /// Guards against two clusters: one of those who remember, and one of those who lost their folders.
    #[test]
    fn a_voter_that_lost_its_folder_is_kept_out_and_counts_for_nobody() {
        let roster = Roster::from([(1, 11), (2, 22), (3, 33)]);
        let mut lost = Founding::new(1, 99, 3, None);
        assert_eq!(lost.met(papers(2, 22, Some(&roster)), 1), Step::Bar(Barred::OtherFolder));
        let mut two = Founding::new(2, 22, 3, Some(roster.clone()));
        assert_eq!(two.met(papers(1, 99, None), 1), Step::Wait);
        assert!(!two.is(1, 99));
        assert_eq!(two.met(papers(3, 33, None), 1), Step::Vote, "it has only not written it down yet");
    }

    #[test]
    fn an_older_copy_is_kept_out_by_whoever_heard_of_more() {
        let roster = Roster::from([(1, 11), (2, 22), (3, 33)]);
        let mut one = Founding::new(1, 11, 3, Some(roster.clone()));
        let heard = Papers { heard: 40, ..papers(2, 22, Some(&roster)) };
        let older = Barred::OlderCopy { known: 40, written: 12 };
        assert_eq!(one.met(heard, 12), Step::Bar(older));
    }
}
