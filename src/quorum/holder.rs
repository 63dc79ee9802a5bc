//! The holder's side of leases. The right to act is a [`Permit`], asked for at the instant of acting: it knows the
//! moment at which it ends, and is looked at again after every wait.

use std::collections::{BTreeMap, VecDeque};

use super::frame::HeartbeatReply;
use super::{BootTime, Duty, Epoch, QuorumConfig};
use crate::mutant::{self, Mutant};

/// Beats whose moment of sending is remembered; an answer to an older one is of no use.
const SENT: usize = 64;

/// The right to act for a duty until a moment. It can't be copied: whoever waits asks anew, or looks again.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: Epoch,
    until: BootTime,
}

impl Permit {
    /// The epoch that each effect carries, if the permit is still good at this moment.
    pub fn epoch(&self, now: BootTime) -> Option<Epoch> {
        (now < self.until).then_some(self.epoch)
    }

    /// The same for the look that follows a wait.
    pub fn still(&self, now: BootTime) -> Option<Epoch> {
        let kept = mutant::is_active(Mutant::NoSecondLook) || mutant::is_active(Mutant::KeptPermit);
        if kept { Some(self.epoch) } else { self.epoch(now) }
    }
}

/// A lease as its holder counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    epoch: Epoch,
    until: BootTime,
}

/// How a lease was lost or came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// This process holds a duty from now on.
    Took(Duty, Epoch),
    /// Its time ran out with no answer.
    RanOut(Duty, Epoch),
    /// The leader no longer counts this process as the holder.
    Taken(Duty, Epoch),
}

/// The leases of one process.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    held: BTreeMap<Duty, Held>,
    sent: VecDeque<(u64, BootTime)>,
    heard: u64,
    given: BTreeMap<Duty, Epoch>,
}

impl Holder {
    /// A beat leaves.
    pub fn sent(&mut self, seq: u64, now: BootTime) {
        self.sent.push_back((seq, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
    }

    /// When a beat was sent, if that is remembered.
    pub fn sent_at(&self, seq: u64) -> Option<BootTime> {
        self.sent.iter().find(|(known, _)| *known == seq).map(|(_, at)| *at)
    }

    /// A beat was answered.
    pub fn told(&mut self, now: BootTime, told: &HeartbeatReply, setup: &QuorumConfig) -> Vec<News> {
        let mut news = self.expire(now);
        let sent = self.sent_at(told.seq);
        let Some(sent) = sent.filter(|_| told.seq > self.heard) else { return news };
        self.heard = told.seq;
        for (duty, epoch, length) in &told.holds {
            // What was given back is not taken up again, whoever has not heard of it yet.
            if self.given.get(duty).is_some_and(|given| given >= epoch) {
                continue;
            }
            let from = if mutant::is_active(Mutant::FromReceipt) { now } else { sent };
            let until = from.after(*length - setup.drift_of(*length));
            let held = self.held.get(duty);
            if until <= now || held.is_some_and(|held| held.epoch > *epoch) {
                continue;
            }
            if held.is_none_or(|held| held.epoch < *epoch) {
                news.push(News::Took(duty.clone(), *epoch));
                self.held.insert(duty.clone(), Held { epoch: *epoch, until });
            } else if let Some(held) = self.held.get_mut(duty) {
                held.until = held.until.max(until);
            }
        }
        let listed =
            |duty: &Duty, held: &Held| told.holds.iter().any(|(d, e, _)| d == duty && *e >= held.epoch);
        let taken: Vec<(Duty, Epoch)> = self
            .held
            .iter()
            .filter(|(duty, held)| !listed(duty, held))
            .map(|(duty, held)| (duty.clone(), held.epoch))
            .collect();
        for (duty, epoch) in taken {
            self.held.remove(&duty);
            news.push(News::Taken(duty, epoch));
        }
        news
    }

    /// Leases whose time is over are held no longer.
    pub fn expire(&mut self, now: BootTime) -> Vec<News> {
        if mutant::is_active(Mutant::KeptPermit) {
            return Vec::new();
        }
        let over: Vec<(Duty, Epoch)> = self
            .held
            .iter()
            .filter(|(_, held)| held.until <= now)
            .map(|(duty, held)| (duty.clone(), held.epoch))
            .collect();
        let gone = over.into_iter().map(|(duty, epoch)| {
            self.held.remove(&duty);
            // An answer that is still on its way does not bring it back: beats may be heard though no answer is,
            // and the leader would otherwise take it for held.
            self.given.insert(duty.clone(), epoch);
            News::RanOut(duty, epoch)
        });
        gone.collect()
    }

    /// The right to act for a duty at this moment.
    pub fn permit(&self, duty: &Duty, now: BootTime) -> Option<Permit> {
        let held = self.held.get(duty)?;
        let permit = Permit { epoch: held.epoch, until: held.until };
        (mutant::is_active(Mutant::KeptPermit) || permit.epoch(now).is_some()).then_some(permit)
    }

    /// Gives a duty back: from now on this process does not act for it.
    pub fn give(&mut self, duty: &Duty) -> Option<Epoch> {
        let held = self.held.remove(duty)?;
        self.given.insert(duty.clone(), held.epoch);
        Some(held.epoch)
    }

    /// What was given back, for beats: until the log knows, each tells of it again.
    pub fn given(&self) -> Vec<(Duty, Epoch)> {
        self.given.iter().map(|(duty, epoch)| (duty.clone(), *epoch)).collect()
    }

    /// Duties that are held, as last counted.
    pub fn holds(&self) -> impl Iterator<Item = (&Duty, Epoch)> {
        self.held.iter().map(|(duty, held)| (duty, held.epoch))
    }

    /// When the next lease runs out.
    pub fn next(&self) -> Option<BootTime> {
        self.held.values().map(|held| held.until).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Micros;
    use crate::quorum::{Name, Process, Reign};

    fn setup() -> QuorumConfig {
        QuorumConfig {
            cluster: "c".into(),
            name: Name("a".into()),
            listen: None,
            folder: None,
            voters: Vec::new(),
            spares: Vec::new(),
            lease: Micros(1000),
            beat: Micros(200),
            election: Micros(200),
            drift: 0.1,
            stuck: Micros(9000),
            gone: Micros(3000),
            fresh: Micros(1_900_000),
            fronts: None,
            duties: Vec::new(),
            record: None,
        }
    }

    fn told(seq: u64, holds: &[(&str, u64)]) -> HeartbeatReply {
        let holds = holds.iter().map(|(d, e)| (Duty((*d).into()), Epoch(*e), Micros(1000))).collect();
        let process = Process::default();
        HeartbeatReply {
            process,
            seq,
            reign: Reign(1),
            leader: None,
            holds,
            back: vec![],
            view: None,
            fleet: None,
            twin: false,
            rules: Default::default(),
        }
    }

    #[test]
    fn a_lease_counts_from_the_sending_of_the_beat_less_the_part_for_drift() {
        let (mut holder, idle) = (Holder::default(), Duty("idle".into()));
        holder.sent(1, BootTime(5000));
        assert_eq!(
            holder.told(BootTime(5800), &told(1, &[("idle", 4)]), &setup()),
            [News::Took(idle.clone(), Epoch(4))]
        );
        let permit = holder.permit(&idle, BootTime(5899)).unwrap();
        assert_eq!(permit.epoch(BootTime(5899)), Some(Epoch(4)));
        assert_eq!(permit.still(BootTime(5900)), None, "looked at again after a wait");
        assert_eq!(holder.permit(&idle, BootTime(5900)), None);
        // An answer that comes after the end of what it would give gives nothing.
        holder.sent(2, BootTime(5900));
        assert_eq!(
            holder.told(BootTime(6800), &told(2, &[("idle", 4)]), &setup()),
            [News::RanOut(idle, Epoch(4))]
        );
    }

    #[test]
    fn old_answers_and_other_epochs_change_nothing() {
        let (mut holder, idle) = (Holder::default(), Duty("idle".into()));
        for seq in 1..=3 {
            holder.sent(seq, BootTime(100 * seq));
        }
        holder.told(BootTime(310), &told(2, &[("idle", 7)]), &setup());
        assert!(holder.told(BootTime(320), &told(1, &[]), &setup()).is_empty(), "an answer from before");
        assert!(holder.permit(&idle, BootTime(330)).is_some());
        assert_eq!(
            holder.told(BootTime(340), &told(3, &[]), &setup()),
            [News::Taken(idle.clone(), Epoch(7))]
        );
        holder.sent(4, BootTime(400));
        assert!(holder.told(BootTime(410), &told(9, &[("idle", 8)]), &setup()).is_empty(), "no beat of ours");
    }

    /// Seen in a trial: with answers lost and beats heard a duty had no holder for eleven leases.
    #[test]
    fn a_lease_that_ran_out_is_told_as_given_back() {
        let (mut holder, idle) = (Holder::default(), Duty("idle".into()));
        holder.sent(1, BootTime(100));
        holder.sent(2, BootTime(900));
        holder.told(BootTime(110), &told(1, &[("idle", 7)]), &setup());
        assert_eq!(holder.expire(BootTime(1000)), [News::RanOut(idle.clone(), Epoch(7))]);
        assert_eq!(holder.given(), [(idle.clone(), Epoch(7))]);
        holder.told(BootTime(1010), &told(2, &[("idle", 7)]), &setup());
        assert_eq!(holder.permit(&idle, BootTime(1020)), None, "an answer that was on its way");
    }

    #[test]
    fn what_was_given_back_is_not_taken_up_again() {
        let (mut holder, idle) = (Holder::default(), Duty("idle".into()));
        holder.sent(1, BootTime(100));
        holder.sent(2, BootTime(200));
        holder.sent(3, BootTime(300));
        holder.told(BootTime(110), &told(1, &[("idle", 7)]), &setup());
        assert_eq!(holder.give(&idle), Some(Epoch(7)));
        holder.told(BootTime(210), &told(2, &[("idle", 7)]), &setup());
        assert_eq!(holder.permit(&idle, BootTime(220)), None);
        assert_eq!(holder.given(), [(idle.clone(), Epoch(7))]);
        holder.told(BootTime(310), &told(3, &[("idle", 9)]), &setup());
        assert_eq!(holder.permit(&idle, BootTime(320)).unwrap().epoch(BootTime(320)), Some(Epoch(9)));
    }
}
