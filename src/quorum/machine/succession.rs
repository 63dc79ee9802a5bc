//! One council after another. A council agrees on the next as the last entry of its log; whoever hears of that, from
//! its own log or from anybody, goes on with the next, whose log begins with the book that the last one left.

use super::{Event, Frame, Machine, Out, Seat, journal};
use crate::quorum::council::{Council, NOBODY, Offer, ReplaceError, Tenure};
use crate::quorum::founding::{Barred, Founding};
use crate::quorum::journal::Roster;
use crate::quorum::store::{State, Store};
use crate::quorum::{BootTime, Name, VoterId};

impl Machine {
    /// What this process offers, if it would vote and does not.
    pub(super) fn offer(&self) -> Option<Offer> {
        let seat = self.seat.as_ref().filter(|s| s.me == NOBODY)?;
        let address = self.setup.address_of(&self.setup.name)?;
        Some(Offer { identity: seat.identity.number, address })
    }

    /// Proposes another voter in the place of one. What becomes of it shows in the number of the council.
    pub(super) fn replace(
        &mut self,
        now: BootTime,
        gone: &Name,
        new: &Name,
        out: &mut Vec<Out>,
    ) -> Result<u32, ReplaceError> {
        let seat = self.seat.as_ref().ok_or(ReplaceError::NotLeading)?;
        let (ledger, roster) =
            seat.ledger.as_ref().zip(seat.founding.roster()).ok_or(ReplaceError::NotLeading)?;
        let offer = ledger.offer(now, new);
        // What the names lack is said first: it does not mend itself.
        let none = Offer { identity: 0, address: ([0, 0, 0, 0], 0).into() };
        let next = self.council.replaced(gone, new, offer.unwrap_or(none))?;
        let offer = offer.ok_or_else(|| ReplaceError::NoOffer(new.clone()))?;
        let mut roster = roster.clone();
        roster.retain(|id, _| next.voter(*id).is_some());
        roster.insert(self.council.next, offer.identity);
        let told = postcard::to_stdvec(&(&next, &roster)).unwrap_or_default();
        let mut accepted = false;
        self.agreeing(out, |agree| {
            accepted = agree.succeed(&next, told)?;
            Ok(())
        });
        if accepted { Ok(next.number) } else { Err(ReplaceError::Underway) }
    }

    /// This council's log is over: the next council is agreed on.
    pub(super) fn over(&mut self, told: &[u8], out: &mut Vec<Out>) {
        let Some(agree) = self.seat.as_ref().and_then(|s| s.agree.as_ref()) else { return };
        let (base, entries) = (agree.book().clone(), agree.applied());
        match postcard::from_bytes::<(Council, Roster)>(told) {
            Ok((council, roster)) => self.succeed(Tenure { council, roster, base, entries }, out),
            Err(_) => self.bar(Barred::Folder("the next council can't be read".into()), out),
        }
    }

    /// A later council than this process knew.
    pub(super) fn succeed(&mut self, tenure: Tenure, out: &mut Vec<Out>) {
        if tenure.council.number <= self.council.number {
            return;
        }
        let before = std::mem::replace(&mut self.council, tenure.council.clone());
        let names = tenure.council.voters.iter().map(|v| v.name.clone()).collect();
        out.push(Out::Tell(Event::Council(tenure.council.number, names)));
        self.leader = None;
        let mut seated = NOBODY;
        if let Some(seat) = &mut self.seat {
            seated = seat.succeed(&tenure, &self.setup.name, out);
            // Those who have not heard of it hear it from whoever has, and may have it from nobody else.
            let all = before.ids().into_iter().chain(tenure.council.ids());
            for voter in all.filter(|v| *v != seated) {
                out.push(Out::Send(voter, Frame::Council(Box::new(tenure.clone()))));
            }
        }
        self.dial(&before.ids(), out);
        if seated != NOBODY {
            (self.target, self.barred) = (seated, None);
        } else if self.council.voter(self.target).is_none()
            || self.council.id_of(&self.setup.name) == self.target
        {
            self.rotate();
        }
        let voted = before.id_of(&self.setup.name) != NOBODY;
        let named = self.council.id_of(&self.setup.name) != NOBODY;
        if self.seat.is_some() && seated == NOBODY && (voted || named) && self.barred.is_none() {
            self.bar(if named { Barred::OtherFolder } else { Barred::Replaced }, out);
        }
        let conns: Vec<u64> = self.callers.keys().copied().collect();
        for conn in conns {
            self.verify(conn);
        }
    }

    /// Links follow the council: new voters are dialled, those that went are not.
    pub(super) fn dial(&self, before: &[VoterId], out: &mut Vec<Out>) {
        let voters = self.council.others(&self.setup.name);
        for gone in before.iter().filter(|id| !voters.contains(id)) {
            out.push(Out::Leave(*gone));
        }
        for new in voters.iter().filter(|id| !before.contains(id)) {
            if let Some(voter) = self.council.voter(*new) {
                let address = self.setup.address_of(&voter.name).unwrap_or(voter.address);
                out.push(Out::Dial(*new, address));
            }
        }
    }

    /// Whoever called knows an older council: it hears of this one.
    pub(super) fn inform(&self, conn: u64, council: u32, out: &mut Vec<Out>) {
        let tenure = self.seat.as_ref().and_then(|s| s.tenure.as_ref());
        if let Some(tenure) = tenure.filter(|t| t.council.number > council) {
            out.push(Out::Reply(conn, Frame::Council(Box::new(tenure.clone()))));
        }
    }

    /// Whoever was called knows an older council.
    pub(super) fn tell_behind(&self, voter: VoterId, council: u32, out: &mut Vec<Out>) {
        let tenure = self.seat.as_ref().and_then(|s| s.tenure.as_ref());
        if let Some(tenure) = tenure.filter(|t| t.council.number > council) {
            out.push(Out::Send(voter, Frame::Council(Box::new(tenure.clone()))));
        }
    }
}

impl Seat {
    /// Takes the seat in a later council, if it has one there: the vote of the last is worth nothing in it. It votes
    /// once this is on disk and a majority has shown its papers. Gives its number.
    fn succeed(&mut self, tenure: &Tenure, name: &Name, out: &mut Vec<Out>) -> VoterId {
        self.stand_down();
        self.me = tenure.seat(name, self.identity.number);
        self.passed.clear();
        let (identity, voters) = (self.identity.number, tenure.council.voters.len());
        self.founding = Founding::new(self.me, identity, voters, Some(tenure.roster.clone()));
        self.store = Store::new(State::begun_with(tenure.base.clone()));
        self.tenure = Some(tenure.clone());
        let number = self.write(&journal::Frame::Council(Box::new(tenure.clone())), out);
        self.settling = Some((number, None));
        self.me
    }
}
