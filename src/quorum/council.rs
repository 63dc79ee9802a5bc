//! Who votes. The first council is the one that the files name; each later one is agreed on by the one before it,
//! which then agrees on nothing more. Councils differ by one voter, who gets a number that nobody had before.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::book::Book;
use super::journal::Roster;
use super::{Name, QuorumConfig, VoterId};

/// The number of a process that has no vote.
pub const NOBODY: VoterId = 0;

/// A voter of a council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Councillor {
    /// Its number, which no other ever has.
    pub id: VoterId,
    /// Its name.
    pub name: Name,
    /// Where those reach it whose files do not say otherwise.
    pub address: SocketAddr,
}

/// The voters of a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Council {
    /// Its number, from 1.
    pub number: u32,
    /// The voters.
    pub voters: Vec<Councillor>,
    /// The number of the next new voter.
    pub next: VoterId,
}

/// A process without a vote that would take one: its folder and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The number that was drawn with its folder.
    pub identity: u64,
    /// Where the others reach it.
    pub address: SocketAddr,
}

/// Why a voter is not replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceError {
    /// The process that was asked does not lead.
    NotLeading,
    /// An earlier change is not through yet.
    Underway,
    /// Nobody of this name votes.
    NoVoter(Name),
    /// A process of this name votes already.
    Votes(Name),
    /// No process of this name offers itself.
    NoOffer(Name),
}

impl fmt::Display for ReplaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplaceError::NotLeading => f.write_str("does not lead"),
            ReplaceError::Underway => f.write_str("an earlier change of voters is not through yet"),
            ReplaceError::NoVoter(name) => write!(f, "{name} does not vote"),
            ReplaceError::Votes(name) => write!(f, "{name} votes already"),
            ReplaceError::NoOffer(name) => write!(
                f,
                "{name} is not there as a spare: it must run, with a folder and a [[quorum.voter]] of its own"
            ),
        }
    }
}

/// A council with all that a new voter of it needs: who they are by their folders, and the book that the councils
/// before it left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// The council.
    pub council: Council,
    /// Its voters' identities.
    pub roster: Roster,
    /// The book that it begins with.
    pub base: Book,
    /// Entries of the agreed log before it.
    pub entries: u64,
}

impl Council {
    /// The first one: the voters of the file.
    pub fn first(setup: &QuorumConfig) -> Council {
        let voter = |(i, v): (usize, &super::Voter)| Councillor {
            id: i as VoterId + 1,
            name: v.name.clone(),
            address: v.address,
        };
        let voters: Vec<Councillor> = setup.voters.iter().enumerate().map(voter).collect();
        Council { number: 1, next: voters.len() as VoterId + 1, voters }
    }

    /// The voter of this number.
    pub fn voter(&self, id: VoterId) -> Option<&Councillor> {
        self.voters.iter().find(|v| v.id == id)
    }

    /// The number of the voter of this name; [`NOBODY`] if there is none.
    pub fn id_of(&self, name: &Name) -> VoterId {
        self.voters.iter().find(|v| v.name == *name).map_or(NOBODY, |v| v.id)
    }

    /// All numbers.
    pub fn ids(&self) -> Vec<VoterId> {
        self.voters.iter().map(|v| v.id).collect()
    }

    /// The numbers of all voters that bear another name.
    pub fn others(&self, own: &Name) -> Vec<VoterId> {
        self.voters.iter().filter(|v| v.name != *own).map(|v| v.id).collect()
    }

    /// How many make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The one after a voter, round and round.
    pub fn after(&self, id: VoterId) -> VoterId {
        let at = self.voters.iter().position(|v| v.id == id).map_or(0, |at| at + 1);
        self.voters.get(at % self.voters.len().max(1)).map_or(NOBODY, |v| v.id)
    }

    /// The next council, with one voter in the place of another. A voter whose folder was lost may take its own
    /// place, under a new number.
    pub fn replaced(&self, gone: &Name, new: &Name, offer: Offer) -> Result<Council, ReplaceError> {
        let at = self.voters.iter().position(|v| v.name == *gone);
        let at = at.ok_or_else(|| ReplaceError::NoVoter(gone.clone()))?;
        if gone != new && self.id_of(new) != NOBODY {
            return Err(ReplaceError::Votes(new.clone()));
        }
        let mut next = self.clone();
        next.voters[at] = Councillor { id: self.next, name: new.clone(), address: offer.address };
        (next.number, next.next) = (self.number + 1, self.next + 1);
        Ok(next)
    }
}

impl Tenure {
    /// The number of the voter with this folder; [`NOBODY`] if it has no seat.
    pub fn seat(&self, name: &Name, identity: u64) -> VoterId {
        let id = self.council.id_of(name);
        if self.roster.get(&id) == Some(&identity) { id } else { NOBODY }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn council() -> Council {
        let voter = |id: VoterId| Councillor {
            id,
            name: Name(format!("m{id}")),
            address: ([127, 0, 0, 1], id as u16).into(),
        };
        Council { number: 1, voters: (1..=3).map(voter).collect(), next: 4 }
    }

    #[test]
    fn a_voter_is_replaced_by_one_with_a_number_that_nobody_had() {
        let offer = Offer { identity: 9, address: ([127, 0, 0, 1], 9).into() };
        let name = |n: &str| Name(n.into());
        let second = council().replaced(&name("m2"), &name("m4"), offer).unwrap();
        assert_eq!((second.number, second.ids(), second.majority()), (2, vec![1, 4, 3], 2));
        let third = second.replaced(&name("m4"), &name("m4"), offer).unwrap();
        assert_eq!((third.ids(), third.id_of(&name("m4"))), (vec![1, 5, 3], 5));
        assert_eq!(second.replaced(&name("m2"), &name("m5"), offer), Err(ReplaceError::NoVoter(name("m2"))));
        assert_eq!(second.replaced(&name("m1"), &name("m3"), offer), Err(ReplaceError::Votes(name("m3"))));
        assert_eq!([third.after(1), third.after(5), third.after(3), third.after(2)], [5, 3, 1, 1]);
    }

    #[test]
    fn a_folder_that_was_lost_has_no_seat() {
        let roster = Roster::from([(1, 11), (2, 22), (3, 33)]);
        let tenure = Tenure { council: council(), roster, base: Book::default(), entries: 0 };
        assert_eq!(tenure.seat(&Name("m2".into()), 22), 2);
        assert_eq!(tenure.seat(&Name("m2".into()), 99), NOBODY);
        assert_eq!(tenure.seat(&Name("m7".into()), 22), NOBODY);
    }
}
