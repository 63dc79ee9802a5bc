//! The leader's side of rules: what it tells of them with each answer, and when the announced version is in force.

use super::Ledger;
use crate::api::Micros;
use crate::quorum::book::{Book, Entry};
use crate::quorum::frame::Heartbeat;
use crate::quorum::view::ActingStatus;
use crate::quorum::{BootTime, Process};
use crate::rules::document::Rules;
use crate::rules::standing::RulesUpdate;
use crate::rules::version::{Proposal, ProposeError, Version};

impl Ledger {
    /// What a process is told of the rules: it may go by them for a while from when it asked.
    pub(super) fn word(&mut self, now: BootTime, beat: &Heartbeat, book: &Book) -> RulesUpdate {
        // Also while there are no rules: the first ones wait for all that act on none.
        let ruled = &book.rules;
        let (force, accepted, _) = &beat.rules;
        self.forcing.answered(now, &beat.process, *accepted, (ruled.force(), ruled.last));
        let lacks = |v: &&Version| v.number != *force && v.number != *accepted;
        RulesUpdate {
            force: ruled.force(),
            announced: ruled.announced(),
            versions: [&ruled.force, &ruled.announced].into_iter().flatten().filter(lacks).cloned().collect(),
            last: ruled.last,
            fresh: self.setup.fresh,
        }
    }

    /// Brings the announced version into force, or withdraws it if somebody can't use it.
    pub(super) fn rules(&mut self, now: BootTime, book: &Book, entries: &mut Vec<Entry>) {
        let (reign, number) = (self.reign, book.rules.announced());
        let refused =
            self.forcing.refusal(&book.rules).map(|(process, why)| format!("{}: {why}", process.name));
        if let Some(why) = refused {
            if self.due(now, format!("rules {number}")) {
                entries.push(Entry::Withdraw { reign, number, why });
            }
        } else if self.forcing.ready(now, &book.rules) && self.due(now, format!("rules {number}")) {
            entries.push(Entry::Enforce { reign, number });
        }
        self.forcing.forget(now);
    }

    /// A document that is to be announced, if it may be.
    pub fn propose(&mut self, book: &Book, proposal: Proposal) -> Result<Entry, ProposeError> {
        let Proposal { text, parent, author, note, at_ms } = proposal;
        let ruled = &book.rules;
        if let Some(number) = self.announcing.or(ruled.announced.as_ref().map(|v| v.number)) {
            return Err(ProposeError::Underway(number));
        }
        let force = ruled.force();
        let parent = parent.unwrap_or(force);
        if parent != force {
            return Err(ProposeError::Parent { parent, force });
        }
        let wrong = |findings: crate::records::Findings| ProposeError::Wrong(findings.to_string());
        let rules = Rules::read("", &text).map_err(wrong)?;
        if let Some(before) = &ruled.force {
            let old = Rules::read("", &before.text).map_err(wrong)?;
            if old == rules {
                return Err(ProposeError::Same(force));
            }
            rules.follows(&old, "", &text).map_err(wrong)?;
        }
        let digest = Version::digest_of(&text);
        self.announcing = Some(ruled.last + 1);
        let version = Version { number: ruled.last + 1, parent, digest, author, at_ms, note, text };
        Ok(Entry::Announce { reign: self.reign, version: Box::new(version) })
    }

    /// The withdrawal of the announced version, if it is this one.
    pub fn abort(&self, book: &Book, number: u64) -> Option<Entry> {
        let why = "aborted by command".to_owned();
        let announced = number > 0 && book.rules.announced() == number;
        announced.then_some(Entry::Withdraw { reign: self.reign, number, why })
    }

    /// Who acts on what.
    pub fn acting(&self, now: BootTime) -> Vec<ActingStatus> {
        let one = |(process, told, accepted, left): (&Process, u64, u64, Micros)| ActingStatus {
            name: process.name.clone(),
            incarnation: process.incarnation.0,
            told,
            accepted,
            left_ms: left.0 / 1_000,
        };
        self.forcing.who(now).map(one).collect()
    }
}
