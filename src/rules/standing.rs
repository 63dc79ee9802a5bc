//! What one process acts on at an instant: the version in force while it is fresh, the stricter of that and the
//! announced one once it has accepted that, and what the document says of those who no longer know.

use std::rc::Rc;

use super::document::{Limit, Rules, WhenUnsure};
use super::version::Version;
use crate::api::Micros;
use crate::mutant::{self, Mutant};
use crate::peers::BootTime;

/// What a leader tells with its answer to a beat.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RulesUpdate {
    /// The number in force; 0: none.
    pub force: u64,
    /// The number that is announced; 0: none.
    pub announced: u64,
    /// Those of the two that the process has not got.
    pub versions: Vec<Version>,
    /// The last number that was given out: it tells older words from newer ones.
    pub last: u64,
    /// How long the process may go by this from the sending of its beat; 0: the answer says nothing of rules.
    pub fresh: Micros,
}

/// A version that was read.
#[derive(Clone, Debug, PartialEq)]
struct Known {
    number: u64,
    rules: Rc<Rules>,
}

/// What a request of a tenant and a class is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// Nothing.
    Free,
    /// So many a second at this front; what is beyond that is told to wait.
    Limit {
        /// How many.
        per_s: u32,
        /// For so long.
        wait: Micros,
    },
    /// Refused; it may come again after so long.
    Refuse(Micros),
}

/// How sure a process is of its rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RulesFreshness {
    /// No rules were ever heard of.
    None,
    /// The version of this number is in force.
    Fresh(u64),
    /// It may be: the next one is accepted.
    Between(u64, u64),
    /// Nobody has said so for too long.
    Unsure(u64),
}

/// One process's rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalRules {
    force: Option<Known>,
    accepted: Option<Known>,
    refused: Option<(u64, String)>,
    last: u64,
    until: Option<BootTime>,
}

fn read(version: &Version) -> Result<Known, String> {
    if Version::digest_of(&version.text) != version.digest {
        return Err("its digest is another's".to_owned());
    }
    let rules = Rules::read(&format!("version {}", version.number), &version.text);
    rules
        .map(|rules| Known { number: version.number, rules: Rc::new(rules) })
        .map_err(|findings| findings.to_string())
}

impl LocalRules {
    /// The numbers of the version in force as last told, and of the last that was accepted; 0: none.
    pub fn versions(&self) -> (u64, u64) {
        let number = |known: &Option<Known>| known.as_ref().map_or(0, |k| k.number);
        (number(&self.force), number(&self.accepted).max(number(&self.force)))
    }

    /// The same, and a version that was refused, with the reason.
    pub fn says(&self) -> (u64, u64, Option<(u64, String)>) {
        let (force, accepted) = self.versions();
        (force, accepted, self.refused.clone())
    }

    /// A beat that was sent at a moment is answered. What is announced is accepted in this very step, before
    /// anything is decided under the freshness that the same answer gives.
    pub fn told(&mut self, sent: BootTime, now: BootTime, word: &RulesUpdate, drift: Micros) {
        if word.fresh == Micros(0) {
            return;
        }
        let own = self.versions().0;
        // What is older than what was heard already says nothing, not even that this process is fresh: it may be of a
        // leader that was followed before the announcement.
        if word.force < own || word.last < self.last {
            return;
        }
        self.last = word.last;
        let mut known: Vec<Known> = self.force.take().into_iter().chain(self.accepted.take()).collect();
        for version in &word.versions {
            match read(version) {
                Ok(read) => known.push(read),
                Err(why) => self.refused = Some((version.number, why)),
            }
        }
        let find = |number: u64| known.iter().find(|k| k.number == number).cloned();
        self.force = find(word.force).or_else(|| known.iter().find(|k| k.number == own).cloned());
        self.accepted = find(word.announced).filter(|k| k.number > word.force);
        if self.refused.as_ref().is_some_and(|(number, _)| *number != word.announced && *number != word.force)
        {
            self.refused = None;
        }
        // What can't be read can't be gone by: this process is unsure then, and says why.
        if self.versions().0 != word.force {
            self.until = None;
            return;
        }
        let from = if mutant::is_active(Mutant::FreshFromReceipt) { now } else { sent };
        let until = from.after(Micros(word.fresh.0.saturating_sub(drift.0)));
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
    }

    /// How sure it is at an instant.
    pub fn sure(&self, now: BootTime) -> RulesFreshness {
        let force = self.versions().0;
        let fresh = self.until.is_some_and(|until| now < until) || mutant::is_active(Mutant::FreshForGood);
        match (&self.accepted, self.until) {
            (None, None) if self.force.is_none() => RulesFreshness::None,
            (Some(accepted), Some(_)) if fresh => RulesFreshness::Between(force, accepted.number),
            (None, Some(_)) if fresh => RulesFreshness::Fresh(force),
            _ => RulesFreshness::Unsure(force),
        }
    }

    /// When it becomes unsure, if nobody says more.
    pub fn until(&self) -> Option<BootTime> {
        self.until
    }

    /// What a request is held to at an instant: by the strictest of all limits that cover it.
    pub fn ruling(&self, now: BootTime, tenant: &str, class: &str) -> RateDecision {
        let sure = self.sure(now);
        let mut ruling = RateDecision::Free;
        for (known, other) in [(&self.force, &self.accepted), (&self.accepted, &self.force)] {
            let Some(known) = known else { continue };
            for limit in known.rules.limit.iter().filter(|l| l.covers(tenant, class)) {
                ruling = ruling.stricter(limit.ruled(sure, other.as_ref().map(|o| &*o.rules)));
            }
        }
        ruling
    }

    /// Whether a server gets nothing new: as any version says that is known to be possible.
    pub fn bars(&self, server: &str) -> bool {
        [&self.force, &self.accepted].into_iter().flatten().any(|known| known.rules.bars(server))
    }
}

impl Limit {
    /// What it holds a request to, for a process that is so sure; `other` is the other of two versions.
    fn ruled(&self, sure: RulesFreshness, other: Option<&Rules>) -> RateDecision {
        let wait = self.wait();
        let limit = RateDecision::Limit { per_s: self.most_per_s, wait };
        match sure {
            RulesFreshness::None | RulesFreshness::Fresh(_) => limit,
            RulesFreshness::Between(..) => {
                let same = other.and_then(|rules| rules.limit.iter().find(|l| l.of() == self.of()));
                let exact = self.never_two || same.is_some_and(|l| l.never_two);
                let kept =
                    same.is_some_and(|l| (l.most_per_s, l.never_two) == (self.most_per_s, self.never_two));
                if exact && !kept { RateDecision::Refuse(wait) } else { limit }
            }
            RulesFreshness::Unsure(_) if self.never_two => RateDecision::Refuse(wait),
            RulesFreshness::Unsure(_) => match self.when_unsure {
                WhenUnsure::Keep => limit,
                WhenUnsure::Strictest => RateDecision::Limit { per_s: self.least_per_s, wait },
                WhenUnsure::Refuse => RateDecision::Refuse(wait),
            },
        }
    }
}

impl RateDecision {
    /// The stricter of two.
    pub fn stricter(self, other: RateDecision) -> RateDecision {
        match (self, other) {
            (RateDecision::Free, only) | (only, RateDecision::Free) => only,
            (RateDecision::Refuse(a), RateDecision::Refuse(b)) => RateDecision::Refuse(a.max(b)),
            (refuse @ RateDecision::Refuse(_), _) | (_, refuse @ RateDecision::Refuse(_)) => refuse,
            (RateDecision::Limit { per_s: a, .. }, RateDecision::Limit { per_s: b, .. }) => {
                if b < a {
                    other
                } else {
                    self
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
