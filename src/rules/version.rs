//! Versions as the agreed log keeps them: one in force, at most one announced, and what became of the last ones.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Versions that are remembered once they are over, for operators.
const HISTORY: usize = 64;
/// Of so many of them the documents are kept too, to go back to.
const TEXTS: usize = 8;

/// A document with a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Its number; it only grows.
    pub number: u64,
    /// The version in force when it was proposed; 0: none.
    pub parent: u64,
    /// The digest of the text (blake3, in hexadecimal).
    pub digest: String,
    /// Who proposed it.
    pub author: String,
    /// When, as Unix time in milliseconds.
    pub at_ms: u64,
    /// What it is for.
    pub note: String,
    /// The document as it was written.
    pub text: String,
}

impl Version {
    /// The digest of a document.
    pub fn digest_of(text: &str) -> String {
        blake3::hash(text.as_bytes()).to_hex().to_string()
    }
}

/// A document that somebody wants in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The document.
    pub text: String,
    /// The version that it goes on from; none: the one in force, whichever that is.
    pub parent: Option<u64>,
    /// Who proposes it.
    pub author: String,
    /// What it is for.
    pub note: String,
    /// When, as Unix time in milliseconds.
    pub at_ms: u64,
}

/// What became of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It came into force, and another has since.
    Followed,
    /// It was withdrawn, and why.
    Withdrawn(String),
}

/// A version that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The version; of older ones without the text.
    pub version: Version,
    /// What became of it.
    pub fate: Fate,
}

/// Why a document is not proposed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeError {
    /// The process that was asked does not lead.
    NotLeading,
    /// Another is announced and not in force yet.
    Underway(u64),
    /// It goes on from a version that is not in force.
    Parent {
        /// From which.
        parent: u64,
        /// Which is in force.
        force: u64,
    },
    /// It can't be used.
    Wrong(String),
    /// It says the same as the one in force.
    Same(u64),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeading => f.write_str("does not lead"),
            ProposeError::Underway(number) => {
                write!(f, "version {number} is announced: wait until it is in force, or abort it")
            }
            ProposeError::Parent { parent, force } => {
                write!(f, "goes on from version {parent}, but version {force} is in force")
            }
            ProposeError::Wrong(why) => f.write_str(why),
            ProposeError::Same(number) => write!(f, "says the same as version {number}, which is in force"),
        }
    }
}

/// The log's part that tells of rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesLog {
    /// The version in force.
    pub force: Option<Version>,
    /// The next one, which all are to accept first.
    pub announced: Option<Version>,
    /// The last number that was given out.
    pub last: u64,
    /// Versions that are over, oldest first.
    pub past: VecDeque<Past>,
}

impl RulesLog {
    /// The number in force; 0: none is.
    pub fn force(&self) -> u64 {
        self.force.as_ref().map_or(0, |v| v.number)
    }

    /// The number that is announced; 0: none is.
    pub fn announced(&self) -> u64 {
        self.announced.as_ref().map_or(0, |v| v.number)
    }

    /// Announces a version, if none is and it goes on from the one in force.
    pub fn announce(&mut self, version: &Version) -> bool {
        let next = version.number == self.last + 1 && version.parent == self.force();
        let may = next && self.announced.is_none();
        if may {
            self.last = version.number;
            self.announced = Some(version.clone());
        }
        may
    }

    /// The announced version is in force.
    pub fn enforce(&mut self, number: u64) -> bool {
        let Some(next) = self.announced.take_if(|v| v.number == number) else { return false };
        if let Some(before) = self.force.replace(next) {
            self.keep(before, Fate::Followed);
        }
        true
    }

    /// The announced version comes to nothing.
    pub fn withdraw(&mut self, number: u64, why: &str) -> bool {
        let Some(gone) = self.announced.take_if(|v| v.number == number) else { return false };
        self.keep(gone, Fate::Withdrawn(why.to_owned()));
        true
    }

    fn keep(&mut self, version: Version, fate: Fate) {
        self.past.push_back(Past { version, fate });
        while self.past.len() > HISTORY {
            self.past.pop_front();
        }
        if let Some(older) = self.past.len().checked_sub(TEXTS + 1).and_then(|i| self.past.get_mut(i)) {
            older.version.text = String::new();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn version(number: u64, parent: u64) -> Version {
        let (digest, author, note, text) = (String::new(), "me".into(), String::new(), "x".into());
        Version { number, parent, digest, author, at_ms: 0, note, text }
    }

    #[test]
    fn of_two_on_one_parent_one_is_announced() {
        let mut ruled = RulesLog::default();
        assert!(ruled.announce(&version(1, 0)));
        assert!(!ruled.announce(&version(2, 0)), "one at a time");
        assert!(ruled.enforce(1) && !ruled.enforce(1));
        assert!(!ruled.announce(&version(2, 0)), "its parent is no longer in force");
        assert!(!ruled.announce(&version(3, 1)), "no number is left out");
        assert!(
            ruled.announce(&version(2, 1)) && ruled.withdraw(2, "aborted") && !ruled.withdraw(2, "again")
        );
        assert!(!ruled.announce(&version(2, 1)), "no number is given out twice");
        assert!(ruled.announce(&version(3, 1)) && ruled.enforce(3));
        assert_eq!((ruled.force(), ruled.announced(), ruled.last), (3, 0, 3));
        let fates: Vec<_> = ruled.past.iter().map(|p| (p.version.number, &p.fate)).collect();
        assert_eq!(fates, [(2, &Fate::Withdrawn("aborted".into())), (1, &Fate::Followed)]);
        for number in 4..30 {
            assert!(ruled.announce(&version(number, number - 1)) && ruled.enforce(number));
        }
        let kept: Vec<u64> =
            ruled.past.iter().filter(|p| !p.version.text.is_empty()).map(|p| p.version.number).collect();
        assert_eq!(kept, (21..29).collect::<Vec<_>>(), "documents of the last ones are kept");
    }
}
