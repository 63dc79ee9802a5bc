//! Commands about rules: documents that are proposed or withdrawn at the leader, and how they stand.

use super::{Machine, Out};
use crate::quorum::BootTime;
use crate::quorum::view::RulesStatus;
use crate::rules::version::{Proposal, ProposeError};

impl Machine {
    /// A document of rules is to be announced.
    pub(super) fn propose(&mut self, proposal: Proposal, out: &mut Vec<Out>) -> Result<u64, ProposeError> {
        let seat = self.seat.as_mut();
        let led = seat.and_then(|s| s.ledger.as_mut().zip(s.agree.as_ref()));
        let (ledger, agree) = led.ok_or(ProposeError::NotLeading)?;
        let number = agree.book().rules.last + 1;
        let entry = ledger.propose(agree.book(), proposal)?;
        self.agreeing(out, |agree| agree.propose(entry));
        Ok(number)
    }

    /// The rules as an operator sees them.
    pub(super) fn rules_status(&self, now: BootTime) -> RulesStatus {
        let seat = self.seat.as_ref();
        let ledger = seat.and_then(|s| s.ledger.as_ref());
        RulesStatus {
            member: self.setup.name.clone(),
            confirmed: ledger.is_some_and(|l| l.confirmed_within(now, self.setup.lease)),
            ruled: seat.and_then(|s| s.agree.as_ref()).map(|a| a.book().rules.clone()).unwrap_or_default(),
            who: ledger.map(|l| l.acting(now)).unwrap_or_default(),
        }
    }

    /// Withdraws the announced version; false if it is not this one, or this process does not lead.
    pub(super) fn abort(&mut self, number: u64, out: &mut Vec<Out>) -> bool {
        let seat = self.seat.as_ref();
        let led = seat.and_then(|s| s.ledger.as_ref().zip(s.agree.as_ref()));
        let entry = led.and_then(|(ledger, agree)| ledger.abort(agree.book(), number));
        let found = entry.is_some();
        if let Some(entry) = entry {
            self.agreeing(out, |agree| agree.propose(entry));
        }
        found
    }
}
